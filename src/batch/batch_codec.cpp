// JSON of the batch core's table rows. Task lists are arrays without keys,
// because they make up most of the bytes.
#include "batch/batch_codec.hpp"

#include <algorithm>
#include <chrono>
#include <exception>
#include <stdexcept>
#include <string>
#include <utility>

#include <boost/json.hpp>

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

// The operators' API accepts no larger job.
constexpr std::uint32_t max_tasks_per_job = 1'000'000;

template <typename Number>
Number number_at(const json::object& o, const char* key)
{
    return o.at(key).to_number<Number>();
}

std::string text_at(const json::object& o, const char* key)
{
    return json::value_to<std::string>(o.at(key));
}

// Runs `read` on the parsed object; any mismatch gives an empty result.
template <typename Function>
auto decode_object(const std::string& value, Function read)
    -> std::optional<decltype(read(std::declval<const json::object&>()))>
{
    try
    {
        return read(json::parse(value).as_object());
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

json::array encode_shard_id(const shard_id& shard)
{
    return {shard.zone.value(), shard.number};
}

shard_id decode_shard_id(const json::value& v)
{
    const json::array& a = v.as_array();
    return {availability_zone_id(json::value_to<std::string>(a.at(0))),
            a.at(1).to_number<std::uint32_t>()};
}

json::object encode_submission(const job_submission& job)
{
    return {{"id", job.id.value()},
            {"team", job.team.value()},
            {"class", job.work_class.value()},
            {"tasks", job.tasks},
            {"cpu", job.task_size.processors.value},
            {"mem", job.task_size.memory.value},
            {"acc", job.task_size.accelerators.value},
            {"run", job.declared_run_time.count()},
            {"payload", job.payload}};
}

job_submission decode_submission(const json::object& o)
{
    job_submission job;
    job.id = job_id(text_at(o, "id"));
    job.team = team_id(text_at(o, "team"));
    job.work_class = class_id(text_at(o, "class"));
    job.tasks = number_at<std::uint32_t>(o, "tasks");
    job.task_size.processors.value = number_at<std::int64_t>(o, "cpu");
    job.task_size.memory.value = number_at<std::int64_t>(o, "mem");
    job.task_size.accelerators.value = number_at<std::int64_t>(o, "acc");
    job.declared_run_time = duration(number_at<std::int64_t>(o, "run"));
    job.payload = text_at(o, "payload");
    return job;
}

bool is_pristine(const batch_task& task)
{
    return task.phase == task_phase::waiting && task.attempt == 0;
}

json::array encode_task(const batch_task& task)
{
    json::array failed_on;
    for (const worker_id& worker : task.failed_on)
    {
        failed_on.emplace_back(worker.value());
    }
    // Whether an attempt has begun to run is learnt from its worker again.
    const task_phase phase =
        task.phase == task_phase::running ? task_phase::intent : task.phase;
    const unsigned flags =
        (task.may_have_run ? 1U : 0U) | (task.ran_before_attempt ? 2U : 0U);
    return {task.index,          static_cast<unsigned>(phase),
            task.attempt,        flags,
            task.evictions,      task.failures,
            task.progress,       task.checkpoint,
            task.worker.value(), task.list_version,
            std::move(failed_on)};
}

batch_task decode_task(const json::array& a)
{
    batch_task task;
    task.index = a.at(0).to_number<std::uint32_t>();
    task.phase = static_cast<task_phase>(
        std::min(a.at(1).to_number<unsigned>(),
                 static_cast<unsigned>(task_phase::cancelled)));
    task.attempt = a.at(2).to_number<std::uint32_t>();
    const auto flags = a.at(3).to_number<unsigned>();
    task.may_have_run = (flags & 1U) != 0;
    task.ran_before_attempt = (flags & 2U) != 0;
    task.evictions = a.at(4).to_number<std::uint32_t>();
    task.failures = a.at(5).to_number<std::uint32_t>();
    task.progress = a.at(6).to_number<double>();
    task.checkpoint = json::value_to<std::string>(a.at(7));
    task.worker = worker_id(json::value_to<std::string>(a.at(8)));
    task.list_version = a.at(9).to_number<std::uint64_t>();
    for (const json::value& worker : a.at(10).as_array())
    {
        task.failed_on.emplace_back(json::value_to<std::string>(worker));
    }
    return task;
}

json::object encode_part(const job_part& part, time_point now)
{
    json::array ranges;
    json::array tasks;
    std::uint32_t next = 0;
    for (const batch_task& task : part.tasks)
    {
        if (!is_pristine(task))
        {
            tasks.emplace_back(encode_task(task));
            continue;
        }
        if (!ranges.empty() && next == task.index)
        {
            json::value& count = ranges.back().as_array().at(1);
            count = count.to_number<std::uint32_t>() + 1;
        }
        else
        {
            ranges.emplace_back(json::array{task.index, 1U});
        }
        next = task.index + 1;
    }
    json::array moved_to;
    for (const shard_id& shard : part.moved_to)
    {
        moved_to.emplace_back(encode_shard_id(shard));
    }
    return {{"job", encode_submission(part.job)},
            {"waited", (now - part.submitted_at).count()},
            {"ranges", std::move(ranges)},
            {"tasks", std::move(tasks)},
            {"cancelled", part.cancelled},
            {"failure", part.failure},
            {"moved_to", std::move(moved_to)},
            {"covered", part.covered}};
}

// Throws if the row lists more tasks than its job has: a short row could
// otherwise exhaust the memory of each owner of the shard.
void add_range(job_part& part, std::uint32_t first, std::uint32_t count)
{
    const std::size_t listed = part.tasks.size();
    if (part.job.tasks > max_tasks_per_job || first > part.job.tasks ||
        count > part.job.tasks - first || count + listed > part.job.tasks)
    {
        throw std::out_of_range("more tasks than the job has");
    }
    for (std::uint32_t i = 0; i < count; ++i)
    {
        part.tasks.emplace_back().index = first + i;
    }
}

job_part decode_part_object(const json::object& o, time_point now)
{
    job_part part;
    part.job = decode_submission(o.at("job").as_object());
    part.submitted_at = now - duration(number_at<std::int64_t>(o, "waited"));
    for (const json::value& range : o.at("ranges").as_array())
    {
        const auto first = range.as_array().at(0).to_number<std::uint32_t>();
        const auto count = range.as_array().at(1).to_number<std::uint32_t>();
        add_range(part, first, count);
    }
    for (const json::value& task : o.at("tasks").as_array())
    {
        part.tasks.push_back(decode_task(task.as_array()));
    }
    std::ranges::sort(part.tasks, {}, &batch_task::index);
    part.cancelled = o.at("cancelled").as_bool();
    part.failure = text_at(o, "failure");
    for (const json::value& shard : o.at("moved_to").as_array())
    {
        part.moved_to.insert(decode_shard_id(shard));
    }
    part.covered = number_at<std::uint64_t>(o, "covered");
    return part;
}

struct record_encoder
{
    time_point now;

    json::array operator()(const part_bound& r) const
    {
        return {"bind", encode_part(r.part, now)};
    }
    json::array operator()(const start_intended& r) const
    {
        return {"start",   r.job.value(),    r.index,
                r.attempt, r.worker.value(), r.list_version};
    }
    json::array operator()(const attempt_ended& r) const
    {
        return {"end",
                r.job.value(),
                r.index,
                r.attempt,
                static_cast<unsigned>(r.how),
                r.checkpoint,
                r.progress,
                r.error,
                r.for_good};
    }
    json::array operator()(const attempt_checkpointed& r) const
    {
        return {"checkpoint", r.job.value(), r.index,
                r.attempt,    r.checkpoint,  r.progress};
    }
    json::array operator()(const part_cancelled& r) const
    {
        return {"cancel", r.job.value()};
    }
    json::array operator()(const tasks_moved& r) const
    {
        json::array indexes;
        for (const std::uint32_t index : r.indexes)
        {
            indexes.emplace_back(index);
        }
        return {"move", r.job.value(), std::move(indexes),
                encode_shard_id(r.to)};
    }
};

journal_record decode_record(const json::array& a, time_point now)
{
    const auto kind = json::value_to<std::string>(a.at(0));
    if (kind == "bind")
    {
        return part_bound{decode_part_object(a.at(1).as_object(), now)};
    }
    const job_id job(json::value_to<std::string>(a.at(1)));
    if (kind == "cancel")
    {
        return part_cancelled{job};
    }
    if (kind == "move")
    {
        tasks_moved moved{job, {}, decode_shard_id(a.at(3))};
        for (const json::value& index : a.at(2).as_array())
        {
            moved.indexes.push_back(index.to_number<std::uint32_t>());
        }
        return moved;
    }
    const auto index = a.at(2).to_number<std::uint32_t>();
    const auto attempt = a.at(3).to_number<std::uint32_t>();
    if (kind == "start")
    {
        return start_intended{job, index, attempt,
                              worker_id(json::value_to<std::string>(a.at(4))),
                              a.at(5).to_number<std::uint64_t>()};
    }
    if (kind == "checkpoint")
    {
        return attempt_checkpointed{job, index, attempt,
                                    json::value_to<std::string>(a.at(4)),
                                    a.at(5).to_number<double>()};
    }
    return attempt_ended{
        job,
        index,
        attempt,
        static_cast<attempt_end>(a.at(4).to_number<unsigned>()),
        json::value_to<std::string>(a.at(5)),
        a.at(6).to_number<double>(),
        json::value_to<std::string>(a.at(7)),
        a.at(8).as_bool()};
}

std::string with_commit(json::object o, const commit_id& commit)
{
    o["commit"] = commit.value();
    return json::serialize(o);
}

} // namespace

std::string encode(const shard_row& row, const commit_id& commit)
{
    return with_commit({{"owner", row.owner.value()},
                        {"owner_incarnation", row.owner_incarnation.value()},
                        {"epoch", row.owner_epoch.value()}},
                       commit);
}

std::string encode(const journal_row& row, time_point now,
                   const commit_id& commit)
{
    json::array records;
    records.reserve(row.records.size());
    for (const journal_record& record : row.records)
    {
        records.emplace_back(std::visit(record_encoder{now}, record));
    }
    return with_commit(
        {{"sequence", row.sequence}, {"records", std::move(records)}}, commit);
}

std::string encode(const job_row& row, const commit_id& commit)
{
    json::array parts;
    for (const job_row_part& part : row.parts)
    {
        parts.emplace_back(
            json::array{encode_shard_id(part.shard), part.first, part.count});
    }
    return with_commit({{"digest", row.digest},
                        {"tasks", row.tasks},
                        {"parts", std::move(parts)}},
                       commit);
}

std::string encode(const job_part& part, time_point now,
                   const commit_id& commit)
{
    return with_commit(encode_part(part, now), commit);
}

std::string encode_cancellation(const job_id& job, const commit_id& commit)
{
    return with_commit({{"cancel", job.value()}}, commit);
}

std::string encode_head(std::uint64_t covered, const commit_id& commit)
{
    return with_commit({{"covered", covered}}, commit);
}

std::string revoke(const std::string& lease_value, const vm_id& revoked_by,
                   const commit_id& commit)
{
    json::object o;
    boost::system::error_code ignored;
    const json::value old = json::parse(lease_value, ignored);
    if (old.is_object())
    {
        o = old.as_object();
    }
    o["revoked_by"] = revoked_by.value();
    return with_commit(std::move(o), commit);
}

std::optional<shard_row> decode_shard(const std::string& value)
{
    return decode_object(value, [](const json::object& o) {
        return shard_row{
            vm_id(text_at(o, "owner")),
            incarnation(number_at<std::uint64_t>(o, "owner_incarnation")),
            epoch(number_at<std::uint64_t>(o, "epoch"))};
    });
}

std::optional<lease_content> decode_lease(const std::string& value)
{
    return decode_object(value, [](const json::object& o) {
        lease_content row;
        row.holder_incarnation =
            incarnation(number_at<std::uint64_t>(o, "incarnation"));
        const json::value* revoked = o.if_contains("revoked_by");
        if (revoked != nullptr && revoked->is_string())
        {
            row.revoked_by = json::value_to<std::string>(*revoked);
        }
        return row;
    });
}

std::optional<journal_row> decode_journal(const std::string& value,
                                          time_point now)
{
    return decode_object(value, [now](const json::object& o) {
        journal_row row;
        row.sequence = number_at<std::uint64_t>(o, "sequence");
        for (const json::value& record : o.at("records").as_array())
        {
            row.records.push_back(decode_record(record.as_array(), now));
        }
        return row;
    });
}

std::optional<job_row> decode_job(const std::string& value)
{
    return decode_object(value, [](const json::object& o) {
        job_row row;
        row.digest = number_at<std::uint64_t>(o, "digest");
        row.tasks = number_at<std::uint32_t>(o, "tasks");
        for (const json::value& part : o.at("parts").as_array())
        {
            const json::array& a = part.as_array();
            row.parts.push_back({decode_shard_id(a.at(0)),
                                 a.at(1).to_number<std::uint32_t>(),
                                 a.at(2).to_number<std::uint32_t>()});
        }
        return row;
    });
}

std::optional<job_part> decode_part(const std::string& value, time_point now)
{
    return decode_object(value, [now](const json::object& o) {
        return decode_part_object(o, now);
    });
}

std::optional<job_id> decode_cancellation(const std::string& value)
{
    return decode_object(value, [](const json::object& o) {
        return job_id(text_at(o, "cancel"));
    });
}

std::optional<std::uint64_t> decode_head(const std::string& value)
{
    return decode_object(value, [](const json::object& o) {
        return number_at<std::uint64_t>(o, "covered");
    });
}

std::optional<commit_id> commit_of(const std::string& value)
{
    return decode_object(value, [](const json::object& o) {
        return commit_id(text_at(o, "commit"));
    });
}

} // namespace hemlockdeal
