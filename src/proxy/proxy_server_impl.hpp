// Implementation of proxy_server, included by proxy_server.hpp only.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>

namespace hemlockdeal
{

namespace detail
{

// Bounds the error of the time limits of connections to endpoints.
inline constexpr std::chrono::milliseconds proxy_tick{50};
// Callers are checked less often: their limits are seconds, and a check costs
// time for each of thousands of idle connections.
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
        armed_for_.reset();
        core_.on_tick(monotonic_now());
        settle();
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
                pump_request(a->second);
            }
        });
    };
    h.response_room = [this](caller_connection& c) {
        pump_response(c.request());
    };
    h.gone = [this](caller_connection& c) { on_caller_gone(c); };
    h.request_failed = h.gone;
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
        ready_.push_back(lease);
        settle();
    };
    h.failed = [this](lease_number lease, const std::string& reason) {
        on_attempt_failed(lease, reason);
    };
    h.probed = [this](const instance_id& instance, bool healthy) {
        core_.on_probe_result(instance, healthy, monotonic_now());
        settle();
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
    h.waiting = [this](endpoint_connection& c) { on_response_waiting(c); };
    h.done = [this](endpoint_connection& c) { on_response_done(c); };
    h.broken = [this](endpoint_connection& c, const std::string& reason) {
        on_response_broken(c, reason);
    };
    h.request_room = [this](endpoint_connection& c) {
        const auto found = attempts_.find(c.lease());
        if (found != attempts_.end())
        {
            pump_request(found->second);
        }
    };
    return h;
}

template <request_engine Core>
void proxy_server<Core>::settle()
{
    if (settling_)
    {
        return;
    }
    settling_ = true;
    std::optional<lease_number> announced;
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
        // The core had the chance to abandon the announced attempt.
        if (announced)
        {
            send_request(*std::exchange(announced, std::nullopt));
            continue;
        }
        if (ready_.empty())
        {
            break;
        }
        const lease_number lease = ready_.front();
        ready_.pop_front();
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
                                      "the request's body is not available"});
            continue;
        }
        report(found->second, attempt_sending{});
        announced = lease;
    }
    settling_ = false;
    arm_wakeup();
}

template <request_engine Core>
void proxy_server<Core>::arm_wakeup()
{
    const std::optional<time_point> next = core_.next_wakeup();
    // An armed earlier time is kept: its tick arms the later one.
    if (!next || (armed_for_ && *armed_for_ <= *next))
    {
        return;
    }
    armed_for_ = next;
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
    if (++ticks_ % detail::ticks_per_caller_check == 0)
    {
        listener_.check_time(now);
    }
    check_drained(now);
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
    settle();
}

template <request_engine Core>
void proxy_server<Core>::check_drained(time_point now)
{
    if (!drain_started_ || now - *drain_started_ < limits_.drain_delay)
    {
        return;
    }
    listener_.close();
    listener_.close_idle(now - limits_.drain_quiet);
    const bool over = core_.is_drained() && exchanges_.empty() &&
                      listener_.size() == 0 && unsent_commits_.empty();
    if (over && drained_)
    {
        std::exchange(drained_, nullptr)();
    }
}

template <request_engine Core>
void proxy_server<Core>::on_configuration(const configuration& c)
{
    core_.on_configuration(c);
    settle();
}

template <request_engine Core>
void proxy_server<Core>::on_membership(const membership_list& list)
{
    core_.on_membership(list, monotonic_now());
    pool_.keep_only(list);
    settle();
}

template <request_engine Core>
void proxy_server<Core>::on_commit_outcome(const commit_id& id,
                                           const commit_outcome& outcome)
{
    core_.on_commit_outcome(id, outcome, monotonic_now());
    settle();
}

template <request_engine Core>
void proxy_server<Core>::on_row(std::uint64_t number, const row_reply& reply)
{
    core_.on_row(number, reply, monotonic_now());
    settle();
}

template <request_engine Core>
void proxy_server<Core>::on_peer(const vm_id& sender, const peer_body& body)
{
    core_.on_peer(sender, body, monotonic_now());
    settle();
}

template <request_engine Core>
void proxy_server<Core>::on_link_use(std::uint64_t bytes)
{
    core_.on_link_use(bytes, monotonic_now());
    settle();
}

} // namespace hemlockdeal

#include "proxy/proxy_server_actions.hpp"
#include "proxy/proxy_server_exchange.hpp"
