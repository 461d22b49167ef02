// Execution of the leader's orders by the workers of the simulated fleet, and
// the checks of the guarantees from the workers' point of view.
#include "fleet_world.hpp"

#include <algorithm>

namespace hemlockdeal::jobs::test
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Probabilities per order.
constexpr double lost_responses = 0.04;
constexpr double late_orders = 0.03;
constexpr double frequent_late_orders = 0.1;
constexpr double failing_runs = 0.08;
// A larger capacity counts for this long after it has been replaced.
constexpr duration shrinking_grace = milliseconds(3500);

} // namespace

void fleet_world::execute(order o)
{
    if (removed_ == removed_safeguard::restarts_in_token)
    {
        std::visit(
            [](auto& sent) {
                if constexpr (requires { sent.restarts; })
                {
                    sent.restarts = 0;
                }
            },
            o);
    }
    if (const auto* const start = std::get_if<start_order>(&o))
    {
        execute_start(*start, epoch_);
    }
    else if (const auto* const stop = std::get_if<stop_order>(&o))
    {
        execute_stop(*stop, epoch_);
    }
    else if (const auto* const poll = std::get_if<poll_order>(&o))
    {
        execute_poll(*poll, epoch_);
    }
}

void fleet_world::execute_start(const start_order& o, std::uint64_t epoch)
{
    const std::weak_ptr<scheduler> sender = leader_;
    const bool is_late =
        happens(faults_.restarts ? frequent_late_orders : late_orders);
    const bool is_response_lost = is_late || happens(lost_responses);
    const duration network_delay =
        is_late ? duration(milliseconds(2000 + random_() % 10000))
                : duration(milliseconds(1 + random_() % 30));
    const auto respond = [this, sender, o](const start_response& a) {
        if (const auto alive = sender.lock(); alive && alive == leader_)
        {
            alive->on_start_answer(o.worker, o.task, o.run, a, now_);
        }
    };
    const auto sent_incarnation = workers_.at(o.worker).entry.incarnation;
    schedule(network_delay, [this, o, epoch, sent_incarnation, is_late,
                             is_response_lost, respond] {
        auto& w = workers_.at(o.worker);
        if (is_disconnected(o.worker) ||
            (is_late && !faults_.starts_outlive_restarts &&
             w.entry.incarnation != sent_incarnation))
        {
            if (!is_response_lost)
            {
                respond(start_answer::unknown);
            }
            return;
        }
        const auto& s = step_of(o.task);
        const duration work = s.estimate * 3 / 4;
        const auto result =
            w.start(o, epoch, s.size, work, happens(failing_runs), now_);
        if (result.has_begun)
        {
            check_started_run(w, o);
        }
        if (!is_response_lost)
        {
            respond({result.response, w.clock(now_)});
        }
    });
    if (is_response_lost)
    {
        schedule(milliseconds(700),
                 [respond] { respond(start_answer::unknown); });
    }
}

void fleet_world::execute_stop(const stop_order& o, std::uint64_t epoch)
{
    const std::weak_ptr<scheduler> sender = leader_;
    const bool is_response_lost = happens(lost_responses);
    schedule(milliseconds(1 + random_() % 30), [=, this] {
        if (is_disconnected(o.worker) || !workers_.at(o.worker).stop(o, epoch))
        {
            return;
        }
        if (const auto alive = sender.lock();
            alive && alive == leader_ && !is_response_lost)
        {
            alive->on_stop_confirmed(o.worker, o.task, o.run, now_);
        }
    });
}

void fleet_world::execute_poll(const poll_order& o, std::uint64_t epoch)
{
    const std::weak_ptr<scheduler> sender = leader_;
    const auto sent_at = now_;
    const bool is_late = faults_.restarts && happens(frequent_late_orders);
    const bool has_response = !happens(lost_responses);
    if (!is_late)
    {
        schedule(milliseconds(1 + random_() % 30),
                 [=, this] { receive_poll(o, epoch, sent_at, has_response); });
        return;
    }
    schedule(milliseconds(400), [=, this] {
        if (const auto alive = sender.lock(); alive && alive == leader_)
        {
            alive->on_poll_failed(o.worker, now_);
        }
    });
    schedule(milliseconds(2000 + random_() % 10000), [=, this] {
        if (!is_disconnected(o.worker))
        {
            std::vector<ended_run> acknowledged;
            workers_.at(o.worker).poll(o, epoch, now_, acknowledged);
        }
    });
}

void fleet_world::receive_poll(const poll_order& o, std::uint64_t epoch,
                               time_point sent_at, bool has_response)
{
    // A leader that has been replaced does not learn of the response.
    const auto to = epoch == epoch_ ? leader_ : nullptr;
    if (is_disconnected(o.worker))
    {
        if (to)
        {
            to->on_poll_failed(o.worker, now_);
        }
        return;
    }
    auto& w = workers_.at(o.worker);
    std::vector<ended_run> acknowledged;
    const auto report = w.poll(o, epoch, now_, acknowledged);
    std::ranges::for_each(acknowledged, [this](const ended_run& end) {
        check_acknowledged(end);
    });
    if (!report)
    {
        if (to)
        {
            to->on_poll_refused(o.worker, now_);
        }
        return;
    }
    for (const auto& end : report->ended)
    {
        if (end.how == run_end::done)
        {
            done_on_worker_.insert(end.task);
        }
    }
    if (to && !has_response)
    {
        to->on_poll_failed(o.worker, now_);
    }
    else if (to)
    {
        to->on_report(o.worker, *report, sent_at, now_);
    }
}

void fleet_world::check_started_run(fake_worker& w, const start_order& o)
{
    const auto name = to_text(o.task);
    for (const auto& [id, other] : workers_)
    {
        if (id != w.entry.id && other.running().contains(o.task))
        {
            record_violation(name + " runs on two workers");
        }
    }
    if (done_and_acknowledged_.contains(o.task))
    {
        record_violation(name + " starts after its end was acknowledged");
    }
    if (failures_acknowledged_[o.task].size() >= max_attempts)
    {
        record_violation(name + " starts after its last attempt");
    }
    for (const auto before : step_of(o.task).after)
    {
        for (std::uint32_t i = 0;
             i < submitted_.at(o.task.job).steps[before].task_count; ++i)
        {
            if (!done_on_worker_.contains(
                    {o.task.job, o.task.occurrence, before, i}))
            {
                record_violation(name +
                                 " starts before an earlier step is done");
            }
        }
    }
    check_account(o);
    const auto used = w.used();
    const auto capacity = tolerated_capacity(w.entry.id);
    if (used.processor_millis > capacity.processor_millis ||
        used.memory_mb > capacity.memory_mb)
    {
        record_violation(w.entry.id.value() + " is over its capacity");
    }
}

void fleet_world::check_acknowledged(const ended_run& end)
{
    const auto progress = stored_progress(end.task.job);
    const job_progress::task_position position{end.task.occurrence,
                                               end.task.step, end.task.index};
    if (end.how == run_end::done)
    {
        done_and_acknowledged_.insert(end.task);
        const bool is_stored =
            is_final(progress.state) ||
            std::ranges::find(progress.done, position) != progress.done.end();
        if (!is_stored)
        {
            record_violation(to_text(end.task) +
                             " was acknowledged before it was stored");
        }
    }
    if (end.how == run_end::failed)
    {
        failures_acknowledged_[end.task].insert(end.run);
    }
}

task_size fleet_world::tolerated_capacity(const worker_id& id) const
{
    auto limit = workers_.at(id).entry.capacity;
    const auto found = earlier_capacities_.find(id);
    if (found == earlier_capacities_.end())
    {
        return limit;
    }
    for (const auto& earlier : found->second)
    {
        if (now_ - earlier.replaced_at < shrinking_grace)
        {
            limit.processor_millis = std::max(
                limit.processor_millis, earlier.capacity.processor_millis);
            limit.memory_mb =
                std::max(limit.memory_mb, earlier.capacity.memory_mb);
        }
    }
    return limit;
}

const step& fleet_world::step_of(const task_key& key) const
{
    return submitted_.at(key.job).steps[key.step];
}

} // namespace hemlockdeal::jobs::test
