// Guards against workers that are avoided for faults of the jobs on them.
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

// Workers that reject the starts of some jobs as malformed, or on which the
// tasks of some jobs make no progress.
class worker_avoidance_test : public testing::Test
{
protected:
    worker_avoidance_test() : leader({}, 1)
    {
        leader.set_services({{service_id("s"), {}}});
    }

    void begin(int workers)
    {
        for (int i = 0; i < workers; ++i)
        {
            add_worker("w" + std::to_string(i));
        }
        leader.begin(now);
        simulate(milliseconds(200));
    }

    void add_worker(const std::string& name)
    {
        worker_entry e;
        e.id = worker_id(name);
        e.service = service_id("s");
        e.zone = availability_zone_id("z");
        e.capacity = {16000, 64000, 0};
        e.incarnation = 1;
        leader.set_worker(e, now);
    }

    // Two idle workers beside a sound one that is half full.
    void begin_with_two_idle_workers()
    {
        begin(1);
        task_processors = 8000;
        add_job("load");
        simulate(seconds(1));
        add_worker("w1");
        add_worker("w2");
        simulate(seconds(1));
        task_processors = 1000;
    }

    void add_job(const std::string& name, std::uint32_t tasks = 1,
                 bool is_gang = false, bool is_long_running = false)
    {
        job j;
        j.id = job_id(name);
        j.policy.service = service_id("s");
        j.policy.max_attempts = 2;
        j.policy.queue = "q";
        step s;
        s.task_count = tasks;
        s.is_gang = is_gang;
        s.is_long_running = is_long_running;
        s.size = {task_processors, 1000, 0};
        s.estimate = seconds(60);
        j.steps = {s};
        leader.add_job(j);
    }

    void simulate(duration time)
    {
        const auto end = now + time;
        while (now < end)
        {
            now += milliseconds(20);
            for (const auto& o : leader.decide(now, milliseconds(0), {}))
            {
                respond(o);
            }
            if (leader.has_changes())
            {
                leader.take_changes();
                leader.on_changes_stored(now);
            }
        }
    }

    void respond(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            ++starts[start->task.job];
            const bool is_rejected = malformed.contains(start->task.job) ||
                                     rejecting.contains(start->worker);
            if (!is_rejected)
            {
                running[start->worker].push_back(
                    {start->task, start->run, "", 0, -1});
                began[start->task] = now;
            }
            leader.on_start_answer(start->worker, start->task, start->run,
                                   is_rejected ? start_answer::malformed
                                               : start_answer::accepted,
                                   now);
        }
        if (const auto* const stop = std::get_if<stop_order>(&o))
        {
            const auto removed = std::erase_if(
                running[stop->worker], [&](const running_task& run) {
                    return run.task == stop->task;
                });
            if (removed > 0)
            {
                ended[stop->worker].push_back({ended[stop->worker].size() + 1,
                                               stop->task, stop->run,
                                               run_end::stopped, ""});
            }
        }
        if (const auto* const poll = std::get_if<poll_order>(&o))
        {
            jobs::worker_report r;
            r.clock = std::chrono::duration_cast<worker_clock>(
                now.time_since_epoch());
            r.incarnation = 1;
            r.running = running[poll->worker];
            for (auto& run : r.running)
            {
                run.percent = stalling.contains(run.task.job) ||
                                      stalled_workers.contains(poll->worker)
                                  ? 0
                                  : static_cast<int>((now - began[run.task]) /
                                                     milliseconds(1000));
            }
            r.ended = ended[poll->worker];
            leader.on_report(poll->worker, r, now, now);
        }
    }

    std::size_t running_on(const worker_id& worker,
                           const std::string& name) const
    {
        const auto found = running.find(worker);
        return found == running.end()
                   ? 0
                   : static_cast<std::size_t>(std::ranges::count_if(
                         found->second, [&](const running_task& run) {
                             return run.task.job == job_id(name);
                         }));
    }

    bool is_running(const std::string& name) const
    {
        return std::ranges::any_of(running, [&](const auto& worker) {
            return std::ranges::any_of(worker.second,
                                       [&](const running_task& run) {
                                           return run.task.job == job_id(name);
                                       });
        });
    }

    scheduler leader;
    time_point now{seconds(1000)};
    std::set<job_id> malformed;
    std::set<worker_id> rejecting;
    std::set<job_id> stalling;
    std::set<worker_id> stalled_workers;
    std::int64_t task_processors = 16000;
    std::map<job_id, int> starts;
    std::map<worker_id, std::vector<running_task>> running;
    std::map<worker_id, std::vector<ended_run>> ended;
    std::map<task_key, time_point> began;
};

} // namespace

// Failure: one job with malformed starts makes all workers avoided, and a sound
// job waits for as long as there is such a job.
TEST_F(worker_avoidance_test, malformed_starts_of_a_job_avoid_no_worker)
{
    begin(2);
    malformed.insert(job_id("bad"));
    add_job("bad", 8);
    simulate(milliseconds(400));
    add_job("sound");
    simulate(milliseconds(300));
    EXPECT_TRUE(is_running("sound"));
}

// Failure: a rejected start is repeated in each pass.
TEST_F(worker_avoidance_test, malformed_starts_are_repeated_after_a_while)
{
    begin(4);
    malformed = {job_id("bad"), job_id("bad-gang")};
    add_job("bad");
    add_job("bad-gang", 2, true);
    simulate(seconds(5));
    EXPECT_LE(starts[job_id("bad")], 6);
    EXPECT_LE(starts[job_id("bad-gang")], 12);
}

// Failure: a worker that rejects each start is offered all of them.
TEST_F(worker_avoidance_test, worker_that_rejects_several_jobs_is_avoided)
{
    begin(1);
    rejecting.insert(worker_id("w0"));
    add_job("a");
    simulate(milliseconds(200));
    add_job("b");
    simulate(milliseconds(200));
    ASSERT_EQ(starts[job_id("b")], 1);
    add_job("c");
    simulate(milliseconds(500));
    EXPECT_EQ(starts[job_id("c")], 0);
}

// Failure: one job whose tasks make no progress makes all workers avoided.
TEST_F(worker_avoidance_test, stalls_of_one_job_avoid_no_worker)
{
    begin(3);
    stalling.insert(job_id("bad"));
    add_job("bad", 3);
    simulate(milliseconds(2300));
    ASSERT_EQ(starts[job_id("bad")], 3);
    add_job("sound", 3);
    simulate(milliseconds(900));
    leader.cancel_job(job_id("bad"), now);
    simulate(milliseconds(900));
    EXPECT_TRUE(is_running("sound"));
}

// Failure: a worker on which no task makes progress is used again at once.
TEST_F(worker_avoidance_test, worker_where_several_jobs_stall_is_avoided)
{
    begin(1);
    stalling = {job_id("a"), job_id("b")};
    add_job("a");
    simulate(seconds(3));
    leader.cancel_job(job_id("a"), now);
    add_job("b");
    simulate(milliseconds(3200));
    leader.cancel_job(job_id("b"), now);
    simulate(milliseconds(200));
    ASSERT_EQ(starts[job_id("b")], 1);
    add_job("c");
    simulate(seconds(2));
    EXPECT_EQ(starts[job_id("c")], 0);
}

// Failure: two workers that reject all starts get the same tasks in turn, and
// a task never reaches a sound worker (LOST for one that is to last).
TEST_F(worker_avoidance_test, task_rejected_by_two_workers_runs_on_a_third)
{
    begin_with_two_idle_workers();
    rejecting = {worker_id("w1"), worker_id("w2")};
    add_job("batch");
    add_job("lasting", 1, false, true);
    simulate(milliseconds(2500));
    EXPECT_EQ(running_on(worker_id("w0"), "batch"), 1U);
    EXPECT_EQ(running_on(worker_id("w0"), "lasting"), 1U);
}

// Failure: a task that makes no progress on two workers is moved from one to
// the other for ever.
TEST_F(worker_avoidance_test, task_stalled_on_two_workers_runs_on_a_third)
{
    begin_with_two_idle_workers();
    stalled_workers = {worker_id("w1"), worker_id("w2")};
    add_job("batch");
    simulate(seconds(6));
    EXPECT_EQ(running_on(worker_id("w0"), "batch"), 1U);
}

// Failure: the tasks of a job stay on two of six workers that make no progress
// or reject them, although the others have room.
TEST_F(worker_avoidance_test, all_tasks_of_a_job_reach_sound_workers)
{
    task_processors = 1000;
    begin(6);
    stalled_workers = {worker_id("w1")};
    rejecting = {worker_id("w2")};
    add_job("batch", 48);
    simulate(seconds(6));
    EXPECT_EQ(running_on(worker_id("w0"), "batch") +
                  running_on(worker_id("w3"), "batch") +
                  running_on(worker_id("w4"), "batch") +
                  running_on(worker_id("w5"), "batch"),
              48U);
}

// Failure: many workers that reject all starts get the tasks of a job in turn,
// and a lasting task never reaches a sound worker (LOST).
TEST_F(worker_avoidance_test, job_rejected_by_many_workers_runs_on_a_sound_one)
{
    constexpr int rejecting_workers = 20;
    begin(1);
    task_processors = 8000;
    add_job("load");
    simulate(seconds(1));
    for (int i = 1; i <= rejecting_workers; ++i)
    {
        const auto name = "w" + std::to_string(i);
        add_worker(name);
        rejecting.insert(worker_id(name));
    }
    simulate(seconds(1));
    task_processors = 1000;
    add_job("lasting", 1, false, true);
    simulate(seconds(rejecting_workers + 1));
    EXPECT_EQ(running_on(worker_id("w0"), "lasting"), 1U);
    EXPECT_LE(starts[job_id("lasting")], rejecting_workers + 1);
}

// Failure: a task that stalls everywhere takes more and more memory.
TEST_F(worker_avoidance_test, number_of_noted_workers_is_bounded)
{
    recent_workers workers;
    for (std::size_t i = 0; i <= recent_workers::max_count; ++i)
    {
        workers.add(worker_id(std::to_string(i)));
        workers.add(worker_id(std::to_string(i)));
    }
    EXPECT_FALSE(workers.contains(worker_id("0")));
    EXPECT_TRUE(workers.contains(worker_id("1")));
}
