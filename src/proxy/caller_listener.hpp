// Accepts callers' connections up to the limit and owns them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.hpp"
#include "http/tcp_listener.hpp"
#include "proxy/caller_connection.hpp"
#include "proxy/proxy_limits.hpp"

namespace hemlockdeal
{

class caller_listener
{
public:
    // `handlers.connection_ended` is called before the listener releases the
    // connection.
    caller_listener(const proxy_limits& limits, caller_handlers handlers);

    caller_listener(const caller_listener&) = delete;
    caller_listener& operator=(const caller_listener&) = delete;

    // Port 0 selects a free port. Returns false when the address is in use.
    bool listen(const std::string& ip, std::uint16_t port);
    std::uint16_t port() const { return server_.serverPort(); }
    // Stops accepting connections; existing ones stay open.
    void close() { server_.stop(); }

    // Returns null if the connection has ended.
    caller_connection* find(std::uint64_t id);
    std::size_t size() const { return connections_.size(); }
    // Number of connections that were rejected, or closed while idle, because
    // the limit was reached.
    std::uint64_t refused() const { return refused_; }
    // Number of times that accepting failed, for example for want of
    // descriptors.
    std::uint64_t failed_accepts() const { return server_.failed_accepts(); }

    // Number of connections that were refused or closed because the limit of
    // buffered bytes was reached.
    std::uint64_t refused_for_memory() const { return refused_for_memory_; }
    std::size_t buffered() const { return buffered_; }
    // Bytes buffered for endpoints, which count towards the same limit.
    void set_endpoint_bytes(std::size_t bytes) { endpoint_bytes_ = bytes; }

    void check_time(time_point now);
    // Closes connections without a request and without activity since
    // `idle_since`.
    void close_idle(time_point idle_since);

private:
    class listening_socket final : public tcp_listener
    {
    public:
        explicit listening_socket(caller_listener& owner) : owner_(owner) {}

    protected:
        void incomingConnection(qintptr descriptor) override
        {
            owner_.accept(descriptor);
        }

    private:
        caller_listener& owner_;
    };

    void accept(qintptr descriptor);
    // Closes the connection that has had no request for longest, so that a new
    // one can be accepted; returns whether there is room for it.
    bool close_longest_idle();
    void remove_connection(caller_connection& connection);
    void count(caller_connection& connection);
    bool has_room() const;
    // Frees memory if the limit of buffered bytes is exceeded: refuses
    // incomplete requests, the longest-lasting first, and then closes the
    // connections that have not read their response for longest. Connections
    // that send little and stay are thus closed before others.
    void make_room(const caller_connection* exempt);
    template <typename Victim, typename Key, typename Close>
    void close_oldest(Victim is_victim, Key key, Close close);

    using connection_map =
        std::unordered_map<std::uint64_t, std::unique_ptr<caller_connection>>;

    const proxy_limits& limits_;
    caller_handlers owner_handlers_;
    caller_handlers handlers_;
    listening_socket server_;
    connection_map connections_;
    // Ended connections, which may still be on the call stack; deleted at the
    // next time check.
    std::vector<std::unique_ptr<caller_connection>> ended_;
    std::uint64_t next_id_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t refused_for_memory_ = 0;
    // Sum of counted_bytes() of all connections.
    std::size_t buffered_ = 0;
    std::size_t endpoint_bytes_ = 0;
};

} // namespace hemlockdeal
