// Caller for tests: sends raw bytes and parses the responses.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http.hpp>

namespace hemlockdeal
{

// Runs the event loop until the condition holds or the time-out expires, and
// returns whether the condition holds.
template <typename Condition>
bool run_until(Condition&& condition, int milliseconds = 5000)
{
    QElapsedTimer timer;
    timer.start();
    // Wakes up the event loop regularly, so that time-dependent conditions are
    // evaluated.
    QTimer wakeup;
    wakeup.start(1);
    while (!condition() && timer.elapsed() < milliseconds)
    {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents);
    }
    return condition();
}

inline void run_for(int milliseconds)
{
    QElapsedTimer timer;
    timer.start();
    run_until([&] { return timer.elapsed() >= milliseconds; }, milliseconds);
}

class test_caller
{
public:
    using response =
        boost::beast::http::response<boost::beast::http::string_body>;

    explicit test_caller(std::uint16_t port)
    {
        QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_,
                         [this] { parse(); });
        QObject::connect(&socket_, &QTcpSocket::disconnected, &socket_,
                         [this] { closed_ = true; });
        QObject::connect(&socket_, &QTcpSocket::errorOccurred, &socket_,
                         [this] { closed_ = true; });
        socket_.connectToHost("127.0.0.1", port);
    }

    void send(const std::string& bytes)
    {
        socket_.write(bytes.data(), static_cast<qint64>(bytes.size()));
    }

    void send_request(const std::string& method, const std::string& path,
                      const std::string& id, const std::string& body = "",
                      const std::string& headers = "")
    {
        send(method + " " + path + " HTTP/1.1\r\nHost: proxy\r\n" +
             "X-Request-Id: " + id + "\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n" + headers + "\r\n" + body);
    }

    // Waits for the next complete response or the end of the connection.
    std::optional<response> next_response(int milliseconds = 10000)
    {
        run_until([this] { return consumed_ < responses_.size() || closed_; },
                  milliseconds);
        return consumed_ < responses_.size()
                   ? std::optional(responses_[consumed_++])
                   : std::nullopt;
    }

    // Sends a request and waits for its response.
    std::optional<response> round_trip(const std::string& method,
                                       const std::string& path,
                                       const std::string& id,
                                       const std::string& body = "",
                                       const std::string& headers = "")
    {
        send_request(method, path, id, body, headers);
        return next_response();
    }

    bool closed() const { return closed_; }
    bool received_anything() const { return received_ > 0; }
    std::size_t responses() const { return responses_.size(); }
    std::size_t unread_responses() const
    {
        return responses_.size() - consumed_;
    }
    void disconnect() { socket_.abort(); }
    QTcpSocket& socket() { return socket_; }

private:
    void parse()
    {
        const QByteArray data = socket_.readAll();
        received_ += data.size();
        input_.append(data.constData(), static_cast<std::size_t>(data.size()));
        while (!input_.empty())
        {
            if (!parser_)
            {
                parser_.emplace();
                parser_->eager(true);
                parser_->body_limit(boost::none);
            }
            boost::beast::error_code error;
            input_.erase(
                0, parser_->put(boost::asio::buffer(std::as_const(input_)),
                                error));
            if (!parser_->is_done())
            {
                return;
            }
            responses_.push_back(parser_->release());
            parser_.reset();
        }
    }

    QTcpSocket socket_;
    std::string input_;
    std::optional<
        boost::beast::http::response_parser<boost::beast::http::string_body>>
        parser_;
    std::vector<response> responses_;
    std::size_t consumed_ = 0;
    qint64 received_ = 0;
    bool closed_ = false;
};

// True if this is the stand-in endpoint's complete response to the request.
inline bool is_response_to(const std::optional<test_caller::response>& response,
                           const std::string& id, const std::string& body = "")
{
    return response && response->result_int() == 200 &&
           (*response)["X-Echo"] == id &&
           response->body() == id + "\n" + body + "\n" + id;
}

inline std::string
outcome_of(const std::optional<test_caller::response>& response)
{
    return response ? std::string((*response)["Hemlockdeal-Outcome"]) : "";
}

} // namespace hemlockdeal
