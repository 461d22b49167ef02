// Tests of the operators' HTTP server over real sockets, with a fake daemon as
// the request handler.
#include <atomic>
#include <stdexcept>
#include <thread>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "observe/logging.hpp"
#include "operators/operators.hpp"
#include "operators/test_client.hpp"
#include "support/descriptor_hog.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;
using testing::HasSubstr;

namespace
{

// Replies to status requests, never replies to job queries, throws on history
// requests, and counts the requests it receives.
class fake_daemon
{
public:
    explicit fake_daemon(operator_server_options options = {})
        : server_(with_test_address(std::move(options)),
                  {[this](const operator_request& request,
                          const operator_reply_function& reply) {
                       handle(request, reply);
                   },
                   [](const timeline_filter& filter) {
                       return "timeline of " + filter.job;
                   },
                   [] { return std::string("metric 1\n"); }})
    {
        const auto started = server_.start();
        port = is_ok(started) ? value_of(started).port : 0;
    }

    ~fake_daemon()
    {
        server_.stop();
        for (std::thread& t : threads_)
        {
            t.join();
        }
    }

    fake_daemon(const fake_daemon&) = delete;
    fake_daemon& operator=(const fake_daemon&) = delete;

    std::uint16_t port = 0;
    std::atomic<int> handled = 0;

private:
    static operator_server_options
    with_test_address(operator_server_options options)
    {
        options.listen = {"127.0.0.1", 0};
        options.token = bearer_token("secret");
        return options;
    }

    void handle(const operator_request& request,
                const operator_reply_function& reply)
    {
        ++handled;
        if (std::holds_alternative<history_query>(request))
        {
            throw std::runtime_error("history failed");
        }
        if (std::holds_alternative<status_query>(request))
        {
            daemon_status status;
            status.vm = vm_id("entry-1");
            // The daemon also replies from another thread.
            threads_.emplace_back([reply, status] { reply(status); });
        }
        if (std::holds_alternative<configuration_change>(request))
        {
            reply(change_lost_race{configuration_version(8), "ben"});
            reply(change_accepted{configuration_version(9)});
        }
    }

    std::vector<std::thread> threads_;
    operator_server server_;
};

const std::string change_body =
    R"({"id": "c-1", "based_on": 7, "author": "ana", "zones_out": [], "text":)"
    R"( "[[zone]]\nid = \"a\"\nregion = \"r\"\n[[class]]\nid = \"c\"\n)"
    R"(kind = \"batch\"\ntarget = \"6 h\"\n"})";

} // namespace

TEST(operator_server, replies_may_come_from_another_thread)
{
    const fake_daemon daemon;
    const auto response =
        send_request(daemon.port, "GET", "/v1/status", "secret");
    EXPECT_EQ(response.status, 200);
    EXPECT_THAT(response.body, HasSubstr(R"("vm":"entry-1")"));
}

TEST(operator_server, serves_health_metrics_and_timeline)
{
    const fake_daemon daemon;
    EXPECT_EQ(send_request(daemon.port, "GET", "/healthz", "").status, 200);
    EXPECT_EQ(send_request(daemon.port, "GET", "/metrics", "secret").body,
              "metric 1\n");
    EXPECT_EQ(
        send_request(daemon.port, "GET", "/v1/timeline?job=j%2d1", "secret")
            .body,
        "timeline of j-1");
}

// Failure: a path is served without the token, or a token is written to the
// log.
TEST(operator_server, a_wrong_token_is_refused_and_logged)
{
    const fake_daemon daemon;
    testing::internal::CaptureStderr();
    set_up_logging(log_level::warning);
    for (const std::string token :
         {"", "wrong", "secre", "secret2", "secretsecret"})
    {
        for (const std::string path : {"/v1/status", "/metrics", "/v1/timeline",
                                       "/v1/config/history", "/nothing"})
        {
            EXPECT_EQ(send_request(daemon.port, "GET", path, token).status, 401)
                << token << ' ' << path;
        }
        EXPECT_EQ(
            send_request(daemon.port, "POST", "/v1/config", token, change_body)
                .status,
            401);
    }
    EXPECT_EQ(daemon.handled, 0);
    const auto lines = testing::internal::GetCapturedStderr();
    EXPECT_THAT(lines, HasSubstr("without a valid token refused"));
    EXPECT_THAT(lines, testing::Not(HasSubstr("secretsecret")));
}

TEST(operator_server, only_the_first_reply_counts)
{
    const fake_daemon daemon;
    const auto response =
        send_request(daemon.port, "POST", "/v1/config", "secret", change_body);
    EXPECT_EQ(response.status, 409);
    EXPECT_THAT(response.body, HasSubstr(R"("author":"ben")"));
}

// Failure: a client waits forever, or gets a definite error although the
// outcome is unknown.
TEST(operator_server, a_missing_reply_gives_outcome_unknown_after_the_timeout)
{
    operator_server_options options;
    options.reply_timeout = 100ms;
    const fake_daemon daemon(options);
    const auto response =
        send_request(daemon.port, "GET", "/v1/jobs/job-1", "secret");
    EXPECT_EQ(response.status, 504);
    EXPECT_THAT(response.body, HasSubstr(R"("error":"outcome_unknown")"));
}

// Failure: the server uses a responder again after it was moved to the pending
// requests.
TEST(operator_server, an_exception_in_a_callback_gives_outcome_unknown)
{
    const fake_daemon daemon;
    const auto response =
        send_request(daemon.port, "GET", "/v1/config/history", "secret");
    EXPECT_EQ(response.status, 504);
    EXPECT_THAT(response.body, HasSubstr("history failed"));
    EXPECT_EQ(send_request(daemon.port, "GET", "/healthz", "").status, 200);
}

TEST(operator_server, findings_come_with_status_400)
{
    const fake_daemon daemon;
    const auto response = send_request(daemon.port, "POST", "/v1/jobs",
                                       "secret", R"({"id": "j", "tasks": 0})");
    EXPECT_EQ(response.status, 400);
    EXPECT_THAT(response.body, HasSubstr("'team' is missing"));
    EXPECT_THAT(response.body, HasSubstr("'class' is missing"));
    EXPECT_THAT(response.body, HasSubstr("'tasks' is not an integer"));
    EXPECT_EQ(daemon.handled, 0);
}

// Failure: memory grows with the Content-Length that a client announces, or
// with the bytes it sends.
TEST(operator_server, a_body_above_the_limit_is_refused)
{
    operator_server_options options;
    options.max_body_bytes = 1000;
    const fake_daemon daemon(options);
    EXPECT_EQ(send_request(daemon.port, "POST", "/v1/jobs", "secret",
                           std::string(2000, 'x'))
                  .status,
              413);
    const auto large = exchange_bytes(
        daemon.port,
        "POST /v1/jobs HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n" +
            std::string(60'000, 'x'),
        2000);
    EXPECT_EQ(parse_response(large).status, 413);
    EXPECT_EQ(send_request(daemon.port, "GET", "/healthz", "").status, 200);
}

TEST(operator_server, an_incomplete_request_is_closed_after_the_idle_timeout)
{
    operator_server_options options;
    options.idle_timeout = 100ms;
    options.max_connections = 2;
    const fake_daemon daemon(options);
    EXPECT_EQ(exchange_bytes(daemon.port, "GET /v1/status HTTP/1.1\r\n", 3000),
              "");
    EXPECT_EQ(send_request(daemon.port, "GET", "/healthz", "").status, 200);
}

TEST(operator_server, a_client_may_disconnect_before_the_reply)
{
    operator_server_options options;
    options.reply_timeout = 50ms;
    const fake_daemon daemon(options);
    for (int i = 0; i < 20; ++i)
    {
        exchange_bytes(daemon.port,
                       "GET /v1/jobs/j HTTP/1.1\r\n"
                       "Authorization: Bearer secret\r\n\r\n",
                       i);
    }
    std::this_thread::sleep_for(100ms);
    EXPECT_EQ(send_request(daemon.port, "GET", "/healthz", "").status, 200);
}

// Failure: malformed input ends the process or blocks the server's thread.
TEST(operator_server, random_bytes_do_not_stop_the_server)
{
    const fake_daemon daemon;
    const auto result = rc::check([&] {
        auto bytes = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>())
        {
            const auto head = *rc::gen::element<std::string>(
                "GET /", "POST /v1/config HTTP/1.1\r\n",
                "GET /%zz%2 HTTP/1.1\r\n\r\n",
                "POST /v1/jobs HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                "GET http://[::1 HTTP/1.1\r\n\r\n", "\r\n\r\n");
            bytes.insert(0, head);
        }
        exchange_bytes(daemon.port, bytes, 1);
        RC_ASSERT(send_request(daemon.port, "GET", "/healthz", "").status ==
                  200);
    });
    EXPECT_TRUE(result);
}

// Failure: after accepting failed for want of descriptors, the server never
// accepts again.
TEST(operator_server, accepting_goes_on_after_descriptors_ran_out)
{
    const fake_daemon daemon;
    const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(daemon.port);
    remote.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    {
        const descriptor_hog hog;
        ASSERT_EQ(connect(client, reinterpret_cast<const sockaddr*>(&remote),
                          sizeof remote),
                  0);
        std::this_thread::sleep_for(300ms);
    }
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    ASSERT_GT(send(client, request.data(), request.size(), 0), 0);
    const timeval wait{5, 0};
    setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    char received[16] = {};
    EXPECT_GT(recv(client, received, sizeof received - 1, 0), 0);
    EXPECT_THAT(received, HasSubstr("HTTP/1.1 200"));
    close(client);
    EXPECT_EQ(send_request(daemon.port, "GET", "/healthz", "").status, 200);
}

// Failure: incomplete requests of many clients exhaust the memory, or another
// client's request is not served beside them.
TEST(operator_server, incomplete_requests_of_many_clients_are_bounded)
{
    operator_server_options options;
    options.max_total_bytes = 4'000'000;
    const fake_daemon daemon(options);
    const std::string bytes =
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" +
        std::string(900'000, 'x');
    std::vector<std::unique_ptr<QTcpSocket>> crowd;
    for (int i = 0; i < 12; ++i)
    {
        crowd.push_back(std::make_unique<QTcpSocket>());
        crowd.back()->connectToHost("127.0.0.1", daemon.port);
        ASSERT_TRUE(crowd.back()->waitForConnected(2000));
        crowd.back()->write(bytes.data(), static_cast<qint64>(bytes.size()));
        while (crowd.back()->bytesToWrite() > 0 &&
               crowd.back()->waitForBytesWritten(2000))
        {}
    }
    EXPECT_EQ(send_request(daemon.port, "GET", "/healthz", "").status, 200);
    // Four requests of 0.9 MB fit.
    std::size_t open = 0;
    for (const auto& socket : crowd)
    {
        socket->waitForReadyRead(100);
        open += socket->state() == QAbstractSocket::ConnectedState ? 1U : 0U;
    }
    EXPECT_EQ(open, 4U);
}

TEST(operator_server, an_address_in_use_is_an_error)
{
    const fake_daemon first;
    operator_server second({{"127.0.0.1", first.port}, bearer_token("t")}, {});
    const auto started = second.start();
    ASSERT_FALSE(is_ok(started));
    EXPECT_THAT(error_of(started).message, HasSubstr("cannot listen"));
}
