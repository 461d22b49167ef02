// Joins each received membership list with the VMs known before. Invariant: a
// known VM leaves the result only by a list that proves its absence, because
// whatever ran on a removed VM is started again elsewhere.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/membership.hpp"
#include "core/unnamed_entries.hpp"

namespace hemlockdeal
{

struct merged_membership
{
    membership_list list;
    // Includes well-formed entries that are not used because another one has
    // the id.
    std::vector<malformed_member> malformed;
};

class membership_merge
{
public:
    // Missing VMs that are kept beside entries without a readable id. Beyond
    // it they leave the members, but their absence is not proved.
    static constexpr std::size_t max_missing_vms = 10'000;
    // VMs whose proved absence is remembered for a list that proves no other.
    static constexpr std::size_t max_gone_vms = 10'000;

    // Passes well-formed entries on. A known VM is kept by its last good entry
    // and is not used while its entry is malformed, or while it is missing
    // beside an entry without a readable id that was not listed, with the same
    // content, when the VM was last named. Entries of one id that are
    // well-formed and differ count as malformed, since nothing tells which is
    // right; a single one, or identical ones, are valid.
    merged_membership apply(received_membership received);

private:
    struct known_vm
    {
        std::optional<member> last_good;
        std::uint64_t last_named = 0; // number of the list
    };
    struct gone_vm
    {
        std::string id;
        std::uint64_t last_named = 0; // number of the list
    };
    using vms = std::map<std::string, known_vm>;

    vms named_vms(const received_membership& received) const;
    std::vector<std::uint64_t> returned_vms(const vms& named) const;
    void add_missing(vms& next);
    void forget_gone(const vms& named);

    // The VMs that the last list named, or may have named, by id.
    vms known_;
    unnamed_entries unnamed_;
    std::uint64_t list_ = 0; // number of the last list
    // Some missing VM is not in known_ any more. No absence is proved then
    // while an entry without a readable id is listed.
    bool has_left_out_ = false;
    std::vector<gone_vm> gone_; // the latest ones last
};

} // namespace hemlockdeal
