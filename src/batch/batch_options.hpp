// Settings of the batch core and the times that its guarantees rest on.
#pragma once

#include <cstddef>
#include <cstdint>

#include "core/ids.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

// Each switch removes one safeguard. Only tests set them, to show that their
// checks notice a missing safeguard.
struct batch_safeguards
{
    bool check_lease_before_acting = true;
    bool observe_lease_before_takeover = true;
    bool journal_before_start = true;
    bool count_unknown_as_used = true;
    bool wait_for_fence_before_restart = true;
    bool check_freshness_before_start = true;
    bool journal_before_acknowledge = true;
    bool recognise_commit_id = true;
    bool resume_from_checkpoint = true;
    bool remember_intents_as_run = true;
};

struct batch_options
{
    vm_id vm;
    availability_zone_id zone;
    region_id region;
    // The same for all daemons.
    std::uint32_t shards_per_zone = 4;
    // Workers refuse lower epochs (W1) and list their tasks (W2).
    bool workers_fence = true;

    // A lease that did not change for this long is taken over. It exceeds the
    // owner's validity of 5 s by a margin for clock rates.
    duration lease_observation = std::chrono::seconds(7);
    duration table_poll = std::chrono::seconds(1);
    duration takeover_interval = std::chrono::milliseconds(100);
    duration rank_delay = std::chrono::milliseconds(500);
    duration release_interval = std::chrono::seconds(2);

    duration flush_interval = std::chrono::milliseconds(250);
    duration urgent_flush_interval = std::chrono::milliseconds(50);
    // Results wait safely at the workers, so they may wait for a fuller row.
    duration result_flush_interval = std::chrono::milliseconds(1000);
    duration resend_interval = std::chrono::milliseconds(500);
    // An unanswered commit of this age makes the daemon drain its backlog
    // slowly afterwards.
    duration outage_after = std::chrono::seconds(5);
    double drain_rows_per_second = 20.0;
    std::size_t compact_after_rows = 24;

    std::size_t inbox_rows_per_pass = 200;
    duration inbox_poll = std::chrono::seconds(1);

    duration report_interval = std::chrono::seconds(5);
    duration renew_interval = std::chrono::seconds(5);
    duration task_lease = std::chrono::seconds(30);
    // Task lease and clock error.
    duration worker_gone_after = std::chrono::seconds(31);
    // A worker refuses a start whose token is older than 2.5 s (W5); the rest
    // is clock error.
    duration token_lifetime = std::chrono::milliseconds(2600);
    // Older tokens are renewed before a start, since the start may be slow.
    duration token_fresh = std::chrono::milliseconds(1000);
    duration command_retry = std::chrono::seconds(1);

    duration placement_interval = std::chrono::milliseconds(250);
    std::uint32_t starts_per_pass = 64;
    // After a zone comes back its starts rise to the full rate in this time.
    duration zone_back_ramp = std::chrono::seconds(60);
    // Tasks that a shard evicts a second when its zone is taken out.
    std::uint32_t zone_out_evictions_per_second = 10;
    // A waiting task moves to another shard when it found no room for this
    // long.
    duration move_after = std::chrono::seconds(15);

    std::uint32_t failures_for_good = 3;
    duration submission_timeout = std::chrono::seconds(5);
    duration cancel_wait = std::chrono::seconds(2);
    std::size_t operator_requests_at_once = 256;

    batch_safeguards safeguards;
};

} // namespace hemlockdeal
