// Resends commits and recognises those that took effect unseen.
#include "batch/commit_sender.hpp"

#include <algorithm>
#include <utility>

#include "batch/batch_codec.hpp"

namespace hemlockdeal
{

commit_sender::commit_sender(const batch_options& options,
                             std::vector<batch_action>& actions,
                             read_sender& reads, drain_limit& drain)
    : options_(options), actions_(actions), reads_(reads), drain_(drain)
{}

commit_id commit_sender::next_id()
{
    return commit_id("batch/" + options_.vm.value() + "/" +
                     std::to_string(incarnation_.value()) + "/" +
                     std::to_string(++counter_));
}

void commit_sender::submit(table_commit commit, std::string probe, handler done,
                           time_point now, std::optional<time_point> deadline)
{
    actions_.emplace_back(send_commit{commit});
    const commit_id id = commit.id;
    pending_.emplace(id,
                     pending{std::move(commit), std::move(probe),
                             std::move(done), now, std::nullopt, deadline, 1});
}

void commit_sender::on_outcome(const commit_id& id,
                               const commit_outcome& outcome, time_point now)
{
    const auto found = pending_.find(id);
    if (found == pending_.end())
    {
        return;
    }
    if (const auto* done = std::get_if<commit_done>(&outcome))
    {
        settle(id, {commit_result::kind::done, done->versions, {}, {}}, now);
        return;
    }
    if (const auto* conflict = std::get_if<commit_conflict>(&outcome))
    {
        on_conflict(id, *conflict, now);
        return;
    }
    if (now - found->second.first_sent >= options_.outage_after)
    {
        drain_.begin(now);
    }
    // A first lost answer is often an exception, so the first resend is soon.
    const duration wait =
        options_.resend_interval *
        std::min<std::uint32_t>(found->second.attempts - 1, 4);
    found->second.resend_at = now + std::max(wait, duration(100'000));
}

void commit_sender::on_conflict(const commit_id& id,
                                const commit_conflict& conflict, time_point now)
{
    const pending& waiting = pending_.at(id);
    const auto row = std::ranges::find(conflict.rows, waiting.probe,
                                       &commit_conflict::row::key);
    if (row == conflict.rows.end())
    {
        // A row that the commit writes is not among the conflicts, so the
        // answer does not tell whether an earlier attempt took effect.
        probe(id);
        return;
    }
    std::optional<table_row> present;
    if (row->value)
    {
        present = table_row{row->key, row->version, *row->value};
    }
    on_probe(id, present, now);
}

void commit_sender::probe(const commit_id& id)
{
    reads_.row(
        pending_.at(id).probe,
        [this, id](const read_sender::row_answer& answer, time_point at) {
            const auto found = pending_.find(id);
            if (found == pending_.end())
            {
                return;
            }
            if (!is_ok(answer))
            {
                found->second.resend_at = at + options_.resend_interval;
                return;
            }
            on_probe(id, value_of(answer), at);
        });
}

void commit_sender::on_probe(const commit_id& id,
                             const std::optional<table_row>& row,
                             time_point now)
{
    const bool ours = options_.safeguards.recognise_commit_id && row &&
                      commit_of(row->value) == id;
    settle(id,
           {ours ? commit_result::kind::done : commit_result::kind::refused,
            {},
            row,
            {}},
           now);
}

void commit_sender::settle(const commit_id& id, commit_result outcome,
                           time_point now)
{
    const auto found = pending_.find(id);
    outcome.took = now - found->second.first_sent;
    const handler done = std::move(found->second.done);
    pending_.erase(found);
    done(outcome, now);
}

void commit_sender::on_tick(time_point now)
{
    std::vector<commit_id> expired;
    std::vector<pending*> due;
    for (auto& [id, waiting] : pending_)
    {
        if (waiting.deadline && now >= *waiting.deadline)
        {
            expired.push_back(id);
        }
        else if (waiting.resend_at && now >= *waiting.resend_at)
        {
            due.push_back(&waiting);
        }
    }
    std::ranges::sort(due, {}, [](const pending* p) { return p->first_sent; });
    for (pending* waiting : due)
    {
        if (!drain_.take(now))
        {
            break;
        }
        waiting->resend_at.reset();
        ++waiting->attempts;
        actions_.emplace_back(send_commit{waiting->commit});
    }
    for (const commit_id& id : expired)
    {
        settle(id, {commit_result::kind::expired, {}, {}, {}}, now);
    }
}

bool commit_sender::is_resending() const
{
    return std::ranges::any_of(
        pending_, [](const auto& item) { return item.second.attempts > 1; });
}

std::optional<time_point> commit_sender::next_wakeup() const
{
    std::optional<time_point> next;
    for (const auto& [id, waiting] : pending_)
    {
        for (const std::optional<time_point>& at :
             {waiting.resend_at, waiting.deadline})
        {
            if (at && (!next || *at < *next))
            {
                next = at;
            }
        }
    }
    return next;
}

} // namespace hemlockdeal
