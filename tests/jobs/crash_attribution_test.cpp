// Guards against tasks that crash one worker after another, and against sound
// jobs that are given up because they ran beside such a task.
#include <algorithm>
#include <map>
#include <set>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int worker_count = 6;
// Time from the crash of a worker to the start of the next one on its VM.
constexpr duration restart_time = milliseconds(3300);
constexpr duration crash_delay = milliseconds(10);

class crash_attribution_test : public testing::Test
{
protected:
    crash_attribution_test() { start_leader(1); }

    void start_leader(std::uint64_t epoch)
    {
        leader = std::make_unique<scheduler>(scheduler_options{}, epoch);
        leader->set_services({{service_id("s"), {}}});
        for (const auto& [id, definition] : submitted)
        {
            const auto row = progress_rows.find(id);
            leader->recover_job(definition, row == progress_rows.end()
                                                ? std::nullopt
                                                : decode_progress(row->second));
        }
        for (const auto& [number, workers] : fleet_rows)
        {
            leader->recover_fleet(workers);
        }
        for (const auto& [id, entry] : listed)
        {
            leader->set_worker(entry, now);
        }
        leader->begin(now, true);
    }

    void add_worker(const std::string& name, const std::string& vm)
    {
        worker_entry e;
        e.id = worker_id(name);
        e.service = service_id("s");
        e.vm = vm_id(vm);
        e.zone = availability_zone_id("z");
        e.labels = {"rack-" + vm};
        e.capacity = {8000, 64000, 0};
        e.incarnation = 1;
        listed[e.id] = e;
        leader->set_worker(e, now);
    }

    void add_workers()
    {
        for (int i = 0; i < worker_count; ++i)
        {
            add_worker("w" + std::to_string(i), "vm-" + std::to_string(i));
        }
    }

    void add_job(const std::string& name, std::uint32_t tasks = 1,
                 bool is_long_running = false)
    {
        step s;
        s.task_count = tasks;
        s.size = {1000, 1000, 0};
        s.estimate = seconds(20);
        s.is_long_running = is_long_running;
        job j;
        j.id = job_id(name);
        j.policy.service = service_id("s");
        j.policy.max_attempts = 2;
        j.steps = {s};
        submitted[j.id] = j;
        leader->add_job(j);
    }

    void crash(const worker_id& id)
    {
        const auto vm = listed.at(id).vm;
        running[id].clear();
        crashed.insert(id);
        if (polls_in_progress.contains(id))
        {
            polls_in_progress.erase(id);
            leader->on_poll_failed(id, now);
        }
        restarts.emplace_back(now + restart_time, id);
    }

    void restart_crashed_workers()
    {
        const auto is_due = [&](const auto& entry) {
            return entry.first <= now;
        };
        std::vector<std::pair<time_point, worker_id>> due;
        std::ranges::copy_if(restarts, std::back_inserter(due), is_due);
        std::erase_if(restarts, is_due);
        for (const auto& [at, id] : due)
        {
            const auto vm = listed.at(id).vm;
            listed.erase(id);
            leader->remove_worker(id, now);
            if (returns)
            {
                add_worker(id.value() + "'", vm.value());
            }
        }
    }

    void simulate(duration time)
    {
        const auto end = now + time;
        while (now < end)
        {
            now += crash_delay;
            restart_crashed_workers();
            crash_workers();
            answer_polls();
            for (const auto& o : leader->decide(now, milliseconds(0), {}))
            {
                respond(o);
            }
            if (leader->has_changes())
            {
                const auto changes = leader->take_changes();
                for (const auto& [id, text] : changes.jobs)
                {
                    progress_rows[id] = text;
                }
                for (const auto& part : changes.fleet)
                {
                    fleet_rows[part.number] =
                        *decode_fleet(encode_fleet(part.workers));
                }
                leader->on_changes_stored(now);
            }
        }
    }

    void crash_workers()
    {
        std::vector<worker_id> due;
        for (const auto& [id, tasks] : running)
        {
            const bool is_crashed =
                std::ranges::any_of(tasks, [&](const running_task& task) {
                    return crashing.contains(task.task.job) &&
                           now - started_at[{task.task, task.run}] >=
                               crashing[task.task.job];
                });
            if (is_crashed)
            {
                due.push_back(id);
            }
        }
        std::ranges::for_each(due, [&](const worker_id& id) { crash(id); });
    }

    void answer_polls()
    {
        for (const auto& [id, until] : std::exchange(polls_in_progress, {}))
        {
            if (until > now)
            {
                polls_in_progress[id] = until;
                continue;
            }
            jobs::worker_report report;
            report.clock = std::chrono::duration_cast<worker_clock>(
                now.time_since_epoch());
            report.incarnation = 1;
            report.running = running[id];
            report.ended = ended[id];
            for (auto& run : report.running)
            {
                run.percent = percent_of(run);
            }
            leader->on_report(id, report, now - milliseconds(1), now);
        }
    }

    int percent_of(const running_task& run) const
    {
        if (submitted.at(run.task.job).steps.front().is_long_running)
        {
            return 100;
        }
        constexpr duration time_per_percent = milliseconds(500);
        const auto age = now - started_at.at({run.task, run.run});
        return static_cast<int>(age / time_per_percent);
    }

    void respond(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            if (!is_responsive(start->worker))
            {
                leader->on_start_answer(start->worker, start->task, start->run,
                                        start_answer::unknown, now);
                return;
            }
            ++starts[start->task.job];
            running[start->worker].push_back(
                {start->task, start->run, "", 50, -1});
            started_at[{start->task, start->run}] = now;
            leader->on_start_answer(start->worker, start->task, start->run,
                                    start_answer::accepted, now);
        }
        if (const auto* const stop = std::get_if<stop_order>(&o))
        {
            std::erase_if(running[stop->worker], [&](const running_task& run) {
                return run.task == stop->task;
            });
        }
        if (const auto* const poll = std::get_if<poll_order>(&o))
        {
            if (!is_responsive(poll->worker))
            {
                leader->on_poll_failed(poll->worker, now);
                return;
            }
            polls_in_progress[poll->worker] = now + poll->wait;
        }
    }

    bool is_responsive(const worker_id& id) const
    {
        return !crashed.contains(id) && !silent.contains(id);
    }

    std::optional<job_state> state_of(const std::string& name) const
    {
        const auto& over = leader->registry().over();
        const auto found = over.find(job_id(name));
        return found == over.end() ? std::nullopt
                                   : std::optional(found->second);
    }

    worker_id worker_of(const std::string& job) const
    {
        for (const auto& [id, tasks] : running)
        {
            if (std::ranges::any_of(tasks, [&](const running_task& task) {
                    return task.task.job == job_id(job);
                }))
            {
                return id;
            }
        }
        return {};
    }

    time_point now{seconds(1000)};
    std::unique_ptr<scheduler> leader;
    std::map<job_id, job> submitted;
    std::map<worker_id, worker_entry> listed;
    std::map<worker_id, std::vector<running_task>> running;
    std::map<std::pair<task_key, std::uint32_t>, time_point> started_at;
    std::map<worker_id, time_point> polls_in_progress;
    std::vector<std::pair<time_point, worker_id>> restarts;
    std::set<worker_id> crashed;
    std::set<worker_id> silent;
    std::map<worker_id, std::vector<ended_run>> ended;
    std::uint64_t end_number = 0;
    // The VMs of crashed workers run new ones.
    bool returns = true;
    std::map<job_id, int> starts;
    // Jobs whose tasks crash their worker, and how long after the start.
    std::map<job_id, duration> crashing;
    std::map<job_id, std::string> progress_rows;
    std::map<std::uint32_t, std::vector<fleet_record>> fleet_rows;
};

} // namespace

// Failure: a task that crashes each worker that starts it is started for ever.
TEST_F(crash_attribution_test, task_that_crashes_its_workers_is_given_up)
{
    add_workers();
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    simulate(seconds(30));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_EQ(starts[job_id("bad")], 2);
}

// Failure: the same for a lasting task, which has no limit of attempts.
TEST_F(crash_attribution_test, lasting_task_that_crashes_workers_is_given_up)
{
    add_workers();
    crashing[job_id("bad")] = crash_delay;
    add_job("bad", 1, true);
    simulate(seconds(30));
    EXPECT_EQ(state_of("bad"), job_state::failed);
}

// Failure: only crashes during the start-up of a task are recognised.
TEST_F(crash_attribution_test, task_that_crashes_workers_later_is_given_up)
{
    add_workers();
    crashing[job_id("bad")] = seconds(3);
    add_job("bad");
    simulate(seconds(60));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    // Two starts after the third crash are allowed.
    EXPECT_LE(starts[job_id("bad")], 5);
}

// Failure: jobs whose tasks started beside the one that crashed the worker are
// given up, or lasting tasks beside it.
TEST_F(crash_attribution_test, tasks_beside_a_crashing_one_are_not_given_up)
{
    add_workers();
    add_job("lasting", worker_count, true);
    simulate(seconds(2));
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    for (int i = 0; i < 4; ++i)
    {
        add_job("sound-" + std::to_string(i), worker_count);
    }
    simulate(seconds(30));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_LE(starts[job_id("bad")], 4);
    EXPECT_EQ(state_of("lasting"), std::nullopt);
    for (int i = 0; i < 4; ++i)
    {
        EXPECT_EQ(state_of("sound-" + std::to_string(i)), std::nullopt);
    }
}

// Failure: two suspects are tried on one worker, so that its next crash proves
// nothing, or something is started beside a suspect.
TEST_F(crash_attribution_test, suspects_are_tried_alone)
{
    add_worker("first", "vm-first");
    add_job("a");
    add_job("b");
    simulate(milliseconds(100));
    ASSERT_EQ(worker_of("a"), worker_of("b"));
    add_workers();
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(300));
    ASSERT_NE(worker_of("a"), worker_id());
    ASSERT_NE(worker_of("b"), worker_id());
    EXPECT_NE(worker_of("a"), worker_of("b"));
    add_job("c", worker_count);
    simulate(milliseconds(200));
    EXPECT_THAT(running[worker_of("a")], testing::SizeIs(1));
    EXPECT_THAT(running[worker_of("b")], testing::SizeIs(1));
    // Both outlive the crash, and their workers take tasks again.
    simulate(seconds(3));
    add_job("d", 4 * worker_count);
    simulate(milliseconds(200));
    EXPECT_GT(running[worker_of("a")].size(), 1U);
    EXPECT_GT(running[worker_of("b")].size(), 1U);
}

// Failure: a crash counts although the task has outlived the next start.
TEST_F(crash_attribution_test, a_run_that_lasts_clears_its_task)
{
    add_workers();
    add_job("a");
    simulate(milliseconds(100));
    for (int i = 0; i < 4; ++i)
    {
        crash(worker_of("a"));
        simulate(restart_time + seconds(20));
        ASSERT_NE(worker_of("a"), worker_id());
    }
    EXPECT_EQ(state_of("a"), std::nullopt);
}

// Failure: a takeover between two crashes lets the task crash more workers.
TEST_F(crash_attribution_test, evidence_survives_a_takeover)
{
    add_workers();
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    while (starts[job_id("bad")] < 1)
    {
        simulate(milliseconds(20));
    }
    // The worker is silent when the next leader takes over.
    simulate(milliseconds(100));
    polls_in_progress.clear();
    start_leader(2);
    simulate(seconds(4));
    ASSERT_EQ(starts[job_id("bad")], 2);
    polls_in_progress.clear();
    start_leader(3);
    simulate(seconds(60));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_LE(starts[job_id("bad")], 3);
}

// Failure: the next leader takes the crash of a worker long after the start of
// a suspect for one during its start-up.
TEST_F(crash_attribution_test, late_crash_stays_late_after_a_takeover)
{
    add_workers();
    add_job("a", 1, true);
    simulate(milliseconds(100));
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(200));
    ASSERT_NE(worker_of("a"), worker_id());
    simulate(milliseconds(700));
    crash(worker_of("a"));
    simulate(milliseconds(100));
    polls_in_progress.clear();
    start_leader(2);
    simulate(restart_time + seconds(1));
    const auto stored = decode_progress(progress_rows.at(job_id("a")));
    ASSERT_TRUE(stored);
    ASSERT_EQ(stored->histories.size(), 1U);
    const auto& crashes = stored->histories.begin()->second.crashes;
    EXPECT_EQ(crashes.workers.size(), 2U);
    EXPECT_EQ(crashes.in_start_up, 1U);
}

// Failure: a new leader does not learn that workers crash for another cause at
// present, and trusts two crashes of a task that may be sound.
TEST_F(crash_attribution_test, unexplained_crash_before_a_takeover_is_known)
{
    add_workers();
    add_job("a", 1, true);
    simulate(seconds(1));
    crash(worker_of("a"));
    simulate(seconds(1));
    polls_in_progress.clear();
    start_leader(2);
    simulate(restart_time + seconds(1));
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    simulate(seconds(30));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_EQ(starts[job_id("bad")], 3);
}

// Failure: a worker that was only silent counts as crashed.
TEST_F(crash_attribution_test, silence_of_a_worker_is_not_a_crash)
{
    add_workers();
    add_job("a");
    simulate(milliseconds(100));
    const auto worker = worker_of("a");
    silent.insert(worker);
    polls_in_progress.erase(worker);
    leader->on_poll_failed(worker, now);
    simulate(seconds(1));
    silent.clear();
    simulate(seconds(1));
    EXPECT_EQ(leader->worker_crashes(), 0U);
    EXPECT_EQ(worker_of("a"), worker);
}

// Failure: the tasks of a worker that leaves as planned become suspects.
TEST_F(crash_attribution_test, planned_stop_of_a_worker_is_not_a_crash)
{
    add_workers();
    add_job("a");
    simulate(milliseconds(100));
    const auto worker = worker_of("a");
    listed.at(worker).is_leaving = true;
    leader->set_worker(listed.at(worker), now);
    crash(worker);
    simulate(restart_time + seconds(1));
    EXPECT_EQ(leader->worker_crashes(), 0U);
    EXPECT_NE(worker_of("a"), worker_id());
}

// Failure: a worker that responds again clears a suspect of the crash of
// another worker, of which it is not known yet.
TEST_F(crash_attribution_test, suspect_on_two_workers_is_cleared_on_one)
{
    add_workers();
    add_job("a", 1, true);
    simulate(milliseconds(100));
    const auto fall_silent = [&](const worker_id& worker) {
        silent.insert(worker);
        running[worker].clear();
        polls_in_progress.erase(worker);
        leader->on_poll_failed(worker, now);
    };
    fall_silent(worker_of("a"));
    const auto await_start = [&] {
        for (int i = 0; i < 1000 && worker_of("a").empty(); ++i)
        {
            simulate(crash_delay);
        }
        return worker_of("a");
    };
    const auto second = await_start();
    ASSERT_NE(second, worker_id());
    simulate(milliseconds(100));
    const auto run = running[second].front();
    fall_silent(second);
    ended[second].push_back({1, run.task, run.run, run_end::failed, ""});
    silent.erase(second);
    const auto third = await_start();
    ASSERT_NE(third, worker_id());
    const auto stored = decode_progress(progress_rows.at(job_id("a")));
    ASSERT_TRUE(stored);
    ASSERT_EQ(stored->histories.size(), 1U);
    EXPECT_EQ(stored->histories.begin()->second.crashes.tried_on, third);
}

// Failure: the loss of a zone makes suspects of all tasks that had just
// started there.
TEST_F(crash_attribution_test, mass_failure_blames_no_task)
{
    add_workers();
    for (int i = 0; i < 2 * worker_count; ++i)
    {
        add_job("j" + std::to_string(i));
    }
    simulate(milliseconds(100));
    for (int i = 0; i < worker_count; ++i)
    {
        crash(worker_id("w" + std::to_string(i)));
    }
    simulate(restart_time + seconds(1));
    EXPECT_EQ(leader->worker_crashes(), static_cast<std::size_t>(worker_count));
    for (const auto& [id, row] : progress_rows)
    {
        const auto stored = decode_progress(row).value_or(job_progress{});
        for (const auto& [position, history] : stored.histories)
        {
            EXPECT_FALSE(history.crashes.needs_trial());
        }
        EXPECT_GT(starts[id], 1);
    }
}

// Failure: a sound job that ran on most of the lost workers is given up.
TEST_F(crash_attribution_test, one_mass_failure_does_not_give_up_a_wide_job)
{
    add_workers();
    add_job("wide", 2 * worker_count);
    simulate(milliseconds(100));
    for (int i = 0; i < worker_count; ++i)
    {
        crash(worker_id("w" + std::to_string(i)));
    }
    simulate(restart_time + seconds(5));
    EXPECT_EQ(state_of("wide"), std::nullopt);
    EXPECT_NE(worker_of("wide"), worker_id());
}

// Failure: many crashing tasks at once are taken for a mass failure for ever.
TEST_F(crash_attribution_test, crashing_tasks_that_start_together_are_given_up)
{
    for (int i = 0; i < 8 * worker_count; ++i)
    {
        add_worker("w" + std::to_string(i), "vm-" + std::to_string(i));
    }
    for (int i = 0; i < 8; ++i)
    {
        const auto name = "bad-" + std::to_string(i);
        crashing[job_id(name)] = crash_delay;
        add_job(name);
    }
    simulate(seconds(60));
    for (int i = 0; i < 8; ++i)
    {
        const auto name = "bad-" + std::to_string(i);
        EXPECT_EQ(state_of(name), job_state::failed);
        EXPECT_LE(starts[job_id(name)], 5);
    }
}

// Failure: a crash counts for nothing if the VM never runs a worker again.
TEST_F(crash_attribution_test, crashes_of_workers_that_stay_away_count)
{
    for (int i = 0; i < 3 * worker_count; ++i)
    {
        add_worker("w" + std::to_string(i), "vm-" + std::to_string(i));
    }
    returns = false;
    crashing[job_id("bad")] = crash_delay;
    add_job("bad");
    simulate(seconds(60));
    EXPECT_EQ(state_of("bad"), job_state::failed);
    EXPECT_LE(starts[job_id("bad")], 5);
}

// Failure: a run that fails at once clears its task of earlier crashes.
TEST_F(crash_attribution_test, a_failed_run_clears_nothing)
{
    add_workers();
    add_job("a", 1, true);
    simulate(milliseconds(100));
    crash(worker_of("a"));
    simulate(restart_time + milliseconds(200));
    const auto worker = worker_of("a");
    ASSERT_NE(worker, worker_id());
    const auto run = running[worker].front();
    running[worker].clear();
    ended[worker].push_back({1, run.task, run.run, run_end::failed, ""});
    simulate(seconds(1));
    const auto stored = decode_progress(progress_rows.at(job_id("a")));
    ASSERT_TRUE(stored);
    ASSERT_EQ(stored->histories.size(), 1U);
    EXPECT_TRUE(stored->histories.begin()->second.crashes.needs_trial());
}

// Failure: a suspect waits for ever because each worker has a run that is
// starting up.
TEST_F(crash_attribution_test, suspect_is_tried_on_a_busy_fleet)
{
    add_workers();
    add_job("a", 1, true);
    simulate(milliseconds(100));
    crash(worker_of("a"));
    for (int i = 0; i < 60; ++i)
    {
        add_job("short-" + std::to_string(i), 2 * worker_count);
        simulate(milliseconds(100));
        // The short tasks end, so that all workers have started some lately.
        for (auto& entry : running)
        {
            auto& ended_here = ended[entry.first];
            std::erase_if(entry.second, [&](const running_task& task) {
                if (task.task.job == job_id("a"))
                {
                    return false;
                }
                ended_here.push_back(
                    {++end_number, task.task, task.run, run_end::done, ""});
                return true;
            });
        }
    }
    EXPECT_NE(worker_of("a"), worker_id());
}

// Failure: the next leader cannot read the evidence, or it crowds out the
// failed runs.
TEST(crash_history_codec, evidence_is_read_back)
{
    job_progress progress;
    progress.state = job_state::running;
    crash_history crashes;
    crashes.add(worker_id("w1"), true, milliseconds(10));
    crashes.add(worker_id("w2"), false, seconds(30));
    crashes.tried_on = worker_id("w3");
    EXPECT_FALSE(crashes.add(worker_id("w2"), false, seconds(30)));
    progress.histories[{0, 1, 2}] = {{1, 2}, "c", crashes};
    progress.histories[{0, 1, 3}] = {{}, "", crashes};
    const auto read = decode_progress(encode_progress(progress));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->histories.at({0, 1, 2}).crashes, crashes);
    EXPECT_EQ(read->histories.at({0, 1, 2}).failed_runs.size(), 2U);
    EXPECT_EQ(read->histories.at({0, 1, 3}).crashes, crashes);
    EXPECT_FALSE(decode_progress(R"({"s":"running","c":[[0,0,0,1,0,0,""]]})"));
    EXPECT_FALSE(
        decode_progress(R"({"s":"running","c":[[0,0,0,[1],0,0,""]]})"));
}
