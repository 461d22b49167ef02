// The batch core of one daemon: it takes events and the time and returns
// actions. It joins the engine, which keeps the guarantees, with a placement
// policy, which only proposes what runs where.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "batch/batch_action.hpp"
#include "batch/batch_engine.hpp"
#include "batch/batch_options.hpp"
#include "batch/placement_policy.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

// Numbers of reads and of command batches, and commit ids, are the core's own:
// the daemon returns them unchanged and keeps them apart from those of its
// other cores. Commit ids start with "batch/".
template <placement_policy Policy>
class batch_core
{
public:
    // `configuration` is read for the start gate and must outlive the core.
    batch_core(batch_options options, const configuration_state& configuration)
        : engine_(std::move(options), configuration)
    {
        engine_.set_reason_source([this](const job_id& job) -> std::string {
            for (const auto& [shard, policy] : policies_)
            {
                if (engine_.has_job(shard, job))
                {
                    return policy.waiting_reason(job);
                }
            }
            return {};
        });
    }

    // The engine's handlers refer to the core.
    batch_core(const batch_core&) = delete;
    batch_core& operator=(const batch_core&) = delete;

    void on_tick(time_point now)
    {
        engine_.on_tick(now);
        run(now);
    }

    void on_commit_outcome(const commit_id& id, const commit_outcome& outcome,
                           time_point now)
    {
        engine_.on_commit_outcome(id, outcome, now);
        run(now);
    }

    // An error means that the row could not be read, an empty optional that
    // it does not exist.
    void on_row(std::uint64_t number,
                const result<std::optional<table_row>>& row, time_point now)
    {
        engine_.on_row(number, row, now);
        run(now);
    }

    void on_rows(std::uint64_t number, const result<table_page>& page,
                 time_point now)
    {
        engine_.on_rows(number, page, now);
        run(now);
    }

    // `sent_at` is when the daemon sent the request for the report.
    void on_report(const worker_id& worker, const worker_report_reply& reply,
                   time_point sent_at, time_point now)
    {
        engine_.on_report(worker, reply, sent_at, now);
        run(now);
    }

    void on_command_reply(std::uint64_t number,
                          const worker_command_reply& reply, time_point now)
    {
        engine_.on_command_reply(number, reply, now);
        run(now);
    }

    void on_membership(const membership_list& list, time_point now)
    {
        engine_.on_membership(list, now);
        run(now);
    }

    // `valid_until` already contains the margin (5 s after the renewal was
    // sent). A time in the past puts the owned shards on hold. An empty one
    // says that the lease was revoked or was never held: all shards are
    // dropped.
    void on_lease(std::optional<time_point> valid_until, incarnation current,
                  time_point now)
    {
        engine_.on_lease(valid_until, current, now);
        run(now);
    }

    void on_peer(const vm_id& sender, incarnation sender_incarnation,
                 const peer_body& body, time_point now)
    {
        engine_.on_peer(sender, sender_incarnation, body, now);
        run(now);
    }

    // Takes job_submission, job_query and job_cancellation; answers others
    // with an error.
    void on_operator(std::uint64_t number, const operator_request& request,
                     time_point now)
    {
        engine_.on_operator(number, request, now);
        run(now);
    }

    // Tail latencies of request classes, for the policy.
    void on_service_tails(std::vector<service_tail> tails)
    {
        tails_ = std::move(tails);
    }

    // Releases all shards and takes no more; stopped() is true when no shard
    // is left.
    void stop(time_point now)
    {
        engine_.stop(now);
        run(now);
    }

    bool stopped() const { return engine_.stopped(); }

    // Free capacity of the owned shards, for heartbeats to peers.
    std::vector<shard_digest> digests(time_point now) const
    {
        return engine_.digests(now);
    }

    std::vector<shard_status> status(time_point now) const
    {
        std::vector<shard_status> shards = engine_.status(now);
        for (shard_status& shard : shards)
        {
            const auto policy = policies_.find(shard.shard);
            if (policy == policies_.end())
            {
                continue;
            }
            for (const worker_id& worker : engine_.workers_of(shard.shard))
            {
                shard.workers_quarantined +=
                    policy->second.is_quarantined(worker) ? 1U : 0U;
            }
        }
        return shards;
    }

    // on_tick() should be called at this time at the latest.
    time_point next_wakeup(time_point now) const
    {
        return engine_.next_wakeup(now);
    }

    std::vector<batch_action> take_actions() { return engine_.take_actions(); }

private:
    void run(time_point now)
    {
        for (const shard_id& shard : engine_.take_dropped_shards())
        {
            policies_.erase(shard);
        }
        engine_.deliver_observations(
            [&](const shard_id& shard, const policy_observation& observation) {
                policies_[shard].observe(observation, now);
            },
            now);
        while (const std::optional<shard_id> shard =
                   engine_.next_shard_to_place(now))
        {
            placement_view view = engine_.view(*shard, now);
            view.input.tails = tails_;
            engine_.apply(*shard, view, policies_[*shard].place(view.input),
                          now);
        }
        engine_.finish_event(now);
    }

    batch_engine engine_;
    std::map<shard_id, Policy> policies_;
    std::vector<service_tail> tails_;
};

} // namespace hemlockdeal
