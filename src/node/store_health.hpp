// Whether this VM reaches the store, from the outcomes of its own calls.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "core/core.hpp"
#include "observe/logging.hpp"

namespace hemlockdeal::node
{

class store_health
{
public:
    void on_answer(time_point now)
    {
        last_answer_ = now;
        if (failures_ >= failures_to_doubt)
        {
            log(log_level::info, "store answers again",
                {{"failures", std::to_string(failures_)}});
        }
        failures_ = 0;
    }

    // Seconds after which a caller should come back. The longer the store has
    // been away, the longer it is likely to stay so, and a caller tries only
    // a few times.
    int retry_after_s(time_point now) const
    {
        constexpr std::int64_t longest = 3;
        if (!is_away(now))
        {
            return 1;
        }
        const auto away =
            std::chrono::duration_cast<std::chrono::seconds>(now - away_since_)
                .count();
        return static_cast<int>(std::min(longest, 1 + away / 2));
    }

    void on_failure(std::string_view reason, time_point now)
    {
        ++failures_;
        if (failures_ == failures_to_doubt)
        {
            away_since_ = now;
            log(log_level::warning, "store does not answer",
                {{"reason", std::string(reason)}});
        }
    }

    // True when a call now would very likely fail.
    bool is_away(time_point now) const
    {
        return failures_ >= failures_to_doubt && now - last_answer_ > doubt;
    }

private:
    static constexpr unsigned failures_to_doubt = 2;
    static constexpr duration doubt = std::chrono::milliseconds(400);

    unsigned failures_ = 0;
    time_point last_answer_{};
    time_point away_since_{};
};

} // namespace hemlockdeal::node
