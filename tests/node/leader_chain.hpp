// A fleet with long-running tasks whose leaders are replaced in a row, by
// planned stops or without any.
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fake_store.hpp"

namespace hemlockdeal::node::test
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// A worker that honours leases and epochs.
struct leased_worker
{
    jobs::worker_entry entry;
    // Nothing runs on it any more.
    bool is_gone = false;
    // It responds to nothing, but its tasks run on until their leases end.
    bool is_cut_off = false;
    std::uint64_t epoch = 0;
    jobs::worker_clock lease_end{};
    std::map<jobs::task_key, jobs::running_task> runs;

    bool responds() const { return !is_gone && !is_cut_off; }
};

// Delivers orders to the workers, and counts tasks that run in two places.
class leased_fleet
{
public:
    explicit leased_fleet(const test_clock& clock) : clock_(clock) {}

    std::map<worker_id, leased_worker> workers;
    std::size_t double_runs = 0;

    void start(const jobs::worker_entry& to, const jobs::start_order& order,
               std::uint64_t epoch,
               const std::function<void(jobs::start_answer)>& callback)
    {
        auto& worker = workers.at(to.id);
        if (!worker.responds())
        {
            callback(jobs::start_answer::unknown);
            return;
        }
        if (epoch < worker.epoch)
        {
            callback(jobs::start_answer::superseded);
            return;
        }
        double_runs += runs_somewhere(order.task) ? 1 : 0;
        follow(worker, epoch, order.deadline);
        worker.runs[order.task] = {order.task, order.run, "", 100, -1};
        callback(jobs::start_answer::accepted);
    }

    void stop(const jobs::worker_entry& to, const jobs::stop_order& order,
              std::uint64_t, const std::function<void(bool)>& callback)
    {
        auto& worker = workers.at(to.id);
        if (worker.responds())
        {
            worker.runs.erase(order.task);
        }
        callback(worker.responds());
    }

    void pace(const jobs::worker_entry&, const jobs::pace_order&, std::uint64_t,
              const std::function<void(bool)>& callback)
    {
        callback(true);
    }

    void poll(const jobs::worker_entry& to, const jobs::poll_order& order,
              std::uint64_t epoch,
              const std::function<void(poll_response)>& callback)
    {
        auto& worker = workers.at(to.id);
        if (!worker.responds())
        {
            callback({});
            return;
        }
        if (epoch < worker.epoch)
        {
            callback({std::nullopt, true});
            return;
        }
        follow(worker, epoch, order.deadline);
        jobs::worker_report report;
        report.incarnation = worker.entry.incarnation;
        report.clock = worker_now();
        for (const auto& [key, run] : worker.runs)
        {
            report.running.push_back(run);
        }
        callback({report, false});
    }

    void advise(
        const jobs::advice_request&,
        const std::function<void(std::optional<jobs::advice_answer>)>& callback)
    {
        callback(std::nullopt);
    }

    // Ends the runs whose leases have ended.
    void expire_leases()
    {
        for (auto& [id, worker] : workers)
        {
            if (worker.is_gone || worker_now() > worker.lease_end)
            {
                worker.runs.clear();
            }
        }
    }

    bool runs_somewhere(const jobs::task_key& key) const
    {
        return std::ranges::any_of(workers, [&](const auto& entry) {
            return entry.second.runs.contains(key);
        });
    }

private:
    jobs::worker_clock worker_now() const
    {
        return std::chrono::duration_cast<jobs::worker_clock>(
            clock_.now.time_since_epoch());
    }

    void follow(leased_worker& worker, std::uint64_t epoch,
                std::optional<jobs::worker_clock> deadline) const
    {
        worker.epoch = epoch;
        worker.lease_end =
            std::max(worker.lease_end, deadline.value_or(worker.lease_end));
    }

    const test_clock& clock_;
};

// Lists the workers of a fleet, without those that have been gone for long.
// Versions number the removals.
class fleet_list
{
public:
    fleet_list(const leased_fleet& fleet, const test_clock& clock)
        : fleet_(fleet), clock_(clock)
    {}

    void read_all(const std::function<void(worker_list_outcome)>& callback)
    {
        worker_changes changes;
        changes.newest = newest();
        changes.is_snapshot = true;
        for (const auto& [id, worker] : fleet_.workers)
        {
            if (std::ranges::find(removed_, id) == removed_.end())
            {
                changes.changes.push_back({id, worker.entry, false});
            }
        }
        callback(changes);
    }

    void read_changes(row_version after,
                      const std::function<void(worker_list_outcome)>& callback)
    {
        worker_changes changes;
        for (auto i = after.value() - 1; i < removed_.size(); ++i)
        {
            changes.changes.push_back({removed_[i], std::nullopt, false});
        }
        changes.newest = newest();
        callback(changes);
    }

    void remove_gone_workers()
    {
        for (const auto& [id, worker] : fleet_.workers)
        {
            if (!worker.is_gone)
            {
                continue;
            }
            const auto since = gone_since_.try_emplace(id, clock_.now).first;
            if (clock_.now - since->second >= entry_time &&
                std::ranges::find(removed_, id) == removed_.end())
            {
                removed_.push_back(id);
            }
        }
    }

private:
    // Three heartbeats.
    static constexpr duration entry_time = milliseconds(4500);

    row_version newest() const { return row_version(removed_.size() + 1); }

    const leased_fleet& fleet_;
    const test_clock& clock_;
    std::map<worker_id, time_point> gone_since_;
    std::vector<worker_id> removed_;
};

// Invariant: one VM follows, so that the lead can pass to it.
class leader_chain
{
public:
    static constexpr duration tick_time = milliseconds(10);
    static constexpr std::size_t worker_count = 8;
    static constexpr std::uint32_t task_count = 16;

    // Starts all tasks.
    leader_chain() : fleet(clock), list_(fleet, clock)
    {
        store.now = [this] {
            return store_time(std::chrono::duration_cast<milliseconds>(
                clock.now.time_since_epoch()));
        };
        for (std::size_t i = 0; i < worker_count; ++i)
        {
            add_worker("worker-" + std::to_string(i));
        }
        store_job();
        leader_ = make_vm();
        run_until([this] { return leader_->leads(); });
        follower_ = make_vm();
        advance(seconds(3));
        longest_absence = {};
    }

    // The worker with the most tasks.
    leased_worker& busiest_worker()
    {
        return std::ranges::max_element(
                   fleet.workers, {},
                   [](const auto& entry) { return entry.second.runs.size(); })
            ->second;
    }

    // Stops the leading VM in a planned way. The next one leads afterwards.
    void stop_leader()
    {
        leader_->step_down();
        stopping_.push_back(std::move(leader_));
        replace_leader();
    }

    // Stops the leading VM in a planned way, and the next one before it has
    // read the store. A third one leads afterwards.
    void stop_leader_in_recovery()
    {
        store.unreadable_tables = {progress_table};
        leader_->step_down();
        stopping_.push_back(std::move(leader_));
        leader_ = std::exchange(follower_, make_vm());
        run_until([this] { return !lead_is_free(); });
        store.unreadable_tables.clear();
        leader_->step_down();
        stopping_.push_back(std::move(leader_));
        replace_leader();
    }

    // The leading VM stops for good without releasing its lead.
    void kill_leader()
    {
        // Timers of the test clock may still name it.
        killed_.push_back(std::move(leader_));
        replace_leader();
    }

    void advance(duration time)
    {
        const auto end = clock.now + time;
        while (clock.now < end)
        {
            tick();
        }
    }

    bool all_tasks_run() const
    {
        return std::ranges::all_of(tasks(), [this](const jobs::task_key& key) {
            return fleet.runs_somewhere(key);
        });
    }

    test_clock clock;
    leased_fleet fleet;
    fake_store store;
    // Longest time for which a task ran nowhere, after all had been started.
    duration longest_absence{};

private:
    using vm = leader_role<fake_store, leased_fleet, fleet_list>;

    void add_worker(const std::string& name)
    {
        leased_worker worker;
        worker.entry.id = worker_id(name);
        worker.entry.service = service_id("s");
        worker.entry.zone = availability_zone_id("z");
        worker.entry.vm = vm_id("vm-of-" + name);
        worker.entry.capacity = {16000, 64000, 0};
        worker.entry.incarnation = 1;
        fleet.workers.emplace(worker.entry.id, worker);
    }

    void store_job()
    {
        jobs::job j;
        j.id = job_;
        j.policy.service = service_id("s");
        jobs::step s;
        s.task_count = task_count;
        s.size = {1000, 100, 0};
        s.is_long_running = true;
        j.steps = {s};
        store.transact({inbox_part(j.id),
                        {},
                        {{inbox_table, j.id.value(), jobs::encode_job(j)}},
                        {}},
                       {}, [](const transaction_outcome&) {});
    }

    std::unique_ptr<vm> make_vm()
    {
        vm::clocks clocks{[this] { return clock.now; },
                          [this] {
                              return std::chrono::duration_cast<milliseconds>(
                                  clock.now.time_since_epoch());
                          },
                          [this](duration delay, std::function<void()> call) {
                              clock.later(delay, std::move(call));
                          }};
        const auto number = ++vm_count_;
        auto out = std::make_unique<vm>(
            store, fleet, list_, std::move(clocks), health_,
            jobs::leadership(vm_id("vm-" + std::to_string(number)), number, {}),
            leader_options{});
        out->set_services({{service_id("s"), {}}});
        return out;
    }

    void replace_leader()
    {
        leader_ = std::exchange(follower_, nullptr);
        run_until([this] { return leader_->leads(); });
        follower_ = make_vm();
    }

    bool lead_is_free() const
    {
        const auto& row = store.rows().at(
            fake_store::row_path(lease_table, lead_part, lease_key));
        return decode_lease_row(row)->is_released;
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const auto limit = clock.now + seconds(5);
        while (!condition() && clock.now < limit)
        {
            tick();
        }
    }

    void tick()
    {
        clock.advance(tick_time);
        for (const auto& stopping : stopping_)
        {
            stopping->tick();
        }
        leader_->tick();
        if (follower_)
        {
            follower_->tick();
        }
        fleet.expire_leases();
        list_.remove_gone_workers();
        observe_absences();
    }

    void observe_absences()
    {
        for (const auto& key : tasks())
        {
            auto& seen = last_run_.try_emplace(key, clock.now).first->second;
            if (fleet.runs_somewhere(key))
            {
                seen = clock.now;
            }
            longest_absence = std::max(longest_absence, clock.now - seen);
        }
    }

    std::vector<jobs::task_key> tasks() const
    {
        std::vector<jobs::task_key> out;
        for (std::uint32_t i = 0; i < task_count; ++i)
        {
            out.push_back({job_, 0, 0, i});
        }
        return out;
    }

    const job_id job_{"5c0e7a21d94b36f8"};
    fleet_list list_;
    store_health health_;
    std::uint64_t vm_count_ = 0;
    std::unique_ptr<vm> leader_;
    std::unique_ptr<vm> follower_;
    std::vector<std::unique_ptr<vm>> stopping_;
    std::vector<std::unique_ptr<vm>> killed_;
    std::map<jobs::task_key, time_point> last_run_;
};

} // namespace hemlockdeal::node::test
