// Experiment with tasks that crash their workers: plays one kind of load and
// faults for several seeds and prints what the crash ledger recorded. Usage:
// crash_load [kind] [seeds] [first seed] [option=value ...]; times in ms.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "emulation/crash_kinds.hpp"
#include "emulation/crash_simulation.hpp"

namespace
{

using namespace hemlockdeal;
using emulation::crash_options;
using emulation::crash_result;

duration to_duration(double milliseconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

std::size_t to_count(double value)
{
    return static_cast<std::size_t>(value);
}

const std::map<std::string, std::function<void(crash_options&, double)>>
    option_setters = {
        {"vms", [](auto& o, double v) { o.vms = to_count(v); }},
        {"jobs_per_second", [](auto& o, double v) { o.jobs_per_second = v; }},
        {"lasting_share", [](auto& o, double v) { o.lasting_share = v; }},
        {"faulty_time",
         [](auto& o, double v) { o.faulty_time = to_duration(v); }},
        {"calm_time", [](auto& o, double v) { o.calm_time = to_duration(v); }},
        {"crashing_jobs",
         [](auto& o, double v) { o.crashing_jobs = to_count(v); }},
        {"crash_delay",
         [](auto& o, double v) { o.crash_delay = to_duration(v); }},
        {"worker_crashes",
         [](auto& o, double v) { o.worker_crashes = to_count(v); }},
        {"rack_losses", [](auto& o, double v) { o.rack_losses = to_count(v); }},
        {"zone_losses", [](auto& o, double v) { o.zone_losses = to_count(v); }},
        {"partitions", [](auto& o, double v) { o.partitions = to_count(v); }},
        {"planned_leaves",
         [](auto& o, double v) { o.planned_leaves = to_count(v); }},
        {"leader_kills",
         [](auto& o, double v) { o.leader_kills = to_count(v); }},
        {"leader_kills_after_order",
         [](auto& o, double v) { o.leader_kills_after_order = to_count(v); }},
        {"trace",
         [](auto& o, double) {
             o.trace = [](time_point at, const std::string& line) {
                 std::printf("%.3f %s\n", seconds(at.time_since_epoch()),
                             line.c_str());
             };
         }},
        {"silent_share", [](auto& o, double v) { o.silent_share = v; }},
        {"same_id_share", [](auto& o, double v) { o.same_id_share = v; }}};

void print(std::uint32_t seed, const crash_result& r)
{
    std::printf(
        "seed %u: starts %zu (at most %zu of a task, %zu after its third "
        "crash), crashes %zu, other losses %zu, takeovers %zu\n",
        seed, r.crashing_starts, r.max_starts, r.max_later_starts,
        r.crashes_by_tasks, r.other_losses, r.takeovers);
    std::printf(
        "  given up: %zu of %zu rightly, %zu wrongly; at most %.1f s after the "
        "first start, %.1f s after the second crash\n",
        r.given_up_rightly, r.crashing_jobs, r.given_up_wrongly,
        seconds(r.longest_until_given_up),
        seconds(r.longest_since_second_crash));
    std::printf("  sound jobs: %zu of %zu completed; lasting runs lost %zu, "
                "away %.1f s on average, at most %.1f s (%.1f s with room)\n",
                r.sound_jobs_completed, r.sound_jobs, r.lasting_losses,
                r.lasting_losses == 0
                    ? 0.0
                    : seconds(r.total_away) /
                          static_cast<double>(r.lasting_losses),
                seconds(r.longest_away), seconds(r.longest_away_with_room));
    for (const auto& violation : r.violations)
    {
        std::printf("  VIOLATION %.2f s, %s: %s\n",
                    seconds(violation.at.time_since_epoch()),
                    std::string(to_text(violation.check)).c_str(),
                    violation.text.c_str());
    }
}

bool apply(crash_options& options, const std::string& argument)
{
    const auto equals = argument.find('=');
    const auto setter = option_setters.find(argument.substr(0, equals));
    if (equals == std::string::npos || setter == option_setters.end())
    {
        std::fprintf(stderr, "unknown option \"%s\"\n", argument.c_str());
        return false;
    }
    setter->second(options, std::atof(argument.c_str() + equals + 1));
    return true;
}

int explain()
{
    std::fprintf(stderr, "usage: crash_load KIND [SEEDS] [FIRST] "
                         "[OPTION=VALUE ...]\nkinds:");
    for (const auto& kind : emulation::crash_kinds())
    {
        std::fprintf(stderr, " %s", kind.name.c_str());
    }
    std::fprintf(stderr, "\noptions:");
    for (const auto& [name, setter] : option_setters)
    {
        std::fprintf(stderr, " %s", name.c_str());
    }
    std::fprintf(stderr, "\n");
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    const auto& kinds = emulation::crash_kinds();
    const auto kind =
        std::ranges::find(kinds, name, &emulation::crash_kind::name);
    if (kind == kinds.end())
    {
        return explain();
    }
    auto options = kind->options;
    const auto first_option = 4;
    for (int i = first_option; i < argc; ++i)
    {
        if (!apply(options, argv[i]))
        {
            return explain();
        }
    }
    const auto number = [&](int i) {
        return argc > i ? static_cast<std::uint32_t>(std::atoi(argv[i])) : 1;
    };
    std::size_t violations = 0;
    for (std::uint32_t i = 0; i < number(2); ++i)
    {
        options.seed = number(3) + i;
        const auto result = emulation::crash_simulation(options).simulate();
        print(options.seed, result);
        violations += result.violations.size();
    }
    std::printf("violations: %zu\n", violations);
    return violations == 0 ? 0 : 1;
}
