// Recovery after a takeover, and the feeds of jobs and workers.
#pragma once

#include <algorithm>
#include <utility>

namespace hemlockdeal::node
{

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::begin_recovery()
{
    epoch_ = lead_.epoch();
    acquired_at_ = clock_.now();
    is_active_ = false;
    log(log_level::info, "leadership acquired",
        {{"epoch", std::to_string(epoch_)}});
    scheduler_ = std::make_unique<jobs::scheduler>(options_.scheduler, epoch_);
    scheduler_->set_store_clock(store_clock_);
    scheduler_->set_services(services_);
    scheduler_->set_account_limits(limits_);
    scheduler_->set_closed_zones(closed_zones_);
    recovered_progress_.clear();
    jobs_left_out_.clear();
    stored_ends_.clear();
    stored_pending_.clear();
    withdrawals_ = {};
    is_polling_inbox_ = false;
    is_polling_worker_list_ = false;
    read_table(row_pages({progress_table, lead_part, {}, {}, 500}), epoch_,
               [this](const read_rows& read) {
                   handle_each_row(read.rows, [this](const stored_row& row) {
                       take_progress_row(row);
                   });
                   if (!read.has_more)
                   {
                       recover_inbox();
                   }
               });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::read_table(
    const row_pages& pages, std::uint64_t epoch,
    std::function<void(read_rows)> callback)
{
    store_.read(pages.range(), options_.read_timeout,
                [this, pages, epoch, callback](read_outcome outcome) {
                    if (!is_current(epoch))
                    {
                        return;
                    }
                    auto next = pages;
                    if (auto* const page = std::get_if<read_rows>(&outcome))
                    {
                        outcome = next.take(std::move(*page));
                    }
                    if (const auto* const failed =
                            std::get_if<not_done>(&outcome))
                    {
                        health_.on_failure(failed->reason);
                        clock_.later(options_.retry_delay, [=, this] {
                            if (is_current(epoch))
                            {
                                read_table(pages, epoch, callback);
                            }
                        });
                        return;
                    }
                    health_.on_response(clock_.now());
                    const auto& read = std::get<read_rows>(outcome);
                    callback(read);
                    if (read.has_more)
                    {
                        read_table(next, epoch, callback);
                    }
                });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::read_inbox(
    std::function<void(const stored_row&)> on_row,
    std::function<void()> callback)
{
    inbox_position_ = row_version(0);
    auto remaining_parts = std::make_shared<std::uint64_t>(inbox_parts);
    for (std::uint64_t part = 0; part < inbox_parts; ++part)
    {
        auto is_first = std::make_shared<bool>(true);
        read_table(row_pages({inbox_table, inbox_part_name(part), {}, {}, 500}),
                   epoch_,
                   [this, on_row, callback, remaining_parts,
                    is_first](const read_rows& read) {
                       // Changes made after the earliest page was read arrive
                       // again through the feed.
                       if (std::exchange(*is_first, false))
                       {
                           inbox_position_ =
                               inbox_position_ == row_version(0)
                                   ? read.newest
                                   : std::min(inbox_position_, read.newest);
                       }
                       handle_each_row(read.rows, on_row);
                       if (!read.has_more && --*remaining_parts == 0)
                       {
                           callback();
                       }
                   });
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::take_progress_row(const stored_row& row)
{
    if (const auto name = parse_history_key(row.key))
    {
        recovered_progress_[name->job].history_rows[name->number] = row.value;
        return;
    }
    recovered_progress_[job_id(row.key)].main_row = row.value;
}

template <row_store Store, worker_port Workers, worker_list List>
std::optional<jobs::job_progress>
leader_role<Store, Workers, List>::decode(const stored_progress& stored)
{
    auto progress = stored.main_row ? jobs::decode_progress(*stored.main_row)
                                    : std::optional(jobs::job_progress{});
    if (!progress)
    {
        return std::nullopt;
    }
    for (const auto& [number, text] : stored.history_rows)
    {
        if (!jobs::decode_histories(text, progress->histories))
        {
            return std::nullopt;
        }
        progress->history_rows.insert(number);
    }
    return progress;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::recover_job(const stored_row& row)
{
    const job_id id(row.key);
    auto definition = jobs::decode_job(id, row.value);
    if (!definition)
    {
        log(log_level::error, "stored job cannot be decoded",
            {{"job", row.key}});
        return;
    }
    const auto stored = recovered_progress_.extract(id);
    const auto progress =
        stored.empty() ? std::nullopt : decode(stored.mapped());
    if (!stored.empty() && !progress)
    {
        // Without the progress, completed tasks would run again.
        jobs_left_out_.insert(id);
        log(log_level::error, "stored progress cannot be decoded",
            {{"job", row.key}});
        return;
    }
    scheduler_->recover_job(std::move(*definition), progress);
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::recover_inbox()
{
    auto cancelled = std::make_shared<std::vector<job_id>>();
    read_inbox(
        [this, cancelled](const stored_row& row) {
            if (is_withdrawal_key(row.key))
            {
                withdrawals_.note(row, clock_.now());
                return;
            }
            if (row.key.ends_with(cancel_suffix))
            {
                cancelled->emplace_back(
                    row.key.substr(0, row.key.size() - cancel_suffix.size()));
                return;
            }
            recover_job(row);
        },
        [this, cancelled] {
            for (const auto& [id, state] : scheduler_->registry().over())
            {
                stored_ends_.try_emplace(id, state);
            }
            for (const auto& id : *cancelled)
            {
                scheduler_->cancel_job(id, clock_.now());
            }
            recover_fleet();
        });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::recover_fleet()
{
    read_table(row_pages({fleet_table, lead_part, {}, {}, 500}), epoch_,
               [this](const read_rows& read) {
                   for (const auto& row : read.rows)
                   {
                       auto fleet = jobs::decode_fleet(row.value);
                       if (!fleet)
                       {
                           log(log_level::error,
                               "stored worker list cannot be decoded",
                               {{"key", row.key}});
                           // A placeholder for workers that are not known: any
                           // task may be running on it until all leases have
                           // expired.
                           fleet.emplace().push_back(
                               {worker_id("unreadable " + row.key), {}});
                       }
                       scheduler_->recover_fleet(*fleet);
                   }
                   if (!read.has_more)
                   {
                       recover_learnt();
                   }
               });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::recover_learnt()
{
    read_table(row_pages({learnt_table, lead_part, interference_key, {}, 500}),
               epoch_, [this](const read_rows& read) {
                   const auto stored = std::ranges::find(
                       read.rows, interference_key, &stored_row::key);
                   if (stored != read.rows.end())
                   {
                       scheduler_->recover_interference(stored->value);
                   }
                   if (!read.has_more)
                   {
                       finish_recovery();
                   }
               });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::finish_recovery()
{
    const auto epoch = epoch_;
    list_.read_all([this, epoch](const worker_list_outcome& outcome) {
        if (!is_current(epoch))
        {
            return;
        }
        if (!std::holds_alternative<worker_changes>(outcome))
        {
            clock_.later(options_.retry_delay, [this, epoch] {
                if (is_current(epoch))
                {
                    finish_recovery();
                }
            });
            return;
        }
        apply_worker_changes(std::get<worker_changes>(outcome));
        log(log_level::info, "leadership started",
            {{"epoch", std::to_string(epoch_)},
             {"jobs", std::to_string(scheduler_->registry().live().size())},
             {"jobs_over",
              std::to_string(scheduler_->registry().over().size())},
             {"workers", std::to_string(scheduler_->fleet().size())}});
        scheduler_->begin(clock_.now(), lead_.predecessors());
        recovered_progress_.clear();
        is_active_ = true;
        request_decision();
    });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::poll_inbox()
{
    const auto now = clock_.now();
    if (is_polling_inbox_ || now < next_inbox_poll_)
    {
        return;
    }
    is_polling_inbox_ = true;
    const auto epoch = epoch_;
    store_.feed(
        inbox_table, inbox_position_, options_.feed_wait,
        [this, epoch](const feed_outcome& outcome) {
            if (!is_current(epoch))
            {
                return;
            }
            is_polling_inbox_ = false;
            if (std::holds_alternative<history_lost>(outcome))
            {
                log(log_level::warning,
                    "inbox feed position is too old, reading all jobs again",
                    {{"position", std::to_string(inbox_position_.value())}});
                is_polling_inbox_ = true;
                read_inbox(
                    [this](const stored_row& row) { apply_inbox_row(row); },
                    [this] { is_polling_inbox_ = false; });
                return;
            }
            if (const auto* const failed = std::get_if<not_done>(&outcome))
            {
                health_.on_failure(failed->reason);
                next_inbox_poll_ = clock_.now() + options_.retry_delay;
                return;
            }
            health_.on_response(clock_.now());
            const auto& read = std::get<read_rows>(outcome);
            inbox_position_ = std::max(inbox_position_, read.newest);
            handle_each_row(read.rows, [this](const stored_row& row) {
                apply_inbox_row(row);
            });
        });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::apply_inbox_row(const stored_row& row)
{
    if (row.is_removed)
    {
        return;
    }
    if (is_withdrawal_key(row.key))
    {
        withdrawals_.note(row, clock_.now());
        return;
    }
    request_decision();
    if (row.key.ends_with(cancel_suffix))
    {
        scheduler_->cancel_job(
            job_id(row.key.substr(0, row.key.size() - cancel_suffix.size())),
            clock_.now());
        return;
    }
    if (jobs_left_out_.contains(job_id(row.key)))
    {
        return;
    }
    auto definition = jobs::decode_job(job_id(row.key), row.value);
    if (!definition)
    {
        log(log_level::error, "stored job cannot be decoded",
            {{"job", row.key}});
        return;
    }
    scheduler_->add_job(std::move(*definition));
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::remove_old_withdrawals()
{
    auto t = withdrawals_.take_due(clock_.now());
    if (!t)
    {
        return;
    }
    const auto epoch = epoch_;
    store_.transact(*t, options_.read_timeout,
                    [this, epoch, t = *t](const transaction_outcome& outcome) {
                        record_outcome(health_, outcome, clock_.now());
                        if (!is_current(epoch))
                        {
                            return;
                        }
                        const bool is_settled =
                            std::holds_alternative<committed>(outcome) ||
                            std::holds_alternative<conflict>(outcome) ||
                            std::holds_alternative<rejected>(outcome);
                        withdrawals_.on_outcome(t, is_settled);
                    });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::poll_worker_list()
{
    const auto now = clock_.now();
    if (is_polling_worker_list_ || now < next_worker_list_poll_)
    {
        return;
    }
    is_polling_worker_list_ = true;
    next_worker_list_poll_ = now + options_.worker_list_poll_interval;
    const auto epoch = epoch_;
    const auto on_changes = [this, epoch](const worker_list_outcome& outcome) {
        if (!is_current(epoch))
        {
            return;
        }
        is_polling_worker_list_ = false;
        if (std::holds_alternative<history_lost>(outcome))
        {
            log(log_level::warning,
                "worker feed position is too old, reading all workers again");
            workers_position_ = row_version(0);
            return;
        }
        if (const auto* const failed = std::get_if<not_done>(&outcome))
        {
            health_.on_failure(failed->reason);
            return;
        }
        health_.on_response(clock_.now());
        apply_worker_changes(std::get<worker_changes>(outcome));
    };
    if (workers_position_ == row_version(0))
    {
        list_.read_all(on_changes);
        return;
    }
    list_.read_changes(workers_position_, on_changes);
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_role<Store, Workers, List>::apply_worker_changes(
    const worker_changes& changes)
{
    const auto now = clock_.now();
    workers_position_ = std::max(workers_position_, changes.newest);
    // Workers with an entry, which may be malformed.
    std::set<worker_id> listed;
    for (const auto& change : changes.changes)
    {
        if (change.entry || change.is_malformed)
        {
            listed.insert(change.id);
        }
        if (!change.entry)
        {
            scheduler_->remove_worker(change.id, now,
                                      change.is_malformed
                                          ? jobs::entry_loss::malformed
                                          : jobs::entry_loss::removed);
            continue;
        }
        scheduler_->set_worker(*change.entry, now);
    }
    if (changes.is_snapshot)
    {
        std::vector<worker_id> removed;
        for (const auto& [id, worker] : scheduler_->fleet())
        {
            // An unlisted worker may have had a malformed entry.
            if (!listed.contains(id) &&
                (!worker.is_unlisted || worker.has_malformed_entry))
            {
                removed.push_back(id);
            }
        }
        std::ranges::for_each(removed, [&](const worker_id& id) {
            scheduler_->remove_worker(id, now);
        });
    }
    request_decision();
}

} // namespace hemlockdeal::node
