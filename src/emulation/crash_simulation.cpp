// Event loop, fleet, faults and leaders of the crash simulation.
#include "emulation/crash_simulation.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal::emulation
{

using jobs::task_key;
using std::chrono::milliseconds;

namespace
{

constexpr duration step_time = milliseconds(10);
constexpr duration store_time = milliseconds(12);
constexpr duration room_interval = milliseconds(100);

} // namespace

crash_simulation::crash_simulation(const crash_options& options)
    : options_(options), random_(options.seed + 1), workload_(options, now_),
      faults_(schedule_faults(options, now_)), ledger_(options.limits)
{
    end_ = now_ + options.faulty_time + options.calm_time;
    for (std::size_t i = 0; i < options.vms; ++i)
    {
        add_vm(i);
    }
    std::ranges::for_each(workload_.make_lasting_jobs(),
                          [this](auto& made) { submit(std::move(made)); });
    start_leader();
}

crash_result crash_simulation::simulate()
{
    auto room_recorded_at = now_;
    while (now_ < end_)
    {
        advance();
        if (now_ - room_recorded_at >= room_interval)
        {
            record_room(now_ - room_recorded_at);
            ledger_.check_times(now_);
            room_recorded_at = now_;
        }
    }
    ledger_.close(now_);
    return ledger_.result();
}

void crash_simulation::advance()
{
    now_ += step_time;
    submit_jobs();
    gangs_.advance(workers_, now_);
    for (auto& [id, worker] : workers_)
    {
        worker.advance(now_);
    }
    record_ends();
    events_.call_due(now_);
    while (next_fault_ < faults_.size() && faults_[next_fault_].at <= now_)
    {
        inject(faults_[next_fault_++]);
    }
    std::erase_if(polls_, [this](auto& poll) { return advance_poll(poll); });
    if (!leader_)
    {
        return;
    }
    const auto unix_now =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
    for (const auto& order : leader_->decide(now_, unix_now, {}))
    {
        std::visit([this](const auto& o) { execute(o); }, order);
    }
    trace_decisions();
    flush();
}

void crash_simulation::trace_decisions()
{
    for (const auto& decision : leader_->take_events())
    {
        auto line = decision.message;
        for (const auto& [name, value] : decision.fields)
        {
            line += ' ' + std::string(name) + '=' + value;
        }
        trace(line);
    }
}

// Fleet.

void crash_simulation::add_vm(std::size_t number)
{
    const auto rack = number / options_.vms_per_rack;
    vms_.push_back(
        {vm_id("vm-" + std::to_string(number)),
         availability_zone_id("z" + std::to_string(rack % options_.zones)),
         rack, vm_capacity(number), worker_id(), 0});
    start_worker(vms_.back());
}

void crash_simulation::start_worker(simulated_vm& vm)
{
    leased_worker made;
    made.started_at = now_;
    made.entry.id =
        worker_id("i-" + vm.id.value() + '-' + std::to_string(++vm.lives));
    made.entry.service = service_id("s");
    made.entry.vm = options_.names_vms ? vm.id : vm_id();
    made.entry.zone = vm.zone;
    made.entry.capacity = vm.capacity;
    made.entry.labels = {"a", "rack-" + std::to_string(vm.rack)};
    made.entry.incarnation =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
            .count();
    vm.worker = made.entry.id;
    list(made.entry);
    workers_.emplace(vm.worker, std::move(made));
}

void crash_simulation::restart_worker(simulated_vm& vm)
{
    leased_worker made;
    made.started_at = now_;
    made.entry = workers_.at(vm.worker).entry;
    made.entry.is_leaving = false;
    made.entry.incarnation =
        std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
            .count();
    list(made.entry);
    workers_[vm.worker] = std::move(made);
}

void crash_simulation::list(const jobs::worker_entry& entry)
{
    listed_[entry.id] = entry;
    if (leader_)
    {
        leader_->set_worker(entry, now_);
    }
}

void crash_simulation::unlist(const worker_id& id)
{
    listed_.erase(id);
    if (leader_)
    {
        leader_->remove_worker(id, now_);
    }
}

crash_simulation::simulated_vm* crash_simulation::vm_of(const worker_id& id)
{
    const auto found = std::ranges::find(vms_, id, &simulated_vm::worker);
    return found == vms_.end() ? nullptr : &*found;
}

bool crash_simulation::is_cut_off(const worker_id& id) const
{
    const auto found = partitions_.find(id);
    return found != partitions_.end() && found->second.until > now_;
}

// Load and observations.

void crash_simulation::submit_jobs()
{
    for (auto& made : workload_.make_jobs(now_, step_time))
    {
        submit(std::move(made));
    }
}

void crash_simulation::submit(simulated_job made)
{
    ledger_.on_submitted(made.definition, made.crashing, now_);
    if (leader_)
    {
        leader_->add_job(made.definition);
    }
    const auto id = made.definition.id;
    jobs_.emplace(id, std::move(made));
}

void crash_simulation::record_ends()
{
    for (auto& [id, worker] : workers_)
    {
        for (const auto& end : worker.take_new_ends())
        {
            ledger_.on_run_ended(end.task, id, end.how, now_);
        }
    }
}

void crash_simulation::store_progress(const job_id& id, const std::string& text)
{
    progress_rows_[id] = text;
    first_rows_.try_emplace(id, text);
    if (const auto progress = jobs::decode_progress(text))
    {
        ledger_.on_shown_state(id, progress->state, now_);
    }
}

bool crash_simulation::is_usable(const leased_worker& worker) const
{
    constexpr duration settling_time = std::chrono::seconds(1);
    return worker.is_up && !worker.entry.is_leaving &&
           !is_cut_off(worker.entry.id) &&
           now_ - worker.started_at > settling_time;
}

void crash_simulation::record_room(duration passed)
{
    if (!leader_)
    {
        return;
    }
    for (const auto& task : ledger_.lasting_without_run())
    {
        const auto& size = jobs_.at(task.job).definition.steps[task.step].size;
        const auto with_room =
            std::ranges::count_if(workers_, [&](const auto& entry) {
                const auto left = unused_on(entry.second);
                return is_usable(entry.second) &&
                       left.processor_millis >= size.processor_millis &&
                       left.memory_mb >= size.memory_mb;
            });
        if (static_cast<std::size_t>(with_room) >=
            options_.limits.workers_with_room)
        {
            ledger_.add_time_with_room(task, passed, now_);
        }
    }
}

// Faults.

void crash_simulation::inject(const scheduled_fault& fault)
{
    switch (fault.kind)
    {
    case fault_kind::worker_crash:
        crash_worker(vms_[fault.target], draw_return(), std::nullopt);
        break;
    case fault_kind::rack_loss:
        crash_vms([&](const auto& vm) { return vm.rack == fault.target; });
        break;
    case fault_kind::zone_loss:
        crash_vms([&](const auto& vm) {
            return vm.rack % options_.zones == fault.target;
        });
        break;
    case fault_kind::partition:
        trace("FAULT partition of " + vms_[fault.target].worker.value());
        partitions_[vms_[fault.target].worker] = {now_, now_ + fault.length};
        break;
    case fault_kind::planned_leave:
        leave(vms_[fault.target]);
        break;
    case fault_kind::leader_kill:
        kill_leader();
        break;
    }
}

void crash_simulation::crash_vms(
    const std::function<bool(const simulated_vm&)>& is_hit)
{
    for (auto& vm : vms_)
    {
        if (is_hit(vm))
        {
            crash_worker(vm, {options_.outage_time, false, true}, std::nullopt);
        }
    }
}

crash_simulation::return_mode crash_simulation::draw_return()
{
    const bool keeps_id = happens(options_.same_id_share);
    const bool is_silent = happens(options_.silent_share);
    const duration spread = milliseconds(random_() % 300);
    // A worker that keeps its id is back before it leaves the list.
    const auto restart =
        keeps_id ? options_.unlisting_time / 2 : options_.restart_time;
    return {restart + spread, keeps_id, is_silent};
}

void crash_simulation::crash_worker(simulated_vm& vm, const return_mode& mode,
                                    const std::optional<task_key>& cause)
{
    auto& worker = workers_.at(vm.worker);
    if (!worker.is_up)
    {
        return;
    }
    std::vector<task_key> runs;
    std::ranges::transform(worker.running(), std::back_inserter(runs),
                           [](const auto& run) { return run.first; });
    trace("FAULT worker ends: " + vm.worker.value() +
          (cause ? " crashed by " + to_text(*cause) : ""));
    worker.crash(now_);
    worker.is_silent = mode.is_silent;
    ledger_.on_worker_lost(vm.worker, runs, cause, now_);
    const auto number = static_cast<std::size_t>(&vm - vms_.data());
    if (mode.keeps_id)
    {
        schedule(mode.restart, [=, this] { restart_worker(vms_[number]); });
        return;
    }
    schedule(options_.unlisting_time, [this, id = vm.worker] { unlist(id); });
    schedule(mode.restart, [=, this] { start_worker(vms_[number]); });
}

void crash_simulation::leave(simulated_vm& vm)
{
    auto& worker = workers_.at(vm.worker);
    if (!worker.is_up || worker.entry.is_leaving)
    {
        return;
    }
    trace("FAULT planned leave of " + vm.worker.value());
    worker.entry.is_leaving = true;
    worker.entry.remaining =
        std::chrono::duration_cast<milliseconds>(options_.leave_time);
    list(worker.entry);
    const auto number = static_cast<std::size_t>(&vm - vms_.data());
    schedule(options_.leave_time, [=, this, id = vm.worker] {
        auto& leaving = vms_[number];
        if (leaving.worker == id)
        {
            crash_worker(leaving, {options_.restart_time, false, false},
                         std::nullopt);
        }
    });
}

// Leaders.

void crash_simulation::start_leader()
{
    if (leader_)
    {
        return;
    }
    leader_ = std::make_shared<jobs::scheduler>(options_.scheduler, ++epoch_);
    is_flushing_ = false;
    leader_->set_services({{service_id("s"), {}}});
    const auto& rows =
        options_.recovers_first_rows ? first_rows_ : progress_rows_;
    for (const auto& [id, made] : jobs_)
    {
        const auto row = rows.find(id);
        leader_->recover_job(made.definition,
                             row == rows.end()
                                 ? std::nullopt
                                 : jobs::decode_progress(row->second));
    }
    if (!options_.recovers_first_rows)
    {
        for (const auto& [number, text] : fleet_rows_)
        {
            leader_->recover_fleet(jobs::decode_fleet(text).value());
        }
    }
    for (const auto& [id, entry] : listed_)
    {
        leader_->set_worker(entry, now_);
    }
    leader_->begin(now_);
    if (epoch_ > 1)
    {
        ledger_.on_takeover(now_);
    }
}

void crash_simulation::kill_leader()
{
    if (!leader_)
    {
        return;
    }
    trace("FAULT leader is killed");
    leader_.reset();
    schedule(options_.takeover_time, [this] { start_leader(); });
}

void crash_simulation::flush()
{
    if (is_flushing_ || !leader_->has_changes())
    {
        return;
    }
    is_flushing_ = true;
    const auto changes = leader_->take_changes();
    schedule(store_time, [this, changes, sender = std::weak_ptr(leader_)] {
        const auto alive = sender.lock();
        // A dead leader's write may still arrive, but not after the next
        // leader has begun.
        if (leader_ && alive != leader_)
        {
            return;
        }
        for (const auto& [id, text] : changes.jobs)
        {
            store_progress(id, text);
        }
        for (const auto& part : changes.fleet)
        {
            fleet_rows_[part.number] =
                jobs::encode_fleet(part.workers, options_.scheduler.row_limit);
        }
        if (alive)
        {
            is_flushing_ = false;
            alive->on_changes_stored(now_);
        }
    });
}

} // namespace hemlockdeal::emulation
