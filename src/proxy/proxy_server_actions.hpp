// Execution of the request core's actions by proxy_server; included by
// proxy_server_impl.hpp only.
#pragma once

namespace hemlockdeal
{

template <request_engine Core>
void proxy_server<Core>::perform(start_attempt& action)
{
    const auto found = exchanges_.find(action.request.value());
    if (found == exchanges_.end())
    {
        core_.on_attempt_event(
            action.request, action.number,
            attempt_failed_unsent{"caller disconnected or was rejected"},
            monotonic_now());
        return;
    }
    const lease_number lease = ++last_lease_;
    request_attempt& a = attempts_[lease];
    a.request = action.request;
    a.number = action.number;
    a.keep_response = action.keep_response;
    found->second.attempts.push_back(lease);
    pool_.acquire(lease, action.instance, action.address,
                  core_.connection_share(action.instance, monotonic_now()),
                  action.number.value() > 1);
}

template <request_engine Core>
void proxy_server<Core>::perform(abandon_attempt& action)
{
    const auto lease = lease_of(action.request, action.number);
    if (!lease)
    {
        return;
    }
    request_attempt& a = attempts_.at(*lease);
    if (a.connection != nullptr)
    {
        if (a.sending && !a.head)
        {
            pool_.mark_suspect(a.connection->instance());
        }
        pool_.retire(*a.connection);
    }
    else if (!a.sending)
    {
        pool_.cancel(*lease);
    }
    attempts_.erase(*lease);
    exchange& e = exchanges_.at(action.request.value());
    std::erase(e.attempts, *lease);
    if (e.forwarded == lease)
    {
        e.forwarded.reset();
    }
}

template <request_engine Core>
void proxy_server<Core>::perform(forward_response& action)
{
    const auto lease = lease_of(action.request, action.number);
    if (!lease || !attempts_.at(*lease).head)
    {
        return;
    }
    exchanges_.at(action.request.value()).forwarded = lease;
    forward_response_body(action.request);
}

template <request_engine Core>
void proxy_server<Core>::perform(abort_response& action)
{
    end_response(action.request, [](caller_connection& c) { c.abort(); });
}

template <request_engine Core>
void proxy_server<Core>::perform(respond_not_run& action)
{
    end_response(action.request, [&](caller_connection& c) {
        c.respond_outcome(action.status, "not-run", action.reason);
    });
}

template <request_engine Core>
void proxy_server<Core>::perform(respond_unknown& action)
{
    end_response(action.request, [&](caller_connection& c) {
        c.respond_outcome(action.status, "unknown", action.reason);
    });
}

template <request_engine Core>
void proxy_server<Core>::perform(respond_stored& action)
{
    end_response(action.request, [&](caller_connection& c) {
        c.respond(head_of(action.response), action.response.body);
    });
}

template <request_engine Core>
void proxy_server<Core>::perform(probe_instance& action)
{
    pool_.probe(action.instance, action.address);
}

template <request_engine Core>
void proxy_server<Core>::perform(finish_request& action)
{
    if (outputs_.finished)
    {
        outputs_.finished(action);
    }
    const auto found = exchanges_.find(action.request.value());
    if (found != exchanges_.end())
    {
        found->second.finished = true;
        erase_if_finished(action.request);
    }
}

template <request_engine Core>
void proxy_server<Core>::perform(send_commit& action)
{
    // Keeps the order: a commit must not overtake one that is queued.
    if (!unsent_commits_.empty() || !outputs_.commit(action))
    {
        unsent_commits_.push_back(std::move(action));
    }
}

template <request_engine Core>
void proxy_server<Core>::perform(read_row& action)
{
    if (!outputs_.read(action))
    {
        core_.on_row(
            action.number,
            error{error_code::overloaded, "queue of table reads is full"},
            monotonic_now());
    }
}

template <request_engine Core>
void proxy_server<Core>::perform(send_to_peer& action)
{
    outputs_.to_peer(std::move(action));
}

template <request_engine Core>
void proxy_server<Core>::perform(record_event& action)
{
    outputs_.event(std::move(action));
}

// Ends the exchange with the caller and calls `respond`, which completes the
// response or ends the connection.
template <request_engine Core>
template <typename Respond>
void proxy_server<Core>::end_response(request_id id, Respond&& respond)
{
    const auto found = exchanges_.find(id.value());
    if (found == exchanges_.end())
    {
        return;
    }
    caller_connection* caller = caller_of(id);
    found->second.response_ended = true;
    found->second.caller = 0;
    erase_if_finished(id);
    if (caller != nullptr)
    {
        caller->set_request(request_id{});
        respond(*caller);
    }
}

template <request_engine Core>
void proxy_server<Core>::erase_if_finished(request_id id)
{
    const auto found = exchanges_.find(id.value());
    if (found == exchanges_.end() || !found->second.finished ||
        !found->second.response_ended)
    {
        return;
    }
    std::ranges::for_each(found->second.attempts, [this](lease_number lease) {
        const auto a = attempts_.find(lease);
        if (a == attempts_.end())
        {
            return;
        }
        if (a->second.connection != nullptr)
        {
            pool_.retire(*a->second.connection);
        }
        attempts_.erase(a);
    });
    exchanges_.erase(found);
}

template <request_engine Core>
std::optional<lease_number> proxy_server<Core>::lease_of(request_id id,
                                                         attempt number) const
{
    const auto found = exchanges_.find(id.value());
    if (found == exchanges_.end())
    {
        return std::nullopt;
    }
    const auto& leases = found->second.attempts;
    const auto lease =
        std::ranges::find_if(leases, [&](lease_number candidate) {
            return attempts_.at(candidate).number == number;
        });
    return lease == leases.end() ? std::nullopt : std::optional(*lease);
}

template <request_engine Core>
caller_connection* proxy_server<Core>::caller_of(request_id id)
{
    const auto found = exchanges_.find(id.value());
    return found == exchanges_.end() || found->second.caller == 0
               ? nullptr
               : listener_.find(found->second.caller);
}

} // namespace hemlockdeal
