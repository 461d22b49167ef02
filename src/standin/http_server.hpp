// A small HTTP/1.1 server that can also drop, hold or cut off an answer.
// QHttpServer always answers, so it cannot stand in for a faulty service.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <QTcpServer>

namespace hemlockdeal
{

class http_connection;

struct http_request
{
    std::string method;
    std::string target; // path and query, as sent
    std::string body;
};

struct http_reply
{
    int status = 200;
    std::string body;
};

// One request that waits for its answer. Without any call the connection stays
// open and no answer is sent. Safe to use after the connection broke.
class http_exchange
{
public:
    explicit http_exchange(std::weak_ptr<http_connection> connection);

    void answer(const http_reply& reply) const;
    // Announces the whole body, sends half of it and closes the connection.
    void answer_cut_off(const http_reply& reply) const;
    // Closes the connection without an answer.
    void close() const;
    // Keeps the connection open and ignores whatever arrives on it.
    void silence() const;
    bool opened_before(std::chrono::steady_clock::time_point time) const;

private:
    std::weak_ptr<http_connection> connection_;
};

// Listens on 127.0.0.1 and serves in the thread that created it. The requests
// of one connection are handed over one after the other.
class http_server
{
public:
    using handler = std::function<void(const http_request&, http_exchange)>;

    // Port 0 chooses a free port; throws std::runtime_error when the port
    // cannot be used.
    http_server(std::uint16_t port, handler serve);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    std::uint16_t port() const { return server_.serverPort(); }
    // "127.0.0.1:port".
    std::string address() const;

    // Bytes on all connections, with headers.
    std::uint64_t bytes_received() const { return bytes_received_; }
    std::uint64_t bytes_sent() const { return bytes_sent_; }

private:
    void accept();

    QTcpServer server_;
    handler serve_;
    std::uint64_t bytes_received_ = 0;
    std::uint64_t bytes_sent_ = 0;
};

// The decoded value of a query item, empty when it is absent.
std::string query_item(const std::string& target, const char* name);
// The part of a target before the query.
std::string path_of(const std::string& target);

} // namespace hemlockdeal
