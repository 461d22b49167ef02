// The product's tables in the store. Submissions lie in a part of their own,
// so that callers' writes and the leader's do not wait for one another.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/core.hpp"

namespace hemlockdeal::node
{

// One row a job, created by the VM that accepted it, and one row for its
// cancellation. The store carries out the transactions of one part one after
// another; several parts keep a slow store from making callers queue.
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

// Part "lead": written by the leading VM only.
inline const std::string lead_part = "lead";
inline const std::string lease_table = "lease";
inline const std::string lease_key = "leader";
inline const std::string progress_table = "progress";
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

// The first key after all keys that begin with the job's id; ids are
// hexadecimal.
inline std::string end_of_job_keys(const job_id& id)
{
    return id.value() + "~";
}

} // namespace hemlockdeal::node
