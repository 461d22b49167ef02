// Everything of the batch core but the placement policy.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "batch/batch_action.hpp"
#include "batch/batch_context.hpp"
#include "batch/batch_options.hpp"
#include "batch/owned_shard.hpp"
#include "batch/placement_view.hpp"
#include "batch/shard_ownership.hpp"
#include "batch/submission_intake.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

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
    std::vector<shard_digest> digests(time_point now) const;
    std::vector<shard_status> status(time_point now) const;
    std::vector<worker_id> workers_of(const shard_id& shard) const;
    bool has_job(const shard_id& shard, const job_id& job) const;
    time_point next_wakeup(time_point now) const;
    std::vector<batch_action> take_actions();

    void set_reason_source(submission_intake::reason_source source)
    {
        submissions_.set_reason_source(std::move(source));
    }

    // For the policies, one per shard.
    std::vector<shard_id> take_dropped_shards();
    std::optional<shard_id> next_shard_to_place(time_point now) const;
    placement_view view(const shard_id& shard, time_point now);
    void apply(const shard_id& shard, const placement_view& view,
               const placement_output& output, time_point now);
    void deliver_observations(
        const std::function<void(const shard_id&, const policy_observation&)>&
            consume,
        time_point now);

    // Ends the handling of an event: sends what has become due.
    void finish_event(time_point now);

private:
    using shard_map = std::map<shard_id, std::shared_ptr<owned_shard>>;

    void run_shards(time_point now);
    void drop(shard_map::iterator shard, std::string why);
    void drop_all();
    void take_over(time_point now);
    void release_shards(time_point now);
    void update_digests(time_point now);
    void end_drain(time_point now);
    owned_shard* find(const shard_id& shard);

    batch_context context_;
    shard_ownership ownership_;
    submission_intake submissions_;
    shard_map shards_;
    std::vector<shard_id> dropped_;
    bool stopping_ = false;
    time_point ran_at_;
    time_point digests_at_;
};

} // namespace hemlockdeal
