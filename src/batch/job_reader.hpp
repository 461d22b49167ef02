// Reads the state of a job from the table, whoever owns its shards: the job
// row, and for each part the journal, the snapshot and the ended state.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batch/batch_codec.hpp"
#include "batch/batch_context.hpp"

namespace hemlockdeal
{

struct job_state
{
    job_row row;
    // What is durable in each shard that has or had tasks of the job.
    std::vector<std::pair<shard_id, job_part>> parts;

    // Tasks of the row that no part shows: their inbox rows were not taken.
    std::uint32_t not_bound() const;
    cancel_outcome cancelled_as() const;
    job_status status(const job_id& job) const;
};

class job_reader
{
public:
    // Empty: the job does not exist.
    using handler = std::function<void(const result<std::optional<job_state>>&,
                                       time_point)>;

    explicit job_reader(batch_context& context) : context_(context) {}

    void read(const job_id& job, handler done);

private:
    struct reading;

    void read_next_part(const std::shared_ptr<reading>& r, time_point now);
    void read_journal(const std::shared_ptr<reading>& r);
    void read_snapshots(const std::shared_ptr<reading>& r);
    // Reads a row that may hold the part. `next` is not called on an error.
    void read_part(const std::shared_ptr<reading>& r, const std::string& key,
                   std::function<void(time_point)> next);

    batch_context& context_;
};

} // namespace hemlockdeal
