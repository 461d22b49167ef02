// Limits retries to a share of the requests plus a constant rate, so that a
// failing endpoint does not double the load.
#pragma once

#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal
{

// Invariant: in any period, retries are at most share x requests + rate x
// seconds + burst.
class retry_budget
{
public:
    retry_budget(double share, double per_second);

    void count_request();
    bool has_room(time_point now);
    // Consumes one retry. Requires has_room().
    void take();

    // Maximum number of retries that can accumulate in idle periods.
    static constexpr double burst = 30.0;

private:
    void refill(time_point now);

    double share_;
    double per_second_;
    double balance_ = 1.0;
    time_point refilled_at_{};
    bool started_ = false;
};

} // namespace hemlockdeal
