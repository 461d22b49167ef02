// Implementation of configuration_manager.
#pragma once

#include <algorithm>
#include <iterator>

namespace hemlockdeal
{

template <declaration_parser Parser>
void configuration_manager<Parser>::on_tick(time_point now,
                                            std::int64_t /*unix_ms*/,
                                            const heartbeat_fields& fields)
{
    expire_reads(now);
    if (now >= next_poll_)
    {
        next_poll_ = now + settings_.poll_interval;
        poll(now);
    }
    if (now >= next_confirm_request_)
    {
        next_confirm_request_ = now + settings_.poll_interval;
        request_confirmations(now);
    }
    if (now >= next_heartbeat_)
    {
        next_heartbeat_ = now + settings_.heartbeat_interval;
        send_heartbeat(now, fields);
    }
    retry_changes(now);
}

template <declaration_parser Parser>
std::uint64_t configuration_manager<Parser>::start_read(read_purpose purpose,
                                                        const std::string& key,
                                                        time_point now,
                                                        std::uint64_t request)
{
    const auto number = next_number_++;
    reads_[number] = {purpose, now, request};
    actions_.emplace_back(read_row{number, key});
    return number;
}

template <declaration_parser Parser>
void configuration_manager<Parser>::poll(time_point now)
{
    start_read(read_purpose::poll_head, configuration_head_key, now);
    const auto missing = state_.missing_version();
    const auto fetching = std::ranges::any_of(reads_, [](const auto& read) {
        return read.second.purpose == read_purpose::fetch_version;
    });
    if (missing && !fetching)
    {
        start_read(read_purpose::fetch_version, configuration_key(*missing),
                   now);
    }
}

template <declaration_parser Parser>
void configuration_manager<Parser>::request_confirmations(time_point now)
{
    const auto confirmed = state_.confirmed_at();
    if (confirmed && now - *confirmed < settings_.confirmation_refresh_age)
    {
        return;
    }
    std::erase_if(confirm_requests_, [&](const auto& request) {
        return now - request.second > settings_.peer_timeout;
    });
    const auto number = next_number_++;
    confirm_requests_[number] = now;
    actions_.emplace_back(send_to_peer{std::nullopt, confirm_request{number}});
}

template <declaration_parser Parser>
void configuration_manager<Parser>::send_heartbeat(
    time_point now, const heartbeat_fields& fields)
{
    actions_.emplace_back(
        send_to_peer{std::nullopt,
                     peer_heartbeat{zone_, state_.version(), fields.lease_valid,
                                    table_reachable(now), fields.shards}});
}

template <declaration_parser Parser>
void configuration_manager<Parser>::expire_reads(time_point now)
{
    // The table client responds to every read, also on a timeout. The expiry
    // bounds the map in case a response is dropped because a ring is full.
    std::erase_if(reads_, [&](const auto& read) {
        return now - read.second.sent_at > settings_.change_timeout;
    });
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_row(
    std::uint64_t number, const result<std::optional<table_row>>& row,
    time_point now, std::int64_t unix_ms)
{
    const auto found = reads_.find(number);
    if (found == reads_.end())
    {
        return;
    }
    const auto read = found->second;
    reads_.erase(found);
    if (!is_ok(row))
    {
        if (const auto change = changes_.find(read.request);
            change != changes_.end())
        {
            // retry_changes() sends the commit again, and the conflict that
            // it causes triggers this read again.
            change->second.in_flight = false;
        }
        return;
    }
    table_responded_at_ = now;
    const auto& content = value_of(row);
    switch (read.purpose)
    {
    case read_purpose::poll_head: {
        const auto version =
            content ? parse_head(content->value)
                    : result<configuration_version>(configuration_version());
        if (!is_ok(version))
        {
            emit_event("configuration.invalid", error_of(version).message);
            return;
        }
        state_.confirm_from_table(value_of(version), read.sent_at);
        const auto missing = state_.missing_version();
        const auto fetching =
            std::ranges::any_of(reads_, [](const auto& other) {
                return other.second.purpose == read_purpose::fetch_version;
            });
        if (missing && !fetching)
        {
            start_read(read_purpose::fetch_version, configuration_key(*missing),
                       now);
        }
        return;
    }
    case read_purpose::fetch_version: {
        const auto parsed = content ? parse_configuration_row(content->value)
                                    : result<configuration_row>(error{
                                          error_code::not_found,
                                          "the row of the newest configuration "
                                          "version is missing"});
        if (!is_ok(parsed))
        {
            emit_event("configuration.invalid", error_of(parsed).message);
            return;
        }
        adopt(value_of(parsed), now, unix_ms);
        return;
    }
    case read_purpose::change_head:
        on_change_head(read.request, content, now, unix_ms);
        return;
    case read_purpose::change_resolve:
        on_change_row(read.request, content, now, unix_ms);
        return;
    case read_purpose::history:
        return;
    }
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_rows(std::uint64_t number,
                                            const result<table_page>& page,
                                            time_point now)
{
    const auto found = reads_.find(number);
    if (found == reads_.end() || found->second.purpose != read_purpose::history)
    {
        return;
    }
    const auto request = found->second.request;
    reads_.erase(found);
    if (!is_ok(page))
    {
        send_reply(request, error_of(page));
        return;
    }
    table_responded_at_ = now;
    std::vector<history_entry> history;
    std::ranges::for_each(value_of(page).rows, [&](const table_row& row) {
        const auto parsed = parse_configuration_row(row.value);
        if (is_ok(parsed))
        {
            const auto& entry = value_of(parsed);
            history.push_back({entry.version, entry.author,
                               entry.accepted_at_unix_ms, entry.zones_out});
        }
    });
    send_reply(request, std::move(history));
}

template <declaration_parser Parser>
void configuration_manager<Parser>::adopt(const configuration_row& row,
                                          time_point now, std::int64_t unix_ms)
{
    if (row.version <= state_.version())
    {
        return;
    }
    auto parsed = parser_(row.text);
    if (!is_ok(parsed))
    {
        emit_event("configuration.invalid",
                   "configuration version " +
                       std::to_string(row.version.value()) +
                       " is invalid: " + error_of(parsed).message);
        return;
    }
    configuration next;
    next.version = row.version;
    next.text = row.text;
    next.content = value_of(std::move(parsed));
    next.zones_out = row.zones_out;
    next.author = row.author;
    next.accepted_at_unix_ms = row.accepted_at_unix_ms;
    if (!state_.adopt(std::move(next)))
    {
        return;
    }
    adopted_at_ = now;
    adopted_at_unix_ms_ = unix_ms;
    emit_event("configuration.adopted",
               "version " + std::to_string(row.version.value()));
    actions_.emplace_back(configuration_adopted{row.version});
}

template <declaration_parser Parser>
void configuration_manager<Parser>::push_to(std::optional<vm_id> to)
{
    const auto* current_configuration = state_.current();
    if (current_configuration != nullptr)
    {
        actions_.emplace_back(send_to_peer{
            std::move(to),
            peer_configuration{
                current_configuration->version, current_configuration->text,
                current_configuration->zones_out, current_configuration->author,
                current_configuration->accepted_at_unix_ms}});
    }
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_peer(const peer_message& message,
                                            time_point now,
                                            std::int64_t unix_ms)
{
    peers_.record_contact(message.sender, now);
    if (const auto* heartbeat = std::get_if<peer_heartbeat>(&message.body))
    {
        peers_.on_heartbeat(message.sender, *heartbeat, now);
        const auto push_delay_elapsed =
            adopted_at_ && now - *adopted_at_ >= settings_.push_delay;
        if (push_delay_elapsed &&
            peers_.begin_push(message.sender, state_.version(), now))
        {
            push_to(message.sender);
        }
    }
    else if (const auto* confirm_query =
                 std::get_if<confirm_request>(&message.body))
    {
        if (const auto confirmed = state_.confirmed_at())
        {
            actions_.emplace_back(send_to_peer{
                message.sender,
                confirm_reply{confirm_query->number, state_.newest_known(),
                              now - *confirmed}});
        }
    }
    else if (const auto* reply = std::get_if<confirm_reply>(&message.body))
    {
        const auto sent_request = confirm_requests_.find(reply->number);
        if (sent_request != confirm_requests_.end())
        {
            state_.confirm_from_peer(reply->version, reply->age,
                                     sent_request->second);
        }
    }
    else if (const auto* pushed =
                 std::get_if<peer_configuration>(&message.body))
    {
        adopt({pushed->version,
               pushed->text,
               pushed->zones_out,
               pushed->author,
               pushed->accepted_at_unix_ms,
               {}},
              now, unix_ms);
    }
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_operator(std::uint64_t number,
                                                const operator_request& request,
                                                time_point now,
                                                std::int64_t unix_ms)
{
    if (const auto* change = std::get_if<configuration_change>(&request))
    {
        begin_change(number, *change, now);
    }
    else if (std::holds_alternative<configuration_query>(request))
    {
        if (state_.current() == nullptr)
        {
            send_reply(number, error{error_code::not_found,
                                     "no configuration has been accepted yet"});
            return;
        }
        send_reply(number, *state_.current());
    }
    else if (const auto* query = std::get_if<history_query>(&request))
    {
        const auto newest = state_.version().value();
        const auto first = newest > query->limit ? newest - query->limit : 0;
        const auto read = next_number_++;
        reads_[read] = {read_purpose::history, now, number};
        actions_.emplace_back(read_rows{
            read, configuration_prefix,
            configuration_key(configuration_version(first)), query->limit});
    }
    else if (std::holds_alternative<confirmations_query>(request))
    {
        if (!peers_.is_known())
        {
            send_reply(number, error{error_code::unavailable,
                                     "the daemon has no list of VMs yet"});
            return;
        }
        send_reply(number, confirmations(now, unix_ms));
    }
}

template <declaration_parser Parser>
void configuration_manager<Parser>::begin_change(
    std::uint64_t number, const configuration_change& change, time_point now)
{
    const auto parsed = parser_(change.text);
    if (!is_ok(parsed))
    {
        send_reply(number, error_of(parsed));
        return;
    }
    changes_[number] = {change, now + settings_.change_timeout,
                        now + settings_.retry_interval, std::nullopt, true};
    start_read(read_purpose::change_head, configuration_head_key, now, number);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_change_head(
    std::uint64_t request, const std::optional<table_row>& row, time_point now,
    std::int64_t unix_ms)
{
    const auto found = changes_.find(request);
    if (found == changes_.end())
    {
        return;
    }
    auto& pending = found->second;
    const auto head =
        row ? parse_head(row->value)
            : result<configuration_version>(configuration_version());
    if (!is_ok(head))
    {
        send_reply(request, error_of(head));
        changes_.erase(found);
        return;
    }
    const auto& change = pending.change;
    if (value_of(head) < change.based_on)
    {
        send_reply(request,
                   error{error_code::invalid_input,
                         "version " + std::to_string(change.based_on.value()) +
                             " does not exist; the newest version is " +
                             std::to_string(value_of(head).value())});
        changes_.erase(found);
        return;
    }
    if (value_of(head) > change.based_on)
    {
        // Another change, or an earlier attempt of this one, was committed.
        start_read(read_purpose::change_resolve,
                   configuration_key(change.based_on.next()), now, request);
        return;
    }
    const configuration_row next{
        change.based_on.next(), change.text, change.zones_out,
        change.author,          unix_ms,     change.id};
    table_expectation head_expected = expect_absent{};
    if (row)
    {
        head_expected = row->version;
    }
    pending.commit = table_commit{
        commit_id("config:" + change.id + ":" + std::to_string(request) + ":" +
                  self_.value()),
        {},
        {{configuration_key(next.version), expect_absent{}, to_text(next)},
         {configuration_head_key, head_expected, head_to_text(next.version)}}};
    actions_.emplace_back(send_commit{*pending.commit});
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_outcome(const commit_id& id,
                                               const commit_outcome& outcome,
                                               time_point now,
                                               std::int64_t unix_ms)
{
    const auto found = std::ranges::find_if(changes_, [&](const auto& change) {
        return change.second.commit && change.second.commit->id == id;
    });
    if (found == changes_.end())
    {
        return;
    }
    auto& pending = found->second;
    if (std::holds_alternative<commit_unknown>(outcome))
    {
        pending.in_flight = false;
        pending.next_attempt = now + settings_.retry_interval;
        return;
    }
    table_responded_at_ = now;
    if (std::holds_alternative<commit_done>(outcome))
    {
        const auto row =
            parse_configuration_row(*pending.commit->writes.front().value);
        complete_change(found->first, value_of(row), now, unix_ms);
        return;
    }
    start_read(read_purpose::change_resolve,
               configuration_key(pending.change.based_on.next()), now,
               found->first);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_change_row(
    std::uint64_t request, const std::optional<table_row>& row, time_point now,
    std::int64_t unix_ms)
{
    const auto found = changes_.find(request);
    if (found == changes_.end())
    {
        return;
    }
    const auto parsed = row ? parse_configuration_row(row->value)
                            : result<configuration_row>(error{
                                  error_code::not_found,
                                  "the configuration row does not exist"});
    if (!is_ok(parsed))
    {
        // The rows changed between the two reads; retry.
        found->second.in_flight = false;
        found->second.next_attempt = now + settings_.retry_interval;
        return;
    }
    if (value_of(parsed).change == found->second.change.id)
    {
        complete_change(request, value_of(parsed), now, unix_ms);
        return;
    }
    send_reply(request, change_lost_race{value_of(parsed).version,
                                         value_of(parsed).author});
    changes_.erase(found);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::complete_change(
    std::uint64_t request, const configuration_row& row, time_point now,
    std::int64_t unix_ms)
{
    adopt(row, now, unix_ms);
    if (state_.version() == row.version)
    {
        push_to(std::nullopt);
    }
    send_reply(request, change_accepted{row.version});
    changes_.erase(request);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::retry_changes(time_point now)
{
    std::vector<std::uint64_t> expired;
    std::ranges::for_each(changes_, [&](auto& entry) {
        const auto number = entry.first;
        auto& pending = entry.second;
        const auto read_outstanding =
            std::ranges::any_of(reads_, [&](const auto& read) {
                return read.second.request == number;
            });
        if (now >= pending.deadline)
        {
            const auto may_be_committed = pending.commit.has_value();
            send_reply(
                number,
                error{may_be_committed ? error_code::outcome_unknown
                                       : error_code::unavailable,
                      may_be_committed
                          ? "the table did not respond; the change may have "
                            "been accepted, repeat it with the same ID"
                          : "change not accepted: the table is unreachable"});
            expired.push_back(number);
            return;
        }
        if (now < pending.next_attempt || read_outstanding)
        {
            return;
        }
        pending.next_attempt = now + settings_.retry_interval;
        if (!pending.commit)
        {
            start_read(read_purpose::change_head, configuration_head_key, now,
                       number);
        }
        else if (!pending.in_flight)
        {
            pending.in_flight = true;
            actions_.emplace_back(send_commit{*pending.commit});
        }
    });
    std::ranges::for_each(
        expired, [&](std::uint64_t number) { changes_.erase(number); });
}

template <declaration_parser Parser>
bool configuration_manager<Parser>::table_reachable(time_point now) const
{
    constexpr duration limit = std::chrono::seconds(2);
    return table_responded_at_ && now - *table_responded_at_ <= limit;
}

template <declaration_parser Parser>
std::vector<daemon_confirmation>
configuration_manager<Parser>::confirmations(time_point now,
                                             std::int64_t unix_ms) const
{
    const auto confirmed = state_.confirmed_at();
    const auto bound_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                              settings_.start_bound)
                              .count();
    // The version was accepted before this daemon adopted it, so counting the
    // bound from the adoption is conservative.
    auto all = peers_.confirmations(state_.version(), now,
                                    adopted_at_unix_ms_ + bound_ms);
    all.insert(all.begin(),
               {self_, zone_, true, state_.version(),
                confirmed ? now - *confirmed : duration::zero(), unix_ms});
    return all;
}

template <declaration_parser Parser>
void configuration_manager<Parser>::send_reply(std::uint64_t request,
                                               operator_reply reply)
{
    actions_.emplace_back(operator_answer{request, std::move(reply)});
}

template <declaration_parser Parser>
void configuration_manager<Parser>::emit_event(std::string kind,
                                               std::string text)
{
    timeline_event e;
    e.kind = std::move(kind);
    e.zone = zone_.value();
    e.text = std::move(text);
    actions_.emplace_back(record_event{std::move(e)});
}

} // namespace hemlockdeal
