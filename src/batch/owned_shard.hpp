// One shard that this daemon owns: joins recovery, inbox, workers, journal and
// transfers, and turns a policy's output into changes.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "batch/inbox_intake.hpp"
#include "batch/placement_view.hpp"
#include "batch/shard_recovery.hpp"
#include "batch/shard_state.hpp"
#include "batch/work_mover.hpp"
#include "batch/worker_driver.hpp"

namespace hemlockdeal
{

class owned_shard : public std::enable_shared_from_this<owned_shard>
{
public:
    owned_shard(batch_context& context, const shard_id& shard,
                epoch owner_epoch, row_version version, time_point now);

    void on_tick(time_point now);
    void on_membership(time_point now);

    shard_state& state() { return state_; }
    const shard_state& state() const { return state_; }
    worker_driver& driver() { return driver_; }
    inbox_intake& inbox() { return inbox_; }

    bool wants_placement(time_point now) const;
    placement_view view(time_point now);
    worker_view view_of(const worker_state& worker, time_point now) const;
    void apply(const placement_view& view, const placement_output& output,
               time_point now);

    // True when the shard was asked to be released and nothing is under way.
    bool may_be_released(time_point now) const;

    shard_digest digest(time_point now) const;
    shard_status status(const vm_id& owner, time_point now) const;
    std::optional<time_point> next_wakeup() const;

private:
    std::uint32_t starts_at_most(time_point now);
    void place(const waiting_task& task, const worker_view& target,
               time_point now);

    shard_state state_;
    shard_recovery recovery_;
    inbox_intake inbox_;
    worker_driver driver_;
    work_mover mover_;
    time_point placed_at_;
    bool zone_was_out_ = false;
    std::optional<time_point> zone_back_at_;
    std::optional<time_point> releasing_since_;
};

} // namespace hemlockdeal
