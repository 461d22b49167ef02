// What this daemon knows of an instance's response times and failures.
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
    void add_response(duration elapsed);
    // Returns the number of failures since the last response.
    unsigned add_failure();

    const response_estimate& responses() const { return responses_; }

    bool is_ejected() const { return ejected_until_.has_value(); }
    // Each ejection lasts twice as long as the one before.
    void eject(time_point now);
    // True when an ejected instance should be probed; counts as the probe.
    bool start_due_probe(time_point now);
    std::optional<time_point> next_probe() const { return ejected_until_; }
    // The instance starts over without response times and on trial.
    void reinstate();
    // After an ejection, an instance gets one request at a time until some
    // were answered; one failure or slow response ejects it again.
    bool is_on_probation() const { return on_probation_; }

private:
    response_estimate responses_{0.2};
    unsigned failures_ = 0;
    // Since the last ejection ended.
    unsigned consecutive_responses_ = 0;
    unsigned consecutive_ejections_ = 0;
    bool on_probation_ = false;
    // Time of the next probe.
    std::optional<time_point> ejected_until_;
};

} // namespace hemlockdeal
