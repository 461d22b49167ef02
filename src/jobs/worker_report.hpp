// What workers say: their entry in the membership list, and their answers.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.hpp"
#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

// A worker's own steady clock; it may run 2% slow.
using worker_clock = std::chrono::milliseconds;

// Unix milliseconds of the start of a worker's process. A worker that has
// started again under its id remembers nothing.
using worker_incarnation = std::int64_t;

struct worker_entry
{
    worker_id id;
    service_id service;
    std::string address;
    availability_zone_id zone;
    region_id region;
    bool is_leaving = false;
    // Shortest time until a leaving worker ends.
    std::chrono::milliseconds remaining{};
    task_size capacity;
    // Kind and rack.
    std::vector<std::string> labels;
    worker_incarnation incarnation = 0;

    bool has_label(std::string_view label) const
    {
        return std::ranges::find(labels, label) != labels.end();
    }

    friend bool operator==(const worker_entry&, const worker_entry&) = default;
};

struct running_task
{
    task_key task;
    std::uint32_t run = 0;
    std::string checkpoint;
    // Progress; a lasting task that is at work shows 100.
    int percent = 0;
    // For a serving task its tail latency in ms, for others the processor
    // millis in use, over the last half second; -1 if not given.
    std::int64_t measurement = -1;
};

enum class run_end
{
    done,
    failed,
    stopped,
    // The lease ended.
    lapsed,
    // Another member of the gang ended.
    broken,
    // The other members of the gang did not come.
    alone
};

struct ended_run
{
    // Rises with each end of one life of a worker.
    std::uint64_t number = 0;
    task_key task;
    std::uint32_t run = 0;
    run_end how = run_end::done;
    std::string checkpoint;
};

struct worker_report
{
    worker_clock clock{};
    worker_incarnation incarnation = 0;
    std::vector<running_task> running;
    std::vector<ended_run> ended;
};

enum class start_answer
{
    accepted,
    no_room,
    // The worker follows a later leader.
    superseded,
    run_too_low,
    deadline_passed,
    no_ticket,
    // The worker is unhealthy and has done nothing.
    unhealthy,
    malformed,
    // Another worker has this address now.
    other_worker,
    // No answer: the task may run, now or later.
    unknown
};

std::string_view to_text(start_answer answer);
std::string_view to_text(run_end how);

} // namespace hemlockdeal::jobs
