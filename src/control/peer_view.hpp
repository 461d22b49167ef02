// What a daemon knows of the configuration that the other daemons hold.
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
    // `timeout`: a peer that was silent for longer counts as not reached.
    // `push_delay`: shortest time between two pushes to a peer.
    peer_view(vm_id self, duration timeout, duration push_delay);

    // Entry VMs that the membership list shows; others are forgotten.
    void
    set_known(const std::vector<std::pair<vm_id, availability_zone_id>>& vms);

    void heard(const vm_id& peer, time_point now);
    void on_heartbeat(const vm_id& peer, const peer_heartbeat& beat,
                      time_point now);

    // True when the peer shows a version below `newest` and got no push
    // lately; the push then counts as done.
    bool take_push(const vm_id& peer, configuration_version newest,
                   time_point now);

    std::vector<peer_status> status(time_point now) const;

    // A line for each peer; those not reached start nothing by a version
    // below `newest` after `starts_nothing_after_unix_ms`.
    std::vector<daemon_confirmation>
    confirmations(configuration_version newest, time_point now,
                  std::int64_t starts_nothing_after_unix_ms) const;

private:
    struct knowledge
    {
        availability_zone_id zone;
        configuration_version version;
        std::optional<time_point> last_heard;
        std::optional<time_point> last_push;
    };

    bool reached(const knowledge& peer, time_point now) const;

    vm_id self_;
    duration timeout_;
    duration push_delay_;
    std::map<vm_id, knowledge> peers_;
};

} // namespace hemlockdeal
