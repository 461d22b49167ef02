// Collection of the figures by account.
#include "jobs/quota/account_report.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "jobs/quota/quota_gate.hpp"

namespace hemlockdeal::jobs
{

namespace
{

constexpr std::size_t max_accounts_in_summary = 20;

void add_waiting(const live_job& owner, const quota_gate& quota, time_point now,
                 account_report& to)
{
    const auto& steps = owner.definition().steps;
    for (const auto& [k, occurrence] : owner.active())
    {
        for (std::size_t s = 0; s < occurrence.steps.size(); ++s)
        {
            const auto waiting = occurrence.steps[s].waiting;
            const auto together = steps[s].is_gang ? steps[s].task_count : 1U;
            to.waiting_tasks += waiting;
            if (waiting > 0 && !quota.admits(owner, steps[s], together, now))
            {
                to.held_by_cap += waiting;
            }
        }
    }
}

std::string describe(const account_report& report)
{
    const auto& cap = report.policy.cap;
    return "processor_millis " +
           std::to_string(report.running.processor_millis) + " of " +
           std::to_string(cap.processor_millis) + ", in doubt " +
           std::to_string(report.in_doubt.processor_millis) + ", memory_mb " +
           std::to_string(report.running.memory_mb) + " of " +
           std::to_string(cap.memory_mb) + ", accelerators " +
           std::to_string(report.running.accelerators) + " of " +
           std::to_string(cap.accelerators) + ", weight " +
           std::to_string(report.policy.weight) + ", jobs " +
           std::to_string(report.jobs) + ", waiting " +
           std::to_string(report.waiting_tasks) + ", held by cap " +
           std::to_string(report.held_by_cap);
}

} // namespace

std::vector<account_report> account_reports(const scheduler_state& state,
                                            time_point now)
{
    std::map<account_id, account_report> reports;
    for (const auto& [id, policy] : state.limits.policies())
    {
        reports[id].policy = state.limits.policy_of(policy, now);
    }
    const quota_gate quota(state);
    for (const auto& [id, owner] : state.registry.live())
    {
        const auto& account = owner->definition().account;
        if (!account)
        {
            continue;
        }
        auto& report = reports[account->id];
        report.policy = state.limits.policy_of(*account, now);
        ++report.jobs;
        add_waiting(*owner, quota, now, report);
    }
    std::vector<account_report> out;
    for (auto& [id, report] : reports)
    {
        report.running = state.account_usage.running(id);
        report.in_doubt = state.account_usage.in_doubt(id);
        out.push_back(std::move(report));
    }
    return out;
}

decision_event account_summary(const scheduler_state& state, time_point now)
{
    auto reports = account_reports(state, now);
    std::ranges::stable_sort(reports, std::greater{},
                             &account_report::waiting_tasks);
    reports.resize(std::min(reports.size(), max_accounts_in_summary));
    decision_event event{"load of accounts", {}};
    std::string accounts;
    for (const auto& report : reports)
    {
        accounts += (accounts.empty() ? "" : "; ") + report.policy.id.value() +
                    ": " + describe(report);
    }
    event.fields.emplace_back("accounts", std::move(accounts));
    return event;
}

} // namespace hemlockdeal::jobs
