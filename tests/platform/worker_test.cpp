// Guards against stand-in workers that break the guarantees W1 to W5, which
// the batch core builds on, and against a client that misreads them.
#include <gmock/gmock.h>

#include "fixture.hpp"
#include "platform/json_fields.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

standin_settings quick()
{
    standin_settings settings;
    settings.workers.usage_lag = seconds(20);
    settings.workers.checkpoint_interval = seconds(10);
    return settings;
}

struct worker_test : platform_fixture
{
    worker_test() : platform_fixture(quick())
    {
        standin.change_membership({{"vms",
                                    {{{"id", "w-1"},
                                      {"kind", "worker"},
                                      {"zone", "zone-a"},
                                      {"region", "region-1"},
                                      {"address", ""},
                                      {"state", "live"},
                                      {"processors_milli", 2000},
                                      {"memory_mb", 4000}}}}});
        address = value_of(fetch()).members.at(0).address;
    }

    worker_report_reply report(std::uint64_t owner_epoch,
                               std::vector<task_attempt> acknowledged = {})
    {
        return await<worker_report_reply>([&](auto done) {
            workers.report(address, {shard, epoch(owner_epoch), acknowledged},
                           done);
        });
    }

    worker_report good_report(std::vector<task_attempt> acknowledged = {})
    {
        return std::get<worker_report>(report(1, std::move(acknowledged)));
    }

    worker_command_reply command(std::uint64_t owner_epoch,
                                 const std::string& token,
                                 const worker_command& c)
    {
        return await<worker_command_reply>([&](auto done) {
            workers.command(address, {shard, epoch(owner_epoch), token, {c}},
                            done);
        });
    }

    worker_command_result good_command(const worker_command& c)
    {
        const auto token = good_report().start_token;
        return std::get<0>(command(1, token, c)).at(0);
    }

    const shard_id shard{availability_zone_id("zone-a"), 3};
    std::string address;
};

const task_attempt first{{job_id("job/a"), 7}, attempt(1)};

worker_command start(duration run_time = seconds(300))
{
    worker_command c;
    c.id = first;
    c.size = {{1000}, {2000}, {0}};
    c.declared_run_time = run_time;
    c.lease = seconds(30);
    return c;
}

worker_command other(worker_verb verb)
{
    worker_command c;
    c.verb = verb;
    c.id = first;
    c.lease = seconds(30);
    c.share = 0.5;
    return c;
}

} // namespace

// Failure (W1): an owner that lost its shard goes on commanding.
TEST_F(worker_test, lower_epoch_is_refused)
{
    const auto token = std::get<worker_report>(report(5)).start_token;
    const auto reply = command(4, token, start());
    ASSERT_TRUE(std::holds_alternative<worker_fenced>(reply));
    EXPECT_EQ(std::get<worker_fenced>(reply).current, epoch(5));
    EXPECT_TRUE(std::holds_alternative<worker_fenced>(report(4)));
    EXPECT_EQ(standin.record().starts("job/a/7"), 0U);
    EXPECT_EQ(std::get<0>(command(6, token, start())).at(0).outcome,
              command_outcome::done);
    EXPECT_TRUE(std::holds_alternative<worker_fenced>(report(5)));
}

// Failure (W2, W4): a result vanishes before it is acknowledged, or stays
// after it was; usage is shown without its lag.
TEST_F(worker_test, task_runs_and_its_result_is_kept)
{
    ASSERT_EQ(good_command(start(seconds(50))).outcome, command_outcome::done);
    auto tasks = good_report().tasks;
    ASSERT_EQ(tasks.size(), 1U);
    EXPECT_EQ(tasks[0].id, first);
    EXPECT_EQ(tasks[0].shard, shard);
    EXPECT_EQ(tasks[0].state, task_state::running);
    EXPECT_EQ(tasks[0].used.processors.value, 0);
    standin.skip(seconds(25));
    const auto halfway = good_report();
    EXPECT_EQ(halfway.used.processors.value, 1000);
    EXPECT_GE(halfway.tasks.at(0).progress, 0.5);
    EXPECT_FALSE(halfway.tasks.at(0).checkpoint.empty());
    good_command(other(worker_verb::renew));
    standin.skip(seconds(25));
    EXPECT_EQ(good_report().tasks.at(0).state, task_state::finished);
    EXPECT_EQ(good_report().tasks.at(0).state, task_state::finished);
    EXPECT_TRUE(good_report({first}).tasks.empty());
    EXPECT_EQ(standin.record().finishes("job/a/7"), 1U);
}

// Failure (W3): a task outlives the lease that nobody renews.
TEST_F(worker_test, expired_lease_stops_the_task)
{
    good_command(start());
    standin.skip(seconds(20));
    EXPECT_EQ(good_report().tasks.at(0).state, task_state::running);
    standin.skip(seconds(10));
    EXPECT_EQ(good_report().tasks.at(0).state, task_state::stopped);
    EXPECT_EQ(good_command(other(worker_verb::renew)).outcome,
              command_outcome::refused);
}

// Failure: a renewed lease does not prolong the task.
TEST_F(worker_test, renewed_lease_prolongs_the_task)
{
    good_command(start());
    standin.skip(seconds(20));
    EXPECT_EQ(good_command(other(worker_verb::renew)).outcome,
              command_outcome::done);
    standin.skip(seconds(20));
    EXPECT_EQ(good_report().tasks.at(0).state, task_state::running);
}

// Failure (W5): a start that was delayed for long takes place.
TEST_F(worker_test, old_start_token_is_refused)
{
    const auto token = good_report().start_token;
    standin.skip(milliseconds(2501));
    const auto late = std::get<0>(command(1, token, start())).at(0);
    EXPECT_EQ(late.outcome, command_outcome::refused);
    EXPECT_THAT(late.reason, testing::HasSubstr("token"));
    EXPECT_EQ(std::get<0>(command(1, "", start())).at(0).outcome,
              command_outcome::refused);
    EXPECT_EQ(standin.record().starts("job/a/7"), 0U);
}

// Failure: a start that is repeated after its answer was lost runs twice, even
// when the task has ended meanwhile.
TEST_F(worker_test, repeated_start_runs_once)
{
    const auto token = good_report().start_token;
    standin.set_fault("worker", "w-1", {fault_mode::lose_answer, 1.0, {}});
    EXPECT_TRUE(
        std::holds_alternative<worker_unreachable>(command(1, token, start())));
    standin.set_fault("worker", "w-1", {});
    EXPECT_EQ(std::get<0>(command(1, token, start())).at(0).outcome,
              command_outcome::done);
    good_command(other(worker_verb::stop));
    EXPECT_EQ(good_report().tasks.at(0).state, task_state::stopped);
    good_report({first});
    good_command(start());
    EXPECT_EQ(standin.record().starts("job/a/7"), 1U);
}

// Failure: a throttled task does not slow down, or a checkpoint loses what was
// done, so that a resumed task starts over.
TEST_F(worker_test, throttle_slows_and_checkpoint_keeps_progress)
{
    good_command(start(seconds(100)));
    standin.skip(seconds(25));
    good_command(other(worker_verb::checkpoint));
    good_command(other(worker_verb::throttle));
    const auto before = good_report().tasks.at(0);
    good_command(other(worker_verb::renew));
    standin.skip(seconds(20));
    const auto after = good_report().tasks.at(0);
    EXPECT_GE(before.progress, 0.25);
    EXPECT_GE(after.progress - before.progress, 0.1);
    EXPECT_LT(after.progress - before.progress, 0.15);
    good_command(other(worker_verb::stop));
    auto resumed = start();
    resumed.id.number = attempt(2);
    resumed.checkpoint = before.checkpoint;
    good_command(resumed);
    EXPECT_GE(good_report().tasks.at(1).progress, 0.25);
    EXPECT_EQ(standin.record().overlaps(), 0U);
}

// Failure: the record misses a task that runs twice or a VM that is too full.
TEST_F(worker_test, record_shows_overlap_and_excess)
{
    for (std::uint64_t number = 1; number < 4; ++number)
    {
        auto c = start();
        c.id.number = attempt(number);
        EXPECT_EQ(good_command(c).outcome, command_outcome::done);
    }
    EXPECT_EQ(standin.record().overlaps(), 2U);
    const auto worker =
        standin.record().to_json().at("workers").at("w-1").as_object();
    EXPECT_EQ(json_fields::integer(worker, "highest_processors_milli"), 3000);
    EXPECT_EQ(json_fields::integer(worker, "times_exceeded"), 1);
}

// Failure: a worker that fails everything is not seen to do so.
TEST_F(worker_test, broken_worker_fails_its_tasks)
{
    standin.set_fault("worker", "", {fault_mode::fail_all, 1.0, {}});
    EXPECT_EQ(good_command(start()).outcome, command_outcome::done);
    standin.skip(seconds(1));
    EXPECT_EQ(good_report().tasks.at(0).state, task_state::failed);
}

// Failure (M1): a VM that the list dropped goes on running its tasks.
TEST_F(worker_test, vm_that_left_the_list_runs_nothing)
{
    good_command(start());
    standin.change_membership({{"remove", {"w-1"}}});
    EXPECT_TRUE(std::holds_alternative<worker_unreachable>(report(1)));
    const auto task = standin.record().to_json().at("tasks").at("job/a/7");
    EXPECT_EQ(json_fields::integer(task.as_object(), "running"), 0);
}

// Failure: a worker that does not answer, or answers nonsense, looks like one
// that answered.
TEST_F(worker_test, unusable_answers_are_unreachable)
{
    using enum fault_mode;
    for (const auto mode : {down, lose_answer, truncate, pause, slow})
    {
        standin.set_fault("worker", "", {mode, 1.0, 2 * call_timeout});
        EXPECT_TRUE(std::holds_alternative<worker_unreachable>(report(1)))
            << static_cast<int>(mode);
    }
    http_reply reply;
    http_server faulty(0, [&](const http_request&, const http_exchange& e) {
        e.answer(reply);
    });
    address = faulty.address();
    for (const auto* body :
         {"", "{}", R"({"token": 1, "tasks": []})", R"({"results": []})",
          R"({"results": [{"task": "x/1", "attempt": 1, "outcome": "ok"}]})",
          R"({"token": "t", "tasks": [{"task": "x", "attempt": 1}]})",
          R"({"token": "t", "tasks": [{"task": "x/-1", "attempt": 1}]})",
          R"({"epoch": "x"})"})
    {
        for (const auto status : {200, 409, 500})
        {
            reply = {status, body};
            EXPECT_TRUE(std::holds_alternative<worker_unreachable>(report(1)))
                << status << ' ' << body;
            EXPECT_TRUE(std::holds_alternative<worker_unreachable>(
                command(1, "t", start())))
                << status << ' ' << body;
        }
    }
}
