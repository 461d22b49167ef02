// Thread that serves callers: listener, endpoint connections and request core.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "event_loop_thread.hpp"
#include "mailbox.hpp"
#include "messages.hpp"
#include "proxy/proxy.hpp"
#include "request/request.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

struct proxy_thread_outputs
{
    mailbox<platform_request>* platform = nullptr;
    mailbox<send_to_peer>* to_peer = nullptr;
    std::function<void(timeline_event)> record;
    // Called in the proxy thread.
    std::function<void(const finish_request&)> finished;
    std::function<void(const configuration&)> configured;
};

struct addressed_peer_body
{
    vm_id sender;
    peer_body body;
};

// Values of the proxy's gauges.
struct proxy_counts
{
    std::size_t callers = 0;
    std::uint64_t refused_callers = 0;
    std::size_t endpoint_connections = 0;
    std::size_t requests_in_progress = 0;
    std::size_t waiting = 0;
    std::uint64_t failed_accepts = 0;
    std::uint64_t refused_for_memory = 0;
    std::size_t buffered_bytes = 0;
};

class proxy_thread
{
public:
    proxy_thread(const daemon_settings& settings, incarnation process,
                 proxy_thread_outputs outputs);
    ~proxy_thread();

    mailbox<shared_configuration>& configurations() { return configurations_; }
    mailbox<addressed_peer_body>& from_peer() { return from_peer_; }
    QObject& context() { return thread_.context(); }
    void on_platform(platform_reply&& reply);

    // Returns false when the server cannot listen on the address.
    bool start();

    // Finishes the requests in flight; `drained` is called in the proxy thread
    // when none is left.
    void drain(std::function<void()> drained);
    void stop();

    proxy_counts counts();

private:
    using server = proxy_server<request_core<>>;

    proxy_outputs make_outputs();

    daemon_settings settings_;
    incarnation process_;
    proxy_thread_outputs outputs_;
    mailbox<shared_configuration> configurations_;
    mailbox<addressed_peer_body> from_peer_;
    // Created and destroyed in the thread that uses it.
    std::optional<server> server_;
    event_loop_thread thread_;
};

} // namespace hemlockdeal
