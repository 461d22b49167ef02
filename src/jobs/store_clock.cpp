// Conversion between the process's clock and the clock of the store.
#include "jobs/store_clock.hpp"

#include <chrono>

namespace hemlockdeal::jobs
{

namespace
{

// Within this time the clocks drift apart by far less than a millisecond, and
// some response is likely to have been fast.
constexpr duration max_reading_age = std::chrono::seconds(10);
// The store truncates its time to whole milliseconds.
constexpr std::chrono::milliseconds resolution(1);

} // namespace

void store_clock::on_response(store_time read, time_point sent_at,
                              time_point received_at)
{
    const reading next{read, sent_at, received_at};
    const bool is_better =
        !reading_ || next.round_trip() <= reading_->round_trip() ||
        received_at - reading_->received_at > max_reading_age;
    if (is_better)
    {
        reading_ = next;
    }
}

std::optional<store_time> store_clock::latest_at(time_point at) const
{
    if (!reading_)
    {
        return std::nullopt;
    }
    return reading_->read + resolution +
           std::chrono::ceil<std::chrono::milliseconds>(at - reading_->sent_at);
}

std::optional<time_point> store_clock::reached_by(store_time at) const
{
    if (!reading_)
    {
        return std::nullopt;
    }
    return reading_->received_at +
           std::chrono::duration_cast<duration>(at - reading_->read);
}

} // namespace hemlockdeal::jobs
