// Learns how much fill tasks slow serving tasks down, per pair of images, from
// the tail latencies that workers report.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/fleet_worker.hpp"
#include "jobs/job.hpp"
#include "jobs/load_forecast.hpp"
#include "jobs/low_tail.hpp"
#include "jobs/policy_switches.hpp"
#include "jobs/pressure_fit.hpp"

namespace hemlockdeal::jobs
{

// Models a serving task as a queue: its tail latency is base / (1 - u). The
// utilisation u is the task's own load times the slowdown that the other tasks
// on the worker cause. The slowdown is 1 plus, for each fill image, pressure x
// share of the worker's processors that the image uses. The load changes within
// seconds and is the same for all tasks of a job; comparing tasks with
// different fill tasks beside them separates load from pressure.
class interference_model
{
public:
    void set_policy(const policy_switches& policy) { policy_ = policy; }

    // Fraction of the utilisation limit that is planned for. Above 1 because
    // the base tail, and with it the load, is estimated too high.
    static constexpr double planned_fraction = 1.06;

    // Learns from the measurements of one report.
    void learn(const fleet_worker& worker, time_point now);

    // Slowdown of tasks with the serving image per full worker's worth of
    // processors that the fill image uses.
    double pressure(image_hash fill_image, image_hash serving_image) const;

    // Mean pressure of all fill images on the serving image.
    double mean_pressure(image_hash serving_image) const;

    // The serving tasks on a worker, by job and image, with the present effect
    // of its fill tasks on them. The result is cached for a short time.
    const std::vector<serving_pressure>&
    serving_pressures(const fleet_worker& worker, time_point now) const;

    // Stored form of at most `max_bytes`, and its restoration by a new leader.
    std::string encode(std::size_t max_bytes = default_row_limit) const;
    void restore(std::string_view text);

    // Utilisation at which the tail latency reaches the target.
    double utilisation_limit(const run_record& serving) const;

private:
    const pressure_fit& fit_of(image_hash serving_image) const;
    // Omits pressures below the floor.
    std::string encode_above(double floor) const;
    serving_pressure serving_pressure_of(const fleet_worker& worker,
                                         const job_id& job,
                                         const run_record& serving,
                                         time_point now) const;
    double base_tail(const run_record& serving) const;
    double slowdown(const fleet_worker& worker,
                    const run_record& serving) const;
    void learn_from_run(const fleet_worker& worker, const job_id& job,
                        const run_record& serving, time_point now);

    // By serving image.
    std::map<image_hash, pressure_fit> fits_;
    std::map<image_hash, low_tail> low_tails_;
    load_forecast loads_;
    policy_switches policy_;
    time_point solved_at_{};
};

} // namespace hemlockdeal::jobs
