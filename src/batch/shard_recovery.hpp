// Restores a shard from its snapshots and journal after a takeover.
#pragma once

#include <memory>
#include <vector>

#include "batch/shard_state.hpp"

namespace hemlockdeal
{

class shard_recovery
{
public:
    explicit shard_recovery(shard_state& state);

    // Starts and repeats the reads until the shard is active. `alive` expires
    // with the shard.
    void on_tick(const std::weak_ptr<void>& alive, time_point now);

private:
    void read(const std::weak_ptr<void>& alive);
    void take_snapshots(const std::vector<table_row>& rows, time_point now);
    void take_journal(const std::vector<table_row>& rows, time_point now);
    void activate(time_point now);

    shard_state& state_;
    bool reading_ = false;
    time_point next_try_;
    std::uint64_t covered_ = 0;
    row_version head_;
};

} // namespace hemlockdeal
