// Implementation of the table of claims.
#include "request/claim_table.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

// Claims for which nothing was sent and that are still to be deleted. The
// oldest ones above this stay claimed, so repeats get "unknown".
constexpr std::size_t max_stale = 10'000;
constexpr duration stale_spacing = std::chrono::milliseconds(100);

} // namespace

claim_table::claim_table(const request_settings& settings,
                         bool holds_unresolved)
    : spacing_(settings.claim_spacing), holds_unresolved_(holds_unresolved),
      ids_(settings.vm, settings.process, "request"), writer_(settings)
{}

void claim_table::begin(request_id request, const request_key& key,
                        const std::string& fingerprint)
{
    const auto [found, added] = entries_.try_emplace(key);
    entry& e = found->second;
    if (!added)
    {
        refuse_repeat(request, e, fingerprint);
        return;
    }
    e.request = request;
    e.fingerprint = fingerprint;
    queue_.push_back(key);
}

void claim_table::refuse_repeat(request_id request, const entry& first,
                                const std::string& fingerprint)
{
    if (first.fingerprint != fingerprint)
    {
        verdicts_.push_back(
            {request,
             claim_not_run{409, "the key belongs to another request"}});
    }
    else if (first.response)
    {
        verdicts_.push_back({request, *first.response});
    }
    else if (first.cancelled || first.now == state::stale)
    {
        verdicts_.push_back(
            {request,
             claim_not_run{503, "the key's previous claim is being released"}});
    }
    else
    {
        verdicts_.push_back(
            {request, claim_unknown{"a request with this key is running"}});
    }
}

void claim_table::store_result(const request_key& key,
                               std::optional<stored_response> response)
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.now != state::held)
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
    e.now = state::writing;
}

void claim_table::release(const request_key& key)
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
    {
        return;
    }
    entry& e = found->second;
    if (e.now == state::queued && e.claims.empty())
    {
        entries_.erase(found);
        return;
    }
    e.cancelled = true;
    if (e.now == state::held)
    {
        write_release(key, e);
    }
}

void claim_table::forget(const request_key& key)
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
    if (!in_flight_ && !queue_.empty() && now >= next_claims_)
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
        if (found == entries_.end() || found->second.now != state::queued)
        {
            continue;
        }
        entry& e = found->second;
        if (e.cancelled)
        {
            make_stale(key, e);
            continue;
        }
        e.now = state::committing;
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
    next_claims_ = now + spacing_;
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
        consider(next_claims_);
    }
    if (!stale_.empty())
    {
        consider(next_stale_);
    }
    return next;
}

void claim_table::on_commit_outcome(const commit_id& id,
                                    const commit_outcome& outcome,
                                    time_point now)
{
    if (writer_.on_commit_outcome(id, outcome, now))
    {
        take_written();
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
        settle_done(b, *done);
    }
    else if (const auto* conflict = std::get_if<commit_conflict>(&outcome))
    {
        settle_conflict(b, *conflict);
    }
    else
    {
        settle_unknown(std::move(b));
    }
}

void claim_table::settle_done(const batch& b, const commit_done& done)
{
    for (std::size_t i = 0; i < b.keys.size(); ++i)
    {
        entry& e = entries_.at(b.keys[i]);
        if (i < done.versions.size())
        {
            settle_held(b.keys[i], e, done.versions[i]);
        }
        else
        {
            read(b.keys[i], e);
        }
    }
}

void claim_table::settle_conflict(const batch& b,
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
            settle_row(key, e, row->version, row->value);
        }
        else if (took_effect || conflict.rows.empty())
        {
            read(key, e);
        }
        else
        {
            settle_absent(key, e);
        }
    }
}

void claim_table::settle_unknown(batch b)
{
    if (holds_unresolved_)
    {
        for (const request_key& key : b.keys)
        {
            settle_held(key, entries_.at(key), row_version());
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
    // The claims that wait would get no response either.
    for (const request_key& key : std::exchange(queue_, {}))
    {
        const auto found = entries_.find(key);
        if (found != entries_.end() && found->second.now == state::queued)
        {
            make_stale(key, found->second);
        }
    }
}

void claim_table::settle_row(const request_key& key, entry& e,
                             row_version version,
                             const std::optional<std::string>& value)
{
    const auto row = parse_claim_row(*value);
    if (row && is_own(e, *row) && !row->finished)
    {
        settle_held(key, e, version);
        return;
    }
    settle_taken(key, e, row);
}

void claim_table::settle_held(const request_key& key, entry& e,
                              row_version version)
{
    e.version = version;
    e.now = state::held;
    if (e.cancelled)
    {
        write_release(key, e);
        return;
    }
    verdicts_.push_back({e.request, claim_held{}});
}

void claim_table::settle_taken(const request_key& key, const entry& e,
                               const std::optional<claim_row>& row)
{
    if (!e.cancelled)
    {
        claim_verdict v{
            e.request,
            claim_unknown{"a request with this key is running, or the daemon "
                          "that ran it was lost"}};
        if (row && row->fingerprint != e.fingerprint)
        {
            v.verdict =
                claim_not_run{409, "the key belongs to another request"};
        }
        else if (row && row->response)
        {
            v.verdict = *row->response;
        }
        else if (row && row->finished)
        {
            v.verdict = claim_unknown{
                "the request with this key ran; its response was not kept"};
        }
        verdicts_.push_back(std::move(v));
    }
    entries_.erase(key);
}

// The key was free: claims it with the next commit.
void claim_table::settle_absent(const request_key& key, entry& e)
{
    e.now = state::queued;
    queue_.push_front(key);
}

void claim_table::read(const request_key& key, entry& e)
{
    if (e.now != state::stale)
    {
        e.now = state::reading;
    }
    reads_.emplace(++last_number_, key);
    actions_.emplace_back(read_row{last_number_, claim_row_key(key)});
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
        settle_row(key, e, row->version, row->value);
    }
    else if (e.cancelled)
    {
        entries_.erase(found);
    }
    else
    {
        settle_absent(key, e);
    }
}

// The table gave no response: the request is not run, and the claim that may
// exist is deleted when the table responds again.
void claim_table::make_stale(const request_key& key, entry& e)
{
    if (!e.cancelled)
    {
        verdicts_.push_back(
            {e.request, claim_not_run{503, "the table gives no response"}});
    }
    if (e.claims.empty())
    {
        entries_.erase(key);
        return;
    }
    e.cancelled = true;
    e.now = state::stale;
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
    if (stale_.empty() || now < next_stale_)
    {
        return;
    }
    next_stale_ = now + stale_spacing;
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
    e.now = state::writing;
    if (!writer_.push({key, e.version, std::nullopt}))
    {
        entries_.erase(key);
    }
}

void claim_table::take_written()
{
    for (const request_key& key : writer_.take_settled())
    {
        entries_.erase(key);
    }
}

bool claim_table::is_own(const entry& e, const claim_row& row) const
{
    return std::ranges::find(e.claims, row.claim) != e.claims.end();
}

std::vector<claim_verdict> claim_table::take_verdicts()
{
    return std::exchange(verdicts_, {});
}

std::vector<std::variant<send_commit, read_row>> claim_table::take_actions()
{
    return std::exchange(actions_, {});
}

} // namespace hemlockdeal
