// Connects the callers' listener, the endpoint connections and the request
// core.
#pragma once

#include <concepts>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include <QTimer>

#include "core/core.hpp"
#include "proxy/caller_listener.hpp"
#include "proxy/endpoint_pool.hpp"
#include "proxy/exchange.hpp"
#include "proxy/proxy_limits.hpp"
#include "proxy/proxy_outputs.hpp"
#include "proxy/socket_options.hpp"
#include "request/request.hpp"

namespace hemlockdeal
{

// Requirements of the proxy on a request core.
template <typename Core>
concept request_engine = std::constructible_from<Core, request_settings> &&
    requires(Core core, time_point now, request_id id, attempt number)
{
    core.on_request(request_head{}, now);
    core.on_caller_gone(id, now);
    core.on_attempt_event(id, number, attempt_event{}, now);
    core.on_probe_result(instance_id{}, true, now);
    core.on_tick(now);
    {
        core.next_wakeup()
        } -> std::same_as<std::optional<time_point>>;
    {
        core.take_actions()
        } -> std::same_as<std::vector<request_action>>;
    {
        core.is_drained()
        } -> std::same_as<bool>;
};

// Must be created, used and destroyed in one thread that runs an event loop.
template <request_engine Core>
class proxy_server
{
public:
    proxy_server(const request_settings& settings, proxy_outputs outputs,
                 const proxy_limits& limits = {});

    proxy_server(const proxy_server&) = delete;
    proxy_server& operator=(const proxy_server&) = delete;

    // Port 0 selects a free port. Returns false when the address is in use.
    bool listen(const std::string& ip, std::uint16_t port);
    std::uint16_t port() const { return listener_.port(); }

    void on_configuration(const configuration& c);
    void on_membership(const membership_list& list);
    void on_commit_outcome(const commit_id& id, const commit_outcome& outcome);
    void on_row(std::uint64_t number, const row_reply& reply);
    void on_peer(const vm_id& sender, const peer_body& body);
    void on_link_use(std::uint64_t bytes);

    // Starts draining; `drained` is called once, when nothing is in flight and
    // no caller is connected.
    void drain(std::function<void()> drained);
    bool is_draining() const { return drain_started_.has_value(); }

    const Core& core() const { return core_; }
    std::size_t callers() const { return listener_.size(); }
    std::uint64_t refused_callers() const { return listener_.refused(); }
    std::uint64_t refused_for_memory() const
    {
        return listener_.refused_for_memory();
    }
    // Bytes of requests and responses that are buffered now.
    std::size_t buffered_bytes() const
    {
        return listener_.buffered() + endpoint_bytes();
    }
    std::uint64_t failed_accepts() const { return listener_.failed_accepts(); }
    std::size_t endpoint_connections() const { return pool_.size(); }
    std::size_t requests_in_progress() const { return exchanges_.size(); }

private:
    caller_handlers make_caller_handlers();
    pool_handlers make_pool_handlers();
    endpoint_handlers make_endpoint_handlers();

    // Executes the core's actions until there are none, and sends the requests
    // whose connection is ready.
    void process_actions();
    void arm_wakeup();
    void tick();
    std::size_t endpoint_bytes() const;
    void check_drained(time_point now);

    void perform(start_attempt& action);
    void perform(abandon_attempt& action);
    void perform(forward_response& action);
    void perform(abort_response& action);
    void perform(respond_not_run& action);
    void perform(respond_unknown& action);
    void perform(respond_stored& action);
    void perform(probe_instance& action);
    void perform(finish_request& action);
    void perform(send_commit& action);
    void perform(read_row& action);
    void perform(send_to_peer& action);
    void perform(record_event& action);

    void on_request_ready(caller_connection& caller);
    void on_caller_gone(caller_connection& caller);
    void on_attempt_failed(lease_number lease, const std::string& reason);
    void on_response_head(endpoint_connection& c, http::response_header<>&& h);
    void on_response_body(endpoint_connection& c, std::string_view piece);
    void on_response_awaiting_input(endpoint_connection& c);
    void on_response_done(endpoint_connection& c);
    void on_response_failed(endpoint_connection& c, const std::string& reason);

    void send_request(lease_number lease);
    void forward_request_body(request_attempt& a);
    void forward_response_body(request_id id);
    void report(const request_attempt& a, const attempt_event& event);
    // Fails an attempt whose request can no longer be sent completely.
    void fail_attempt(request_attempt& a, const std::string& reason);
    template <typename Respond>
    void end_response(request_id id, Respond&& respond);
    void erase_if_finished(request_id id);
    std::optional<lease_number> lease_of(request_id id, attempt number) const;
    caller_connection* caller_of(request_id id);

    const proxy_limits limits_;
    proxy_outputs outputs_;
    Core core_;
    std::unordered_map<std::uint64_t, exchange> exchanges_; // by request id
    std::unordered_map<lease_number, request_attempt> attempts_;
    // Attempts whose connection is ready and whose request is not yet sent.
    std::deque<lease_number> ready_attempts_;
    std::deque<send_commit> unsent_commits_;
    lease_number last_lease_ = 0;
    std::uint64_t last_request_ = 0;
    bool processing_actions_ = false;
    unsigned ticks_ = 0;
    std::optional<time_point> wakeup_at_;
    std::optional<time_point> drain_started_;
    std::function<void()> drained_;
    QTimer wakeup_;
    QTimer tick_;
    // Last members, hence destroyed first: their destructors close sockets and
    // call no handler.
    endpoint_pool pool_;
    caller_listener listener_;
};

} // namespace hemlockdeal

#include "proxy/proxy_server_impl.hpp"
