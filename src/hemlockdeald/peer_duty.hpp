// Messages to and from the other daemons.
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

// The transport has its own thread; `received` is called there.
class peer_duty
{
public:
    peer_duty(const daemon_settings& settings,
              std::function<void(peer_message&&)> received);

    result<std::monostate> start();
    void stop();

    // For the batch thread only. A message that finds no room is lost, which
    // costs only time, and is counted by the transport.
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
