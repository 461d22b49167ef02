// Requests about jobs.
#include "batch/submission_intake.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "batch/submission_split.hpp"

namespace hemlockdeal
{

namespace
{

constexpr std::uint32_t most_tasks = 100'000;
constexpr std::size_t most_payload_bytes = 64UL * 1024;

// Job ids are parts of table keys.
bool is_valid_id(const std::string& id)
{
    return !id.empty() && id.size() <= 128 &&
           std::ranges::all_of(id, [](char c) {
               return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                      (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                      c == '.';
           });
}

std::string problem_with(const batch_context& context,
                         const job_submission& job)
{
    const resources& size = job.task_size;
    if (!is_valid_id(job.id.value()))
    {
        return "the id must have 1 to 128 letters, digits, '-', '_' or '.'";
    }
    if (job.tasks == 0 || job.tasks > most_tasks)
    {
        return "the number of tasks must be between 1 and " +
               std::to_string(most_tasks);
    }
    if (size.processors.value < 0 || size.memory.value < 0 ||
        size.accelerators.value < 0 ||
        (size.processors.value == 0 && size.memory.value == 0 &&
         size.accelerators.value == 0))
    {
        return "the size of a task must not be zero or negative";
    }
    if (job.payload.size() > most_payload_bytes)
    {
        return "the payload is longer than 64 KB";
    }
    if (context.class_of(job) == nullptr)
    {
        return "class \"" + job.work_class.value() + "\" is not declared";
    }
    return reason_never_to_run(context, job);
}

} // namespace

submission_intake::submission_intake(batch_context& context)
    : context_(context), reader_(context)
{}

void submission_intake::on_request(std::uint64_t number,
                                   const operator_request& request,
                                   time_point now)
{
    ++open_;
    if (open_ > context_.options.operator_requests_at_once)
    {
        refuse(number, error_code::overloaded,
               "too many requests about jobs are under way");
    }
    else if (const auto* submission = std::get_if<job_submission>(&request))
    {
        submit(number, *submission, now);
    }
    else if (const auto* asked = std::get_if<job_query>(&request))
    {
        query(number, asked->id);
    }
    else if (const auto* cancelled = std::get_if<job_cancellation>(&request))
    {
        cancel(number, cancelled->id);
    }
    else
    {
        refuse(number, error_code::invalid_input,
               "the request is not about a job");
    }
}

void submission_intake::submit(std::uint64_t number, const job_submission& job,
                               time_point now)
{
    if (context_.configuration.current() == nullptr ||
        context_.members.version == 0)
    {
        refuse(number, error_code::unavailable,
               "not accepted: the daemon has no configuration or list of "
               "workers yet");
        return;
    }
    const std::string problem = problem_with(context_, job);
    if (!problem.empty())
    {
        refuse(number, error_code::invalid_input, problem);
        return;
    }
    const std::vector<job_row_part> parts = split_job(context_, job, now);
    const commit_id id = context_.commits.next_id();
    table_commit commit{id, {}, {}};
    commit.writes.push_back(
        {job_key(job.id), expect_absent{},
         encode(job_row{digest_of(job), job.tasks, parts}, id)});
    for (const job_row_part& split : parts)
    {
        job_part part;
        part.job = job;
        part.submitted_at = now;
        part.tasks.resize(split.count);
        for (std::uint32_t i = 0; i < split.count; ++i)
        {
            part.tasks[i].index = split.first + i;
        }
        commit.writes.push_back({inbox_prefix(split.shard) + "s." +
                                     job.id.value() + ".new." +
                                     std::to_string(split.first),
                                 expect_absent{}, encode(part, now, id)});
    }
    context_.commits.submit(
        std::move(commit), job_key(job.id),
        [this, number, job, parts](const commit_result& outcome, time_point) {
            on_submitted(number, job, parts, outcome);
        },
        now, now + context_.options.submission_timeout);
}

void submission_intake::on_submitted(std::uint64_t number,
                                     const job_submission& job,
                                     const std::vector<job_row_part>& parts,
                                     const commit_result& outcome)
{
    if (outcome.outcome == commit_result::kind::done)
    {
        notify(parts);
        record("job.accepted", job.id,
               std::to_string(job.tasks) + " tasks in " +
                   std::to_string(parts.size()) + " parts");
        answer(number, submission_accepted{job.id});
        return;
    }
    if (outcome.outcome == commit_result::kind::expired)
    {
        refuse(number, error_code::outcome_unknown,
               "the table did not answer; repeat the submission with the same "
               "id");
        return;
    }
    const std::optional<job_row> present =
        outcome.probe ? decode_job(outcome.probe->value) : std::nullopt;
    if (present && present->digest == digest_of(job))
    {
        // The same submission was accepted before.
        answer(number, submission_accepted{job.id});
        return;
    }
    refuse(number, error_code::conflict,
           "another job with the id \"" + job.id.value() + "\" exists");
}

void submission_intake::notify(const std::vector<job_row_part>& parts)
{
    for (const job_row_part& part : parts)
    {
        context_.noticed.push_back(part.shard);
        context_.actions.emplace_back(
            send_to_peer{std::nullopt, inbox_notice{part.shard}});
    }
}

void submission_intake::query(std::uint64_t number, const job_id& job)
{
    read_state(number, job, "",
               [this, number, job](const job_state& state, time_point) {
                   job_status status = state.status(job);
                   const bool waits =
                       status.tasks_by_state.contains("waiting") ||
                       status.tasks_by_state.contains("waiting_to_resume");
                   if (status.waiting_reason.empty() && waits && reasons_)
                   {
                       status.waiting_reason = reasons_(job);
                   }
                   answer(number, std::move(status));
               });
}

void submission_intake::cancel(std::uint64_t number, const job_id& job)
{
    read_state(number, job, "not cancelled: ",
               [this, number, job](const job_state& state, time_point at) {
                   const cancel_outcome known = state.cancelled_as();
                   if (known != cancel_outcome::unknown_yet)
                   {
                       answer(number, cancellation_recorded{job, known});
                       return;
                   }
                   send_cancellation(number, job, state, at);
               });
}

void submission_intake::read_state(
    std::uint64_t number, const job_id& job, const std::string& consequence,
    std::function<void(const job_state&, time_point)> use)
{
    reader_.read(job, [this, number, job, consequence, use = std::move(use)](
                          const result<std::optional<job_state>>& read,
                          time_point at) {
        if (!is_ok(read))
        {
            refuse(number, error_code::unavailable,
                   consequence + "the state of the job could not be read: " +
                       error_of(read).message);
            return;
        }
        if (!value_of(read))
        {
            refuse(number, error_code::not_found,
                   "job \"" + job.value() + "\" does not exist");
            return;
        }
        use(*value_of(read), at);
    });
}

void submission_intake::send_cancellation(std::uint64_t number,
                                          const job_id& job,
                                          const job_state& state,
                                          time_point now)
{
    const commit_id id = context_.commits.next_id();
    table_commit commit{id, {}, {}};
    // Commit ids contain slashes, which separate the parts of a key.
    std::string suffix = id.value();
    std::ranges::replace(suffix, '/', '.');
    std::vector<job_row_part> parts = state.row.parts;
    for (const job_row_part& part : parts)
    {
        commit.writes.push_back(
            {inbox_prefix(part.shard) + "c." + job.value() + "." + suffix,
             expect_absent{}, encode_cancellation(job, id)});
    }
    const std::string probe = commit.writes.front().key;
    context_.commits.submit(
        std::move(commit), probe,
        [this, number, job, parts](const commit_result& outcome,
                                   time_point at) {
            if (outcome.outcome != commit_result::kind::done)
            {
                refuse(number, error_code::outcome_unknown,
                       "the table did not answer; repeat the cancellation");
                return;
            }
            notify(parts);
            const duration wait = context_.options.cancel_wait;
            cancellations_[number] = {job, at + wait / 8, at + wait, wait / 8,
                                      false};
        },
        now, now + context_.options.submission_timeout);
}

void submission_intake::on_tick(time_point now)
{
    std::vector<std::uint64_t> due;
    for (auto& [number, waiting] : cancellations_)
    {
        if (!waiting.looking && now >= waiting.next_look)
        {
            waiting.looking = true;
            due.push_back(number);
        }
    }
    for (const std::uint64_t number : due)
    {
        look(number);
    }
}

void submission_intake::look(std::uint64_t number)
{
    reader_.read(cancellations_.at(number).job,
                 [this, number](const result<std::optional<job_state>>& read,
                                time_point at) {
                     const auto found = cancellations_.find(number);
                     if (found == cancellations_.end())
                     {
                         return;
                     }
                     cancellation& waiting = found->second;
                     waiting.looking = false;
                     // Fewer readings the longer it takes.
                     waiting.wait *= 2;
                     waiting.next_look = at + waiting.wait;
                     cancel_outcome outcome = cancel_outcome::unknown_yet;
                     if (is_ok(read) && value_of(read))
                     {
                         outcome = value_of(read)->cancelled_as();
                     }
                     if (outcome != cancel_outcome::unknown_yet ||
                         at >= waiting.until)
                     {
                         const job_id job = waiting.job;
                         cancellations_.erase(found);
                         answer(number, cancellation_recorded{job, outcome});
                     }
                 });
}

void submission_intake::record(std::string kind, const job_id& job,
                               std::string text)
{
    timeline_event event;
    event.kind = std::move(kind);
    event.job = job.value();
    event.text = std::move(text);
    context_.actions.emplace_back(record_event{std::move(event)});
}

void submission_intake::answer(std::uint64_t number, operator_reply reply)
{
    --open_;
    context_.actions.emplace_back(operator_answer{number, std::move(reply)});
}

void submission_intake::refuse(std::uint64_t number, error_code code,
                               std::string message)
{
    answer(number, error{code, std::move(message)});
}

} // namespace hemlockdeal
