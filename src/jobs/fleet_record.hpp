// The stored list of workers that may run tasks, for the next leader.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.hpp"
#include "jobs/job.hpp"
#include "jobs/row_limit.hpp"

namespace hemlockdeal::jobs
{

// Invariant: while `runs` is given, the leader starts nothing on the worker.
struct fleet_record
{
    worker_id worker;
    // All tasks that may run on a worker that is leaving or does not answer;
    // any task may run on a worker without this list.
    std::optional<std::vector<task_key>> runs;

    friend bool operator==(const fleet_record&, const fleet_record&) = default;
};

// The list is stored in parts: a row of the store holds a bounded value, and a
// change of one worker rewrites one part only.
constexpr std::uint32_t fleet_parts = 32;

// The part that names this worker.
std::uint32_t fleet_part_of(const worker_id& id);

struct fleet_part
{
    std::uint32_t number = 0;
    std::vector<fleet_record> workers;

    friend bool operator==(const fleet_part&, const fleet_part&) = default;
};

// A text of at most `max_bytes` if that is possible at all. Lists of runs
// that do not fit are left out, which says less and is still true.
std::string encode_fleet(const std::vector<fleet_record>& fleet,
                         std::size_t max_bytes = default_row_limit);

// Empty if the text cannot be read.
std::optional<std::vector<fleet_record>> decode_fleet(std::string_view text);

} // namespace hemlockdeal::jobs
