// Verbs submit, job and cancel.
#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <thread>

#include "hemlockdealctl/current_configuration.hpp"
#include "hemlockdealctl/report.hpp"
#include "hemlockdealctl/verb_line.hpp"
#include "hemlockdealctl/verbs.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

namespace
{

// Terminal task states.
constexpr std::array<std::string_view, 3> final_states = {"finished", "failed",
                                                          "cancelled"};

constexpr std::chrono::milliseconds poll_interval(500);

bool is_final(const job_status& job)
{
    return !job.tasks_by_state.empty() &&
           std::ranges::all_of(job.tasks_by_state, [](const auto& entry) {
               return entry.second == 0 ||
                      std::ranges::find(final_states, entry.first) !=
                          final_states.end();
           });
}

void print(const client_response& response, const job_status& job, bool json)
{
    if (json)
    {
        std::cout << response.body << '\n';
        return;
    }
    std::cout << "job " << job.id.value() << ':';
    for (const auto& [state, count] : job.tasks_by_state)
    {
        std::cout << ' ' << count << ' ' << state;
    }
    std::cout << ", " << job.evictions << " evictions\n";
    if (!job.waiting_reason.empty())
    {
        std::cout << "waits: " << job.waiting_reason << '\n';
    }
    for (const shard_id& shard : job.shards)
    {
        std::cout << "part in shard " << shard.zone.value() << '/'
                  << shard.number << '\n';
    }
}

// A job succeeded only if all of its tasks finished.
exit_code job_exit_code(const job_status& job)
{
    const auto finished = job.tasks_by_state.find("finished");
    const bool all =
        std::ranges::all_of(job.tasks_by_state, [](const auto& entry) {
            return entry.second == 0 || entry.first == "finished";
        });
    return all && finished != job.tasks_by_state.end() ? exit_code::done
                                                       : exit_code::refused;
}

exit_code wait_for_job(operator_client& client, const job_id& id,
                       std::chrono::seconds limit, bool json)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (true)
    {
        const client_response response = client.send_request(job_query{id});
        const auto* const job = std::get_if<job_status>(&response.reply);
        const bool has_ended = job != nullptr && is_final(*job);
        if (!has_ended && std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(poll_interval);
            continue;
        }
        if (job == nullptr)
        {
            return report_failure(response);
        }
        print(response, *job, json);
        if (!has_ended)
        {
            std::cerr << "the job has not ended yet\n";
            return exit_code::outcome_unknown;
        }
        return job_exit_code(*job);
    }
}

struct submit_arguments
{
    explicit submit_arguments(TCLAP::CmdLine& line)
        : id("", "id",
             "Id of the job; repeating a submission with the same id does not "
             "run it twice (default: a new id).",
             false, "", "id", line),
          work_class("", "class", "Class of work.", true, "", "class", line),
          team("", "team", "Team whose quota is used.", true, "", "team", line),
          tasks("", "tasks", "Number of tasks (default 1).", false, 1, "number",
                line),
          processors("", "processors", "Processors a task, such as 0.5.", true,
                     0.0, "number", line),
          memory("", "memory-mb", "Memory a task.", true, 0, "MB", line),
          accelerators("", "accelerators", "Accelerators a task (default 0).",
                       false, 0, "number", line),
          run_time("", "run-time",
                   "Expected run time of a task, such as \"90 s\".", false, "",
                   "time", line),
          payload("", "payload", "Text that is handed to the tasks.", false, "",
                  "text", line),
          wait("", "wait", "Waits for the end of the job.", line),
          wait_limit("", "wait-seconds", "Longest time to wait (default 3600).",
                     false, 3600, "seconds", line)
    {}

    job_submission job()
    {
        job_submission job;
        job.id = job_id(id.isSet() ? checked_id("job", id.getValue())
                                   : new_id("job-"));
        job.work_class = class_id(checked_id("class", work_class.getValue()));
        job.team = team_id(checked_id("team", team.getValue()));
        job.tasks =
            static_cast<std::uint32_t>(checked_value(tasks, 1, 1'000'000));
        if (!(processors.getValue() > 0.0 && processors.getValue() <= 10'000.0))
        {
            throw usage_error("--processors is not between 0 and 10000");
        }
        job.task_size.processors.value =
            std::llround(processors.getValue() * 1000.0);
        job.task_size.memory.value = checked_value(memory, 1, 100'000'000);
        job.task_size.accelerators.value = checked_value(accelerators, 0, 1000);
        if (run_time.isSet())
        {
            const auto time = parse_duration(run_time.getValue());
            if (!time)
            {
                throw usage_error("--run-time is not a time such as \"90 s\"");
            }
            job.declared_run_time = *time;
        }
        job.payload = payload.getValue();
        return job;
    }

    TCLAP::ValueArg<std::string> id;
    TCLAP::ValueArg<std::string> work_class;
    TCLAP::ValueArg<std::string> team;
    TCLAP::ValueArg<std::int64_t> tasks;
    TCLAP::ValueArg<double> processors;
    TCLAP::ValueArg<std::int64_t> memory;
    TCLAP::ValueArg<std::int64_t> accelerators;
    TCLAP::ValueArg<std::string> run_time;
    TCLAP::ValueArg<std::string> payload;
    TCLAP::SwitchArg wait;
    TCLAP::ValueArg<std::int64_t> wait_limit;
};

// Parses the command line of a verb whose only argument is a job id.
job_id parse_job_id(verb_line& line, const arguments& args)
{
    TCLAP::UnlabeledValueArg<std::string> id("id", "Id of the job.", true, "",
                                             "ID", line.line());
    line.parse(args);
    return job_id(checked_id("job", id.getValue()));
}

std::string_view describe(cancel_outcome outcome)
{
    switch (outcome)
    {
    case cancel_outcome::never_ran:
        return "cancelled; it never ran";
    case cancel_outcome::was_stopped:
        return "cancelled; it was stopped";
    case cancel_outcome::already_finished:
        return "not cancelled; it had already finished";
    case cancel_outcome::unknown_yet:
        return "the cancellation is recorded; whether it ran is not known yet";
    }
    return "";
}

exit_code to_exit_code(cancel_outcome outcome)
{
    switch (outcome)
    {
    case cancel_outcome::never_ran:
    case cancel_outcome::was_stopped:
        return exit_code::done;
    case cancel_outcome::already_finished:
        return exit_code::refused;
    case cancel_outcome::unknown_yet:
        return exit_code::outcome_unknown;
    }
    return exit_code::outcome_unknown;
}

} // namespace

exit_code run_submit(const arguments& args)
{
    verb_line line("submit", "Submits a job. 'accepted' means that the job "
                             "will not be lost.");
    submit_arguments options(line.line());
    line.parse(args);
    const job_submission job = options.job();
    const std::chrono::seconds limit(
        checked_value(options.wait_limit, 0, 100LL * 86'400));
    operator_client client = line.client();
    const client_response response = client.send_with_retries(job);
    if (!std::holds_alternative<submission_accepted>(response.reply))
    {
        const exit_code code = report_failure(response);
        if (code == exit_code::outcome_unknown)
        {
            std::cerr << "to repeat this submission: --id " << job.id.value()
                      << '\n';
        }
        return code;
    }
    if (options.wait.getValue())
    {
        return wait_for_job(client, job.id, limit, line.json());
    }
    if (line.json())
    {
        std::cout << response.body << '\n';
    }
    else
    {
        std::cout << "accepted as job " << job.id.value() << '\n';
    }
    return exit_code::done;
}

exit_code run_job(const arguments& args)
{
    verb_line line("job", "Shows the state of a job and why it waits.");
    const job_id id = parse_job_id(line, args);
    operator_client client = line.client();
    const client_response response = client.send_request(job_query{id});
    if (const auto* const job = std::get_if<job_status>(&response.reply))
    {
        print(response, *job, line.json());
        return exit_code::done;
    }
    return report_failure(response);
}

exit_code run_cancel(const arguments& args)
{
    verb_line line("cancel", "Cancels a job. Exit code 1 says that it had "
                             "already finished, 4 that it is not known yet.");
    const job_id id = parse_job_id(line, args);
    operator_client client = line.client();
    const client_response response =
        client.send_with_retries(job_cancellation{id});
    const auto* const recorded =
        std::get_if<cancellation_recorded>(&response.reply);
    if (recorded == nullptr)
    {
        return report_failure(response);
    }
    if (line.json())
    {
        std::cout << response.body << '\n';
    }
    else
    {
        std::cout << "job " << id.value() << ": " << describe(recorded->outcome)
                  << '\n';
    }
    return to_exit_code(recorded->outcome);
}

} // namespace hemlockdeal
