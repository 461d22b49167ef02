// Data that workers publish: their entry in the membership list, and their
// responses.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.hpp"
#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

// A worker's own monotonic clock; it may run 2% slow.
using worker_clock = std::chrono::milliseconds;

// Start time of a worker's process in Unix milliseconds. A worker that has
// restarted under the same id has lost its state.
using worker_incarnation = std::int64_t;

struct worker_entry
{
    worker_id id;
    service_id service;
    std::string address;
    // The VM on which the worker runs; empty if the worker does not say. A VM
    // runs one worker process at a time.
    vm_id vm;
    availability_zone_id zone;
    region_id region;
    bool is_leaving = false;
    // Minimum time until a leaving worker shuts down.
    std::chrono::milliseconds remaining{};
    task_size capacity;
    // Kind of worker, and rack.
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
    // Progress; an active long-running task reports 100.
    int percent = 0;
    // Over the last half second: tail latency in ms for a serving task,
    // processor millis in use for others; -1 if absent.
    std::int64_t measurement = -1;
};

enum class run_end
{
    done,
    failed,
    stopped,
    // The lease expired.
    lapsed,
    // Another member of the gang ended.
    broken,
    // The other members of the gang did not start.
    alone,
    // The report names an end that is not listed here.
    unrecognized
};

struct ended_run
{
    // Increases with each ended run within one incarnation of the worker; 0 if
    // the number cannot be decoded.
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
    // The worker may have ended further runs that it does not list yet. Nothing
    // follows then from the absence of a run.
    bool has_more_ends = false;
    // Rows that cannot be attributed to a run. A run in progress that cannot be
    // decoded still occupies room.
    std::size_t unreadable_running = 0;
    std::size_t unreadable_ended = 0;
    // Place and beginning of the first of these rows.
    std::string first_unreadable;

    // True if the worker process that made the report has, or has had, the run.
    bool lists(const task_key& task, std::uint32_t run) const;
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
    // The worker is unhealthy and has not executed the order.
    unhealthy,
    malformed,
    // The address now belongs to another worker.
    other_worker,
    // The order was not sent: the lead had ended by then.
    not_sent,
    // No response: the task may run, now or later.
    unknown
};

// The response to a start.
struct start_response
{
    // NOLINTNEXTLINE(google-explicit-constructor): most have no clock.
    start_response(start_answer a) : answer(a) {}
    start_response(start_answer a, std::optional<worker_clock> c)
        : answer(a), clock(c)
    {}

    start_answer answer;
    // The worker's clock when it responded; empty if the response names none.
    std::optional<worker_clock> clock;
};

std::string_view to_text(start_answer response);
std::string_view to_text(run_end how);

} // namespace hemlockdeal::jobs
