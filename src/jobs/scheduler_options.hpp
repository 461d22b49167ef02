// Time limits and thresholds of the scheduler.
#pragma once

#include "core/core.hpp"
#include "jobs/policy_switches.hpp"
#include "jobs/row_limit.hpp"

namespace hemlockdeal::jobs
{

struct scheduler_options
{
    // Longest lease that the leader asks for.
    duration max_lease = std::chrono::milliseconds(6000);
    // Longest lease that a worker grants, whatever deadline an order names.
    duration worker_max_lease = std::chrono::milliseconds(6000);
    // Maximum relative error of a worker's clock.
    double clock_error = 0.02;
    // The end of the leases on a worker that has been silent for this long is
    // stored for later leaders. A worker that returns sooner needs no write to
    // the store before its leases are extended again.
    duration lease_bound_delay = std::chrono::milliseconds(2500);
    // A leader without access to the store continues to extend leases for this
    // long.
    duration lease_extension_time = std::chrono::seconds(8);
    // After its lease has expired, a leader extends leases only while most
    // workers have responded to polls younger than this, and for this long at
    // first so that they have time to respond. This lets a later leader that
    // has seen most workers determine when the extension ends.
    duration lease_extension_contact = std::chrono::milliseconds(2000);
    // An earlier leader may consider itself valid for this long after a later
    // one has begun.
    duration lead_overlap = std::chrono::seconds(1);
    // The worker refuses a start that arrives later than this after the order.
    duration start_validity = std::chrono::milliseconds(2500);
    // An order without a response may still be executed up to this much later.
    duration max_order_delay = std::chrono::seconds(13);
    // Shortest interval between two polls of a worker; runs that end in
    // between are reported together.
    duration min_poll_interval = std::chrono::milliseconds(40);
    // How long a poll waits for a run to end.
    duration poll_wait = std::chrono::milliseconds(1500);
    // The same on a worker where fill tasks slow down serving tasks.
    duration mixed_poll_wait = std::chrono::milliseconds(400);
    // Poll interval while ended runs wait to be stored.
    duration unstored_poll_interval = std::chrono::milliseconds(400);
    // A worker that has not responded for this long gets no new tasks.
    duration contact_limit = std::chrono::milliseconds(2500);
    duration poll_retry = std::chrono::milliseconds(250);
    duration stop_retry = std::chrono::milliseconds(700);
    // How long a worker is avoided after it has failed tasks of several jobs;
    // doubled each further time up to the maximum.
    duration initial_avoidance = std::chrono::seconds(3);
    duration max_avoidance = std::chrono::seconds(24);
    // A task without progress for this long counts as stalled.
    duration stall_limit = std::chrono::milliseconds(2500);
    // Factor by which a task takes longer outside its preferred rack.
    double far_factor = 2.0;
    // Longest time for which fill tasks may keep a serving task above its tail
    // latency target.
    duration harm_limit = std::chrono::milliseconds(4000);
    // Longest time until a call that does not wait is answered.
    duration max_call_time = std::chrono::milliseconds(350);
    // A suspended task disturbs for up to this time, and the tail latency is
    // measured over a window that contains it.
    duration suspension_delay = std::chrono::milliseconds(600);
    // A fill task that has been slowed for this long may be moved.
    duration slowed_limit = std::chrono::milliseconds(700);
    // Fill tasks may demand up to this multiple of the processors that are
    // expected to be unused.
    double fill_limit = 1.1;
    // Maximum size in bytes of a row value in the store.
    std::size_t row_limit = default_row_limit;
    // A change of the configuration is in force on every VM after this long.
    duration configuration_delay = std::chrono::seconds(3);
    // Switches on the decisions under load.
    bool overload_control = false;
    // Average share of their reserved processors that serving tasks use.
    double serving_use = 0.5;
    policy_switches policy;
};

// Longest duration of a lease by this VM's clock, on a worker with the slowest
// permitted clock.
inline duration longest_lease(const scheduler_options& options)
{
    return std::chrono::duration_cast<duration>(
        options.max_lease * (1.0 + 2 * options.clock_error));
}

// Longest duration of the lease that an order may bring about which names a
// deadline by the clock of an earlier process of the worker.
inline duration longest_granted_lease(const scheduler_options& options)
{
    return std::chrono::duration_cast<duration>(
        options.worker_max_lease * (1.0 + 2 * options.clock_error));
}

// True if an order to a former process of a worker may bring about a longer
// lease than a later leader expects.
inline bool has_longer_late_leases(const scheduler_options& options)
{
    return longest_granted_lease(options) > longest_lease(options);
}

// Until when earlier leaders may have granted leases, if the last one took the
// lead before `now` and may still be alive.
inline time_point latest_lease_end(const scheduler_options& options,
                                   time_point now)
{
    return now + longest_lease(options) + options.lead_overlap +
           options.lease_extension_time;
}

} // namespace hemlockdeal::jobs
