// Joins received membership lists with the VMs known before.
#include "core/membership_merge.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

namespace
{

// Moves the well-formed entries whose ids are named more than once to the
// malformed ones.
void report_duplicates(received_membership& received)
{
    std::map<std::string, std::size_t> counts;
    for (const received_member& m : received.members)
    {
        ++counts[m.vm.id];
    }
    for (const malformed_member& m : received.malformed)
    {
        ++counts[m.id];
    }
    const auto is_duplicate = [&](const received_member& m) {
        return counts[m.vm.id] > 1;
    };
    for (const received_member& m : received.members)
    {
        if (is_duplicate(m))
        {
            received.malformed.push_back(
                {m.index, m.vm.id, "the id is named more than once"});
        }
    }
    std::erase_if(received.members, is_duplicate);
    std::ranges::sort(received.malformed, {}, &malformed_member::index);
}

// A planned stop that was announced before goes on.
member not_usable(member vm)
{
    if (vm.state == member_state::live)
    {
        vm.state = member_state::unusable;
    }
    return vm;
}

} // namespace

merged_membership membership_merge::apply(received_membership received)
{
    report_duplicates(received);
    merged_membership merged;
    membership_list& list = merged.list;
    list.version = received.version;
    std::map<std::string, member> next;
    const auto keep = [&](const std::string& id, const member& last_good) {
        if (next.emplace(id, last_good).second)
        {
            list.members.push_back(not_usable(last_good));
        }
    };
    for (received_member& m : received.members)
    {
        next.emplace(m.vm.id, m.vm);
        list.members.push_back(std::move(m.vm));
    }
    for (const malformed_member& m : received.malformed)
    {
        const auto found = known_.find(m.id);
        if (found != known_.end())
        {
            keep(m.id, found->second);
        }
        else if (!m.id.empty())
        {
            list.unknown_ids.push_back(m.id);
        }
        list.may_name_any_vm = list.may_name_any_vm || m.id.empty();
    }
    if (list.may_name_any_vm)
    {
        for (const auto& [id, last_good] : known_)
        {
            keep(id, last_good);
        }
    }
    known_ = std::move(next);
    merged.malformed = std::move(received.malformed);
    return merged;
}

} // namespace hemlockdeal
