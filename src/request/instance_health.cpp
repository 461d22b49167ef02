// Implementation of the health of an instance.
#include "request/instance_health.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

constexpr duration first_ejection = std::chrono::seconds(1);
constexpr unsigned max_doublings = 5; // 32 s
// A probe with no reply is repeated after this time.
constexpr duration probe_timeout = std::chrono::seconds(2);
constexpr unsigned failures_on_trial = 100;
constexpr unsigned responses_to_pass_trial = 5;
// This many responses in a row end the memory of earlier ejections.
constexpr unsigned responses_to_forget = 50;

} // namespace

void instance_health::add_response(duration elapsed)
{
    responses_.add(elapsed);
    failures_ = 0;
    on_trial_ = on_trial_ && good_responses_ + 1 < responses_to_pass_trial;
    if (++good_responses_ >= responses_to_forget)
    {
        ejections_ = 0;
    }
}

unsigned instance_health::add_failure()
{
    good_responses_ = 0;
    // Reaches every limit at once on trial.
    failures_ += on_trial_ ? failures_on_trial : 1;
    return failures_;
}

void instance_health::eject(time_point now)
{
    const unsigned doublings = std::min(ejections_, max_doublings);
    ejected_until_ = now + first_ejection * (1U << doublings);
    ++ejections_;
    good_responses_ = 0;
}

bool instance_health::take_probe(time_point now)
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
    on_trial_ = true;
}

} // namespace hemlockdeal
