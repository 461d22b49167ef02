// Implements the leader's lease, its transactions and its decisions.
#pragma once

#include <algorithm>
#include <utility>

namespace hemlockdeal::node
{

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::tick()
{
    const auto now = clock_.now();
    if (!lead_.leads())
    {
        poll_lease();
        try_takeover(now);
        return;
    }
    if (to_retry_ && now >= retry_at_)
    {
        auto again = std::move(*to_retry_);
        to_retry_.reset();
        send(std::move(again));
    }
    flush(now);
    if (!begun_)
    {
        return;
    }
    if (scheduler_->is_superseded())
    {
        on_lost("a worker follows a later leader");
        return;
    }
    poll_inbox();
    poll_worker_list();
    const bool is_due = is_awake_
                            ? now - last_decision_ >= options_.decision_gap
                            : now - last_decision_ >= options_.idle_decision;
    if (is_due)
    {
        decide(now);
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::poll_lease()
{
    const auto now = clock_.now();
    if (is_polling_lease_ || has_flight_ || now < next_lease_poll_)
    {
        return;
    }
    is_polling_lease_ = true;
    next_lease_poll_ = now + options_.lease_poll;
    row_range range{lease_table, lead_part, lease_key, {}, 1};
    store_.read(
        range, options_.read_timeout, [this, now](read_outcome outcome) {
            is_polling_lease_ = false;
            if (const auto* const failed = std::get_if<not_done>(&outcome))
            {
                health_.on_failure(failed->reason);
                lead_.on_read_failed();
                return;
            }
            health_.on_answer(clock_.now());
            const auto& rows = std::get<read_rows>(outcome).rows;
            if (rows.empty())
            {
                lead_.on_read(std::nullopt, row_version(0), clock_.now());
                return;
            }
            lead_.on_read(jobs::decode_lease(rows.front().value),
                          rows.front().version, clock_.now(),
                          clock_.now() - now);
        });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::try_takeover(time_point now)
{
    if (has_flight_ || to_retry_ || is_leaving_)
    {
        return;
    }
    const auto write = lead_.takeover(now, takeover_delay_);
    if (!write)
    {
        return;
    }
    log(log_level::info, "taking the lead",
        {{"epoch", std::to_string(write->row.epoch)},
         {"last_holder", lead_.holder().value()}});
    flight f;
    f.lease = *write;
    f.t.part = lead_part;
    f.t.conditions = {{lease_table, lease_key, write->expected}};
    f.t.writes = {{lease_table, lease_key, jobs::encode_lease(write->row)}};
    send(std::move(f));
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::send(flight f)
{
    has_flight_ = true;
    f.sent_at = clock_.now();
    last_flush_ = f.sent_at;
    ++counts_.transactions;
    auto t = f.t;
    store_.transact(
        std::move(t), response_time_.patience(),
        [this, f = std::move(f)](const transaction_outcome& outcome) {
            has_flight_ = false;
            on_outcome(f, outcome);
        });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::on_outcome(
    const flight& f, const transaction_outcome& outcome)
{
    if (const auto* const done = std::get_if<committed>(&outcome))
    {
        health_.on_answer(clock_.now());
        const auto took = clock_.now() - f.sent_at;
        response_time_.on_answer(took);
        lead_.on_written(f.lease, done->version, f.sent_at, took);
        on_committed(f, done->version);
        return;
    }
    if (const auto* const failed = std::get_if<not_done>(&outcome))
    {
        health_.on_failure(failed->reason);
        retry_later(f);
        return;
    }
    if (const auto* const unknown = std::get_if<outcome_unknown>(&outcome))
    {
        health_.on_failure(unknown->reason);
        response_time_.on_no_answer();
    }
    check_lease_row(f);
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::retry_later(const flight& f)
{
    // A takeover is not repeated: another VM may be better placed by now.
    if (!lead_.leads())
    {
        return;
    }
    to_retry_ = f;
    retry_at_ = clock_.now() + options_.retry;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::check_lease_row(const flight& f)
{
    has_flight_ = true;
    row_range range{lease_table, lead_part, lease_key, {}, 1};
    store_.read(range, options_.read_timeout, [this, f](read_outcome outcome) {
        has_flight_ = false;
        if (const auto* const failed = std::get_if<not_done>(&outcome))
        {
            health_.on_failure(failed->reason);
            retry_later(f);
            return;
        }
        health_.on_answer(clock_.now());
        const auto& rows = std::get<read_rows>(outcome).rows;
        const bool is_there = !rows.empty();
        const auto row =
            is_there ? jobs::decode_lease(rows.front().value) : std::nullopt;
        const auto version = is_there ? rows.front().version : row_version(0);
        const bool led = lead_.leads();
        if (lead_.on_conflict(f.lease, row, version, f.sent_at))
        {
            on_committed(f, version);
            return;
        }
        if (lead_.leads())
        {
            retry_later(f);
            return;
        }
        if (led)
        {
            on_lost("another VM has taken the lead");
        }
    });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::on_committed(const flight& f,
                                                     row_version /*version*/)
{
    if (f.lease.row.is_released)
    {
        log(log_level::info, "lead is released",
            {{"epoch", std::to_string(f.lease.row.epoch)}});
        scheduler_.reset();
        begun_ = false;
        return;
    }
    if (!scheduler_)
    {
        begin_recovery();
        return;
    }
    if (f.has_changes)
    {
        scheduler_->on_changes_stored(clock_.now());
        stored_ends_.insert(f.ended.begin(), f.ended.end());
        wake();
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::on_lost(std::string_view why)
{
    log(log_level::warning, "lead is lost",
        {{"epoch", std::to_string(epoch_)}, {"why", std::string(why)}});
    log_events();
    lead_.relinquish(clock_.now());
    scheduler_.reset();
    to_retry_.reset();
    begun_ = false;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::flush(time_point now)
{
    const bool is_stable = begun_ && scheduler_ != nullptr;
    const bool is_urgent = is_stable && scheduler_->has_starts_waiting();
    const auto gap = is_urgent ? options_.urgent_flush_gap : options_.flush_gap;
    if (has_flight_ || to_retry_ || now - last_flush_ < gap)
    {
        return;
    }
    const bool has_changes = is_stable && scheduler_->has_changes();
    lead_.set_recovery_complete(is_stable &&
                                scheduler_->is_recovery_complete());
    if (is_leaving_)
    {
        // At once, with what there is: under load there are always changes,
        // and workers repeat what was not acknowledged to the next leader.
        send(make_flight(lead_.release(), now));
        return;
    }
    if (has_changes || now - last_flush_ >= options_.renewal)
    {
        send(make_flight(lead_.renewal(), now));
    }
}

template <row_store Store, worker_port Workers, worker_list List>
auto leader_duty<Store, Workers, List>::make_flight(
    const jobs::lease_write& lease, time_point now) -> flight
{
    flight f;
    f.lease = lease;
    f.t.part = lead_part;
    f.t.conditions = {{lease_table, lease_key, f.lease.expected}};
    f.t.writes = {{lease_table, lease_key, jobs::encode_lease(f.lease.row)}};
    if (!begun_ || !scheduler_)
    {
        return f;
    }
    add_changes(f);
    add_pending(f, now);
    add_learnt(f, now);
    return f;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::add_changes(flight& f)
{
    auto changes = scheduler_->take_changes();
    f.has_changes = true;
    const auto& over = scheduler_->registry().over();
    for (auto& [id, text] : changes.jobs)
    {
        if (const auto end = over.find(id); end != over.end())
        {
            f.ended.push_back(*end);
        }
        f.t.writes.push_back({progress_table, id.value(), std::move(text)});
    }
    for (const auto& part : changes.fleet)
    {
        f.t.writes.push_back(
            {fleet_table, fleet_key(part.number),
             jobs::encode_fleet(part.workers, options_.scheduler.row_limit)});
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::add_pending(flight& f, time_point now)
{
    if (now - last_pending_ < options_.pending_gap)
    {
        return;
    }
    auto pending = scheduler_->registry().pending();
    if (pending == shown_pending_)
    {
        return;
    }
    boost::json::object counts;
    for (const auto& [queue, count] : pending)
    {
        counts[queue] = count;
    }
    f.t.writes.push_back(
        {pending_table, pending_key, boost::json::serialize(counts)});
    shown_pending_ = std::move(pending);
    last_pending_ = now;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::add_learnt(flight& f, time_point now)
{
    if (now - last_learnt_ < options_.learnt_gap)
    {
        return;
    }
    last_learnt_ = now;
    f.t.writes.push_back(
        {learnt_table, interference_key,
         scheduler_->encode_interference(options_.scheduler.row_limit)});
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::decide(time_point now)
{
    last_decision_ = now;
    is_awake_ = false;
    const auto& options = options_.scheduler;
    jobs::leader_permission permission;
    permission.lead_is_valid = lead_.is_valid(now);
    permission.may_start = permission.lead_is_valid && !is_leaving_;
    permission.may_extend_leases =
        now < lead_.valid_until() + options.lease_extension_time;
    const auto orders = scheduler_->decide(now, clock_.unix_now(), permission);
    for (const auto& order : orders)
    {
        std::visit([this](const auto& o) { carry_out(o); }, order);
    }
    log_events();
}

template <row_store Store, worker_port Workers, worker_list List>
const jobs::worker_entry*
leader_duty<Store, Workers, List>::entry_of(const worker_id& id) const
{
    const auto found = scheduler_->fleet().find(id);
    return found == scheduler_->fleet().end() ? nullptr : &found->second.entry;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::log_events()
{
    if (!scheduler_)
    {
        return;
    }
    for (const auto& event : scheduler_->take_events())
    {
        log(log_level::info, event.message, event.fields);
    }
}

template <row_store Store, worker_port Workers, worker_list List>
std::optional<jobs::job_state>
leader_duty<Store, Workers, List>::state_of(const job_id& id) const
{
    if (!leads() || !lead_.is_valid(clock_.now()))
    {
        return std::nullopt;
    }
    if (const auto over = stored_ends_.find(id); over != stored_ends_.end())
    {
        return over->second;
    }
    const auto& live = scheduler_->registry().live();
    if (const auto found = live.find(id); found != live.end())
    {
        return found->second->state();
    }
    // Over, but not in the store yet.
    return scheduler_->registry().over().contains(id)
               ? std::optional(jobs::job_state::running)
               : std::nullopt;
}

template <row_store Store, worker_port Workers, worker_list List>
std::optional<std::size_t>
leader_duty<Store, Workers, List>::pending_of(const std::string& queue) const
{
    if (!leads() || !lead_.is_valid(clock_.now()))
    {
        return std::nullopt;
    }
    const auto counts = scheduler_->registry().pending();
    const auto found = counts.find(queue);
    return found == counts.end() ? 0 : found->second;
}

template <row_store Store, worker_port Workers, worker_list List>
leader_figures leader_duty<Store, Workers, List>::figures() const
{
    auto out = counts_;
    out.leads = leads();
    out.epoch = epoch_;
    if (scheduler_)
    {
        out.live_jobs = scheduler_->registry().live().size();
        out.workers = scheduler_->fleet().size();
        out.tasks_without_room = scheduler_->tasks_without_room();
    }
    return out;
}

} // namespace hemlockdeal::node
