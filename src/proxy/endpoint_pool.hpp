// Connections to endpoints, kept open per instance and reused.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.hpp"
#include "proxy/endpoint_connection.hpp"
#include "proxy/proxy_limits.hpp"

namespace hemlockdeal
{

// Names one wait for a connection; the owner chooses it.
using lease_number = std::uint64_t;

struct pool_handlers
{
    // The connection can take the request of the lease. It belongs to the
    // lease until release() or retire().
    std::function<void(lease_number, endpoint_connection&)> ready;
    std::function<void(lease_number, const std::string&)> failed;
    std::function<void(const instance_id&, bool)> probed;
};

class endpoint_pool
{
public:
    // `exchange` holds what is reported while a request is in progress; the
    // pool sets the other functions.
    endpoint_pool(const proxy_limits& limits, pool_handlers handlers,
                  endpoint_handlers exchange);
    ~endpoint_pool();

    endpoint_pool(const endpoint_pool&) = delete;
    endpoint_pool& operator=(const endpoint_pool&) = delete;

    // Finds or opens a connection, with at most `limit` to the instance. The
    // lease ends in ready() or failed(), possibly before this returns. With
    // `proven`, an idle connection is always probed first.
    void acquire(lease_number lease, const instance_id& instance,
                 const std::string& address, std::uint32_t limit, bool proven);
    // A request on a connection to the instance got no response: the idle
    // connections, which may have gone silent as well, are probed before use.
    void distrust(const instance_id& instance);
    // Gives up the wait of a lease.
    void cancel(lease_number lease);

    // The request of the lease is complete; keeps the connection when it can
    // be used again.
    void release(endpoint_connection& connection);
    // Closes the connection without a report.
    void retire(endpoint_connection& connection);

    // Sends a probe on a new connection.
    void probe(const instance_id& instance, const std::string& address);

    // Closes idle connections to instances that are not in the list.
    void keep_only(const membership_list& list);

    void check_time(time_point now);

    std::size_t connections(const instance_id& instance) const;
    std::size_t size() const { return connections_.size(); }

private:
    enum class purpose
    {
        none,
        lease,
        probe
    };

    struct instance_state
    {
        // The most recently used is last and taken first.
        std::vector<endpoint_connection*> idle;
        std::size_t open = 0;
        // Connections that are idle since before are probed before use.
        time_point distrusted_at;
    };

    struct entry
    {
        std::unique_ptr<endpoint_connection> connection;
        purpose use = purpose::none;
        // Kept while a connection to the instance is open.
        instance_state* instance = nullptr;
        // It was idle before this lease: when it turns out to be dead, that
        // says nothing about the instance, and a new one is opened.
        bool reused = false;
        // The owner was told that it is ready.
        bool handed_over = false;
    };

    void open(const instance_id& instance, const std::string& address,
              purpose use, lease_number lease);
    void lend(lease_number lease, endpoint_connection& connection, bool proven);
    void hand_over(endpoint_connection& connection);
    void on_connected(endpoint_connection& connection);
    void on_lost(endpoint_connection& connection, const std::string& reason);
    void on_probed(endpoint_connection& connection, bool healthy);
    // The use that the connection had.
    entry remove(endpoint_connection& connection);

    const proxy_limits& limits_;
    pool_handlers owner_;
    endpoint_handlers handlers_;
    std::unordered_map<endpoint_connection*, entry> connections_;
    std::unordered_map<instance_id, instance_state> instances_;
    // Closed connections, which may still be on the call stack.
    std::vector<std::unique_ptr<endpoint_connection>> ended_;
};

} // namespace hemlockdeal
