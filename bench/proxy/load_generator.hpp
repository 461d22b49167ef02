// Load generator for the proxy benchmark, on plain Qt sockets: either as fast
// as possible on a number of connections, or at a given rate.
#pragma once

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <QCoreApplication>
#include <QTcpSocket>

namespace hemlockdeal
{

struct load_result
{
    double per_second = 0.0;
    std::uint64_t requests = 0;
    // Number of responses with another status than 200 or for another request.
    std::uint64_t failures = 0;
    // Latencies, sorted.
    std::vector<double> microseconds;

    double percentile(double p) const
    {
        if (microseconds.empty())
        {
            return 0.0;
        }
        const auto index = static_cast<std::size_t>(
            p / 100.0 * static_cast<double>(microseconds.size() - 1));
        return microseconds[index];
    }
};

class load_generator
{
public:
    using clock = std::chrono::steady_clock;

    // Distributes the connections over the ports.
    load_generator(const std::vector<std::uint16_t>& ports,
                   std::size_t connections, std::size_t body_bytes)
        : body_(body_bytes, 'b')
    {
        for (std::size_t i = 0; i < connections; ++i)
        {
            clients_.push_back(std::make_unique<client>());
            client& c = *clients_.back();
            QObject::connect(&c.socket, &QTcpSocket::readyRead, &c.socket,
                             [this, &c] { read(c); });
            c.socket.connectToHost("127.0.0.1", ports[i % ports.size()]);
            c.socket.waitForConnected(1000);
            c.socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
        }
    }

    // Without a rate, each connection sends its next request when it has its
    // response. With a rate, requests are due at regular intervals, and latency
    // is measured from the due time.
    load_result run(std::chrono::milliseconds time, double rate = 0.0)
    {
        result_ = {};
        due_.clear();
        idle_.clear();
        rate_ = rate;
        const auto started = clock::now();
        const auto end = started + time;
        running_ = true;
        std::ranges::for_each(clients_, [&](auto& c) {
            rate > 0.0 ? idle_.push_back(c.get()) : send(*c, clock::now());
        });
        std::uint64_t planned = 0;
        while (clock::now() < end)
        {
            const double elapsed =
                std::chrono::duration<double>(clock::now() - started).count();
            for (; rate > 0.0 && static_cast<double>(planned) < elapsed * rate;
                 ++planned)
            {
                due_.push_back(started +
                               std::chrono::nanoseconds(static_cast<long>(
                                   1e9 * static_cast<double>(planned) / rate)));
            }
            send_due();
            // With a rate the loop polls, so that requests are sent on time.
            QCoreApplication::processEvents(
                rate > 0.0 ? QEventLoop::AllEvents
                           : QEventLoop::WaitForMoreEvents);
        }
        running_ = false;
        finish(std::chrono::duration<double>(clock::now() - started).count());
        return std::move(result_);
    }

private:
    struct client
    {
        QTcpSocket socket;
        std::string input;
        std::string id;
        clock::time_point due;
        bool awaits_response = false;
    };

    void send(client& c, clock::time_point due)
    {
        c.id = std::to_string(10'000'000 + ++last_id_);
        c.due = due;
        c.awaits_response = true;
        const std::string request =
            "PUT /read HTTP/1.1\r\nHost: proxy\r\nX-Request-Id: " + c.id +
            "\r\nContent-Length: " + std::to_string(body_.size()) + "\r\n\r\n" +
            body_;
        c.socket.write(request.data(), static_cast<qint64>(request.size()));
        c.socket.flush();
    }

    void send_due()
    {
        while (!due_.empty() && !idle_.empty())
        {
            client* c = idle_.back();
            idle_.pop_back();
            send(*c, due_.front());
            due_.pop_front();
        }
    }

    void read(client& c)
    {
        const QByteArray data = c.socket.readAll();
        c.input.append(data.constData(), static_cast<std::size_t>(data.size()));
        const std::size_t head_end = c.input.find("\r\n\r\n");
        if (head_end == std::string::npos)
        {
            return;
        }
        const std::string name = "Content-Length: ";
        const std::size_t at = c.input.find(name) + name.size();
        std::size_t length = 0;
        std::from_chars(c.input.data() + at, c.input.data() + head_end, length);
        if (c.input.size() < head_end + 4 + length)
        {
            return;
        }
        const bool matches =
            c.input.starts_with("HTTP/1.1 200") &&
            c.input.compare(head_end + 4, c.id.size(), c.id) == 0;
        result_.failures += matches ? 0 : 1;
        c.input.clear();
        c.awaits_response = false;
        const auto now = clock::now();
        result_.microseconds.push_back(
            std::chrono::duration<double, std::micro>(now - c.due).count());
        if (!running_)
        {
            return;
        }
        if (rate_ > 0.0)
        {
            idle_.push_back(&c);
            return;
        }
        send(c, now);
    }

    // Counts the responses received in time, then waits for the others.
    void finish(double seconds)
    {
        result_.requests = result_.microseconds.size();
        result_.per_second = static_cast<double>(result_.requests) / seconds;
        const auto limit = clock::now() + std::chrono::seconds(5);
        while (std::ranges::any_of(
                   clients_, [](auto& c) { return c->awaits_response; }) &&
               clock::now() < limit)
        {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        }
        std::ranges::sort(result_.microseconds);
    }

    std::string body_;
    std::vector<std::unique_ptr<client>> clients_;
    std::vector<client*> idle_;
    std::deque<clock::time_point> due_;
    load_result result_;
    std::uint64_t last_id_ = 0;
    double rate_ = 0.0;
    bool running_ = false;
};

} // namespace hemlockdeal
