// Connection to an endpoint, with at most one request in progress.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <QTcpSocket>

#include "core/core.hpp"
#include "proxy/http_codec.hpp"
#include "proxy/proxy_limits.hpp"

namespace hemlockdeal
{

class endpoint_connection;

// Events of an endpoint connection. Handlers may close the connection but must
// not delete it.
struct endpoint_handlers
{
    std::function<void(endpoint_connection&)> connected;
    // The connection ended without a request in progress: it could not be
    // opened, the endpoint closed it, or the endpoint sent unsolicited bytes.
    std::function<void(endpoint_connection&, const std::string&)>
        connection_lost;
    // The endpoint responded to the probe; true for a 2xx status.
    std::function<void(endpoint_connection&, bool)> probed;

    std::function<void(endpoint_connection&, http::response_header<>&&)> head;
    std::function<void(endpoint_connection&, std::string_view)> body;
    // All received bytes were reported and the response is not complete.
    std::function<void(endpoint_connection&)> awaiting_input;
    // The response is complete. If is_reusable(), the connection can take
    // another request.
    std::function<void(endpoint_connection&)> done;
    // The response was not received completely.
    std::function<void(endpoint_connection&, const std::string&)>
        response_failed;
    // More request bytes can be written.
    std::function<void(endpoint_connection&)> request_writable;
};

class endpoint_connection
{
public:
    // Starts to connect.
    endpoint_connection(instance_id instance, const std::string& address,
                        const proxy_limits& limits,
                        const endpoint_handlers& handlers);
    ~endpoint_connection();

    endpoint_connection(const endpoint_connection&) = delete;
    endpoint_connection& operator=(const endpoint_connection&) = delete;

    const instance_id& instance() const { return instance_; }
    const std::string& address() const { return address_; }

    // True if a request can be sent now: nothing is in progress, the connection
    // is open, and the endpoint has sent no unsolicited bytes.
    bool is_ready() const;
    bool is_idle() const { return phase_ == phase::idle; }
    bool is_connecting() const { return phase_ == phase::connecting; }
    bool is_probing() const { return phase_ == phase::probing; }
    // Lease that the connection is assigned to, 0 for none.
    std::uint64_t lease() const { return lease_; }
    void set_lease(std::uint64_t lease) { lease_ = lease; }

    // Start of the current phase.
    time_point phase_started() const { return phase_started_; }

    // Starts a request; an empty length selects chunked encoding.
    void begin_request(http::request_header<>&& head,
                       std::optional<std::uint64_t> length);
    void write_request(std::string_view piece);
    // Sends the buffered part of the request before the rest is available.
    void flush_buffered();
    bool can_write_request() const;
    void finish_request();
    bool request_finished() const { return request_finished_; }

    // Sends `HEAD /healthz`.
    void probe();

    // Pauses and resumes reading of the response.
    void pause() { paused_ = true; }
    void resume();

    // Number of bytes in the buffers of this connection.
    std::size_t buffered() const;

    bool is_reusable() const { return reusable_; }

    // Closes the connection without calling a handler.
    void close();

private:
    enum class phase
    {
        connecting,
        idle,
        probing,
        busy,
        closed
    };

    void set_phase(phase next);
    void read();
    void process();
    bool parse_once(std::string_view input, std::size_t& used);
    bool process_head();
    void process_body();
    void complete(bool more_input);
    void fail(const std::string& reason);
    void start_parser(bool no_body);

    instance_id instance_;
    std::string address_;
    std::uint64_t lease_ = 0;
    const proxy_limits& limits_;
    const endpoint_handlers& handlers_;
    QTcpSocket* socket_;

    phase phase_ = phase::connecting;
    time_point phase_started_;
    // Unparsed input. Invariant: empty unless a request or probe is in
    // progress.
    std::string input_;
    std::optional<response_parser> parser_;
    bool no_body_ = false;
    bool head_parsed_ = false;
    bool paused_ = false;
    bool processing_ = false;
    bool remote_closed_ = false;
    bool request_finished_ = false;
    bool reusable_ = false;
    message_writer<true> writer_;
};

} // namespace hemlockdeal
