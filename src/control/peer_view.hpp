// Tracks the configuration versions that the other daemons report.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal
{

class peer_view
{
public:
    // `timeout`: a peer that has sent nothing for longer is unreachable.
    // `push_delay`: minimum interval between two pushes to a peer.
    peer_view(vm_id self, duration timeout, duration push_delay);

    // Sets the entry VMs of the membership list; all other peers are removed.
    void
    set_peers(const std::vector<std::pair<vm_id, availability_zone_id>>& vms);

    // False until the membership list has been set once: peers are missing.
    bool is_known() const { return is_known_; }

    void record_contact(const vm_id& peer, time_point now);
    void on_heartbeat(const vm_id& peer, const peer_heartbeat& heartbeat,
                      time_point now);

    // Returns true when the peer's version is below `newest` and nothing was
    // pushed to it within `push_delay`, and records the push.
    bool begin_push(const vm_id& peer, configuration_version newest,
                    time_point now);

    std::vector<peer_status> status(time_point now) const;

    // One entry per peer. Unreachable peers start nothing under a version
    // below `newest` after `starts_nothing_after_unix_ms`.
    std::vector<daemon_confirmation>
    confirmations(configuration_version newest, time_point now,
                  std::int64_t starts_nothing_after_unix_ms) const;

private:
    struct peer_state
    {
        availability_zone_id zone;
        configuration_version version;
        std::optional<time_point> last_heard;
        std::optional<time_point> last_push;
    };

    bool is_reachable(const peer_state& peer, time_point now) const;

    vm_id self_;
    duration timeout_;
    duration push_delay_;
    std::map<vm_id, peer_state> peers_;
    bool is_known_ = false;
};

} // namespace hemlockdeal
