// Guards against orders and responses of workers that are encoded or decoded
// wrongly.
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "worker_codec.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;
using std::chrono::milliseconds;

// Failure: the columns of a report's rows are mixed up.
TEST(worker_codec, report_is_read)
{
    const auto read =
        decode_report(R"({"clock_ms":482113,"born":17,)"
                      R"("running":[["5c0e.0.1.17",2,"ck",41,12]],)"
                      R"("ended":[[58,"5c0e.0.1.9",1,"lapsed","s"]]})");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->clock, jobs::worker_clock(482113));
    EXPECT_EQ(read->incarnation, 17);
    ASSERT_EQ(read->running.size(), 1U);
    EXPECT_EQ(read->running[0].run, 2U);
    EXPECT_EQ(read->running[0].percent, 41);
    EXPECT_EQ(read->running[0].measurement, 12);
    ASSERT_EQ(read->ended.size(), 1U);
    EXPECT_EQ(read->ended[0].number, 58U);
    EXPECT_EQ(read->ended[0].how, jobs::run_end::lapsed);
    EXPECT_FALSE(decode_report("{}"));
    const auto malformed_task =
        decode_report(R"({"clock_ms":1,"ended":[[1,"x",1,"done",""]]})");
    ASSERT_TRUE(malformed_task);
    EXPECT_TRUE(malformed_task->ended.empty());
    EXPECT_EQ(malformed_task->unreadable_ended, 1U);
    const auto malformed_kind = decode_report(
        R"({"clock_ms":1,"ended":[[1,"a.0.0.0",1,"malformed",""]]})");
    ASSERT_TRUE(malformed_kind);
    ASSERT_EQ(malformed_kind->ended.size(), 1U);
    EXPECT_EQ(malformed_kind->ended[0].how, jobs::run_end::unrecognized);
}

// Failure: the reason of a refusal is mistaken for another one.
TEST(worker_codec, refusal_reasons_are_distinguished)
{
    using jobs::start_answer;
    EXPECT_EQ(decode_refusal(R"({"reason":"fence"})"),
              start_answer::superseded);
    EXPECT_EQ(decode_refusal(R"({"reason":"old"})"), start_answer::run_too_low);
    EXPECT_EQ(decode_refusal(R"({"reason":"late"})"),
              start_answer::deadline_passed);
    EXPECT_EQ(decode_refusal(R"({"reason":"room"})"), start_answer::no_room);
    EXPECT_EQ(decode_refusal(R"({"reason":"?"})"), start_answer::unknown);
}

// Failure: an order lacks its fencing token, run or deadline.
TEST(worker_codec, orders_carry_token_run_and_deadline)
{
    const jobs::task_key key{job_id("5c0e"), 0, 1, 17};
    const auto start = encode(jobs::start_order{worker_id("w"),
                                                key,
                                                2,
                                                "text",
                                                "ck",
                                                jobs::worker_clock(486000),
                                                {}},
                              7);
    EXPECT_EQ(start, R"({"task":"5c0e.0.1.17","run":2,"fencing_token":458752,)"
                     R"("spec":"text","deadline_ms":486000,)"
                     R"("checkpoint":"ck"})");
    EXPECT_EQ(
        encode(jobs::poll_order{worker_id("w"), jobs::worker_clock(486000), 57,
                                milliseconds(1000)},
               7),
        R"({"fencing_token":458752,"seen_upto":57,"deadline_ms":486000,)"
        R"("wait_ms":1000})");
    EXPECT_EQ(encode(jobs::stop_order{worker_id("w"), key, 2, 3}, 7),
              R"({"task":"5c0e.0.1.17","run":2,"fencing_token":458755})");
    EXPECT_EQ(
        encode(jobs::pace_order{worker_id("w"), key, 2, 40, 3}, 7),
        R"({"task":"5c0e.0.1.17","run":2,"fencing_token":458755,"percent":40})");
}

// Failure: the clock in the response to a start is not read.
TEST(worker_codec, clock_of_a_response_is_decoded)
{
    EXPECT_EQ(decode_clock(R"({"clock_ms":482113})"),
              jobs::worker_clock(482113));
    EXPECT_EQ(decode_clock(R"({"clock_ms":17,"reason":"room"})"),
              jobs::worker_clock(17));
    for (const auto* const body : {"", "{}", R"({"clock_ms":"17"})", "[1]"})
    {
        EXPECT_EQ(decode_clock(body), std::nullopt) << body;
    }
}
