// Runs of client accounts that may be on workers without being in their
// ledgers.
#pragma once

#include <map>
#include <set>

#include "jobs/scheduler_state.hpp"
#include "jobs/takeover_recovery.hpp"

namespace hemlockdeal::jobs
{

// They count against the caps until they can no longer run: tasks that earlier
// leaders may have started, runs of jobs that ended before a takeover, and
// withdrawn starts that may still be executed.
class in_doubt_runs
{
public:
    in_doubt_runs(scheduler_state& state, const takeover_recovery& recovery)
        : state_(state), recovery_(recovery)
    {}

    // Updates the account ledger.
    void update(time_point now);

private:
    using account_sizes = std::map<account_id, task_size>;

    void add_withdrawn_starts(time_point now, account_sizes& to);
    void add_uncertain_tasks(account_sizes& to) const;
    void add_runs_of_ended_jobs(time_point now, account_sizes& to) const;

    scheduler_state& state_;
    const takeover_recovery& recovery_;
};

} // namespace hemlockdeal::jobs
