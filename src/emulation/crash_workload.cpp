// Draws jobs modelled on users' workloads.
#include "emulation/crash_workload.hpp"

#include <algorithm>
#include <cstdio>
#include <iterator>

#include "core/core.hpp"
#include "emulation/emulated_worker.hpp"

namespace hemlockdeal::emulation
{

using jobs::task_key;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint32_t max_attempts = 3;
constexpr double urgent_share = 0.4;
constexpr double urgent_processors = 5.4;
constexpr double lasting_processors = 6.4;
constexpr double fill_processors = 3.5;
constexpr double gang_processors = 4.0;
constexpr milliseconds tail_target{45};

std::set<task_key> tasks_of_step(const jobs::job& definition,
                                 std::uint32_t number)
{
    std::set<task_key> out;
    for (std::uint32_t i = 0; i < definition.steps[number].task_count; ++i)
    {
        out.insert({definition.id, 0, number, i});
    }
    return out;
}

} // namespace

jobs::task_size vm_capacity(std::size_t number)
{
    return {number % 3 == 2 ? 48000 : 32000, 128000, 0};
}

crash_workload::crash_workload(const crash_options& options, time_point begin)
    : options_(options), begin_(begin), random_(options.seed)
{
    std::uniform_int_distribution<duration::rep> time(
        duration(std::chrono::seconds(2)).count(),
        (options.faulty_time * 2 / 3).count());
    std::generate_n(std::back_inserter(crashing_at_), options.crashing_jobs,
                    [&] { return begin_ + duration(time(random_)); });
    std::ranges::sort(crashing_at_);
}

std::vector<simulated_job> crash_workload::make_lasting_jobs()
{
    std::int64_t left = 0;
    for (std::size_t i = 0; i < options_.vms; ++i)
    {
        left += vm_capacity(i).processor_millis;
    }
    left = static_cast<std::int64_t>(static_cast<double>(left) *
                                     options_.lasting_share);
    std::vector<simulated_job> out;
    while (left > 0)
    {
        out.push_back(make_lasting(begin_));
        const auto& step = out.back().definition.steps.front();
        left -= step.size.processor_millis * step.task_count;
    }
    return out;
}

std::vector<simulated_job> crash_workload::make_jobs(time_point now,
                                                     duration step)
{
    std::vector<simulated_job> out;
    if (now - begin_ > options_.faulty_time)
    {
        return out;
    }
    while (!crashing_at_.empty() && crashing_at_.front() <= now)
    {
        crashing_at_.erase(crashing_at_.begin());
        out.push_back(make_crashing(now));
    }
    std::poisson_distribution<int> count(
        options_.jobs_per_second * std::chrono::duration<double>(step).count());
    for (int left = count(random_); left > 0; --left)
    {
        const double sample =
            std::uniform_real_distribution<double>(0.0, 1.0)(random_);
        out.push_back(sample < urgent_share ? make_urgent(now)
                                            : make_fill(now));
    }
    return out;
}

duration crash_workload::work_of(const task_key& key,
                                 const jobs::step& task_step)
{
    // The members of a gang end together.
    auto drawn_key = key;
    drawn_key.index = task_step.is_gang ? 0 : key.index;
    std::mt19937 random(
        static_cast<std::uint32_t>(stable_hash(jobs::to_text(drawn_key))));
    std::normal_distribution<double> spread(1.0, 0.2);
    return std::chrono::duration_cast<duration>(
        task_step.estimate * std::clamp(spread(random), 0.3, 1.1));
}

jobs::job crash_workload::make_job(const std::string& queue, int priority,
                                   time_point now)
{
    jobs::job made;
    char id[17];
    std::snprintf(id, sizeof id, "%016zx",
                  static_cast<std::size_t>(
                      stable_hash("job" + std::to_string(job_count_++) + '/' +
                                  std::to_string(options_.seed))));
    made.id = job_id(id);
    made.accepted_at =
        std::chrono::duration_cast<milliseconds>(now.time_since_epoch());
    made.policy.queue = queue;
    made.policy.service = service_id("s");
    made.policy.max_attempts = max_attempts;
    made.policy.stretch = 2.0;
    made.policy.slack = milliseconds(1000);
    made.policy.priority = priority;
    return made;
}

jobs::step crash_workload::make_step(const std::string& name, double width)
{
    constexpr std::uint32_t images = 8;
    jobs::step made;
    made.task_count =
        static_cast<std::uint32_t>(std::max(1.0, draw(width, 0.6)));
    made.image = name + std::to_string(draw_below(images));
    return made;
}

jobs::step crash_workload::make_urgent_step()
{
    auto made = make_step("urgent", 7.0);
    made.size = {static_cast<std::int64_t>(1000 * draw(urgent_processors, 0.3)),
                 static_cast<std::int64_t>(draw(6000, 0.3)), 0};
    made.estimate = milliseconds(static_cast<std::int64_t>(draw(800, 0.4)));
    return made;
}

jobs::step crash_workload::make_fill_step()
{
    auto made = make_step("fill", 12.0);
    made.size = {static_cast<std::int64_t>(1000 * draw(fill_processors, 0.3)),
                 static_cast<std::int64_t>(draw(4000, 0.3)), 0};
    made.estimate = milliseconds(static_cast<std::int64_t>(draw(2200, 0.4)));
    made.fills = true;
    made.saves_progress = true;
    return made;
}

jobs::step crash_workload::make_lasting_step()
{
    auto made = make_step("lasting", 8.0);
    made.size = {
        static_cast<std::int64_t>(1000 * draw(lasting_processors, 0.3)),
        static_cast<std::int64_t>(draw(9000, 0.3)), 0};
    made.estimate = milliseconds(400);
    made.is_long_running = true;
    made.tail_target = tail_target;
    return made;
}

jobs::step crash_workload::make_gang_step()
{
    auto made = make_step("gang", 4.0);
    made.task_count = std::max<std::uint32_t>(2, made.task_count);
    made.size = {static_cast<std::int64_t>(1000 * draw(gang_processors, 0.3)),
                 static_cast<std::int64_t>(draw(5000, 0.3)), 0};
    made.estimate = milliseconds(1500);
    made.is_gang = true;
    made.max_per_worker = 1;
    return made;
}

simulated_job crash_workload::make_urgent(time_point now)
{
    constexpr std::uint32_t max_steps = 3;
    constexpr std::uint32_t gang_interval = 8;
    simulated_job made{make_job("urgent", 0, now), {}};
    const auto steps = 1 + draw_below(max_steps);
    for (std::uint32_t i = 0; i < steps; ++i)
    {
        auto step = draw_below(gang_interval) == 0 ? make_gang_step()
                                                   : make_urgent_step();
        if (i > 0)
        {
            step.after = {i - 1};
        }
        made.definition.steps.push_back(step);
    }
    return made;
}

simulated_job crash_workload::make_fill(time_point now)
{
    simulated_job made{make_job("fill", 2, now), {}};
    made.definition.steps.push_back(make_fill_step());
    return made;
}

simulated_job crash_workload::make_lasting(time_point now)
{
    simulated_job made{make_job("lasting", 0, now), {}};
    made.definition.steps.push_back(make_lasting_step());
    return made;
}

simulated_job crash_workload::make_crashing(time_point now)
{
    switch (options_.target)
    {
    case crash_target::lasting_task: {
        auto made = make_lasting(now);
        const auto index = draw_below(made.definition.steps.front().task_count);
        made.crashing = {{made.definition.id, 0, 0, index}};
        return made;
    }
    case crash_target::gang_member: {
        simulated_job made{make_job("urgent", 0, now), {}};
        made.definition.steps.push_back(make_gang_step());
        const auto index = draw_below(made.definition.steps.front().task_count);
        made.crashing = {{made.definition.id, 0, 0, index}};
        return made;
    }
    case crash_target::whole_step: {
        auto made = draw_below(2) == 0 ? make_urgent(now) : make_fill(now);
        const auto last =
            static_cast<std::uint32_t>(made.definition.steps.size()) - 1;
        made.crashing = tasks_of_step(made.definition, last);
        return made;
    }
    case crash_target::one_task:
        break;
    }
    auto made = draw_below(2) == 0 ? make_urgent(now) : make_fill(now);
    const auto step =
        draw_below(static_cast<std::uint32_t>(made.definition.steps.size()));
    const auto index = draw_below(made.definition.steps[step].task_count);
    made.crashing = {{made.definition.id, 0, step, index}};
    return made;
}

double crash_workload::draw(double mean, double spread)
{
    std::normal_distribution<double> normal(1.0, spread);
    return mean * std::clamp(normal(random_), 0.3, 3.0);
}

} // namespace hemlockdeal::emulation
