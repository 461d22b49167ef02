// Guards against a base tail that one wrong figure sets for ever.
#include <gtest/gtest.h>

#include "jobs/low_tail.hpp"

using hemlockdeal::jobs::low_tail;

// Failure: a single figure that is too low stays the lowest.
TEST(low_tail, a_single_low_figure_does_not_count)
{
    low_tail tail;
    for (int i = 0; i < 100; ++i)
    {
        tail.add(5 + i % 10);
    }
    tail.add(1);
    EXPECT_DOUBLE_EQ(tail.value(), 5.0);
}

// Failure: figures beyond the range are lost, or read past the end.
TEST(low_tail, high_and_negative_figures_are_counted)
{
    low_tail tail;
    EXPECT_DOUBLE_EQ(tail.value(), 0.0);
    tail.add(100000);
    EXPECT_GT(tail.value(), 100.0);
    tail.add(-1);
    EXPECT_DOUBLE_EQ(tail.value(), 0.0);
}

// Failure: a new leader forgets what was learnt, or never learns better.
TEST(low_tail, restored_value_holds_until_enough_is_seen)
{
    low_tail tail;
    tail.restore(7.0);
    tail.add(20);
    EXPECT_DOUBLE_EQ(tail.value(), 7.0);
    for (int i = 0; i < 100; ++i)
    {
        tail.add(20);
    }
    EXPECT_DOUBLE_EQ(tail.value(), 20.0);
}
