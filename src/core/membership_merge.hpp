// Joins each received membership list with the VMs known before. Invariant: a
// known VM leaves the result only by a list that proves its absence, because
// whatever ran on a removed VM is started again elsewhere.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/membership.hpp"

namespace hemlockdeal
{

struct merged_membership
{
    membership_list list;
    // Includes entries that are well-formed and repeat an id.
    std::vector<malformed_member> malformed;
};

class membership_merge
{
public:
    // Passes well-formed entries on. A known VM is kept by its last good entry
    // and is not used while its entry is malformed, or while it is missing from
    // a list with an entry without a readable id. An id that is named more than
    // once counts as malformed, since nothing tells which entry is right.
    merged_membership apply(received_membership received);

private:
    // Last good entries of the VMs in the last result, by id.
    std::map<std::string, member> known_;
};

} // namespace hemlockdeal
