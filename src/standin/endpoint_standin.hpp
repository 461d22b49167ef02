// Stand-in for an endpoint: a small HTTP/1.1 server over real sockets that
// keeps its own count of executed requests and injects faults. Not
// thread-safe: use it only in the thread that created it, which must run an
// event loop.
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
    // Adds the delay to the service time; the slot stays occupied.
    slow,
    // Executes the request without delay, then delays the response; the slot
    // is free meanwhile.
    late,
    // Announces the whole body, sends half of it and closes the connection.
    truncate,
    // Executes the request and closes the connection without a response.
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
    // Fraction of the requests that are affected; `down` and `silent` ignore
    // it.
    double probability = 1.0;
    std::chrono::milliseconds delay{0};
};

struct endpoint_options
{
    // Maximum number of requests in progress; others queue in FIFO order.
    std::uint32_t slots = 8;
    std::chrono::microseconds service_time{0};
    // Minimum size of the response's body; shorter bodies are padded.
    std::size_t response_bytes = 0;
    // Seed of the random choice of the requests that are affected by a fault.
    std::uint64_t seed = 1;
    // Count runs by key and by request id. Off in benchmarks, where these
    // maps would grow without limit.
    bool counts_runs = true;
};

// The response to a request with header `X-Request-Id` repeats the id in
// header `X-Echo` and as first and last line of its body, with the request's
// body between them, so that a caller can detect a response that is truncated
// or belongs to another request.
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

    // Replaces all faults. At most one of them affects a request; they are
    // tried in the given order.
    void set_faults(std::vector<endpoint_fault_setting> faults);
    void set_fault(endpoint_fault_setting fault) { set_faults({fault}); }

    // Number of times a request with this key or id was executed.
    std::uint32_t runs_of_key(const std::string& idempotency_key) const;
    std::uint32_t runs_of_request(const std::string& request_id) const;

    std::uint64_t total_runs() const;
    std::uint64_t connections_accepted() const;
    std::size_t open_connections() const;

    // Maximum number of requests that were in progress at the same time.
    std::uint32_t most_running() const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace hemlockdeal
