// Values of the table rows that the batch core reads and writes, as JSON.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "batch/job_part.hpp"
#include "core/ids.hpp"

namespace hemlockdeal
{

// `shard/<zone>/<n>`; an empty owner means that the shard was released.
struct shard_row
{
    vm_id owner;
    incarnation owner_incarnation;
    epoch owner_epoch;
};

// `lease/<vm>`; written by the control library.
struct lease_content
{
    incarnation holder_incarnation;
    std::string revoked_by; // empty while it is not revoked
};

// `journal/<zone>/<n>/<sequence>`.
struct journal_row
{
    std::uint64_t sequence = 0;
    std::vector<journal_record> records;
};

struct job_row_part
{
    shard_id shard;
    std::uint32_t first = 0;
    std::uint32_t count = 0;
};

// `job/<job>`.
struct job_row
{
    std::uint64_t digest = 0;
    std::uint32_t tasks = 0;
    std::vector<job_row_part> parts;
};

std::string shard_key(const shard_id& shard);
std::string job_key(const job_id& job);
std::string inbox_prefix(const shard_id& shard);
std::string journal_prefix(const shard_id& shard);
std::string journal_key(const shard_id& shard, std::uint64_t sequence);
std::string snapshot_prefix(const shard_id& shard);
std::string snapshot_key(const shard_id& shard, const job_id& job);
// Holds the number of the newest journal row that snapshots cover.
std::string snapshot_head_key(const shard_id& shard);
// State of a part whose tasks are all over, kept out of the snapshots so that
// recovery reads only live parts.
std::string ended_key(const shard_id& shard, const job_id& job);

// The shard of a worker; all daemons must agree.
shard_id shard_of(const worker_id& worker, const availability_zone_id& zone,
                  std::uint32_t shards_per_zone);

// Identifies the content of a submission.
std::uint64_t digest_of(const job_submission& submission);

std::string encode(const shard_row& row, const commit_id& commit);
std::string encode(const journal_row& row, time_point now,
                   const commit_id& commit);
std::string encode(const job_row& row, const commit_id& commit);
// `now` turns the time of submission into the time waited, since other
// daemons have other clocks.
std::string encode(const job_part& part, time_point now,
                   const commit_id& commit);
std::string encode_cancellation(const job_id& job, const commit_id& commit);
std::string encode_head(std::uint64_t covered, const commit_id& commit);
// The lease row as it was, with `revoked_by` set.
std::string revoke(const std::string& lease_value, const vm_id& revoked_by,
                   const commit_id& commit);

// Empty when the value is not valid.
std::optional<shard_row> decode_shard(const std::string& value);
std::optional<lease_content> decode_lease(const std::string& value);
std::optional<journal_row> decode_journal(const std::string& value,
                                          time_point now);
std::optional<job_row> decode_job(const std::string& value);
std::optional<job_part> decode_part(const std::string& value, time_point now);
std::optional<job_id> decode_cancellation(const std::string& value);
std::optional<std::uint64_t> decode_head(const std::string& value);
std::optional<commit_id> commit_of(const std::string& value);

} // namespace hemlockdeal
