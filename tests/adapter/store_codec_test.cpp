// Guards against one malformed row of a store response that takes down the
// others, or is taken for a valid one.
#include <string>

#include <gtest/gtest.h>

#include "store_codec.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;

namespace
{

const std::string good_row =
    R"({"table":"t","part":"p","key":"k","value":"e30=","ver":5})";

std::string page_with(const std::string& row)
{
    return R"({"rows":[)" + row + "," + good_row + R"(],"ver":9})";
}

} // namespace

// Failure: a row without a key or a version becomes one with an empty key, or
// one that does not exist.
TEST(store_codec_rows, rows_that_name_no_row_are_skipped)
{
    for (const std::string malformed :
         {"5", "null", "[]", "{}", R"({"key":"x"})", R"({"ver":5})",
          R"({"key":"","ver":5})", R"({"key":7,"ver":5})",
          R"({"key":"x","ver":-1})", R"({"key":"x","ver":"5"})",
          R"({"key":"x","ver":1.5})", R"({"key":"x","ver":1e300})"})
    {
        const auto read = decode_rows(page_with(malformed));
        ASSERT_TRUE(read) << malformed;
        ASSERT_EQ(read->rows.size(), 1U) << malformed;
        EXPECT_EQ(read->rows.front().key, "k");
        EXPECT_EQ(decode_conflict(page_with(malformed)).rows.size(), 1U)
            << malformed;
    }
}

// Failure: a value with characters that are not base64 is decoded without them,
// or its row is taken for one that was never written.
TEST(store_codec_rows, rows_with_undecodable_values_have_an_empty_value)
{
    for (const std::string value :
         {R"("e3*0=")", R"("e30=\n")", R"("{}")", "5", "null", "[]"})
    {
        const auto read = decode_rows(
            page_with(R"({"table":"t","part":"p","key":"x","ver":7,"value":)" +
                      value + "}"));
        ASSERT_TRUE(read);
        ASSERT_EQ(read->rows.size(), 2U) << value;
        EXPECT_EQ(read->rows.front().key, "x");
        EXPECT_EQ(read->rows.front().value, "") << value;
        EXPECT_EQ(read->rows.back().value, "{}");
    }
}

// Failure: a negative version of the store becomes the highest one, and a feed
// that starts there gives nothing any more.
TEST(store_codec_rows, negative_store_versions_are_errors)
{
    EXPECT_FALSE(decode_rows(R"({"rows":[],"ver":-1})"));
    EXPECT_FALSE(decode_committed(R"({"ver":-1})"));
    EXPECT_TRUE(decode_committed(R"({"ver":0})"));
}

// Failure: a clock that is malformed makes a response useless, or counts as 0,
// and leases end too early.
TEST(store_codec_rows, malformed_store_clock_is_left_out)
{
    const auto done = decode_committed(R"({"ver":3,"now_ms":1500})");
    ASSERT_TRUE(done);
    EXPECT_EQ(done->store_now, store_time(std::chrono::milliseconds(1500)));
    for (const auto* const now : {"-5", "\"5\"", "null", "1.5", "[]"})
    {
        const auto body =
            R"({"rows":[],"ver":3,"now_ms":)" + std::string(now) + "}";
        ASSERT_TRUE(decode_committed(body)) << now;
        EXPECT_FALSE(decode_committed(body)->store_now) << now;
        ASSERT_TRUE(decode_rows(body)) << now;
        EXPECT_FALSE(decode_rows(body)->store_now) << now;
    }
}
