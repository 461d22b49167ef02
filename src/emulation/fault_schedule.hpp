// Times and targets of the faults that do not depend on the scheduler, drawn in
// advance so that all variants of a scheduler meet the same ones.
#pragma once

#include <cstddef>
#include <random>
#include <vector>

#include "emulation/crash_options.hpp"

namespace hemlockdeal::emulation
{

enum class fault_kind
{
    worker_crash,
    rack_loss,
    zone_loss,
    partition,
    planned_leave,
    leader_kill
};

struct scheduled_fault
{
    time_point at{};
    fault_kind kind = fault_kind::worker_crash;
    // Number of the VM, the rack or the zone.
    std::size_t target = 0;
    // Length of a partition.
    duration length{};
};

// Faults in the order of their times.
std::vector<scheduled_fault> schedule_faults(const crash_options& options,
                                             time_point begin);

} // namespace hemlockdeal::emulation
