// Conversion between the process's clock and the clock of the store.
#pragma once

#include <optional>

#include "core/core.hpp"

namespace hemlockdeal::jobs
{

// Every response of the store bounds its clock: the time that it names was read
// between the call and the response.
class store_clock
{
public:
    void on_response(store_time read, time_point sent_at,
                     time_point received_at);

    // The latest time that the store's clock may show at `at`; empty before the
    // first response.
    std::optional<store_time> latest_at(time_point at) const;
    // When the store's clock has certainly reached `at`; empty before the first
    // response.
    std::optional<time_point> reached_by(store_time at) const;

private:
    struct reading
    {
        store_time read;
        time_point sent_at;
        time_point received_at;

        duration round_trip() const { return received_at - sent_at; }
    };

    std::optional<reading> reading_;
};

} // namespace hemlockdeal::jobs
