// Forwarding of a request and its response by proxy_server; included by
// proxy_server_impl.hpp only.
#pragma once

namespace hemlockdeal
{

template <request_engine Core>
void proxy_server<Core>::on_request_ready(caller_connection& caller)
{
    const request_id id(++last_request_);
    caller.set_request(id);
    exchanges_[id.value()].caller = caller.id();

    request_head head;
    head.id = id;
    head.method = std::string(to_view(caller.head().method_string()));
    head.path = path_of(to_view(caller.head().target()));
    const auto key = caller.head().find("Idempotency-Key");
    if (key != caller.head().end())
    {
        head.key = request_key(std::string(to_view(key->value())));
    }
    head.body_bytes = caller.body_length().value_or(unknown_body_size);
    core_.on_request(head, monotonic_now());
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::on_caller_gone(caller_connection& caller)
{
    const request_id id = caller.request();
    caller.set_request(request_id{});
    const auto found = exchanges_.find(id.value());
    if (found == exchanges_.end())
    {
        return;
    }
    found->second.caller = 0;
    found->second.response_ended = true;
    core_.on_caller_gone(id, monotonic_now());
    process_actions();
    // The attempts that the core keeps continue, unless the rest of the request
    // body can no longer arrive.
    const auto remaining = exchanges_.find(id.value());
    if (remaining == exchanges_.end())
    {
        return;
    }
    const auto leases = remaining->second.attempts;
    std::ranges::for_each(leases, [this](lease_number lease) {
        const auto a = attempts_.find(lease);
        if (a == attempts_.end() || a->second.connection == nullptr)
        {
            return;
        }
        if (!a->second.connection->request_finished())
        {
            fail_attempt(
                a->second,
                "request body incomplete: caller disconnected or was rejected");
            return;
        }
        a->second.pending.clear();
        a->second.connection->resume();
    });
    erase_if_finished(id);
}

template <request_engine Core>
void proxy_server<Core>::report(const request_attempt& a,
                                const attempt_event& event)
{
    core_.on_attempt_event(a.request, a.number, event, monotonic_now());
}

template <request_engine Core>
void proxy_server<Core>::fail_attempt(request_attempt& a,
                                      const std::string& reason)
{
    pool_.retire(*std::exchange(a.connection, nullptr));
    report(a, attempt_broken{reason});
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::on_attempt_failed(lease_number lease,
                                           const std::string& reason)
{
    const auto found = attempts_.find(lease);
    if (found == attempts_.end())
    {
        return;
    }
    found->second.connection = nullptr;
    // Once attempt_sending was reported, the core must not treat the attempt as
    // unsent.
    if (found->second.sending)
    {
        report(found->second, attempt_broken{reason});
    }
    else
    {
        report(found->second, attempt_failed_unsent{reason});
    }
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::send_request(lease_number lease)
{
    const auto found = attempts_.find(lease);
    if (found == attempts_.end() || found->second.connection == nullptr)
    {
        return;
    }
    request_attempt& a = found->second;
    caller_connection* caller = caller_of(a.request);
    a.sending = true;
    if (caller == nullptr)
    {
        fail_attempt(a, "caller disconnected or was rejected");
        return;
    }
    http::request_header<> head = caller->head();
    erase_connection_headers(head);
    a.connection->begin_request(std::move(head), caller->body_length());
    forward_request_body(a);
}

// Writes as much of the request body as fits the window of the connection.
template <request_engine Core>
void proxy_server<Core>::forward_request_body(request_attempt& a)
{
    caller_connection* caller = caller_of(a.request);
    if (caller == nullptr || a.connection == nullptr || !a.sending ||
        a.connection->request_finished() || !a.connection->can_write_request())
    {
        return;
    }
    const std::string_view piece = caller->body_after(a.body_sent);
    a.connection->write_request(piece);
    a.body_sent += piece.size();
    if (caller->body_complete())
    {
        a.connection->finish_request();
        return;
    }
    a.connection->flush_buffered();
    // A small body is kept for a second attempt, but it would be complete by
    // now; an incomplete body is too large to be kept.
    caller->discard_body(a.body_sent);
}

template <request_engine Core>
void proxy_server<Core>::on_response_head(endpoint_connection& c,
                                          http::response_header<>&& head)
{
    const auto found = attempts_.find(c.lease());
    if (found == attempts_.end())
    {
        return;
    }
    request_attempt& a = found->second;
    const attempt_head summary = summarize(head);
    a.length = make_forwardable(head);
    if (a.keep_response)
    {
        a.stored = begin_stored_response(head);
    }
    a.head = std::move(head);
    report(a, summary);
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::on_response_body(endpoint_connection& c,
                                          std::string_view piece)
{
    const auto found = attempts_.find(c.lease());
    if (found == attempts_.end())
    {
        return;
    }
    request_attempt& a = found->second;
    a.response_bytes += piece.size();
    if (a.stored && a.response_bytes > max_stored_body)
    {
        a.stored.reset();
    }
    if (a.stored)
    {
        a.stored->body.append(piece);
    }
    const exchange& e = exchanges_.at(a.request.value());
    caller_connection* caller = caller_of(a.request);
    if (caller == nullptr)
    {
        return;
    }
    if (e.forwarded == c.lease() && a.pending.empty() &&
        caller->can_write_response())
    {
        caller->write_response(piece);
        return;
    }
    a.pending.append(piece);
    if (a.pending.size() >= limits_.window)
    {
        c.pause();
    }
}

template <request_engine Core>
void proxy_server<Core>::on_response_awaiting_input(endpoint_connection& c)
{
    const auto found = attempts_.find(c.lease());
    if (found == attempts_.end())
    {
        return;
    }
    const request_id id = found->second.request;
    caller_connection* caller = caller_of(id);
    if (caller != nullptr && caller->response_started() &&
        exchanges_.at(id.value()).forwarded == c.lease())
    {
        caller->flush_buffered();
    }
}

template <request_engine Core>
void proxy_server<Core>::on_response_done(endpoint_connection& c)
{
    const auto found = attempts_.find(c.lease());
    pool_.release(c);
    if (found == attempts_.end())
    {
        return;
    }
    request_attempt& a = found->second;
    a.connection = nullptr;
    a.complete = true;
    const request_id id = a.request;
    report(a, attempt_done{a.response_bytes, std::move(a.stored)});
    process_actions();
    forward_response_body(id);
}

template <request_engine Core>
void proxy_server<Core>::on_response_failed(endpoint_connection& c,
                                            const std::string& reason)
{
    const auto found = attempts_.find(c.lease());
    pool_.retire(c);
    if (found == attempts_.end())
    {
        return;
    }
    found->second.connection = nullptr;
    report(found->second, attempt_broken{reason});
    process_actions();
}

// Forwards the received part of the selected response, within the caller's
// window.
template <request_engine Core>
void proxy_server<Core>::forward_response_body(request_id id)
{
    caller_connection* caller = caller_of(id);
    if (caller == nullptr)
    {
        return;
    }
    exchange& e = exchanges_.at(id.value());
    if (!e.forwarded)
    {
        return;
    }
    request_attempt& a = attempts_.at(*e.forwarded);
    if (!e.forwarding_started)
    {
        e.forwarding_started = true;
        caller->begin_response(std::move(*a.head), a.length);
    }
    if (!a.pending.empty() && caller->can_write_response())
    {
        caller->write_response(std::exchange(a.pending, {}));
        if (!a.complete)
        {
            caller->flush_buffered();
        }
    }
    if (!a.pending.empty())
    {
        return;
    }
    if (a.complete)
    {
        end_response(id, [](caller_connection& c) { c.finish_response(); });
        return;
    }
    if (a.connection != nullptr)
    {
        a.connection->resume();
    }
}

} // namespace hemlockdeal
