// Chooses the instance for a request: same zone first, then the region, then
// other regions.
#pragma once

#include <algorithm>
#include <optional>
#include <random>

#include "core/core.hpp"
#include "request/endpoint_directory.hpp"
#include "request/link_bucket.hpp"
#include "request/path_classifier.hpp"

namespace hemlockdeal
{

// The instances of one tier, as candidates of a load-balancing policy.
template <typename Policy>
class route_candidates
{
public:
    route_candidates(const endpoint_directory& directory, service_index service,
                     std::size_t tier, std::optional<instance_index> excluded,
                     time_point now)
        : directory_(directory),
          members_(directory.service(service).tiers[tier]),
          service_mean_(directory.service(service).responses.mean()),
          excluded_(excluded), now_(now)
    {}

    std::size_t size() const { return members_.size(); }
    instance_index index(std::size_t i) const { return members_[i]; }

    bool is_usable(std::size_t i) const
    {
        const endpoint_instance& e = directory_.at(members_[i]);
        return Policy::has_slot(in_flight(i), e.share.usable(now_)) &&
               Policy::may_receive(e.is_leaving()) && !e.health.is_ejected() &&
               !(e.health.is_on_probation() && in_flight(i) > 0) &&
               excluded_ != members_[i];
    }

    std::uint32_t in_flight(std::size_t i) const
    {
        return static_cast<std::uint32_t>(
            directory_.at(members_[i]).in_flight.size());
    }

    // (in flight + 1) x response time. A request that has been in flight for
    // longer than the mean already shows that the instance is slow.
    double load(std::size_t i) const
    {
        const endpoint_instance& e = directory_.at(members_[i]);
        duration expected =
            e.health.expected_response(now_).value_or(service_mean_);
        if (!e.in_flight.empty())
        {
            expected =
                std::max(expected, duration(now_ - e.in_flight.front().first));
        }
        return static_cast<double>(in_flight(i) + 1) *
               static_cast<double>(expected.count() + 1);
    }

private:
    const endpoint_directory& directory_;
    const std::vector<instance_index>& members_;
    duration service_mean_;
    std::optional<instance_index> excluded_;
    time_point now_;
};

template <typename Policy>
class router
{
public:
    explicit router(std::uint64_t seed) : generator_(seed) {}

    // `excluded` is the instance of the previous failed attempt.
    std::optional<instance_index>
    choose(const endpoint_directory& directory, service_index service,
           const request_rule& rule, bool link_has_room,
           std::optional<instance_index> excluded, time_point now)
    {
        const std::size_t tiers =
            rule.cross_region && link_has_room ? tier_count : far_tier;
        for (std::size_t tier = 0; tier < tiers; ++tier)
        {
            const route_candidates<Policy> candidates(directory, service, tier,
                                                      excluded, now);
            const auto chosen = choice_.choose(candidates, generator_);
            if (chosen)
            {
                return candidates.index(*chosen);
            }
        }
        return std::nullopt;
    }

    std::mt19937_64& generator() { return generator_; }

private:
    std::mt19937_64 generator_;
    typename Policy::route_choice choice_;
};

} // namespace hemlockdeal
