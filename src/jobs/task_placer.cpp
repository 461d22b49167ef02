// Placement of waiting tasks. Fill tasks are kept off workers that run serving
// tasks, because they would raise the tail latency there. Serving tasks are
// packed onto few workers, so that enough workers without them remain for fill
// tasks.
#include "jobs/task_placer.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "jobs/suspect_trial.hpp"

namespace hemlockdeal::jobs
{

namespace
{

// Below this cost a fill task is expected to run at full pace.
constexpr double full_pace_cost = 0.8;
// Above this cost a fill task stays waiting: it would make little progress and
// slow other tasks down.
constexpr double max_fill_cost = 1.3;
constexpr std::size_t max_moves_per_pass = 4;
constexpr duration move_interval = std::chrono::milliseconds(100);
// A step that found no room is retried on workers that have freed capacity
// since, and after this interval on all workers, because loads and health
// change without an event.
constexpr duration full_search_interval = std::chrono::milliseconds(250);
constexpr int low_progress_percent = 15;
// A long-running task that has found no room for this long also takes a worker
// that has failed tasks or is slow, or on which a suspect is tried: the worker
// may be sound, and the task has no limit of attempts.
constexpr duration max_wait_for_sound_worker = std::chrono::seconds(1);
// Number of workers with room that are compared for one task, counted from the
// first suitable one; the next search starts after them. Comparing more
// improves the placement little, and the cost of the search grows with the
// fleet.
constexpr std::size_t max_workers_evaluated = 500;

} // namespace

void task_placer::place(time_point now, std::chrono::milliseconds unix_now)
{
    without_room_ = 0;
    for (auto& [key, place] : reservations_)
    {
        place.is_applied = false;
    }
    find_usable_workers(now);
    auto waiting = candidates(now, unix_now);
    std::ranges::sort(waiting, {}, &candidate::position);
    for (const auto& c : waiting)
    {
        const bool is_gang = c.owner->definition().steps[c.step].is_gang;
        is_gang ? place_gang(c, now) : place_step(c, now);
    }
    for (const auto& [key, place] : reservations_)
    {
        if (place.is_applied)
        {
            state_.find_worker(place.worker)->erase_run(key);
        }
    }
    // Drops reservations that were not used in this pass; their tasks search
    // for a worker again.
    std::erase_if(reservations_,
                  [](const auto& entry) { return !entry.second.is_applied; });
    has_reservations_ = !reservations_.empty();
}

std::vector<task_placer::candidate>
task_placer::candidates(time_point now,
                        std::chrono::milliseconds unix_now) const
{
    std::vector<candidate> out;
    for (auto& [id, owner] : state_.registry.live())
    {
        owner->activate_due(unix_now);
        for (auto& [k, occurrence] : owner->active())
        {
            auto& steps = occurrence.steps;
            for (std::uint32_t s = 0; s < steps.size(); ++s)
            {
                auto& since = steps[s].waiting_since;
                if (steps[s].waiting == 0 || !owner->is_open(k, s, unix_now))
                {
                    since.reset();
                    continue;
                }
                since = since.value_or(now);
                out.push_back(
                    {owner.get(), k, s,
                     placing_position_of(*owner, k, s, unix_now, now - *since,
                                         state_.options.policy)});
            }
        }
    }
    return out;
}

void task_placer::find_usable_workers(time_point now)
{
    usable_workers_.clear();
    freed_workers_.clear();
    avoided_workers_.clear();
    for (auto& [id, worker] : state_.fleet)
    {
        const bool has_freed_capacity = worker.take_freed_capacity();
        if (!eligibility_.is_open(worker, now))
        {
            continue;
        }
        if (!eligibility_.is_available(worker, now) || worker.trial_count() > 0)
        {
            avoided_workers_.push_back(&worker);
            continue;
        }
        usable_workers_.push_back(&worker);
        if (has_freed_capacity)
        {
            freed_workers_.push_back(&worker);
        }
    }
}

bool task_placer::may_start(const task_record& task) const
{
    return task.phase == task_phase::waiting && !task.may_run_elsewhere;
}

bool task_placer::prepare_start(live_job& owner, const task_key& key,
                                fleet_worker& worker, time_point now)
{
    auto& task = owner.task(key);
    const auto tried_on = task.needs_trial() ? worker.entry.id : worker_id();
    if (task.crashes.tried_on != tried_on)
    {
        task.crashes.tried_on = tried_on;
        task.has_unstored_crash = true;
        state_.registry.mark_changed(key.job);
    }
    if (task.may_be_ordered(state_.stored_set) &&
        task.is_crash_stored(state_.stored_set))
    {
        return true;
    }
    if (!task.is_announced)
    {
        owner.announce(key);
        state_.registry.mark_changed(key.job);
    }
    if (!state_.options.policy.keeps_reservations)
    {
        return false;
    }
    // Reserves the capacity until the announcement is stored, so that no other
    // task takes it and the search is not repeated.
    auto reserved = make_run(owner.step_of(key), 0, now);
    set_evidence(reserved, task);
    worker.add_run(key, reserved);
    reservations_[key] = {worker.entry.id, true};
    return false;
}

fleet_worker* task_placer::reserved_worker(live_job& owner, const task_key& key,
                                           time_point now)
{
    const auto found = reservations_.find(key);
    if (found == reservations_.end())
    {
        return nullptr;
    }
    auto* const worker = state_.find_worker(found->second.worker);
    const bool is_valid =
        worker != nullptr && eligibility_.is_available(*worker, now) &&
        eligibility_.accepts_step(*worker, owner.step_of(key), now) &&
        worker_eligibility::keeps_trials_apart(*worker, owner.peek(key), true,
                                               now) &&
        eligibility_.may_run(*worker, owner, key, now);
    return is_valid ? worker : nullptr;
}

std::deque<task_placer::worker_list>
task_placer::workers_to_search(const candidate& c, bool is_full_search,
                               time_point now) const
{
    if (!is_full_search)
    {
        return {{freed_workers_}};
    }
    std::deque<worker_list> lists = {{usable_workers_}};
    const auto& since = c.owner->step_state(c.occurrence, c.step).waiting_since;
    const bool is_long_running =
        c.owner->definition().steps[c.step].is_long_running;
    if (is_long_running && since && now - *since >= max_wait_for_sound_worker)
    {
        lists.push_back({avoided_workers_, true});
    }
    return lists;
}

void task_placer::place_step(const candidate& c, time_point now)
{
    const auto& definition = c.owner->definition();
    const auto count = definition.steps[c.step].task_count;
    request_advice(c, now);
    auto& step = c.owner->step_state(c.occurrence, c.step);
    const bool is_full_search = definition.policy.needs_advice ||
                                now - step.searched_at >= full_search_interval;
    // All tasks of a step have the same size: a list without room for one of
    // them has none for the others. Suspects are choosier.
    const auto lists = workers_to_search(c, is_full_search, now);
    auto searched = lists;
    auto searched_for_suspects = lists;
    bool is_waiting_for_store = false;
    const auto without_room_before = without_room_;
    const auto waiting = step.waiting;
    std::uint32_t evaluated = 0;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        // No list has room for the other tasks, and none has a reservation.
        if (searched.empty() && step.is_untouched_from(i))
        {
            without_room_ += waiting - std::min(waiting, evaluated);
            break;
        }
        const task_key key{definition.id, c.occurrence, c.step, i};
        const auto& task = c.owner->peek(key);
        evaluated += task.phase == task_phase::waiting ? 1 : 0;
        if (!may_start(task) || task.not_before > now)
        {
            continue;
        }
        auto* worker = reserved_worker(*c.owner, key, now);
        auto& left = task.needs_trial() ? searched_for_suspects : searched;
        while (worker == nullptr && !left.empty())
        {
            worker = choose(left.front(), *c.owner, key, task, now);
            if (worker == nullptr)
            {
                left.pop_front();
            }
        }
        if (worker == nullptr)
        {
            ++without_room_;
            continue;
        }
        if (!prepare_start(*c.owner, key, *worker, now))
        {
            is_waiting_for_store = true;
            continue;
        }
        order_start(*c.owner, key, *worker, state_.next_run(task), now);
    }
    if (is_waiting_for_store || without_room_ == without_room_before)
    {
        step.searched_at = {};
    }
    else if (is_full_search)
    {
        step.searched_at = now;
    }
}

void task_placer::request_advice(const candidate& c, time_point now)
{
    const auto& definition = c.owner->definition();
    if (!definition.policy.needs_advice)
    {
        return;
    }
    const step_key step{definition.id, c.occurrence, c.step};
    const task_key first{definition.id, c.occurrence, c.step, 0};
    std::size_t workers_with_ticket = 0;
    std::vector<worker_id> workers;
    for (const auto* const worker : usable_workers_)
    {
        if (!eligibility_.has_room(*worker, c.owner->step_of(first)) ||
            !eligibility_.satisfies_constraints(*worker, *c.owner, first))
        {
            continue;
        }
        const auto& id = worker->entry.id;
        workers_with_ticket += state_.advice.ticket(step, id, now) ? 1 : 0;
        workers.push_back(id);
    }
    // The advice service needs time for each worker in a request, so
    // none is sent once as many workers have a ticket as there are tasks.
    if (workers_with_ticket >= definition.steps[c.step].task_count)
    {
        return;
    }
    if (auto request = state_.advice.next_request(step, workers, now))
    {
        state_.orders.emplace_back(std::move(*request));
    }
}

void task_placer::place_gang(const candidate& c, time_point now)
{
    const auto& definition = c.owner->definition();
    request_advice(c, now);
    const auto count = definition.steps[c.step].task_count;
    std::uint32_t run = 0;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const auto& task =
            c.owner->peek({definition.id, c.occurrence, c.step, i});
        if (!may_start(task) || task.not_before > now)
        {
            return;
        }
        run = std::max(run, state_.next_run(task));
    }
    // Each member is added to its worker's ledger while workers for the other
    // members are searched. All are removed again afterwards.
    std::vector<std::pair<task_key, fleet_worker*>> placements;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        const task_key key{definition.id, c.occurrence, c.step, i};
        auto* worker = reserved_worker(*c.owner, key, now);
        if (worker == nullptr)
        {
            worker = choose({usable_workers_}, *c.owner, key,
                            c.owner->peek(key), now);
        }
        if (worker == nullptr)
        {
            break;
        }
        run_record planned;
        planned.size = definition.steps[c.step].size;
        planned.is_trial = c.owner->peek(key).needs_trial();
        worker->add_run(key, planned);
        placements.emplace_back(key, worker);
    }
    for (const auto& [key, worker] : placements)
    {
        worker->erase_run(key);
    }
    if (placements.size() < count)
    {
        without_room_ += count;
        return;
    }
    bool may_be_ordered = true;
    for (const auto& [key, worker] : placements)
    {
        may_be_ordered =
            prepare_start(*c.owner, key, *worker, now) && may_be_ordered;
    }
    if (!may_be_ordered)
    {
        return;
    }
    for (const auto& [key, worker] : placements)
    {
        order_start(*c.owner, key, *worker, run, now);
    }
}

fleet_worker* task_placer::choose(const worker_list& list,
                                  const live_job& owner, const task_key& key,
                                  const task_record& task, time_point now) const
{
    const auto& workers = list.workers;
    const auto& s = owner.step_of(key);
    const auto image = to_image_hash(s.image);
    // With a preferred rack all workers are evaluated, since only few belong to
    // it. Otherwise workers are much alike and a sample is enough.
    const std::size_t max_evaluated =
        s.preferred_rack.empty() ? max_workers_evaluated : workers.size();
    if (workers.size() <= max_evaluated)
    {
        search_offset_ = 0;
    }
    const bool has_waited = now - task.suspected_at >= max_wait_for_trial;
    fleet_worker* best = nullptr;
    double lowest_cost = std::numeric_limits<double>::max();
    std::size_t evaluated = 0;
    for (std::size_t i = 0; i < workers.size() && evaluated < max_evaluated;
         ++i)
    {
        auto* const worker = workers[search_offset_++ % workers.size()];
        if (!eligibility_.accepts_step(*worker, s, now) ||
            (!(list.is_last_resort && !task.needs_trial()) &&
             !worker_eligibility::keeps_trials_apart(*worker, task, has_waited,
                                                     now)))
        {
            continue;
        }
        double cost = cost_.total(*worker, owner, s, image, task, now);
        const bool is_too_expensive = s.fills && cost > max_fill_cost;
        cost += s.fills && state_.options.policy.spares_versatile_workers
                    ? cost_.versatility_cost(*worker, now)
                    : 0.0;
        cost += task.needs_trial() ? place_cost::trial_cost(*worker) : 0.0;
        // Checked last because it compares strings.
        if (cost < lowest_cost && !is_too_expensive &&
            eligibility_.may_run(*worker, owner, key, now))
        {
            lowest_cost = cost;
            best = worker;
        }
        evaluated += best == nullptr ? 0 : 1;
    }
    return best;
}

void task_placer::move_slowed(time_point now)
{
    if (!state_.options.policy.moves_suspended_fills ||
        now - moves_checked_at_ < move_interval)
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
            if (moved.size() < max_moves_per_pass &&
                should_move(worker, key, run, now))
            {
                moved.emplace_back(&worker, key);
            }
        }
    }
    for (const auto& [worker, key] : moved)
    {
        state_.order_stop(
            *worker, key, now,
            "slowed while another worker can run it at full pace");
    }
}

bool task_placer::should_move(const fleet_worker& worker, const task_key& key,
                              const run_record& run, time_point now)
{
    const bool is_slowed =
        run.fills && run.slowed_since &&
        now - *run.slowed_since > state_.options.slowed_limit;
    const bool loses_little_progress =
        run.saves_progress || run.percent <= low_progress_percent;
    if (!is_slowed || !loses_little_progress || run.stop_ordered_at)
    {
        return false;
    }
    auto* const owner = state_.registry.find(key.job);
    if (owner == nullptr)
    {
        return false;
    }
    const auto* const better =
        choose({usable_workers_}, *owner, key, owner->peek(key), now);
    return better != nullptr && better != &worker &&
           cost_.fill_cost(*better, owner->step_of(key), run.image, now) <
               full_pace_cost;
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
    set_evidence(record, owner.task(key));
    record.checkpoint = owner.task(key).checkpoint;
    record.checkpoint_at_start = record.checkpoint;
    worker.add_run(key, record);
    worker.note_deadline(deadline);
    worker.next_poll =
        std::min(worker.next_poll, now + state_.options.min_poll_interval);
    owner.set_placed(key, worker.entry.id, run);
    state_.log_event("task placed",
                     {{"task", to_text(key)},
                      {"run", std::to_string(run)},
                      {"worker", worker.entry.id.value()},
                      {"image", owner.step_of(key).image},
                      {"trial", std::to_string(int{record.is_trial})},
                      {"serving", std::to_string(worker.serving_count())},
                      {"processors_reserved",
                       std::to_string(worker.room_used().processor_millis)},
                      {"fill_demand", std::to_string(worker.fill_demand())}});
    state_.orders.emplace_back(
        start_order{worker.entry.id, key, run, definition.payload,
                    record.checkpoint, deadline, ticket.value_or("")});
}

} // namespace hemlockdeal::jobs
