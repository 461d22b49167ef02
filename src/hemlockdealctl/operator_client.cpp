// Sends requests over Qt's network access and waits for the responses.
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

constexpr int max_repetitions = 3;
constexpr auto repetition_delay = 500ms;

bool is_unknown(const client_answer& answer)
{
    const auto* const e = std::get_if<error>(&answer.reply);
    return e != nullptr && (e->code == error_code::outcome_unknown ||
                            e->code == error_code::timeout);
}

// True for replies that say nothing about what another daemon did with the
// same request. The other refusals hold for all daemons.
bool holds_for_one_daemon_only(const operator_reply& reply)
{
    const auto* const e = std::get_if<error>(&reply);
    return e != nullptr && (e->code == error_code::unavailable ||
                            e->code == error_code::overloaded ||
                            e->code == error_code::permission_denied);
}

// A refused connection carries no request; after other failures the daemon
// may have received it.
bool was_sent_despite(QNetworkReply::NetworkError failure)
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
    result.was_sent = result.status != 0 || was_sent_despite(reply->error());
    // The rest of a response that broke off is lost.
    if (reply->error() == QNetworkReply::RemoteHostClosedError ||
        reply->error() == QNetworkReply::OperationCanceledError ||
        reply->error() == QNetworkReply::TimeoutError)
    {
        result.status = 0;
    }
    return result;
}

client_answer operator_client::ask(const operator_request& request)
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
            operator_reply_result answer =
                read_reply(request, result.status, result.body);
            if (changes && was_sent && holds_for_one_daemon_only(answer.reply))
            {
                answer.reply =
                    error{error_code::outcome_unknown,
                          std::get<error>(answer.reply).message +
                              "; another daemon may have received the request" +
                              failures};
            }
            return {true, std::move(answer.reply), std::move(answer.found),
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

client_answer operator_client::ask_until_known(const operator_request& request)
{
    client_answer answer = ask(request);
    // A daemon recognizes the id and answers for all attempts, unless it
    // cannot tell.
    for (int i = 1; i < max_repetitions && is_unknown(answer); ++i)
    {
        std::this_thread::sleep_for(repetition_delay);
        client_answer repeated = ask(request);
        if (!holds_for_one_daemon_only(repeated.reply))
        {
            answer = std::move(repeated);
        }
    }
    return answer;
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
