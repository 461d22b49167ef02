// HTTP calls with a bound on their time, number and size.
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

// Request line and headers that Qt sends besides path, host and body: method,
// version, Host, Connection, Accept-Encoding, Accept-Language, User-Agent,
// and Content-Type and Content-Length of a POST.
constexpr qint64 get_header_bytes = 138;
constexpr qint64 post_header_bytes = 190;

qint64 answer_header_bytes(const QNetworkReply& reply)
{
    // Each header has a separator of two bytes and a line end of two bytes;
    // the status line has about 17 bytes and the end of the headers two.
    qint64 bytes = 19;
    std::ranges::for_each(reply.rawHeaderPairs(), [&](const auto& header) {
        bytes += header.first.size() + header.second.size() + 4;
    });
    return bytes;
}

// Qt reports an answer with a status of 400 and above as an error too, in the
// ranges of content and server errors. The others mean a broken answer.
bool is_complete(QNetworkReply::NetworkError fault)
{
    if (fault == QNetworkReply::ContentReSendError)
    {
        return false;
    }
    return fault == QNetworkReply::NoError ||
           fault == QNetworkReply::ProtocolInvalidOperationError ||
           (fault > QNetworkReply::UnknownProxyError &&
            fault < QNetworkReply::ProtocolUnknownError) ||
           fault >= QNetworkReply::InternalServerError;
}

// A service that is only slow makes calls time out on healthy connections too.
// Qt closes these after 2 minutes without use, so this interval bounds their
// number.
constexpr std::chrono::seconds replace_interval{10};
// Hosts that come and go must not fill the memory.
constexpr std::size_t replaced_hosts_limit = 1000;

// Qt keeps connections apart by this name, and uses it only here without TLS.
QString name_of_set(std::uint64_t number)
{
    return number == 0 ? QString() : QString::number(number);
}

// What is known about a call while it is outstanding.
struct call_state
{
    bool timed_out = false;
    bool too_large = false;
};

} // namespace

http_caller::http_caller(http_limits limits) : limits_(limits)
{
    manager_.setProxy(QNetworkProxy::NoProxy);
    manager_.setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
}

http_caller::~http_caller() = default;

bool http_caller::admit()
{
    if (outstanding_ < limits_.outstanding)
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
    const auto replaced = replaced_.find(url.authority());
    if (replaced != replaced_.end())
    {
        request.setPeerVerifyName(name_of_set(replaced->second.number));
    }
    request.setRawHeader("User-Agent", "hemlockdeal");
    request.setRawHeader("Accept-Encoding", "identity");
    return request;
}

// Makes later calls to the host use new connections, unless that has been done
// since the call began.
void http_caller::replace_connections(const QNetworkRequest& timed_out)
{
    const auto now = std::chrono::steady_clock::now();
    if (replaced_.size() > replaced_hosts_limit)
    {
        replaced_.clear();
    }
    const auto [entry, added] =
        replaced_.try_emplace(timed_out.url().authority(), connection_set{});
    auto& set = entry->second;
    if (timed_out.peerVerifyName() != name_of_set(set.number) ||
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
    // Without this Qt copies the body and is able to send it again.
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
    const auto state = std::make_shared<call_state>();
    // Qt's own transfer timeout starts anew with each byte; this one bounds
    // the whole call.
    QTimer::singleShot(limits_.timeout, reply, [this, reply, state] {
        state->timed_out = true;
        replace_connections(reply->request());
        reply->abort();
    });
    QObject::connect(reply, &QNetworkReply::downloadProgress, &context_,
                     [this, reply, state](qint64 received, qint64 /*total*/) {
                         if (received > limits_.answer_bytes)
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

http_answer http_caller::finish(QNetworkReply& reply, bool timed_out,
                                bool too_large)
{
    http_answer answer;
    answer.timed_out = timed_out;
    if (reply.isOpen()) // Qt closes a reply that was aborted
    {
        answer.body = reply.readAll();
    }
    bytes_.received += static_cast<std::uint64_t>(answer_header_bytes(reply) +
                                                  answer.body.size());
    if (timed_out || too_large || !is_complete(reply.error()))
    {
        answer.failure = timed_out   ? "no answer in time"
                         : too_large ? "the answer is too large"
                                     : reply.errorString().toStdString();
        return answer;
    }
    answer.status =
        reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    if (answer.status == 0)
    {
        answer.failure = "the answer has no status";
    }
    return answer;
}

} // namespace hemlockdeal
