// Names of start responses and run ends in logs, and look-up of runs in a
// report.
#include "jobs/worker_report.hpp"

#include <algorithm>
#include <array>

namespace hemlockdeal::jobs
{

std::string_view to_text(start_answer response)
{
    constexpr std::array<std::string_view, 11> names = {
        "accepted",        "no_room",   "superseded", "run_too_low",
        "deadline_passed", "no_ticket", "unhealthy",  "malformed",
        "other_worker",    "not_sent",  "unknown"};
    return names.at(static_cast<std::size_t>(response));
}

std::string_view to_text(run_end how)
{
    constexpr std::array<std::string_view, 7> names = {
        "done",   "failed", "stopped",     "lapsed",
        "broken", "alone",  "unrecognized"};
    return names.at(static_cast<std::size_t>(how));
}

bool worker_report::lists(const task_key& task, std::uint32_t run) const
{
    const auto is_listed = [&](const auto& entry) {
        return entry.task == task && entry.run == run;
    };
    return std::ranges::any_of(running, is_listed) ||
           std::ranges::any_of(ended, is_listed);
}

} // namespace hemlockdeal::jobs
