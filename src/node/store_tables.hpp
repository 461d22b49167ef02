// The product's tables in the store. Submissions have their own parts, so that
// writes of callers and of the leader do not block each other.
#pragma once

#include <charconv>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.hpp"

namespace hemlockdeal::node
{

// One row per job, created by the VM that accepted it, and one row per
// cancellation or withdrawal. The store executes the transactions of one part
// serially; several parts keep callers from queueing when the store is slow.
inline const std::string inbox_table = "inbox";
constexpr std::uint64_t inbox_parts = 8;

inline std::string inbox_part_name(std::uint64_t number)
{
    return "jobs-" + std::to_string(number);
}

inline std::string inbox_part(const job_id& id)
{
    return inbox_part_name(stable_hash(id.value()) % inbox_parts);
}

// Written by the leader only.
inline const std::string lead_part = "lead";
inline const std::string lease_table = "lease";
inline const std::string lease_key = "leader";
// The epoch alone, written with each takeover.
inline const std::string epoch_key = "epoch";
inline const std::string progress_table = "progress";
// Follows the id of a job in the keys of its rows with histories of tasks,
// before their number.
constexpr std::string_view history_infix = ".h";
inline std::string history_key(const job_id& id, std::uint32_t number)
{
    return id.value() + std::string(history_infix) + std::to_string(number);
}

struct history_row_name
{
    job_id job;
    std::uint32_t number = 0;
};

// Empty if the key is not that of a row with histories.
inline std::optional<history_row_name> parse_history_key(std::string_view key)
{
    const auto infix = key.find(history_infix);
    if (infix == std::string_view::npos)
    {
        return std::nullopt;
    }
    history_row_name out{job_id(std::string(key.substr(0, infix))), 0};
    const auto digits = key.substr(infix + history_infix.size());
    const auto* const end = digits.data() + digits.size();
    const auto read = std::from_chars(digits.data(), end, out.number);
    const bool is_valid =
        read.ec == std::errc{} && read.ptr == end && !out.job.empty();
    return is_valid ? std::optional(std::move(out)) : std::nullopt;
}

inline const std::string fleet_table = "fleet";
inline std::string fleet_key(std::uint32_t part)
{
    return "workers-" + std::to_string(part);
}
inline const std::string learnt_table = "learnt";
inline const std::string interference_key = "interference";
inline const std::string pending_table = "pending";
inline const std::string pending_key = "queues";

constexpr std::string_view cancel_suffix = ".c";

inline std::string cancel_key(const job_id& id)
{
    return id.value() + std::string(cancel_suffix);
}

// Follows the id of a job in the key of its withdrawal, before the account that
// has cancelled it.
constexpr std::string_view withdrawal_infix = ".w";

// Key of a row that says that the account has cancelled the job before any VM
// had stored it. A submission depends on the absence of the row: it may still
// be on its way, for example on a suspended VM. The row of one account does not
// hold off the submission of another.
inline std::string withdrawal_key(const job_id& id, const account_id& account)
{
    return id.value() + std::string(withdrawal_infix) +
           (account.empty() ? ""
                            : std::to_string(stable_hash(account.value())));
}

inline bool is_withdrawal_key(std::string_view key)
{
    return key.find(withdrawal_infix) != std::string_view::npos;
}

inline job_id job_of_withdrawal(std::string_view key)
{
    return job_id(std::string(key.substr(0, key.find(withdrawal_infix))));
}

// A withdrawal stays for this long, as states of jobs do: longer than a
// submission can be under way beside suspended VMs and a slow store.
constexpr duration withdrawal_lifetime = std::chrono::seconds(120);

// Upper bound of all keys that begin with the job's id; ids are hexadecimal.
inline std::string end_of_job_keys(const job_id& id)
{
    return id.value() + "~";
}

} // namespace hemlockdeal::node
