// Implements the commit of operators' changes.
#include "control/pending_changes.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace hemlockdeal
{

namespace
{

error expiry_error(bool may_be_committed)
{
    return may_be_committed
               ? error{error_code::outcome_unknown,
                       "the table did not respond; the change may have been "
                       "accepted, repeat it with the same ID"}
               : error{error_code::unavailable,
                       "change not accepted: the table is unreachable"};
}

} // namespace

void pending_changes::begin(std::uint64_t request,
                            const configuration_change& change, time_point now)
{
    changes_[request] = {change, now + limits_.timeout,
                         now + limits_.retry_interval, std::nullopt, true};
    actions_.emplace_back(reads_.start(read_purpose::change_head,
                                       configuration_head_key, now, request));
}

void pending_changes::on_head(std::uint64_t request,
                              const std::optional<table_row>& row,
                              time_point now, std::int64_t unix_ms)
{
    const auto found = changes_.find(request);
    if (found == changes_.end())
    {
        return;
    }
    const auto head =
        row ? parse_head(row->value)
            : result<configuration_version>(configuration_version());
    if (!is_ok(head))
    {
        give_up(request, error_of(head));
        return;
    }
    auto& pending = found->second;
    const auto& change = pending.change;
    if (value_of(head) < change.based_on)
    {
        give_up(request,
                error{error_code::invalid_input,
                      "version " + std::to_string(change.based_on.value()) +
                          " does not exist; the newest version is " +
                          std::to_string(value_of(head).value())});
        return;
    }
    if (value_of(head) > change.based_on)
    {
        // Another change, or an earlier attempt of this one, was committed.
        read_winner(request, change, now);
        return;
    }
    pending.commit = commit_for(request, change, row, unix_ms);
    actions_.emplace_back(send_commit{*pending.commit});
}

table_commit pending_changes::commit_for(std::uint64_t request,
                                         const configuration_change& change,
                                         const std::optional<table_row>& head,
                                         std::int64_t unix_ms) const
{
    const configuration_row next{
        change.based_on.next(), change.text, change.zones_out,
        change.author,          unix_ms,     change.id};
    table_expectation head_expected = expect_absent{};
    if (head)
    {
        head_expected = head->version;
    }
    return {
        commit_id("config:" + change.id + ":" + std::to_string(request) + ":" +
                  self_.value()),
        {},
        {{configuration_key(next.version), expect_absent{}, to_text(next)},
         {configuration_head_key, head_expected, head_to_text(next.version)}}};
}

void pending_changes::read_winner(std::uint64_t request,
                                  const configuration_change& change,
                                  time_point now)
{
    actions_.emplace_back(
        reads_.start(read_purpose::change_resolve,
                     configuration_key(change.based_on.next()), now, request));
}

std::optional<pending_changes::accepted_change>
pending_changes::on_row(std::uint64_t request,
                        const std::optional<table_row>& row, time_point now)
{
    const auto found = changes_.find(request);
    if (found == changes_.end())
    {
        return std::nullopt;
    }
    auto& pending = found->second;
    const auto parsed = row ? parse_configuration_row(row->value)
                            : result<configuration_row>(error{
                                  error_code::not_found,
                                  "the configuration row does not exist"});
    if (!is_ok(parsed))
    {
        // The rows changed between the two reads; retry.
        pending.in_flight = false;
        pending.next_attempt = now + limits_.retry_interval;
        return std::nullopt;
    }
    const auto& winner = value_of(parsed);
    if (winner.change != pending.change.id)
    {
        give_up(request, change_lost_race{winner.version, winner.author});
        return std::nullopt;
    }
    changes_.erase(found);
    return accepted_change{request, winner};
}

void pending_changes::on_read_failed(std::uint64_t request)
{
    if (const auto change = changes_.find(request); change != changes_.end())
    {
        change->second.in_flight = false;
    }
}

bool pending_changes::contains(const commit_id& id) const
{
    return find(id) != changes_.end();
}

pending_changes::change_map::const_iterator
pending_changes::find(const commit_id& id) const
{
    return std::ranges::find_if(changes_, [&](const auto& change) {
        return change.second.commit && change.second.commit->id == id;
    });
}

std::optional<pending_changes::accepted_change>
pending_changes::on_outcome(const commit_id& id, const commit_outcome& outcome,
                            time_point now)
{
    const auto found = find(id);
    if (found == changes_.end())
    {
        return std::nullopt;
    }
    const auto request = found->first;
    auto& pending = changes_.at(request);
    if (std::holds_alternative<commit_unknown>(outcome))
    {
        pending.in_flight = false;
        pending.next_attempt = now + limits_.retry_interval;
        return std::nullopt;
    }
    if (!std::holds_alternative<commit_done>(outcome))
    {
        read_winner(request, pending.change, now);
        return std::nullopt;
    }
    const auto row =
        parse_configuration_row(*pending.commit->writes.front().value);
    changes_.erase(found);
    return accepted_change{request, value_of(row)};
}

void pending_changes::retry(time_point now)
{
    std::vector<std::uint64_t> expired;
    for (auto& [request, pending] : changes_)
    {
        if (now >= pending.deadline)
        {
            reply(request, expiry_error(pending.commit.has_value()));
            expired.push_back(request);
            continue;
        }
        repeat(request, pending, now);
    }
    std::ranges::for_each(
        expired, [&](std::uint64_t request) { changes_.erase(request); });
}

void pending_changes::repeat(std::uint64_t request, pending_change& pending,
                             time_point now)
{
    if (now < pending.next_attempt || reads_.is_outstanding_for(request))
    {
        return;
    }
    pending.next_attempt = now + limits_.retry_interval;
    if (!pending.commit)
    {
        actions_.emplace_back(reads_.start(
            read_purpose::change_head, configuration_head_key, now, request));
        return;
    }
    if (!pending.in_flight)
    {
        pending.in_flight = true;
        actions_.emplace_back(send_commit{*pending.commit});
    }
}

void pending_changes::reply(std::uint64_t request, operator_reply reply)
{
    actions_.emplace_back(operator_answer{request, std::move(reply)});
}

void pending_changes::give_up(std::uint64_t request, operator_reply outcome)
{
    reply(request, std::move(outcome));
    changes_.erase(request);
}

} // namespace hemlockdeal
