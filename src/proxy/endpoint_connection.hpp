// One connection to an endpoint, with at most one request at a time.
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

// What a connection reports. Functions may close the connection but must not
// delete it.
struct endpoint_handlers
{
    std::function<void(endpoint_connection&)> connected;
    // The connection ended while no request was in progress: it could not be
    // opened, the endpoint closed it, or it sent bytes that nobody asked for.
    std::function<void(endpoint_connection&, const std::string&)> lost;
    // The endpoint responded to the probe; true for a status of 2xx.
    std::function<void(endpoint_connection&, bool)> probed;

    std::function<void(endpoint_connection&, http::response_header<>&&)> head;
    std::function<void(endpoint_connection&, std::string_view)> body;
    // All that was received was reported, and the response is not complete.
    std::function<void(endpoint_connection&)> waiting;
    // The response is complete. The connection may take another request when
    // is_reusable().
    std::function<void(endpoint_connection&)> done;
    // The response was not received completely.
    std::function<void(endpoint_connection&, const std::string&)> broken;
    // The window towards the endpoint has room again.
    std::function<void(endpoint_connection&)> request_room;
};

class endpoint_connection
{
public:
    // Connects at once.
    endpoint_connection(instance_id instance, const std::string& address,
                        const proxy_limits& limits,
                        const endpoint_handlers& handlers);
    ~endpoint_connection();

    endpoint_connection(const endpoint_connection&) = delete;
    endpoint_connection& operator=(const endpoint_connection&) = delete;

    const instance_id& instance() const { return instance_; }
    const std::string& address() const { return address_; }

    // True when a request can be sent now: nothing is in progress and the
    // endpoint has neither closed the connection nor sent anything.
    bool is_ready() const;
    bool is_idle() const { return phase_ == phase::idle; }
    bool is_connecting() const { return phase_ == phase::connecting; }
    bool is_probing() const { return phase_ == phase::probing; }
    // Names the use that the owner makes of the connection, 0 for none.
    std::uint64_t lease() const { return lease_; }
    void set_lease(std::uint64_t lease) { lease_ = lease; }

    // When the current phase began.
    time_point phase_started() const { return phase_started_; }

    // Starts a request. An empty length means a chunked body.
    void begin_request(http::request_header<>&& head,
                       std::optional<std::uint64_t> length);
    void write_request(std::string_view piece);
    // Sends what was written so far, while the rest is not there.
    void send_started();
    bool request_has_room() const;
    void finish_request();
    bool request_finished() const { return request_finished_; }

    // Sends `HEAD /healthz`.
    void probe();

    // Stops and continues reading of the response's body.
    void pause() { paused_ = true; }
    void resume();

    bool is_reusable() const { return reusable_; }

    // Closes without a report.
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

    void enter(phase next);
    void read();
    void process();
    bool parse_once(std::string_view input, std::size_t& used);
    bool take_head();
    void take_body();
    void complete(bool more_input);
    void fail(const std::string& reason);
    void start_parser(bool bodyless);

    instance_id instance_;
    std::string address_;
    std::uint64_t lease_ = 0;
    const proxy_limits& limits_;
    const endpoint_handlers& handlers_;
    QTcpSocket* socket_;

    phase phase_ = phase::connecting;
    time_point phase_started_;
    // Invariant: empty unless a request or probe is in progress.
    std::string input_;
    std::optional<response_parser> parser_;
    bool bodyless_ = false;
    bool head_taken_ = false;
    bool paused_ = false;
    bool processing_ = false;
    bool remote_closed_ = false;
    bool request_finished_ = false;
    bool reusable_ = false;
    message_writer<true> writer_;
};

} // namespace hemlockdeal
