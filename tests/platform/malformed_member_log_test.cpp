// Guards against malformed entries that are never logged, or logged each
// second.
#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <QUtf8StringView>

#include "platform/platform.hpp"

using namespace hemlockdeal;
using testing::IsEmpty;
using testing::SizeIs;

namespace
{

using malformed_members = std::vector<malformed_member>;

bool is_utf8(const std::string& text)
{
    return QUtf8StringView(text.data(), static_cast<qsizetype>(text.size()))
        .isValidUtf8();
}

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

// Failure: an entry without a readable id is logged again whenever its place in
// the list changes, or another one is taken for it.
TEST(malformed_member_log, entry_without_an_id_may_move)
{
    malformed_member_log log;
    std::size_t lines = 0;
    for (std::size_t place = 0; place < 600; ++place)
    {
        lines += log.on_list({{place, "", "no object", 7}}).size();
    }
    EXPECT_EQ(lines, 1U);
    EXPECT_THAT(log.on_list({{3, "", "no object", 8}}), SizeIs(2));
}

// Failure: many entries of one id make a line without bound, or another line
// with each list because their order changes.
TEST(malformed_member_log, line_of_many_faults_is_bounded)
{
    malformed_member_log log;
    malformed_members alternating;
    malformed_members different;
    for (std::size_t i = 0; i < 20'000; ++i)
    {
        alternating.push_back({i, "a", i % 2 == 0 ? "kind" : "state"});
        // Two bytes a character, so that a cut may fall inside of one.
        different.push_back({i, "b", "\u00e4\u00f6" + std::to_string(i)});
    }
    const auto two_faults = log.on_list(alternating);
    ASSERT_THAT(two_faults, SizeIs(1));
    EXPECT_EQ(two_faults[0].entry.fault, "kind; state");
    std::ranges::reverse(alternating);
    EXPECT_THAT(log.on_list(alternating), IsEmpty());

    malformed_member_log other_log;
    const auto many_faults = other_log.on_list(different);
    ASSERT_THAT(many_faults, SizeIs(1));
    const auto& text = many_faults[0].entry.fault;
    EXPECT_LE(text.size(), malformed_member_log::max_fault_bytes);
    EXPECT_GE(text.size() + 4, malformed_member_log::max_fault_bytes);
    EXPECT_TRUE(is_utf8(text));
}

// Failure: the cut falls inside a character for some length of the text.
TEST(malformed_member_log, cut_falls_between_characters)
{
    for (const std::string character : {"\u00e4", "\u20ac", "\U0001f600"})
    {
        for (std::size_t shift = 0; shift < 4; ++shift)
        {
            std::string fault(shift, 'x');
            while (fault.size() < 2 * malformed_member_log::max_fault_bytes)
            {
                fault += character;
            }
            malformed_member_log log;
            const auto text = log.on_list({{0, "a", fault}}).at(0).entry.fault;
            EXPECT_LE(text.size(), malformed_member_log::max_fault_bytes);
            EXPECT_GT(text.size() + character.size(),
                      malformed_member_log::max_fault_bytes);
            EXPECT_TRUE(is_utf8(text));
        }
    }
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
