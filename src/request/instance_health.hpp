// Response times, failures and ejection state of an instance, as observed by
// this daemon.
#pragma once

#include <cstdint>
#include <optional>

#include "core/core.hpp"
#include "request/response_estimate.hpp"

namespace hemlockdeal
{

class instance_health
{
public:
    void add_response(duration elapsed, time_point now);
    // Mean response time; empty if there is none, or if the last response is
    // too old to say anything about the next one. Without this limit, an
    // instance that was slow once would get no request that shows otherwise, as
    // long as others are free.
    std::optional<duration> expected_response(time_point now) const;
    // Returns the number of failures since the last response.
    unsigned add_failure();

    const response_estimate& responses() const { return responses_; }

    bool is_ejected() const { return ejected_until_.has_value(); }
    // The ejection time doubles with each consecutive ejection.
    void eject(time_point now);
    // True when an ejected instance is due for a probe. The probe is then
    // considered sent.
    bool start_due_probe(time_point now);
    std::optional<time_point> next_probe() const { return ejected_until_; }
    // Ends the ejection, resets the response times and starts probation.
    void reinstate();
    // An instance on probation gets one request at a time until it has
    // completed several; one failure or slow response ejects it again.
    bool is_on_probation() const { return on_probation_; }

private:
    bool is_outdated(time_point now) const;

    response_estimate responses_{0.2};
    time_point last_response_at_{};
    unsigned failures_ = 0;
    // Since the last failure or ejection.
    unsigned consecutive_responses_ = 0;
    unsigned consecutive_ejections_ = 0;
    bool on_probation_ = false;
    // Time of the next probe.
    std::optional<time_point> ejected_until_;
};

} // namespace hemlockdeal
