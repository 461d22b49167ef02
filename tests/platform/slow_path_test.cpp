// Guards against calls to the platform whose response is given up for its size
// on a slow path.
#include <chrono>
#include <optional>

#include <QTcpServer>
#include <QTcpSocket>
#include <QUrl>
#include <gtest/gtest.h>

#include "event_loop.hpp"
#include "platform/http_caller.hpp"
#include "support/slow_link.hpp"

using namespace hemlockdeal;
using test::application;
using test::run_until;

namespace
{

constexpr qsizetype body_bytes = 400'000;

// Responds to each request with a body of 400 KB.
class large_response_server
{
public:
    large_response_server()
    {
        listener_.listen(QHostAddress::LocalHost);
        QObject::connect(&listener_, &QTcpServer::newConnection, &listener_,
                         [this] { serve(listener_.nextPendingConnection()); });
    }
    std::uint16_t port() const { return listener_.serverPort(); }

private:
    static void serve(QTcpSocket* socket)
    {
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
            socket->readAll();
            socket->write("HTTP/1.1 200 OK\r\nContent-Length: " +
                          QByteArray::number(body_bytes) + "\r\n\r\n" +
                          QByteArray(body_bytes, 'x'));
        });
    }

    QTcpServer listener_;
};

} // namespace

// Failure: the list of members, or a page of the table, never arrives over a
// path that needs longer for it than the time limit of a call.
TEST(slow_path_test, large_response_arrives_over_a_slow_path)
{
    constexpr double bytes_per_second = 160'000;
    application();
    large_response_server server;
    test::slow_link link(server.port());
    link.set_rate(bytes_per_second);
    http_caller caller;
    std::optional<call_response> response;
    ASSERT_TRUE(
        caller.get(QUrl(QString("http://127.0.0.1:%1/").arg(link.port())),
                   [&](call_response r) { response = std::move(r); }));
    ASSERT_TRUE(run_until([&] { return response.has_value(); },
                          std::chrono::seconds(8)));
    EXPECT_EQ(response->failure, "");
    EXPECT_EQ(response->body.size(), body_bytes);
}

// Failure: a connection that goes silent in the middle of a response keeps its
// call for good.
TEST(slow_path_test, stalled_response_is_given_up)
{
    application();
    large_response_server server;
    test::slow_link link(server.port());
    constexpr double stops_within_the_body = 50'000;
    link.set_rate(stops_within_the_body);
    http_caller caller;
    std::optional<call_response> response;
    ASSERT_TRUE(
        caller.get(QUrl(QString("http://127.0.0.1:%1/").arg(link.port())),
                   [&](call_response r) { response = std::move(r); }));
    EXPECT_FALSE(run_until([&] { return response.has_value(); },
                           std::chrono::milliseconds(500)));
    link.silence_open_connections();
    ASSERT_TRUE(run_until([&] { return response.has_value(); },
                          std::chrono::seconds(8)));
    EXPECT_TRUE(response->timed_out);
}
