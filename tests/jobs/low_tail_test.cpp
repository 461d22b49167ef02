// Guards against a base tail that is set permanently by one wrong measurement.
#include <gtest/gtest.h>

#include "jobs/low_tail.hpp"

using hemlockdeal::jobs::low_tail;

// Failure: a single measurement that is too low remains the lowest value.
TEST(low_tail, single_low_measurement_is_ignored)
{
    low_tail tail;
    for (int i = 0; i < 100; ++i)
    {
        tail.add(5 + i % 10);
    }
    tail.add(1);
    EXPECT_DOUBLE_EQ(tail.value(), 5.0);
}

// Failure: measurements outside the range are lost, or index past the end of
// the bins.
TEST(low_tail, high_and_negative_measurements_are_counted)
{
    low_tail tail;
    EXPECT_DOUBLE_EQ(tail.value(), 0.0);
    tail.add(100000);
    EXPECT_GT(tail.value(), 100.0);
    tail.add(-1);
    EXPECT_DOUBLE_EQ(tail.value(), 0.0);
}

// Failure: a new leader ignores the restored value, or keeps it despite new
// measurements.
TEST(low_tail, restored_value_is_used_until_enough_measurements)
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
