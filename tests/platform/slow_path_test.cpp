// Guards against calls to the platform whose response is given up for its size
// on a slow path.
#include <chrono>
#include <optional>
#include <string>

#include <QElapsedTimer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QUrl>
#include <gtest/gtest.h>

#include "fixture.hpp"
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

// Clients that wait 0.3 s for a response to begin, and a stand-in whose
// responses take longer.
class slow_platform_test : public test::platform_fixture
{
protected:
    void list_workers(int count)
    {
        boost::json::array entries;
        for (int i = 0; i < count; ++i)
        {
            entries.push_back({{"id", "worker-" + std::to_string(i)},
                               {"kind", "worker"},
                               {"zone", "zone-a"},
                               {"region", "region-1"},
                               {"rack", "rack-1"},
                               {"state", "live"},
                               {"processors_milli", 16000},
                               {"memory_mb", 64000}});
        }
        standin.start_with_membership({{"vms", std::move(entries)}});
    }

    void slow_down(const char* target, double bytes_per_second, bool shared)
    {
        standin.set_fault({{"target", target},
                           {"mode", "slow_path"},
                           {"bytes_per_second", bytes_per_second},
                           {"shared", shared}});
    }

    // The list as it is received by two clients at the same time.
    std::chrono::milliseconds time_of_two_fetches()
    {
        membership_client other("http://" + standin.address(),
                                test::short_limits());
        int complete = 0;
        const auto on_list = [&](const result<received_membership>& list) {
            complete += is_ok(list) ? 1 : 0;
        };
        QElapsedTimer passed;
        passed.start();
        membership.fetch(on_list);
        other.fetch(on_list);
        EXPECT_TRUE(run_until([&] { return complete == 2; }));
        return std::chrono::milliseconds(passed.elapsed());
    }
};

} // namespace

// Failure: the list of members of the size to design for never arrives over a
// path on which it takes longer than a call may.
TEST_F(slow_platform_test, list_of_1900_workers_arrives)
{
    constexpr int count = 1900;
    list_workers(count);
    slow_down("membership", 400'000, false);
    const auto list = fetch();
    ASSERT_TRUE(is_ok(list)) << error_of(list).message;
    EXPECT_EQ(value_of(list).members.size(), count);
    EXPECT_TRUE(value_of(list).malformed.empty());
}

// Failure: a page of the table never arrives over such a path.
TEST_F(slow_platform_test, page_of_the_table_arrives)
{
    constexpr int rows = 100;
    for (int i = 0; i < rows; ++i)
    {
        const auto key = "row-" + std::to_string(i);
        ASSERT_TRUE(std::holds_alternative<commit_done>(
            commit(test::create(key, std::string(3000, 'x'), key))));
    }
    slow_down("table", 400'000, false);
    const auto page = read_rows("row-", "", 500);
    ASSERT_TRUE(is_ok(page)) << error_of(page).message;
    EXPECT_EQ(value_of(page).rows.size(), rows);
}

// Failure: pages of the table hold all connections while they are transferred,
// so that a commit, which may renew a lease, is not sent.
TEST_F(slow_platform_test, commit_does_not_wait_for_pages_in_transfer)
{
    constexpr int pages = 8;
    ASSERT_TRUE(std::holds_alternative<commit_done>(
        commit(test::create("row-0", std::string(300'000, 'x'), "first"))));
    slow_down("table", 300'000, false);
    int complete = 0;
    for (int i = 0; i < pages; ++i)
    {
        table.read_rows("row-", "", 500, [&](const result<table_page>& page) {
            complete += is_ok(page) ? 1 : 0;
        });
    }
    EXPECT_TRUE(std::holds_alternative<commit_done>(
        commit(test::create("lease", "value", "second"))));
    EXPECT_EQ(complete, 0);
}

// Verifies that the stand-in's shared path halves the rate of two responses.
TEST_F(slow_platform_test, shared_path_is_divided)
{
    list_workers(1000);
    slow_down("membership", 400'000, false);
    const auto alone = time_of_two_fetches();
    slow_down("membership", 400'000, true);
    const auto together = time_of_two_fetches();
    EXPECT_GT(together, alone * 3 / 2);
}

// Failure: a stand-in that is told to limit the rate to nothing ends the test
// program, or never responds.
TEST_F(slow_platform_test, rate_must_be_positive)
{
    for (const double rate : {0.0, -1.0})
    {
        EXPECT_ANY_THROW(slow_down("table", rate, false));
    }
}

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
