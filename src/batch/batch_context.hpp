// What the parts of one daemon's batch core share: settings, the outgoing
// actions, and what the daemon knows of its lease, the members and its peers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "batch/batch_action.hpp"
#include "batch/batch_options.hpp"
#include "batch/commit_sender.hpp"
#include "batch/drain_limit.hpp"
#include "batch/fleet.hpp"
#include "batch/read_sender.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

// Free capacity of a shard as its owner reported it, minus what this daemon
// has sent there since.
struct known_digest
{
    shard_digest digest;
    time_point received_at;
};

struct batch_context
{
    batch_context(batch_options o, const configuration_state& c)
        : options(std::move(o)), configuration(c), reads(actions),
          drain(options.drain_rows_per_second),
          commits(options, actions, reads, drain)
    {}

    batch_context(const batch_context&) = delete;
    batch_context& operator=(const batch_context&) = delete;

    // False once the lease ran out, also when the daemon was paused.
    bool may_act(time_point now) const
    {
        return valid_until && (!options.safeguards.check_lease_before_acting ||
                               now < *valid_until);
    }

    bool zone_is_out(const availability_zone_id& zone) const
    {
        const hemlockdeal::configuration* current = configuration.current();
        return current != nullptr && is_out(*current, zone);
    }

    const work_class* class_of(const job_submission& job) const
    {
        const hemlockdeal::configuration* current = configuration.current();
        return current == nullptr
                   ? nullptr
                   : find_class(current->content, job.work_class);
    }

    // Whether tasks of the job may run in the zone, by its region.
    bool zone_is_allowed(const job_submission& job,
                         const availability_zone_id& zone) const
    {
        const work_class* kind = class_of(job);
        return workers.region_of(zone) == options.region ||
               (kind != nullptr && kind->cross_region);
    }

    void event(std::string kind, const shard_id& shard, epoch owner_epoch,
               std::string text = {})
    {
        timeline_event e;
        e.kind = std::move(kind);
        e.shard = shard.zone.value() + "/" + std::to_string(shard.number);
        e.zone = shard.zone.value();
        e.epoch = owner_epoch.value();
        e.text = std::move(text);
        actions.emplace_back(record_event{std::move(e)});
    }

    const batch_options options;
    const configuration_state& configuration;
    std::vector<batch_action> actions;
    read_sender reads;
    drain_limit drain;
    commit_sender commits;

    std::optional<time_point> valid_until;
    incarnation own_incarnation;
    membership_list members;
    fleet workers;
    std::map<shard_id, known_digest> digests;
    std::uint64_t next_command_number = 1;
    // Shards whose inboxes this daemon has written to.
    std::vector<shard_id> noticed;
};

} // namespace hemlockdeal
