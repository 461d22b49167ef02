// Everything of the batch core but the placement policy.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "batch/batch_action.hpp"
#include "batch/batch_options.hpp"
#include "batch/placement_policy.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

// The input of a policy together with what it points to. Not copyable,
// because the input refers to the members.
struct placement_view
{
    placement_view() = default;
    placement_view(placement_view&&) = default;
    placement_view& operator=(placement_view&&) = default;
    placement_view(const placement_view&) = delete;
    placement_view& operator=(const placement_view&) = delete;
    ~placement_view() = default;

    std::vector<waiting_task> waiting;
    std::vector<worker_view> workers;
    std::vector<team_quota> quotas;
    placement_input input;
};

class batch_engine
{
public:
    batch_engine(batch_options options,
                 const configuration_state& configuration);

    void on_tick(time_point now);
    void on_commit_outcome(const commit_id& id, const commit_outcome& outcome,
                           time_point now);
    void on_row(std::uint64_t number,
                const result<std::optional<table_row>>& row, time_point now);
    void on_rows(std::uint64_t number, const result<table_page>& page,
                 time_point now);
    void on_report(const worker_id& worker, const worker_report_reply& reply,
                   time_point sent_at, time_point now);
    void on_command_reply(std::uint64_t number,
                          const worker_command_reply& reply, time_point now);
    void on_membership(const membership_list& list, time_point now);
    void on_lease(std::optional<time_point> valid_until, incarnation current,
                  time_point now);
    void on_peer(const vm_id& sender, incarnation sender_incarnation,
                 const peer_body& body, time_point now);
    void on_operator(std::uint64_t number, const operator_request& request,
                     time_point now);
    void stop(time_point now);

    bool stopped() const;
    std::vector<shard_digest> digests() const;
    std::vector<shard_status> status() const;
    std::vector<worker_id> workers_of(const shard_id& shard) const;
    time_point next_wakeup(time_point now) const;
    std::vector<batch_action> take_actions();

    std::vector<shard_id> take_dropped_shards();
    std::optional<shard_id> next_shard_to_place(time_point now);
    placement_view view(const shard_id& shard, time_point now);
    void apply(const shard_id& shard, const placement_view& view,
               const placement_output& output, time_point now,
               const std::function<std::string(const job_id&)>& reason);
    void deliver_observations(
        const std::function<void(const shard_id&, const policy_observation&)>&
            consume);
    void finish_event(time_point now);
};

} // namespace hemlockdeal
