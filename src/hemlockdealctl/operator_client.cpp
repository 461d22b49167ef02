// Synchronous HTTP requests on top of QNetworkAccessManager.
#include "hemlockdealctl/operator_client.hpp"

#include <memory>
#include <thread>
#include <utility>

#include <QEventLoop>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>

namespace hemlockdeal
{

namespace
{

using namespace std::chrono_literals;

constexpr int max_attempts = 3;
constexpr auto retry_delay = 500ms;

bool is_outcome_unknown(const client_response& response)
{
    const auto* const e = std::get_if<error>(&response.reply);
    return e != nullptr && (e->code == error_code::outcome_unknown ||
                            e->code == error_code::timeout);
}

// True for errors that apply to the responding daemon only, so another daemon
// may still have carried out the same request. All other errors are valid for
// every daemon.
bool is_daemon_specific(const operator_reply& reply)
{
    const auto* const e = std::get_if<error>(&reply);
    return e != nullptr && (e->code == error_code::unavailable ||
                            e->code == error_code::overloaded ||
                            e->code == error_code::permission_denied);
}

// If the connection was refused or the host not found, the request was not
// sent. After any other error the daemon may have received it.
bool may_have_been_sent(QNetworkReply::NetworkError failure)
{
    return failure != QNetworkReply::ConnectionRefusedError &&
           failure != QNetworkReply::HostNotFoundError;
}

} // namespace

operator_client::operator_client(std::vector<socket_address> daemons,
                                 bearer_token token,
                                 std::chrono::milliseconds timeout)
    : daemons_(std::move(daemons)), token_(std::move(token)), timeout_(timeout)
{
    network_.setProxy(QNetworkProxy(QNetworkProxy::NoProxy));
}

operator_client::exchange
operator_client::send(const socket_address& daemon,
                      const operator_http_request& request)
{
    QNetworkRequest http(QUrl(
        QString::fromStdString("http://" + to_text(daemon) + request.target)));
    http.setRawHeader("Authorization",
                      QByteArray::fromStdString("Bearer " + token_.value()));
    http.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    http.setTransferTimeout(static_cast<int>(timeout_.count()));
    const std::unique_ptr<QNetworkReply> reply(
        request.method == "GET"
            ? network_.get(http)
            : network_.post(http, QByteArray::fromStdString(request.body)));
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop,
                     &QEventLoop::quit);
    if (!reply->isFinished())
    {
        loop.exec();
    }
    exchange result;
    result.status =
        reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    result.body = reply->readAll().toStdString();
    result.failure =
        to_text(daemon) + ": " + reply->errorString().toStdString();
    result.was_sent = result.status != 0 || may_have_been_sent(reply->error());
    // The response is incomplete and must not be parsed.
    if (reply->error() == QNetworkReply::RemoteHostClosedError ||
        reply->error() == QNetworkReply::OperationCanceledError ||
        reply->error() == QNetworkReply::TimeoutError)
    {
        result.status = 0;
    }
    return result;
}

client_response operator_client::send_request(const operator_request& request)
{
    const operator_http_request http = to_http(request);
    std::string failures;
    const bool changes = http.method == "POST";
    bool was_sent = false;
    for (const socket_address& daemon : daemons_)
    {
        exchange result = send(daemon, http);
        if (result.status != 0)
        {
            operator_reply_result response =
                read_reply(request, result.status, result.body);
            if (changes && was_sent && is_daemon_specific(response.reply))
            {
                response.reply =
                    error{error_code::outcome_unknown,
                          std::get<error>(response.reply).message +
                              "; another daemon may have received the request" +
                              failures};
            }
            return {true, std::move(response.reply), std::move(response.found),
                    std::move(result.body)};
        }
        failures += "; " + result.failure;
        was_sent = was_sent || result.was_sent;
    }
    const bool unknown = was_sent && changes;
    return {
        false,
        error{unknown ? error_code::outcome_unknown : error_code::unavailable,
              "no daemon was reached" + failures},
        {},
        {}};
}

client_response
operator_client::send_with_retries(const operator_request& request)
{
    client_response response = send_request(request);
    // Daemons recognize the id, so a reply to a retry covers all earlier
    // attempts, unless it applies to the responding daemon only.
    for (int i = 1; i < max_attempts && is_outcome_unknown(response); ++i)
    {
        std::this_thread::sleep_for(retry_delay);
        client_response retried = send_request(request);
        if (!is_daemon_specific(retried.reply))
        {
            response = std::move(retried);
        }
    }
    return response;
}

result<std::string> operator_client::fetch(const socket_address& daemon,
                                           const std::string& target)
{
    exchange result = send(daemon, {"GET", target, ""});
    if (result.status == 0)
    {
        return error{error_code::unavailable, result.failure};
    }
    if (result.status != 200)
    {
        return error{error_code::permission_denied,
                     to_text(daemon) + ": status " +
                         std::to_string(result.status)};
    }
    return std::move(result.body);
}

} // namespace hemlockdeal
