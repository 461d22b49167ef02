// Takes submissions, transfers and cancellations from the inbox of an owned
// shard. Each row is deleted by the flush that makes its effect durable.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batch/shard_state.hpp"

namespace hemlockdeal
{

class inbox_intake
{
public:
    explicit inbox_intake(shard_state& state);

    void on_tick(const std::weak_ptr<void>& alive, time_point now);

    // Reads the inbox at the next tick.
    void notice(time_point now) { next_read_ = std::min(next_read_, now); }

    // Rows of the batch are deleted now.
    void on_flushed(const std::vector<journal_entry>& batch);

    // Whether rows were taken and are not yet deleted.
    bool is_idle() const { return taken_.empty(); }

private:
    void take_page(const std::weak_ptr<void>& alive,
                   const std::vector<table_row>& rows, time_point now);
    void take_work(const std::weak_ptr<void>& alive, const table_row& row,
                   time_point now);
    void take_cancellation(const std::weak_ptr<void>& alive,
                           const table_row& row, time_point now);
    void bind(const table_row& row, job_part part, time_point now);
    void cancel(const table_row& row, job_part& part, time_point now);
    void load_ended(const std::weak_ptr<void>& alive, const table_row& row,
                    const job_id& job, bool is_cancellation);
    void skip(const table_row& row, time_point now);
    void on_read_done(time_point now);

    shard_state& state_;
    time_point next_read_;
    std::size_t reads_in_flight_ = 0;
    bool more_ = false;
    bool work_complete_ = false;
    // Keys of rows that are being consumed.
    std::set<std::string> taken_;
    // Keys of deleted rows that a read, sent before, may still show.
    std::set<std::string> deleted_;
    // Cancellations of jobs that this shard does not know yet, with the number
    // of complete readings of the submissions since.
    std::map<std::string, std::uint32_t> early_;
};

} // namespace hemlockdeal
