// Guards against a full ring that blocks or silently drops an item.
#include <memory>

#include <gtest/gtest.h>

#include "core/core.hpp"

using namespace hemlockdeal;

// Failure: a push to a full ring loses the item.
TEST(bounded_ring, push_to_full_ring_fails_and_is_counted)
{
    bounded_ring<std::unique_ptr<int>> ring(2);
    EXPECT_TRUE(ring.push(std::make_unique<int>(1)));
    EXPECT_TRUE(ring.push(std::make_unique<int>(2)));
    auto third = std::make_unique<int>(3);
    EXPECT_FALSE(ring.push(std::move(third)));
    ASSERT_TRUE(third);
    EXPECT_EQ(ring.rejected(), 1U);
    std::unique_ptr<int> item;
    ASSERT_TRUE(ring.pop(item));
    EXPECT_EQ(*item, 1);
    EXPECT_TRUE(ring.push(std::move(third)));
    EXPECT_EQ(ring.size(), 2U);
}
