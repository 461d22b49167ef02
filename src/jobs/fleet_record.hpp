// The stored list of workers that may run tasks, for the next leader.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.hpp"
#include "jobs/job.hpp"

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

std::string encode_fleet(const std::vector<fleet_record>& fleet);

// Empty if the text cannot be read.
std::optional<std::vector<fleet_record>> decode_fleet(std::string_view text);

} // namespace hemlockdeal::jobs
