// Talks to the workers of an owned shard: reports, renewals, starts and stops.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "batch/shard_state.hpp"

namespace hemlockdeal
{

class worker_driver
{
public:
    explicit worker_driver(shard_state& state);

    // Visits the workers that are due.
    void on_tick(time_point now);

    // While the lease is expired: only prolongs what already runs.
    void hold(time_point now);

    void on_report(const worker_id& id, const worker_report_reply& reply,
                   time_point sent_at, time_point now);

    // False when the number is not of this driver.
    bool on_command_reply(std::uint64_t number,
                          const worker_command_reply& reply, time_point now);

    // Sends the starts whose intents have become durable.
    void on_flushed(const std::vector<journal_entry>& batch, time_point now);

    void throttle(const task_ref& ref, double share, time_point now);

    // True while a command that could start a task has no reply.
    bool has_unanswered_starts(time_point now) const;

private:
    struct sent_batch
    {
        worker_id worker;
        std::vector<worker_command> commands;
        time_point sent_at;
    };

    void visit(worker_state& worker, time_point now);
    void ask(worker_state& worker, time_point now);
    void renew_and_stop(worker_state& worker, time_point now);
    void start(worker_state& worker, time_point now);
    bool token_allows_start(const worker_state& worker, time_point now) const;
    void send(worker_state& worker, std::vector<worker_command> commands,
              std::string token, time_point now);
    void end_tasks_of_gone(worker_state& worker, time_point now);
    void take_report(worker_state& worker, const worker_report& report,
                     time_point now);
    void take_status(worker_state& worker, const task_status& status,
                     std::vector<worker_command>& stops, time_point now);
    void take_running(const task_ref& ref, const task_status& status,
                      time_point now);
    void end_unlisted(worker_state& worker, const worker_report& report,
                      time_point now);
    void take_result(const sent_batch& sent,
                     const worker_command_result& answer, time_point now);
    void on_fenced(const worker_fenced& fenced);

    shard_state& state_;
    std::map<std::uint64_t, sent_batch> sent_;
};

} // namespace hemlockdeal
