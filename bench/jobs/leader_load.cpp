// Load benchmark of the scheduler: simulates an emulated fleet under one
// leader, without faults or a network, and prints the results for clients and
// the processor time of the leader's decisions.
// Usage: leader_load [workers] [jobs a second] [seconds] [seed]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "emulated_worker.hpp"

namespace
{

using namespace hemlockdeal;
using bench::emulated_worker;
using std::chrono::milliseconds;

constexpr duration step_time = milliseconds(5);
constexpr duration round_trip_time = milliseconds(6);
constexpr duration store_time = milliseconds(12);
constexpr std::size_t workers_per_rack = 8;

enum class job_kind
{
    urgent,
    fill,
    long_running
};
constexpr std::size_t kind_count = 3;

struct kind_profile
{
    const char* name;
    double share;
    double work_s;
    double width;
    double processors;
    double stretch;
    duration slack;
    int images;
};

// Modelled on users' workloads: short urgent jobs, fill jobs of several steps,
// and a few long-running jobs.
constexpr kind_profile job_profiles[kind_count] = {
    {"urgent", 0.38, 0.8, 9.5, 5.4, 1.5, milliseconds(400), 1},
    {"fill", 0.60, 2.2, 20.0, 3.5, 2.0, milliseconds(1000), 18},
    {"lasting", 0.02, 0.4, 14.0, 6.4, 2.2, milliseconds(2500), 10}};

struct simulated_job
{
    jobs::job definition;
    job_kind kind = job_kind::urgent;
    time_point submitted_at{};
    duration objective{};
    bool is_over = false;
};

class load_simulation
{
public:
    load_simulation(std::size_t workers, double jobs_a_second,
                    std::uint32_t seed)
        : random_(seed), rate_(jobs_a_second), leader_({}, 1),
          pressures_(seed, 0.6, 5.0)
    {
        for (std::size_t i = 0; i < workers; ++i)
        {
            add_worker(i);
        }
        leader_.begin(now_);
        // Long-running tasks reserve most processors from the start.
        const auto first_jobs = workers / 3;
        for (std::size_t i = 0; i < first_jobs; ++i)
        {
            add_job(job_kind::long_running);
        }
    }

    void simulate(duration length)
    {
        const auto end = now_ + length;
        while (now_ < end)
        {
            advance();
        }
    }

    void print() const;

private:
    struct event
    {
        time_point at{};
        std::uint64_t order = 0;
        std::function<void()> call;
        bool operator<(const event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

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

    void add_worker(std::size_t number);
    void add_job(job_kind kind);
    void submit_jobs();
    void advance();
    void flush();
    void record_results();
    void execute(const jobs::start_order& order);
    void execute(const jobs::stop_order& order);
    void execute(const jobs::pace_order& order);
    void execute(const jobs::poll_order& order);
    void execute(const jobs::advice_request&) {}
    void respond_poll(const jobs::poll_order& order, time_point sent_at,
                      time_point until);
    void schedule(duration delay, std::function<void()> call)
    {
        events_.push({now_ + delay, ++event_count_, std::move(call)});
    }
    double draw(double mean, double spread)
    {
        std::normal_distribution<double> normal(1.0, spread);
        return mean * std::clamp(normal(random_), 0.3, 3.0);
    }

    std::mt19937 random_;
    double rate_;
    time_point now_{std::chrono::seconds(100)};
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    jobs::scheduler leader_;
    bench::pressure_table pressures_;
    bench::load_wave wave_;
    std::map<worker_id, emulated_worker> workers_;
    std::map<job_id, simulated_job> jobs_;
    bool is_flushing_ = false;

    double decide_s_ = 0.0;
    double report_s_ = 0.0;
    std::size_t starts_ = 0;
    std::size_t polls_ = 0;
    std::size_t pace_changes_ = 0;
    std::size_t stops_ = 0;
    std::size_t within_target_samples_ = 0;
    std::size_t over_target_samples_ = 0;
    std::size_t ended_[kind_count] = {};
    std::size_t in_time_[kind_count] = {};
    std::size_t abandoned_[kind_count] = {};
};

void load_simulation::add_worker(std::size_t number)
{
    emulated_worker w;
    w.entry.id =
        worker_id("i-" + std::to_string(stable_hash(std::to_string(number))));
    w.entry.service = service_id("s");
    w.entry.zone = availability_zone_id("z" + std::to_string(number % 3));
    w.entry.capacity = {number % 3 == 2 ? 48000 : 32000, 128000, 0};
    w.entry.labels = {"a", "rack-" + std::to_string(number / workers_per_rack)};
    w.entry.incarnation = 1;
    leader_.set_worker(w.entry, now_);
    workers_.emplace(w.entry.id, w);
}

void load_simulation::add_job(job_kind kind)
{
    const auto& profile = job_profiles[static_cast<std::size_t>(kind)];
    simulated_job made;
    made.kind = kind;
    made.submitted_at = now_;
    auto& j = made.definition;
    char id[17];
    std::snprintf(id, sizeof id, "%016zx",
                  stable_hash("job" + std::to_string(jobs_.size())));
    j.id = job_id(id);
    j.accepted_at =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    j.policy.queue = profile.name;
    j.policy.service = service_id("s");
    j.policy.max_attempts = 3;
    j.policy.stretch = profile.stretch;
    j.policy.slack = profile.slack;
    j.policy.priority = kind == job_kind::fill ? 2 : 0;
    const auto steps = kind == job_kind::long_running ? 1 : 1 + random_() % 3;
    duration critical_path{};
    for (std::uint32_t s = 0; s < steps; ++s)
    {
        jobs::step step;
        step.task_count =
            static_cast<std::uint32_t>(std::max(1.0, draw(profile.width, 0.6)));
        step.size = {
            static_cast<std::int64_t>(draw(profile.processors, 0.3) * 1000),
            static_cast<std::int64_t>(draw(profile.processors * 2000, 0.3)), 0};
        step.estimate = milliseconds(
            static_cast<std::int64_t>(draw(profile.work_s * 1000, 0.4)));
        step.image =
            std::string(profile.name) +
            std::to_string(random_() % static_cast<unsigned>(profile.images));
        step.fills = kind == job_kind::fill;
        step.saves_progress = step.fills;
        step.is_long_running = kind == job_kind::long_running;
        step.tail_target =
            step.is_long_running ? milliseconds(45) : milliseconds(0);
        if (s > 0)
        {
            step.after = {s - 1};
        }
        critical_path += step.estimate;
        j.steps.push_back(step);
    }
    made.objective =
        std::chrono::duration_cast<duration>(critical_path * profile.stretch) +
        profile.slack;
    leader_.add_job(j);
    jobs_.emplace(j.id, std::move(made));
}

void load_simulation::submit_jobs()
{
    const double per_step =
        rate_ * std::chrono::duration<double>(step_time).count();
    std::poisson_distribution<int> count(per_step);
    for (int left = count(random_); left > 0; --left)
    {
        const double sample =
            std::uniform_real_distribution<double>(0.0, 1.0)(random_);
        add_job(sample < job_profiles[0].share ? job_kind::urgent
                : sample < job_profiles[0].share + job_profiles[1].share
                    ? job_kind::fill
                    : job_kind::long_running);
    }
}

void load_simulation::advance()
{
    now_ += step_time;
    submit_jobs();
    for (auto& [id, w] : workers_)
    {
        w.advance(now_, step_time, wave_, pressures_);
    }
    while (!events_.empty() && events_.top().at <= now_)
    {
        const auto call = events_.top().call;
        events_.pop();
        call();
    }
    const auto unix_now =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    const auto orders =
        timed(decide_s_, [&] { return leader_.decide(now_, unix_now, {}); });
    for (const auto& order : orders)
    {
        std::visit([this](const auto& o) { execute(o); }, order);
    }
    leader_.take_events();
    flush();
    record_results();
}

void load_simulation::flush()
{
    if (is_flushing_ ||
        !timed(decide_s_, [&] { return leader_.has_changes(); }))
    {
        return;
    }
    is_flushing_ = true;
    timed(decide_s_, [&] { leader_.take_changes(); });
    schedule(store_time, [this] {
        is_flushing_ = false;
        leader_.on_changes_stored(now_);
    });
}

void load_simulation::record_results()
{
    for (const auto& [id, w] : workers_)
    {
        for (const auto& [key, run] : w.running())
        {
            if (run.task_step->tail_target > duration{})
            {
                const bool is_over =
                    run.tail_ms > std::chrono::duration<double, std::milli>(
                                      run.task_step->tail_target)
                                      .count();
                ++(is_over ? over_target_samples_ : within_target_samples_);
            }
        }
    }
    for (const auto& [id, state] : leader_.registry().over())
    {
        auto& j = jobs_.at(id);
        if (j.is_over)
        {
            continue;
        }
        j.is_over = true;
        const auto kind = static_cast<std::size_t>(j.kind);
        ++ended_[kind];
        in_time_[kind] += now_ - j.submitted_at <= j.objective ? 1 : 0;
    }
}

void load_simulation::execute(const jobs::start_order& order)
{
    ++starts_;
    schedule(round_trip_time / 2, [this, order] {
        const auto& task_step =
            jobs_.at(order.task.job).definition.steps[order.task.step];
        const double work = draw(
            std::chrono::duration<double>(task_step.estimate).count(), 0.2);
        const auto response =
            workers_.at(order.worker)
                .start(order, task_step,
                       std::min(work, std::chrono::duration<double>(
                                          task_step.estimate)
                                              .count() *
                                          1.1));
        schedule(round_trip_time / 2, [this, order, response] {
            timed(report_s_, [&] {
                leader_.on_start_answer(order.worker, order.task, order.run,
                                        response, now_);
            });
        });
    });
}

void load_simulation::execute(const jobs::stop_order& order)
{
    ++stops_;
    schedule(round_trip_time / 2, [this, order] {
        workers_.at(order.worker).stop(order);
        schedule(round_trip_time / 2, [this, order] {
            leader_.on_stop_confirmed(order.worker, order.task, order.run,
                                      now_);
        });
    });
}

void load_simulation::execute(const jobs::pace_order& order)
{
    ++pace_changes_;
    schedule(round_trip_time / 2,
             [this, order] { workers_.at(order.worker).pace(order); });
}

void load_simulation::execute(const jobs::poll_order& order)
{
    ++polls_;
    const auto sent_at = now_;
    schedule(round_trip_time / 2, [this, order, sent_at] {
        respond_poll(order, sent_at, now_ + order.wait);
    });
}

void load_simulation::respond_poll(const jobs::poll_order& order,
                                   time_point sent_at, time_point until)
{
    auto& w = workers_.at(order.worker);
    if (now_ < until && !w.has_ended())
    {
        schedule(step_time, [=, this] { respond_poll(order, sent_at, until); });
        return;
    }
    const auto report = w.poll(order, now_);
    schedule(round_trip_time / 2, [=, this] {
        timed(report_s_,
              [&] { leader_.on_report(order.worker, report, sent_at, now_); });
    });
}

void load_simulation::print() const
{
    const double seconds =
        std::chrono::duration<double>(now_.time_since_epoch()).count() - 100.0;
    for (std::size_t k = 0; k < kind_count; ++k)
    {
        std::size_t due = 0;
        for (const auto& [id, j] : jobs_)
        {
            due += static_cast<std::size_t>(j.kind) == k &&
                           j.submitted_at + 3 * j.objective < now_
                       ? 1
                       : 0;
        }
        std::printf("%-8s due %zu, ended %zu, in time %zu\n",
                    job_profiles[k].name, due, ended_[k], in_time_[k]);
    }
    std::printf(
        "serving tasks above their tail target: %.1f %% of their time\n",
        100.0 * static_cast<double>(over_target_samples_) /
            static_cast<double>(std::max<std::size_t>(
                1, over_target_samples_ + within_target_samples_)));
    std::printf("per second: %.0f starts, %.0f polls, %.0f stops, "
                "%.0f pace changes\n",
                static_cast<double>(starts_) / seconds,
                static_cast<double>(polls_) / seconds,
                static_cast<double>(stops_) / seconds,
                static_cast<double>(pace_changes_) / seconds);
    std::printf("processor: decisions %.3f of a core, reports %.3f; "
                "%.0f us per start\n",
                decide_s_ / seconds, report_s_ / seconds,
                1e6 * (decide_s_ + report_s_) /
                    static_cast<double>(std::max<std::size_t>(1, starts_)));
}

} // namespace

int main(int argc, char** argv)
{
    const auto argument = [&](int i, double fallback) {
        return argc > i ? std::atof(argv[i]) : fallback;
    };
    load_simulation simulation(static_cast<std::size_t>(argument(1, 490)),
                               argument(2, 36),
                               static_cast<std::uint32_t>(argument(4, 1)));
    simulation.simulate(std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(argument(3, 30))));
    simulation.print();
}
