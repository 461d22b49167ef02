// Workload, event loop and counts of the load simulation.
#include "emulation/load_simulation.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>

#include <boost/json.hpp>

namespace hemlockdeal::emulation
{

namespace
{

using std::chrono::milliseconds;

constexpr duration step_time = milliseconds(5);
constexpr duration round_trip_time = milliseconds(6);
constexpr duration store_time = milliseconds(12);
// Time from a change of a worker's capacity until its entry shows it.
constexpr duration publish_time = milliseconds(250);
// A start that was ordered before the entry changed has arrived after this.
constexpr duration start_travel_time = round_trip_time + 2 * step_time;
constexpr std::size_t workers_per_rack = 8;

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

constexpr milliseconds tail_target{45};

std::string image_name(const kind_profile& profile, int number)
{
    return std::string(profile.name) + std::to_string(number);
}

} // namespace

load_simulation::load_simulation(const simulation_options& options)
    : random_(options.seed), options_(options), rate_(options.jobs_per_second),
      pressures_(options.seed, 0.6, 5.0), leader_(options.scheduler, 1)
{
    for (std::size_t i = 0; i < options.workers; ++i)
    {
        add_worker(i);
    }
    if (options.knows_pressures)
    {
        leader_.recover_interference(encode_true_pressures());
    }
    leader_.begin(now_);
    // Long-running tasks reserve most processors from the start.
    for (std::size_t i = 0; i < options.workers / 3; ++i)
    {
        add_job(job_kind::long_running);
    }
}

void load_simulation::simulate(duration length)
{
    const auto end = now_ + length;
    while (now_ < end)
    {
        advance();
    }
}

std::string load_simulation::encode_true_pressures() const
{
    const auto& serving =
        job_profiles[static_cast<std::size_t>(job_kind::long_running)];
    const auto& fill = job_profiles[static_cast<std::size_t>(job_kind::fill)];
    const auto key_of = [](const std::string& image) {
        return std::to_string(
            static_cast<std::uint64_t>(jobs::to_image_hash(image)));
    };
    boost::json::object out;
    for (int s = 0; s < serving.images; ++s)
    {
        boost::json::object row;
        for (int f = 0; f < fill.images; ++f)
        {
            row[key_of(image_name(fill, f))] =
                pressures_.between(image_name(fill, f), image_name(serving, s));
        }
        out[key_of(image_name(serving, s))] =
            boost::json::object{{"t", 0.0}, {"p", std::move(row)}};
    }
    return boost::json::serialize(out);
}

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
    w.enforces_capacity = options_.enforces_capacity;
    w.full_capacity = w.entry.capacity;
    w.published_capacity = w.entry.capacity;
    leader_.set_worker(w.entry, now_);
    workers_.emplace(w.entry.id, w);
}

jobs::step load_simulation::make_step(job_kind kind, std::uint32_t number)
{
    const auto& profile = job_profiles[static_cast<std::size_t>(kind)];
    jobs::step step;
    step.task_count =
        static_cast<std::uint32_t>(std::max(1.0, draw(profile.width, 0.6)));
    step.size = {
        static_cast<std::int64_t>(draw(profile.processors, 0.3) * 1000),
        static_cast<std::int64_t>(draw(profile.processors * 2000, 0.3)), 0};
    step.estimate = milliseconds(
        static_cast<std::int64_t>(draw(profile.work_s * 1000, 0.4)));
    step.image = image_name(
        profile,
        static_cast<int>(random_() % static_cast<unsigned>(profile.images)));
    step.fills = kind == job_kind::fill;
    step.saves_progress = step.fills;
    step.is_long_running = kind == job_kind::long_running;
    step.tail_target = step.is_long_running ? tail_target : milliseconds(0);
    if (number > 0)
    {
        step.after = {number - 1};
    }
    return step;
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
        auto step = make_step(kind, s);
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
    change_capacities();
    for (auto& [id, w] : workers_)
    {
        w.advance(now_, step_time, wave_, pressures_);
    }
    events_.call_due(now_);
    const auto unix_now =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    const auto orders = timed(
        result_.decision_s, [&] { return leader_.decide(now_, unix_now, {}); });
    for (const auto& order : orders)
    {
        std::visit([this](const auto& o) { execute(o); }, order);
    }
    leader_.take_events();
    flush();
    record_tails();
    record_ended_jobs();
}

void load_simulation::change_capacities()
{
    if (!options_.changes_capacity)
    {
        return;
    }
    for (auto& [id, w] : workers_)
    {
        const auto capacity = capacity_wave_.at(now_, id, w.full_capacity);
        if (capacity == w.entry.capacity)
        {
            continue;
        }
        ++result_.capacity_changes;
        w.entry.capacity = capacity;
        schedule(publish_time,
                 [this, id = id] { publish_capacity(workers_.at(id)); });
    }
}

void load_simulation::publish_capacity(emulated_worker& worker)
{
    worker.published_capacity = worker.entry.capacity;
    worker.published_at = now_;
    if (options_.leader_learns_capacity)
    {
        leader_.set_worker(worker.entry, now_);
    }
}

void load_simulation::check_capacity(const emulated_worker& worker)
{
    if (now_ - worker.published_at >= start_travel_time &&
        is_over(worker.used(), worker.published_capacity))
    {
        ++result_.starts_over_capacity;
    }
}

void load_simulation::flush()
{
    if (is_flushing_ ||
        !timed(result_.decision_s, [&] { return leader_.has_changes(); }))
    {
        return;
    }
    is_flushing_ = true;
    timed(result_.decision_s, [&] { leader_.take_changes(); });
    schedule(store_time, [this] {
        is_flushing_ = false;
        leader_.on_changes_stored(now_);
    });
}

void load_simulation::record_tails()
{
    for (const auto& [id, w] : workers_)
    {
        const bool has_active_fill =
            std::ranges::any_of(w.running(), [](const auto& entry) {
                const auto& run = entry.second;
                return run.task_step->fills && run.pace > 0;
            });
        for (const auto& [key, run] : w.running())
        {
            if (run.task_step->tail_target <= duration{})
            {
                continue;
            }
            const double target = std::chrono::duration<double, std::milli>(
                                      run.task_step->tail_target)
                                      .count();
            const bool is_over = run.tail_ms > target;
            ++(is_over ? result_.over_target_samples
                       : result_.within_target_samples);
            const double own_tail =
                emulated_worker::tail_ms_at(target, wave_.at(now_, key.job));
            record_harm(key, is_over && has_active_fill && own_tail <= target);
        }
    }
}

void load_simulation::record_harm(const task_key& key, bool is_harmed)
{
    if (!is_harmed)
    {
        harmed_since_.erase(key);
        return;
    }
    const auto since = harmed_since_.try_emplace(key, now_).first->second;
    result_.longest_harm = std::max(result_.longest_harm, now_ - since);
}

void load_simulation::record_ended_jobs()
{
    for (const auto& [id, state] : leader_.registry().over())
    {
        auto& j = jobs_.at(id);
        if (!j.is_over)
        {
            j.is_over = true;
            j.is_in_time = now_ - j.submitted_at <= j.objective;
        }
    }
}

double simulation_result::over_target_share() const
{
    const auto samples = over_target_samples + within_target_samples;
    return samples == 0 ? 0.0
                        : static_cast<double>(over_target_samples) /
                              static_cast<double>(samples);
}

simulation_result load_simulation::result() const
{
    auto out = result_;
    for (const auto& [id, j] : jobs_)
    {
        auto& kind = out.kinds[static_cast<std::size_t>(j.kind)];
        const bool is_due = j.submitted_at + j.objective < now_;
        kind.due += is_due ? 1 : 0;
        kind.in_time += is_due && j.is_in_time ? 1 : 0;
    }
    return out;
}

double load_simulation::work_of(const task_key& key,
                                const jobs::step& task_step) const
{
    std::mt19937 random(
        static_cast<std::uint32_t>(stable_hash(jobs::to_text(key))));
    std::normal_distribution<double> spread(1.0, 0.2);
    constexpr double min_share = 0.3;
    constexpr double max_share = 1.1;
    return std::chrono::duration<double>(task_step.estimate).count() *
           std::clamp(spread(random), min_share, max_share);
}

void load_simulation::execute(const jobs::start_order& order)
{
    ++result_.starts;
    schedule(round_trip_time / 2, [this, order] {
        const auto& task_step =
            jobs_.at(order.task.job).definition.steps[order.task.step];
        auto& w = workers_.at(order.worker);
        const auto response =
            w.start(order, task_step, work_of(order.task, task_step));
        if (response == jobs::start_answer::accepted)
        {
            check_capacity(w);
        }
        schedule(round_trip_time / 2, [this, order, response] {
            timed(result_.report_s, [&] {
                leader_.on_start_answer(order.worker, order.task, order.run,
                                        response, now_);
            });
        });
    });
}

void load_simulation::execute(const jobs::stop_order& order)
{
    ++result_.stops;
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
    ++result_.pace_changes;
    schedule(round_trip_time / 2,
             [this, order] { workers_.at(order.worker).pace(order); });
}

void load_simulation::execute(const jobs::poll_order& order)
{
    ++result_.polls;
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
        timed(result_.report_s,
              [&] { leader_.on_report(order.worker, report, sent_at, now_); });
    });
}

} // namespace hemlockdeal::emulation
