// Guards against a leader that runs out of file descriptors and can then reach
// neither the store nor its workers.
#include <functional>
#include <memory>
#include <stdexcept>
#include <vector>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <gtest/gtest.h>

#include "http/http.hpp"
#include "worker_calls.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;

namespace
{

constexpr std::size_t worker_count = 4;

void process_until(const std::function<bool()>& is_done)
{
    QElapsedTimer passed;
    passed.start();
    while (!is_done() && passed.elapsed() < 5000)
    {
        QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
    }
}

// Listens on the first free port from `address.port` on.
std::unique_ptr<http_server> serve_clock(socket_address& address)
{
    constexpr std::uint16_t last_port = 45000;
    while (true)
    {
        try
        {
            return std::make_unique<http_server>(
                address, http_server_limits{},
                [](const http_request&, const http_responder& responder) {
                    responder({200, {}, R"({"clock_ms":1})"});
                });
        }
        catch (const std::runtime_error&)
        {
            if (++address.port > last_port)
            {
                throw;
            }
        }
    }
}

} // namespace

// Failure: order connections to idle workers stay open until no new connection
// can be opened.
TEST(worker_calls, idle_connections_are_closed_when_descriptors_are_scarce)
{
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    std::vector<std::unique_ptr<http_server>> servers;
    std::vector<jobs::worker_entry> workers;
    socket_address address{"127.0.0.1", 43000};
    for (std::size_t i = 0; i < worker_count; ++i)
    {
        servers.push_back(serve_clock(address));
        jobs::worker_entry entry;
        entry.id = worker_id("w" + std::to_string(i));
        entry.address = to_text(address);
        workers.push_back(entry);
    }
    worker_calls calls(std::nullopt, 2);
    const auto call_all = [&] {
        std::size_t answers = 0;
        for (const auto& worker : workers)
        {
            calls.stop(worker, {worker.id, {}, 1}, 1, [&](bool done) {
                EXPECT_TRUE(done);
                ++answers;
            });
        }
        process_until([&] { return answers == worker_count; });
        EXPECT_EQ(answers, worker_count);
    };
    call_all();
    EXPECT_EQ(calls.connections(), worker_count);
    // Connections in use are kept, even above the limit.
    calls.close_idle(boot_now());
    EXPECT_EQ(calls.connections(), worker_count);
    calls.close_idle(boot_now() + std::chrono::seconds(1));
    EXPECT_EQ(calls.connections(), 0U);
    call_all();
}
