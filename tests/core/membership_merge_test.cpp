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
    list_builder& unnamed(std::uint64_t content)
    {
        list.malformed.push_back({next++, "", "id: expected a text", content});
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

// Failure: a VM that dies never counts as removed beside an entry without a
// readable id that stood before, so its tasks wait for ever.
TEST(membership_merge, vm_that_vanishes_beside_an_old_entry_is_removed)
{
    membership_merge merge;
    merge.apply(list_builder().unnamed(7).sound(vm("a")).sound(vm("b")).list);
    const auto merged =
        merge.apply(list_builder().unnamed(7).sound(vm("b")).list);
    EXPECT_EQ(find(merged.list, "a"), nullptr);
    EXPECT_TRUE(merged.list.proves_absence_of("a"));
    EXPECT_FALSE(merged.list.proves_absence_of("never known"));
    const auto later =
        merge.apply(list_builder().unnamed(7).sound(vm("b")).list);
    EXPECT_TRUE(later.list.proves_absence_of("a"));
}

// Failure: a VM counts as removed although its entry may be one that was
// changed, or one more with the same content.
TEST(membership_merge, vm_that_vanishes_with_a_new_entry_is_kept)
{
    membership_merge changed;
    changed.apply(list_builder().unnamed(7).sound(vm("a")).list);
    const auto other = changed.apply(list_builder().unnamed(8).list);
    EXPECT_EQ(state_of(other.list, "a"), member_state::unusable);
    const auto stands = changed.apply(list_builder().unnamed(8).list);
    EXPECT_EQ(state_of(stands.list, "a"), member_state::unusable);

    membership_merge counted;
    counted.apply(list_builder().unnamed(7).sound(vm("a")).list);
    const auto one_more =
        counted.apply(list_builder().unnamed(7).unnamed(7).list);
    EXPECT_EQ(state_of(one_more.list, "a"), member_state::unusable);
    const auto one_less = counted.apply(list_builder().unnamed(7).list);
    EXPECT_EQ(state_of(one_less.list, "a"), member_state::unusable);
}

// Failure: of two VMs whose entries turn into the same text one after the
// other, the second counts as removed.
TEST(membership_merge, entry_may_pass_from_one_vm_to_another)
{
    membership_merge merge;
    merge.apply(list_builder().sound(vm("a")).sound(vm("b")).list);
    merge.apply(list_builder().unnamed(7).sound(vm("b")).list);
    for (int round = 0; round < 3; ++round)
    {
        const auto second =
            merge.apply(list_builder().sound(vm("a")).unnamed(7).list);
        EXPECT_EQ(state_of(second.list, "b"), member_state::unusable);
        const auto first =
            merge.apply(list_builder().unnamed(7).sound(vm("b")).list);
        EXPECT_EQ(state_of(first.list, "a"), member_state::unusable);
    }
}

// Failure: a VM that was removed beside one entry counts as removed after its
// id is used again and another entry may name it.
TEST(membership_merge, new_entry_ends_the_proof_of_absence)
{
    membership_merge merge;
    merge.apply(list_builder().unnamed(7).sound(vm("a")).list);
    const auto gone = merge.apply(list_builder().unnamed(7).list);
    EXPECT_TRUE(gone.list.proves_absence_of("a"));
    const auto doubtful =
        merge.apply(list_builder().unnamed(7).unnamed(8).list);
    EXPECT_FALSE(doubtful.list.proves_absence_of("a"));
}

namespace
{

// VMs that no other list names.
void add_new_vms(list_builder& builder, int list, int count)
{
    for (int i = 0; i < count; ++i)
    {
        builder.sound(vm(std::to_string(list) + "-" + std::to_string(i)));
    }
}

} // namespace

// Failure: memory grows while an entry without a readable id stands.
TEST(membership_merge, standing_entry_keeps_no_vm_of_earlier_lists)
{
    membership_merge merge;
    merge.apply(list_builder().unnamed(7).list);
    for (int i = 0; i < 1100; ++i)
    {
        list_builder builder;
        builder.unnamed(7);
        add_new_vms(builder, i, 10);
        const auto merged = merge.apply(builder.list);
        ASSERT_EQ(merged.list.members.size(), 10U);
        ASSERT_LE(merged.list.gone_ids.size(), membership_merge::max_gone_vms);
    }
}

// Failure: memory grows while an entry changes with each list, or VMs beyond
// the bound count as removed.
TEST(membership_merge, changing_entry_keeps_a_bounded_number_of_vms)
{
    membership_merge merge;
    constexpr int new_vms = 500;
    constexpr int enough = membership_merge::max_missing_vms / new_vms + 5;
    for (int i = 0; i < enough; ++i)
    {
        list_builder builder;
        builder.unnamed(static_cast<std::uint64_t>(i));
        add_new_vms(builder, i, new_vms);
        const auto merged = merge.apply(builder.list);
        ASSERT_LE(merged.list.members.size(),
                  membership_merge::max_missing_vms + new_vms);
        for (int earlier = 0; earlier < i; ++earlier)
        {
            const auto id = std::to_string(earlier) + "-0";
            ASSERT_FALSE(find(merged.list, id) == nullptr &&
                         merged.list.proves_absence_of(id));
        }
    }
    const auto last = std::to_string(enough - 1) + "-0";
    const auto standing = merge.apply(list_builder().unnamed(enough - 1).list);
    EXPECT_FALSE(standing.list.proves_absence_of(last));
    const auto complete = merge.apply(list_builder().list);
    EXPECT_THAT(complete.list.members, IsEmpty());
    EXPECT_TRUE(complete.list.proves_absence_of(last));
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

// Failure: of two different entries with one id, either one is used.
TEST(membership_merge, vm_that_is_named_in_two_ways_is_not_used)
{
    membership_merge merge;
    merge.apply(list_builder().sound(vm("a")).sound(vm("b")).list);
    member other = vm("a");
    other.address = "10.0.0.2:80";
    const auto merged = merge.apply(
        list_builder().sound(vm("a")).sound(vm("b")).sound(other).list);
    EXPECT_EQ(state_of(merged.list, "a"), member_state::unusable);
    EXPECT_EQ(state_of(merged.list, "b"), member_state::live);
    EXPECT_EQ(merged.list.members.size(), 2U);
    ASSERT_EQ(merged.malformed.size(), 2U);
    EXPECT_EQ(merged.malformed[0].index, 0U);
    EXPECT_EQ(merged.malformed[1].index, 2U);
    const auto repeated = merge.apply(
        list_builder().sound(vm("a")).sound(other).sound(vm("a")).list);
    EXPECT_EQ(state_of(repeated.list, "a"), member_state::unusable);
    EXPECT_EQ(repeated.malformed.size(), 3U);
}

// Failure: a sound entry goes out of use because a malformed entry, or a copy
// of it, has its id.
TEST(membership_merge, sound_entry_holds_beside_others_with_its_id)
{
    membership_merge merge;
    const auto beside_malformed =
        merge.apply(list_builder().sound(vm("a")).malformed("a").list);
    EXPECT_EQ(state_of(beside_malformed.list, "a"), member_state::live);
    EXPECT_EQ(beside_malformed.list.members.size(), 1U);
    EXPECT_THAT(beside_malformed.list.unknown_ids, IsEmpty());
    EXPECT_EQ(beside_malformed.malformed.size(), 1U);
    const auto copied =
        merge.apply(list_builder().sound(vm("a")).sound(vm("a")).list);
    EXPECT_EQ(state_of(copied.list, "a"), member_state::live);
    EXPECT_EQ(copied.list.members.size(), 1U);
    ASSERT_EQ(copied.malformed.size(), 1U);
    EXPECT_EQ(copied.malformed[0].index, 1U);
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
    // Each VM's entry has a content of its own.
    without_id,
    without_id_changed, // and another one with each list
    in_two_ways,        // the VM is used with the ways that follow
    beside_malformed,
    copied
};

constexpr int vm_count = 6;
using namings = std::vector<naming>;

namings any_namings()
{
    const auto numbers = *rc::gen::container<std::vector<int>>(
        vm_count, rc::gen::inRange(0, static_cast<int>(naming::copied) + 1));
    namings list;
    std::ranges::transform(numbers, std::back_inserter(list),
                           [](int n) { return static_cast<naming>(n); });
    return list;
}

constexpr std::uint64_t changed_contents = 1000;

std::uint64_t content_of(const namings& list, std::size_t i, int round)
{
    return list[i] == naming::without_id
               ? i + 1
               : changed_contents * static_cast<std::uint64_t>(round + 1) + i;
}

bool has_unnamed(naming said)
{
    return said == naming::without_id || said == naming::without_id_changed;
}

received_membership received(const namings& list, int round)
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
        case naming::without_id_changed:
            builder.unnamed(content_of(list, i, round));
            break;
        case naming::in_two_ways:
            builder.sound(vm(id)).sound(vm(id, member_state::leaving));
            break;
        case naming::beside_malformed:
            builder.malformed(id).sound(vm(id));
            break;
        case naming::copied:
            builder.sound(vm(id)).sound(vm(id));
            break;
        }
    }
    return builder.list;
}

bool is_used(naming said)
{
    return said == naming::sound || said == naming::leaving ||
           said > naming::in_two_ways;
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
        if (is_used(said[i]))
        {
            RC_ASSERT(m != nullptr);
            RC_ASSERT(m->state == (said[i] == naming::leaving
                                       ? member_state::leaving
                                       : member_state::live));
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

// Whether no entry of the list may be that of a VM that vanished with it.
bool has_only_old_entries(const namings& said, const namings& before)
{
    for (std::size_t i = 0; i < said.size(); ++i)
    {
        const bool is_old =
            said[i] == naming::without_id && before[i] == naming::without_id;
        // A VM that was missing beside an entry and returns: whose entry it
        // was is open again.
        const bool has_returned =
            before[i] == naming::absent && said[i] != naming::absent;
        if ((has_unnamed(said[i]) && !is_old) || has_returned)
        {
            return false;
        }
    }
    return true;
}

void check_removed(const merged_membership& merged, const namings& said,
                   const namings& before)
{
    if (!has_only_old_entries(said, before))
    {
        return;
    }
    for (std::size_t i = 0; i < said.size(); ++i)
    {
        const std::string id = "vm-" + std::to_string(i);
        if (said[i] != naming::absent || before[i] == naming::absent ||
            has_unnamed(before[i]))
        {
            continue;
        }
        RC_ASSERT((find(merged.list, id) == nullptr));
        RC_ASSERT(merged.list.proves_absence_of(id));
    }
}

} // namespace

// Failure: for some sequence of lists a sound VM is lost, or a VM whose entry
// is malformed counts as removed or is used, or a removed VM is kept for an
// entry that is not its own.
RC_GTEST_PROP(membership_merge, malformed_entries_affect_only_their_vms, ())
{
    membership_merge merge;
    std::set<std::string> known;
    namings before(vm_count, naming::absent);
    const int rounds = *rc::gen::inRange(1, 8);
    for (int round = 0; round < rounds; ++round)
    {
        const auto said = any_namings();
        const auto merged = merge.apply(received(said, round));
        check_list(merged, said, known);
        check_removed(merged, said, before);
        before = said;
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
                std::ranges::count(said, naming::in_two_ways)));
    }
}
