// Sums of the runs in doubt by account.
#include "jobs/quota/in_doubt_runs.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

// The runs of a job have ended this long after the job: by then, stops have
// been repeated, leases have expired, and no start is executed any more.
constexpr auto ended_job_memory = std::chrono::seconds(60);

} // namespace

void in_doubt_runs::update(time_point now)
{
    account_sizes sizes;
    add_withdrawn_starts(now, sizes);
    if (!recovery_.is_complete())
    {
        add_uncertain_tasks(sizes);
        add_runs_of_ended_jobs(now, sizes);
    }
    state_.registry.forget_ended(now, ended_job_memory);
    state_.account_usage.set_in_doubt(std::move(sizes));
}

void in_doubt_runs::add_withdrawn_starts(time_point now, account_sizes& to)
{
    std::erase_if(state_.withdrawn_starts, [now](const withdrawn_start& start) {
        return start.may_run_until <= now;
    });
    for (const auto& start : state_.withdrawn_starts)
    {
        to[start.account] += start.size;
    }
    if (!state_.may_have_given_up_starts)
    {
        return;
    }
    state_.may_have_given_up_starts = false;
    for (const auto& [id, worker] : state_.fleet)
    {
        state_.may_have_given_up_starts |= !worker.given_up.empty();
        for (const auto& start : worker.given_up)
        {
            // On a silent worker, starts are kept until it responds.
            const bool may_run = now < latest_end(start, state_.options);
            if (may_run && !start.account.empty())
            {
                to[start.account] += start.size;
            }
        }
    }
}

void in_doubt_runs::add_uncertain_tasks(account_sizes& to) const
{
    for (const auto& [id, owner] : state_.registry.live())
    {
        const auto& account = owner->definition().account;
        if (account)
        {
            to[account->id] += owner->uncertain_size();
        }
    }
}

void in_doubt_runs::add_runs_of_ended_jobs(time_point now,
                                           account_sizes& to) const
{
    for (const auto& [id, ended] : state_.registry.ended())
    {
        const auto over_at =
            ended.at ? state_.clock.reached_by(*ended.at + ended_job_memory)
                     : std::nullopt;
        if (over_at && *over_at <= now)
        {
            continue;
        }
        for (const auto& position : ended.ending)
        {
            if (recovery_.may_run_on_unseen_worker(
                    {id, position.occurrence, position.step, position.index}))
            {
                to[ended.account] += ended.step_sizes[position.step];
            }
        }
    }
}

} // namespace hemlockdeal::jobs
