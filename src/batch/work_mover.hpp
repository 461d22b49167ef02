// Moves waiting tasks to shards that have room, and empties the shard when its
// zone is taken out of service.
#pragma once

#include <optional>

#include "batch/shard_state.hpp"

namespace hemlockdeal
{

class work_mover
{
public:
    explicit work_mover(shard_state& state);

    void on_tick(time_point now);

private:
    std::vector<task_ref> by_slack(bool active) const;
    void move_waiting(time_point now, bool zone_out);
    void evict(time_point now);
    std::optional<shard_id> find_target(const job_submission& job,
                                        time_point now, bool reserve);
    bool has_room_here(const job_submission& job, time_point now) const;

    shard_state& state_;
    time_point next_;
};

} // namespace hemlockdeal
