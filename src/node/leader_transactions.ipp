// Transactions of the leader: what they contain, and what follows from their
// outcomes.
#pragma once

#include <algorithm>
#include <iterator>
#include <utility>

namespace hemlockdeal::node
{

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::send(leader_transaction tx)
{
    has_transaction_in_flight_ = true;
    tx.sent_at = clock_.now();
    last_flush_ = tx.sent_at;
    ++stats_.transactions;
    auto t = tx.t;
    store_.transact(
        std::move(t), response_time_.timeout(),
        [this, tx = std::move(tx)](const transaction_outcome& outcome) {
            has_transaction_in_flight_ = false;
            on_outcome(tx, outcome);
        });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::on_outcome(
    const leader_transaction& tx, const transaction_outcome& outcome)
{
    if (const auto* const done = std::get_if<committed>(&outcome))
    {
        health_.on_response(clock_.now());
        const auto took = clock_.now() - tx.sent_at;
        response_time_.on_response(took);
        note_store_time(done->store_now, tx.sent_at);
        lead_.on_written(tx.lease, done->version, tx.sent_at, took);
        renewed_at_ = tx.sent_at;
        on_committed(tx, done->version);
        return;
    }
    if (const auto* const failed = std::get_if<not_done>(&outcome))
    {
        health_.on_failure(failed->reason);
        retry_later(tx);
        return;
    }
    if (const auto* const refused = std::get_if<rejected>(&outcome))
    {
        on_rejected(tx, refused->reason);
        return;
    }
    if (const auto* const unknown = std::get_if<outcome_unknown>(&outcome))
    {
        health_.on_failure(unknown->reason);
        response_time_.on_no_response();
    }
    check_lease_row(tx);
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::note_store_time(
    std::optional<store_time> read, time_point sent_at)
{
    if (!read)
    {
        return;
    }
    store_clock_.on_response(*read, sent_at, clock_.now());
    if (scheduler_)
    {
        scheduler_->set_store_clock(store_clock_);
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::retry_later(
    const leader_transaction& tx)
{
    // A takeover is not retried: by now another VM may be a better leader.
    if (!lead_.leads())
    {
        return;
    }
    transaction_to_retry_ = tx;
    retry_at_ = clock_.now() + options_.retry_delay;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::on_rejected(leader_transaction tx,
                                                    const std::string& reason)
{
    ++stats_.transactions_rejected;
    const auto changes = changes_of(tx.t);
    if (changes.size() == 0)
    {
        // The lease alone: there is nothing to leave out.
        health_.on_failure(reason);
        retry_later(tx);
        return;
    }
    health_.on_response(clock_.now());
    if (!scheduler_)
    {
        // The lead has been lost in the meantime.
        return;
    }
    if (tx.lease.row.is_released)
    {
        // Workers repeat the ends that are not stored to the next leader.
        std::erase_if(tx.t.writes, [](const row_write& write) {
            return write.table != lease_table;
        });
        tx.t.deletes.clear();
        send(std::move(tx));
        return;
    }
    if (tx.is_part)
    {
        parts_.pop_front();
    }
    else
    {
        ended_in_parts_ = std::move(tx.ended);
    }
    if (changes.size() == 1)
    {
        leave_out(changes, reason);
        complete_parts();
        return;
    }
    auto [first, second] = halves(changes);
    parts_.push_front(std::move(second));
    parts_.push_front(std::move(first));
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::leave_out(const change_part& row,
                                                  const std::string& reason)
{
    const bool is_write = !row.writes.empty();
    const auto& table =
        is_write ? row.writes.front().table : row.deletes.front().table;
    const auto& key =
        is_write ? row.writes.front().key : row.deletes.front().key;
    const auto bytes = is_write ? row.writes.front().value.size() : 0;
    log(log_level::error, "store does not accept a row",
        {{"table", table},
         {"key", key},
         {"bytes", std::to_string(bytes)},
         {"reason", reason}});
    if (table == fleet_table)
    {
        // Nothing may start on workers that the store does not list.
        parts_.push_back(row);
        next_part_at_ = clock_.now() + options_.retry_delay;
        return;
    }
    if (table != progress_table)
    {
        return;
    }
    const auto id = job_of_progress_row(key);
    if (!scheduler_->give_up_job(id, clock_.now()))
    {
        return;
    }
    ++stats_.jobs_not_storable;
    log(log_level::error, "job ended as failed: its progress cannot be stored",
        {{"job", id.value()},
         {"bytes", std::to_string(bytes)},
         {"reason", reason}});
    // Stored before ends of its runs are acknowledged, so that no later leader
    // starts them again.
    jobs::job_progress last;
    last.state = jobs::job_state::failed;
    parts_.push_back(
        {{{progress_table, id.value(), jobs::encode_progress(last)}}, {}});
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::send_next_part()
{
    leader_transaction tx;
    tx.lease = lead_.renewal();
    tx.is_part = true;
    tx.t = lease_transaction(tx.lease);
    std::ranges::copy(parts_.front().writes, std::back_inserter(tx.t.writes));
    tx.t.deletes = parts_.front().deletes;
    send(std::move(tx));
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::complete_parts()
{
    if (parts_.empty())
    {
        on_changes_stored(std::exchange(ended_in_parts_, {}));
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::on_changes_stored(
    const std::vector<std::pair<job_id, jobs::job_state>>& ended)
{
    scheduler_->on_changes_stored(clock_.now());
    stored_ends_.insert(ended.begin(), ended.end());
    request_decision();
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::check_lease_row(
    const leader_transaction& tx)
{
    has_transaction_in_flight_ = true;
    row_range range{lease_table, lead_part, lease_key, {}, 1};
    store_.read(range, options_.read_timeout, [this, tx](read_outcome outcome) {
        has_transaction_in_flight_ = false;
        if (const auto* const failed = std::get_if<not_done>(&outcome))
        {
            health_.on_failure(failed->reason);
            retry_later(tx);
            return;
        }
        health_.on_response(clock_.now());
        const auto& rows = std::get<read_rows>(outcome).rows;
        const bool exists = !rows.empty();
        const auto row = exists ? decode_lease_row(rows.front()) : std::nullopt;
        const auto version = exists ? rows.front().version : row_version(0);
        const bool was_leader = lead_.leads();
        if (lead_.on_conflict(tx.lease, row, version, tx.sent_at))
        {
            on_committed(tx, version);
            return;
        }
        if (lead_.leads())
        {
            retry_later(tx);
            return;
        }
        if (was_leader)
        {
            on_leadership_lost("another VM has taken over leadership");
        }
    });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::on_committed(
    const leader_transaction& tx, row_version /*version*/)
{
    if (tx.lease.row.is_released)
    {
        log_events();
        log(log_level::info, "leadership released",
            {{"epoch", std::to_string(tx.lease.row.epoch)}});
        scheduler_.reset();
        parts_.clear();
        is_active_ = false;
        return;
    }
    if (!scheduler_)
    {
        begin_recovery();
        return;
    }
    if (tx.is_part)
    {
        parts_.pop_front();
        complete_parts();
        return;
    }
    if (tx.has_changes)
    {
        on_changes_stored(tx.ended);
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::flush(time_point now)
{
    const bool is_active = is_active_ && scheduler_ != nullptr;
    const bool is_urgent = is_active && scheduler_->has_starts_waiting();
    const auto interval =
        is_urgent ? options_.urgent_flush_interval : options_.flush_interval;
    if (has_transaction_in_flight_ || transaction_to_retry_ ||
        now - last_flush_ < interval)
    {
        return;
    }
    if (is_active)
    {
        update_job_memory(now);
    }
    if (is_active && has_accounts_)
    {
        lead_.use_configuration(configuration_);
    }
    const bool has_changes = is_active && scheduler_->has_changes();
    lead_.set_recovery_complete(is_active &&
                                scheduler_->is_recovery_complete());
    if (is_stepping_down_)
    {
        // Releases the lease at once with the changes at hand: under load there
        // are always more, and workers repeat unacknowledged ends to the next
        // leader.
        const auto worker_leases_end =
            is_active ? scheduler_->hand_over(now) : inherited_leases_end();
        send(make_transaction(lead_.release(worker_leases_end), now));
        return;
    }
    if (!parts_.empty())
    {
        flush_parts(now);
        return;
    }
    if (has_changes || now - last_flush_ >= options_.renewal_interval)
    {
        send(make_transaction(lead_.renewal(), now));
    }
}

template <row_store Store, worker_port Workers, worker_list List>
std::optional<store_time>
leader_role<Store, Workers, List>::inherited_leases_end() const
{
    const auto& predecessors = lead_.predecessors();
    return predecessors.leases_end
               ? predecessors.leases_end
               : store_clock_.latest_at(
                     jobs::latest_lease_end(options_.scheduler, acquired_at_));
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::update_job_memory(time_point now)
{
    if (now - job_memory_updated_at_ < options_.job_memory_interval)
    {
        return;
    }
    job_memory_updated_at_ = now;
    const auto memory = scheduler_->registry().memory();
    lead_.set_job_memory(memory);
    update_account_memory(memory);
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::update_account_memory(
    std::size_t job_memory)
{
    std::map<account_id, std::uint64_t> above_share;
    if (has_accounts_ && job_memory > options_.max_job_memory / 2)
    {
        const auto max_bytes = static_cast<double>(options_.max_job_memory);
        for (const auto& [id, bytes] :
             scheduler_->registry().memory_by_account())
        {
            const auto policy = limits_.policies().find(id);
            if (policy != limits_.policies().end() &&
                static_cast<double>(bytes) >
                    max_bytes * share_of(policy->second))
            {
                above_share.emplace(id, bytes);
            }
        }
    }
    lead_.set_account_memory(std::move(above_share));
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::flush_parts(time_point now)
{
    // A part that is not accepted does not renew the lease either.
    if (now - renewed_at_ >= options_.renewal_interval)
    {
        renew();
        return;
    }
    if (now >= next_part_at_)
    {
        send_next_part();
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::renew()
{
    leader_transaction tx;
    tx.lease = lead_.renewal();
    tx.t = lease_transaction(tx.lease);
    send(std::move(tx));
}

template <row_store Store, worker_port Workers, worker_list List>
transaction leader_role<Store, Workers, List>::lease_transaction(
    const jobs::lease_write& lease)
{
    return {lead_part,
            {{lease_table, lease_key, lease.expected}},
            {{lease_table, lease_key, jobs::encode_lease(lease.row)}},
            {}};
}

template <row_store Store, worker_port Workers, worker_list List>
auto leader_role<Store, Workers, List>::make_transaction(
    const jobs::lease_write& lease, time_point now) -> leader_transaction
{
    leader_transaction tx;
    tx.lease = lease;
    tx.t = lease_transaction(lease);
    if (!is_active_ || !scheduler_)
    {
        return tx;
    }
    add_changes(tx);
    add_pending(tx, now);
    add_learnt(tx, now);
    return tx;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::add_changes(leader_transaction& tx)
{
    auto changes = scheduler_->take_changes();
    tx.has_changes = true;
    const auto& over = scheduler_->registry().over();
    for (auto& [id, text] : changes.jobs)
    {
        if (const auto end = over.find(id); end != over.end())
        {
            tx.ended.push_back(*end);
        }
        tx.t.writes.push_back({progress_table, id.value(), std::move(text)});
    }
    for (auto& row : changes.histories)
    {
        auto key = history_key(row.job, row.number);
        if (!row.text)
        {
            tx.t.deletes.push_back({progress_table, std::move(key)});
            continue;
        }
        tx.t.writes.push_back(
            {progress_table, std::move(key), std::move(*row.text)});
    }
    for (const auto& part : changes.fleet)
    {
        tx.t.writes.push_back(
            {fleet_table, fleet_key(part.number),
             jobs::encode_fleet(part.workers, options_.scheduler.row_limit)});
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::add_pending(leader_transaction& tx,
                                                    time_point now)
{
    if (now - last_pending_write_ < options_.pending_interval)
    {
        return;
    }
    auto pending = scheduler_->registry().pending();
    if (pending == stored_pending_)
    {
        return;
    }
    boost::json::object counts;
    for (const auto& [queue, count] : pending)
    {
        counts[queue] = count;
    }
    tx.t.writes.push_back(
        {pending_table, pending_key, boost::json::serialize(counts)});
    stored_pending_ = std::move(pending);
    last_pending_write_ = now;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::add_learnt(leader_transaction& tx,
                                                   time_point now)
{
    if (now - last_learnt_write_ < options_.learnt_interval)
    {
        return;
    }
    last_learnt_write_ = now;
    tx.t.writes.push_back(
        {learnt_table, interference_key,
         scheduler_->encode_interference(options_.scheduler.row_limit)});
}

} // namespace hemlockdeal::node
