// Tests of the proxy with requests and responses whose framing never ends.
#include <QHostAddress>
#include <QTcpServer>

#include "proxy/test_bed.hpp"

using namespace hemlockdeal;

namespace
{

constexpr std::size_t piece_bytes = 65'536;
// The header limit, and what the proxy reads at once.
constexpr std::size_t sent_bound = 1'048'576;

std::string repeated(const std::string& text)
{
    std::string bytes;
    while (bytes.size() < piece_bytes)
    {
        bytes += text;
    }
    return bytes;
}

// Sends the text until the other side closes the connection or responds, at
// most sent_bound bytes; returns the number of bytes sent.
template <typename Ended>
std::size_t send_endlessly(QTcpSocket& socket, const std::string& text,
                           Ended&& ended)
{
    const auto piece = repeated(text);
    std::size_t sent = 0;
    while (!ended() && sent < sent_bound)
    {
        socket.write(piece.data(), static_cast<qint64>(piece.size()));
        sent += piece.size();
        run_until([&] { return ended() || socket.bytesToWrite() == 0; });
        run_for(2);
    }
    return sent;
}

void expect_request_refused(const std::string& head, const std::string& text)
{
    test_bed bed({});
    test_caller caller(bed.port());
    caller.send(head);
    const auto sent = send_endlessly(caller.socket(), text, [&] {
        return caller.responses() > 0 || caller.closed();
    });
    EXPECT_LT(sent, sent_bound);
    ASSERT_EQ(caller.responses(), 1U);
    const auto response = caller.next_response();
    EXPECT_EQ(response->result_int(), 431U);
    EXPECT_EQ(outcome_of(response), "not-run");
    EXPECT_EQ(bed.endpoint().total_runs(), 0U);
    EXPECT_TRUE(run_until([&] { return caller.closed(); }));
    test_caller other(bed.port());
    EXPECT_TRUE(is_response_to(other.round_trip("GET", "/read", "r2"), "r2"));
}

const std::string chunked_request =
    "POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

// Endpoint that responds to each request with the same bytes without end.
class endless_endpoint
{
public:
    endless_endpoint() { EXPECT_TRUE(server_.listen(QHostAddress::LocalHost)); }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server_.serverPort());
    }

    // Waits for a request and sends its response; returns the bytes sent.
    std::size_t respond(const std::string& head, const std::string& text)
    {
        run_until([&] { return server_.hasPendingConnections(); });
        auto* const socket = server_.nextPendingConnection();
        EXPECT_NE(socket, nullptr);
        if (socket == nullptr)
        {
            return 0;
        }
        run_until([&] { return socket->bytesAvailable() > 0; });
        socket->write(head.data(), static_cast<qint64>(head.size()));
        return send_endlessly(*socket, text, [&] {
            return socket->state() != QAbstractSocket::ConnectedState;
        });
    }

private:
    QTcpServer server_;
};

void expect_response_broken(const std::string& head, const std::string& text)
{
    endless_endpoint endpoint;
    test_bed::options options;
    options.endpoints = 0;
    options.other_endpoints = {endpoint.address()};
    test_bed bed(options);
    test_caller caller(bed.port());
    caller.send_request("POST", "/write", "r1");
    EXPECT_LT(endpoint.respond(head, text), sent_bound);
    EXPECT_TRUE(
        run_until([&] { return caller.closed() || caller.responses() > 0; }));
    // If the head was forwarded already, the connection is closed instead.
    if (caller.responses() > 0)
    {
        EXPECT_EQ(outcome_of(caller.next_response()), "unknown");
    }
    EXPECT_EQ(bed.proxy().requests_in_progress(), 0U);
}

const std::string chunked_response =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";

} // namespace

// Failure of these tests: a caller fills the memory of the daemon.
TEST(endless_request, trailer_fields_get_431)
{
    expect_request_refused(chunked_request + "2\r\nok\r\n0\r\n", "X-A: b\r\n");
}

TEST(endless_request, trailer_line_gets_431)
{
    expect_request_refused(chunked_request + "2\r\nok\r\n0\r\nX-A: ", "b");
}

TEST(endless_request, chunk_extension_gets_431)
{
    expect_request_refused(chunked_request + "2;a=", "b");
}

TEST(endless_request, chunk_size_gets_431)
{
    expect_request_refused(chunked_request, "0");
}

// Failure: framing without end behind a body that is forwarded already is not
// bounded, or the request is said not to have run.
TEST(endless_request, trailers_behind_a_forwarded_body_give_outcome_unknown)
{
    test_bed bed({});
    test_caller caller(bed.port());
    caller.send(chunked_request + "80000\r\n" + std::string(0x80000, 'x') +
                "\r\n0\r\n");
    EXPECT_TRUE(
        run_until([&] { return bed.endpoint().connections_accepted() > 0; }));
    const auto sent = send_endlessly(caller.socket(), "X-A: b\r\n",
                                     [&] { return caller.responses() > 0; });
    EXPECT_LT(sent, sent_bound);
    const auto response = caller.next_response();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 431U);
    EXPECT_EQ(outcome_of(response), "unknown");
    EXPECT_EQ(bed.runs_of("r1"), 0U);
}

// Failure of these tests: an endpoint fills the memory of the daemon.
TEST(endless_response, trailer_fields_break_the_response)
{
    expect_response_broken(chunked_response + "0\r\n", "X-A: b\r\n");
}

TEST(endless_response, chunk_extension_breaks_the_response)
{
    expect_response_broken(chunked_response + "2;a=", "b");
}

TEST(endless_response, chunk_size_breaks_the_response)
{
    expect_response_broken(chunked_response, "0");
}
