// What the owner of a shard knows of its workers and of what runs there.
// Capacity that cannot be observed counts as used.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "batch/batch_context.hpp"
#include "batch/job_part.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

// Parts stay in place while one of their tasks is assigned to a worker.
struct task_ref
{
    job_part* part = nullptr;
    std::uint32_t index = 0;

    batch_task& task() const { return *part->find(index); }
    friend bool operator==(const task_ref&, const task_ref&) = default;
};

struct worker_state
{
    worker_id id;
    rack_id rack;
    std::string address;
    resources size;
    bool listed = false;
    bool leaving = false;
    // Its entry of the list is malformed: nothing starts, what runs goes on.
    bool unusable = false;
    // Since when the membership list does not name the worker.
    std::optional<time_point> absent_since;

    std::vector<task_ref> assigned;
    // Sum of the sizes of `assigned`.
    resources committed;
    // What the last report showed beyond `assigned`.
    resources unknown;

    // False until the worker was listed under the present epoch.
    bool reported = false;
    time_point report_sent_at;
    time_point report_received_at;
    std::string token;
    std::optional<time_point> asked_at;
    time_point next_report_at;
    time_point next_renew_at;
    time_point no_starts_until;
    // The driver looks at the worker again at this time.
    time_point next_visit_at;
    // Durable results, to be acknowledged with the next request.
    std::vector<task_attempt> acknowledge;
};

class worker_ledger
{
public:
    worker_ledger(batch_context& context, shard_id shard);

    // Takes over the workers of the shard from the membership list.
    void update_members(time_point now);

    // Counts the task as used capacity of its worker.
    void assign(const task_ref& ref, time_point now);
    void release(const task_ref& ref, time_point now);

    worker_state* find(const worker_id& id);
    std::map<worker_id, worker_state>& workers() { return workers_; }
    const std::map<worker_id, worker_state>& workers() const
    {
        return workers_;
    }

    bool accepts_starts(const worker_state& worker, time_point now) const;
    resources free_on(const worker_state& worker) const;
    // Free capacity of the workers that accept starts.
    resources free(time_point now) const;

    // Drops workers that the list no longer shows and that run nothing.
    void remove_gone();

    // Without fencing, nothing starts before this time.
    void set_starts_after(time_point at) { starts_after_ = at; }

private:
    // Counts the worker as absent from now on if the list proves it.
    void note_absence(worker_state& worker, time_point now) const;
    worker_state& ensure(const worker_id& id, time_point now);

    batch_context& context_;
    shard_id shard_;
    time_point starts_after_;
    std::map<worker_id, worker_state> workers_;
};

} // namespace hemlockdeal
