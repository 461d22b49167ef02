// Outlier ejection and health probes.
#include "request/ejector.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

constexpr unsigned failures_to_eject = 3;
constexpr unsigned error_statuses_to_eject = 5;
// An instance is slow when its mean response time exceeds this multiple of the
// median of its service.
constexpr int slow_factor = 4;
constexpr std::uint64_t min_samples = 5;
constexpr std::size_t min_compared_instances = 3;
// Smaller differences from the median do not justify an ejection.
constexpr duration min_mean_difference = std::chrono::milliseconds(5);
// An instance that announced that it is leaving and is still listed as live
// after this time is probed: it may have restarted under the same id.
constexpr duration leaving_probe_delay = std::chrono::seconds(60);

} // namespace

ejector::ejector(endpoint_directory& directory, bool enabled)
    : directory_(directory), enabled_(enabled)
{}

void ejector::record_response(instance_index i, duration elapsed,
                              time_point now)
{
    directory_.at(i).health.add_response(elapsed, now);
}

void ejector::record_failure(instance_index i, time_point now)
{
    if (directory_.at(i).health.add_failure() >= failures_to_eject)
    {
        eject(i, "consecutive failures", now);
    }
}

void ejector::record_error_status(instance_index i, time_point now)
{
    if (directory_.at(i).health.add_failure() >= error_statuses_to_eject)
    {
        eject(i, "consecutive 5xx responses", now);
    }
}

void ejector::record_refusal(instance_index i, time_point now)
{
    directory_.at(i).health.add_failure();
    eject(i, "refused a request", now);
}

void ejector::record_leaving(instance_index i, time_point now)
{
    endpoint_instance& e = directory_.at(i);
    if (!e.announced_leaving)
    {
        add_event(e, "endpoint.leaving", "announced by the instance");
    }
    e.announced_leaving = now;
}

void ejector::on_probe_result(instance_index i, bool healthy, time_point now)
{
    endpoint_instance& e = directory_.at(i);
    if (e.announced_leaving && now - *e.announced_leaving > leaving_probe_delay)
    {
        e.announced_leaving =
            healthy ? std::nullopt : std::optional<time_point>(now);
        return;
    }
    if (!e.health.is_ejected())
    {
        if (!healthy)
        {
            record_failure(i, now);
        }
        return;
    }
    if (!healthy)
    {
        e.health.eject(now);
        return;
    }
    e.health.reinstate();
    add_event(e, "endpoint.reinstated", "probe succeeded");
}

std::vector<instance_index> ejector::run(time_point now)
{
    std::vector<instance_index> probes;
    if (now < next_run_)
    {
        return probes;
    }
    next_run_ = now + run_interval;
    for (service_index s = 0; s < directory_.service_count(); ++s)
    {
        eject_slow_instances(s, now);
    }
    for (instance_index i = 0; i < directory_.size(); ++i)
    {
        endpoint_instance& e = directory_.at(i);
        if (!e.listed || e.listed_leaving || e.unusable)
        {
            continue;
        }
        const bool leaving_check =
            e.announced_leaving &&
            now - *e.announced_leaving > leaving_probe_delay;
        if (e.health.start_due_probe(now) || leaving_check)
        {
            probes.push_back(i);
        }
    }
    return probes;
}

void ejector::eject(instance_index i, const std::string& reason, time_point now)
{
    endpoint_instance& e = directory_.at(i);
    if (!enabled_ || e.health.is_ejected() || !may_eject(e))
    {
        return;
    }
    e.health.eject(now);
    add_event(e, "endpoint.ejected", reason);
}

bool ejector::may_eject(const endpoint_instance& e) const
{
    std::size_t ejected = 0;
    std::size_t total = 0;
    for (const auto& tier : directory_.service(e.service).tiers)
    {
        for (const instance_index i : tier)
        {
            const endpoint_instance& other = directory_.at(i);
            total += other.is_leaving() ? 0 : 1;
            ejected += !other.is_leaving() && other.health.is_ejected() ? 1 : 0;
        }
    }
    return 2 * (ejected + 1) <= total;
}

void ejector::eject_slow_instances(service_index s, time_point now)
{
    std::vector<duration> means;
    const auto is_comparable = [&](instance_index i) {
        const endpoint_instance& e = directory_.at(i);
        // One response is enough for an instance on probation.
        const std::uint64_t needed =
            e.health.is_on_probation() ? 1 : min_samples;
        return !e.health.is_ejected() &&
               e.health.responses().samples() >= needed;
    };
    const auto& tiers = directory_.service(s).tiers;
    for (const auto& tier : tiers)
    {
        for (const instance_index i : tier)
        {
            if (is_comparable(i))
            {
                means.push_back(directory_.at(i).health.responses().mean());
            }
        }
    }
    if (means.size() < min_compared_instances)
    {
        return;
    }
    const auto median =
        means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::ranges::nth_element(means, median);
    const duration limit =
        std::max(*median * slow_factor, *median + min_mean_difference);
    for (const auto& tier : tiers)
    {
        for (const instance_index i : tier)
        {
            if (is_comparable(i) &&
                directory_.at(i).health.responses().mean() > limit)
            {
                eject(i,
                      "mean response time far above the median of the service",
                      now);
            }
        }
    }
}

void ejector::add_event(const endpoint_instance& e, const std::string& kind,
                        const std::string& text)
{
    timeline_event event;
    event.kind = kind;
    event.zone = e.zone.value();
    event.text = e.id.value() + ": " + text;
    events_.push_back({std::move(event)});
}

std::vector<record_event> ejector::take_events()
{
    return std::exchange(events_, {});
}

} // namespace hemlockdeal
