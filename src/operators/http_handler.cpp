// HTTP request handling of the operators' API.
#include "operators/http_handler.hpp"

#include <exception>
#include <utility>

#include <QHostAddress>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>

#include "observe/logging.hpp"
#include "operators/limited_listener.hpp"

namespace hemlockdeal
{

namespace
{

constexpr const char* json_type = "application/json";
constexpr const char* prometheus_type = "text/plain; version=0.0.4";
// Limit for the request line and headers, in addition to the body limit.
constexpr std::int64_t max_header_bytes = 16'384;
// Rate limit, so that clients without a valid token cannot flood the log.
constexpr qint64 refusal_log_interval_ms = 1000;

// Constant-time comparison: the run time depends only on the length of
// `presented`, so it leaks nothing about the token.
bool equal_in_constant_time(std::string_view presented, std::string_view token)
{
    if (token.empty())
    {
        return false;
    }
    std::size_t difference = presented.size() ^ token.size();
    for (std::size_t i = 0; i < presented.size(); ++i)
    {
        const auto mask = static_cast<unsigned char>(
            static_cast<unsigned char>(presented[i]) ^
            static_cast<unsigned char>(token[i % token.size()]));
        difference |= mask;
    }
    return difference == 0;
}

std::string_view as_string_view(const QByteArray& bytes)
{
    return {bytes.constData(), static_cast<std::size_t>(bytes.size())};
}

void write(QHttpServerResponder& responder, int status, const std::string& body,
           const char* type = json_type)
{
    responder.write(QByteArray::fromStdString(body), QByteArray(type),
                    static_cast<QHttpServerResponder::StatusCode>(status));
}

void write(QHttpServerResponder& responder, const operator_http_reply& reply)
{
    write(responder, reply.status, reply.body);
}

std::string_view method_name(QHttpServerRequest::Method method)
{
    switch (method)
    {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Post:
        return "POST";
    default:
        return "other";
    }
}

} // namespace

class http_handler::reply_channel
{
public:
    explicit reply_channel(http_handler& handler) : handler_(&handler) {}

    void post(std::uint64_t request_id, operator_reply reply)
    {
        const std::scoped_lock lock(mutex_);
        if (handler_ == nullptr)
        {
            return;
        }
        // Qt discards the queued call if the handler is destroyed first.
        QMetaObject::invokeMethod(
            handler_,
            [handler = handler_, request_id, queued_reply = std::move(reply)] {
                handler->finish(request_id, queued_reply);
            },
            Qt::QueuedConnection);
    }

    void close()
    {
        const std::scoped_lock lock(mutex_);
        handler_ = nullptr;
    }

private:
    std::mutex mutex_;
    http_handler* handler_;
};

http_handler::http_handler(operator_server_options options,
                           operator_callbacks callbacks)
    : options_(std::move(options)), callbacks_(std::move(callbacks)),
      channel_(std::make_shared<reply_channel>(*this))
{}

http_handler::~http_handler()
{
    channel_->close();
}

result<socket_address> http_handler::listen()
{
    auto listener = std::make_unique<limited_listener>(connection_limits{
        options_.max_connections, options_.max_body_bytes + max_header_bytes,
        options_.idle_timeout, options_.max_total_bytes});
    const QHostAddress host(QString::fromStdString(options_.listen.host));
    if (host.isNull() || !listener->start(host, options_.listen.port))
    {
        return error{error_code::unavailable,
                     "cannot listen on " + to_text(options_.listen) + ": " +
                         listener->errorString().toStdString()};
    }
    const socket_address bound{options_.listen.host, listener->serverPort()};
    server_ = std::make_unique<QHttpServer>();
    // A single entry point for all requests, so that no path but /healthz can
    // be served without the token check.
    server_->setMissingHandler([this](const QHttpServerRequest& request,
                                      QHttpServerResponder&& responder) {
        QHttpServerResponder owned_responder(std::move(responder));
        try
        {
            handle_request(request, owned_responder);
        }
        catch (const std::exception& failure)
        {
            log(log_level::error, "operator API request failed",
                {{"reason", failure.what()}});
            write(owned_responder,
                  to_http(request_refusal{
                      500, {error_code::outcome_unknown, failure.what()}, {}}));
        }
    });
    server_->bind(listener.release());
    return bound;
}

void http_handler::close()
{
    channel_->close();
    pending_.clear();
    server_.reset();
}

bool http_handler::is_authorized(const QHttpServerRequest& request) const
{
    const QByteArray header = request.value("authorization");
    std::string_view presented = as_string_view(header);
    constexpr std::string_view scheme = "Bearer ";
    if (!presented.starts_with(scheme))
    {
        return false;
    }
    presented.remove_prefix(scheme.size());
    return equal_in_constant_time(presented, options_.token.value());
}

void http_handler::handle_request(const QHttpServerRequest& request,
                                  QHttpServerResponder& responder)
{
    const std::string path = request.url().path().toStdString();
    const std::string_view method = method_name(request.method());
    if (path == "/healthz" && method == "GET")
    {
        write(responder, 200, R"({"status":"ok"})");
        return;
    }
    if (!is_authorized(request))
    {
        reject_unauthorized(request, responder);
        return;
    }
    if (path == "/metrics" && method == "GET")
    {
        send_metrics(responder);
        return;
    }
    if (path == "/v1/timeline" && method == "GET")
    {
        send_timeline(request, responder);
        return;
    }
    const QByteArray body = request.body();
    if (body.size() > options_.max_body_bytes)
    {
        write(responder,
              to_http(request_refusal{413,
                                      {error_code::invalid_input,
                                       "request body exceeds the size limit"},
                                      {}}));
        return;
    }
    const std::string limit = request.query()
                                  .queryItemValue("limit", QUrl::FullyDecoded)
                                  .toStdString();
    auto read = read_request(method, path, limit, as_string_view(body));
    if (const auto* const refusal = std::get_if<request_refusal>(&read))
    {
        write(responder, to_http(*refusal));
        return;
    }
    dispatch(std::get<operator_request>(std::move(read)), responder);
}

void http_handler::reject_unauthorized(const QHttpServerRequest& request,
                                       QHttpServerResponder& responder)
{
    ++refusals_since_log_;
    if (!last_refusal_log_.isValid() ||
        last_refusal_log_.hasExpired(refusal_log_interval_ms))
    {
        log(log_level::warning,
            "operator API request without a valid token refused",
            {{"remote", request.remoteAddress().toString().toStdString()},
             {"path", request.url().path().left(200).toStdString()},
             {"count", std::to_string(refusals_since_log_)}});
        last_refusal_log_.start();
        refusals_since_log_ = 0;
    }
    const auto reply = to_http(request_refusal{
        401,
        {error_code::permission_denied, "missing or invalid bearer token"},
        {}});
    responder.write(
        QByteArray::fromStdString(reply.body),
        {{"Content-Type", json_type}, {"WWW-Authenticate", "Bearer"}},
        QHttpServerResponder::StatusCode::Unauthorized);
}

void http_handler::send_metrics(QHttpServerResponder& responder)
{
    write(responder, 200, callbacks_.metrics ? callbacks_.metrics() : "",
          prometheus_type);
}

void http_handler::send_timeline(const QHttpServerRequest& request,
                                 QHttpServerResponder& responder)
{
    const QUrlQuery query = request.query();
    const auto item = [&](const char* key) {
        return query.queryItemValue(key, QUrl::FullyDecoded).toStdString();
    };
    const timeline_filter filter{item("job"), item("request"), item("vm"),
                                 item("zone")};
    write(responder, 200,
          callbacks_.timeline ? callbacks_.timeline(filter)
                              : to_json_text(timeline_part{}));
}

void http_handler::dispatch(operator_request request,
                            QHttpServerResponder& responder)
{
    const std::uint64_t request_id = next_request_id_++;
    const QPointer<QTcpSocket> socket(responder.socket());
    pending_.emplace(request_id, pending_request{std::move(responder), socket});
    QTimer::singleShot(options_.reply_timeout, this, [this, request_id] {
        finish(request_id,
               error{error_code::outcome_unknown,
                     "no reply within the time limit; the outcome is "
                     "unknown, retry with the same id"});
    });
    try
    {
        callbacks_.handle(std::move(request), [channel = channel_, request_id](
                                                  operator_reply reply) {
            channel->post(request_id, std::move(reply));
        });
    }
    catch (const std::exception& failure)
    {
        log(log_level::error, "operator API request failed",
            {{"reason", failure.what()}});
        finish(request_id, error{error_code::outcome_unknown, failure.what()});
    }
}

void http_handler::finish(std::uint64_t request_id, const operator_reply& reply)
{
    auto node = pending_.extract(request_id);
    if (node.empty())
    {
        return;
    }
    pending_request& request = node.mapped();
    // QHttpServer frees the request when its connection closes; using the
    // responder after that is undefined behaviour.
    if (!request.socket ||
        request.socket->state() != QAbstractSocket::ConnectedState)
    {
        return;
    }
    write(request.responder, to_http(reply));
}

} // namespace hemlockdeal
