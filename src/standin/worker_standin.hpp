// Stand-in of the agent of one worker VM, with the guarantees W1 to W5 of the
// design page.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <boost/json.hpp>

#include "core/resources.hpp"
#include "standin/http_server.hpp"
#include "standin/run_record.hpp"

namespace hemlockdeal
{

class fault_set;

struct worker_settings
{
    // Real run time of a task relative to its declared one.
    double run_factor = 1.0;
    // Age of the usage in a report.
    std::chrono::milliseconds usage_lag{3000};
    std::chrono::milliseconds checkpoint_interval{10000};
    // Refuse a start beyond the VM's size. The record counts it either way.
    bool enforce_size = false;
};

// Progress, 0 to 1, by the name of the checkpoint: the object store.
using checkpoint_store = std::map<std::string, double>;

// What all workers of a process share.
struct worker_surroundings
{
    worker_settings settings;
    run_record& record;
    checkpoint_store& checkpoints;
    fault_set& faults;
};

class worker_standin
{
public:
    // `vm` is the entry of the membership list.
    worker_standin(const boost::json::object& vm, worker_surroundings& shared);

    // Serves a request with a path of "/worker/report" or "/worker/command".
    // Throws std::exception when it is malformed.
    http_reply serve(const http_request& request, standin_time now);

    // Moves running tasks forward: progress, checkpoints, ends, leases.
    void advance(standin_time now);

    // The VM is gone with everything that it runs.
    void lose();

private:
    struct task_run
    {
        std::string shard;
        std::uint64_t epoch = 0;
        resources size;
        std::string state = "running";
        std::string error;
        std::string checkpoint;
        double progress = 0.0;
        double share = 1.0;
        double use_factor = 1.0; // used relative to declared resources
        bool fails = false;      // at its end
        std::chrono::duration<double> run_time{};
        standin_time lease_until;
        standin_time fails_at = standin_time::max(); // of a broken worker
        standin_time next_checkpoint;
        // Share of the processors since each moment, for the lag of reports.
        std::deque<std::pair<standin_time, double>> shares;
    };

    http_reply report(const boost::json::object& message, standin_time now);
    http_reply command(const boost::json::object& message, standin_time now);
    boost::json::object run_command(const boost::json::object& command,
                                    const boost::json::object& batch,
                                    standin_time now);
    std::string start(const run_key& run, const boost::json::object& command,
                      const boost::json::object& batch, standin_time now);
    std::string change(const run_key& run, const std::string& verb,
                       const boost::json::object& command, standin_time now);
    void record_checkpoint(const run_key& run, task_run& task);
    void end(const run_key& run, task_run& task, const char* state, run_end how,
             std::string error);
    bool raise_epoch(const boost::json::object& message);
    boost::json::object status_of(const run_key& run, const task_run& task,
                                  standin_time now) const;
    resources used(const task_run& task, standin_time now) const;
    resources committed() const;
    std::string issue_token(standin_time now);
    bool token_valid(const std::string& token, standin_time now) const;

    std::string id_;
    std::string zone_;
    resources size_;
    worker_surroundings& shared_;
    std::map<std::string, std::uint64_t> epochs_; // highest seen, by shard
    std::map<run_key, task_run> tasks_;           // until they are acknowledged
    std::set<run_key> acknowledged_;              // these never run again
    std::deque<std::pair<standin_time, std::string>> tokens_;
    std::uint64_t tokens_issued_ = 0;
    standin_time advanced_at_{};
};

} // namespace hemlockdeal
