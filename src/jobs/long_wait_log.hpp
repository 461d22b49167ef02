// Log events on long-running tasks that do not run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jobs/scheduler_state.hpp"
#include "jobs/wait_diagnosis.hpp"

namespace hemlockdeal::jobs
{

// Logs each long-running task that has not run for longer than a limit: once
// when the limit is exceeded, a few times when the reason changes, and once
// when the task runs again. It only reads the state, so that no decision
// depends on it.
class long_wait_log
{
public:
    explicit long_wait_log(scheduler_state& state)
        : state_(state), diagnosis_(state)
    {}

    // The leadership begins. What ran before is not known, so that no episode
    // begins earlier.
    void begin(time_point now) { checked_at_ = now; }
    // Does nothing more often than once a second.
    void check(const wait_circumstances& circumstances);

private:
    // A time for which a task has not run on a worker that responds.
    struct episode
    {
        time_point since{};
        time_point examined_at{};
        // What was logged last; empty while the limit is not exceeded.
        std::optional<wait_finding> logged;
        unsigned changes = 0;
    };
    using field_list = std::vector<std::pair<std::string_view, std::string>>;

    // Ends the episodes of tasks that run, and of tasks that are gone.
    void end_episodes(time_point now);
    // Adds the tasks of steps that wait for a worker.
    void add_waiting_tasks(const wait_circumstances& circumstances);
    void add_waiting_tasks(const live_job& owner, std::uint32_t occurrence,
                           std::uint32_t step, time_point now);
    // Adds the runs on workers that do not respond.
    void add_silent_runs(time_point now);
    void begin_episode(const task_key& key, time_point since);
    void examine_long_episodes(const wait_circumstances& circumstances);
    void examine(const task_key& key, episode& e,
                 const wait_circumstances& circumstances);
    void log_end(const task_key& key, const episode& e, time_point ended_at);
    static field_list fields_of(const task_key& key, duration waited,
                                const wait_finding& found);
    void log_line(std::string_view message, field_list fields);
    void log_left_out_lines();

    // When the task was last known to run, or `now` if it runs; empty if it has
    // not run since `since`.
    std::optional<time_point> ran_at(const task_key& key,
                                     const task_record& task, time_point since,
                                     time_point now) const;
    bool responds(const fleet_worker& worker, time_point now) const;
    const task_record* find_task(const task_key& key) const;

    scheduler_state& state_;
    wait_diagnosis diagnosis_;
    std::map<task_key, episode> episodes_;
    time_point checked_at_{};
    std::size_t lines_ = 0;
    std::size_t lines_left_out_ = 0;
};

} // namespace hemlockdeal::jobs
