// Delivery of the leader's orders and of the workers' responses in the crash
// simulation.
#include <algorithm>
#include <utility>

#include "emulation/crash_simulation.hpp"

namespace hemlockdeal::emulation
{

using jobs::start_answer;
using jobs::task_key;
using std::chrono::milliseconds;

namespace
{

constexpr duration one_way_time = milliseconds(3);
// A call without a response fails after this time, beyond its own wait.
constexpr duration call_timeout = milliseconds(400);
// The kill of a leader that has just ordered a start comes within this time.
constexpr int max_kill_delay_ms = 30;
// A crashing task has at least this much work left when it crashes its worker.
constexpr duration min_work_after_crash = milliseconds(100);

} // namespace

void crash_simulation::respond(const std::weak_ptr<jobs::scheduler>& sender,
                               duration delay,
                               std::function<void(jobs::scheduler&)> call)
{
    schedule(delay, [this, sender, call = std::move(call)] {
        if (const auto alive = sender.lock(); alive && alive == leader_)
        {
            call(*alive);
        }
    });
}

void crash_simulation::execute(const jobs::start_order& order)
{
    schedule(one_way_time,
             [this, order, epoch = epoch_, sender = std::weak_ptr(leader_)] {
                 receive_start(order, epoch, sender);
             });
}

void crash_simulation::receive_start(
    const jobs::start_order& order, std::uint64_t epoch,
    const std::weak_ptr<jobs::scheduler>& sender)
{
    auto& worker = workers_.at(order.worker);
    const auto answer = [&](start_answer response, duration delay) {
        respond(sender, delay, [this, order, response](auto& leader) {
            leader.on_start_answer(order.worker, order.task, order.run,
                                   response, now_);
        });
    };
    if (!worker.is_up || is_cut_off(order.worker))
    {
        const bool is_reset = !worker.is_up && !worker.is_silent;
        ledger_.on_start_lost(order.task,
                              worker.is_up ? partitions_.at(order.worker).since
                                           : worker.crashed_at,
                              now_);
        answer(start_answer::unknown, is_reset ? one_way_time : call_timeout);
        return;
    }
    const auto& task_step =
        jobs_.at(order.task.job).definition.steps[order.task.step];
    const auto result = worker.start(order, epoch, task_step,
                                     work_of(order.task, task_step), now_);
    if (result.has_begun)
    {
        ledger_.on_started(order.task, order.worker, now_);
        plan_crash(order);
        kill_leader_after(order);
    }
    answer(result.response, one_way_time);
}

duration crash_simulation::work_of(const task_key& task,
                                   const jobs::step& task_step) const
{
    const auto work = crash_workload::work_of(task, task_step);
    // A crashing task must not end before its crash: its job would rightly be
    // completed.
    return jobs_.at(task.job).crashing.contains(task)
               ? std::max(work, options_.crash_delay + min_work_after_crash)
               : work;
}

void crash_simulation::plan_crash(const jobs::start_order& order)
{
    if (!jobs_.at(order.task.job).crashing.contains(order.task))
    {
        return;
    }
    schedule(options_.crash_delay, [this, order] {
        const auto& running = workers_.at(order.worker).running();
        const auto found = running.find(order.task);
        auto* const vm = vm_of(order.worker);
        if (vm != nullptr && found != running.end() &&
            found->second.run == order.run)
        {
            crash_worker(*vm, draw_return(), order.task);
        }
    });
}

void crash_simulation::kill_leader_after(const jobs::start_order& order)
{
    if (kills_after_order_ >= options_.leader_kills_after_order ||
        !jobs_.at(order.task.job).crashing.contains(order.task))
    {
        return;
    }
    ++kills_after_order_;
    schedule(milliseconds(random_() % max_kill_delay_ms),
             [this] { kill_leader(); });
}

void crash_simulation::execute(const jobs::stop_order& order)
{
    schedule(one_way_time, [this, order, epoch = epoch_,
                            sender = std::weak_ptr(leader_)] {
        auto& worker = workers_.at(order.worker);
        if (!worker.is_up || is_cut_off(order.worker) ||
            !worker.stop(order, epoch, now_))
        {
            return;
        }
        respond(sender, one_way_time, [this, order](auto& leader) {
            leader.on_stop_confirmed(order.worker, order.task, order.run, now_);
        });
    });
}

void crash_simulation::execute(const jobs::poll_order& order)
{
    polls_.push_back({order, epoch_, leader_,
                      workers_.at(order.worker).entry.incarnation, now_,
                      false});
}

bool crash_simulation::advance_poll(open_poll& poll)
{
    if (now_ - poll.sent_at < one_way_time)
    {
        return false;
    }
    auto& worker = workers_.at(poll.order.worker);
    const bool is_lost = !worker.is_up || is_cut_off(poll.order.worker) ||
                         worker.entry.incarnation != poll.incarnation;
    if (is_lost)
    {
        return fail_poll(poll);
    }
    if (!poll.is_received && !worker.receive(poll.order, poll.epoch, now_))
    {
        return true;
    }
    poll.is_received = true;
    if (now_ - poll.sent_at < poll.order.wait && !worker.has_ended())
    {
        return false;
    }
    respond(poll.sender, one_way_time,
            [this, report = worker.report(now_), id = poll.order.worker,
             sent_at = poll.sent_at](auto& leader) {
                leader.on_report(id, report, sent_at, now_);
            });
    return true;
}

bool crash_simulation::fail_poll(const open_poll& poll)
{
    const auto& worker = workers_.at(poll.order.worker);
    const bool is_reset =
        worker.entry.incarnation != poll.incarnation ||
        (!worker.is_up && !worker.is_silent && !is_cut_off(worker.entry.id));
    if (!is_reset && now_ - poll.sent_at < poll.order.wait + call_timeout)
    {
        return false;
    }
    respond(poll.sender, one_way_time,
            [this, id = worker.entry.id](auto& leader) {
                leader.on_poll_failed(id, now_);
            });
    return true;
}

} // namespace hemlockdeal::emulation
