// Tracks the peers' configuration versions.
#include "control/peer_view.hpp"

#include <algorithm>
#include <iterator>

namespace hemlockdeal
{

peer_view::peer_view(vm_id self, duration timeout, duration push_delay)
    : self_(std::move(self)), timeout_(timeout), push_delay_(push_delay)
{}

void peer_view::set_peers(
    const std::vector<std::pair<vm_id, availability_zone_id>>& vms)
{
    is_known_ = true;
    std::erase_if(peers_, [&](const auto& peer) {
        return std::ranges::none_of(
            vms, [&](const auto& vm) { return vm.first == peer.first; });
    });
    std::ranges::for_each(vms, [&](const auto& vm) {
        if (vm.first != self_)
        {
            peers_[vm.first].zone = vm.second;
        }
    });
}

void peer_view::record_contact(const vm_id& peer, time_point now)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end())
    {
        found->second.last_heard = now;
    }
}

void peer_view::on_heartbeat(const vm_id& sender,
                             const peer_heartbeat& heartbeat, time_point now)
{
    auto& peer = peers_[sender];
    peer.zone = heartbeat.zone;
    peer.version = heartbeat.version;
    peer.last_heard = now;
}

bool peer_view::begin_push(const vm_id& id, configuration_version newest,
                           time_point now)
{
    const auto found = peers_.find(id);
    if (found == peers_.end() || found->second.version >= newest)
    {
        return false;
    }
    auto& previous_push = found->second.last_push;
    if (previous_push && now - *previous_push < push_delay_)
    {
        return false;
    }
    previous_push = now;
    return true;
}

bool peer_view::is_reachable(const peer_state& peer, time_point now) const
{
    return peer.last_heard && now - *peer.last_heard <= timeout_;
}

std::vector<peer_status> peer_view::status(time_point now) const
{
    std::vector<peer_status> entries;
    std::ranges::transform(
        peers_, std::back_inserter(entries), [&](const auto& p) {
            const auto& peer = p.second;
            return peer_status{p.first, peer.zone, is_reachable(peer, now),
                               peer.last_heard ? now - *peer.last_heard
                                               : duration::zero(),
                               ""};
        });
    return entries;
}

std::vector<daemon_confirmation>
peer_view::confirmations(configuration_version newest, time_point now,
                         std::int64_t starts_nothing_after_unix_ms) const
{
    std::vector<daemon_confirmation> entries;
    std::ranges::transform(
        peers_, std::back_inserter(entries), [&](const auto& p) {
            const auto& peer = p.second;
            return daemon_confirmation{
                p.first,
                peer.zone,
                is_reachable(peer, now) && peer.version >= newest,
                peer.version,
                peer.last_heard ? now - *peer.last_heard : duration::zero(),
                starts_nothing_after_unix_ms};
        });
    return entries;
}

} // namespace hemlockdeal
