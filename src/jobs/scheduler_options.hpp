// Times and limits of the scheduler.
#pragma once

#include "core/core.hpp"
#include "jobs/row_limit.hpp"

namespace hemlockdeal::jobs
{

struct scheduler_options
{
    // Longest lease that a worker grants.
    duration max_lease = std::chrono::milliseconds(6000);
    // A worker's clock may be slow by this share.
    double clock_error = 0.02;
    // A leader that lost the store goes on prolonging leases for this long.
    duration lease_extension_time = std::chrono::seconds(8);
    // Beyond its validity it does so only while most workers answered looks
    // that are younger than this, and for this long until they had time to:
    // a later leader that has seen most workers knows the end of it.
    duration lease_extension_contact = std::chrono::milliseconds(2000);
    // An earlier leader may believe in its lead for this long after a later
    // one has begun.
    duration lead_overlap = std::chrono::seconds(1);
    // A start that is carried out later than this is refused by the worker.
    duration start_validity = std::chrono::milliseconds(2500);
    // An order without an answer may be carried out this much later.
    duration late_order_limit = std::chrono::seconds(13);
    // Shortest time between two looks at a worker; ends in between come
    // together.
    duration min_poll_interval = std::chrono::milliseconds(40);
    // How long a look waits for an end.
    duration poll_wait = std::chrono::milliseconds(1500);
    // The same on a worker where fill tasks press serving ones.
    duration mixed_poll_wait = std::chrono::milliseconds(400);
    // A look while results wait for the store.
    duration unstored_poll_interval = std::chrono::milliseconds(400);
    // A worker without an answer for this long gets no new tasks.
    duration contact_limit = std::chrono::milliseconds(2500);
    duration poll_retry = std::chrono::milliseconds(250);
    duration stop_retry = std::chrono::milliseconds(700);
    // A worker is avoided this long after it failed tasks of several jobs,
    // and twice as long each further time.
    duration first_avoidance = std::chrono::seconds(3);
    duration longest_avoidance = std::chrono::seconds(24);
    // A task that makes no progress for this long stands still.
    duration stall_limit = std::chrono::milliseconds(2500);
    // Times on remote wall clocks are compared with this margin.
    duration due_margin = std::chrono::milliseconds(50);
    // How many times longer a task takes away from its preferred rack.
    double far_factor = 2.0;
    // A fill task that is slowed for this long may be moved.
    duration slowed_limit = std::chrono::milliseconds(700);
    // Fill tasks may ask for this many times the processors that are likely
    // to be unused.
    double fill_limit = 1.1;
    // Bytes of the value of one row of the store.
    std::size_t row_limit = default_row_limit;
    // Serving tasks use this share of what they reserve, on average.
    double serving_use = 0.5;
};

} // namespace hemlockdeal::jobs
