// Switches for measuring what each scheduling policy is worth.
#pragma once

namespace hemlockdeal::jobs
{

// All policies are on in production; tests, benchmarks and measurements switch
// one off at a time.
struct policy_switches
{
    // Fill tasks by the shortest remaining path, otherwise by latest start.
    bool orders_fills_by_path = true;
    // Otherwise every pair of images has the pressure of an unknown pair.
    bool uses_learnt_pressures = true;
    // Otherwise the present load counts.
    bool forecasts_load = true;
    bool avoids_added_harm = true;
    bool spares_versatile_workers = true;
    bool packs_serving_images = true;
    bool weighs_slowness = true;
    bool suspends_fills = true;
    bool pauses_beside_over_target = true;
    bool moves_suspended_fills = true;
    bool avoids_failing_workers = true;
    // Otherwise a task searches for a worker again once its announcement is
    // stored.
    bool keeps_reservations = true;
};

} // namespace hemlockdeal::jobs
