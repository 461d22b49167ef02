// Order of tasks and choice of workers. Tasks that fill are kept off workers
// with serving tasks, whose tails they would raise; serving tasks are packed
// onto few workers, so that enough of the others are left.
#include "jobs/task_placer.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

// A job that finishes after this many times its target earns nothing.
constexpr int late_factor = 3;

// A place with this cost lets a fill task run at full pace.
constexpr double good_place = 0.8;
// Beyond this a fill task waits: it would hardly run, and slow others down.
constexpr double highest_fill_cost = 1.3;
constexpr std::size_t moves_at_once = 4;
constexpr duration move_interval = std::chrono::milliseconds(100);
// A step without room is tried on workers that have gained room since, and
// after this time on all: loads and health change without an event.
constexpr duration whole_search_interval = std::chrono::milliseconds(250);
constexpr int little_progress_percent = 15;
// A task weighs this many workers with room, and the next task the ones after
// them: more make a place little better, and the search grows with the fleet.
constexpr std::size_t enough_places = 500;
// No fill task is added beside a serving task that was over its target within
// this time, about two reports: each one works at full pace until it is paced.
constexpr duration over_target_pause = std::chrono::milliseconds(900);

enum order_group
{
    // Short tasks that reserve processors: they wait for little, and give their
    // room back soon.
    group_urgent,
    // Serving tasks earn by the time that they are at work.
    group_lasting,
    group_in_time,
    group_late,
    group_lost
};

} // namespace

void task_placer::place(time_point now, std::chrono::milliseconds unix_now)
{
    without_room_ = 0;
    for (auto& [key, place] : reservations_)
    {
        place.is_held = false;
    }
    find_usable_workers(now);
    auto waiting = candidates(unix_now);
    std::ranges::sort(waiting, [](const candidate& a, const candidate& b) {
        return std::tie(a.group, a.latest_start) <
               std::tie(b.group, b.latest_start);
    });
    for (const auto& c : waiting)
    {
        const bool is_gang = c.owner->definition().steps[c.step].is_gang;
        is_gang ? place_gang(c, now) : place_step(c, now);
    }
    for (const auto& [key, place] : reservations_)
    {
        if (place.is_held)
        {
            state_.find_worker(place.worker)->erase_run(key);
        }
    }
    // What found no place in this pass looks for another one.
    std::erase_if(reservations_,
                  [](const auto& entry) { return !entry.second.is_held; });
    has_reservations_ = !reservations_.empty();
}

std::vector<task_placer::candidate>
task_placer::candidates(std::chrono::milliseconds unix_now) const
{
    std::vector<candidate> out;
    for (auto& [id, owner] : state_.registry.live())
    {
        const auto& occurrences = owner->occurrences();
        for (std::uint32_t k = 0; k < occurrences.size(); ++k)
        {
            const auto& steps = occurrences[k].steps;
            for (std::uint32_t s = 0; s < steps.size(); ++s)
            {
                if (steps[s].waiting > 0 && owner->is_open(k, s, unix_now))
                {
                    out.push_back(make_candidate(*owner, k, s, unix_now));
                }
            }
        }
    }
    return out;
}

task_placer::candidate
task_placer::make_candidate(live_job& owner, std::uint32_t occurrence,
                            std::uint32_t step,
                            std::chrono::milliseconds unix_now) const
{
    const auto& definition = owner.definition();
    const auto begin = definition.repeats.count > 0
                           ? owner.occurrences()[occurrence].due
                           : definition.accepted_at;
    const auto target = std::chrono::duration_cast<std::chrono::milliseconds>(
        owner.critical_path() * definition.policy.stretch +
        definition.policy.slack);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        owner.critical_path_from(step));
    candidate c{&owner, occurrence, step, group_in_time, begin + target - left};
    if (definition.steps[step].is_long_running)
    {
        c.group = group_lasting;
    }
    else if (!definition.steps[step].fills && unix_now <= c.latest_start)
    {
        c.group = group_urgent;
    }
    else if (unix_now > begin + late_factor * target - left)
    {
        c.group = group_lost;
    }
    else if (unix_now > c.latest_start)
    {
        c.group = group_late;
    }
    return c;
}

bool task_placer::is_usable(const fleet_worker& worker, time_point now) const
{
    const bool is_open = !worker.is_unlisted && !worker.entry.is_leaving &&
                         worker.is_recorded &&
                         !state_.closed_zones.contains(worker.entry.zone);
    return is_open && worker.knows_clock() &&
           worker.is_reachable(now, state_.options.contact_limit) &&
           worker.full_until <= now && worker.health.avoided_until <= now &&
           !worker.health.is_slow(now);
}

void task_placer::find_usable_workers(time_point now)
{
    usable_.clear();
    roomier_.clear();
    for (auto& [id, worker] : state_.fleet)
    {
        const bool has_gained = worker.take_gained_room();
        if (!is_usable(worker, now))
        {
            continue;
        }
        usable_.push_back(&worker);
        if (has_gained)
        {
            roomier_.push_back(&worker);
        }
    }
}

bool task_placer::may_start(const task_record& task) const
{
    return task.phase == task_phase::waiting && !task.may_run_elsewhere;
}

bool task_placer::is_stored_first(live_job& owner, const task_key& key,
                                  fleet_worker& worker, time_point now)
{
    auto& task = owner.task(key);
    if (task.may_be_ordered(state_.stored_set))
    {
        return true;
    }
    if (!task.is_announced)
    {
        owner.announce(key);
        state_.registry.mark_changed(key.job);
    }
    // Others do not get its place meanwhile, and it is searched once only.
    worker.add_run(key, make_run(owner.step_of(key), 0, now));
    reservations_[key] = {worker.entry.id, true};
    return false;
}

fleet_worker* task_placer::reserved_worker(const live_job& owner,
                                           const task_key& key, time_point now)
{
    const auto kept = reservations_.find(key);
    if (kept == reservations_.end())
    {
        return nullptr;
    }
    auto* const worker = state_.find_worker(kept->second.worker);
    const bool is_good = worker != nullptr && is_usable(*worker, now) &&
                         takes(*worker, owner.step_of(key), now) &&
                         is_eligible(*worker, owner, key, now);
    return is_good ? worker : nullptr;
}

void task_placer::place_step(const candidate& c, time_point now)
{
    const auto& definition = c.owner->definition();
    const auto count = definition.steps[c.step].task_count;
    ask_for_advice(c, now);
    auto& searched_at = c.owner->searched_at(c.occurrence, c.step);
    const bool is_whole_search = definition.policy.needs_advice ||
                                 now - searched_at >= whole_search_interval;
    const auto& workers = is_whole_search ? usable_ : roomier_;
    bool has_room = !workers.empty();
    bool is_waiting_for_store = false;
    const auto without_room_before = without_room_;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const task_key key{definition.id, c.occurrence, c.step, i};
        const auto& task = c.owner->task(key);
        if (!may_start(task) || task.not_before > now)
        {
            continue;
        }
        auto* worker = reserved_worker(*c.owner, key, now);
        if (worker == nullptr && has_room)
        {
            worker = choose(workers, *c.owner, key, task, now);
        }
        if (worker == nullptr)
        {
            // The other tasks of the step are of the same size.
            has_room = false;
            ++without_room_;
            continue;
        }
        if (!is_stored_first(*c.owner, key, *worker, now))
        {
            is_waiting_for_store = true;
            continue;
        }
        order_start(*c.owner, key, *worker, state_.next_run(task), now);
    }
    if (is_waiting_for_store || without_room_ == without_room_before)
    {
        searched_at = {};
    }
    else if (is_whole_search)
    {
        searched_at = now;
    }
}

void task_placer::ask_for_advice(const candidate& c, time_point now)
{
    const auto& definition = c.owner->definition();
    if (!definition.policy.needs_advice)
    {
        return;
    }
    const step_key step{definition.id, c.occurrence, c.step};
    const task_key first{definition.id, c.occurrence, c.step, 0};
    std::size_t with_ticket = 0;
    std::vector<worker_id> workers;
    for (const auto* const worker : usable_)
    {
        if (!has_room(*worker, c.owner->step_of(first)) ||
            !fits(*worker, *c.owner, first))
        {
            continue;
        }
        const auto& id = worker->entry.id;
        with_ticket += state_.advice.ticket(step, id, now) ? 1 : 0;
        workers.push_back(id);
    }
    // Each question takes time for each worker named; enough is enough.
    if (with_ticket >= definition.steps[c.step].task_count)
    {
        return;
    }
    if (auto request = state_.advice.ask(step, workers, now))
    {
        state_.orders.emplace_back(std::move(*request));
    }
}

void task_placer::place_gang(const candidate& c, time_point now)
{
    const auto& definition = c.owner->definition();
    ask_for_advice(c, now);
    const auto count = definition.steps[c.step].task_count;
    std::uint32_t run = 0;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const auto& task =
            c.owner->task({definition.id, c.occurrence, c.step, i});
        if (!may_start(task))
        {
            return;
        }
        run = std::max(run, state_.next_run(task));
    }
    // Room is found with the members entered in the ledgers; they are taken
    // out again when one finds none.
    std::vector<std::pair<task_key, fleet_worker*>> places;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const task_key key{definition.id, c.occurrence, c.step, i};
        auto* worker = reserved_worker(*c.owner, key, now);
        if (worker == nullptr)
        {
            worker = choose(usable_, *c.owner, key, c.owner->task(key), now);
        }
        if (worker == nullptr)
        {
            break;
        }
        run_record planned;
        planned.size = definition.steps[c.step].size;
        worker->add_run(key, planned);
        places.emplace_back(key, worker);
    }
    for (const auto& [key, worker] : places)
    {
        worker->erase_run(key);
    }
    if (places.size() < count)
    {
        without_room_ += count;
        return;
    }
    bool may_be_ordered = true;
    for (const auto& [key, worker] : places)
    {
        may_be_ordered =
            is_stored_first(*c.owner, key, *worker, now) && may_be_ordered;
    }
    if (!may_be_ordered)
    {
        return;
    }
    for (const auto& [key, worker] : places)
    {
        order_start(*c.owner, key, *worker, run, now);
    }
}

fleet_worker* task_placer::choose(const std::vector<fleet_worker*>& workers,
                                  const live_job& owner, const task_key& key,
                                  const task_record& task, time_point now) const
{
    const auto& s = owner.step_of(key);
    const auto image = to_image(s.image);
    // Workers of a rack are few among many; the others are much alike.
    const std::size_t enough =
        s.preferred_rack.empty() ? enough_places : workers.size();
    if (workers.size() <= enough)
    {
        next_place_ = 0;
    }
    fleet_worker* best = nullptr;
    double least = std::numeric_limits<double>::max();
    std::size_t weighed = 0;
    for (std::size_t i = 0; i < workers.size() && weighed < enough; ++i)
    {
        auto* const worker = workers[next_place_++ % workers.size()];
        if (!takes(*worker, s, now))
        {
            continue;
        }
        const double price = cost_.of(*worker, s, image, task, now);
        const bool is_too_dear = s.fills && price > highest_fill_cost;
        // Last because it compares texts.
        if (price < least && !is_too_dear &&
            is_eligible(*worker, owner, key, now))
        {
            least = price;
            best = worker;
        }
        weighed += best == nullptr ? 0 : 1;
    }
    return best;
}

bool task_placer::takes(const fleet_worker& worker, const step& s,
                        time_point now) const
{
    const bool is_pressed =
        s.fills && now - worker.over_target_at < over_target_pause;
    return !is_pressed && has_room(worker, s);
}

bool task_placer::has_room(const fleet_worker& worker, const step& s) const
{
    const auto& used = worker.room_used();
    const auto& room = worker.entry.capacity;
    if (used.memory_mb + s.size.memory_mb > room.memory_mb ||
        used.accelerators + s.size.accelerators > room.accelerators)
    {
        return false;
    }
    const auto reserved = used.processor_millis + s.size.processor_millis;
    if (!s.fills)
    {
        return reserved <= room.processor_millis;
    }
    const auto unused = worker.likely_unused(state_.options.serving_use);
    return static_cast<double>(worker.fill_demand() +
                               s.size.processor_millis) <=
           unused * state_.options.fill_limit;
}

bool task_placer::is_eligible(const fleet_worker& worker, const live_job& owner,
                              const task_key& key, time_point now) const
{
    if (!fits(worker, owner, key))
    {
        return false;
    }
    const step_key step{key.job, key.occurrence, key.step};
    return !owner.definition().policy.needs_advice ||
           state_.advice.ticket(step, worker.entry.id, now).has_value();
}

bool task_placer::fits(const fleet_worker& worker, const live_job& owner,
                       const task_key& key) const
{
    const auto& s = owner.step_of(key);
    const auto& policy = owner.definition().policy;
    if (worker.entry.service != policy.service)
    {
        return false;
    }
    if (!policy.regions.empty() &&
        std::ranges::find(policy.regions, worker.entry.region) ==
            policy.regions.end())
    {
        return false;
    }
    if (!s.required_label.empty() && !worker.entry.has_label(s.required_label))
    {
        return false;
    }
    // A run of the task that may still be there would take the place of this
    // one in the ledger.
    if (worker.runs().contains(key))
    {
        return false;
    }
    return s.max_per_worker == 0 || worker.runs_of_step(key) < s.max_per_worker;
}

void task_placer::move_slowed(time_point now)
{
    if (now - moves_checked_at_ < move_interval)
    {
        return;
    }
    moves_checked_at_ = now;
    std::vector<std::pair<fleet_worker*, task_key>> moved;
    for (auto& [id, worker] : state_.fleet)
    {
        if (worker.fill_count() == 0 || worker.serving_count() == 0)
        {
            continue;
        }
        for (const auto& [key, run] : worker.runs())
        {
            if (moved.size() < moves_at_once &&
                should_move(worker, key, run, now))
            {
                moved.emplace_back(&worker, key);
            }
        }
    }
    for (const auto& [worker, key] : moved)
    {
        state_.order_stop(*worker, key, now,
                          "slowed, and there is room elsewhere");
    }
}

bool task_placer::should_move(const fleet_worker& worker, const task_key& key,
                              const run_record& run, time_point now)
{
    const bool is_slowed =
        run.fills && run.slowed_since &&
        now - *run.slowed_since > state_.options.slowed_limit;
    const bool loses_little =
        run.saves_progress || run.percent <= little_progress_percent;
    if (!is_slowed || !loses_little || run.stop_ordered_at)
    {
        return false;
    }
    auto* const owner = state_.registry.find(key.job);
    if (owner == nullptr)
    {
        return false;
    }
    const auto* const better =
        choose(usable_, *owner, key, owner->task(key), now);
    return better != nullptr && better != &worker &&
           cost_.of_fill(*better, owner->step_of(key), run.image, now) <
               good_place;
}

void task_placer::order_start(live_job& owner, const task_key& key,
                              fleet_worker& worker, std::uint32_t run,
                              time_point now)
{
    const auto& definition = owner.definition();
    const auto deadline =
        worker.clock_at(now) +
        std::chrono::duration_cast<worker_clock>(state_.options.start_validity);
    const auto ticket = state_.advice.ticket(
        {key.job, key.occurrence, key.step}, worker.entry.id, now);
    auto record = make_run(owner.step_of(key), run, now);
    record.start_deadline = deadline;
    record.checkpoint = owner.task(key).checkpoint;
    record.checkpoint_at_start = record.checkpoint;
    worker.add_run(key, record);
    worker.note_deadline(deadline);
    worker.next_poll =
        std::min(worker.next_poll, now + state_.options.min_poll_interval);
    owner.set_placed(key, worker.entry.id, run);
    state_.log_event("task is placed",
                     {{"task", to_text(key)},
                      {"run", std::to_string(run)},
                      {"worker", worker.entry.id.value()},
                      {"image", owner.step_of(key).image},
                      {"serving", std::to_string(worker.serving_count())},
                      {"processors_reserved",
                       std::to_string(worker.room_used().processor_millis)},
                      {"fill_demand", std::to_string(worker.fill_demand())}});
    state_.orders.emplace_back(
        start_order{worker.entry.id, key, run, definition.payload,
                    record.checkpoint, deadline, ticket.value_or("")});
}

} // namespace hemlockdeal::jobs
