// HTTP calls with a bound on their time, number and size, for the clients of
// the platform's interfaces.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QNetworkRequest>
#include <QObject>
#include <QUrl>

namespace hemlockdeal
{

class one_shot_body;

struct http_limits
{
    // From the call to the end of the answer, including the wait for a free
    // connection.
    std::chrono::milliseconds timeout{2000};
    std::size_t outstanding = 64;
    // Larger answers are cut off and count as broken. The list of 2,000 VMs
    // has about 0.6 MB.
    std::int64_t answer_bytes = std::int64_t{32} << 20U;
};

struct http_answer
{
    int status = 0; // 0 when no complete answer arrived
    QByteArray body;
    std::string failure; // why there is no answer
    bool timed_out = false;
};

// Bytes of requests and answers with their headers, without those of TCP/IP.
struct traffic
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

// Opens at most 6 connections to a host, which is Qt's own limit, and 6 new
// ones after a call timed out, since the open ones may be silent for good.
// Calls back from the event loop, never from within get() or post().
class http_caller
{
public:
    using callback = std::function<void(http_answer)>;

    explicit http_caller(http_limits limits = {});
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;
    // Calls that are outstanding end without a call back.
    ~http_caller();

    // Both return false when the limit of outstanding calls is reached; then
    // nothing is sent and `done` is not called.
    [[nodiscard]] bool get(const QUrl& url, callback done);
    [[nodiscard]] bool post(const QUrl& url, QByteArray body, callback done);

    // Runs `action` in the event loop, unless the caller is destroyed before.
    void post_action(std::function<void()> action);

    std::size_t outstanding() const { return outstanding_; }
    const traffic& bytes() const { return bytes_; }
    // Calls that were refused because of the limit.
    std::uint64_t refused() const { return refused_; }

private:
    // The connections to a host that calls use at present.
    struct connection_set
    {
        std::uint64_t number = 0;
        std::chrono::steady_clock::time_point replaced_at{};
    };

    bool admit();
    QNetworkRequest request_for(const QUrl& url) const;
    void replace_connections(const QNetworkRequest& timed_out);
    void watch(QNetworkReply* reply, callback done);
    http_answer finish(QNetworkReply& reply, bool timed_out, bool too_large);
    void count_sent(const QUrl& url, qint64 body_size);

    http_limits limits_;
    QNetworkAccessManager manager_;
    std::size_t outstanding_ = 0; // replies that have not called back
    std::uint64_t refused_ = 0;
    traffic bytes_;
    std::map<QString, connection_set> replaced_; // by ip:port
    // Destroyed before manager_, so that no reply calls back afterwards.
    QObject context_;
};

} // namespace hemlockdeal
