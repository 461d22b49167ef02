// Guards against one malformed row of a worker's report that makes the rest of
// the report, or the worker, unusable.
#include <initializer_list>
#include <string>

#include <gtest/gtest.h>

#include "observe/utf8.hpp"
#include "worker_codec.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;

namespace
{

const std::string good_running = R"(["5c0e.0.1.17",2,"ck",41,12])";
const std::string good_ended = R"([58,"5c0e.0.1.9",1,"done",""])";

std::string report_with(const std::string& running, const std::string& ended)
{
    return R"({"clock_ms":482113,"born":17,"running":[)" + running +
           R"(],"ended":[)" + ended + "]}";
}

std::string rows_of(std::initializer_list<std::string> rows)
{
    std::string out;
    for (const auto& row : rows)
    {
        out += out.empty() ? "" : ",";
        out += row;
    }
    return out;
}

} // namespace

// Failure: a row of another writer makes the whole report an error, so that the
// worker counts as silent and its runs lapse.
TEST(report_codec, malformed_rows_do_not_hide_the_other_rows)
{
    for (const std::string malformed :
         {R"(["another task",1,"",5])", R"(["5c0e.0.1.3"])", "[]", "{}", "5",
          "null", R"([7,7,7,7])", R"(["5c0e.0.1.3",-1,"",5])",
          R"(["5c0e.0.1.3",4294967298,"",5])", R"(["5c0e.0.1.3","2","",5])",
          R"(["5c0e.0.1.3",2.7,"",5])"})
    {
        const auto report = decode_report(
            report_with(rows_of({malformed, good_running}), good_ended));
        ASSERT_TRUE(report) << malformed;
        ASSERT_EQ(report->running.size(), 1U) << malformed;
        EXPECT_EQ(report->running.front().run, 2U);
        EXPECT_EQ(report->ended.size(), 1U);
        EXPECT_EQ(report->unreadable_running, 1U);
        EXPECT_EQ(report->unreadable_ended, 0U);
        EXPECT_TRUE(report->first_unreadable.starts_with("running[0] "));
    }
    for (const std::string malformed :
         {R"([57,"another task",1,"done",""])", "[57]", "7", "{}",
          R"([57,"5c0e.0.1.3",0,"done",""])",
          R"([57,"5c0e.0.1.3",1e300,"done",""])",
          R"([57,"5c0e.0.1.3",1.5,"done",""])"})
    {
        const auto report = decode_report(
            report_with(good_running, rows_of({malformed, good_ended})));
        ASSERT_TRUE(report) << malformed;
        EXPECT_EQ(report->running.size(), 1U);
        ASSERT_EQ(report->ended.size(), 1U) << malformed;
        EXPECT_EQ(report->ended.front().number, 58U);
        EXPECT_EQ(report->unreadable_ended, 1U);
    }
}

// Failure: an end is lost because a part of its row that is not needed to
// attribute it cannot be decoded.
TEST(report_codec, ends_with_malformed_numbers_or_kinds_are_kept)
{
    for (const std::string number :
         {"null", "-1", "0", "58.5", "1e15", R"("58")", "18446744073709551615"})
    {
        const auto report = decode_report(report_with(
            "", "[" + number + R"(,"5c0e.0.1.9",1,"done","")" + "]"));
        ASSERT_TRUE(report);
        ASSERT_EQ(report->ended.size(), 1U) << number;
        EXPECT_EQ(report->ended.front().number, 0U) << number;
        EXPECT_EQ(report->ended.front().how, jobs::run_end::done);
    }
    for (const std::string how : {R"("evicted")", "null", "3"})
    {
        const auto report = decode_report(
            report_with("", R"([58,"5c0e.0.1.9",1,)" + how + R"(,""])"));
        ASSERT_TRUE(report);
        ASSERT_EQ(report->ended.size(), 1U) << how;
        EXPECT_EQ(report->ended.front().how, jobs::run_end::unrecognized);
    }
}

// Failure: the text for the log is cut inside a character, and a reader rejects
// the whole line.
TEST(report_codec, first_unreadable_row_is_cut_to_valid_text)
{
    for (const std::size_t shift : {0U, 1U})
    {
        std::string row = "\"" + std::string(shift, 'x');
        for (int i = 0; i < 100; ++i)
        {
            row += "\u00e9";
        }
        const auto report = decode_report(report_with(row + "\"", ""));
        ASSERT_TRUE(report);
        EXPECT_EQ(report->first_unreadable,
                  valid_utf8(report->first_unreadable));
    }
}

// Failure: a report whose incarnation cannot be decoded is taken for one of a
// restarted worker, and a crash is held against its tasks.
TEST(report_codec, incarnations_that_cannot_be_decoded_are_errors)
{
    EXPECT_TRUE(decode_report(R"({"clock_ms":5,"born":17})"));
    for (const std::string born : {"null", "1.5", "-3", R"("17")", "[]", "0"})
    {
        EXPECT_FALSE(decode_report(R"({"clock_ms":5,"born":)" + born + "}"))
            << born;
    }
    // An error of the worker, and not an empty list.
    for (const std::string lists : {R"("running":null)", R"("ended":{})"})
    {
        EXPECT_FALSE(decode_report(R"({"clock_ms":5,"born":17,)" + lists + "}"))
            << lists;
    }
}

// Failure: a report with as many ends as a worker lists counts as complete, and
// runs whose end it left out are taken for missing.
TEST(report_codec, full_list_of_ends_is_not_complete)
{
    const auto report_with = [](int ends) {
        std::string rows;
        for (int i = 1; i <= ends; ++i)
        {
            rows += (i > 1 ? "," : "") + std::string("[") + std::to_string(i) +
                    R"(,"5c0e7a21d94b36f8.0.0.1",1,"done",""])";
        }
        return decode_report(R"({"clock_ms":1,"ended":[)" + rows + "]}");
    };
    EXPECT_TRUE(report_with(500).value().has_more_ends);
    EXPECT_FALSE(report_with(499).value().has_more_ends);
    EXPECT_FALSE(report_with(0).value().has_more_ends);
}
