// Episodes in which long-running tasks do not run.
#include "jobs/long_wait_log.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

// A shorter absence is not logged: the loss of a worker that is replaced on its
// VM, or a takeover, takes up to some 3 s.
constexpr duration min_logged_wait = std::chrono::seconds(4);
constexpr duration check_interval = std::chrono::seconds(1);
// The reason may alternate, for example while room comes and goes.
constexpr unsigned max_logged_changes = 3;
// Bounds the log when a large part of the fleet is lost.
constexpr std::size_t max_lines_per_check = 20;

std::string milliseconds_text(duration time)
{
    using std::chrono::milliseconds;
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
}

} // namespace

void long_wait_log::check(const wait_circumstances& circumstances)
{
    const auto now = circumstances.now;
    if (now - checked_at_ < check_interval)
    {
        return;
    }
    lines_ = 0;
    end_episodes(now);
    add_waiting_tasks(circumstances);
    add_silent_runs(now);
    examine_long_episodes(circumstances);
    log_left_out_lines();
    checked_at_ = now;
}

void long_wait_log::end_episodes(time_point now)
{
    for (auto e = episodes_.begin(); e != episodes_.end();)
    {
        const auto* const task = find_task(e->first);
        const bool is_over = task == nullptr || task->phase == task_phase::done;
        const auto runs_at =
            is_over ? std::nullopt
                    : ran_at(e->first, *task, e->second.since, now);
        if (runs_at && e->second.logged)
        {
            log_end(e->first, e->second, *runs_at);
        }
        e = is_over || runs_at ? episodes_.erase(e) : std::next(e);
    }
}

std::optional<time_point> long_wait_log::ran_at(const task_key& key,
                                                const task_record& task,
                                                time_point since,
                                                time_point now) const
{
    const auto worker = state_.fleet.find(task.worker);
    if (task.phase != task_phase::placed || worker == state_.fleet.end())
    {
        return std::nullopt;
    }
    const auto run = worker->second.runs().find(key);
    if (run == worker->second.runs().end() || !run->second.confirmed_at)
    {
        return std::nullopt;
    }
    const auto seen_at =
        std::max(*run->second.confirmed_at, run->second.last_reported_at);
    if (!responds(worker->second, now))
    {
        return seen_at > since ? std::optional(seen_at) : std::nullopt;
    }
    // A run on a worker that was silent is seen again by the next report.
    return *run->second.confirmed_at > since ? *run->second.confirmed_at
                                             : std::max(seen_at, since);
}

void long_wait_log::add_waiting_tasks(const wait_circumstances& circumstances)
{
    for (const auto& [id, owner] : state_.registry.live())
    {
        const auto& definition = owner->definition();
        for (const auto& [k, occurrence] : owner->active())
        {
            if (owner->due(k) > circumstances.unix_now)
            {
                continue;
            }
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s)
            {
                if (definition.steps[s].is_long_running &&
                    occurrence.steps[s].waiting > 0)
                {
                    add_waiting_tasks(*owner, k, s, circumstances.now);
                }
            }
        }
    }
}

void long_wait_log::add_waiting_tasks(const live_job& owner,
                                      std::uint32_t occurrence,
                                      std::uint32_t step, time_point now)
{
    const auto& id = owner.definition().id;
    const auto& record = owner.step_state(occurrence, step);
    // The step's time covers tasks that have waited for longer; a task that is
    // new here was not waiting at the last check.
    const auto since =
        std::max(record.waiting_since.value_or(now), checked_at_);
    const auto count = owner.definition().steps[step].task_count;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const task_key key{id, occurrence, step, i};
        if (owner.peek(key).phase == task_phase::waiting)
        {
            begin_episode(key, since);
        }
    }
}

void long_wait_log::add_silent_runs(time_point now)
{
    for (const auto& [id, worker] : state_.fleet)
    {
        if (worker.runs().empty() || responds(worker, now))
        {
            continue;
        }
        const auto silent_since =
            worker.silent_since.value_or(worker.responded_at);
        for (const auto& [key, run] : worker.runs())
        {
            const auto* const task =
                run.is_long_running ? find_task(key) : nullptr;
            if (task != nullptr && task->phase == task_phase::placed &&
                task->worker == id)
            {
                begin_episode(key, std::max(silent_since, run.ordered_at));
            }
        }
    }
}

void long_wait_log::begin_episode(const task_key& key, time_point since)
{
    episodes_.try_emplace(key, episode{since, {}, std::nullopt, 0});
}

void long_wait_log::examine_long_episodes(
    const wait_circumstances& circumstances)
{
    using entry = std::pair<const task_key, episode>;
    std::vector<entry*> long_episodes;
    for (auto& e : episodes_)
    {
        if (circumstances.now - e.second.since > min_logged_wait)
        {
            long_episodes.push_back(&e);
        }
    }
    // Those that the last check did not examine go first.
    std::ranges::stable_sort(long_episodes, {}, [](const entry* e) {
        return e->second.examined_at;
    });
    diagnosis_.begin_check();
    for (auto* const e : long_episodes)
    {
        examine(e->first, e->second, circumstances);
    }
}

void long_wait_log::examine(const task_key& key, episode& e,
                            const wait_circumstances& circumstances)
{
    const auto* const owner = state_.registry.find(key.job);
    auto found = diagnosis_.find(*owner, key, circumstances);
    const bool is_examined = found.reason != wait_reason::not_examined;
    if (is_examined)
    {
        e.examined_at = circumstances.now;
    }
    const bool is_first = !e.logged.has_value();
    const bool is_change =
        !is_first && is_examined && found.reason != e.logged->reason;
    if (!is_first && (!is_change || e.changes >= max_logged_changes))
    {
        return;
    }
    e.changes += is_change ? 1 : 0;
    auto fields = fields_of(key, circumstances.now - e.since, found);
    if (found.reason == wait_reason::in_doubt_after_takeover)
    {
        fields.emplace_back("workers_not_seen",
                            std::to_string(circumstances.unseen_workers));
    }
    log_line(is_first ? "long-running task is waiting"
                      : "long-running task waits for another reason",
             std::move(fields));
    e.logged = std::move(found);
}

void long_wait_log::log_end(const task_key& key, const episode& e,
                            time_point ended_at)
{
    const wait_finding last{e.logged->reason, find_task(key)->worker, {}};
    log_line("long-running task runs again",
             fields_of(key, ended_at - e.since, last));
}

long_wait_log::field_list long_wait_log::fields_of(const task_key& key,
                                                   duration waited,
                                                   const wait_finding& found)
{
    field_list fields = {{"task", to_text(key)},
                         {"job", key.job.value()},
                         {"waited_ms", milliseconds_text(waited)},
                         {"reason", std::string(to_text(found.reason))}};
    if (!found.worker.empty())
    {
        fields.emplace_back("worker", found.worker.value());
    }
    if (!found.obstacles.empty())
    {
        fields.emplace_back("workers", found.obstacles);
    }
    return fields;
}

void long_wait_log::log_line(std::string_view message, field_list fields)
{
    if (lines_ == max_lines_per_check)
    {
        ++lines_left_out_;
        return;
    }
    ++lines_;
    state_.log_event(std::string(message), std::move(fields));
}

void long_wait_log::log_left_out_lines()
{
    if (lines_left_out_ == 0)
    {
        return;
    }
    state_.log_event(
        "lines on waiting long-running tasks are left out",
        {{"lines", std::to_string(std::exchange(lines_left_out_, 0))},
         {"tasks", std::to_string(episodes_.size())}});
}

bool long_wait_log::responds(const fleet_worker& worker, time_point now) const
{
    return !worker.has_ended &&
           worker.is_reachable(now, state_.options.contact_limit);
}

const task_record* long_wait_log::find_task(const task_key& key) const
{
    auto* const owner = state_.registry.find(key.job);
    return owner != nullptr && owner->has(key) ? &owner->peek(key) : nullptr;
}

} // namespace hemlockdeal::jobs
