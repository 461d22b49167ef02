// Stand-in for the agent of one worker VM, with the guarantees W1 to W5 of the
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
    // Actual run time of a task divided by its declared run time.
    double run_factor = 1.0;
    // Age of the resource usage in a report.
    std::chrono::milliseconds usage_lag{3000};
    std::chrono::milliseconds checkpoint_interval{10000};
    // Refuse starts that exceed the VM's size. When off, the record counts
    // how often the size was exceeded.
    bool enforce_size = false;
};

// Stand-in for the object store: checkpoint name to progress (0 to 1).
using checkpoint_store = std::map<std::string, double>;

// State shared by all workers of a process.
struct worker_context
{
    worker_settings settings;
    run_record& record;
    checkpoint_store& checkpoints;
    fault_set& faults;
};

class worker_standin
{
public:
    // `vm` is the worker's entry of the membership list.
    worker_standin(const boost::json::object& vm, worker_context& context);

    // Serves a request with a path of "/worker/report" or "/worker/command".
    // Throws std::exception when it is malformed.
    http_reply serve(const http_request& request, standin_time now);

    // Updates running tasks up to `now`: progress, completion and failure,
    // lease expiry and checkpoints.
    void advance(standin_time now);

    // Ends all running tasks because the VM is gone.
    void terminate();

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
        double use_factor = 1.0; // used divided by declared resources
        bool fails = false;      // instead of finishing
        std::chrono::duration<double> run_time{};
        standin_time lease_until;
        standin_time fails_at = standin_time::max(); // fault `fail_all`
        standin_time next_checkpoint;
        // Processor share from each time on, since reports show earlier usage.
        std::deque<std::pair<standin_time, double>> shares;
    };

    http_reply report(const boost::json::object& message, standin_time now);
    http_reply command(const boost::json::object& message, standin_time now);
    boost::json::object run_command(const boost::json::object& command,
                                    const boost::json::object& batch,
                                    standin_time now);
    std::string start(const run_key& run, const boost::json::object& command,
                      const boost::json::object& batch, standin_time now);
    std::string change_task(const run_key& run, const std::string& verb,
                            const boost::json::object& command,
                            standin_time now);
    void record_checkpoint(const run_key& run, task_run& task);
    void end(const run_key& run, task_run& task, const char* state,
             run_outcome outcome, std::string error);
    bool accept_epoch(const boost::json::object& message);
    boost::json::object status_of(const run_key& run, const task_run& task,
                                  standin_time now) const;
    resources usage_of(const task_run& task, standin_time now) const;
    resources committed() const;
    std::string issue_token(standin_time now);
    bool is_token_valid(const std::string& token, standin_time now) const;

    std::string id_;
    std::string zone_;
    resources size_;
    worker_context& context_;
    std::map<std::string, std::uint64_t> epochs_; // highest received, by shard
    std::map<run_key, task_run> tasks_;           // until acknowledged
    std::set<run_key> acknowledged_;              // never started again
    std::deque<std::pair<standin_time, std::string>> tokens_;
    std::uint64_t tokens_issued_ = 0;
    standin_time advanced_at_{};
};

} // namespace hemlockdeal
