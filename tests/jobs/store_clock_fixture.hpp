// A store whose clock equals the clock of the test.
#pragma once

#include "jobs/jobs.hpp"

namespace hemlockdeal::jobs::test
{

inline store_time store_time_at(time_point at)
{
    return store_time(
        std::chrono::ceil<std::chrono::milliseconds>(at.time_since_epoch()));
}

inline store_clock store_clock_at(time_point now)
{
    store_clock clock;
    clock.on_response(store_time_at(now), now, now);
    return clock;
}

} // namespace hemlockdeal::jobs::test
