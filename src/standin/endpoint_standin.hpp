// Stand-in for an endpoint: a small HTTP/1.1 server over real sockets that
// counts what it ran by itself and shows faults on request. Not thread-safe:
// it lives in the thread that created it and needs that thread's event loop.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hemlockdeal
{

enum class endpoint_fault
{
    none,
    // Refuses connections and closes the open ones.
    down,
    // Adds the delay to the service time, the slot stays taken.
    slow,
    // Runs the request in time but delays the response.
    late,
    // Sends half of the response's body and closes the connection.
    truncate,
    // Runs the request and closes the connection without a response.
    cut,
    // Connections that were open when the fault began never get a response;
    // new connections work.
    silent,
    // Responds 500 to every request.
    fail_all,
    // Responds with `Hemlockdeal-Leaving: 1` and closes the connection.
    leaving,
    // Responds 503 with `Hemlockdeal-Outcome: not-run` and runs nothing.
    not_run,
    // Sends bytes after the response that belong to no request.
    extra_bytes
};

struct endpoint_fault_setting
{
    endpoint_fault mode = endpoint_fault::none;
    // Share of the requests that see the fault; `down` and `silent` ignore it.
    double probability = 1.0;
    std::chrono::milliseconds delay{0};
};

struct endpoint_options
{
    // Requests run at a time; others wait in order of arrival.
    std::uint32_t slots = 8;
    std::chrono::microseconds service_time{0};
    // The response's body is padded to this size.
    std::size_t response_bytes = 0;
    // Seed of the generator that selects the requests that see a fault.
    std::uint64_t seed = 1;
    // Off in benchmarks, where the counts would grow without limit.
    bool counts_runs = true;
};

// The response to a request with header `X-Request-Id` repeats the id in
// header `X-Echo` and as first and last line of its body, with the request's
// body between them, so that a caller can check that it is its own and whole.
class endpoint_standin
{
public:
    explicit endpoint_standin(endpoint_options options = {});
    ~endpoint_standin();

    endpoint_standin(const endpoint_standin&) = delete;
    endpoint_standin& operator=(const endpoint_standin&) = delete;

    // Port 0 selects a free port. Returns false when the address is in use.
    bool listen(const std::string& ip, std::uint16_t port);

    std::uint16_t port() const;
    std::string address() const; // ip:port

    // Replaces all faults by the given ones. Each request sees at most one,
    // drawn in the given order.
    void set_faults(std::vector<endpoint_fault_setting> faults);
    void set_fault(endpoint_fault_setting fault) { set_faults({fault}); }

    // Number of times a request with this key or id was run.
    std::uint32_t runs_of_key(const std::string& idempotency_key) const;
    std::uint32_t runs_of_request(const std::string& request_id) const;

    std::uint64_t total_runs() const;
    std::uint64_t connections_accepted() const;
    std::size_t open_connections() const;

    // Highest number of requests that ran at the same time.
    std::uint32_t most_running() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hemlockdeal
