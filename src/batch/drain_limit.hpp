// Limits the rate of journal flushes after an outage of the table, so that
// the backlogs of all daemons do not bring it down again.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/time.hpp"

namespace hemlockdeal
{

class drain_limit
{
public:
    explicit drain_limit(double rows_per_second)
        : rows_per_second_(rows_per_second)
    {}

    void begin(time_point now)
    {
        if (!draining_)
        {
            draining_ = true;
            rows_ = 1.0;
            counted_at_ = now;
        }
    }

    void end() { draining_ = false; }
    bool draining() const { return draining_; }

    // Whether one more row may be written now; counts it.
    bool take(time_point now)
    {
        if (!draining_)
        {
            return true;
        }
        const std::chrono::duration<double> passed = now - counted_at_;
        counted_at_ = now;
        rows_ = std::min(rows_ + passed.count() * rows_per_second_, 2.0);
        if (rows_ < 1.0)
        {
            return false;
        }
        rows_ -= 1.0;
        return true;
    }

private:
    double rows_per_second_;
    bool draining_ = false;
    double rows_ = 0.0;
    time_point counted_at_;
};

} // namespace hemlockdeal
