// Bounds and time constants of the target policy.
#pragma once

#include <cstddef>

#include "core/time.hpp"

namespace hemlockdeal
{

// Each switch removes one safeguard. Only tests set them, to show that their
// checks notice a missing safeguard.
struct policy_safeguards
{
    bool stay_within_free = true;
    bool avoid_quarantined = true;
    bool quota_before_borrowing = true;
    bool bound_evictions = true;
    bool bound_quarantine = true;
    bool exonerate_workers = true;
    bool grow_return_time = true;
    bool learn = true;
    bool keep_headroom = true;
};

struct policy_options
{
    // Share of the shard that only urgent work may use.
    double urgent_headroom = 0.05;

    // Tail latencies as shares of the target.
    double tail_high = 0.9;
    double tail_low = 0.7;
    // Work is not placed where the tail is predicted above this share. It is
    // lower than tail_high, so that placing does not cause a throttle.
    double tail_predicted_at_most = 0.85;
    double throttled_share = 0.25;
    duration evict_after = std::chrono::seconds(10);
    // Usage reports lag; a shorter interval would act on old effects.
    duration guard_interval = std::chrono::seconds(2);

    std::size_t evictions_per_worker_minute = 2;
    double evicted_share_per_minute = 0.05;

    // Time before an evicted class may return to the worker; it doubles with
    // each further eviction.
    duration first_return_time = std::chrono::seconds(60);
    duration longest_return_time = std::chrono::hours(1);
    // Time for which a throttled task stays throttled; it doubles likewise.
    duration first_throttle_time = std::chrono::seconds(10);
    duration longest_throttle_time = std::chrono::minutes(10);

    std::size_t failed_jobs_for_quarantine = 3;
    std::size_t workers_for_bad_job = 3;
    double quarantined_share = 0.2;
    duration probe_interval = std::chrono::seconds(60);
    duration failure_memory = std::chrono::hours(1);

    // A task that found no room for this long gets a worker reserved.
    duration reserve_after = std::chrono::seconds(30);
    duration reservation_time = std::chrono::seconds(30);
    // Borrowed work is evicted for a team below its quota when the task of
    // the team waited this long, or when less than this share of its target
    // is left as slack. Most tasks find room before, because others finish,
    // and an eviction loses work.
    duration reclaim_after = std::chrono::minutes(5);
    double reclaim_slack_share = 0.25;
    duration reclaim_not_before = std::chrono::seconds(60);

    // A long queue of batch work is examined only this often, which bounds the
    // processor time; urgent work and services are examined in every pass.
    std::size_t long_queue = 256;
    duration long_queue_interval = std::chrono::seconds(1);

    policy_safeguards safeguards;
};

} // namespace hemlockdeal
