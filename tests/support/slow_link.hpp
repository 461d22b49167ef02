// Forwards TCP connections to a server and limits the rate at which the
// server's bytes come back, for each connection.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

namespace hemlockdeal::test
{

class slow_link
{
public:
    explicit slow_link(std::uint16_t server_port) : server_port_(server_port)
    {
        listener_.listen(QHostAddress::LocalHost);
        QObject::connect(&listener_, &QTcpServer::newConnection, &listener_,
                         [this] { accept(); });
        QObject::connect(&timer_, &QTimer::timeout, &timer_,
                         [this] { forward(); });
        timer_.setTimerType(Qt::PreciseTimer);
        timer_.start(interval_ms);
    }

    std::uint16_t port() const { return listener_.serverPort(); }

    // In bytes a second; 0 lets nothing come back.
    void set_rate(double rate) { rate_ = rate; }

    // The open connections never deliver anything again, new ones work.
    void silence_open_connections()
    {
        for (auto& c : connections_)
        {
            c->is_silent = true;
        }
    }

    // The open connections deliver a byte a second, new ones work.
    void trickle_on_open_connections()
    {
        for (auto& c : connections_)
        {
            c->rate = 1.0;
        }
    }

private:
    static constexpr int interval_ms = 10;

    struct connection
    {
        std::unique_ptr<QTcpSocket> client;
        QTcpSocket server;
        bool is_silent = false;
        // Used instead of the link's rate.
        std::optional<double> rate;
        double allowance = 0;
    };

    void accept()
    {
        auto c = std::make_unique<connection>();
        c->client.reset(listener_.nextPendingConnection());
        c->client->setParent(nullptr);
        c->server.connectToHost(QHostAddress::LocalHost, server_port_);
        connections_.push_back(std::move(c));
    }

    void forward()
    {
        for (auto& c : connections_)
        {
            if (c->client->state() != QAbstractSocket::ConnectedState)
            {
                c->server.abort();
                continue;
            }
            if (c->server.state() == QAbstractSocket::ConnectedState)
            {
                c->server.write(c->client->readAll());
            }
            return_bytes(*c);
        }
    }

    void return_bytes(connection& c) const
    {
        if (c.is_silent)
        {
            return;
        }
        const double step = c.rate.value_or(rate_) * interval_ms / 1000.0;
        c.allowance = std::min(c.allowance + step, std::max(step, 1.0));
        const auto count = std::min<qint64>(c.server.bytesAvailable(),
                                            static_cast<qint64>(c.allowance));
        c.allowance -= static_cast<double>(count);
        c.client->write(c.server.read(count));
    }

    std::uint16_t server_port_;
    QTcpServer listener_;
    QTimer timer_;
    std::vector<std::unique_ptr<connection>> connections_;
    double rate_ = 1e9;
};

} // namespace hemlockdeal::test
