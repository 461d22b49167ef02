// Worker of the tests: keeps W1 to W5 and counts itself what runs.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal::test
{

struct run_of_task
{
    task_attempt id;
    shard_id shard;
    epoch started_epoch;
    resources size;
    task_state state = task_state::running;
    time_point started;
    time_point lease_until;
    duration progress_at_start{};
    duration run_time{};
    duration checkpointed{}; // progress of the newest checkpoint
    bool has_checkpoint = false;
};

class fake_worker
{
public:
    fake_worker(worker_id worker, resources worker_size)
        : id(std::move(worker)), size(worker_size)
    {}

    // Lets tasks finish and leases expire until now.
    void advance(time_point now);

    worker_report_reply report(const worker_report_request& request,
                               time_point now);
    // `started` is called with each run that a command started.
    worker_command_reply command(
        const worker_command_batch& batch, time_point now,
        const std::function<void(const worker_command&, const run_of_task&)>&
            started);

    bool runs(const task_id& task) const;
    resources used() const;

    worker_id id;
    resources size;
    bool alive = true;
    bool fails_everything = false;
    std::map<task_attempt, run_of_task> tasks;

private:
    bool is_fenced(const shard_id& shard, epoch sender);
    worker_command_result
    apply(const worker_command_batch& batch, const worker_command& c,
          time_point now,
          const std::function<void(const worker_command&, const run_of_task&)>&
              started);

    std::map<shard_id, epoch> highest_;
    std::map<std::string, time_point> tokens_;
    std::uint64_t next_token_ = 1;
};

} // namespace hemlockdeal::test
