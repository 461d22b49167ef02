// Learns how much tasks that fill slow serving tasks down, by pairs of
// images, from the tails that workers report.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jobs/fleet_worker.hpp"
#include "jobs/job.hpp"
#include "jobs/low_tail.hpp"
#include "jobs/pressure_fit.hpp"

namespace hemlockdeal::jobs
{

// A serving task is taken for a queue: its tail is base / (1 - u), where the
// utilisation u is its own load times the slowdown by its neighbours, and the
// slowdown is 1 plus, for each fill image, pressure x share of the worker's
// processors that it uses. The load moves within seconds and is the same for
// all tasks of a job, so that tasks with other neighbours tell load from
// pressure.
class interference_model
{
public:
    // Part of the utilisation limit that is planned for. Above 1 because the
    // base tail, and with it the load, is estimated high.
    static constexpr double planned_part = 1.06;

    // Learns from the figures of one report.
    void learn(const fleet_worker& worker, time_point now);

    // Slowdown of tasks with this image for each whole worker's worth of
    // processors that the fill image uses.
    double pressure(image_number fill_image, image_number serving_image) const;

    // The serving images on a worker with what presses them now.
    const std::vector<pressed_image>& pressed_images(const fleet_worker& worker,
                                                     time_point now) const;

    // Load of a job's serving tasks a moment from now, and on average.
    double expected_load(const job_id& job, time_point now) const;
    // Text for the store, and taking it over from an earlier leader.
    // The stored form, of at most `max_bytes`.
    std::string encode(std::size_t max_bytes = default_row_limit) const;
    void restore(std::string_view text);

    // The highest load that is likely while a fill task runs that starts now.
    double load_soon(const job_id& job, time_point now) const;
    double mean_load(const job_id& job) const;

    // Utilisation at which the tail reaches the target.
    double utilisation_limit(const run_record& serving) const;

private:
    // Without pressures below the floor.
    std::string encode_above(double floor) const;
    void add_pressed(const fleet_worker& worker, const task_key& key,
                     const run_record& serving, time_point now,
                     std::vector<pressed_image>& images) const;
    struct load_estimate
    {
        time_point at{};
        double load = 0.0;
    };

    struct job_load
    {
        // Of the last seconds, oldest first.
        std::deque<load_estimate> recent;
        double mean = 0.0;
        // Medians of the last two windows; zero where nothing was seen.
        mutable double level = 0.0;
        mutable double earlier_level = 0.0;
        mutable time_point levels_at{};
    };

    double base_tail(const run_record& serving) const;
    double slowdown(const fleet_worker& worker,
                    const run_record& serving) const;
    void learn_from(const fleet_worker& worker, const job_id& job,
                    const run_record& serving, time_point now);
    void observe_load(const job_id& job, double load, time_point now);
    double slope_per_s(const job_id& job, time_point now) const;
    double load_level(const job_id& job, time_point now) const;
    // The job's load with fresh medians, or null for an unknown job.
    const job_load* levels_of(const job_id& job, time_point now) const;
    static double median_between(const job_load& known, time_point from,
                                 time_point to);

    // By serving image.
    std::map<image_number, pressure_fit> fits_;
    std::map<image_number, low_tail> low_tails_;
    std::map<job_id, job_load> loads_;
    time_point solved_at_{};
};

} // namespace hemlockdeal::jobs
