// Guards against a leader that runs out of file descriptors and can then reach
// neither the store nor its workers, and against calls without an outcome.
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QTimer>
#include <gtest/gtest.h>

#include "http/http.hpp"
#include "observe/logging.hpp"
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
std::unique_ptr<http_server> serve_clock(socket_address& address,
                                         int delay_ms = 0)
{
    constexpr std::uint16_t last_port = 45000;
    while (true)
    {
        try
        {
            return std::make_unique<http_server>(
                address, http_server_limits{},
                [delay_ms](const http_request&,
                           const http_responder& responder) {
                    QTimer::singleShot(delay_ms, [responder] {
                        responder(
                            {200,
                             {},
                             R"({"clock_ms":1,"running":[],"ended":[]})"});
                    });
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

// Failure: a call to a worker with an invalid address never ends, or each call
// writes a line to the log.
TEST(worker_calls, calls_to_an_invalid_address_fail_and_are_logged_once)
{
    set_up_buffered_logging(log_level::debug);
    testing::internal::CaptureStdout();
    worker_calls calls(std::nullopt);
    jobs::worker_entry worker;
    worker.id = worker_id("w");
    worker.address = "10.0.0.1:0";
    std::size_t failures = 0;
    const auto on_done = [&](bool done) { failures += done ? 0 : 1; };
    for (int i = 0; i < 5; ++i)
    {
        calls.stop(worker, {worker.id, {}, 1}, 1, on_done);
        calls.pace(worker, {worker.id, {}, 1, 50}, 1, on_done);
        calls.poll(worker, {worker.id, std::nullopt, 0, {}}, 1,
                   [&](const node::poll_response& response) {
                       on_done(response.report.has_value());
                   });
        calls.start(worker, {}, 1, [&](const jobs::start_response& response) {
            on_done(response.answer == jobs::start_answer::accepted);
        });
    }
    flush_log();
    const auto output = testing::internal::GetCapturedStdout();
    EXPECT_EQ(failures, 20U);
    const std::string line = "worker address is invalid";
    EXPECT_NE(output.find(line), std::string::npos);
    EXPECT_EQ(output.find(line), output.rfind(line));
}

// Failure: no report of a worker arrives while the path to it is slow for some
// seconds, and its tasks are started again elsewhere.
TEST(worker_calls, reports_arrive_over_a_path_slower_than_the_first_margin)
{
    int argc = 0;
    QCoreApplication application(argc, nullptr);
    constexpr int path_delay_ms = 700;
    socket_address address{"127.0.0.1", 43000};
    const auto server = serve_clock(address, path_delay_ms);
    jobs::worker_entry worker;
    worker.id = worker_id("w");
    worker.address = to_text(address);
    worker_calls calls(std::nullopt);
    std::size_t ended = 0;
    std::size_t reports = 0;
    for (std::size_t sent = 1; sent <= 3; ++sent)
    {
        calls.poll(worker, {worker.id, std::nullopt, 0, {}}, 1,
                   [&](const node::poll_response& response) {
                       ++ended;
                       reports += response.report ? 1 : 0;
                   });
        process_until([&] {
            calls.expire(boot_now());
            return ended == sent;
        });
    }
    EXPECT_EQ(reports, 2U);
}
