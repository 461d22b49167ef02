// Keys of the table rows, and the hashes on which all daemons must agree.
#include <array>
#include <cstdio>
#include <string>

#include "batch/batch_codec.hpp"

namespace hemlockdeal
{

namespace
{

std::string shard_path(const shard_id& shard)
{
    return shard.zone.value() + "/" + std::to_string(shard.number);
}

} // namespace

std::string shard_key(const shard_id& shard)
{
    return "shard/" + shard_path(shard);
}

std::string job_key(const job_id& job)
{
    return "job/" + job.value();
}

std::string inbox_prefix(const shard_id& shard)
{
    return "inbox/" + shard_path(shard) + "/";
}

std::string journal_prefix(const shard_id& shard)
{
    return "journal/" + shard_path(shard) + "/";
}

std::string journal_key(const shard_id& shard, std::uint64_t sequence)
{
    // Fixed width, so that the order of keys is the order of rows.
    std::array<char, 24> digits{};
    std::snprintf(digits.data(), digits.size(), "%012llu",
                  static_cast<unsigned long long>(sequence));
    return journal_prefix(shard) + digits.data();
}

std::string snapshot_prefix(const shard_id& shard)
{
    return "snapshot/" + shard_path(shard) + "/";
}

std::string snapshot_key(const shard_id& shard, const job_id& job)
{
    return snapshot_prefix(shard) + "job." + job.value();
}

std::string snapshot_head_key(const shard_id& shard)
{
    return snapshot_prefix(shard) + "head";
}

std::string ended_key(const shard_id& shard, const job_id& job)
{
    return "ended/" + shard_path(shard) + "/" + job.value();
}

shard_id shard_of(const worker_id& worker, const availability_zone_id& zone,
                  std::uint32_t shards_per_zone)
{
    return {zone, static_cast<std::uint32_t>(stable_hash(worker.value()) %
                                             shards_per_zone)};
}

std::uint64_t digest_of(const job_submission& submission)
{
    // Length prefixes keep adjacent texts apart.
    std::string text;
    const auto add = [&text](const std::string& part) {
        text += std::to_string(part.size()) + ":" + part;
    };
    add(submission.id.value());
    add(submission.team.value());
    add(submission.work_class.value());
    add(std::to_string(submission.tasks));
    add(std::to_string(submission.task_size.processors.value));
    add(std::to_string(submission.task_size.memory.value));
    add(std::to_string(submission.task_size.accelerators.value));
    add(std::to_string(submission.declared_run_time.count()));
    add(submission.payload);
    return stable_hash(text);
}

} // namespace hemlockdeal
