// Guards against lease ends that are converted too early between the clocks of
// two VMs, so that tasks run twice.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr time_point local_start{seconds(500)};

// A response that the store wrote at `read_at` on the process's clock, which is
// `offset` behind the store's.
void respond(store_clock& clock, duration offset, time_point sent,
             time_point read_at, time_point received)
{
    clock.on_response(store_time(std::chrono::floor<milliseconds>(
                          read_at.time_since_epoch() + offset)),
                      sent, received);
}

duration random_duration(int max_ms)
{
    return std::chrono::microseconds(*rc::gen::inRange(0, max_ms * 1000));
}

} // namespace

// Failure: a time is converted before the first response.
TEST(store_clock, is_unknown_without_a_response)
{
    const store_clock clock;
    EXPECT_FALSE(clock.latest_at(local_start));
    EXPECT_FALSE(clock.reached_by(store_time(seconds(1))));
}

// Failure: a slow response replaces a fast one and makes each wait longer.
TEST(store_clock, fast_response_counts_longer_than_a_slow_one)
{
    store_clock clock;
    respond(clock, {}, local_start, local_start, local_start);
    respond(clock, {}, local_start, local_start + seconds(1),
            local_start + seconds(2));
    EXPECT_EQ(clock.reached_by(store_time(seconds(510))),
              time_point(seconds(510)));
}

// Failure: a VM takes leases for expired that another VM knows to last, because
// a response was slow in one direction.
RC_GTEST_PROP(store_clock, no_conversion_is_early, ())
{
    store_clock writer;
    store_clock reader;
    const auto writer_offset = random_duration(90'000);
    const auto reader_offset = random_duration(90'000);
    for (auto* const side : {&writer, &reader})
    {
        const auto offset = side == &writer ? writer_offset : reader_offset;
        const auto sent = local_start + random_duration(3000);
        const auto read = sent + random_duration(2000);
        respond(*side, offset, sent, read, read + random_duration(2000));
    }
    const auto expiry = local_start + random_duration(9000);
    const auto end = reader.reached_by(*writer.latest_at(expiry));
    // Both on the store's clock.
    RC_ASSERT(*end + reader_offset >= expiry + writer_offset);
}
