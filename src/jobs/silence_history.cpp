// Silences of workers and their common causes.
#include "jobs/silence_history.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

// Workers that fall silent within this time of each other may have a common
// cause; an unanswered poll ends up to 1.9 s after the failure.
constexpr duration common_cause_time = std::chrono::seconds(1);
constexpr duration max_silence_age = std::chrono::seconds(60);
constexpr std::size_t min_mass_failure = 6;
constexpr std::size_t mass_failure_divisor = 10;
constexpr std::size_t min_domain_failure = 3;
// A job with suspects on this part of the workers may have crashed them all.
constexpr std::size_t common_suspect_divisor = 3;

} // namespace

void silence_history::add(const fleet_worker& worker, std::set<job_id> suspects,
                          time_point now)
{
    std::erase_if(silences_, [&](const silence& entry) {
        return now - entry.since > max_silence_age;
    });
    silences_.push_back({worker.entry.id, worker.entry.zone,
                         worker.entry.labels, std::move(suspects), now});
}

void silence_history::forget(const worker_id& worker)
{
    std::erase_if(silences_,
                  [&](const silence& entry) { return entry.worker == worker; });
}

std::vector<const silence_history::silence*>
silence_history::simultaneous(const fleet_worker& worker) const
{
    std::vector<const silence*> out;
    for (const auto& other : silences_)
    {
        if (std::chrono::abs(other.since - *worker.silent_since) <=
            common_cause_time)
        {
            out.push_back(&other);
        }
    }
    return out;
}

bool silence_history::is_common_suspect(const fleet_worker& worker,
                                        const job_id& job) const
{
    const auto together = simultaneous(worker);
    const auto with_job =
        std::ranges::count_if(together, [&](const silence* other) {
            return other->suspects.contains(job);
        });
    return static_cast<std::size_t>(with_job) * common_suspect_divisor >=
           together.size();
}

template <typename IsInDomain>
bool silence_history::fails_with_most_of(const fleet_worker& worker,
                                         IsInDomain is_in_domain) const
{
    const auto silent =
        std::ranges::count_if(simultaneous(worker), [&](const silence* other) {
            return is_in_domain(other->zone, other->labels);
        });
    const auto members =
        std::ranges::count_if(state_.fleet, [&](const auto& other) {
            const auto& entry = other.second.entry;
            return !other.second.has_ended && !other.second.is_unlisted &&
                   is_in_domain(entry.zone, entry.labels);
        });
    return silent >= static_cast<std::ptrdiff_t>(min_domain_failure) &&
           2 * silent >= members;
}

bool silence_history::is_part_of_mass_failure(const fleet_worker& worker) const
{
    if (!worker.silent_since)
    {
        return false;
    }
    if (simultaneous(worker).size() >=
        std::max(min_mass_failure, state_.fleet.size() / mass_failure_divisor))
    {
        return true;
    }
    const bool is_with_zone = fails_with_most_of(
        worker, [&](const availability_zone_id& zone, const auto& /*labels*/) {
            return zone == worker.entry.zone;
        });
    return is_with_zone ||
           std::ranges::any_of(
               worker.entry.labels, [&](const std::string& label) {
                   return fails_with_most_of(worker, [&](const auto& /*zone*/,
                                                         const auto& labels) {
                       return std::ranges::find(labels, label) != labels.end();
                   });
               });
}

} // namespace hemlockdeal::jobs
