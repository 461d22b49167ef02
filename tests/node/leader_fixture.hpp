// A leader over a store in memory and workers that respond at once.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "fake_store.hpp"

namespace hemlockdeal::node::test
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step_time = milliseconds(10);

// Workers that accept every start and report its end at the next poll, so that
// the leader always has changes to store.
struct busy_workers
{
    std::size_t starts = 0;
    std::vector<jobs::start_order> accepted;
    std::uint64_t ends = 0;
    // Workers follow a later leader.
    bool is_superseded = false;
    // Called before each start.
    std::function<void()> on_start = [] {};

    void start(const jobs::worker_entry&, const jobs::start_order& order,
               std::uint64_t,
               const std::function<void(jobs::start_answer)>& callback)
    {
        on_start();
        ++starts;
        accepted.push_back(order);
        callback(jobs::start_answer::accepted);
    }
    void stop(const jobs::worker_entry&, const jobs::stop_order&, std::uint64_t,
              const std::function<void(bool)>& callback)
    {
        callback(true);
    }
    void pace(const jobs::worker_entry&, const jobs::pace_order&, std::uint64_t,
              const std::function<void(bool)>& callback)
    {
        callback(true);
    }
    void poll(const jobs::worker_entry& worker, const jobs::poll_order&,
              std::uint64_t, const std::function<void(poll_response)>& callback)
    {
        jobs::worker_report report;
        report.incarnation = worker.incarnation;
        report.clock = jobs::worker_clock(1000);
        for (const auto& order : std::exchange(accepted, {}))
        {
            report.ended.push_back(
                {++ends, order.task, order.run, jobs::run_end::done, ""});
        }
        callback({report, is_superseded});
    }
    void advise(
        const jobs::advice_request&,
        const std::function<void(std::optional<jobs::advice_answer>)>& callback)
    {
        callback(std::nullopt);
    }
};

struct single_worker_list
{
    // Delivered with the next changes.
    std::optional<worker_change> next_change;
    // The feed's history is lost before the next changes.
    bool loses_history = false;
    bool entry_is_malformed = false;
    bool is_listed = true;
    std::size_t snapshots = 0;
    jobs::task_size capacity{16000, 64000, 0};

    static jobs::worker_entry entry()
    {
        jobs::worker_entry out;
        out.id = worker_id("w");
        out.service = service_id("s");
        out.zone = availability_zone_id("z");
        out.capacity = {16000, 64000, 0};
        out.incarnation = 1;
        return out;
    }
    jobs::worker_entry listed_entry() const
    {
        auto out = entry();
        out.capacity = capacity;
        return out;
    }
    void read_all(const std::function<void(worker_list_outcome)>& callback)
    {
        ++snapshots;
        worker_changes changes;
        changes.newest = row_version(1);
        changes.is_snapshot = true;
        if (is_listed)
        {
            changes.changes.push_back({entry().id,
                                       entry_is_malformed
                                           ? std::nullopt
                                           : std::optional(listed_entry()),
                                       entry_is_malformed});
        }
        callback(changes);
    }
    void read_changes(row_version after,
                      const std::function<void(worker_list_outcome)>& callback)
    {
        if (std::exchange(loses_history, false))
        {
            callback(history_lost{});
            return;
        }
        worker_changes changes;
        changes.newest = after;
        if (const auto change = std::exchange(next_change, std::nullopt))
        {
            changes.changes.push_back(*change);
        }
        callback(changes);
    }
};

class leader_role_test : public testing::Test
{
protected:
    using leader_type =
        leader_role<fake_store, busy_workers, single_worker_list>;

    leader_type make_leader(const std::string& name)
    {
        return {store,
                workers,
                list,
                {[this] { return clock.now; },
                 [this] {
                     return std::chrono::duration_cast<milliseconds>(
                         clock.now.time_since_epoch());
                 },
                 [this](duration delay, std::function<void()> call) {
                     clock.later(delay, std::move(call));
                 }},
                health,
                jobs::leadership(vm_id(name), 1, {}),
                {}};
    }

    // A job with many tasks, each of which ends at the next poll.
    void store_job()
    {
        jobs::job j;
        j.id = stored_job;
        j.policy.service = service_id("s");
        jobs::step s;
        s.task_count = 500;
        s.size = {1000, 100, 0};
        j.steps = {s};
        store.transact({inbox_part(j.id),
                        {},
                        {{inbox_table, j.id.value(), jobs::encode_job(j)}},
                        {}},
                       {}, [](const transaction_outcome&) {});
    }

    void put(const std::string& table, const std::string& part,
             const std::string& key, const std::string& value)
    {
        store.transact({part, {}, {{table, key, value}}, {}}, {},
                       [](const transaction_outcome&) {});
    }

    // Stores a job behind a page of other rows.
    void store_job_after_other_rows()
    {
        store_job();
        for (int i = 1000; i < 1600; ++i)
        {
            put(inbox_table, inbox_part(stored_job), '0' + std::to_string(i),
                "{}");
        }
    }

    void run_for(leader_type& d, duration time)
    {
        for (duration passed{}; passed < time; passed += step_time)
        {
            clock.advance(step_time);
            d.tick();
        }
    }

    // Stores a job and lets the leader start a part of its tasks.
    void start_some_tasks(leader_type& leader)
    {
        store_job();
        leader.set_services({{service_id("s"), {}}});
        run_for(leader, milliseconds(300));
        ASSERT_TRUE(leader.leads());
        ASSERT_GT(workers.starts, 0U);
        ASSERT_LT(workers.starts, 400U);
    }

    const job_id stored_job{"5c0e7a21d94b36f8"};
    test_clock clock;
    fake_store store;
    busy_workers workers;
    single_worker_list list;
    store_health health;
};

} // namespace hemlockdeal::node::test
