// Options of the crash simulation: the fleet, its load, the tasks that crash
// their workers, the other faults, and the limits that the checks apply.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "jobs/jobs.hpp"

namespace hemlockdeal::emulation
{

// Which tasks of a job crash the worker that starts them.
enum class crash_target
{
    one_task,
    whole_step,
    gang_member,
    lasting_task
};

// Limits that the checks apply; times are simulated.
struct crash_limits
{
    // A task that has crashed this many workers may be started only a few
    // more times.
    std::size_t workers_crashed = 3;
    std::size_t later_starts = 2;
    // Time from the second crash by a task, or a later takeover, until its job
    // is shown as failed.
    duration give_up_time = std::chrono::seconds(30);
    // A job with a crashing task must have failed this long after its first
    // start.
    duration crashing_job_time = std::chrono::seconds(60);
    // A sound job that does not last must be completed this long after it was
    // submitted.
    duration sound_job_time = std::chrono::seconds(40);
    // Time with room, from the loss of a lasting run or a later takeover, until
    // the task runs again.
    duration lasting_restart_time = std::chrono::seconds(9);
    // Added to this time after a takeover: an earlier leader may have extended
    // leases for so long.
    duration recovery_time = std::chrono::seconds(4);
    // The leader cannot know yet that a worker was lost this recently. A start
    // that it sends there may take effect until the leases on the worker have
    // expired, so that the time with room counts anew from this start.
    duration unnoticed_time = std::chrono::seconds(3);
    // There is room for a task when this many workers have room for it: one
    // may be kept for the trial of a suspect.
    std::size_t workers_with_room = 3;
};

struct crash_options
{
    std::uint32_t seed = 1;
    jobs::scheduler_options scheduler;

    // Fleet.
    std::size_t vms = 36;
    std::size_t vms_per_rack = 6;
    std::size_t zones = 3;

    // Load.
    double jobs_per_second = 2.0;
    // Share of the fleet's processors that lasting tasks reserve.
    double lasting_share = 0.55;

    // Faults and jobs occur in the first period only.
    duration faulty_time = std::chrono::seconds(30);
    duration calm_time = std::chrono::seconds(45);

    // Jobs with a crashing task, at random times of the first two thirds of
    // the faulty period.
    std::size_t crashing_jobs = 4;
    crash_target target = crash_target::one_task;
    // Time from the start of a crashing task to the crash of its worker.
    duration crash_delay = std::chrono::milliseconds(10);

    // Number of other faults in the faulty period.
    std::size_t worker_crashes = 0;
    std::size_t rack_losses = 0;
    std::size_t zone_losses = 0;
    std::size_t partitions = 0;
    std::size_t planned_leaves = 0;
    std::size_t leader_kills = 0;
    // Kills of the leader just after it has ordered a crashing task to start.
    std::size_t leader_kills_after_order = 0;

    // Time from a crash until the VM runs a new worker, and until the old one
    // leaves the membership list.
    duration restart_time = std::chrono::milliseconds(3300);
    duration unlisting_time = std::chrono::milliseconds(3000);
    // The same for the VMs of a lost rack or zone.
    duration outage_time = std::chrono::seconds(10);
    duration min_partition = std::chrono::milliseconds(1500);
    duration max_partition = std::chrono::seconds(9);
    // Time from the announcement of a planned leave to the end of the worker.
    duration leave_time = std::chrono::seconds(5);
    duration takeover_time = std::chrono::seconds(2);
    // Share of the crashes after which a poll gets no answer instead of a
    // connection reset.
    double silent_share = 0.0;
    // Share of the crashes after which the worker returns under its old id.
    double same_id_share = 0.0;
    // Workers state the VM on which they run.
    bool names_vms = true;
    // Deliberate breach of the recovery contract, to show that the checks
    // detect it: a new leader finds the first stored row of each job and no
    // list of workers.
    bool recovers_first_rows = false;

    crash_limits limits;
    // Receives a line for each decision of a leader and each fault, if set.
    std::function<void(time_point at, const std::string& line)> trace;
};

} // namespace hemlockdeal::emulation
