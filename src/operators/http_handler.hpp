// HTTP request handler of the operators' API. Lives in the server's thread.
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

    // These three must be called in the thread of this object.
    result<socket_address> listen();
    void close();
    void finish(std::uint64_t request_id, const operator_reply& reply);

private:
    // Posts replies from any thread to the handler's thread, as long as the
    // handler exists.
    class reply_channel;

    struct pending_request
    {
        QHttpServerResponder responder;
        QPointer<QTcpSocket> socket;
    };

    void handle_request(const QHttpServerRequest& request,
                        QHttpServerResponder& responder);
    void reject_unauthorized(const QHttpServerRequest& request,
                             QHttpServerResponder& responder);
    void send_metrics(QHttpServerResponder& responder);
    void send_timeline(const QHttpServerRequest& request,
                       QHttpServerResponder& responder);
    void dispatch(operator_request request, QHttpServerResponder& responder);
    bool is_authorized(const QHttpServerRequest& request) const;

    operator_server_options options_;
    operator_callbacks callbacks_;
    std::unique_ptr<QHttpServer> server_;
    std::shared_ptr<reply_channel> channel_;
    // Requests that were dispatched and have no reply yet, by request id.
    std::map<std::uint64_t, pending_request> pending_;
    std::uint64_t next_request_id_ = 1;
    // Number of refusals since the last log line about them.
    QElapsedTimer last_refusal_log_;
    std::uint64_t refusals_since_log_ = 0;
};

} // namespace hemlockdeal
