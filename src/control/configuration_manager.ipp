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
    changes_.retry(now);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::poll(time_point now)
{
    actions_.emplace_back(
        reads_.start(read_purpose::poll_head, configuration_head_key, now));
    fetch_missing_version(now);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::fetch_missing_version(time_point now)
{
    const auto missing = state_.missing_version();
    if (missing && !reads_.is_outstanding(read_purpose::fetch_version))
    {
        actions_.emplace_back(reads_.start(read_purpose::fetch_version,
                                           configuration_key(*missing), now));
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
    const auto number = next_confirm_request_number_++;
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
void configuration_manager<Parser>::on_row(
    std::uint64_t number, const result<std::optional<table_row>>& row,
    time_point now, std::int64_t unix_ms)
{
    const auto read = reads_.take(number);
    if (!read)
    {
        return;
    }
    if (!is_ok(row))
    {
        changes_.on_read_failed(read->request);
        return;
    }
    table_responded_at_ = now;
    const auto& content = value_of(row);
    switch (read->purpose)
    {
    case read_purpose::poll_head:
        on_head(content, read->sent_at, now);
        return;
    case read_purpose::fetch_version:
        on_version(content, now, unix_ms);
        return;
    case read_purpose::change_head:
        changes_.on_head(read->request, content, now, unix_ms);
        return;
    case read_purpose::change_resolve:
        complete_change(changes_.on_row(read->request, content, now), now,
                        unix_ms);
        return;
    case read_purpose::history:
        return;
    }
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_head(const std::optional<table_row>& row,
                                            time_point sent_at, time_point now)
{
    const auto version =
        row ? parse_head(row->value)
            : result<configuration_version>(configuration_version());
    if (!is_ok(version))
    {
        emit_event("configuration.invalid", error_of(version).message);
        return;
    }
    state_.confirm_from_table(value_of(version), sent_at);
    fetch_missing_version(now);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_version(
    const std::optional<table_row>& row, time_point now, std::int64_t unix_ms)
{
    const auto parsed =
        row ? parse_configuration_row(row->value)
            : result<configuration_row>(
                  error{error_code::not_found,
                        "the row of the newest configuration version is "
                        "missing"});
    if (!is_ok(parsed))
    {
        emit_event("configuration.invalid", error_of(parsed).message);
        return;
    }
    adopt(value_of(parsed), now, unix_ms);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_rows(std::uint64_t number,
                                            const result<table_page>& page,
                                            time_point now)
{
    const auto read = reads_.take(number);
    if (!read || read->purpose != read_purpose::history)
    {
        return;
    }
    if (!is_ok(page))
    {
        send_reply(read->request, error_of(page));
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
    send_reply(read->request, std::move(history));
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
        on_heartbeat(message.sender, *heartbeat, now);
    }
    else if (const auto* request = std::get_if<confirm_request>(&message.body))
    {
        on_confirm_request(message.sender, *request, now);
    }
    else if (const auto* reply = std::get_if<confirm_reply>(&message.body))
    {
        on_confirm_reply(*reply);
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
void configuration_manager<Parser>::on_heartbeat(
    const vm_id& sender, const peer_heartbeat& heartbeat, time_point now)
{
    peers_.on_heartbeat(sender, heartbeat, now);
    const auto push_delay_elapsed =
        adopted_at_ && now - *adopted_at_ >= settings_.push_delay;
    if (push_delay_elapsed && peers_.begin_push(sender, state_.version(), now))
    {
        push_to(sender);
    }
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_confirm_request(
    const vm_id& sender, const confirm_request& request, time_point now)
{
    if (const auto confirmed = state_.confirmed_at())
    {
        actions_.emplace_back(send_to_peer{
            sender, confirm_reply{request.number, state_.newest_known(),
                                  now - *confirmed}});
    }
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_confirm_reply(const confirm_reply& reply)
{
    const auto sent_request = confirm_requests_.find(reply.number);
    if (sent_request != confirm_requests_.end())
    {
        state_.confirm_from_peer(reply.version, reply.age,
                                 sent_request->second);
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
        read_history(number, *query, now);
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
void configuration_manager<Parser>::read_history(std::uint64_t number,
                                                 const history_query& query,
                                                 time_point now)
{
    const auto newest = state_.version().value();
    const auto first = newest > query.limit ? newest - query.limit : 0;
    actions_.emplace_back(reads_.start_history(configuration_version(first),
                                               query.limit, now, number));
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
    changes_.begin(number, change, now);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::on_outcome(const commit_id& id,
                                               const commit_outcome& outcome,
                                               time_point now,
                                               std::int64_t unix_ms)
{
    if (!changes_.contains(id))
    {
        return;
    }
    if (!std::holds_alternative<commit_unknown>(outcome))
    {
        table_responded_at_ = now;
    }
    complete_change(changes_.on_outcome(id, outcome, now), now, unix_ms);
}

template <declaration_parser Parser>
void configuration_manager<Parser>::complete_change(
    const std::optional<pending_changes::accepted_change>& change,
    time_point now, std::int64_t unix_ms)
{
    if (!change)
    {
        return;
    }
    adopt(change->row, now, unix_ms);
    if (state_.version() == change->row.version)
    {
        push_to(std::nullopt);
    }
    send_reply(change->request, change_accepted{change->row.version});
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
