// The stored list of workers that may run tasks, for the next leader.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.hpp"
#include "jobs/earlier_leases.hpp"
#include "jobs/job.hpp"
#include "jobs/row_limit.hpp"

namespace hemlockdeal::jobs
{

// A start without a response that may still take effect, also after all leases
// have expired or a restart of the worker.
struct unanswered_start
{
    task_key task;
    // When it can no longer take effect.
    store_time until{};
    // Number of the run, if only one order was sent for it; otherwise 0.
    std::uint32_t run = 0;

    friend bool operator==(const unanswered_start&,
                           const unanswered_start&) = default;
};

// Invariant: while `runs` is set, the leader starts nothing on the worker.
struct fleet_record
{
    worker_id worker;
    // All tasks that may run on a worker that is leaving or does not respond;
    // any task may run on a worker without this list.
    std::optional<std::vector<task_key>> runs;
    // The VM on which the worker runs; empty if it is not known.
    vm_id vm{};
    // Tasks that may have crashed the worker, if it has crashed.
    std::vector<task_key> suspects{};
    // Those of them that had outlived their start-up.
    std::vector<task_key> late_suspects{};
    // For a worker that does not respond, or has not been seen for some time.
    std::optional<lease_bound> leases{};
    std::vector<unanswered_start> unanswered_starts{};

    friend bool operator==(const fleet_record&, const fleet_record&) = default;
};

// The list is stored in parts, because a row of the store holds a value of
// limited size and a change of one worker should rewrite one part only.
constexpr std::uint32_t fleet_parts = 32;

// Number of the part that contains this worker.
std::uint32_t fleet_part_of(const worker_id& id);

struct fleet_part
{
    std::uint32_t number = 0;
    std::vector<fleet_record> workers;

    friend bool operator==(const fleet_part&, const fleet_part&) = default;
};

// Encodes the list in at most `max_bytes` if possible. Lists of runs that do
// not fit are omitted, which is safe: any task may then run on the worker.
std::string encode_fleet(const std::vector<fleet_record>& fleet,
                         std::size_t max_bytes = default_row_limit);

// Empty if the text is malformed.
std::optional<std::vector<fleet_record>> decode_fleet(std::string_view text);

} // namespace hemlockdeal::jobs
