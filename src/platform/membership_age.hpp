// Time since the last membership list that could be read. The daemon works with
// that list until the next one arrives.
#pragma once

#include <chrono>
#include <optional>

#include "core/time.hpp"

namespace hemlockdeal
{

class membership_age
{
public:
    enum class change
    {
        became_old,
        is_fresh_again
    };

    // Well beyond the timeout of a single call, and below the time after which
    // the tasks of a removed worker start again (31 s).
    static constexpr duration old_after = std::chrono::seconds(10);

    explicit membership_age(time_point now) : received_at_(now) {}

    void on_list(time_point now) { received_at_ = now; }
    duration age(time_point now) const { return now - received_at_; }

    // The change since the last call, if any.
    std::optional<change> check(time_point now)
    {
        const bool is_old = age(now) > old_after;
        if (is_old == was_old_)
        {
            return std::nullopt;
        }
        was_old_ = is_old;
        return is_old ? change::became_old : change::is_fresh_again;
    }

private:
    time_point received_at_;
    bool was_old_ = false;
};

} // namespace hemlockdeal
