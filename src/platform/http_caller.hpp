// HTTP calls with limits on duration, number of outstanding calls and response
// size, for the clients of the platform's interfaces.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QNetworkRequest>
#include <QObject>
#include <QUrl>

#include "core/core.hpp"

namespace hemlockdeal
{

class one_shot_body;
struct outstanding_call;

struct http_limits
{
    // From the call to the beginning of the response, including the wait for a
    // free connection. Once it has begun, the response may take as long as it
    // makes progress.
    std::chrono::milliseconds timeout{2000};
    progress_limits progress = {};
    std::size_t max_outstanding = 64;
    // Larger responses are aborted and count as failed. The membership list of
    // 2,000 VMs has about 0.6 MB.
    std::int64_t max_response_bytes = std::int64_t{32} << 20U;
};

struct call_response
{
    int status = 0; // 0 when there is no complete response
    QByteArray body;
    std::string failure; // reason when there is no complete response
    bool timed_out = false;
};

// Bytes of requests and responses with their HTTP headers, without TCP/IP
// overhead.
struct traffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

// Opens at most 6 connections to an address, which is Qt's own limit. After a
// call timed out, later calls use up to 6 new connections, since the open ones
// may never respond again. Callbacks run in the event loop, never within get()
// or post().
class http_caller
{
public:
    using callback = std::function<void(call_response)>;

    explicit http_caller(http_limits limits = {});
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;
    // Outstanding calls end without a callback.
    ~http_caller();

    // Both return false when the limit of outstanding calls is reached; then
    // nothing is sent and `done` is not called.
    [[nodiscard]] bool get(const QUrl& url, callback done);
    [[nodiscard]] bool post(const QUrl& url, QByteArray body, callback done);

    // Runs `action` in the event loop, unless this object is destroyed first.
    void post_action(std::function<void()> action);

    std::size_t outstanding() const { return outstanding_; }
    const traffic& bytes() const { return bytes_; }
    // Calls that were refused because of the limit.
    std::uint64_t refused() const { return refused_; }

private:
    // The connections that new calls to an address use.
    struct connection_set
    {
        std::uint64_t number = 0;
        std::chrono::steady_clock::time_point replaced_at{};
    };

    bool admit();
    QNetworkRequest request_for(const QUrl& url) const;
    void replace_connections(const QNetworkRequest& timed_out_request);
    void expire_when_due(QNetworkReply* reply,
                         const std::shared_ptr<outstanding_call>& state);
    void watch(QNetworkReply* reply, callback done);
    call_response finish(QNetworkReply& reply, bool timed_out, bool too_large);
    void count_sent(const QUrl& url, qint64 body_size);

    http_limits limits_;
    QNetworkAccessManager manager_;
    std::size_t outstanding_ = 0; // calls whose callback has not run
    std::uint64_t refused_ = 0;
    traffic bytes_;
    std::map<QString, connection_set> connection_sets_; // by ip:port
    // Destroyed before manager_, so that no reply calls back afterwards.
    QObject context_;
};

} // namespace hemlockdeal
