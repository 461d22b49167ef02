// Load benchmark of the scheduler: plays a load on an emulated fleet under
// policies by name, and prints the results for callers and the processor time
// of the leader's decisions. Usage: leader_load [workers] [jobs a second]
// [seconds] [seed] [policy]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

#include "emulation/emulation.hpp"

namespace
{

using namespace hemlockdeal;
using emulation::job_kind;
using emulation::load_simulation;
using emulation::simulation_options;
using emulation::simulation_result;

// Each policy changes the options of the present one.
const std::map<std::string, void (*)(simulation_options&)> policies = {
    {"present", [](simulation_options&) {}},
    {"latest-start",
     [](simulation_options& o) {
         o.scheduler.policy.orders_fills_by_path = false;
     }},
    {"blind",
     [](simulation_options& o) {
         o.scheduler.policy.uses_learnt_pressures = false;
     }},
    {"ignores-harm",
     [](simulation_options& o) {
         o.scheduler.policy.avoids_added_harm = false;
     }},
    {"full-pace",
     [](simulation_options& o) { o.scheduler.policy.suspends_fills = false; }},
    {"knows-pressures",
     [](simulation_options& o) { o.knows_pressures = true; }},
    {"changing-capacity", [](simulation_options& o) {
         o.changes_capacity = true;
         o.enforces_capacity = false;
     }}};

void print(const std::string& policy, const simulation_result& r,
           double seconds)
{
    const auto rate = [&](std::size_t count) {
        return static_cast<double>(count) / seconds;
    };
    std::printf("policy %s\n", policy.c_str());
    constexpr const char* names[] = {"urgent", "fill", "long-running"};
    for (std::size_t k = 0; k < emulation::kind_count; ++k)
    {
        if (static_cast<job_kind>(k) != job_kind::long_running)
        {
            std::printf("%-8s due %zu, in time %zu\n", names[k], r.kinds[k].due,
                        r.kinds[k].in_time);
        }
    }
    std::printf("serving tasks above their tail target: %.1f %% of their time, "
                "at most %.1f s on end by fill tasks\n",
                100.0 * r.over_target_share(),
                std::chrono::duration<double>(r.longest_harm).count());
    std::printf("per second: %.0f starts, %.0f polls, %.0f stops, "
                "%.0f pace changes\n",
                rate(r.starts), rate(r.polls), rate(r.stops),
                rate(r.pace_changes));
    std::printf("capacity: %zu changes, %zu starts over it\n",
                r.capacity_changes, r.starts_over_capacity);
    const double total_s = r.decision_s + r.report_s;
    std::printf("processor: decisions %.3f of a core, reports %.3f; "
                "%.0f us per start\n",
                r.decision_s / seconds, r.report_s / seconds,
                1e6 * total_s / static_cast<double>(r.starts + 1));
}

} // namespace

int main(int argc, char** argv)
{
    const auto argument = [&](int i, double fallback) {
        return argc > i ? std::atof(argv[i]) : fallback;
    };
    const std::string policy = argc > 5 ? argv[5] : "present";
    const auto found = policies.find(policy);
    if (found == policies.end())
    {
        std::fprintf(stderr, "unknown policy \"%s\"; known are:\n",
                     policy.c_str());
        for (const auto& [name, change] : policies)
        {
            std::fprintf(stderr, "  %s\n", name.c_str());
        }
        return 2;
    }
    simulation_options options;
    options.workers = static_cast<std::size_t>(argument(1, 490));
    options.jobs_per_second = argument(2, 36);
    options.seed = static_cast<std::uint32_t>(argument(4, 1));
    found->second(options);
    const double seconds = argument(3, 30);
    load_simulation simulation(options);
    simulation.simulate(std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds)));
    print(policy, simulation.result(), seconds);
}
