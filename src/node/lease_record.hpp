// Checks the lease row and keeps a record of its epoch, which is needed if the
// row cannot be decoded: workers refuse the orders of an epoch that is not
// above all earlier ones.
#pragma once

#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

#include "jobs/jobs.hpp"
#include "node/store_message.hpp"

namespace hemlockdeal::node
{

// Empty if the row is malformed. An epoch is never above the row's version:
// each epoch needs a transaction, and the store's counter rises with each.
inline std::optional<jobs::lease_row> decode_lease_row(const stored_row& row)
{
    auto lease = jobs::decode_lease(row.value);
    const bool is_valid =
        lease && lease->epoch > 0 && lease->epoch <= row.version.value();
    return is_valid ? std::move(lease) : std::nullopt;
}

// Empty if the row is malformed.
inline std::optional<std::uint64_t> decode_epoch(const stored_row& row)
{
    std::uint64_t epoch = 0;
    const auto* const end = row.value.data() + row.value.size();
    const auto [read_to, error] = std::from_chars(row.value.data(), end, epoch);
    const bool is_valid = error == std::errc{} && read_to == end && epoch > 0 &&
                          epoch <= row.version.value();
    return is_valid ? std::optional(epoch) : std::nullopt;
}

// The version of a malformed lease row is a bound on the epochs before it.
// Empty if it is too high for an epoch: run numbers have 32 bits, and each
// epoch has a block of them. Half of the blocks stay for later epochs.
inline std::optional<std::uint64_t> epoch_bound(row_version version)
{
    constexpr std::uint64_t runs_per_epoch = 1000;
    constexpr std::uint64_t max_epoch =
        std::numeric_limits<std::uint32_t>::max() / runs_per_epoch / 2;
    return version.value() <= max_epoch ? std::optional(version.value())
                                        : std::nullopt;
}

} // namespace hemlockdeal::node
