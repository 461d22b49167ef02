// Plays a load on an emulated fleet under one leader, without faults or a
// network, and counts what callers get.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "emulation/emulated_worker.hpp"
#include "emulation/event_queue.hpp"
#include "jobs/jobs.hpp"

namespace hemlockdeal::emulation
{

enum class job_kind
{
    urgent,
    fill,
    long_running
};
constexpr std::size_t kind_count = 3;

struct simulation_options
{
    std::size_t workers = 490;
    double jobs_per_second = 36.0;
    std::uint32_t seed = 1;
    jobs::scheduler_options scheduler;
    // The leader knows the true pressures from the start.
    bool knows_pressures = false;
    // The capacity of each worker shrinks and grows back.
    bool changes_capacity = false;
    bool enforces_capacity = true;
    // False if the leader never hears of changed capacities, to show that the
    // check of starts detects it.
    bool leader_learns_capacity = true;
};

// Jobs of one kind whose target has passed.
struct kind_result
{
    std::size_t due = 0;
    std::size_t in_time = 0;
};

struct simulation_result
{
    std::array<kind_result, kind_count> kinds;
    std::size_t within_target_samples = 0;
    std::size_t over_target_samples = 0;
    // Longest time without a break for which fill tasks kept a serving task
    // above its target.
    duration longest_harm{};
    std::size_t starts = 0;
    std::size_t polls = 0;
    std::size_t pace_changes = 0;
    std::size_t stops = 0;
    std::size_t capacity_changes = 0;
    // Starts that brought a worker over the capacity that it had published.
    std::size_t starts_over_capacity = 0;
    // Processor time of the leader.
    double decision_s = 0.0;
    double report_s = 0.0;

    const kind_result& of(job_kind kind) const
    {
        return kinds[static_cast<std::size_t>(kind)];
    }
    double over_target_share() const;
};

class load_simulation
{
public:
    explicit load_simulation(const simulation_options& options);

    void simulate(duration length);
    simulation_result result() const;

private:
    // Calls the function and adds its duration to `sum`.
    template <typename Call>
    auto timed(double& sum, Call&& call)
    {
        const auto begin = std::chrono::steady_clock::now();
        struct elapsed_adder
        {
            double& sum;
            std::chrono::steady_clock::time_point begin;
            ~elapsed_adder()
            {
                sum += std::chrono::duration<double>(
                           std::chrono::steady_clock::now() - begin)
                           .count();
            }
        } timer{sum, begin};
        return call();
    }

    struct simulated_job
    {
        jobs::job definition;
        job_kind kind = job_kind::urgent;
        time_point submitted_at{};
        duration objective{};
        bool is_over = false;
        bool is_in_time = false;
    };

    void add_worker(std::size_t number);
    // The pressures of all pairs of images, as an earlier leader would have
    // stored them.
    std::string encode_true_pressures() const;
    // Does not depend on the order of starts, so that all policies play the
    // same load.
    double work_of(const task_key& key, const jobs::step& task_step) const;
    jobs::step make_step(job_kind kind, std::uint32_t number);
    void add_job(job_kind kind);
    void submit_jobs();
    void advance();
    void flush();
    void record_tails();
    void record_harm(const task_key& key, bool is_harmed);
    void record_ended_jobs();
    void change_capacities();
    void publish_capacity(emulated_worker& worker);
    void check_capacity(const emulated_worker& worker);
    void execute(const jobs::start_order& order);
    void execute(const jobs::stop_order& order);
    void execute(const jobs::pace_order& order);
    void execute(const jobs::poll_order& order);
    void execute(const jobs::advice_request&) {}
    void respond_poll(const jobs::poll_order& order, time_point sent_at,
                      time_point until);
    void schedule(duration delay, std::function<void()> call)
    {
        events_.add(now_ + delay, std::move(call));
    }
    double draw(double mean, double spread)
    {
        std::normal_distribution<double> normal(1.0, spread);
        return mean * std::clamp(normal(random_), 0.3, 3.0);
    }

    std::mt19937 random_;
    simulation_options options_;
    double rate_;
    time_point now_{std::chrono::seconds(100)};
    event_queue events_;
    pressure_table pressures_;
    load_wave wave_;
    capacity_wave capacity_wave_;
    jobs::scheduler leader_;
    std::map<worker_id, emulated_worker> workers_;
    std::map<job_id, simulated_job> jobs_;
    bool is_flushing_ = false;
    std::map<task_key, time_point> harmed_since_;
    simulation_result result_;
};

} // namespace hemlockdeal::emulation
