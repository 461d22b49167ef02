// Resource accounting and clock estimation for one worker.
#include "jobs/fleet_worker.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

constexpr duration slowness_decay_time = std::chrono::seconds(6);
constexpr double slow_threshold = 2.5;
constexpr duration lease_expiry_margin = std::chrono::milliseconds(100);

// A slowed task counts with at least this share of its demand, since it is
// expected to return to full pace soon.
constexpr int min_demand_percent = 25;
constexpr int slowed_below_percent = 60;
// Fill tasks that want more than this multiple of the unused processors may
// seem to stall.
constexpr double overcommitment_limit = 2.0;

std::int64_t demand_at_pace(const run_record& run)
{
    return run.size.processor_millis * std::max(run.pace, min_demand_percent) /
           100;
}

} // namespace

double worker_health::slowness_at(time_point now) const
{
    // Fast path: holds for nearly all workers, and this function is called
    // several times for each.
    if (slowness == 1.0)
    {
        return slowness;
    }
    const double decayed =
        std::chrono::duration<double>(now - slowness_seen_at) /
        std::chrono::duration<double>(slowness_decay_time);
    return 1.0 + (slowness - 1.0) * std::max(0.0, 1.0 - decayed);
}

bool worker_health::is_slow(time_point now) const
{
    return slowness_at(now) > slow_threshold;
}

image_hash to_image_hash(const std::string& name)
{
    return image_hash(stable_hash(name));
}

time_point latest_end(const given_up_start& start,
                      const scheduler_options& options)
{
    return start.ordered_at + options.max_order_delay +
           longest_granted_lease(options);
}

void note_found(fleet_worker& worker, const task_key& key,
                const run_record& run)
{
    if (run.orders == 1)
    {
        worker.unanswered.on_run_found(key, run.run);
    }
}

run_record make_run(const step& s, std::uint32_t run, time_point now)
{
    run_record record;
    record.run = run;
    record.size = s.size;
    record.fills = s.fills;
    record.is_long_running = s.is_long_running;
    record.saves_progress = s.saves_progress;
    record.image = to_image_hash(s.image);
    record.estimate = s.estimate;
    record.tail_target = s.tail_target;
    record.ordered_at = now;
    record.progressed_at = now;
    record.changed_at = now;
    return record;
}

run_record make_run(const job& owner, const step& s, std::uint32_t run,
                    time_point now)
{
    auto record = make_run(s, run, now);
    if (owner.account)
    {
        record.account = owner.account->id;
    }
    return record;
}

bool is_over_target(const run_record& run)
{
    return run.is_serving() &&
           std::chrono::milliseconds(run.measurement) > run.tail_target;
}

fleet_worker::fleet_worker(worker_entry e, account_ledger* account_usage)
    : entry(std::move(e)), account_usage_(account_usage)
{}

bool fleet_worker::is_reachable(time_point now, duration limit) const
{
    if (!contact_at || failed_polls > 0 || has_restarted)
    {
        return false;
    }
    // A worker without runs is not polled, so the age of its last response says
    // nothing. A poll that stays unanswered shows that the worker is silent.
    return !poll_sent_at || now - *poll_sent_at < limit;
}

run_record* fleet_worker::find_run(const task_key& key)
{
    const auto found = runs_.find(key);
    return found == runs_.end() ? nullptr : &found->second;
}

run_record& fleet_worker::add_run(const task_key& key, const run_record& run)
{
    erase_run(key);
    account(run, 1);
    return runs_.emplace(key, run).first->second;
}

void fleet_worker::erase_run(const task_key& key)
{
    const auto found = runs_.find(key);
    if (found == runs_.end())
    {
        return;
    }
    account(found->second, -1);
    has_freed_capacity_ = true;
    runs_.erase(found);
}

std::size_t fleet_worker::runs_of_step(const task_key& key) const
{
    const auto first =
        runs_.lower_bound({key.job, key.occurrence, key.step, 0});
    const auto last =
        runs_.lower_bound({key.job, key.occurrence, key.step + 1, 0});
    return static_cast<std::size_t>(std::distance(first, last));
}

void fleet_worker::set_pace(run_record& run, int percent, time_point now)
{
    fill_demand_ -= run.fills ? demand_at_pace(run) : 0;
    run.pace = percent;
    run.is_adopted = false;
    fill_demand_ += run.fills ? demand_at_pace(run) : 0;
    cached_pressures.is_stale = true;
    has_freed_capacity_ = true;
    run.progressed_at = now;
    run.changed_at = now;
    if (percent >= slowed_below_percent)
    {
        run.slowed_since.reset();
    }
    else if (!run.slowed_since)
    {
        run.slowed_since = now;
    }
}

void fleet_worker::end_trial(run_record& run)
{
    trial_count_ -= run.is_trial ? 1 : 0;
    run.is_trial = false;
    has_freed_capacity_ = true;
}

double fleet_worker::expected_unused_processors(double serving_use) const
{
    const auto others = used_.processor_millis - serving_reserved_;
    return static_cast<double>(entry.capacity.processor_millis - others) -
           serving_use * static_cast<double>(serving_reserved_);
}

bool fleet_worker::is_overcommitted(double serving_use) const
{
    if (used_.processor_millis > entry.capacity.processor_millis)
    {
        return true;
    }
    return static_cast<double>(fill_demand_) >
           overcommitment_limit * expected_unused_processors(serving_use);
}

void fleet_worker::on_capacity_changed(time_point now)
{
    full_until = {};
    for (auto& [key, run] : runs_)
    {
        run.progressed_at = now;
    }
}

void fleet_worker::account(const run_record& run, int sign)
{
    cached_pressures.is_stale = true;
    if (account_usage_ != nullptr && sign > 0)
    {
        account_usage_->add(run.account, run.size);
    }
    else if (account_usage_ != nullptr)
    {
        account_usage_->remove(run.account, run.size);
    }
    used_.processor_millis += run.fills ? 0 : sign * run.size.processor_millis;
    used_.memory_mb += sign * run.size.memory_mb;
    used_.accelerators += sign * run.size.accelerators;
    fill_demand_ += run.fills ? sign * demand_at_pace(run) : 0;
    serving_reserved_ +=
        run.is_serving() ? sign * run.size.processor_millis : 0;
    const auto step = static_cast<std::size_t>(sign);
    serving_count_ += run.is_serving() ? step : 0;
    if (run.fills && sign > 0 && fill_count_ == 0)
    {
        fills_since_ = run.is_adopted ? time_point{} : run.ordered_at;
    }
    fill_count_ += run.fills ? step : 0;
    trial_count_ += run.is_trial ? step : 0;
    unknown_size_count_ += run.has_unknown_size ? step : 0;
}

void fleet_worker::note_clock(worker_clock clock, time_point received)
{
    clock_known_ = true;
    clock_ = clock;
    clock_read_at_ = received;
}

worker_clock fleet_worker::clock_at(time_point now) const
{
    return clock_ +
           std::chrono::duration_cast<worker_clock>(now - clock_read_at_);
}

worker_clock fleet_worker::least_clock_at(time_point now,
                                          double clock_error) const
{
    if (!clock_known_)
    {
        return {};
    }
    const auto passed = std::chrono::duration_cast<worker_clock>(
        (now - clock_read_at_) * (1.0 - clock_error));
    // The worker truncates its clock to whole milliseconds.
    return clock_ + passed - worker_clock(1);
}

void fleet_worker::note_restart(std::uint32_t restarts, time_point leases_end)
{
    restarts_ = restarts;
    accepts_earlier_orders_ = true;
    earlier_leases_end_ = std::max(earlier_leases_end_, leases_end);
}

void fleet_worker::on_order_executed(std::uint32_t restarts,
                                     time_point leases_end)
{
    if (accepts_earlier_orders_ && restarts == restarts_)
    {
        accepts_earlier_orders_ = false;
        earlier_leases_end_ = leases_end;
    }
}

void fleet_worker::note_deadline(worker_clock deadline)
{
    latest_deadline_ = std::max(latest_deadline_, deadline);
}

time_point fleet_worker::leases_expire_at(double clock_error) const
{
    const auto left =
        std::chrono::duration_cast<duration>(latest_deadline_ - clock_);
    const auto slowest =
        std::chrono::duration_cast<duration>(left / (1.0 - clock_error));
    return std::max(clock_read_at_ + slowest + lease_expiry_margin,
                    earlier_leases_end_);
}

std::uint64_t fleet_worker::acknowledgeable_ends(time_point now)
{
    std::erase_if(held_ends,
                  [now](const auto& held) { return held.second <= now; });
    return held_ends.empty()
               ? stored_ends
               : std::min(stored_ends, held_ends.begin()->first - 1);
}

void fleet_worker::restart(worker_incarnation incarnation)
{
    entry.incarnation = incarnation;
    while (!runs_.empty())
    {
        erase_run(task_key(runs_.begin()->first));
    }
    health = {};
    taken_ends = 0;
    held_ends.clear();
    sent_to_store = 0;
    stored_ends = 0;
    acknowledged_ends = 0;
    acknowledging = 0;
    clock_known_ = false;
    latest_deadline_ = {};
    earlier_leases_end_ = {};
    failed_polls = 0;
    unreadable_runs = 0;
    unreadable_ends = 0;
    has_more_ends = false;
}

} // namespace hemlockdeal::jobs
