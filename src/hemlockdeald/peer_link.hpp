// Sends messages to the other daemons and receives theirs.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/core.hpp"
#include "peer/peer.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

// The transport has its own thread, in which `received` is called.
class peer_link
{
public:
    peer_link(const daemon_settings& settings,
              std::function<void(peer_message&&)> received);

    result<std::monostate> start();
    void stop();

    // Called in the batch thread only. A message that does not fit into the
    // queue is dropped and counted by the transport; a lost message costs only
    // time.
    void send(const std::optional<vm_id>& to, peer_message message);

    std::uint64_t refused() const;
    peer_traffic traffic() const;

private:
    peer_transport_settings settings_;
    std::function<void(peer_message&&)> received_;
    mutable std::mutex mutex_;
    // Empty before start() and after stop().
    std::unique_ptr<peer_transport> transport_;
};

} // namespace hemlockdeal
