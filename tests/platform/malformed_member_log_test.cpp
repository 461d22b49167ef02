// Guards against malformed entries that are never logged, or logged each
// second.
#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "platform/platform.hpp"

using namespace hemlockdeal;
using testing::IsEmpty;
using testing::SizeIs;

namespace
{

using malformed_members = std::vector<malformed_member>;

malformed_members many(std::size_t count, const std::string& fault)
{
    malformed_members list;
    for (std::size_t i = 0; i < count; ++i)
    {
        list.push_back({i, "vm-" + std::to_string(i), fault});
    }
    return list;
}

} // namespace

// Failure: an entry is logged with each list, or not when its fault changes or
// has gone.
TEST(malformed_member_log, entry_is_logged_once_and_when_it_changes)
{
    malformed_member_log log;
    const malformed_members odd{{3, "a", "kind"}, {4, "", "no object"}};
    EXPECT_THAT(log.on_list(odd), SizeIs(2));
    EXPECT_THAT(log.on_list(odd), IsEmpty());
    const auto changed = log.on_list({{3, "a", "state"}, {4, "", "no object"}});
    ASSERT_THAT(changed, SizeIs(1));
    EXPECT_EQ(changed[0].entry.fault, "state");
    EXPECT_FALSE(changed[0].has_gone);
    const auto gone = log.on_list({{4, "", "no object"}});
    ASSERT_THAT(gone, SizeIs(1));
    EXPECT_EQ(gone[0].entry.id, "a");
    EXPECT_TRUE(gone[0].has_gone);
    EXPECT_THAT(log.on_list({{3, "a", "state"}}), SizeIs(2));
}

// Failure: an entry whose place in the list changes is logged again.
TEST(malformed_member_log, entry_with_an_id_may_move)
{
    malformed_member_log log;
    log.on_list({{3, "a", "kind"}});
    EXPECT_THAT(log.on_list({{8, "a", "kind"}}), IsEmpty());
}

// Failure: two entries with one id replace each other in the log with each
// list.
TEST(malformed_member_log, two_entries_with_one_id_are_logged_once)
{
    malformed_member_log log;
    const malformed_members twice{{1, "a", "kind"}, {2, "a", "named twice"}};
    EXPECT_THAT(log.on_list(twice), SizeIs(1));
    EXPECT_THAT(log.on_list(twice), IsEmpty());
}

// Failure: a list whose entries are all malformed, and different each second,
// fills the log.
TEST(malformed_member_log, changing_entries_are_bounded)
{
    malformed_member_log log;
    std::size_t lines = 0;
    for (int second = 0; second < 100; ++second)
    {
        lines += log.on_list(many(2000, std::to_string(second))).size();
    }
    EXPECT_LE(lines, malformed_member_log::burst_lines + 100);
    EXPECT_GE(lines, 100U);
}

// Failure: entries beyond the burst are never logged.
TEST(malformed_member_log, entries_beyond_the_burst_follow_later)
{
    malformed_member_log log;
    std::size_t lines = 0;
    for (int second = 0; second < 100; ++second)
    {
        lines += log.on_list(many(50, "kind")).size();
    }
    EXPECT_EQ(lines, 50U);
}
