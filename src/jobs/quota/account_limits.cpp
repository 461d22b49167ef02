// Adoption of new caps, and the caps that bind.
#include "jobs/quota/account_limits.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

std::int64_t lower_limit(std::int64_t a, std::int64_t b)
{
    if (a == 0 || b == 0)
    {
        return std::max(a, b);
    }
    return std::min(a, b);
}

bool is_within_limit(std::int64_t limit, std::int64_t sum)
{
    return limit == 0 || sum <= limit;
}

} // namespace

bool is_within(const accounts::resource_cap& cap, const task_size& used,
               const task_size& more)
{
    const auto sum = used + more;
    // A resource that the task does not need cannot hold it back.
    return (more.processor_millis == 0 ||
            is_within_limit(cap.processor_millis, sum.processor_millis)) &&
           (more.memory_mb == 0 ||
            is_within_limit(cap.memory_mb, sum.memory_mb)) &&
           (more.accelerators == 0 ||
            is_within_limit(cap.accelerators, sum.accelerators));
}

accounts::resource_cap lower_of(const accounts::resource_cap& a,
                                const accounts::resource_cap& b)
{
    return {lower_limit(a.processor_millis, b.processor_millis),
            lower_limit(a.memory_mb, b.memory_mb),
            lower_limit(a.accelerators, b.accelerators)};
}

void account_limits::adopt(const accounts::account_directory& accounts,
                           time_point now, duration delay)
{
    std::erase_if(replaced_, [now](const replaced_caps& r) {
        return r.in_force_until <= now;
    });
    replaced_caps replaced;
    replaced.in_force_until = now + delay;
    for (const auto& entry : accounts.entries())
    {
        const auto [known, is_new] =
            policies_.try_emplace(entry.policy.id, entry.policy);
        if (!is_new && known->second.cap != entry.policy.cap)
        {
            replaced.caps.emplace(entry.policy.id, known->second.cap);
        }
        known->second = entry.policy;
    }
    if (!replaced.caps.empty())
    {
        replaced_.push_back(std::move(replaced));
    }
    has_accounts_ = !accounts.empty();
    weight_of_others_ = accounts.empty()
                            ? 1.0
                            : static_cast<double>(accounts.total_weight()) /
                                  static_cast<double>(accounts.size());
}

accounts::account_policy
account_limits::policy_of(const accounts::account_policy& at_acceptance,
                          time_point now) const
{
    const auto known = policies_.find(at_acceptance.id);
    auto policy = known == policies_.end() ? at_acceptance : known->second;
    for (const auto& replaced : replaced_)
    {
        const auto earlier = replaced.caps.find(policy.id);
        if (earlier != replaced.caps.end() && now < replaced.in_force_until)
        {
            policy.cap = lower_of(policy.cap, earlier->second);
        }
    }
    return policy;
}

} // namespace hemlockdeal::jobs
