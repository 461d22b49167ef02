// The entries without a readable id in successive membership lists, told apart
// by their contents, and the VMs that they may name.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "core/membership.hpp"

namespace hemlockdeal
{

// Lists are numbered in the order of their arrival.
class unnamed_entries
{
public:
    // `returned` holds, for each VM that the list names again, the number of
    // the list that last named it. The entry of such a VM must have left the
    // list; if none has, an entry with the same content took its place.
    void on_list(const std::vector<malformed_member>& malformed,
                 std::uint64_t list,
                 const std::vector<std::uint64_t>& returned);

    bool is_empty() const { return since_.empty(); }

    // Whether an entry may name a VM that list `last_named` was the last to
    // name. An entry that was already in that list does not.
    bool may_name(std::uint64_t last_named) const
    {
        return newest_ > last_named;
    }

private:
    void renew_after(std::uint64_t last_named, std::uint64_t list);

    // Numbers of the first lists that held the entries, in ascending order, by
    // content.
    std::map<std::uint64_t, std::vector<std::uint64_t>> since_;
    std::uint64_t newest_ = 0;
};

} // namespace hemlockdeal
