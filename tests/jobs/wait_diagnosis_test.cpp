// Guards against reasons of waiting tasks that are taken for others. The
// scheduler overcomes these within some seconds, so that they are brought about
// in its state.
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/wait_diagnosis.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class wait_diagnosis_test : public testing::Test
{
protected:
    wait_diagnosis_test() : diagnosis(state)
    {
        job j;
        j.id = key.job;
        j.policy.service = service_id("s");
        step s;
        s.task_count = 1;
        s.size = {1000, 1000, 0};
        s.is_long_running = true;
        j.steps = {s};
        state.registry.add(j, std::nullopt);
        add_worker("a");
    }

    fleet_worker& add_worker(const std::string& name)
    {
        worker_entry e;
        e.id = worker_id(name);
        e.service = service_id("s");
        e.capacity = {16000, 64000, 0};
        auto& worker = state.fleet.emplace(e.id, fleet_worker(e)).first->second;
        worker.contact_at = now;
        worker.is_recorded = true;
        worker.note_clock(worker_clock{}, now);
        return worker;
    }

    fleet_worker& worker() { return *state.find_worker(worker_id("a")); }
    task_record& task() { return state.registry.find(key.job)->task(key); }

    wait_finding find()
    {
        wait_circumstances circumstances;
        circumstances.now = now;
        diagnosis.begin_check();
        return diagnosis.find(*state.registry.find(key.job), key,
                              circumstances);
    }

    const task_key key{job_id("lasting"), 0, 0, 0};
    const time_point now{seconds(1000)};
    scheduler_state state;
    wait_diagnosis diagnosis;
};

} // namespace

// Failure: a task whose start would be ordered counts as one without room.
TEST_F(wait_diagnosis_test, a_worker_that_could_take_the_task_is_found)
{
    task().is_announced = true;
    task().first_change_set = state.stored_set;
    EXPECT_EQ(find().reason, wait_reason::worker_found);
}

// Failure: avoided workers count as full ones.
TEST_F(wait_diagnosis_test, avoided_workers_are_told_apart)
{
    worker().health.avoided_until = now + seconds(1);
    EXPECT_EQ(find().reason, wait_reason::worker_avoided);
}

// Failure: slow workers count as full or avoided ones.
TEST_F(wait_diagnosis_test, slow_workers_are_told_apart)
{
    worker().health.slowness = 10.0;
    worker().health.slowness_seen_at = now;
    EXPECT_EQ(find().reason, wait_reason::worker_slow);
}

// Failure: workers that refused a start although the ledger shows room count as
// full ones.
TEST_F(wait_diagnosis_test, workers_that_refused_a_start_are_told_apart)
{
    worker().full_until = now + milliseconds(100);
    EXPECT_EQ(find().reason, wait_reason::room_refused);
}

// Failure: a worker beside whose suspect nothing is started counts as full.
TEST_F(wait_diagnosis_test, workers_with_a_trial_are_told_apart)
{
    run_record trial;
    trial.is_trial = true;
    worker().add_run({job_id("suspect"), 0, 0, 0}, trial);
    EXPECT_EQ(find().reason, wait_reason::beside_trial);
}

// Failure: a suspect that waits for a worker without runs that start up counts
// as one without room.
TEST_F(wait_diagnosis_test, a_suspect_waits_for_a_trial)
{
    run_record starting;
    starting.ordered_at = now;
    worker().add_run({job_id("other"), 0, 0, 0}, starting);
    task().suspected_on.insert(worker_id("gone"));
    task().suspected_at = now;
    EXPECT_EQ(find().reason, wait_reason::waits_for_trial);
}

// Failure: a task whose start was just rejected counts as one without room.
TEST_F(wait_diagnosis_test, a_rejected_start_is_told_apart)
{
    task().not_before = now + milliseconds(100);
    EXPECT_EQ(find().reason, wait_reason::after_rejection);
}

// Failure: a start that a worker in touch has not confirmed counts as lost with
// its worker.
TEST_F(wait_diagnosis_test, an_unconfirmed_start_is_told_apart)
{
    state.registry.find(key.job)->set_placed(key, worker_id("a"), 1);
    worker().add_run(key, run_record{});
    const auto found = find();
    EXPECT_EQ(found.reason, wait_reason::start_not_confirmed);
    EXPECT_EQ(found.worker, worker_id("a"));
}

// Failure: a full worker hides another one that is only avoided.
TEST_F(wait_diagnosis_test, the_obstacle_nearest_to_a_start_is_the_reason)
{
    worker().health.avoided_until = now + seconds(1);
    add_worker("b").entry.capacity = {};
    add_worker("c").is_recorded = false;
    const auto found = find();
    EXPECT_EQ(found.reason, wait_reason::worker_avoided);
    EXPECT_EQ(found.obstacles,
              "no room: 1, worker not recorded: 1, worker avoided: 1");
}

// Failure: a check weighs each worker for each step, and the leader loses the
// lead in a fleet of thousands.
TEST_F(wait_diagnosis_test, the_number_of_weighed_workers_is_bounded)
{
    constexpr int workers = 2500;
    constexpr std::uint32_t steps = 6;
    for (int i = 0; i < workers; ++i)
    {
        add_worker("w" + std::to_string(i)).entry.capacity = {};
    }
    worker().entry.capacity = {};
    job wide = state.registry.find(key.job)->definition();
    wide.id = job_id("wide");
    wide.steps.assign(steps, wide.steps.front());
    state.registry.add(wide, std::nullopt);
    wait_circumstances circumstances;
    circumstances.now = now;
    diagnosis.begin_check();
    std::vector<wait_reason> reasons;
    for (std::uint32_t s = 0; s < steps; ++s)
    {
        reasons.push_back(diagnosis
                              .find(*state.registry.find(wide.id),
                                    {wide.id, 0, s, 0}, circumstances)
                              .reason);
    }
    // 2,000 workers a step, 8,000 in all.
    const std::vector<wait_reason> expected = {
        wait_reason::no_room,      wait_reason::no_room,
        wait_reason::no_room,      wait_reason::no_room,
        wait_reason::not_examined, wait_reason::not_examined};
    EXPECT_EQ(reasons, expected);
}

// Failure: the workers that are left in the budget of a check are taken for
// all workers, so that a step counts as one that no worker suits.
TEST_F(wait_diagnosis_test, reason_of_each_step_regards_all_workers)
{
    state.fleet.clear();
    for (int i = 0; i < 1900; ++i)
    {
        add_worker("w" + std::to_string(10'000 + i));
    }
    auto& suitable = *state.find_worker(worker_id("w11000"));
    suitable.entry.labels = {"x"};
    suitable.full_until = now + seconds(1);
    wait_circumstances circumstances;
    circumstances.now = now;
    diagnosis.begin_check();
    for (int i = 0; i < 5; ++i)
    {
        job j;
        j.id = job_id("j" + std::to_string(i));
        j.policy.service = service_id("s");
        step s;
        s.task_count = 1;
        s.size = {1000, 1000, 0};
        s.is_long_running = true;
        s.required_label = "x";
        j.steps = {s};
        state.registry.add(j, std::nullopt);
        const auto found = diagnosis.find(*state.registry.find(j.id),
                                          {j.id, 0, 0, 0}, circumstances);
        EXPECT_TRUE(found.reason == wait_reason::room_refused ||
                    found.reason == wait_reason::not_examined)
            << j.id.value() << ": " << to_text(found.reason) << " ("
            << found.obstacles << ')';
    }
}
