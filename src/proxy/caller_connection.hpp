// Connection of a caller: parses requests within the limits and writes their
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

// Events of a caller connection. Handlers must not delete the connection.
struct caller_handlers
{
    // The headers were received, and the body either completely or up to the
    // window size.
    std::function<void(caller_connection&)> request_ready;
    std::function<void(caller_connection&)> body_arrived;
    // More response bytes can be written.
    std::function<void(caller_connection&)> response_writable;
    // The connection has ended; from this call on the owner may release it.
    std::function<void(caller_connection&)> connection_ended;
    // The request in progress ends without the endpoint's response, because the
    // caller violated a limit while sending the body.
    std::function<void(caller_connection&)> request_failed;
    std::function<bool()> draining;
    // Input was received and parsed, so that buffered() may have grown.
    std::function<void(caller_connection&)> received;
    // False if a complete request must be refused for want of memory.
    std::function<bool(caller_connection&)> has_room;
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

    // Identifier that the owner assigned to the request in progress, 0 for
    // none.
    request_id request() const { return request_; }
    void set_request(request_id request) { request_ = request; }

    // The request in progress.
    const http::request_header<>& head() const { return head_; }
    // Length of the body, if it was declared or the body is complete.
    std::optional<std::uint64_t> body_length() const;
    bool body_complete() const { return body_complete_; }
    // Returns the received body bytes from `offset` on, which must be at least
    // discarded().
    std::string_view body_after(std::uint64_t offset) const;
    // Number of leading body bytes that were discarded and cannot be sent
    // again.
    std::uint64_t discarded() const { return discarded_; }
    // Discards the body up to this offset and reads more input.
    void discard_body(std::uint64_t up_to);

    // Starts forwarding an endpoint's response; the length is empty if unknown.
    void begin_response(http::response_header<>&& head,
                        std::optional<std::uint64_t> length);
    void write_response(std::string_view piece);
    // Sends the buffered part of the response before the rest is available.
    void flush_buffered();
    bool can_write_response() const;
    void finish_response();
    bool response_started() const { return response_started_; }

    // Sends a complete response that the daemon generates itself.
    void respond(http::response_header<>&& head, std::string_view body);
    // Sends a response with the outcome header and a JSON body.
    void respond_outcome(unsigned status, std::string_view outcome,
                         std::string_view reason);

    // Resets the connection, so that the caller does not take the part that was
    // forwarded for a complete response.
    void abort();
    // Closes the connection after all buffered bytes are sent.
    void close_when_sent();

    // Enforces the time limits.
    void check_time(time_point now);

    // Number of bytes in the buffers of this connection.
    std::size_t buffered() const;
    // Value of buffered() that the owner has counted.
    std::size_t counted_bytes() const { return counted_bytes_; }
    void set_counted_bytes(std::size_t bytes) { counted_bytes_ = bytes; }
    // True while a request arrives that is not reported yet.
    bool is_receiving() const { return phase_ == phase::reading; }
    // True while the caller has not read all that was written.
    bool is_sending() const
    {
        return phase_ == phase::in_progress && socket_->bytesToWrite() > 0;
    }
    // When the current phase began.
    time_point phase_started() const { return phase_started_; }
    // Refuses the request that arrives, for want of memory. Requires
    // is_receiving().
    void refuse_for_memory();

    bool is_idle() const { return phase_ == phase::idle; }
    time_point last_activity() const { return last_activity_; }

private:
    enum class phase
    {
        idle,        // no byte of the next request received
        reading,     // headers or first window of the body
        in_progress, // reported with request_ready
        lingering,   // response written; input is discarded
        ended
    };

    void read();
    void parse();
    bool parse_once();
    void process_head();
    void process_body();
    void notify_request_ready();
    bool is_health_check() const;
    bool respond_to_health_check();
    void reject(unsigned status, std::string_view reason);
    void refuse();
    // Frees the buffers of a request that is not read further.
    void release_input();
    void reject_parse_error(const boost::beast::error_code& error);
    void start_next_request();
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
    bool head_parsed_ = false;

    request_id request_;
    http::request_header<> head_;
    std::optional<std::uint64_t> length_;
    // Bytes discarded_ to discarded_ + body_.size() of the request body.
    std::string body_;
    std::uint64_t discarded_ = 0;
    bool body_complete_ = false;

    message_writer<false> writer_;
    bool response_started_ = false;
    bool response_has_no_body_ = false;
    bool keep_alive_ = true;

    time_point phase_started_;
    time_point last_activity_;
    std::size_t counted_bytes_ = 0;
};

} // namespace hemlockdeal
