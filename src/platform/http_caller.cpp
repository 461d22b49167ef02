// HTTP calls with limits on duration, number of outstanding calls and response
// size.
#include "platform/http_caller.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include <QNetworkProxy>
#include <QNetworkReply>
#include <QTimer>

#include "platform/one_shot_body.hpp"

namespace hemlockdeal
{

namespace
{

// Size of the request line and headers that Qt sends, without path, value of
// Host and body: method, version, Host, Connection, Accept-Encoding,
// Accept-Language, User-Agent, and Content-Type and Content-Length of a POST.
constexpr qint64 get_header_bytes = 138;
constexpr qint64 post_header_bytes = 190;

qint64 response_header_bytes(const QNetworkReply& reply)
{
    // Each header has a separator of two bytes and a line end of two bytes;
    // the status line has about 17 bytes and the end of the headers two.
    qint64 bytes = 19;
    std::ranges::for_each(reply.rawHeaderPairs(), [&](const auto& header) {
        bytes += header.first.size() + header.second.size() + 4;
    });
    return bytes;
}

// Qt also reports a complete response with a status of 400 or above as an
// error, in the ranges of content and server errors. All other errors mean that
// the response is incomplete.
bool is_complete(QNetworkReply::NetworkError code)
{
    if (code == QNetworkReply::ContentReSendError)
    {
        return false;
    }
    return code == QNetworkReply::NoError ||
           code == QNetworkReply::ProtocolInvalidOperationError ||
           (code > QNetworkReply::UnknownProxyError &&
            code < QNetworkReply::ProtocolUnknownError) ||
           code >= QNetworkReply::InternalServerError;
}

// Calls to a slow service time out on healthy connections too. Qt closes
// connections that are idle for 2 minutes, so this interval bounds the number
// of replaced connections that are still open.
constexpr std::chrono::seconds replace_interval{10};
// Bounds the memory for addresses that are no longer called.
constexpr std::size_t max_connection_sets = 1000;

// Name for setPeerVerifyName(): Qt does not share connections between requests
// with different names, and without TLS it has no other use for the name.
QString connection_set_name(std::uint64_t number)
{
    return number == 0 ? QString() : QString::number(number);
}

time_point steady_now()
{
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace

struct outstanding_call
{
    response_deadline deadline;
    qint64 received = 0;
    bool timed_out = false;
    bool too_large = false;
};

http_caller::http_caller(http_limits limits) : limits_(limits)
{
    manager_.setProxy(QNetworkProxy::NoProxy);
    manager_.setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
}

http_caller::~http_caller() = default;

bool http_caller::admit()
{
    if (outstanding_ < limits_.max_outstanding)
    {
        return true;
    }
    ++refused_;
    return false;
}

QNetworkRequest http_caller::request_for(const QUrl& url) const
{
    QNetworkRequest request(url);
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    request.setAttribute(QNetworkRequest::CookieLoadControlAttribute,
                         QNetworkRequest::Manual);
    request.setAttribute(QNetworkRequest::CookieSaveControlAttribute,
                         QNetworkRequest::Manual);
    const auto found_set = connection_sets_.find(url.authority());
    if (found_set != connection_sets_.end())
    {
        request.setPeerVerifyName(
            connection_set_name(found_set->second.number));
    }
    request.setRawHeader("User-Agent", "hemlockdeal");
    request.setRawHeader("Accept-Encoding", "identity");
    return request;
}

// Makes later calls to the same address use new connections, unless the
// connections were replaced after the call began or less than replace_interval
// ago.
void http_caller::replace_connections(const QNetworkRequest& timed_out_request)
{
    const auto now = std::chrono::steady_clock::now();
    if (connection_sets_.size() > max_connection_sets)
    {
        connection_sets_.clear();
    }
    const auto [entry, added] = connection_sets_.try_emplace(
        timed_out_request.url().authority(), connection_set{});
    auto& set = entry->second;
    if (timed_out_request.peerVerifyName() != connection_set_name(set.number) ||
        (!added && now < set.replaced_at + replace_interval))
    {
        return;
    }
    ++set.number;
    set.replaced_at = now;
}

bool http_caller::get(const QUrl& url, callback done)
{
    if (!admit())
    {
        return false;
    }
    count_sent(url, -1);
    watch(manager_.get(request_for(url)), std::move(done));
    return true;
}

bool http_caller::post(const QUrl& url, QByteArray body, callback done)
{
    if (!admit())
    {
        return false;
    }
    const auto size = body.size();
    auto request = request_for(url);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setHeader(QNetworkRequest::ContentLengthHeader, size);
    // Otherwise Qt buffers the body and may send it again.
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    count_sent(url, size);
    auto device = std::make_unique<one_shot_body>(std::move(body));
    auto* reply = manager_.post(request, device.get());
    device.release()->setParent(reply);
    watch(reply, std::move(done));
    return true;
}

void http_caller::post_action(std::function<void()> action)
{
    QTimer::singleShot(0, &context_, std::move(action));
}

void http_caller::count_sent(const QUrl& url, qint64 body_size)
{
    const auto target = url.path(QUrl::FullyEncoded).size() +
                        url.query(QUrl::FullyEncoded).size() +
                        url.authority().size();
    const auto fixed =
        body_size < 0 ? get_header_bytes : post_header_bytes + body_size;
    bytes_.sent += static_cast<std::uint64_t>(target + fixed);
}

void http_caller::watch(QNetworkReply* reply, callback done)
{
    ++outstanding_;
    const auto state = std::make_shared<outstanding_call>(outstanding_call{
        response_deadline(steady_now(), limits_.timeout, limits_.progress)});
    expire_when_due(reply, state);
    QObject::connect(reply, &QNetworkReply::downloadProgress, &context_,
                     [this, reply, state](qint64 received, qint64 /*total*/) {
                         const auto added =
                             received -
                             std::exchange(state->received, received);
                         state->deadline.on_received(
                             static_cast<std::size_t>(added), steady_now());
                         if (received > limits_.max_response_bytes)
                         {
                             state->too_large = true;
                             reply->abort();
                         }
                     });
    QObject::connect(
        reply, &QNetworkReply::finished, &context_,
        [this, reply, state, done = std::move(done)] {
            --outstanding_;
            reply->deleteLater();
            done(finish(*reply, state->timed_out, state->too_large));
        });
}

// Aborts the call when its response is overdue. Qt's own transfer timeout would
// restart with each byte received.
void http_caller::expire_when_due(
    QNetworkReply* reply, const std::shared_ptr<outstanding_call>& state)
{
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        state->deadline.expires_at() - steady_now());
    QTimer::singleShot(std::max(remaining, std::chrono::milliseconds(0)), reply,
                       [this, reply, state] {
                           if (!state->deadline.has_expired(steady_now()))
                           {
                               expire_when_due(reply, state);
                               return;
                           }
                           state->timed_out = true;
                           replace_connections(reply->request());
                           reply->abort();
                       });
}

call_response http_caller::finish(QNetworkReply& reply, bool timed_out,
                                  bool too_large)
{
    call_response response;
    response.timed_out = timed_out;
    if (reply.isOpen()) // Qt closes aborted replies
    {
        response.body = reply.readAll();
    }
    bytes_.received += static_cast<std::uint64_t>(response_header_bytes(reply) +
                                                  response.body.size());
    if (timed_out || too_large || !is_complete(reply.error()))
    {
        response.failure = timed_out   ? "call timed out"
                           : too_large ? "response exceeds the size limit"
                                       : reply.errorString().toStdString();
        return response;
    }
    response.status =
        reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (response.status == 0)
    {
        response.failure = "response has no HTTP status";
    }
    return response;
}

} // namespace hemlockdeal
