// Record of starts, crashes and shown states as workers and callers see them,
// and the checks of how the scheduler treats tasks that crash their workers.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "emulation/crash_options.hpp"
#include "jobs/jobs.hpp"

namespace hemlockdeal::emulation
{

enum class crash_check
{
    // A task is started too often after the crashes that it caused, or after
    // its job was given up.
    repeated_start,
    // A job with a crashing task is not given up in time.
    late_give_up,
    // A job without a crashing task is given up.
    wrong_give_up,
    // A job is shown as completed while a task has not ended as done.
    completed_early,
    // A sound job is not completed in time.
    unfinished_job,
    // A lasting task does not run although there is room.
    lasting_task_away,
    // A task runs on two workers at the same time.
    second_run
};

std::string_view to_text(crash_check check);

struct crash_violation
{
    crash_check check = crash_check::repeated_start;
    time_point at{};
    std::string text;
};

struct crash_result
{
    // Starts of crashing tasks, in total and at most of one.
    std::size_t crashing_starts = 0;
    std::size_t max_starts = 0;
    // Most starts of one task after it had crashed as many workers as the
    // limit states.
    std::size_t max_later_starts = 0;
    // Workers that were crashed by tasks, and that were lost otherwise.
    std::size_t crashes_by_tasks = 0;
    std::size_t other_losses = 0;

    std::size_t crashing_jobs = 0;
    std::size_t given_up_rightly = 0;
    std::size_t given_up_wrongly = 0;
    // From the first start, and from the second crash by the same task.
    duration longest_until_given_up{};
    duration longest_since_second_crash{};

    std::size_t sound_jobs = 0;
    std::size_t sound_jobs_completed = 0;
    std::size_t lasting_losses = 0;
    // From the loss of a lasting run to the next start, regardless of room.
    duration longest_away{};
    duration total_away{};
    // Longest such time with room, without takeovers.
    duration longest_away_with_room{};
    std::size_t takeovers = 0;

    std::vector<crash_violation> violations;
};

class crash_ledger
{
public:
    explicit crash_ledger(const crash_limits& limits) : limits_(limits) {}

    void on_submitted(const jobs::job& definition,
                      std::set<jobs::task_key> crashing, time_point now);
    void on_started(const jobs::task_key& task, const worker_id& worker,
                    time_point now);
    void on_run_ended(const jobs::task_key& task, const worker_id& worker,
                      jobs::run_end how, time_point now);
    // The worker has ended with these runs; `cause` is the task that crashed
    // it.
    void on_worker_lost(const worker_id& worker,
                        const std::vector<jobs::task_key>& runs,
                        const std::optional<jobs::task_key>& cause,
                        time_point now);
    // A start was sent to a worker that has ended or is cut off since
    // `lost_at`.
    void on_start_lost(const jobs::task_key& task, time_point lost_at,
                       time_point now);
    void on_takeover(time_point now);
    // A caller that asks for the job's state gets this one.
    void on_shown_state(const job_id& id, jobs::job_state state,
                        time_point now);

    // Checks the times until jobs are given up; call it every second or so.
    void check_times(time_point now);

    // Lasting tasks of sound jobs that have lost their run.
    std::vector<jobs::task_key> lasting_without_run() const;
    // There was room for the lost task during the time that passed.
    void add_time_with_room(const jobs::task_key& task, duration passed,
                            time_point now);

    // Applies the checks that need the whole record.
    void close(time_point now);
    bool is_over(const job_id& id) const { return jobs_.at(id).is_over; }
    const crash_result& result() const { return result_; }

private:
    struct recorded_job
    {
        time_point submitted_at{};
        bool is_lasting = false;
        std::set<jobs::task_key> crashing;
        // Tasks that have not ended as done.
        std::set<jobs::task_key> not_done;
        std::optional<time_point> first_start_at;
        std::optional<time_point> second_crash_at;
        bool is_over = false;
        bool is_late = false;
    };
    struct crash_count
    {
        std::size_t starts = 0;
        std::size_t crashes = 0;
        std::size_t later_starts = 0;
    };
    struct lost_lasting_run
    {
        time_point at{};
        duration with_room{};
        bool is_late = false;
    };

    void count_start(const jobs::task_key& task, recorded_job& owner,
                     time_point now);
    void count_crash(const jobs::task_key& task, time_point now);
    // Time that the recovery after a takeover may still take.
    duration recovery_left(time_point now) const;
    void note_lost_run(const jobs::task_key& task, time_point now);
    void check_completed(const job_id& id, const recorded_job& owner,
                         time_point now);
    void check_failed(const job_id& id, const recorded_job& owner,
                      time_point now);
    void check_give_up_time(const job_id& id, recorded_job& owner,
                            time_point now);
    void record(crash_check check, const std::string& text, time_point now)
    {
        result_.violations.push_back({check, now, text});
    }

    crash_limits limits_;
    std::map<job_id, recorded_job> jobs_;
    std::map<jobs::task_key, crash_count> counts_;
    std::map<jobs::task_key, std::set<worker_id>> running_;
    std::map<jobs::task_key, lost_lasting_run> lost_lasting_;
    time_point took_over_at_{};
    crash_result result_;
};

} // namespace hemlockdeal::emulation
