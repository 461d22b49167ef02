// Instance health: probation, ejection back-off and probe times.
#include "request/instance_health.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

constexpr duration base_ejection_time = std::chrono::seconds(1);
constexpr unsigned max_doublings = 5; // up to 32 s
// An unanswered probe is repeated after this time.
constexpr duration probe_timeout = std::chrono::seconds(2);
constexpr unsigned probation_failure_weight = 100;
constexpr unsigned probation_responses = 5;
// The ejection back-off is reset after this many consecutive responses.
constexpr unsigned responses_to_reset_backoff = 50;
// How long after its last response a mean response time counts.
constexpr duration estimate_lifetime = std::chrono::seconds(5);

} // namespace

void instance_health::add_response(duration elapsed, time_point now)
{
    if (is_outdated(now))
    {
        responses_.reset();
    }
    last_response_at_ = now;
    responses_.add(elapsed);
    failures_ = 0;
    on_probation_ =
        on_probation_ && consecutive_responses_ + 1 < probation_responses;
    if (++consecutive_responses_ >= responses_to_reset_backoff)
    {
        consecutive_ejections_ = 0;
    }
}

bool instance_health::is_outdated(time_point now) const
{
    return now - last_response_at_ > estimate_lifetime;
}

std::optional<duration> instance_health::expected_response(time_point now) const
{
    return responses_.samples() == 0 || is_outdated(now)
               ? std::nullopt
               : std::optional(responses_.mean());
}

unsigned instance_health::add_failure()
{
    consecutive_responses_ = 0;
    // On probation, one failure reaches every ejection threshold.
    failures_ += on_probation_ ? probation_failure_weight : 1;
    return failures_;
}

void instance_health::eject(time_point now)
{
    const unsigned doublings = std::min(consecutive_ejections_, max_doublings);
    ejected_until_ = now + base_ejection_time * (1U << doublings);
    ++consecutive_ejections_;
    consecutive_responses_ = 0;
}

bool instance_health::start_due_probe(time_point now)
{
    if (!ejected_until_ || now < *ejected_until_)
    {
        return false;
    }
    ejected_until_ = now + probe_timeout;
    return true;
}

void instance_health::reinstate()
{
    ejected_until_.reset();
    responses_.reset();
    on_probation_ = true;
}

} // namespace hemlockdeal
