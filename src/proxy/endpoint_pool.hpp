// Pool of persistent connections to endpoints, by instance.
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

// Identifies one request for a connection; chosen by the owner.
using lease_number = std::uint64_t;

struct pool_handlers
{
    // The connection is ready for the request of the lease, and assigned to the
    // lease until release() or retire().
    std::function<void(lease_number, endpoint_connection&)> ready;
    std::function<void(lease_number, const std::string&)> failed;
    std::function<void(const instance_id&, bool)> probed;
};

class endpoint_pool
{
public:
    // `exchange_handlers` handles the events of requests in progress; the pool
    // sets the other handlers.
    endpoint_pool(const proxy_limits& limits, pool_handlers handlers,
                  endpoint_handlers exchange_handlers);
    ~endpoint_pool();

    endpoint_pool(const endpoint_pool&) = delete;
    endpoint_pool& operator=(const endpoint_pool&) = delete;

    // Acquires an idle or new connection, with at most `limit` connections to
    // the instance. The lease ends in ready() or failed(), possibly before this
    // function returns. With `must_probe`, an idle connection is always probed
    // first.
    void acquire(lease_number lease, const instance_id& instance,
                 const std::string& address, std::uint32_t limit,
                 bool must_probe);
    // To be called when a request to the instance got no response: its other
    // idle connections may be unresponsive too and are probed before use.
    void mark_suspect(const instance_id& instance);
    // Cancels a lease whose connection is not ready.
    void cancel(lease_number lease);

    // Ends the lease after a complete request; keeps the connection if it is
    // reusable.
    void release(endpoint_connection& connection);
    // Closes the connection without calling a handler.
    void retire(endpoint_connection& connection);

    // Probes the instance on a new connection.
    void probe(const instance_id& instance, const std::string& address);

    // Closes idle connections to instances that are not in the membership list.
    void close_unlisted(const membership_list& list);

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
        // Idle connections; the most recently used one is last and reused
        // first.
        std::vector<endpoint_connection*> idle;
        std::size_t open = 0;
        // Connections that have been idle since this time or earlier are probed
        // before use.
        time_point suspect_since;
    };

    struct entry
    {
        std::unique_ptr<endpoint_connection> connection;
        purpose use = purpose::none;
        // Valid while a connection to the instance is open.
        instance_state* instance = nullptr;
        // The connection was idle before this lease. If it proves to be dead,
        // that says nothing about the instance, and a new connection is opened.
        bool reused = false;
        // ready() was called for the lease.
        bool ready_reported = false;
    };

    void open(const instance_id& instance, const std::string& address,
              purpose use, lease_number lease);
    void assign_idle_connection(lease_number lease,
                                endpoint_connection& connection,
                                bool must_probe);
    void report_ready(endpoint_connection& connection);
    void on_connected(endpoint_connection& connection);
    void on_lost(endpoint_connection& connection, const std::string& reason);
    void on_probed(endpoint_connection& connection, bool healthy);
    // Returns the removed entry.
    entry remove(endpoint_connection& connection);

    const proxy_limits& limits_;
    pool_handlers owner_handlers_;
    endpoint_handlers handlers_;
    std::unordered_map<endpoint_connection*, entry> connections_;
    std::unordered_map<instance_id, instance_state> instances_;
    // Closed connections, which may still be on the call stack; deleted at the
    // next time check.
    std::vector<std::unique_ptr<endpoint_connection>> ended_;
};

} // namespace hemlockdeal
