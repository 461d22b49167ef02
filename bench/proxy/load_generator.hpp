// Load over raw Qt sockets for the benchmark of the proxy: as fast as it goes
// on a number of connections, or at a given rate.
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
    // Responses that are not 200 or belong to another request.
    std::uint64_t failures = 0;
    // Sorted.
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

    // Connections are spread over the ports.
    load_generator(const std::vector<std::uint16_t>& ports,
                   std::size_t connections, std::size_t body_bytes)
        : body_(body_bytes, 'b')
    {
        for (std::size_t i = 0; i < connections; ++i)
        {
            lanes_.push_back(std::make_unique<lane>());
            lane& l = *lanes_.back();
            QObject::connect(&l.socket, &QTcpSocket::readyRead, &l.socket,
                             [this, &l] { read(l); });
            l.socket.connectToHost("127.0.0.1", ports[i % ports.size()]);
            l.socket.waitForConnected(1000);
            l.socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
        }
    }

    // Each connection sends its next request when it has its response; with a
    // rate, requests are due at even distances and latency counts from then.
    load_result run(std::chrono::milliseconds time, double rate = 0.0)
    {
        result_ = {};
        due_.clear();
        idle_.clear();
        rate_ = rate;
        const auto started = clock::now();
        const auto end = started + time;
        running_ = true;
        std::ranges::for_each(lanes_, [&](auto& l) {
            rate > 0.0 ? idle_.push_back(l.get()) : send(*l, clock::now());
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
            // At a rate the loop spins, so that requests leave in time.
            QCoreApplication::processEvents(
                rate > 0.0 ? QEventLoop::AllEvents
                           : QEventLoop::WaitForMoreEvents);
        }
        running_ = false;
        finish(std::chrono::duration<double>(clock::now() - started).count());
        return std::move(result_);
    }

private:
    struct lane
    {
        QTcpSocket socket;
        std::string input;
        std::string id;
        clock::time_point due;
        bool waits = false;
    };

    void send(lane& l, clock::time_point due)
    {
        l.id = std::to_string(10'000'000 + ++last_id_);
        l.due = due;
        l.waits = true;
        const std::string request =
            "PUT /read HTTP/1.1\r\nHost: proxy\r\nX-Request-Id: " + l.id +
            "\r\nContent-Length: " + std::to_string(body_.size()) + "\r\n\r\n" +
            body_;
        l.socket.write(request.data(), static_cast<qint64>(request.size()));
        l.socket.flush();
    }

    void send_due()
    {
        while (!due_.empty() && !idle_.empty())
        {
            lane* l = idle_.back();
            idle_.pop_back();
            send(*l, due_.front());
            due_.pop_front();
        }
    }

    void read(lane& l)
    {
        const QByteArray data = l.socket.readAll();
        l.input.append(data.constData(), static_cast<std::size_t>(data.size()));
        const std::size_t head_end = l.input.find("\r\n\r\n");
        if (head_end == std::string::npos)
        {
            return;
        }
        const std::string name = "Content-Length: ";
        const std::size_t at = l.input.find(name) + name.size();
        std::size_t length = 0;
        std::from_chars(l.input.data() + at, l.input.data() + head_end, length);
        if (l.input.size() < head_end + 4 + length)
        {
            return;
        }
        const bool own = l.input.starts_with("HTTP/1.1 200") &&
                         l.input.compare(head_end + 4, l.id.size(), l.id) == 0;
        result_.failures += own ? 0 : 1;
        l.input.clear();
        l.waits = false;
        const auto now = clock::now();
        result_.microseconds.push_back(
            std::chrono::duration<double, std::micro>(now - l.due).count());
        if (!running_)
        {
            return;
        }
        if (rate_ > 0.0)
        {
            idle_.push_back(&l);
            return;
        }
        send(l, now);
    }

    // Counts what was answered in time, then waits for the rest.
    void finish(double seconds)
    {
        result_.requests = result_.microseconds.size();
        result_.per_second = static_cast<double>(result_.requests) / seconds;
        const auto limit = clock::now() + std::chrono::seconds(5);
        while (std::ranges::any_of(lanes_, [](auto& l) { return l->waits; }) &&
               clock::now() < limit)
        {
            QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
        }
        std::ranges::sort(result_.microseconds);
    }

    std::string body_;
    std::vector<std::unique_ptr<lane>> lanes_;
    std::vector<lane*> idle_;
    std::deque<clock::time_point> due_;
    load_result result_;
    std::uint64_t last_id_ = 0;
    double rate_ = 0.0;
    bool running_ = false;
};

} // namespace hemlockdeal
