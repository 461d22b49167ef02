// Guards against a worker that counts as silent because the path to it is
// slower than a fixed time allows.
#include <chrono>

#include <gtest/gtest.h>

#include "node/node.hpp"

using namespace hemlockdeal;
using std::chrono::milliseconds;

// Failure: each poll over a slow path is given up shortly before its response.
TEST(poll_margin_test, grows_while_no_response_arrives)
{
    node::poll_margin margin;
    EXPECT_EQ(margin.value(), milliseconds(400));
    margin.on_no_response();
    EXPECT_EQ(margin.value(), milliseconds(800));
    margin.on_no_response();
    margin.on_no_response();
    EXPECT_EQ(margin.value(), milliseconds(1200));
}

// Failure: after one slow response the loss of a worker is noticed late.
TEST(poll_margin_test, is_short_again_after_fast_responses)
{
    node::poll_margin margin;
    margin.on_no_response();
    margin.on_no_response();
    for (int i = 0; i < 4; ++i)
    {
        margin.on_response(milliseconds(20));
    }
    EXPECT_EQ(margin.value(), milliseconds(400));
}

// Failure: every other poll over a slow path is given up.
TEST(poll_margin_test, stays_above_the_delay_of_the_path)
{
    node::poll_margin margin;
    margin.on_no_response();
    for (int i = 0; i < 10; ++i)
    {
        margin.on_response(milliseconds(700));
        EXPECT_GT(margin.value(), milliseconds(700));
    }
}
