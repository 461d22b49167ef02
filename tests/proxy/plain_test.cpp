// Guards the path of one request through the proxy with a trivial core.
#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpSocket>
#include <gtest/gtest.h>

#include "proxy/plain_core.hpp"
#include "proxy/proxy.hpp"
#include "standin/endpoint_standin.hpp"

using namespace hemlockdeal;

// Failure: a request or its response does not get through.
TEST(plain_core, one_request_gets_its_response)
{
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    endpoint_standin endpoint;
    ASSERT_TRUE(endpoint.listen("127.0.0.1", 0));
    proxy_outputs outputs;
    proxy_server<plain_core> proxy({}, outputs);
    ASSERT_TRUE(proxy.listen("127.0.0.1", 0));
    membership_list list;
    member m;
    m.id = "i1";
    m.kind = member_kind::endpoint;
    m.address = endpoint.address();
    list.members.push_back(m);
    proxy.on_membership(list);

    QTcpSocket caller;
    caller.connectToHost("127.0.0.1", proxy.port());
    caller.write("POST /a HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n"
                 "Content-Length: 5\r\n\r\nhello");
    QElapsedTimer timer;
    timer.start();
    while (!caller.peek(1000).contains("hello\nr1") && timer.elapsed() < 3000)
    {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    EXPECT_TRUE(caller.readAll().contains("X-Echo: r1"));
    EXPECT_EQ(endpoint.runs_of_request("r1"), 1U);
}
