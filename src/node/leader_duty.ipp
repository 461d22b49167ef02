// Implements the leader's duty.
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
    poll_workers();
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
    store_.read(range, options_.read_timeout, [this](read_outcome outcome) {
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
                      rows.front().version, clock_.now());
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
        std::move(t), options_.call_timeout,
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
        lead_.on_written(f.lease, done->version, f.sent_at);
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
    lead_.give_up(clock_.now());
    scheduler_.reset();
    to_retry_.reset();
    begun_ = false;
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::begin_recovery()
{
    epoch_ = lead_.epoch();
    begun_ = false;
    log(log_level::info, "lead is taken", {{"epoch", std::to_string(epoch_)}});
    scheduler_ = std::make_unique<jobs::scheduler>(options_.scheduler, epoch_);
    scheduler_->set_services(services_);
    scheduler_->set_closed_zones(closed_zones_);
    recovered_progress_.clear();
    stored_ends_.clear();
    shown_pending_.clear();
    is_polling_inbox_ = false;
    is_polling_workers_ = false;
    read_table({progress_table, lead_part, {}, {}, 500}, epoch_,
               [this](const read_rows& read) {
                   for (const auto& row : read.rows)
                   {
                       if (auto progress = jobs::decode_progress(row.value))
                       {
                           recovered_progress_[job_id(row.key)] =
                               std::move(*progress);
                       }
                   }
                   if (!read.has_more)
                   {
                       recover_inbox();
                   }
               });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::read_table(
    row_range range, std::uint64_t epoch, std::function<void(read_rows)> done)
{
    store_.read(range, options_.read_timeout,
                [this, range, epoch, done](read_outcome outcome) {
                    if (!is_current(epoch))
                    {
                        return;
                    }
                    if (std::holds_alternative<not_done>(outcome))
                    {
                        health_.on_failure(std::get<not_done>(outcome).reason);
                        clock_.later(options_.retry, [=, this] {
                            if (is_current(epoch))
                            {
                                read_table(range, epoch, done);
                            }
                        });
                        return;
                    }
                    health_.on_answer(clock_.now());
                    const auto& read = std::get<read_rows>(outcome);
                    done(read);
                    if (read.has_more && !read.rows.empty())
                    {
                        auto next = range;
                        // Keys are made of letters, digits and dots, all of
                        // which come after '!'.
                        next.from = read.rows.back().key + '!';
                        read_table(next, epoch, done);
                    }
                });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::read_inbox(
    std::function<void(const stored_row&)> each, std::function<void()> done)
{
    inbox_position_ = row_version(0);
    auto left = std::make_shared<std::uint64_t>(inbox_parts);
    for (std::uint64_t part = 0; part < inbox_parts; ++part)
    {
        auto is_first = std::make_shared<bool>(true);
        read_table({inbox_table, inbox_part_name(part), {}, {}, 500}, epoch_,
                   [this, each, done, left, is_first](const read_rows& read) {
                       // Changes after the earliest page come again through
                       // the feed.
                       if (std::exchange(*is_first, false))
                       {
                           inbox_position_ =
                               inbox_position_ == row_version(0)
                                   ? read.newest
                                   : std::min(inbox_position_, read.newest);
                       }
                       std::ranges::for_each(read.rows, each);
                       if (!read.has_more && --*left == 0)
                       {
                           done();
                       }
                   });
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::recover_inbox()
{
    auto cancelled = std::make_shared<std::vector<job_id>>();
    read_inbox(
        [this, cancelled](const stored_row& row) {
            if (row.key.ends_with(cancel_suffix))
            {
                cancelled->emplace_back(
                    row.key.substr(0, row.key.size() - cancel_suffix.size()));
                return;
            }
            const job_id id(row.key);
            auto definition = jobs::decode_job(id, row.value);
            if (!definition)
            {
                log(log_level::error, "stored job cannot be read",
                    {{"job", row.key}});
                return;
            }
            const auto known = recovered_progress_.find(id);
            scheduler_->recover_job(std::move(*definition),
                                    known == recovered_progress_.end()
                                        ? std::nullopt
                                        : std::optional(known->second));
        },
        [this, cancelled] {
            for (const auto& [id, state] : scheduler_->book().over())
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
void leader_duty<Store, Workers, List>::recover_fleet()
{
    read_table({fleet_table, lead_part, fleet_key, {}, 1}, epoch_,
               [this](const read_rows& read) {
                   std::vector<worker_id> ids;
                   if (!read.rows.empty())
                   {
                       boost::json::error_code error;
                       const auto list =
                           boost::json::parse(read.rows.front().value, error);
                       if (!error && list.is_array())
                       {
                           for (const auto& id : list.get_array())
                           {
                               ids.emplace_back(std::string(id.get_string()));
                           }
                       }
                   }
                   scheduler_->recover_fleet(ids);
                   recover_learnt();
               });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::recover_learnt()
{
    read_table({learnt_table, lead_part, interference_key, {}, 1}, epoch_,
               [this](const read_rows& read) {
                   if (!read.rows.empty())
                   {
                       scheduler_->recover_interference(
                           read.rows.front().value);
                   }
                   finish_recovery();
               });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::finish_recovery()
{
    const auto epoch = epoch_;
    list_.read_all([this, epoch](const worker_list_outcome& outcome) {
        if (!is_current(epoch))
        {
            return;
        }
        if (!std::holds_alternative<worker_changes>(outcome))
        {
            clock_.later(options_.retry, [this, epoch] {
                if (is_current(epoch))
                {
                    finish_recovery();
                }
            });
            return;
        }
        take_workers(std::get<worker_changes>(outcome));
        log(log_level::info, "lead begins",
            {{"epoch", std::to_string(epoch_)},
             {"jobs", std::to_string(scheduler_->book().live().size())},
             {"jobs_over", std::to_string(scheduler_->book().over().size())},
             {"workers", std::to_string(scheduler_->fleet().size())}});
        scheduler_->begin(clock_.now());
        recovered_progress_.clear();
        begun_ = true;
        wake();
    });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::poll_inbox()
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
                log(log_level::warning, "history of the inbox is lost",
                    {{"position", std::to_string(inbox_position_.value())}});
                is_polling_inbox_ = true;
                read_inbox(
                    [this](const stored_row& row) { take_inbox_row(row); },
                    [this] { is_polling_inbox_ = false; });
                return;
            }
            if (const auto* const failed = std::get_if<not_done>(&outcome))
            {
                health_.on_failure(failed->reason);
                next_inbox_poll_ = clock_.now() + options_.retry;
                return;
            }
            health_.on_answer(clock_.now());
            const auto& read = std::get<read_rows>(outcome);
            inbox_position_ = std::max(inbox_position_, read.newest);
            std::ranges::for_each(read.rows, [this](const stored_row& row) {
                take_inbox_row(row);
            });
        });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::take_inbox_row(const stored_row& row)
{
    if (row.is_removed)
    {
        return;
    }
    wake();
    if (row.key.ends_with(cancel_suffix))
    {
        scheduler_->cancel_job(
            job_id(row.key.substr(0, row.key.size() - cancel_suffix.size())),
            clock_.now());
        return;
    }
    auto definition = jobs::decode_job(job_id(row.key), row.value);
    if (!definition)
    {
        log(log_level::error, "stored job cannot be read", {{"job", row.key}});
        return;
    }
    scheduler_->add_job(std::move(*definition));
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::poll_workers()
{
    const auto now = clock_.now();
    if (is_polling_workers_ || now < next_worker_poll_)
    {
        return;
    }
    is_polling_workers_ = true;
    next_worker_poll_ = now + options_.worker_poll;
    const auto epoch = epoch_;
    const auto taken = [this, epoch](const worker_list_outcome& outcome) {
        if (!is_current(epoch))
        {
            return;
        }
        is_polling_workers_ = false;
        if (std::holds_alternative<history_lost>(outcome))
        {
            log(log_level::warning, "history of the worker list is lost");
            workers_position_ = row_version(0);
            return;
        }
        if (const auto* const failed = std::get_if<not_done>(&outcome))
        {
            health_.on_failure(failed->reason);
            return;
        }
        health_.on_answer(clock_.now());
        take_workers(std::get<worker_changes>(outcome));
    };
    if (workers_position_ == row_version(0))
    {
        list_.read_all(taken);
        return;
    }
    list_.read_changes(workers_position_, taken);
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::take_workers(
    const worker_changes& changes)
{
    const auto now = clock_.now();
    workers_position_ = std::max(workers_position_, changes.newest);
    std::set<worker_id> listed;
    for (const auto& change : changes.changes)
    {
        if (!change.entry)
        {
            scheduler_->remove_worker(change.id, now);
            continue;
        }
        listed.insert(change.id);
        scheduler_->set_worker(*change.entry, now);
    }
    if (changes.is_whole)
    {
        std::vector<worker_id> gone;
        for (const auto& [id, worker] : scheduler_->fleet())
        {
            if (!listed.contains(id) && !worker.is_unlisted)
            {
                gone.push_back(id);
            }
        }
        std::ranges::for_each(gone, [&](const worker_id& id) {
            scheduler_->remove_worker(id, now);
        });
    }
    wake();
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::flush(time_point now)
{
    if (has_flight_ || to_retry_ || now - last_flush_ < options_.flush_gap)
    {
        return;
    }
    const bool is_stable = begun_ && scheduler_ != nullptr;
    if (is_leaving_ && !(is_stable && scheduler_->has_changes()))
    {
        flight f;
        f.lease = lead_.release();
        f.t.part = lead_part;
        f.t.conditions = {{lease_table, lease_key, f.lease.expected}};
        f.t.writes = {
            {lease_table, lease_key, jobs::encode_lease(f.lease.row)}};
        send(std::move(f));
        return;
    }
    const bool has_changes = is_stable && scheduler_->has_changes();
    if (has_changes || now - last_flush_ >= options_.renewal)
    {
        send(make_flight(now));
    }
}

template <row_store Store, worker_port Workers, worker_list List>
auto leader_duty<Store, Workers, List>::make_flight(time_point now) -> flight
{
    flight f;
    f.lease = lead_.renewal();
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
    const auto& over = scheduler_->book().over();
    for (auto& [id, text] : changes.jobs)
    {
        if (const auto end = over.find(id); end != over.end())
        {
            f.ended.push_back(*end);
        }
        f.t.writes.push_back({progress_table, id.value(), std::move(text)});
    }
    if (changes.fleet)
    {
        boost::json::array list;
        for (const auto& id : *changes.fleet)
        {
            list.emplace_back(id.value());
        }
        f.t.writes.push_back(
            {fleet_table, fleet_key, boost::json::serialize(list)});
    }
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::add_pending(flight& f, time_point now)
{
    if (now - last_pending_ < options_.pending_gap)
    {
        return;
    }
    auto pending = scheduler_->book().pending();
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
        {learnt_table, interference_key, scheduler_->interference()});
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::decide(time_point now)
{
    last_decision_ = now;
    is_awake_ = false;
    const bool may_start = lead_.is_valid(now) && !is_leaving_;
    const bool may_prolong =
        now < lead_.valid_until() + options_.scheduler.holding_time;
    const auto orders =
        scheduler_->decide(now, clock_.unix_now(), may_start, may_prolong);
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
void leader_duty<Store, Workers, List>::carry_out(
    const jobs::start_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++counts_.starts;
    workers_.start(*worker, order, epoch_,
                   [this, epoch = epoch_, id = order.worker, key = order.task,
                    run = order.run](jobs::start_answer answer) {
                       if (!is_current(epoch))
                       {
                           return;
                       }
                       counts_.starts_refused +=
                           answer == jobs::start_answer::accepted ? 0 : 1;
                       scheduler_->on_start_answer(id, key, run, answer,
                                                   clock_.now());
                       wake();
                   });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::carry_out(const jobs::stop_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++counts_.stops;
    workers_.stop(*worker, order, epoch_,
                  [this, epoch = epoch_, id = order.worker, key = order.task,
                   run = order.run](bool done) {
                      if (is_current(epoch) && done)
                      {
                          scheduler_->on_stop_confirmed(id, key, run,
                                                        clock_.now());
                          wake();
                      }
                  });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::carry_out(const jobs::pace_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++counts_.paces;
    // The next report shows whether it had its effect.
    workers_.pace(*worker, order, epoch_, [](bool) {});
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::carry_out(const jobs::look_order& order)
{
    const auto* const worker = entry_of(order.worker);
    if (worker == nullptr)
    {
        return;
    }
    ++counts_.looks;
    const auto sent_at = clock_.now();
    workers_.look(*worker, order, epoch_,
                  [this, epoch = epoch_, id = order.worker,
                   sent_at](const look_answer& answer) {
                      if (!is_current(epoch))
                      {
                          return;
                      }
                      wake();
                      if (answer.is_superseded)
                      {
                          scheduler_->on_superseded();
                          return;
                      }
                      if (!answer.report)
                      {
                          ++counts_.looks_failed;
                          scheduler_->on_look_failed(id, clock_.now());
                          return;
                      }
                      scheduler_->on_report(id, *answer.report, sent_at,
                                            clock_.now());
                  });
}

template <row_store Store, worker_port Workers, worker_list List>
void leader_duty<Store, Workers, List>::carry_out(
    const jobs::advice_request& question)
{
    workers_.advise(
        question, [this, epoch = epoch_,
                   question](const std::optional<jobs::advice_answer>& answer) {
            if (!is_current(epoch))
            {
                return;
            }
            wake();
            if (!answer)
            {
                scheduler_->on_advice_failed(question, clock_.now());
                return;
            }
            scheduler_->on_advice(question, *answer, clock_.now());
        });
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
    const auto& live = scheduler_->book().live();
    if (const auto found = live.find(id); found != live.end())
    {
        return found->second->state();
    }
    // Over, but not in the store yet.
    return scheduler_->book().over().contains(id)
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
    const auto counts = scheduler_->book().pending();
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
        out.live_jobs = scheduler_->book().live().size();
        out.workers = scheduler_->fleet().size();
        out.tasks_without_room = scheduler_->tasks_without_room();
    }
    return out;
}

} // namespace hemlockdeal::node
