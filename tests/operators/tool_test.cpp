// End-to-end tests of hemlockdealctl against a scripted daemon: exit codes, and
// the output about daemons that have not confirmed a version.
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

const std::string sample_declaration =
    HEMLOCKDEAL_SAMPLES "/deployment-a/declaration.toml";

struct run_result
{
    int code = -1;
    std::string out;
    std::string err;
};

run_result run_tool(const std::vector<std::string>& arguments,
                    const std::string& token = "secret")
{
    QStringList list;
    for (const std::string& argument : arguments)
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

// Replies as the script says, or not at all if the script returns nothing.
// Records the configuration changes it receives.
class scripted_daemon
{
public:
    using script =
        std::function<std::optional<operator_reply>(const operator_request&)>;

    explicit scripted_daemon(script replies, timeline_part part = {})
        : script_(std::move(replies)), part_(std::move(part)),
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
            current.text = read_file(sample_declaration);
            current.zones_out = {availability_zone_id("poa-a")};
            return current;
        }
        return script_(request);
    }

    script script_;
    timeline_part part_;
    mutable std::mutex mutex_;
    std::vector<configuration_change> changes_;
    operator_server server_;
};

operator_reply accept_as_version_8(const operator_request&)
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

scripted_daemon::script
reply_with_confirmations(const std::vector<daemon_confirmation>& daemons)
{
    return [daemons](const operator_request& request) -> operator_reply {
        if (std::holds_alternative<confirmations_query>(request))
        {
            return daemons;
        }
        return accept_as_version_8(request);
    };
}

run_result run_against(const scripted_daemon& daemon,
                       std::vector<std::string> arguments)
{
    arguments.insert(arguments.end(), {"--daemon", daemon.address});
    return run_tool(arguments);
}

} // namespace

TEST(tool, usage_errors_and_invalid_files_give_exit_code_2)
{
    EXPECT_EQ(run_tool({}).code, 2);
    EXPECT_EQ(run_tool({"nonsense"}).code, 2);
    EXPECT_EQ(run_tool({"status"}).code, 2);
    EXPECT_EQ(run_tool({"status", "--daemon", "localhost"}).code, 2);
    EXPECT_EQ(run_tool({"status", "--daemon", "127.0.0.1:1"}, "").code, 2);
    EXPECT_EQ(run_tool({"apply", "no/such/file.toml"}).code, 2);
    EXPECT_EQ(run_tool({"check", sample_declaration}).code, 0);
    const auto wrong =
        run_tool({"check", HEMLOCKDEAL_SAMPLES "/deployment-a/daemon.toml"});
    EXPECT_EQ(wrong.code, 2);
    EXPECT_THAT(wrong.err, HasSubstr("daemon.toml:5:2: unknown key 'vm'"));
}

// Failure: an option of a verb collides with one of the common options.
TEST(tool, help_of_every_verb_lists_the_exit_codes)
{
    EXPECT_EQ(run_tool({"--version"}).code, 0);
    EXPECT_EQ(run_tool({"--help"}).code, 0);
    for (const std::string verb :
         {"check", "diff", "apply", "history", "wait", "zone", "status",
          "submit", "job", "cancel", "timeline"})
    {
        const auto help = run_tool({verb, "--help"});
        EXPECT_EQ(help.code, 0) << verb << help.err;
        // TCLAP may wrap the help text at any space.
        const auto text =
            QString::fromStdString(help.out).simplified().toStdString();
        EXPECT_THAT(text,
                    AllOf(HasSubstr("--json"), HasSubstr("5 lost a race")));
    }
}

TEST(tool, an_unreachable_daemon_gives_exit_code_3)
{
    EXPECT_EQ(run_tool({"status", "--daemon", "127.0.0.1:1"}).code, 3);
}

TEST(tool, the_next_daemon_is_tried)
{
    const scripted_daemon daemon(accept_as_version_8);
    const auto run = run_tool({"apply", sample_declaration, "--daemon",
                               "127.0.0.1:1", "--daemon", daemon.address});
    EXPECT_EQ(run.code, 0) << run.err;
    EXPECT_EQ(run.out, "accepted as version 8\n");
}

TEST(tool, refusals_conflicts_and_unknown_outcomes_have_their_exit_codes)
{
    const scripted_daemon refusing_daemon([](const operator_request&) {
        return error{error_code::unavailable, "the table cannot be reached"};
    });
    EXPECT_EQ(run_against(refusing_daemon, {"status"}).code, 1);
    EXPECT_EQ(run_against(refusing_daemon, {"apply", sample_declaration}).code,
              1);
    EXPECT_EQ(
        run_tool({"status", "--daemon", refusing_daemon.address}, "wrong").code,
        1);

    const scripted_daemon conflicting_daemon([](const operator_request&) {
        return change_lost_race{configuration_version(8), "ben"};
    });
    const auto lost =
        run_against(conflicting_daemon, {"apply", sample_declaration});
    EXPECT_EQ(lost.code, 5);
    EXPECT_THAT(lost.err, HasSubstr("version 8 of 'ben'"));

    const scripted_daemon uncertain_daemon([](const operator_request&) {
        return error{error_code::outcome_unknown, "no response of the table"};
    });
    const auto unknown =
        run_against(uncertain_daemon, {"zone", "out", "curitiba-a"});
    EXPECT_EQ(unknown.code, 4);
    EXPECT_THAT(unknown.err, HasSubstr("--id change-"));
    EXPECT_EQ(run_against(uncertain_daemon, {"cancel", "job-1"}).code, 4);
}

// Failure: a change is applied twice, because the retry does not carry the id
// of the first attempt.
TEST(tool, an_unknown_outcome_is_retried_with_the_same_id)
{
    int attempts = 0;
    const scripted_daemon daemon(
        [&](const operator_request&) -> operator_reply {
            if (++attempts == 1)
            {
                return error{error_code::outcome_unknown, "lost"};
            }
            return change_accepted{configuration_version(8)};
        });
    EXPECT_EQ(run_against(daemon, {"apply", sample_declaration}).code, 0);
    const auto changes = daemon.changes();
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].id, changes[1].id);
    EXPECT_EQ(changes[0].based_on, configuration_version(7));
    EXPECT_EQ(changes[0].author, "ana");
    EXPECT_EQ(changes[0].zones_out, std::vector{availability_zone_id("poa-a")});
}

// Failure: "refused" is reported although the first daemon, which did not
// respond, may have applied the change.
TEST(tool, a_refusal_after_an_unresponsive_daemon_is_an_unknown_outcome)
{
    const scripted_daemon unresponsive_daemon(
        [](const operator_request&) { return std::nullopt; });
    const scripted_daemon refusing_daemon([](const operator_request&) {
        return error{error_code::unavailable, "the table cannot be reached"};
    });
    const auto run = run_against(
        unresponsive_daemon,
        {"apply", sample_declaration, "--timeout", "0.2", "--daemon",
         unresponsive_daemon.address, "--daemon", refusing_daemon.address});
    EXPECT_EQ(run.code, 4) << run.err;
}

// Failure: success is reported although some daemons were not reached or have
// not confirmed the version.
TEST(tool, wait_succeeds_only_after_all_confirmations)
{
    const scripted_daemon partially_confirmed(reply_with_confirmations(
        {confirmation("entry-1", true, 8), confirmation("entry-2", false, 7),
         confirmation("entry-3", true, 7)}));
    for (const auto& arguments : std::vector<std::vector<std::string>>{
             {"wait", "--version", "8"},
             {"apply", sample_declaration, "--wait"}})
    {
        auto with_limit = arguments;
        with_limit.insert(with_limit.end(), {"--wait-seconds", "0"});
        const auto run = run_against(partially_confirmed, with_limit);
        EXPECT_EQ(run.code, 3);
        EXPECT_THAT(
            run.out,
            HasSubstr("entry-1 (curitiba-a): confirmed at version 8\n"
                      "entry-2 (curitiba-a): not reached; starts nothing new "
                      "after 2023-11-14T22:13:20.123Z\n"
                      "entry-3 (curitiba-a): reached, still at version 7\n"));
        EXPECT_THAT(run.out + run.err, Not(HasSubstr("done")));
    }
    const scripted_daemon fully_confirmed(reply_with_confirmations(
        {confirmation("entry-1", true, 8), confirmation("entry-2", true, 9)}));
    EXPECT_EQ(run_against(fully_confirmed, {"wait", "--version", "8"}).code, 0);
}

TEST(tool, zones_are_taken_out_and_returned)
{
    const scripted_daemon daemon(accept_as_version_8);
    EXPECT_THAT(run_against(daemon, {"zone", "list"}).out,
                AllOf(HasSubstr("poa-a rio-grande out\n"),
                      HasSubstr("curitiba-a parana in service\n")));
    EXPECT_EQ(run_against(daemon, {"zone", "out", "curitiba-b"}).code, 0);
    EXPECT_EQ(run_against(daemon, {"zone", "back", "poa-a"}).code, 0);
    EXPECT_EQ(run_against(daemon, {"zone", "out", "poa-a"}).code, 0);
    EXPECT_EQ(run_against(daemon, {"zone", "out", "curitiba-z"}).code, 2);
    const auto changes = daemon.changes();
    ASSERT_EQ(changes.size(), 2U);
    EXPECT_EQ(changes[0].zones_out.size(), 2U);
    EXPECT_TRUE(changes[1].zones_out.empty());
    EXPECT_EQ(changes[1].text, read_file(sample_declaration));
}

TEST(tool, jobs_are_submitted_monitored_and_cancelled)
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
    const auto run = run_against(daemon, submit);
    EXPECT_EQ(run.code, 0) << run.err;
    EXPECT_THAT(run.out, HasSubstr("job job-1: 3 finished"));
    const auto cancelled = run_against(daemon, {"cancel", "job-1"});
    EXPECT_EQ(cancelled.code, 0);
    EXPECT_THAT(cancelled.out, HasSubstr("it never ran"));
    EXPECT_EQ(run_against(daemon, {"job", "a/b"}).code, 2);
}

// Failure: a merged time line looks complete although parts are missing.
TEST(tool, timeline_merges_parts_and_reports_missing_ones)
{
    const auto event = [](std::int64_t wall_us, const std::string& vm) {
        timeline_event e;
        e.stamp.wall_us = wall_us;
        e.vm = vm;
        e.kind = "task.start";
        return e;
    };
    const scripted_daemon second(accept_as_version_8,
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
    const auto run = run_against(first, {"timeline", "--job", "job 1&zone=x"});
    EXPECT_EQ(run.code, 3);
    EXPECT_LT(run.out.find("entry-2"), run.out.find("entry-1"));
    EXPECT_THAT(run.err, AllOf(HasSubstr("not reached: 127.0.0.1:1"),
                               HasSubstr("entry-4: its operators' address"),
                               HasSubstr("5 older events of entry-2")));
    const QTemporaryDir folder;
    const auto file = folder.filePath("trace.json").toStdString();
    EXPECT_EQ(run_against(second, {"timeline", "--chrome", file}).code, 3);
    EXPECT_THAT(read_file(file), HasSubstr("\"traceEvents\""));
}

TEST(tool, diff_shows_each_change)
{
    const scripted_daemon daemon(accept_as_version_8);
    const QTemporaryDir folder;
    const auto file = folder.filePath("new.toml").toStdString();
    auto text = read_file(sample_declaration);
    text.replace(text.find("150 ms"), 6, "120 ms");
    std::ofstream(file) << text;
    const auto run = run_against(daemon, {"diff", file});
    EXPECT_EQ(run.code, 0);
    EXPECT_EQ(run.out, "compared with version 7\n"
                       "~ class return-lookup: target = 150 ms -> 120 ms\n");
}
