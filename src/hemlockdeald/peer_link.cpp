// Starts, stops and uses the transport between daemons.
#include "peer_link.hpp"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "observe/observe.hpp"

namespace hemlockdeal
{

peer_link::peer_link(const daemon_settings& settings,
                     std::function<void(peer_message&&)> received)
    : received_(std::move(received))
{
    settings_.listen = to_text(settings.peers.listen);
    settings_.public_key = settings.peers.public_key.value();
    settings_.secret_key = settings.peers.secret_key.value();
    std::ranges::transform(
        settings.peers.known, std::back_inserter(settings_.known),
        [](const known_peer& peer) {
            return peer_address{peer.id, to_text(peer.address),
                                peer.public_key.value()};
        });
}

result<std::monostate> peer_link::start()
{
    peer_handlers handlers;
    handlers.received = [this](peer_message message) {
        received_(std::move(message));
    };
    handlers.connection = [](const vm_id& peer, bool connected) {
        log(log_level::info, connected ? "peer connected" : "peer lost",
            {{"peer", peer.value()}});
    };
    handlers.refused = [](const std::string& reason) {
        log(log_level::warning, "peer message refused", {{"reason", reason}});
    };
    try
    {
        auto transport =
            std::make_unique<peer_transport>(settings_, std::move(handlers));
        const std::lock_guard lock(mutex_);
        transport_ = std::move(transport);
    }
    catch (const std::runtime_error& failure)
    {
        return error{error_code::unavailable, failure.what()};
    }
    return std::monostate{};
}

void peer_link::stop()
{
    const std::lock_guard lock(mutex_);
    transport_.reset();
}

void peer_link::send(const std::optional<vm_id>& to, peer_message message)
{
    const std::lock_guard lock(mutex_);
    if (!transport_)
    {
        return;
    }
    if (to)
    {
        transport_->send(*to, std::move(message));
        return;
    }
    transport_->send_to_all(std::move(message));
}

std::uint64_t peer_link::refused() const
{
    const std::lock_guard lock(mutex_);
    return transport_ ? transport_->refused() : 0;
}

peer_traffic peer_link::traffic() const
{
    const std::lock_guard lock(mutex_);
    peer_traffic sum;
    if (transport_)
    {
        std::ranges::for_each(transport_->bytes(), [&](const auto& peer) {
            sum.bytes_sent += peer.second.bytes_sent;
            sum.bytes_received += peer.second.bytes_received;
            sum.dropped += peer.second.dropped;
        });
    }
    return sum;
}

} // namespace hemlockdeal
