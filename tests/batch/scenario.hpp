// Faults that a test cluster goes through, and the scenario in which they
// happen.
#pragma once

#include <cstdint>
#include <ostream>
#include <vector>

#include "batch/cluster.hpp"

namespace hemlockdeal::test
{

enum class fault_kind
{
    table_down,
    table_slow,
    lost_answers,
    duplicates,
    pause,
    cut_from_table,
    cut_from_workers,
    replace,
    kill_worker,
    lost_worker_messages,
    slow_workers,
    failing_worker,
    zone_out,
    cancel,
    submit,
    last
};

struct fault
{
    fault_kind kind = fault_kind::table_down;
    int at_ms = 0;
    int for_ms = 0;
    unsigned target = 0;
};

void showValue(const fault& f, std::ostream& os); // NOLINT: RapidCheck's name

// Begins or ends a fault.
void apply_fault(cluster& c, const fault& f, bool begins);

// Runs jobs through the faults and then until everything is over.
void run_scenario(cluster& c, const std::vector<fault>& faults);

} // namespace hemlockdeal::test
