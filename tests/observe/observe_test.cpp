// Hybrid clock, time line, metrics and log lines.
#include <algorithm>
#include <deque>
#include <limits>
#include <thread>

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "observe/observe.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;
using testing::HasSubstr;

namespace
{

timeline_event make_event(std::int64_t wall_us, const std::string& vm,
                          const std::string& job = "")
{
    timeline_event event;
    event.stamp.wall_us = wall_us;
    event.vm = vm;
    event.thread = "batch";
    event.kind = "task.start";
    event.job = job;
    return event;
}

} // namespace

// Guards against timestamps that decrease when the wall clock is set back.
TEST(hybrid_clock, timestamps_increase_when_wall_time_decreases)
{
    hybrid_clock clock;
    const auto first = clock.now(1000);
    const auto second = clock.now(500);
    EXPECT_GT(second, first);
    EXPECT_EQ(second, (hybrid_timestamp{1000, 1}));
    EXPECT_EQ(clock.now(2000), (hybrid_timestamp{2000, 0}));
}

TEST(hybrid_clock, exhausted_counter_does_not_wrap)
{
    hybrid_clock clock;
    const hybrid_timestamp last{1000,
                                std::numeric_limits<std::uint32_t>::max()};
    EXPECT_GT(clock.receive(last, 0), last);
}

// Guards against a merged time line that orders an effect before its cause.
// Processes with unrelated wall clocks exchange random messages.
RC_GTEST_PROP(hybrid_clock, timestamps_are_causally_ordered, ())
{
    struct process
    {
        hybrid_clock clock;
        hybrid_timestamp last;
        std::deque<hybrid_timestamp> inbox;
    };
    std::vector<process> processes(*rc::gen::inRange<std::size_t>(2, 5));
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i)
    {
        const auto pick = [&] {
            return *rc::gen::inRange<std::size_t>(0, processes.size());
        };
        process& self = processes[pick()];
        const auto wall = *rc::gen::inRange<std::int64_t>(0, 100);
        hybrid_timestamp stamp;
        if (!self.inbox.empty() && *rc::gen::arbitrary<bool>())
        {
            const auto sent = self.inbox.front();
            self.inbox.pop_front();
            stamp = self.clock.receive(sent, wall);
            RC_ASSERT(stamp > sent);
        }
        else
        {
            stamp = self.clock.now(wall);
            processes[pick()].inbox.push_back(stamp);
        }
        RC_ASSERT(stamp > self.last);
        RC_ASSERT(stamp.wall_us >= wall);
        self.last = stamp;
    }
}

TEST(timeline_ring, keeps_the_newest_and_counts_overwritten)
{
    timeline_ring ring(3);
    for (int i = 1; i <= 5; ++i)
    {
        ring.record(make_event(i, "entry-1", i % 2 == 0 ? "even" : "odd"));
    }
    timeline_part part;
    ring.collect({}, part);
    EXPECT_EQ(part.overwritten, 2U);
    ASSERT_EQ(part.events.size(), 3U);
    EXPECT_EQ(part.events.front().stamp.wall_us, 3);
    timeline_part odd;
    timeline_filter only_odd;
    only_odd.job = "odd";
    ring.collect(only_odd, odd);
    EXPECT_EQ(odd.events.size(), 2U);
}

// Guards against lost or reordered events while another thread reads.
TEST(timeline_ring, one_thread_records_while_another_reads)
{
    constexpr int count = 20'000;
    timeline_ring ring(64);
    std::thread writer([&] {
        for (int i = 0; i < count; ++i)
        {
            ring.record(make_event(i, "entry-1"));
        }
    });
    bool in_order = true;
    for (int i = 0; i < 200; ++i)
    {
        timeline_part part;
        ring.collect({}, part);
        in_order = in_order && std::ranges::is_sorted(part.events, {},
                                                      &timeline_event::stamp);
    }
    writer.join();
    EXPECT_TRUE(in_order);
    EXPECT_EQ(ring.overwritten(), count - 64U);
}

TEST(timeline, parts_are_merged_by_timestamp)
{
    const std::vector<timeline_part> parts = {
        {"entry-2", 0, {make_event(1, "entry-2"), make_event(4, "entry-2")}},
        {"entry-1", 0, {make_event(1, "entry-1"), make_event(3, "entry-1")}}};
    std::vector<std::string> order;
    std::ranges::transform(merge_timelines(parts), std::back_inserter(order),
                           [](const timeline_event& event) {
                               return event.vm + '@' +
                                      std::to_string(event.stamp.wall_us);
                           });
    EXPECT_THAT(order, testing::ElementsAre("entry-1@1", "entry-2@1",
                                            "entry-1@3", "entry-2@4"));
}

// Guards against traces that a viewer rejects, for example because of invalid
// UTF-8.
TEST(chrome_trace, is_valid_json_with_processes_and_durations)
{
    auto event = make_event(5'000, "entry-1", "job-1");
    event.duration_us = 2'000;
    event.text = "broken \xff text \"quoted\"";
    const auto trace =
        boost::json::parse(chrome_trace({event, make_event(6'000, "entry-2")}));
    const auto& events = trace.at("traceEvents").as_array();
    ASSERT_EQ(events.size(), 6U);
    EXPECT_EQ(events.at(0).at("ph").as_string(), "M");
    EXPECT_EQ(events.at(2).at("ph").as_string(), "X");
    EXPECT_EQ(events.at(2).at("ts").as_int64(), 3'000);
    EXPECT_EQ(events.at(2).at("args").at("text").as_string(),
              "broken ? text \"quoted\"");
    EXPECT_NE(events.at(2).at("pid"), events.at(5).at("pid"));
}

RC_GTEST_PROP(utf8, arbitrary_bytes_become_valid_json,
              (const std::string& bytes))
{
    const auto valid = valid_utf8(bytes);
    const auto text = boost::json::serialize(boost::json::value(valid));
    RC_ASSERT(boost::json::parse(text).as_string() == valid);
    RC_ASSERT(valid_utf8(valid) == valid);
}

// Guards against quantiles with an error above the bin width.
RC_GTEST_PROP(latency_histogram, quantile_is_an_upper_bound_within_a_bin, ())
{
    auto times = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(
        rc::gen::inRange(100, 90'000'000)));
    latency_histogram histogram(latency_scale::requests);
    for (const int us : times)
    {
        histogram.record(duration(us));
    }
    std::ranges::sort(times);
    const auto median = times[(times.size() - 1) / 2];
    const auto estimate = histogram.quantile(0.5)->count();
    RC_ASSERT(estimate + 1 >= median);
    RC_ASSERT(static_cast<double>(estimate) <= median * 1.16 + 1);
}

TEST(latency_histogram, durations_outside_the_axis_are_counted)
{
    latency_histogram histogram(latency_scale::requests);
    EXPECT_EQ(histogram.quantile(0.99), std::nullopt);
    for (const duration time : {duration(-1s), duration(0), duration(1000s)})
    {
        histogram.record(time);
    }
    const auto summary = histogram.summarize();
    EXPECT_EQ(summary.count, 3U);
    EXPECT_EQ(summary.buckets.front().count, 2U);
    EXPECT_EQ(summary.buckets.back().count, 2U);
    EXPECT_EQ(histogram.quantile(0.99), duration(100s));
}

TEST(metrics, prometheus_text_has_help_type_and_escaped_labels)
{
    metrics registry;
    registry.counter("hd_requests_total", "Requests.", {{"class", "a\"b\n"}})
        .add(3);
    registry.gauge("hd_lease_valid", "Lease.").set(1);
    registry
        .latency("hd_latency_seconds", "Latency.",
                 {{"class", "c"}, {"outcome", "done"}})
        .record(20ms);
    const auto text = registry.to_prometheus();
    EXPECT_THAT(text, HasSubstr("# HELP hd_requests_total Requests.\n"
                                "# TYPE hd_requests_total counter\n"
                                "hd_requests_total{class=\"a\\\"b\\n\"} 3\n"));
    EXPECT_THAT(text, HasSubstr("# TYPE hd_lease_valid gauge\n"
                                "hd_lease_valid 1\n"));
    EXPECT_THAT(text, HasSubstr("hd_latency_seconds_bucket{class=\"c\","
                                "outcome=\"done\",le=\"0.01\"} 0\n"));
    EXPECT_THAT(text, HasSubstr("le=\"+Inf\"} 1\n"));
    EXPECT_THAT(text, HasSubstr("hd_latency_seconds_count{class=\"c\","
                                "outcome=\"done\"} 1\n"));
}

TEST(metrics, name_has_one_metric_type)
{
    metrics registry;
    auto& first = registry.counter("hd_total", "Help.");
    EXPECT_EQ(&first, &registry.counter("hd_total", "Help."));
    EXPECT_THROW(registry.gauge("hd_total", "Help."), std::logic_error);
}

// Guards against values that split a log line in two.
TEST(logging, values_with_separators_are_quoted)
{
    EXPECT_EQ(to_log_line("lease lost", {{"vm", "entry-1"},
                                         {"reason", "a=\"b\"\nlevel=ERROR"},
                                         {"empty", ""}}),
              "message=\"lease lost\" vm=entry-1 "
              "reason=\"a=\\\"b\\\"\\x0alevel=ERROR\" empty=\"\"");
}

TEST(logging, lines_are_written_to_standard_error)
{
    testing::internal::CaptureStderr();
    set_up_logging(log_level::info);
    log(log_level::debug, "hidden");
    log(log_level::warning, "shown", {{"vm", "entry-1"}});
    const auto lines = testing::internal::GetCapturedStderr();
    EXPECT_THAT(lines, testing::StartsWith("time=20"));
    EXPECT_THAT(lines, HasSubstr("level=WARN"));
    EXPECT_THAT(lines, HasSubstr("message=shown vm=entry-1\n"));
    EXPECT_THAT(lines, testing::Not(HasSubstr("hidden")));
}
