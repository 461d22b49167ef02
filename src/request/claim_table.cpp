// Claim table: batching, conflict resolution and release of claims.
#include "request/claim_table.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

// Maximum number of claims that were never used and still have to be deleted.
// Beyond it the oldest ones stay claimed, so duplicates of their requests get
// "unknown".
constexpr std::size_t max_stale = 10'000;
constexpr duration stale_read_interval = std::chrono::milliseconds(100);

} // namespace

claim_table::claim_table(const request_settings& settings,
                         bool holds_unresolved)
    : claim_interval_(settings.claim_interval),
      holds_unresolved_(holds_unresolved),
      ids_(settings.vm, settings.process, "request"), writer_(settings)
{}

void claim_table::begin_claim(request_id request, const request_key& key,
                              const std::string& fingerprint)
{
    const auto [found, added] = entries_.try_emplace(key);
    entry& e = found->second;
    if (!added)
    {
        resolve_duplicate(request, e, fingerprint);
        return;
    }
    e.request = request;
    e.fingerprint = fingerprint;
    queue_.push_back(key);
}

void claim_table::resolve_duplicate(request_id request, const entry& existing,
                                    const std::string& fingerprint)
{
    if (existing.fingerprint != fingerprint)
    {
        decisions_.push_back(
            {request,
             claim_not_run{
                 409,
                 "idempotency key was already used for a different request"}});
    }
    else if (existing.response)
    {
        decisions_.push_back({request, *existing.response});
    }
    else if (existing.cancelled || existing.state == claim_state::stale)
    {
        decisions_.push_back(
            {request,
             claim_not_run{
                 503,
                 "previous claim of the idempotency key is being released"}});
    }
    else
    {
        decisions_.push_back(
            {request,
             claim_unknown{
                 "a request with this idempotency key is in progress"}});
    }
}

void claim_table::store_result(const request_key& key,
                               std::optional<stored_response> response)
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.state != claim_state::held)
    {
        return;
    }
    entry& e = found->second;
    claim_row row;
    row.claim = e.claims.back();
    row.fingerprint = e.fingerprint;
    row.finished = true;
    row.response = response;
    if (!writer_.push({key, e.version, std::move(row)}))
    {
        entries_.erase(found);
        return;
    }
    e.response = std::move(response);
    e.state = claim_state::writing;
}

void claim_table::release(const request_key& key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
    {
        return;
    }
    entry& e = found->second;
    if (e.state == claim_state::queued && e.claims.empty())
    {
        entries_.erase(found);
        return;
    }
    e.cancelled = true;
    if (e.state == claim_state::held)
    {
        write_release(key, e);
    }
}

void claim_table::drop_entry(const request_key& key)
{
    entries_.erase(key);
}

void claim_table::run(time_point now)
{
    writer_.run(now);
    for (send_commit& c : writer_.take_commits())
    {
        actions_.emplace_back(std::move(c));
    }
    if (!in_flight_ && !queue_.empty() && now >= next_claim_commit_)
    {
        send_claims(now);
    }
    read_stale(now);
}

void claim_table::send_claims(time_point now)
{
    batch b;
    b.commit.id = ids_.next();
    while (!queue_.empty() && b.keys.size() < max_writes_per_commit)
    {
        const request_key key = queue_.front();
        queue_.pop_front();
        const auto found = entries_.find(key);
        if (found == entries_.end() ||
            found->second.state != claim_state::queued)
        {
            continue;
        }
        entry& e = found->second;
        if (e.cancelled)
        {
            make_stale(key, e);
            continue;
        }
        e.state = claim_state::committing;
        e.claims.push_back(b.commit.id);
        claim_row row;
        row.claim = b.commit.id;
        row.commit = b.commit.id;
        row.fingerprint = e.fingerprint;
        b.commit.writes.push_back(
            {claim_row_key(key), expect_absent{}, to_text(row)});
        b.keys.push_back(key);
    }
    if (b.keys.empty())
    {
        return;
    }
    next_claim_commit_ = now + claim_interval_;
    actions_.emplace_back(send_commit{b.commit});
    in_flight_ = std::move(b);
}

std::optional<time_point> claim_table::next_run() const
{
    std::optional<time_point> next = writer_.next_run();
    const auto consider = [&](time_point at) {
        next = next ? std::min(*next, at) : at;
    };
    if (!in_flight_ && !queue_.empty())
    {
        consider(next_claim_commit_);
    }
    if (!stale_.empty())
    {
        consider(next_stale_read_);
    }
    return next;
}

void claim_table::on_commit_outcome(const commit_id& id,
                                    const commit_outcome& outcome,
                                    time_point now)
{
    if (writer_.on_commit_outcome(id, outcome, now))
    {
        remove_written();
        return;
    }
    if (!in_flight_ || in_flight_->commit.id != id)
    {
        return;
    }
    batch b = std::move(*in_flight_);
    in_flight_.reset();
    if (const auto* done = std::get_if<commit_done>(&outcome))
    {
        apply_commit(b, *done);
    }
    else if (const auto* conflict = std::get_if<commit_conflict>(&outcome))
    {
        resolve_conflict(b, *conflict);
    }
    else
    {
        handle_unknown_commit(std::move(b));
    }
}

void claim_table::apply_commit(const batch& b, const commit_done& done)
{
    for (std::size_t i = 0; i < b.keys.size(); ++i)
    {
        entry& e = entries_.at(b.keys[i]);
        if (i < done.versions.size())
        {
            mark_held(b.keys[i], e, done.versions[i]);
        }
        else
        {
            read(b.keys[i], e);
        }
    }
}

void claim_table::resolve_conflict(const batch& b,
                                   const commit_conflict& conflict)
{
    const auto is_of_batch = [&](const commit_conflict::row& r) {
        const auto row =
            r.value ? parse_claim_row(*r.value) : std::optional<claim_row>();
        return row && row->claim == b.commit.id;
    };
    const bool took_effect = std::ranges::any_of(conflict.rows, is_of_batch);
    for (const request_key& key : b.keys)
    {
        entry& e = entries_.at(key);
        const auto row = std::ranges::find(conflict.rows, claim_row_key(key),
                                           &commit_conflict::row::key);
        if (row != conflict.rows.end() && row->value)
        {
            resolve_row(key, e, row->version, row->value);
        }
        else if (took_effect || conflict.rows.empty())
        {
            read(key, e);
        }
        else
        {
            requeue_claim(key, e);
        }
    }
}

void claim_table::handle_unknown_commit(batch b)
{
    if (holds_unresolved_)
    {
        for (const request_key& key : b.keys)
        {
            mark_held(key, entries_.at(key), row_version());
        }
        return;
    }
    if (!b.resent)
    {
        b.resent = true;
        actions_.emplace_back(send_commit{b.commit});
        in_flight_ = std::move(b);
        return;
    }
    for (const request_key& key : b.keys)
    {
        make_stale(key, entries_.at(key));
    }
    // The table would not respond to the queued claims either.
    for (const request_key& key : std::exchange(queue_, {}))
    {
        const auto found = entries_.find(key);
        if (found != entries_.end() &&
            found->second.state == claim_state::queued)
        {
            make_stale(key, found->second);
        }
    }
}

void claim_table::resolve_row(const request_key& key, entry& e,
                              row_version version,
                              const std::optional<std::string>& value)
{
    const auto row = parse_claim_row(*value);
    if (row && is_own(e, *row) && !row->finished)
    {
        mark_held(key, e, version);
        return;
    }
    reject_taken(key, e, row);
}

void claim_table::mark_held(const request_key& key, entry& e,
                            row_version version)
{
    e.version = version;
    e.state = claim_state::held;
    if (e.cancelled)
    {
        write_release(key, e);
        return;
    }
    decisions_.push_back({e.request, claim_held{}});
}

void claim_table::reject_taken(const request_key& key, const entry& e,
                               const std::optional<claim_row>& row)
{
    if (!e.cancelled)
    {
        claim_decision d{
            e.request,
            claim_unknown{
                "a request with this idempotency key is in progress, or the "
                "daemon that ran it failed"}};
        if (row && row->fingerprint != e.fingerprint)
        {
            d.decision = claim_not_run{
                409,
                "idempotency key was already used for a different request"};
        }
        else if (row && row->response)
        {
            d.decision = *row->response;
        }
        else if (row && row->finished)
        {
            d.decision =
                claim_unknown{"the request with this idempotency key has "
                              "finished; its response was not stored"};
        }
        decisions_.push_back(std::move(d));
    }
    entries_.erase(key);
}

// The key is free: claims it with the next commit.
void claim_table::requeue_claim(const request_key& key, entry& e)
{
    e.state = claim_state::queued;
    queue_.push_front(key);
}

void claim_table::read(const request_key& key, entry& e)
{
    if (e.state != claim_state::stale)
    {
        e.state = claim_state::reading;
    }
    reads_.emplace(++last_read_number_, key);
    actions_.emplace_back(read_row{last_read_number_, claim_row_key(key)});
}

void claim_table::on_row(std::uint64_t number, const row_reply& reply,
                         time_point)
{
    const auto node = reads_.extract(number);
    if (node.empty())
    {
        return;
    }
    const request_key& key = node.mapped();
    const auto found = entries_.find(key);
    if (found == entries_.end())
    {
        return;
    }
    entry& e = found->second;
    if (!is_ok(reply))
    {
        make_stale(key, e);
        return;
    }
    const std::optional<table_row>& row = value_of(reply);
    if (row)
    {
        resolve_row(key, e, row->version, row->value);
    }
    else if (e.cancelled)
    {
        entries_.erase(found);
    }
    else
    {
        requeue_claim(key, e);
    }
}

// The table did not respond: the request is not run, and the claim that may
// exist is deleted when the table responds again.
void claim_table::make_stale(const request_key& key, entry& e)
{
    if (!e.cancelled)
    {
        decisions_.push_back(
            {e.request,
             claim_not_run{
                 503,
                 "table did not respond; idempotency key was not claimed"}});
    }
    if (e.claims.empty())
    {
        entries_.erase(key);
        return;
    }
    e.cancelled = true;
    e.state = claim_state::stale;
    stale_.push_back(key);
    if (stale_.size() > max_stale)
    {
        const request_key oldest = stale_.front();
        stale_.pop_front();
        entries_.erase(oldest);
    }
}

void claim_table::read_stale(time_point now)
{
    if (stale_.empty() || now < next_stale_read_)
    {
        return;
    }
    next_stale_read_ = now + stale_read_interval;
    const request_key key = stale_.front();
    stale_.pop_front();
    const auto found = entries_.find(key);
    if (found != entries_.end())
    {
        read(key, found->second);
    }
}

void claim_table::write_release(const request_key& key, entry& e)
{
    e.state = claim_state::writing;
    if (!writer_.push({key, e.version, std::nullopt}))
    {
        entries_.erase(key);
    }
}

void claim_table::remove_written()
{
    for (const request_key& key : writer_.take_completed())
    {
        entries_.erase(key);
    }
}

bool claim_table::is_own(const entry& e, const claim_row& row) const
{
    return std::ranges::find(e.claims, row.claim) != e.claims.end();
}

std::vector<claim_decision> claim_table::take_decisions()
{
    return std::exchange(decisions_, {});
}

std::vector<std::variant<send_commit, read_row>> claim_table::take_actions()
{
    return std::exchange(actions_, {});
}

} // namespace hemlockdeal
