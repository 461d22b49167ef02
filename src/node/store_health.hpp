// Whether this VM reaches the store, from the outcomes of its own calls.
#pragma once

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

    void on_failure(std::string_view reason)
    {
        ++failures_;
        if (failures_ == failures_to_doubt)
        {
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
};

} // namespace hemlockdeal::node
