// The stand-ins' own counts, which tests compare with what the daemons and the
// command-line tool report.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "core/resources.hpp"

namespace hemlockdeal
{

// The monotonic clock of the stand-ins.
using standin_clock = std::chrono::steady_clock;
using standin_time = standin_clock::time_point;

enum class run_outcome
{
    finished,
    failed,
    stopped,       // by a stop command
    lease_expired, // by the worker itself
    vm_lost
};

// Task id and number of the attempt, as sent by the daemon.
using run_key = std::pair<std::string, std::uint64_t>;

class run_record
{
public:
    void count_start(const run_key& run, const std::string& worker,
                     const std::string& zone);
    void count_end(const run_key& run, const std::string& worker,
                   run_outcome outcome);
    // Records the sum of the declared sizes of the tasks on a worker.
    void count_committed(const std::string& worker, const resources& committed,
                         const resources& size);
    void count_commit(std::size_t rows);
    void count_conflict() { ++conflicts_; }
    void count_read();

    std::uint64_t starts(const std::string& task) const;
    std::uint64_t finishes(const std::string& task) const;
    // Number of starts of a task that was already running on some worker.
    std::uint64_t overlaps() const;
    std::uint64_t commits() const;

    // The response to GET /record. Times are Unix times in milliseconds.
    boost::json::object to_json() const;

private:
    struct task_count
    {
        std::uint64_t starts = 0;
        std::uint64_t overlaps = 0;
        std::map<run_outcome, std::uint64_t> outcomes;
        // Worker and attempt.
        std::set<std::pair<std::string, std::uint64_t>> running;
    };
    struct worker_count
    {
        resources highest; // maximum of each resource on its own
        resources size;
        std::uint64_t times_exceeded = 0;
    };
    struct table_count
    {
        std::uint64_t commits = 0;
        std::uint64_t rows = 0;
        std::uint64_t reads = 0;
    };
    struct start_entry
    {
        std::int64_t at_ms = 0;
        run_key run;
        std::string worker;
        std::string zone;
    };

    std::map<std::string, task_count> tasks_;
    std::map<std::string, worker_count> workers_;
    std::map<std::int64_t, table_count> table_; // by Unix time in seconds
    std::vector<start_entry> starts_;
    std::uint64_t conflicts_ = 0;
};

} // namespace hemlockdeal
