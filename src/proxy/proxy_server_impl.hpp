// Implementation of proxy_server; included by proxy_server.hpp only.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>

namespace hemlockdeal
{

namespace detail
{

// Resolution of the time limits of endpoint connections.
inline constexpr std::chrono::milliseconds proxy_tick{50};
// Callers are checked less often: their limits are seconds, and a check
// iterates over thousands of idle connections.
inline constexpr unsigned ticks_per_caller_check = 5;

} // namespace detail

template <request_engine Core>
proxy_server<Core>::proxy_server(const request_settings& settings,
                                 proxy_outputs outputs,
                                 const proxy_limits& limits)
    : limits_(limits), outputs_(std::move(outputs)), core_(settings),
      pool_(limits_, make_pool_handlers(), make_endpoint_handlers()),
      listener_(limits_, make_caller_handlers())
{
    wakeup_.setSingleShot(true);
    wakeup_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&wakeup_, &QTimer::timeout, &wakeup_, [this] {
        wakeup_at_.reset();
        core_.on_tick(monotonic_now());
        process_actions();
    });
    QObject::connect(&tick_, &QTimer::timeout, &tick_, [this] { tick(); });
    tick_.start(detail::proxy_tick);
}

template <request_engine Core>
bool proxy_server<Core>::listen(const std::string& ip, std::uint16_t port)
{
    return listener_.listen(ip, port);
}

template <request_engine Core>
caller_handlers proxy_server<Core>::make_caller_handlers()
{
    caller_handlers h;
    h.request_ready = [this](caller_connection& c) { on_request_ready(c); };
    h.body_arrived = [this](caller_connection& c) {
        const auto found = exchanges_.find(c.request().value());
        if (found == exchanges_.end())
        {
            return;
        }
        const auto leases = found->second.attempts;
        std::ranges::for_each(leases, [this](lease_number lease) {
            const auto a = attempts_.find(lease);
            if (a != attempts_.end())
            {
                forward_request_body(a->second);
            }
        });
    };
    h.response_writable = [this](caller_connection& c) {
        forward_response_body(c.request());
    };
    h.connection_ended = [this](caller_connection& c) { on_caller_gone(c); };
    h.request_failed = h.connection_ended;
    h.draining = [this] { return is_draining(); };
    return h;
}

template <request_engine Core>
pool_handlers proxy_server<Core>::make_pool_handlers()
{
    pool_handlers h;
    h.ready = [this](lease_number lease, endpoint_connection& c) {
        const auto found = attempts_.find(lease);
        if (found == attempts_.end())
        {
            pool_.retire(c);
            return;
        }
        found->second.connection = &c;
        ready_attempts_.push_back(lease);
        process_actions();
    };
    h.failed = [this](lease_number lease, const std::string& reason) {
        on_attempt_failed(lease, reason);
    };
    h.probed = [this](const instance_id& instance, bool healthy) {
        core_.on_probe_result(instance, healthy, monotonic_now());
        process_actions();
    };
    return h;
}

template <request_engine Core>
endpoint_handlers proxy_server<Core>::make_endpoint_handlers()
{
    endpoint_handlers h;
    h.head = [this](endpoint_connection& c, http::response_header<>&& head) {
        on_response_head(c, std::move(head));
    };
    h.body = [this](endpoint_connection& c, std::string_view piece) {
        on_response_body(c, piece);
    };
    h.awaiting_input = [this](endpoint_connection& c) {
        on_response_awaiting_input(c);
    };
    h.done = [this](endpoint_connection& c) { on_response_done(c); };
    h.response_failed = [this](endpoint_connection& c,
                               const std::string& reason) {
        on_response_failed(c, reason);
    };
    h.request_writable = [this](endpoint_connection& c) {
        const auto found = attempts_.find(c.lease());
        if (found != attempts_.end())
        {
            forward_request_body(found->second);
        }
    };
    return h;
}

template <request_engine Core>
void proxy_server<Core>::process_actions()
{
    if (processing_actions_)
    {
        return;
    }
    processing_actions_ = true;
    std::optional<lease_number> reported_lease;
    for (;;)
    {
        auto actions = core_.take_actions();
        if (!actions.empty())
        {
            std::ranges::for_each(actions, [this](request_action& action) {
                std::visit([this](auto& a) { perform(a); }, action);
            });
            continue;
        }
        // The core could abandon the attempt after attempt_sending was
        // reported; if it did not, the request is sent.
        if (reported_lease)
        {
            send_request(*std::exchange(reported_lease, std::nullopt));
            continue;
        }
        if (ready_attempts_.empty())
        {
            break;
        }
        const lease_number lease = ready_attempts_.front();
        ready_attempts_.pop_front();
        const auto found = attempts_.find(lease);
        if (found == attempts_.end() || found->second.connection == nullptr)
        {
            continue;
        }
        caller_connection* caller = caller_of(found->second.request);
        if (caller == nullptr || caller->discarded() > 0)
        {
            pool_.retire(*std::exchange(found->second.connection, nullptr));
            report(found->second, attempt_failed_unsent{
                                      "request body is no longer available"});
            continue;
        }
        report(found->second, attempt_sending{});
        reported_lease = lease;
    }
    processing_actions_ = false;
    arm_wakeup();
}

template <request_engine Core>
void proxy_server<Core>::arm_wakeup()
{
    const std::optional<time_point> next = core_.next_wakeup();
    // An earlier wake-up stays armed; its handler arms the later one.
    if (!next || (wakeup_at_ && *wakeup_at_ <= *next))
    {
        return;
    }
    wakeup_at_ = next;
    const duration wait = std::max(*next - monotonic_now(), duration::zero());
    wakeup_.start(std::chrono::ceil<std::chrono::milliseconds>(wait));
}

template <request_engine Core>
void proxy_server<Core>::tick()
{
    const time_point now = monotonic_now();
    while (!unsent_commits_.empty() && outputs_.commit(unsent_commits_.front()))
    {
        unsent_commits_.pop_front();
    }
    pool_.check_time(now);
    listener_.set_endpoint_bytes(endpoint_bytes());
    if (++ticks_ % detail::ticks_per_caller_check == 0)
    {
        listener_.check_time(now);
    }
    check_drained(now);
}

template <request_engine Core>
std::size_t proxy_server<Core>::endpoint_bytes() const
{
    std::size_t bytes = 0;
    std::ranges::for_each(attempts_, [&](const auto& entry) {
        const request_attempt& a = entry.second;
        bytes += a.pending.capacity();
        bytes += a.connection == nullptr ? 0 : a.connection->buffered();
    });
    return bytes;
}

template <request_engine Core>
void proxy_server<Core>::drain(std::function<void()> drained)
{
    if (is_draining())
    {
        return;
    }
    drained_ = std::move(drained);
    drain_started_ = monotonic_now();
    core_.start_drain(*drain_started_);
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::check_drained(time_point now)
{
    if (!drain_started_ || now - *drain_started_ < limits_.drain_delay)
    {
        return;
    }
    listener_.close();
    listener_.close_idle(now - limits_.drain_idle_time);
    const bool drain_complete = core_.is_drained() && exchanges_.empty() &&
                                listener_.size() == 0 &&
                                unsent_commits_.empty();
    if (drain_complete && drained_)
    {
        std::exchange(drained_, nullptr)();
    }
}

template <request_engine Core>
void proxy_server<Core>::on_configuration(const configuration& c)
{
    core_.on_configuration(c);
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::on_membership(const membership_list& list)
{
    core_.on_membership(list, monotonic_now());
    pool_.close_unlisted(list);
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::on_commit_outcome(const commit_id& id,
                                           const commit_outcome& outcome)
{
    core_.on_commit_outcome(id, outcome, monotonic_now());
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::on_row(std::uint64_t number, const row_reply& reply)
{
    core_.on_row(number, reply, monotonic_now());
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::on_peer(const vm_id& sender, const peer_body& body)
{
    core_.on_peer(sender, body, monotonic_now());
    process_actions();
}

template <request_engine Core>
void proxy_server<Core>::on_link_use(std::uint64_t bytes)
{
    core_.on_link_use(bytes, monotonic_now());
    process_actions();
}

} // namespace hemlockdeal

#include "proxy/proxy_server_actions.hpp"
#include "proxy/proxy_server_exchange.hpp"
