// Lease and scheduling decisions of the leader.
#pragma once

#include <algorithm>
#include <utility>

namespace hemlockdeal::node
{

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::tick()
{
    const auto now = clock_.now();
    if (!lead_.leads())
    {
        poll_lease();
        try_takeover(now);
        return;
    }
    if (transaction_to_retry_ && now >= retry_at_)
    {
        auto retried = std::move(*transaction_to_retry_);
        transaction_to_retry_.reset();
        send(std::move(retried));
    }
    flush(now);
    if (!is_active_)
    {
        return;
    }
    if (scheduler_->is_superseded())
    {
        on_leadership_lost("a worker has accepted a later leader");
        return;
    }
    poll_inbox();
    remove_old_withdrawals();
    poll_worker_list();
    const bool is_due =
        is_decision_requested_
            ? now - last_decision_ >= options_.min_decision_interval
            : now - last_decision_ >= options_.idle_decision_interval;
    if (is_due)
    {
        decide(now);
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::poll_lease()
{
    const auto now = clock_.now();
    if (is_polling_lease_ || has_transaction_in_flight_ ||
        now < next_lease_poll_)
    {
        return;
    }
    is_polling_lease_ = true;
    next_lease_poll_ = now + options_.lease_poll_interval;
    row_range range{lease_table, lead_part, lease_key, {}, 1};
    store_.read(range, options_.read_timeout,
                [this, now](const read_outcome& outcome) {
                    is_polling_lease_ = false;
                    handle_lease_read(outcome, now);
                });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::handle_lease_read(
    const read_outcome& outcome, time_point sent_at)
{
    if (const auto* const failed = std::get_if<not_done>(&outcome))
    {
        health_.on_failure(failed->reason);
        lead_.on_read_failed();
        return;
    }
    health_.on_response(clock_.now());
    const auto& read = std::get<read_rows>(outcome);
    note_store_time(read.store_now, sent_at);
    const auto& rows = read.rows;
    if (rows.empty())
    {
        lead_.on_read(std::nullopt, row_version(0), clock_.now());
        return;
    }
    const auto& row = rows.front();
    const auto lease = decode_lease_row(row);
    if (!lease)
    {
        read_epoch_record(row.version, sent_at);
        return;
    }
    lead_.on_read(lease, row.version, clock_.now(), clock_.now() - sent_at);
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::read_epoch_record(
    row_version lease_version, time_point sent_at)
{
    is_polling_lease_ = true;
    row_range range{lease_table, lead_part, epoch_key, lease_key, 1};
    store_.read(range, options_.read_timeout,
                [this, lease_version, sent_at](const read_outcome& outcome) {
                    is_polling_lease_ = false;
                    if (const auto* const failed =
                            std::get_if<not_done>(&outcome))
                    {
                        health_.on_failure(failed->reason);
                        lead_.on_read_failed();
                        return;
                    }
                    health_.on_response(clock_.now());
                    handle_malformed_lease(std::get<read_rows>(outcome),
                                           lease_version, sent_at);
                });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::handle_malformed_lease(
    const read_rows& record, row_version lease_version, time_point sent_at)
{
    const auto found =
        std::ranges::find(record.rows, epoch_key, &stored_row::key);
    const auto recorded =
        found == record.rows.end() ? std::nullopt : decode_epoch(*found);
    const auto epoch = recorded ? recorded : epoch_bound(lease_version);
    if (std::exchange(logged_lease_version_, lease_version) != lease_version)
    {
        log(log_level::error, "lease row cannot be decoded",
            {{"version", std::to_string(lease_version.value())},
             {"earlier_epoch", epoch ? std::to_string(*epoch) : "unknown"},
             {"source", recorded ? "record" : "version"}});
    }
    if (!epoch)
    {
        // Workers could refuse all orders of a lower epoch.
        lead_.on_read_failed();
        return;
    }
    // The holder is unknown: the lease is taken only after its silence.
    jobs::lease_row lease;
    lease.epoch = *epoch;
    lead_.on_read(lease, lease_version, clock_.now(), clock_.now() - sent_at);
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::try_takeover(time_point now)
{
    if (has_transaction_in_flight_ || transaction_to_retry_ ||
        is_stepping_down_)
    {
        return;
    }
    const auto write = lead_.takeover(now, takeover_delay_);
    if (!write)
    {
        return;
    }
    log(log_level::info, "taking over leadership",
        {{"epoch", std::to_string(write->row.epoch)},
         {"last_holder", lead_.holder().value()}});
    leader_transaction tx;
    tx.lease = *write;
    tx.t.part = lead_part;
    tx.t.conditions = {{lease_table, lease_key, write->expected}};
    tx.t.writes = {{lease_table, lease_key, jobs::encode_lease(write->row)},
                   {lease_table, epoch_key, std::to_string(write->row.epoch)}};
    send(std::move(tx));
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::on_leadership_lost(
    std::string_view cause)
{
    log(log_level::warning, "leadership lost",
        {{"epoch", std::to_string(epoch_)}, {"why", std::string(cause)}});
    log_events();
    lead_.relinquish(clock_.now());
    scheduler_.reset();
    transaction_to_retry_.reset();
    parts_.clear();
    is_active_ = false;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::decide(time_point now)
{
    last_decision_ = now;
    is_decision_requested_ = false;
    const auto& options = options_.scheduler;
    jobs::leader_permission permission;
    permission.lead_is_valid = lead_.is_valid(now);
    permission.may_start = permission.lead_is_valid && !is_stepping_down_;
    if (!permission.lead_is_valid)
    {
        permission.lead_ended_at = lead_.valid_until();
    }
    // Caps in a configuration that a predecessor used may be lower.
    permission.may_start_account_tasks =
        configuration_ >= lead_.used_configuration();
    permission.may_extend_leases =
        now < lead_.valid_until() + options.lease_extension_time;
    const auto orders = scheduler_->decide(now, clock_.unix_now(), permission);
    for (const auto& order : orders)
    {
        std::visit([this](const auto& o) { execute(o); }, order);
    }
    log_events();
}

template <row_store Store, worker_port Workers, worker_list List>
const jobs::worker_entry*
leader_role<Store, Workers, List>::entry_of(const worker_id& id) const
{
    const auto found = scheduler_->fleet().find(id);
    return found == scheduler_->fleet().end() ? nullptr : &found->second.entry;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::log_events()
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
leader_role<Store, Workers, List>::state_of(const job_id& id) const
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
    // Ended, but the final state is not stored yet.
    return scheduler_->registry().over().contains(id)
               ? std::optional(jobs::job_state::running)
               : std::nullopt;
}

template <row_store Store, worker_port Workers, worker_list List>
account_id leader_role<Store, Workers, List>::owner_of(const job_id& id) const
{
    if (!scheduler_)
    {
        return {};
    }
    const auto& registry = scheduler_->registry();
    if (const auto found = registry.live().find(id);
        found != registry.live().end())
    {
        const auto& account = found->second->definition().account;
        return account ? account->id : account_id();
    }
    const auto ended = registry.ended().find(id);
    return ended == registry.ended().end() ? account_id()
                                           : ended->second.account;
}

template <row_store Store, worker_port Workers, worker_list List>
std::optional<std::size_t>
leader_role<Store, Workers, List>::pending_of(const std::string& queue) const
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
leader_stats leader_role<Store, Workers, List>::stats() const
{
    auto out = stats_;
    out.leads = leads();
    out.epoch = epoch_;
    if (scheduler_)
    {
        out.live_jobs = scheduler_->registry().live().size();
        out.job_memory = lead_.job_memory();
        out.workers = scheduler_->fleet().size();
        out.tasks_without_room = scheduler_->tasks_without_room();
        out.accounts = scheduler_->accounts(clock_.now());
    }
    return out;
}

} // namespace hemlockdeal::node
