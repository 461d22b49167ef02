// Joins received membership lists with the VMs known before.
#include "core/membership_merge.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace hemlockdeal
{

namespace
{

using first_entries = std::map<std::string, received_member>;

first_entries first_by_id(const received_membership& received)
{
    first_entries first;
    for (const received_member& m : received.members)
    {
        first.emplace(m.vm.id, m);
    }
    return first;
}

// Ids of VMs that well-formed entries name in different ways.
std::set<std::string> ambiguous_ids(const received_membership& received,
                                    const first_entries& first)
{
    std::set<std::string> ambiguous;
    for (const received_member& m : received.members)
    {
        if (m.vm != first.at(m.vm.id).vm)
        {
            ambiguous.insert(m.vm.id);
        }
    }
    return ambiguous;
}

// Moves the well-formed entries that contradict each other, and copies of
// others, to the malformed ones.
void report_duplicates(received_membership& received)
{
    const auto first = first_by_id(received);
    const auto ambiguous = ambiguous_ids(received, first);
    const auto is_ambiguous = [&](const received_member& m) {
        return ambiguous.contains(m.vm.id);
    };
    const auto is_copy = [&](const received_member& m) {
        return first.at(m.vm.id).index != m.index;
    };
    for (const received_member& m : received.members)
    {
        if (is_ambiguous(m))
        {
            received.malformed.push_back(
                {m.index, m.vm.id, "another entry with the id differs"});
        }
        else if (is_copy(m))
        {
            received.malformed.push_back(
                {m.index, m.vm.id, "a copy of another entry"});
        }
    }
    std::erase_if(received.members, [&](const received_member& m) {
        return is_ambiguous(m) || is_copy(m);
    });
    std::ranges::sort(received.malformed, {}, &malformed_member::index);
}

// A VM that is leaving stays so: its planned stop goes on.
member not_usable(member vm)
{
    if (vm.state == member_state::live)
    {
        vm.state = member_state::unusable;
    }
    return vm;
}

} // namespace

membership_merge::vms
membership_merge::named_vms(const received_membership& received) const
{
    vms named;
    for (const received_member& m : received.members)
    {
        named.emplace(m.vm.id, known_vm{m.vm, list_});
    }
    for (const malformed_member& m : received.malformed)
    {
        if (m.id.empty())
        {
            continue;
        }
        const auto known = known_.find(m.id);
        named.emplace(m.id,
                      known_vm{known == known_.end() ? std::nullopt
                                                     : known->second.last_good,
                               list_});
    }
    return named;
}

// For each VM that was missing and is named again, the last list before that
// named it.
std::vector<std::uint64_t>
membership_merge::returned_vms(const vms& named) const
{
    std::vector<std::uint64_t> returned;
    for (const auto& [id, vm] : known_)
    {
        if (vm.last_named + 1 < list_ && named.contains(id))
        {
            returned.push_back(vm.last_named);
        }
    }
    return returned;
}

// Those that are missing longest have precedence, because a platform that
// changes a malformed entry with each list would push them out otherwise.
void membership_merge::add_missing(vms& next)
{
    std::vector<std::pair<std::string, known_vm>> missing;
    std::ranges::copy_if(
        known_, std::back_inserter(missing),
        [&](const auto& vm) { return !next.contains(vm.first); });
    std::ranges::stable_sort(
        missing, {}, [](const auto& vm) { return vm.second.last_named; });
    std::size_t kept = 0;
    for (const auto& [id, vm] : missing)
    {
        if (!has_left_out_ && !unnamed_.may_name(vm.last_named))
        {
            gone_.push_back({id, vm.last_named});
            continue;
        }
        if (kept == max_missing_vms)
        {
            has_left_out_ = true;
            continue;
        }
        ++kept;
        next.emplace(id, vm);
    }
}

void membership_merge::forget_gone(const vms& named)
{
    std::erase_if(gone_, [&](const gone_vm& vm) {
        return named.contains(vm.id) || unnamed_.may_name(vm.last_named);
    });
    if (gone_.size() > max_gone_vms)
    {
        const auto extra = gone_.size() - max_gone_vms;
        gone_.erase(gone_.begin(),
                    gone_.begin() + static_cast<std::ptrdiff_t>(extra));
    }
}

merged_membership membership_merge::apply(received_membership received)
{
    ++list_;
    report_duplicates(received);
    auto next = named_vms(received);
    unnamed_.on_list(received.malformed, list_, returned_vms(next));
    has_left_out_ = has_left_out_ && !unnamed_.is_empty();
    add_missing(next);
    forget_gone(next);
    merged_membership merged;
    membership_list& list = merged.list;
    list.version = received.version;
    list.may_name_any_vm = !unnamed_.is_empty();
    std::set<std::string> well_formed;
    for (received_member& m : received.members)
    {
        well_formed.insert(m.vm.id);
        list.members.push_back(std::move(m.vm));
    }
    for (const auto& [id, vm] : next)
    {
        if (!vm.last_good)
        {
            list.unknown_ids.push_back(id);
        }
        else if (!well_formed.contains(id))
        {
            list.members.push_back(not_usable(*vm.last_good));
        }
    }
    if (list.may_name_any_vm)
    {
        std::ranges::transform(gone_, std::back_inserter(list.gone_ids),
                               &gone_vm::id);
    }
    known_ = std::move(next);
    merged.malformed = std::move(received.malformed);
    return merged;
}

} // namespace hemlockdeal
