// Guards against stand-in workers that violate the guarantees W1 to W5, on
// which the batch core depends, and against a client that decodes their
// responses wrongly.
#include <gmock/gmock.h>

#include "fixture.hpp"
#include "platform/json_fields.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

standin_settings short_intervals()
{
    standin_settings settings;
    settings.workers.usage_lag = seconds(20);
    settings.workers.checkpoint_interval = seconds(10);
    return settings;
}

struct worker_test : platform_fixture
{
    worker_test() : platform_fixture(short_intervals())
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
        address = value_of(fetch()).members.at(0).vm.address;
    }

    worker_report_reply report(std::uint64_t owner_epoch,
                               std::vector<task_attempt> acknowledged = {})
    {
        return await<worker_report_reply>([&](auto done) {
            workers.report(address, {shard, epoch(owner_epoch), acknowledged},
                           done);
        });
    }

    worker_report report_of_owner(std::vector<task_attempt> acknowledged = {})
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

    worker_command_result command_by_owner(const worker_command& c)
    {
        const auto token = report_of_owner().start_token;
        return std::get<0>(command(1, token, c)).at(0);
    }

    const shard_id shard{availability_zone_id("zone-a"), 3};
    std::string address;
};

const task_attempt first{{job_id("job/a"), 7}, attempt(1)};

worker_command start_command(duration run_time = seconds(300))
{
    worker_command c;
    c.id = first;
    c.size = {{1000}, {2000}, {0}};
    c.declared_run_time = run_time;
    c.lease = seconds(30);
    return c;
}

worker_command command_with_verb(worker_verb verb)
{
    worker_command c;
    c.verb = verb;
    c.id = first;
    c.lease = seconds(30);
    c.share = 0.5;
    return c;
}

} // namespace

// Failure (W1): an owner that lost its shard can still send commands.
TEST_F(worker_test, lower_epoch_is_refused)
{
    const auto token = std::get<worker_report>(report(5)).start_token;
    const auto reply = command(4, token, start_command());
    ASSERT_TRUE(std::holds_alternative<worker_fenced>(reply));
    EXPECT_EQ(std::get<worker_fenced>(reply).current, epoch(5));
    EXPECT_TRUE(std::holds_alternative<worker_fenced>(report(4)));
    EXPECT_EQ(standin.record().starts("job/a/7"), 0U);
    EXPECT_EQ(std::get<0>(command(6, token, start_command())).at(0).outcome,
              command_outcome::done);
    EXPECT_TRUE(std::holds_alternative<worker_fenced>(report(5)));
}

// Failure (W2, W4): a result is lost before it is acknowledged or kept
// afterwards; usage is reported without its lag.
TEST_F(worker_test, result_is_kept_until_acknowledged)
{
    ASSERT_EQ(command_by_owner(start_command(seconds(50))).outcome,
              command_outcome::done);
    auto tasks = report_of_owner().tasks;
    ASSERT_EQ(tasks.size(), 1U);
    EXPECT_EQ(tasks[0].id, first);
    EXPECT_EQ(tasks[0].shard, shard);
    EXPECT_EQ(tasks[0].state, task_state::running);
    EXPECT_EQ(tasks[0].used.processors.value, 0);
    standin.skip(seconds(25));
    const auto halfway = report_of_owner();
    EXPECT_EQ(halfway.used.processors.value, 1000);
    EXPECT_GE(halfway.tasks.at(0).progress, 0.5);
    EXPECT_FALSE(halfway.tasks.at(0).checkpoint.empty());
    command_by_owner(command_with_verb(worker_verb::renew));
    standin.skip(seconds(25));
    EXPECT_EQ(report_of_owner().tasks.at(0).state, task_state::finished);
    EXPECT_EQ(report_of_owner().tasks.at(0).state, task_state::finished);
    EXPECT_TRUE(report_of_owner({first}).tasks.empty());
    EXPECT_EQ(standin.record().finishes("job/a/7"), 1U);
}

// Failure (W3): a task keeps running after its lease has expired.
TEST_F(worker_test, expired_lease_stops_the_task)
{
    command_by_owner(start_command());
    standin.skip(seconds(20));
    EXPECT_EQ(report_of_owner().tasks.at(0).state, task_state::running);
    standin.skip(seconds(10));
    EXPECT_EQ(report_of_owner().tasks.at(0).state, task_state::stopped);
    EXPECT_EQ(command_by_owner(command_with_verb(worker_verb::renew)).outcome,
              command_outcome::refused);
}

// Failure: a task stops although its lease was renewed.
TEST_F(worker_test, renewed_lease_extends_the_task)
{
    command_by_owner(start_command());
    standin.skip(seconds(20));
    EXPECT_EQ(command_by_owner(command_with_verb(worker_verb::renew)).outcome,
              command_outcome::done);
    standin.skip(seconds(20));
    EXPECT_EQ(report_of_owner().tasks.at(0).state, task_state::running);
}

// Failure (W5): a start command that arrives too late is executed.
TEST_F(worker_test, old_start_token_is_refused)
{
    const auto token = report_of_owner().start_token;
    standin.skip(milliseconds(2501));
    const auto late = std::get<0>(command(1, token, start_command())).at(0);
    EXPECT_EQ(late.outcome, command_outcome::refused);
    EXPECT_THAT(late.reason, testing::HasSubstr("token"));
    EXPECT_EQ(std::get<0>(command(1, "", start_command())).at(0).outcome,
              command_outcome::refused);
    EXPECT_EQ(standin.record().starts("job/a/7"), 0U);
}

// Failure: a start that is repeated after its response was lost runs the task
// twice, even when the task has ended meanwhile.
TEST_F(worker_test, repeated_start_runs_once)
{
    const auto token = report_of_owner().start_token;
    standin.set_fault("worker", "w-1", {fault_mode::lose_answer, 1.0, {}});
    EXPECT_TRUE(std::holds_alternative<worker_unreachable>(
        command(1, token, start_command())));
    standin.set_fault("worker", "w-1", {});
    EXPECT_EQ(std::get<0>(command(1, token, start_command())).at(0).outcome,
              command_outcome::done);
    command_by_owner(command_with_verb(worker_verb::stop));
    EXPECT_EQ(report_of_owner().tasks.at(0).state, task_state::stopped);
    report_of_owner({first});
    command_by_owner(start_command());
    EXPECT_EQ(standin.record().starts("job/a/7"), 1U);
}

// Failure: a throttled task does not slow down, or a checkpoint loses progress,
// so that a resumed task starts over.
TEST_F(worker_test, throttle_slows_and_checkpoint_keeps_progress)
{
    command_by_owner(start_command(seconds(100)));
    standin.skip(seconds(25));
    command_by_owner(command_with_verb(worker_verb::checkpoint));
    command_by_owner(command_with_verb(worker_verb::throttle));
    const auto before = report_of_owner().tasks.at(0);
    command_by_owner(command_with_verb(worker_verb::renew));
    standin.skip(seconds(20));
    const auto after = report_of_owner().tasks.at(0);
    EXPECT_GE(before.progress, 0.25);
    EXPECT_GE(after.progress - before.progress, 0.1);
    EXPECT_LT(after.progress - before.progress, 0.15);
    command_by_owner(command_with_verb(worker_verb::stop));
    auto resumed = start_command();
    resumed.id.number = attempt(2);
    resumed.checkpoint = before.checkpoint;
    command_by_owner(resumed);
    EXPECT_GE(report_of_owner().tasks.at(1).progress, 0.25);
    EXPECT_EQ(standin.record().overlaps(), 0U);
}

// Failure: the record does not count a task that runs twice or a VM whose
// capacity is exceeded.
TEST_F(worker_test, record_counts_overlaps_and_exceeded_capacity)
{
    for (std::uint64_t number = 1; number < 4; ++number)
    {
        auto c = start_command();
        c.id.number = attempt(number);
        EXPECT_EQ(command_by_owner(c).outcome, command_outcome::done);
    }
    EXPECT_EQ(standin.record().overlaps(), 2U);
    const auto worker =
        standin.record().to_json().at("workers").at("w-1").as_object();
    EXPECT_EQ(json_fields::integer(worker, "highest_processors_milli"), 3000);
    EXPECT_EQ(json_fields::integer(worker, "times_exceeded"), 1);
}

// Failure: the tasks of a worker that fails all tasks are not reported as
// failed.
TEST_F(worker_test, faulty_worker_fails_its_tasks)
{
    standin.set_fault("worker", "", {fault_mode::fail_all, 1.0, {}});
    EXPECT_EQ(command_by_owner(start_command()).outcome, command_outcome::done);
    standin.skip(seconds(1));
    EXPECT_EQ(report_of_owner().tasks.at(0).state, task_state::failed);
}

// Failure (M1): a VM that was removed from the list keeps running its tasks.
TEST_F(worker_test, vm_removed_from_the_list_runs_no_tasks)
{
    command_by_owner(start_command());
    standin.change_membership({{"remove", {"w-1"}}});
    EXPECT_TRUE(std::holds_alternative<worker_unreachable>(report(1)));
    const auto task = standin.record().to_json().at("tasks").at("job/a/7");
    EXPECT_EQ(json_fields::integer(task.as_object(), "running"), 0);
}

// Failure: a worker that does not respond, or sends a malformed response, is
// treated as reachable.
TEST_F(worker_test, unusable_responses_are_unreachable)
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
                command(1, "t", start_command())))
                << status << ' ' << body;
        }
    }
}
