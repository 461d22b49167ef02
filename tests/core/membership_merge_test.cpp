// Guards against a malformed entry of the membership list that takes down the
// rest of the list, or makes a running VM count as removed.
#include <algorithm>
#include <iterator>
#include <set>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "core/core.hpp"

using namespace hemlockdeal;
using testing::ElementsAre;
using testing::IsEmpty;

namespace
{

member vm(const std::string& id, member_state state = member_state::live)
{
    member m;
    m.id = id;
    m.state = state;
    m.address = "10.0.0.1:80";
    return m;
}

// Builds a received list entry by entry.
struct list_builder
{
    received_membership list;
    std::size_t next = 0;

    list_builder& sound(const member& m)
    {
        list.members.push_back({next++, m});
        return *this;
    }
    list_builder& malformed(const std::string& id)
    {
        list.malformed.push_back({next++, id, "state: expected live"});
        return *this;
    }
};

const member* find(const membership_list& list, const std::string& id)
{
    const auto found = std::ranges::find(list.members, id, &member::id);
    return found == list.members.end() ? nullptr : &*found;
}

member_state state_of(const membership_list& list, const std::string& id)
{
    const member* m = find(list, id);
    EXPECT_NE(m, nullptr) << id;
    return m == nullptr ? member_state::leaving : m->state;
}

} // namespace

// Failure: a malformed entry changes the entries beside it.
TEST(membership_merge, sound_entries_hold_beside_malformed_ones)
{
    membership_merge merge;
    const auto merged =
        merge.apply(list_builder().malformed("x").sound(vm("a")).list);
    EXPECT_EQ(merged.list.members.size(), 1U);
    EXPECT_EQ(state_of(merged.list, "a"), member_state::live);
    EXPECT_THAT(merged.list.unknown_ids, ElementsAre("x"));
    EXPECT_FALSE(merged.list.may_name_any_vm);
    EXPECT_EQ(merged.malformed.size(), 1U);
}

// Failure: a VM whose entry turns malformed is used, or counts as removed.
TEST(membership_merge, known_vm_is_kept_unused_while_its_entry_is_malformed)
{
    membership_merge merge;
    merge.apply(list_builder().sound(vm("a")).sound(vm("b")).list);
    for (int i = 0; i < 3; ++i)
    {
        const auto merged =
            merge.apply(list_builder().malformed("a").sound(vm("b")).list);
        EXPECT_EQ(state_of(merged.list, "a"), member_state::unusable);
        EXPECT_EQ(find(merged.list, "a")->address, "10.0.0.1:80");
        EXPECT_EQ(state_of(merged.list, "b"), member_state::live);
    }
    const auto sound =
        merge.apply(list_builder().sound(vm("a")).sound(vm("b")).list);
    EXPECT_EQ(state_of(sound.list, "a"), member_state::live);
}

// Failure: a VM is kept although a list proves that it was removed.
TEST(membership_merge, removed_vm_leaves_the_list)
{
    membership_merge merge;
    merge.apply(list_builder().sound(vm("a")).sound(vm("b")).list);
    merge.apply(list_builder().malformed("a").sound(vm("b")).list);
    const auto merged = merge.apply(list_builder().sound(vm("b")).list);
    EXPECT_EQ(find(merged.list, "a"), nullptr);
    EXPECT_TRUE(merged.list.proves_absence_of("a"));
}

// Failure: a VM that is missing counts as removed while an entry without a
// readable id may be its own.
TEST(membership_merge, missing_vms_are_kept_beside_an_entry_without_id)
{
    membership_merge merge;
    merge.apply(list_builder().sound(vm("a")).sound(vm("b")).list);
    const auto merged =
        merge.apply(list_builder().malformed("").sound(vm("b")).list);
    EXPECT_EQ(state_of(merged.list, "a"), member_state::unusable);
    EXPECT_EQ(state_of(merged.list, "b"), member_state::live);
    EXPECT_FALSE(merged.list.proves_absence_of("c"));
    const auto complete = merge.apply(list_builder().sound(vm("b")).list);
    EXPECT_EQ(find(complete.list, "a"), nullptr);
}

// Failure: a VM that was never known counts as removed while its entry is
// malformed, which starts the tasks recorded on it a second time.
TEST(membership_merge, malformed_entry_of_an_unknown_vm_proves_no_absence)
{
    membership_merge merge;
    const auto merged = merge.apply(list_builder().malformed("a").list);
    EXPECT_THAT(merged.list.members, IsEmpty());
    EXPECT_FALSE(merged.list.proves_absence_of("a"));
    EXPECT_TRUE(merged.list.proves_absence_of("b"));
}

// Failure: a planned stop is called off by a malformed entry.
TEST(membership_merge, leaving_vm_stays_leaving_while_its_entry_is_malformed)
{
    membership_merge merge;
    merge.apply(list_builder().sound(vm("a", member_state::leaving)).list);
    const auto merged = merge.apply(list_builder().malformed("a").list);
    EXPECT_EQ(state_of(merged.list, "a"), member_state::leaving);
}

// Failure: of two entries with one id, either one is used.
TEST(membership_merge, vm_that_is_named_twice_is_not_used)
{
    membership_merge merge;
    merge.apply(list_builder().sound(vm("a")).sound(vm("b")).list);
    const auto both_sound = merge.apply(
        list_builder().sound(vm("a")).sound(vm("b")).sound(vm("a")).list);
    EXPECT_EQ(state_of(both_sound.list, "a"), member_state::unusable);
    EXPECT_EQ(state_of(both_sound.list, "b"), member_state::live);
    EXPECT_EQ(both_sound.list.members.size(), 2U);
    ASSERT_EQ(both_sound.malformed.size(), 2U);
    EXPECT_EQ(both_sound.malformed[0].index, 0U);
    EXPECT_EQ(both_sound.malformed[1].index, 2U);
    const auto one_malformed =
        merge.apply(list_builder().sound(vm("a")).malformed("a").list);
    EXPECT_EQ(state_of(one_malformed.list, "a"), member_state::unusable);
}

namespace
{

// What a list says of one VM.
enum class naming
{
    sound,
    leaving,
    absent,
    malformed,
    without_id,
    twice
};

constexpr int vm_count = 6;
using namings = std::vector<naming>;

namings any_namings()
{
    const auto numbers = *rc::gen::container<std::vector<int>>(
        vm_count, rc::gen::inRange(0, static_cast<int>(naming::twice) + 1));
    namings list;
    std::ranges::transform(numbers, std::back_inserter(list),
                           [](int n) { return static_cast<naming>(n); });
    return list;
}

received_membership received(const namings& list)
{
    list_builder builder;
    for (std::size_t i = 0; i < list.size(); ++i)
    {
        const std::string id = "vm-" + std::to_string(i);
        switch (list[i])
        {
        case naming::sound:
            builder.sound(vm(id));
            break;
        case naming::leaving:
            builder.sound(vm(id, member_state::leaving));
            break;
        case naming::absent:
            break;
        case naming::malformed:
            builder.malformed(id);
            break;
        case naming::without_id:
            builder.malformed("");
            break;
        case naming::twice:
            builder.malformed(id).sound(vm(id));
            break;
        }
    }
    return builder.list;
}

void check_list(const merged_membership& merged, const namings& said,
                const std::set<std::string>& known)
{
    std::set<std::string> ids;
    for (const member& m : merged.list.members)
    {
        RC_ASSERT(ids.insert(m.id).second);
    }
    for (std::size_t i = 0; i < said.size(); ++i)
    {
        const std::string id = "vm-" + std::to_string(i);
        const member* m = find(merged.list, id);
        if (said[i] == naming::sound || said[i] == naming::leaving)
        {
            RC_ASSERT(m != nullptr);
            RC_ASSERT(m->state == (said[i] == naming::sound
                                       ? member_state::live
                                       : member_state::leaving));
            continue;
        }
        // RC_ASSERT evaluates both sides of an unparenthesized "or".
        RC_ASSERT((m == nullptr || m->state != member_state::live));
        if (said[i] == naming::absent)
        {
            continue;
        }
        RC_ASSERT((m != nullptr || !known.contains(id)));
        RC_ASSERT((m != nullptr || !merged.list.proves_absence_of(id)));
    }
}

} // namespace

// Failure: for some sequence of lists a sound VM is lost, or a VM whose entry
// is malformed counts as removed or is used.
RC_GTEST_PROP(membership_merge, malformed_entries_affect_only_their_vms, ())
{
    membership_merge merge;
    std::set<std::string> known;
    const int lists = *rc::gen::inRange(1, 8);
    for (int round = 0; round < lists; ++round)
    {
        const auto said = any_namings();
        const auto merged = merge.apply(received(said));
        check_list(merged, said, known);
        known.clear();
        for (const member& m : merged.list.members)
        {
            known.insert(m.id);
        }
        RC_ASSERT(
            merged.malformed.size() ==
            static_cast<std::size_t>(
                std::ranges::count_if(
                    said, [](naming n) { return n >= naming::malformed; }) +
                std::ranges::count(said, naming::twice)));
    }
}
