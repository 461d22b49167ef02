// State of the steps of one occurrence of a job.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "jobs/step_record.hpp"

namespace hemlockdeal::jobs
{

struct occurrence_record
{
    std::vector<step_record> steps;
    std::uint32_t done_steps = 0;

    // True if nothing is known of any of its tasks.
    bool is_untouched() const
    {
        return std::ranges::all_of(steps, [](const step_record& s) {
            return s.tasks.empty() && s.done == 0;
        });
    }
};

} // namespace hemlockdeal::jobs
