// Client accounts of the simulated fleet, whose caps change, and the check that
// none of them exceeds its cap.
#include "fleet_world.hpp"

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "account_fixture.hpp"

namespace hemlockdeal::jobs::test
{

namespace
{

using std::chrono::milliseconds;

constexpr std::array account_names{"a", "b", "c"};
// Changes of the caps, per time step.
constexpr double cap_changes = 0.006;
// Cancellations just before a takeover, per time step.
constexpr double cancellations = 0.002;
// The largest task needs 2,500.
constexpr std::int64_t least_cap = 2500;
constexpr std::int64_t cap_range = 4000;
// Until a version is in force on every VM.
constexpr auto configuration_delay = milliseconds(3000);
// A start that was decided under an earlier cap takes effect this much later:
// the validity of start orders by a slow worker clock.
constexpr auto longest_start = milliseconds(2700);

} // namespace

void fleet_world::set_owner(job& j)
{
    if (!faults_.accounts)
    {
        return;
    }
    // One job in four belongs to nobody.
    const auto owner = account_random_() % (account_names.size() + 1);
    if (owner < account_names.size())
    {
        const auto id = account_id(account_names.at(owner));
        j.account = make_policy(id.value(), caps_versions_.back().caps.at(id));
    }
}

job fleet_world::recovered(const job& definition) const
{
    auto out = definition;
    if (removed_ == removed_safeguard::owners_of_recovered_jobs)
    {
        out.account.reset();
    }
    return out;
}

void fleet_world::change_caps()
{
    if (!happens_to_accounts(cap_changes))
    {
        return;
    }
    publish_caps();
    const auto version = caps_versions_.size() - 1;
    for (std::size_t vm = 0; vm < entry_vms_.size(); ++vm)
    {
        schedule(milliseconds(static_cast<std::int64_t>(
                     account_random_() % configuration_delay.count())),
                 [this, vm, version] { adopt_caps(vm, version); });
    }
}

bool fleet_world::happens_to_accounts(double share)
{
    return faults_.accounts && has_faults_ &&
           std::uniform_real_distribution<double>(0.0, 1.0)(account_random_) <
               share;
}

void fleet_world::cancel_before_kill()
{
    if (!happens_to_accounts(cancellations) || !leader_)
    {
        return;
    }
    // The run that lasts longest is the likeliest to outlive the takeover.
    worker_id chosen;
    job_id cancelled;
    time_point ends_at{};
    for (const auto& [id, w] : workers_)
    {
        for (const auto& [key, run] : w.running())
        {
            if (run.ends_at > ends_at && submitted_.at(key.job).account)
            {
                chosen = id;
                cancelled = key.job;
                ends_at = run.ends_at;
            }
        }
    }
    if (cancelled.empty())
    {
        return;
    }
    disconnected_until_[chosen] = now_ + milliseconds(6000);
    cancelled_.insert(cancelled);
    leader_->cancel_job(cancelled, now_);
    // By then, the final state of the job is stored.
    schedule(milliseconds(200), [this] {
        if (leader_)
        {
            kill_leader();
        }
    });
}

void fleet_world::publish_caps()
{
    caps_version next;
    next.published_at = now_;
    for (const auto* name : account_names)
    {
        next.caps[account_id(name)] =
            least_cap +
            static_cast<std::int64_t>(account_random_() % cap_range);
    }
    caps_versions_.push_back(std::move(next));
}

void fleet_world::adopt_caps(std::size_t vm, std::size_t version)
{
    auto& to = entry_vms_.at(vm);
    const bool is_lost = removed_ == removed_safeguard::published_caps;
    if (version < to.version || (is_lost && version > 0))
    {
        return;
    }
    to.version = version;
    std::vector<accounts::account_policy> policies;
    for (const auto& [id, cap] : caps_versions_.at(version).caps)
    {
        policies.push_back(make_policy(id.value(), cap));
    }
    to.limits.adopt(make_accounts(policies), now_, configuration_delay);
    if (leader_ && leading_vm() == vm)
    {
        leader_->set_account_limits(to.limits);
        used_caps_version_ = std::max(used_caps_version_, version);
    }
}

leader_permission fleet_world::permission() const
{
    leader_permission out;
    out.may_start_account_tasks =
        !faults_.accounts ||
        entry_vms_.at(leading_vm()).version >= used_caps_version_;
    return out;
}

void fleet_world::check_account(const start_order& o)
{
    const auto& owner = submitted_.at(o.task.job).account;
    if (!owner)
    {
        return;
    }
    std::int64_t used = 0;
    for (const auto& [id, w] : workers_)
    {
        for (const auto& [key, run] : w.running())
        {
            const auto& other = submitted_.at(key.job).account;
            used +=
                other && other->id == owner->id ? run.size.processor_millis : 0;
        }
    }
    std::int64_t highest = 0;
    // The last version has not been replaced.
    auto replaced_at = now_;
    for (auto version = caps_versions_.rbegin();
         version != caps_versions_.rend() &&
         replaced_at + configuration_delay + longest_start >= now_;
         ++version)
    {
        highest = std::max(highest, version->caps.at(owner->id));
        replaced_at = version->published_at;
    }
    if (used > highest)
    {
        record_violation(to_text(o.task) + " brings account " +
                         owner->id.value() + " to " + std::to_string(used) +
                         ", above its cap of " + std::to_string(highest));
    }
}

} // namespace hemlockdeal::jobs::test
