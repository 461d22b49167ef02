// Answers the HTTP requests of operators; lives in the server's thread.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <QElapsedTimer>
#include <QHttpServer>
#include <QHttpServerResponder>
#include <QObject>
#include <QPointer>
#include <QTcpSocket>

#include "operators/operator_json.hpp"
#include "operators/operator_server.hpp"

namespace hemlockdeal
{

class http_handler final : public QObject
{
public:
    http_handler(operator_server_options options, operator_callbacks callbacks);
    ~http_handler() override;

    // These three run in the thread of this object.
    result<socket_address> listen();
    void close();
    void finish(std::uint64_t number, const operator_reply& reply);

private:
    // Hands replies from any thread over to the handler, while there is one.
    class reply_channel;

    struct pending_request
    {
        QHttpServerResponder responder;
        QPointer<QTcpSocket> socket;
    };

    void answer(const QHttpServerRequest& request,
                QHttpServerResponder& responder);
    void refuse_unauthorized(const QHttpServerRequest& request,
                             QHttpServerResponder& responder);
    void answer_metrics(QHttpServerResponder& responder);
    void answer_timeline(const QHttpServerRequest& request,
                         QHttpServerResponder& responder);
    void hand_over(operator_request request, QHttpServerResponder& responder);
    bool is_authorized(const QHttpServerRequest& request) const;

    operator_server_options options_;
    operator_callbacks callbacks_;
    std::unique_ptr<QHttpServer> server_;
    std::shared_ptr<reply_channel> channel_;
    // Requests that were handed over and have no reply yet.
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t next_number_ = 1;
    // Refusals are counted between log lines.
    QElapsedTimer last_refusal_log_;
    std::uint64_t refused_since_log_ = 0;
};

} // namespace hemlockdeal
