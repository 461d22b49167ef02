// The tool as scripts see it: its exit codes, and what it claims about daemons
// that have not confirmed. The built program runs against a scripted daemon.
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include <QProcess>
#include <QTemporaryDir>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "operators/operators.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;
using testing::AllOf;
using testing::HasSubstr;
using testing::Not;

namespace
{

const std::string sample = HEMLOCKDEAL_SAMPLES "/deployment-a/declaration.toml";

struct run_result
{
    int code = -1;
    std::string out;
    std::string err;
};

run_result run_tool(const std::vector<std::string>& given,
                    const std::string& token = "secret")
{
    QStringList list;
    for (const std::string& argument : given)
    {
        list << QString::fromStdString(argument);
    }
    QProcess process;
    auto environment = QProcessEnvironment::systemEnvironment();
    environment.insert("HEMLOCKDEAL_TOKEN", QString::fromStdString(token));
    environment.insert("USER", "ana");
    process.setProcessEnvironment(environment);
    process.start(HEMLOCKDEALCTL, list);
    if (!process.waitForFinished(30'000))
    {
        return {};
    }
    return {process.exitStatus() == QProcess::NormalExit ? process.exitCode()
                                                         : -1,
            process.readAllStandardOutput().toStdString(),
            process.readAllStandardError().toStdString()};
}

std::string read_file(const std::string& path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

// Answers by the kind of request, or not at all when the script returns
// nothing; keeps the changes it was asked for.
class scripted_daemon
{
public:
    using script =
        std::function<std::optional<operator_reply>(const operator_request&)>;

    explicit scripted_daemon(script answer, timeline_part part = {})
        : answer_(std::move(answer)), part_(std::move(part)),
          server_(
              {{"127.0.0.1", 0}, bearer_token("secret")},
              {[this](const operator_request& request,
                      const operator_reply_function& reply) {
                   if (const auto found = handle(request))
                   {
                       reply(*found);
                   }
               },
               [this](const timeline_filter&) { return to_json_text(part_); },
               {}})
    {
        const auto started = server_.start();
        address = is_ok(started) ? to_text(value_of(started)) : "";
    }

    std::vector<configuration_change> changes() const
    {
        const std::scoped_lock lock(mutex_);
        return changes_;
    }

    std::string address;

private:
    std::optional<operator_reply> handle(const operator_request& request)
    {
        if (const auto* change = std::get_if<configuration_change>(&request))
        {
            const std::scoped_lock lock(mutex_);
            changes_.push_back(*change);
        }
        if (std::holds_alternative<configuration_query>(request))
        {
            configuration current;
            current.version = configuration_version(7);
            current.text = read_file(sample);
            current.zones_out = {availability_zone_id("poa-a")};
            return current;
        }
        return answer_(request);
    }

    script answer_;
    timeline_part part_;
    mutable std::mutex mutex_;
    std::vector<configuration_change> changes_;
    operator_server server_;
};

operator_reply accept_8(const operator_request&)
{
    return change_accepted{configuration_version(8)};
}

daemon_confirmation confirmation(const std::string& vm, bool reached,
                                 std::uint64_t version)
{
    return {vm_id(vm), availability_zone_id("curitiba-a"),
            reached,   configuration_version(version),
            100ms,     1'700'000'000'123};
}

scripted_daemon::script confirm(const std::vector<daemon_confirmation>& daemons)
{
    return [daemons](const operator_request& request) -> operator_reply {
        if (std::holds_alternative<confirmations_query>(request))
        {
            return daemons;
        }
        return accept_8(request);
    };
}

run_result run_on(const scripted_daemon& daemon, std::vector<std::string> given)
{
    given.insert(given.end(), {"--daemon", daemon.address});
    return run_tool(given);
}

} // namespace

TEST(tool, usage_and_bad_files_give_2)
{
    EXPECT_EQ(run_tool({}).code, 2);
    EXPECT_EQ(run_tool({"nonsense"}).code, 2);
    EXPECT_EQ(run_tool({"status"}).code, 2);
    EXPECT_EQ(run_tool({"status", "--daemon", "localhost"}).code, 2);
    EXPECT_EQ(run_tool({"status", "--daemon", "127.0.0.1:1"}, "").code, 2);
    EXPECT_EQ(run_tool({"apply", "no/such/file.toml"}).code, 2);
    EXPECT_EQ(run_tool({"check", sample}).code, 0);
    const auto wrong =
        run_tool({"check", HEMLOCKDEAL_SAMPLES "/deployment-a/daemon.toml"});
    EXPECT_EQ(wrong.code, 2);
    EXPECT_THAT(wrong.err, HasSubstr("daemon.toml:5:2: unknown key 'vm'"));
}

// Guards against a verb whose options collide with those that all verbs have.
TEST(tool, every_verb_describes_itself_and_the_exit_codes)
{
    EXPECT_EQ(run_tool({"--version"}).code, 0);
    EXPECT_EQ(run_tool({"--help"}).code, 0);
    for (const std::string verb :
         {"check", "diff", "apply", "history", "wait", "zone", "status",
          "submit", "job", "cancel", "timeline"})
    {
        const auto help = run_tool({verb, "--help"});
        EXPECT_EQ(help.code, 0) << verb << help.err;
        // The lines are wrapped at any space.
        const auto text =
            QString::fromStdString(help.out).simplified().toStdString();
        EXPECT_THAT(text,
                    AllOf(HasSubstr("--json"), HasSubstr("5 lost a race")));
    }
}

TEST(tool, a_daemon_that_is_not_there_gives_3)
{
    EXPECT_EQ(run_tool({"status", "--daemon", "127.0.0.1:1"}).code, 3);
}

TEST(tool, the_next_daemon_is_asked)
{
    const scripted_daemon daemon(accept_8);
    const auto run = run_tool({"apply", sample, "--daemon", "127.0.0.1:1",
                               "--daemon", daemon.address});
    EXPECT_EQ(run.code, 0) << run.err;
    EXPECT_EQ(run.out, "accepted as version 8\n");
}

TEST(tool, refused_lost_and_unknown_have_their_codes)
{
    const scripted_daemon refusing([](const operator_request&) {
        return error{error_code::unavailable, "the table cannot be reached"};
    });
    EXPECT_EQ(run_on(refusing, {"status"}).code, 1);
    EXPECT_EQ(run_on(refusing, {"apply", sample}).code, 1);
    EXPECT_EQ(run_tool({"status", "--daemon", refusing.address}, "wrong").code,
              1);

    const scripted_daemon racing([](const operator_request&) {
        return change_lost_race{configuration_version(8), "ben"};
    });
    const auto lost = run_on(racing, {"apply", sample});
    EXPECT_EQ(lost.code, 5);
    EXPECT_THAT(lost.err, HasSubstr("version 8 of 'ben'"));

    const scripted_daemon unsure([](const operator_request&) {
        return error{error_code::outcome_unknown, "no response of the table"};
    });
    const auto unknown = run_on(unsure, {"zone", "out", "curitiba-a"});
    EXPECT_EQ(unknown.code, 4);
    EXPECT_THAT(unknown.err, HasSubstr("--id change-"));
    EXPECT_EQ(run_on(unsure, {"cancel", "job-1"}).code, 4);
}

// Guards against a change that is applied twice: the repetition must carry
// the id of the first attempt.
TEST(tool, an_unknown_outcome_is_repeated_with_the_same_id)
{
    int asked = 0;
    const scripted_daemon daemon(
        [&](const operator_request&) -> operator_reply {
            if (++asked == 1)
            {
                return error{error_code::outcome_unknown, "lost"};
            }
            return change_accepted{configuration_version(8)};
        });
    EXPECT_EQ(run_on(daemon, {"apply", sample}).code, 0);
    const auto changes = daemon.changes();
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].id, changes[1].id);
    EXPECT_EQ(changes[0].based_on, configuration_version(7));
    EXPECT_EQ(changes[0].author, "ana");
    EXPECT_EQ(changes[0].zones_out, std::vector{availability_zone_id("poa-a")});
}

// Guards against "refused" where the first daemon may have made the change.
TEST(tool, a_refusal_after_a_silent_daemon_is_unknown)
{
    const scripted_daemon silent(
        [](const operator_request&) { return std::nullopt; });
    const scripted_daemon refusing([](const operator_request&) {
        return error{error_code::unavailable, "the table cannot be reached"};
    });
    const auto run =
        run_on(silent, {"apply", sample, "--timeout", "0.2", "--daemon",
                        silent.address, "--daemon", refusing.address});
    EXPECT_EQ(run.code, 4) << run.err;
}

// Guards against a report of success for daemons that were not reached.
TEST(tool, wait_does_not_claim_what_is_not_confirmed)
{
    const scripted_daemon partly(confirm({confirmation("entry-1", true, 8),
                                          confirmation("entry-2", false, 7),
                                          confirmation("entry-3", true, 7)}));
    for (const auto& given : std::vector<std::vector<std::string>>{
             {"wait", "--version", "8"}, {"apply", sample, "--wait"}})
    {
        auto with_limit = given;
        with_limit.insert(with_limit.end(), {"--wait-seconds", "0"});
        const auto run = run_on(partly, with_limit);
        EXPECT_EQ(run.code, 3);
        EXPECT_THAT(
            run.out,
            HasSubstr("entry-1 (curitiba-a): confirmed at version 8\n"
                      "entry-2 (curitiba-a): not reached; starts nothing new "
                      "after 2023-11-14T22:13:20.123Z\n"
                      "entry-3 (curitiba-a): reached, still at version 7\n"));
        EXPECT_THAT(run.out + run.err, Not(HasSubstr("done")));
    }
    const scripted_daemon all(confirm(
        {confirmation("entry-1", true, 8), confirmation("entry-2", true, 9)}));
    EXPECT_EQ(run_on(all, {"wait", "--version", "8"}).code, 0);
}

TEST(tool, zones_leave_and_return)
{
    const scripted_daemon daemon(accept_8);
    EXPECT_THAT(run_on(daemon, {"zone", "list"}).out,
                AllOf(HasSubstr("poa-a rio-grande out\n"),
                      HasSubstr("curitiba-a parana in service\n")));
    EXPECT_EQ(run_on(daemon, {"zone", "out", "curitiba-b"}).code, 0);
    EXPECT_EQ(run_on(daemon, {"zone", "back", "poa-a"}).code, 0);
    EXPECT_EQ(run_on(daemon, {"zone", "out", "poa-a"}).code, 0);
    EXPECT_EQ(run_on(daemon, {"zone", "out", "curitiba-z"}).code, 2);
    const auto changes = daemon.changes();
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].zones_out.size(), 2U);
    EXPECT_TRUE(changes[1].zones_out.empty());
    EXPECT_EQ(changes[1].text, read_file(sample));
}

TEST(tool, jobs_are_submitted_and_followed)
{
    const scripted_daemon daemon(
        [](const operator_request& request) -> operator_reply {
            if (const auto* job = std::get_if<job_submission>(&request))
            {
                return job->task_size.processors.value == 500
                           ? operator_reply(submission_accepted{job->id})
                           : error{error_code::invalid_input, "wrong size"};
            }
            if (const auto* query = std::get_if<job_query>(&request))
            {
                return job_status{query->id, {{"finished", 3}}, "", {}, 1};
            }
            return cancellation_recorded{job_id("job-1"),
                                         cancel_outcome::never_ran};
        });
    const std::vector<std::string> submit = {"submit",
                                             "--class",
                                             "reconciliation",
                                             "--team",
                                             "finance",
                                             "--tasks",
                                             "3",
                                             "--id",
                                             "job-1",
                                             "--processors",
                                             "0.5",
                                             "--memory-mb",
                                             "100",
                                             "--wait"};
    const auto run = run_on(daemon, submit);
    EXPECT_EQ(run.code, 0) << run.err;
    EXPECT_THAT(run.out, HasSubstr("job job-1: 3 finished"));
    const auto cancelled = run_on(daemon, {"cancel", "job-1"});
    EXPECT_EQ(cancelled.code, 0);
    EXPECT_THAT(cancelled.out, HasSubstr("it never ran"));
    EXPECT_EQ(run_on(daemon, {"job", "a/b"}).code, 2);
}

// Guards against a merged time line that looks complete when it is not.
TEST(tool, timeline_merges_and_names_what_is_missing)
{
    const auto event = [](std::int64_t wall_us, const std::string& vm) {
        timeline_event e;
        e.stamp.wall_us = wall_us;
        e.vm = vm;
        e.kind = "task.start";
        return e;
    };
    const scripted_daemon second(accept_8,
                                 {"entry-2", 5, {event(1'000, "entry-2")}});
    const scripted_daemon first(
        [&](const operator_request&) {
            daemon_status status;
            status.vm = vm_id("entry-1");
            for (const auto& [vm, address] :
                 std::map<std::string, std::string>{{"entry-2", second.address},
                                                    {"entry-3", "127.0.0.1:1"},
                                                    {"entry-4", ""}})
            {
                status.peers.push_back(
                    {vm_id(vm), availability_zone_id("z"), true, 1ms, address});
            }
            return status;
        },
        {"entry-1", 0, {event(2'000, "entry-1")}});
    const auto run = run_on(first, {"timeline", "--job", "job 1&zone=x"});
    EXPECT_EQ(run.code, 3);
    EXPECT_LT(run.out.find("entry-2"), run.out.find("entry-1"));
    EXPECT_THAT(run.err, AllOf(HasSubstr("not reached: 127.0.0.1:1"),
                               HasSubstr("entry-4: its operators' address"),
                               HasSubstr("5 older events of entry-2")));
    const QTemporaryDir folder;
    const auto file = folder.filePath("trace.json").toStdString();
    EXPECT_EQ(run_on(second, {"timeline", "--chrome", file}).code, 3);
    EXPECT_THAT(read_file(file), HasSubstr("\"traceEvents\""));
}

TEST(tool, diff_shows_each_change)
{
    const scripted_daemon daemon(accept_8);
    const QTemporaryDir folder;
    const auto file = folder.filePath("new.toml").toStdString();
    auto text = read_file(sample);
    text.replace(text.find("150 ms"), 6, "120 ms");
    std::ofstream(file) << text;
    const auto run = run_on(daemon, {"diff", file});
    EXPECT_EQ(run.code, 0);
    EXPECT_EQ(run.out, "compared with version 7\n"
                       "~ class return-lookup: target = 150 ms -> 120 ms\n");
}
