// A small fleet under an overload, and the seeds and the time for which tests
// play it.
#pragma once

#include <chrono>
#include <cstdint>

#include "emulation/emulation.hpp"

namespace hemlockdeal::emulation::test
{

constexpr std::uint32_t seed_count = 3;
constexpr duration played = std::chrono::seconds(30);

// More fill work than the processors that serving tasks leave unused.
inline simulation_options overload(std::uint32_t seed)
{
    simulation_options options;
    options.workers = 48;
    options.jobs_per_second = 7.0;
    options.seed = seed;
    return options;
}

inline simulation_result play(const simulation_options& options)
{
    load_simulation simulation(options);
    simulation.simulate(played);
    return simulation.result();
}

} // namespace hemlockdeal::emulation::test
