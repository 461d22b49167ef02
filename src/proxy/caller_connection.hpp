// One caller's connection: reads requests within the limits and writes their
// responses, one request at a time.
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

class caller_connection;

// What a connection reports; the functions must not delete the connection.
struct caller_handlers
{
    // The headers were read, and the body either completely or as far as the
    // window allows.
    std::function<void(caller_connection&)> request_ready;
    std::function<void(caller_connection&)> body_arrived;
    // The window towards the caller has room again.
    std::function<void(caller_connection&)> response_room;
    // The connection has ended. Only here may the owner let go of it.
    std::function<void(caller_connection&)> gone;
    // The request in progress ends without the endpoint's response: the caller
    // broke a limit while it sent the body.
    std::function<void(caller_connection&)> request_failed;
    std::function<bool()> draining;
};

class caller_connection
{
public:
    caller_connection(std::uint64_t id, QTcpSocket* socket,
                      const proxy_limits& limits,
                      const caller_handlers& handlers);
    ~caller_connection();

    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    std::uint64_t id() const { return id_; }

    // Number that the owner gave to the request in progress, 0 for none.
    request_id request() const { return request_; }
    void set_request(request_id request) { request_ = request; }

    // The request in progress.
    const http::request_header<>& head() const { return head_; }
    // Length of the body, when it was stated or the body is complete.
    std::optional<std::uint64_t> known_length() const;
    bool body_complete() const { return body_complete_; }
    // Received body bytes after `offset`, which must not be below the bytes
    // that were discarded.
    std::string_view body_after(std::uint64_t offset) const;
    // Body bytes that can no longer be given again.
    std::uint64_t discarded() const { return discarded_; }
    // Lets go of the body's beginning, and reads more.
    void discard_body(std::uint64_t up_to);

    // Forwards an endpoint's response. The length is empty when unknown.
    void begin_response(http::response_header<>&& head,
                        std::optional<std::uint64_t> length);
    void write_response(std::string_view piece);
    // Sends what was forwarded so far, while the rest is not there.
    void send_started();
    bool response_has_room() const;
    void finish_response();
    bool response_started() const { return response_started_; }

    // Gives a complete response of the daemon's own.
    void respond(http::response_header<>&& head, std::string_view body);
    // Gives a response with the outcome header and a JSON body.
    void respond_outcome(unsigned status, std::string_view outcome,
                         std::string_view reason);

    // Resets the connection: what was forwarded is not a complete response.
    void abort();
    // Closes the connection after what was written is sent.
    void close_when_sent();

    // Enforces the time limits.
    void check_time(time_point now);

    bool is_idle() const { return phase_ == phase::idle; }
    bool has_unsent_bytes() const;
    time_point last_activity() const { return last_activity_; }

private:
    enum class phase
    {
        idle,        // no byte of the next request
        reading,     // headers or first window of the body
        in_progress, // reported by request_ready
        lingering,   // everything was answered, input is discarded
        ended
    };

    void read();
    void parse();
    bool parse_once();
    void take_head();
    void take_body();
    void report_ready();
    bool answer_directly();
    void reject(unsigned status, std::string_view reason);
    void reject_parse_error(const boost::beast::error_code& error);
    void start_next_request();
    void linger();
    void end();
    bool body_window_full() const;
    std::size_t unparsed() const { return input_.size() - input_offset_; }
    void write_continue_if_expected();

    const std::uint64_t id_;
    QTcpSocket* socket_;
    const proxy_limits& limits_;
    const caller_handlers& handlers_;

    phase phase_ = phase::idle;
    bool parsing_ = false;
    std::string input_;
    std::size_t input_offset_ = 0;
    std::optional<request_parser> parser_;
    bool head_taken_ = false;

    request_id request_;
    http::request_header<> head_;
    std::optional<std::uint64_t> length_;
    // Bytes discarded_ .. discarded_ + body_.size() of the request's body.
    std::string body_;
    std::uint64_t discarded_ = 0;
    bool body_complete_ = false;

    message_writer<false> writer_;
    bool response_started_ = false;
    bool response_bodyless_ = false;
    bool keep_alive_ = true;

    time_point phase_started_;
    time_point last_activity_;
};

} // namespace hemlockdeal
