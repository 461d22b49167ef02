// Implements the stand-in endpoint with QTcpServer and Boost.Beast's parser.
#include "standin/endpoint_standin.hpp"

#include <algorithm>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <boost/beast/http.hpp>

namespace hemlockdeal
{

namespace
{

namespace http = boost::beast::http;

using request_type = http::request<http::string_body>;
using parser_type = http::request_parser<http::string_body>;

constexpr std::uint64_t max_body_bytes = std::uint64_t{64} * 1024 * 1024;

std::string header_of(const request_type& request, const char* name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

struct connection
{
    QTcpSocket* socket = nullptr;
    std::optional<parser_type> parser;
    std::string input;
    // A request of this connection is queued or in progress; pipelined ones
    // stay in `input`.
    bool busy = false;
    // Input is discarded and nothing is sent.
    bool silent = false;
};

struct queued_request
{
    std::uint64_t connection = 0;
    request_type request;
    endpoint_fault_setting fault;
};

struct response
{
    unsigned status = 200;
    std::string headers;
    std::string body;
    bool close = false;
};

std::string body_for(const request_type& request, std::size_t padded_size)
{
    const std::string id = header_of(request, "X-Request-Id");
    std::string body = id + "\n" + request.body();
    if (body.size() + id.size() + 1 < padded_size)
    {
        body.append(padded_size - body.size() - id.size() - 1, '.');
    }
    return body + "\n" + id;
}

std::string head_of(const response& r)
{
    std::string head = "HTTP/1.1 " + std::to_string(r.status) + " Standin\r\n";
    head += "Content-Length: " + std::to_string(r.body.size()) + "\r\n";
    head += r.headers;
    head += r.close ? "Connection: close\r\n\r\n" : "\r\n";
    return head;
}

} // namespace

class endpoint_standin::implementation
{
public:
    explicit implementation(endpoint_options options)
        : options_(options), random_(options.seed)
    {
        QObject::connect(&server_, &QTcpServer::newConnection, &server_,
                         [this] { accept_connections(); });
    }

    ~implementation() { close_all(); }

    bool listen(const std::string& ip, std::uint16_t port)
    {
        ip_ = ip;
        if (!server_.listen(QHostAddress(QString::fromStdString(ip)), port))
        {
            return false;
        }
        port_ = server_.serverPort();
        return true;
    }

    void set_faults(std::vector<endpoint_fault_setting> faults)
    {
        faults_ = std::move(faults);
        const bool down = has_fault(endpoint_fault::down);
        if (down)
        {
            server_.close();
            close_all();
        }
        else if (!server_.isListening() && port_ != 0)
        {
            listen(ip_, port_);
        }
        const bool silent = has_fault(endpoint_fault::silent);
        std::ranges::for_each(connections_, [silent](auto& entry) {
            entry.second.silent = silent || entry.second.silent;
        });
    }

    endpoint_options options_;
    std::string ip_;
    std::uint16_t port_ = 0;
    std::unordered_map<std::string, std::uint32_t> runs_by_key_;
    std::unordered_map<std::string, std::uint32_t> runs_by_request_;
    std::uint64_t total_runs_ = 0;
    std::uint64_t accepted_ = 0;
    std::uint32_t most_running_ = 0;
    std::unordered_map<std::uint64_t, connection> connections_;

private:
    bool has_fault(endpoint_fault mode) const
    {
        return std::ranges::any_of(
            faults_, [mode](const auto& f) { return f.mode == mode; });
    }

    void accept_connections()
    {
        while (QTcpSocket* socket = server_.nextPendingConnection())
        {
            const std::uint64_t id = ++accepted_;
            socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
            connection& c = connections_[id];
            c.socket = socket;
            c.parser.emplace();
            c.parser->body_limit(max_body_bytes);
            QObject::connect(socket, &QTcpSocket::readyRead, socket,
                             [this, id] { read(id); });
            QObject::connect(socket, &QTcpSocket::disconnected, socket,
                             [this, id] { remove_connection(id); });
        }
    }

    void remove_connection(std::uint64_t id)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end())
        {
            return;
        }
        found->second.socket->deleteLater();
        connections_.erase(found);
    }

    void close_all()
    {
        auto closing = std::exchange(connections_, {});
        std::ranges::for_each(closing, [](auto& entry) {
            entry.second.socket->disconnect();
            entry.second.socket->abort();
            entry.second.socket->deleteLater();
        });
    }

    void read(std::uint64_t id)
    {
        const auto found = connections_.find(id);
        if (found == connections_.end())
        {
            return;
        }
        connection& c = found->second;
        const QByteArray data = c.socket->readAll();
        if (c.silent)
        {
            return;
        }
        c.input.append(data.constData(), static_cast<std::size_t>(data.size()));
        parse(id, c);
    }

    // Parses the next request unless one of this connection is in progress.
    void parse(std::uint64_t id, connection& c)
    {
        if (c.busy || c.input.empty())
        {
            return;
        }
        boost::beast::error_code error;
        c.parser->eager(true);
        const std::size_t consumed =
            c.parser->put(boost::asio::buffer(std::as_const(c.input)), error);
        c.input.erase(0, consumed);
        if (error && error != http::error::need_more)
        {
            c.socket->abort();
            return;
        }
        if (!c.parser->is_done())
        {
            return;
        }
        c.busy = true;
        request_type request = c.parser->release();
        c.parser.emplace();
        c.parser->body_limit(max_body_bytes);
        handle(id, std::move(request));
    }

    void handle(std::uint64_t id, request_type request)
    {
        if (request.target() == "/healthz")
        {
            const bool leaving = has_fault(endpoint_fault::leaving);
            const bool head = request.method() == http::verb::head;
            send(id, {leaving ? 503U : 200U, {}, {}, false}, head);
            return;
        }
        const endpoint_fault_setting fault = draw_fault();
        if (fault.mode == endpoint_fault::not_run)
        {
            response r;
            r.status = 503;
            r.headers = "Hemlockdeal-Outcome: not-run\r\n";
            r.body = "not run";
            send(id, r, false);
            return;
        }
        queue_.push_back({id, std::move(request), fault});
        start_queued();
    }

    endpoint_fault_setting draw_fault()
    {
        std::uniform_real_distribution<double> unit(0.0, 1.0);
        const auto drawn = std::ranges::find_if(faults_, [&](const auto& f) {
            return f.probability >= 1.0 || unit(random_) < f.probability;
        });
        return drawn == faults_.end() ? endpoint_fault_setting{} : *drawn;
    }

    void start_queued()
    {
        while (running_ < options_.slots && !queue_.empty())
        {
            queued_request next = std::move(queue_.front());
            queue_.pop_front();
            // A request whose connection closed while it was queued is not run.
            if (connections_.contains(next.connection))
            {
                run(std::move(next));
            }
        }
    }

    void run(queued_request next)
    {
        ++running_;
        most_running_ = std::max(most_running_, running_);
        count_run(next.request);
        std::chrono::microseconds time = options_.service_time;
        if (next.fault.mode == endpoint_fault::slow)
        {
            time += next.fault.delay;
        }
        run_after(time, [this, next = std::move(next)] {
            --running_;
            finish(next);
            start_queued();
        });
    }

    void count_run(const request_type& request)
    {
        ++total_runs_;
        if (!options_.counts_runs)
        {
            return;
        }
        ++runs_by_request_[header_of(request, "X-Request-Id")];
        const std::string key = header_of(request, "Idempotency-Key");
        if (!key.empty())
        {
            ++runs_by_key_[key];
        }
    }

    template <typename Function>
    void run_after(std::chrono::microseconds time, Function&& function)
    {
        if (time.count() == 0)
        {
            function();
            return;
        }
        const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(time);
        QTimer::singleShot(rounded, Qt::PreciseTimer, &server_,
                           std::forward<Function>(function));
    }

    void finish(const queued_request& done)
    {
        response r;
        r.headers =
            "X-Echo: " + header_of(done.request, "X-Request-Id") + "\r\n";
        r.body = body_for(done.request, options_.response_bytes);
        const bool head = done.request.method() == http::verb::head;
        switch (done.fault.mode)
        {
        case endpoint_fault::cut:
            close(done.connection);
            return;
        case endpoint_fault::truncate:
            send_half(done.connection, r);
            return;
        case endpoint_fault::late:
            run_after(done.fault.delay, [this, r, head, id = done.connection] {
                send(id, r, head);
            });
            return;
        case endpoint_fault::fail_all:
            r.status = 500;
            break;
        case endpoint_fault::leaving:
            r.headers += "Hemlockdeal-Leaving: 1\r\n";
            r.close = true;
            break;
        default:
            break;
        }
        send(done.connection, r, head);
        if (done.fault.mode == endpoint_fault::extra_bytes)
        {
            write(done.connection, "HTTP/1.1 200 OK\r\nX-Echo: other\r\n"
                                   "Content-Length: 5\r\n\r\nother");
        }
    }

    void write(std::uint64_t id, const std::string& bytes)
    {
        const auto found = connections_.find(id);
        if (found != connections_.end() && !found->second.silent)
        {
            found->second.socket->write(bytes.data(),
                                        static_cast<qint64>(bytes.size()));
        }
    }

    void send_half(std::uint64_t id, const response& r)
    {
        write(id, head_of(r) + r.body.substr(0, r.body.size() / 2));
        close(id);
    }

    void send(std::uint64_t id, const response& r, bool head_only)
    {
        write(id, head_only ? head_of(r) : head_of(r) + r.body);
        if (r.close)
        {
            close(id);
            return;
        }
        const auto found = connections_.find(id);
        if (found != connections_.end() && !found->second.silent)
        {
            found->second.busy = false;
            parse(id, found->second);
        }
    }

    // Closes the connection after the pending output is sent.
    void close(std::uint64_t id)
    {
        const auto found = connections_.find(id);
        if (found != connections_.end())
        {
            found->second.socket->disconnectFromHost();
        }
    }

    QTcpServer server_;
    std::mt19937_64 random_;
    std::vector<endpoint_fault_setting> faults_;
    std::deque<queued_request> queue_;
    std::uint32_t running_ = 0;
};

endpoint_standin::endpoint_standin(endpoint_options options)
    : implementation_(std::make_unique<implementation>(options))
{}

endpoint_standin::~endpoint_standin() = default;

bool endpoint_standin::listen(const std::string& ip, std::uint16_t port)
{
    return implementation_->listen(ip, port);
}

std::uint16_t endpoint_standin::port() const
{
    return implementation_->port_;
}

std::string endpoint_standin::address() const
{
    return implementation_->ip_ + ":" + std::to_string(port());
}

void endpoint_standin::set_faults(std::vector<endpoint_fault_setting> faults)
{
    implementation_->set_faults(std::move(faults));
}

std::uint32_t endpoint_standin::runs_of_key(const std::string& key) const
{
    const auto found = implementation_->runs_by_key_.find(key);
    return found == implementation_->runs_by_key_.end() ? 0 : found->second;
}

std::uint32_t
endpoint_standin::runs_of_request(const std::string& request_id) const
{
    const auto found = implementation_->runs_by_request_.find(request_id);
    return found == implementation_->runs_by_request_.end() ? 0 : found->second;
}

std::uint64_t endpoint_standin::total_runs() const
{
    return implementation_->total_runs_;
}

std::uint64_t endpoint_standin::connections_accepted() const
{
    return implementation_->accepted_;
}

std::size_t endpoint_standin::open_connections() const
{
    return implementation_->connections_.size();
}

std::uint32_t endpoint_standin::most_running() const
{
    return implementation_->most_running_;
}

} // namespace hemlockdeal
