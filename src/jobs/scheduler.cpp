// Inputs and outputs of the scheduler.
#include "jobs/scheduler.hpp"

#include <algorithm>
#include <utility>

#include "jobs/load_summary.hpp"
#include "jobs/placing_order.hpp"
#include "jobs/quota/account_report.hpp"

namespace hemlockdeal::jobs
{

namespace
{

constexpr unsigned max_poll_backoff = 4;
// Leases and workers change on a scale of seconds, so that the fleet need not
// be checked on every call.
constexpr duration fleet_check_interval = std::chrono::milliseconds(40);
constexpr duration load_interval = std::chrono::seconds(2);

} // namespace

scheduler::scheduler(scheduler_options options, std::uint64_t epoch)
    : crashes_(state_), recovery_(state_, crashes_),
      in_doubt_(state_, recovery_), membership_(state_, crashes_, recovery_),
      worker_ends_(state_, crashes_), intake_(state_, crashes_, worker_ends_),
      order_responses_(state_), repeater_(state_), bindings_(state_),
      recorder_(state_, recovery_), placer_(state_), lease_extension_(state_),
      polls_(state_), suspender_(state_), speeds_(state_), long_waits_(state_)
{
    state_.options = options;
    state_.interference.set_policy(options.policy);
    state_.epoch = epoch;
}

void scheduler::recover_job(job definition,
                            const std::optional<job_progress>& stored_progress)
{
    const auto id = definition.id;
    state_.registry.add(std::move(definition), stored_progress);
    if (auto* const live = state_.registry.find(id))
    {
        live->mark_ordered_tasks_uncertain();
    }
}

void scheduler::recover_interference(std::string_view encoded_model)
{
    state_.interference.restore(encoded_model);
}

void scheduler::recover_fleet(const std::vector<fleet_record>& may_run_tasks)
{
    recovery_.recover_fleet(may_run_tasks);
}

void scheduler::begin(time_point now, const earlier_leaders& predecessors)
{
    // How long the tasks have waited under earlier leaders is not recorded.
    for (const auto& [id, live] : state_.registry.live())
    {
        live->set_long_running_waiting_since(now - max_long_running_wait);
    }
    recovery_.begin(now, predecessors);
    long_waits_.begin(now);
}

std::optional<store_time> scheduler::hand_over(time_point now)
{
    lease_extension_.end();
    recorder_.hand_over(now);
    auto leases_end = std::max(now + longest_lease(state_.options),
                               recovery_.leases_expire_at());
    for (const auto& [id, worker] : state_.fleet)
    {
        // Later than the first one on workers that have restarted.
        if (!worker.runs().empty() && !worker.has_ended)
        {
            leases_end =
                std::max(leases_end,
                         worker.leases_expire_at(state_.options.clock_error));
        }
    }
    state_.log_event(
        "leadership handed over",
        {{"workers_not_seen",
          std::to_string(recovery_.unseen_workers().size())},
         {"known_lease_ends", std::to_string(recovery_.known_lease_ends())},
         {"leases_end_in_ms",
          std::to_string((leases_end - now).count() / 1000)}});
    return state_.clock.latest_at(leases_end);
}

void scheduler::set_services(std::map<service_id, service_policy> services)
{
    state_.services = std::move(services);
}

void scheduler::set_closed_zones(std::set<availability_zone_id> zones)
{
    if (zones == state_.closed_zones)
    {
        return;
    }
    std::string names;
    for (const auto& zone : zones)
    {
        names += (names.empty() ? "" : ",") + zone.value();
    }
    state_.log_event("zones out of service", {{"zones", names}});
    state_.closed_zones = std::move(zones);
}

void scheduler::set_worker(const worker_entry& entry, time_point now)
{
    membership_.set_worker(entry, now);
}

void scheduler::remove_worker(const worker_id& id, time_point /*now*/,
                              entry_loss reason)
{
    membership_.remove_worker(id, reason);
}

void scheduler::add_job(job definition)
{
    const auto id = definition.id;
    const auto queue = definition.policy.queue;
    if (state_.registry.add(std::move(definition), std::nullopt))
    {
        state_.log_event("job added to the scheduler",
                         {{"job", id.value()}, {"queue", queue}});
        state_.registry.mark_changed(id);
    }
}

void scheduler::cancel_job(const job_id& id, time_point now)
{
    auto* const live = state_.registry.find(id);
    if (live == nullptr)
    {
        return;
    }
    state_.log_event("job cancelled", {{"job", id.value()}});
    state_.stop_job(*live, now, "job cancelled");
    state_.finish_job(id, job_state::cancelled, now);
}

bool scheduler::give_up_job(const job_id& id, time_point now)
{
    auto* const live = state_.registry.find(id);
    if (live == nullptr)
    {
        return false;
    }
    state_.stop_job(*live, now, "progress of the job cannot be stored");
    state_.finish_job(id, job_state::failed, now);
    return true;
}

void scheduler::on_report(const worker_id& id, const worker_report& report,
                          time_point sent_at, time_point now)
{
    auto* const worker = state_.find_worker(id);
    if (worker == nullptr)
    {
        return;
    }
    if (report.incarnation == 0 && worker->entry.incarnation != 0)
    {
        // A report that does not name its incarnation is no restart: the runs
        // may still be on the worker.
        on_poll_failed(id, now);
        return;
    }
    worker->poll_sent_at.reset();
    if (worker->has_ended && report.incarnation <= worker->entry.incarnation)
    {
        intake_.on_late_report(*worker, report, now);
        return;
    }
    const bool is_first_contact = !worker->has_been_seen();
    if (is_first_contact)
    {
        recovery_.adopt_unanswered_starts(*worker);
    }
    intake_.on_report(*worker, report, sent_at, now);
    if (is_first_contact)
    {
        end_earlier_workers(*worker, sent_at, now);
    }
    state_.interference.learn(*worker, now);
    suspender_.adjust(*worker, now);
    speeds_.observe(*worker, now);
    speeds_.offload(*worker, now);
    // A worker answers at once while it lists an end that is not acknowledged,
    // and one that cannot be decoded may never be.
    const bool must_not_wait = worker->has_unstored_ends() ||
                               worker->unreadable_ends > 0 ||
                               !worker->held_ends.empty();
    worker->next_poll =
        now + (must_not_wait ? state_.options.unstored_poll_interval
                             : state_.options.min_poll_interval);
    if (report.has_more_ends)
    {
        recovery_.on_incomplete_report(*worker);
    }
    else
    {
        recovery_.on_worker_seen(*worker);
    }
    recovery_.check(now);
}

void scheduler::on_poll_failed(const worker_id& id, time_point now)
{
    auto* const worker = state_.find_worker(id);
    if (worker == nullptr)
    {
        return;
    }
    if (worker->failed_polls == 0)
    {
        crashes_.on_silence(*worker, now);
        state_.log_event("worker does not respond to polls",
                         {{"worker", id.value()}});
    }
    worker->poll_sent_at.reset();
    ++worker->failed_polls;
    worker->next_poll =
        now + state_.options.poll_retry *
                  std::min(worker->failed_polls, max_poll_backoff);
}

void scheduler::on_poll_refused(const worker_id& id, time_point now)
{
    auto* const worker = state_.find_worker(id);
    if (worker == nullptr || worker->poll_restarts == worker->restarts())
    {
        state_.is_superseded = true;
        return;
    }
    // The token is that of an order sent after a restart was noticed.
    worker->poll_sent_at.reset();
    worker->next_poll = now;
}

void scheduler::on_start_answer(const worker_id& id, const task_key& key,
                                std::uint32_t run,
                                const start_response& response, time_point now)
{
    if (auto* const worker = state_.find_worker(id))
    {
        order_responses_.on_start_answer(*worker, key, run, response, now);
    }
}

void scheduler::on_stop_confirmed(const worker_id& id, const task_key& key,
                                  std::uint32_t run, time_point now)
{
    if (auto* const worker = state_.find_worker(id))
    {
        order_responses_.on_stop_confirmed(*worker, key, run, now);
    }
}

void scheduler::end_earlier_workers(fleet_worker& later, time_point sent_at,
                                    time_point now)
{
    const auto& vm = later.entry.vm;
    if (vm.empty())
    {
        return;
    }
    for (auto& [id, worker] : state_.fleet)
    {
        if (worker.entry.vm == vm && id != later.entry.id &&
            worker.joined_at < sent_at && !worker.has_ended)
        {
            worker_ends_.on_replaced(worker, later, now);
        }
    }
    recovery_.on_vm_replaced(later, now);
}

std::vector<order> scheduler::decide(time_point now,
                                     std::chrono::milliseconds unix_now,
                                     leader_permission permission)
{
    recovery_.check(now);
    if (now - fleet_checked_at_ >= fleet_check_interval)
    {
        fleet_checked_at_ = now;
        state_.fleet_capacity = {};
        for (auto& [id, worker] : state_.fleet)
        {
            worker_ends_.check_lease_expiry(worker, now);
            if (!worker.is_unlisted && !worker.has_ended)
            {
                state_.fleet_capacity += worker.entry.capacity;
            }
        }
        bindings_.forget_void(now);
        membership_.forget_gone_workers(now);
        recorder_.mark_outdated_parts(now);
    }
    state_.may_start_account_tasks = permission.may_start_account_tasks;
    if (permission.may_start && permission.lead_is_valid)
    {
        in_doubt_.update(now);
        repeater_.repeat_due(now);
        placer_.place(now, unix_now);
        placer_.move_slowed(now);
    }
    polls_.plan(now, lease_extension_.permission_for(now, permission));
    long_waits_.check({now, unix_now, permission.may_start,
                       permission.lead_is_valid,
                       recovery_.unseen_workers().size()});
    log_load(now);
    return take_orders();
}

std::vector<order> scheduler::take_orders()
{
    auto orders = std::exchange(state_.orders, {});
    for (auto& o : orders)
    {
        std::visit(
            [this](auto& to_worker) {
                if constexpr (requires { to_worker.restarts; })
                {
                    const auto* const worker =
                        state_.find_worker(to_worker.worker);
                    to_worker.restarts =
                        worker == nullptr ? 0 : worker->restarts();
                }
            },
            o);
    }
    return orders;
}

void scheduler::log_load(time_point now)
{
    if (now - load_logged_at_ >= load_interval)
    {
        load_logged_at_ = now;
        state_.events.push_back(
            load_summary(state_, placer_.tasks_without_room(), now));
        if (state_.limits.has_accounts())
        {
            state_.events.push_back(account_summary(state_, now));
        }
    }
}

bool scheduler::has_changes() const
{
    return state_.registry.has_changes() ||
           !state_.changed_fleet_parts.empty() ||
           std::ranges::any_of(state_.fleet, [](const auto& entry) {
               return entry.second.has_unstored_ends();
           });
}

change_set scheduler::take_changes()
{
    change_set changes;
    change_limits limits;
    limits.row = state_.options.row_limit;
    auto taken = state_.registry.take_changes(limits, ++state_.taken_set);
    changes.jobs = std::move(taken.progress);
    changes.histories = std::move(taken.histories);
    changes.is_partial = state_.registry.has_changes();
    changes.fleet = recorder_.take_changed_parts();
    // Ended runs are covered only if no changed job was left out.
    if (!changes.is_partial)
    {
        for (auto& [id, worker] : state_.fleet)
        {
            worker.sent_to_store = worker.taken_ends;
        }
    }
    return changes;
}

void scheduler::on_changes_stored(time_point now)
{
    state_.stored_set = state_.taken_set;
    recorder_.on_stored();
    for (auto& [id, worker] : state_.fleet)
    {
        if (worker.sent_to_store > worker.stored_ends)
        {
            worker.stored_ends = worker.sent_to_store;
            worker.next_poll = std::min(worker.next_poll, now);
        }
    }
}

std::vector<decision_event> scheduler::take_events()
{
    return std::exchange(state_.events, {});
}

} // namespace hemlockdeal::jobs
