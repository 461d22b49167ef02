// Tracks whether this VM can reach the store, from the outcomes of its own
// calls.
#pragma once

#include <string>

#include "core/core.hpp"
#include "observe/logging.hpp"

namespace hemlockdeal::node
{

class store_health
{
public:
    void on_response(time_point now)
    {
        last_response_ = now;
        if (consecutive_failures_ >= failure_threshold)
        {
            log(log_level::info, "store is responding again",
                {{"failures", std::to_string(consecutive_failures_)}});
        }
        consecutive_failures_ = 0;
    }

    void on_failure(std::string_view reason)
    {
        ++consecutive_failures_;
        if (consecutive_failures_ == failure_threshold)
        {
            log(log_level::warning, "store is not responding",
                {{"reason", std::string(reason)}});
        }
    }

    // True if a call made now would very likely fail.
    bool is_unavailable(time_point now) const
    {
        return consecutive_failures_ >= failure_threshold &&
               now - last_response_ > min_silence;
    }

private:
    static constexpr unsigned failure_threshold = 2;
    static constexpr duration min_silence = std::chrono::milliseconds(400);

    unsigned consecutive_failures_ = 0;
    time_point last_response_{};
};

} // namespace hemlockdeal::node
