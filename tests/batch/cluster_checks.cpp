// Requests, faults and the checks of the test cluster.
#include <algorithm>
#include <iterator>
#include <utility>

#include "batch/batch_codec.hpp"
#include "batch/cluster.hpp"
#include "batch/cluster_daemon.hpp"
#include "batch/job_reader.hpp"

namespace hemlockdeal::test
{

using namespace std::chrono_literals;

void cluster::violation(const std::string& text)
{
    violations.push_back(std::to_string((now_.time_since_epoch() / 1ms)) +
                         " ms: " + text);
}

void cluster::request(std::size_t index, std::uint64_t number,
                      operator_request body)
{
    on_daemon(index, [this, index, number, body = std::move(body)](daemon& d) {
        d.core->on_operator(number, body, d.local(now_));
        after_event(index);
    });
}

std::uint64_t cluster::submit(std::size_t index, const std::string& job,
                              std::uint32_t tasks, duration run_time,
                              std::int64_t millicores_each,
                              const std::string& class_name)
{
    job_submission s;
    s.id = job_id(job);
    s.team = team_id("team");
    s.work_class = class_id(class_name);
    s.tasks = tasks;
    s.task_size.processors.value = millicores_each;
    s.task_size.memory.value = 100;
    s.declared_run_time = run_time;
    // The fake worker takes the true run time from the payload.
    s.payload = std::to_string(run_time.count());
    const std::uint64_t number = next_request_++;
    submissions_[number] = s;
    request(index, number, s);
    return number;
}

std::uint64_t cluster::cancel(std::size_t index, const std::string& job)
{
    const std::uint64_t number = next_request_++;
    cancelled_.insert(job);
    request(index, number, job_cancellation{job_id(job)});
    return number;
}

std::uint64_t cluster::query(std::size_t index, const std::string& job)
{
    const std::uint64_t number = next_request_++;
    request(index, number, job_query{job_id(job)});
    return number;
}

void cluster::take_answer(const operator_answer& answer)
{
    answers[answer.number] = answer.reply;
    if (const auto* accepted = std::get_if<submission_accepted>(&answer.reply))
    {
        accepted_[accepted->id.value()] = submissions_[answer.number].tasks;
    }
    const auto* cancelled = std::get_if<cancellation_recorded>(&answer.reply);
    if (cancelled != nullptr && cancelled->outcome == cancel_outcome::never_ran)
    {
        never_ran_.insert(cancelled->id.value());
        if (starts(cancelled->id.value()) > 0)
        {
            violation("\"never ran\" was said of a job that ran: " +
                      cancelled->id.value());
        }
    }
}

void cluster::pause(std::size_t index, duration d)
{
    daemons_[index]->paused_until = now_ + d;
}

void cluster::replace(std::size_t index, duration absent)
{
    daemon& d = *daemons_[index];
    if (!d.alive)
    {
        return;
    }
    d.alive = false;
    ++d.life;
    d.renewing = false;
    d.paused_until = time_point();
    at(now_ + absent, [this, index] { start_daemon(index); });
}

void cluster::stop(std::size_t index)
{
    on_daemon(index, [this, index](daemon& d) {
        d.core->stop(d.local(now_));
        after_event(index);
    });
}

bool cluster::stopped(std::size_t index) const
{
    return daemons_[index]->core->stopped();
}

void cluster::cut_from_table(std::size_t index, bool cut)
{
    daemons_[index]->cut_from_table = cut;
}

void cluster::cut_from_workers(std::size_t index, bool cut)
{
    daemons_[index]->cut_from_workers = cut;
}

void cluster::add_worker(std::size_t zone)
{
    worker_vm vm;
    vm.worker = std::make_unique<fake_worker>(
        worker_id("worker-" + std::to_string(next_worker_++)),
        resources{{4000}, {8000}, {0}});
    vm.zone = zone;
    workers_.push_back(std::move(vm));
    ++list_version_;
}

void cluster::kill_worker(std::size_t index)
{
    fake_worker& worker = *workers_[index].worker;
    if (!worker.alive)
    {
        return;
    }
    worker.advance(now_);
    note_ends(worker);
    worker.alive = false;
    for (const auto& [id, run] : worker.tasks)
    {
        task_history& h = history_[id.task];
        h.result_destroyed = true;
        h.stopped_at.reset();
    }
    worker.tasks.clear();
    const std::size_t zone = workers_[index].zone;
    // The list lags: the dead VM is shown for some time.
    at(now_ + 4s, [this, index, zone] {
        workers_[index].listed = false;
        add_worker(zone);
        publish_members();
    });
}

void cluster::set_zone_out(std::size_t zone, bool out)
{
    newest_.version = newest_.version.next();
    std::erase(newest_.zones_out, zone_id(zone));
    zone_out_since_.erase(zone);
    if (out)
    {
        newest_.zones_out.push_back(zone_id(zone));
        zone_out_since_[zone] = now_;
    }
}

void cluster::set_entry_fault(std::size_t worker, entry_fault fault)
{
    workers_[worker].fault = fault;
    ++list_version_;
    publish_members();
}

membership_list cluster::members(daemon& d) const
{
    const auto received = received_list();
    if (!drops_malformed_entries)
    {
        return d.merge.apply(received).list;
    }
    membership_list list;
    list.version = received.version;
    std::ranges::transform(received.members, std::back_inserter(list.members),
                           &received_member::vm);
    return list;
}

received_membership cluster::received_list() const
{
    received_membership list;
    std::size_t index = 0;
    list.version = list_version_;
    for (const auto& d : daemons_)
    {
        member m;
        m.id = d->vm.value();
        m.kind = member_kind::entry_vm;
        m.zone = d->zone;
        m.region = region_id("region");
        list.members.push_back({index++, m});
    }
    for (const worker_vm& vm : workers_)
    {
        if (vm.listed && vm.fault != entry_fault::none)
        {
            const bool has_id = vm.fault == entry_fault::malformed;
            list.malformed.push_back(
                {index++, has_id ? vm.worker->id.value() : "", "malformed"});
        }
        else if (vm.listed)
        {
            member m;
            m.id = vm.worker->id.value();
            m.kind = member_kind::worker;
            m.zone = zone_id(vm.zone);
            m.region = region_id("region");
            m.address = "address of " + m.id;
            m.size = vm.worker->size;
            list.members.push_back({index++, m});
        }
    }
    return list;
}

void cluster::publish_members()
{
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        on_daemon(i, [this, i](daemon& d) {
            d.core->on_membership(members(d), d.local(now_));
            after_event(i);
        });
    }
}

fake_worker* cluster::find_worker(const worker_id& id)
{
    const auto found = std::ranges::find_if(workers_, [&](const worker_vm& vm) {
        return vm.worker->id == id && vm.worker->alive;
    });
    return found == workers_.end() ? nullptr : found->worker.get();
}

void cluster::check_lease(const daemon& d, const char* what)
{
    if (!d.valid_until || d.local(now_) >= *d.valid_until)
    {
        violation(d.vm.value() + " " + what + " with an expired lease");
    }
}

void cluster::check_takeover(const table_commit& commit)
{
    for (const table_write& write : commit.writes)
    {
        if (!write.key.starts_with("shard/") || !write.value)
        {
            continue;
        }
        const auto before_row = table_.row(write.key);
        const auto before =
            before_row ? decode_shard(before_row->value) : std::nullopt;
        const auto after = decode_shard(*write.value);
        if (!before || before->owner.empty() || before->owner == after->owner)
        {
            continue;
        }
        for (const auto& d : daemons_)
        {
            if (d->vm == before->owner && d->alive && d->valid_until &&
                d->own_incarnation == before->owner_incarnation &&
                d->local(now_) < *d->valid_until && !after->owner.empty())
            {
                violation(write.key + " was taken from " + d->vm.value() +
                          ", whose lease was valid");
            }
        }
    }
}

void cluster::note_intents(const table_commit& commit)
{
    for (const table_write& write : commit.writes)
    {
        if (!write.value || !write.key.starts_with("journal/"))
        {
            continue;
        }
        const auto row = decode_journal(*write.value, now_);
        for (const journal_record& record : row->records)
        {
            if (const auto* start = std::get_if<start_intended>(&record))
            {
                intents_.insert(
                    {{{start->job, start->index}, attempt(start->attempt)},
                     start->worker});
            }
        }
    }
}

void cluster::check_drop(const daemon& d, const timeline_event& e)
{
    const auto row = table_.row("shard/" + e.shard);
    const auto content = row ? decode_shard(row->value) : std::nullopt;
    if (d.valid_until && d.local(now_) < *d.valid_until && e.text == "lost" &&
        content && content->owner == d.vm &&
        content->owner_epoch.value() == e.epoch)
    {
        violation(d.vm.value() + " dropped a shard that it owned");
    }
}

void cluster::cancel_again()
{
    for (const std::string& job : cancelled_)
    {
        request(0, next_request_++, job_cancellation{job_id(job)});
    }
}

void cluster::on_started(const fake_worker& worker,
                         const worker_command& command, const run_of_task& run)
{
    const task_id& task = run.id.task;
    const std::string name =
        task.job.value() + "/" + std::to_string(task.index);
    for (const worker_vm& vm : workers_)
    {
        vm.worker->advance(now_);
        note_ends(*vm.worker);
    }
    const auto running = std::ranges::count_if(
        workers_, [&](const worker_vm& vm) { return vm.worker->runs(task); });
    const auto here =
        std::ranges::count_if(worker.tasks, [&](const auto& item) {
            return item.first.task == task &&
                   item.second.state == task_state::running;
        });
    if (running > 1 || here > 1)
    {
        violation(name + " runs in two places");
    }
    if (!worker.used().fits_in(worker.size))
    {
        violation(worker.id.value() + " is over its capacity");
    }
    if (!intents_.contains({run.id, worker.id}))
    {
        violation(name + " was started without a journalled intent");
    }
    task_history& h = history_[task];
    ++h.starts;
    if (h.finishes > 0 && !h.result_destroyed)
    {
        violation(name + " was started again after it had finished");
    }
    if (h.stopped_at)
    {
        ++resumes_;
        if (run.progress_at_start != *h.stopped_at)
        {
            violation(name + " did not resume from its last checkpoint");
        }
        h.stopped_at.reset();
    }
    if (never_ran_.contains(task.job.value()))
    {
        violation("\"never ran\" was said of a job that ran later: " +
                  task.job.value() + " " + command.checkpoint);
    }
    for (const auto& [zone, since] : zone_out_since_)
    {
        const bool in_zone =
            std::ranges::any_of(workers_, [&, z = zone](const worker_vm& vm) {
                return vm.zone == z && vm.worker->id == worker.id;
            });
        if (in_zone && now_ - since > 4s)
        {
            violation(name + " started in a zone that is out of service");
        }
    }
}

void cluster::note_ends(const fake_worker& worker)
{
    for (const auto& [id, run] : worker.tasks)
    {
        if (run.state == task_state::running || !seen_over_.insert(id).second)
        {
            continue;
        }
        task_history& h = history_[id.task];
        if (run.state == task_state::finished)
        {
            ++h.finishes;
            h.result_destroyed = false;
        }
        else if (run.state == task_state::stopped)
        {
            h.stopped_at = run.has_checkpoint ? run.checkpointed : duration();
        }
    }
}

std::uint32_t cluster::finishes(const std::string& job) const
{
    std::uint32_t sum = 0;
    for (const auto& [task, h] : history_)
    {
        sum += task.job.value() == job ? h.finishes : 0;
    }
    return sum;
}

std::uint32_t cluster::starts(const std::string& job) const
{
    std::uint32_t sum = 0;
    for (const auto& [task, h] : history_)
    {
        sum += task.job.value() == job ? h.starts : 0;
    }
    return sum;
}

std::size_t cluster::shards_owned_by(std::size_t index) const
{
    const daemon& d = *daemons_[index];
    return d.alive ? d.core->status(d.local(now_)).size() : 0;
}

std::size_t cluster::shards_owned() const
{
    std::size_t sum = 0;
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        sum += shards_owned_by(i);
    }
    return sum;
}

std::optional<job_state> cluster::durable_state(const std::string& job) const
{
    const configuration_state none;
    batch_context context(batch_options{}, none);
    job_reader reader(context);
    std::optional<job_state> state;
    reader.read(job_id(job), [&](const result<std::optional<job_state>>& read,
                                 time_point) { state = value_of(read); });
    while (!context.actions.empty())
    {
        for (const batch_action& action : std::exchange(context.actions, {}))
        {
            if (const auto* row = std::get_if<read_row>(&action))
            {
                context.reads.on_row(row->number, table_.row(row->key), now_);
            }
            else if (const auto* rows = std::get_if<read_rows>(&action))
            {
                context.reads.on_rows(rows->number, table_.rows(*rows), now_);
            }
        }
    }
    return state;
}

bool cluster::all_over() const
{
    return std::ranges::all_of(accepted_, [&](const auto& job) {
        const std::optional<job_state> state = durable_state(job.first);
        return state && state->cancelled_as() != cancel_outcome::unknown_yet;
    });
}

void cluster::check_results()
{
    for (const auto& [job, tasks] : accepted_)
    {
        const std::optional<job_state> state = durable_state(job);
        if (!state)
        {
            violation("the accepted job " + job + " is lost");
            continue;
        }
        job_status status = state->status(job_id(job));
        if (!cancelled_.contains(job) &&
            status.tasks_by_state["finished"] != tasks)
        {
            std::string text = "job " + job + " did not finish:";
            for (const auto& [name, count] : status.tasks_by_state)
            {
                text += " " + std::to_string(count) + " " + name;
            }
            violation(text);
        }
        for (const auto& [shard, part] : state->parts)
        {
            for (const batch_task& task : part.tasks)
            {
                if (task.phase == task_phase::finished &&
                    history_[{job_id(job), task.index}].finishes == 0)
                {
                    violation("a task of " + job +
                              " counts as finished and is not");
                }
            }
        }
    }
}

} // namespace hemlockdeal::test
