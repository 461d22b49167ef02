// Implements the pacing.
#include "jobs/tail_pacer.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

// Parts of the target. The figures are rough and half a second old.
constexpr double high_pressure = 0.8;
constexpr double low_pressure = 0.5;
constexpr int full_pace = 100;
constexpr int pace_step_up = 25;

} // namespace

double tail_pacer::pressure(const fleet_worker& worker)
{
    double largest = 0.0;
    for (const auto& [key, run] : worker.runs())
    {
        if (run.is_serving() && run.figure >= 0)
        {
            const auto target = std::chrono::duration<double, std::milli>(
                run.tail_target);
            largest = std::max(largest, static_cast<double>(run.figure) /
                                            target.count());
        }
    }
    return largest;
}

void tail_pacer::adjust(fleet_worker& worker, time_point now)
{
    if (worker.serving_count() == 0 || worker.fill_count() == 0)
    {
        return;
    }
    const double now_at = pressure(worker);
    for (const auto& [key, shown] : worker.runs())
    {
        auto& run = *worker.find_run(key);
        if (!run.fills || !run.confirmed_at || run.stop_ordered_at)
        {
            continue;
        }
        int pace = run.pace;
        if (now_at > high_pressure)
        {
            pace = 0;
        }
        else if (now_at < low_pressure)
        {
            pace = std::min(full_pace, run.pace + pace_step_up);
        }
        if (pace == run.pace)
        {
            continue;
        }
        run.pace = pace;
        run.progressed_at = now;
        state_.say("run is paced", {{"task", to_text(key)},
                                    {"percent", std::to_string(pace)},
                                    {"pressure", std::to_string(now_at)}});
        state_.orders.emplace_back(
            pace_order{worker.entry.id, key, run.run, pace});
    }
}

} // namespace hemlockdeal::jobs
