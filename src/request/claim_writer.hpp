// Writes the results of claimed requests and deletes released claims, in
// batches.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "core/core.hpp"
#include "request/claim_row.hpp"
#include "request/commit_id_generator.hpp"
#include "request/request_settings.hpp"

namespace hemlockdeal
{

// Each write expects the row version that this daemon wrote last, so a write
// that is delayed or sent twice has no effect.
class claim_writer
{
public:
    struct write
    {
        request_key key;
        row_version expected;
        // Empty to delete the row.
        std::optional<claim_row> row;
    };

    explicit claim_writer(const request_settings& settings);

    // Returns false when the queue is full; the row then stays claimed.
    bool push(write w);

    // Returns false when this writer did not send the commit.
    bool on_commit_outcome(const commit_id& id, const commit_outcome& outcome,
                           time_point now);
    void run(time_point now);
    std::optional<time_point> next_run() const;

    std::vector<send_commit> take_commits();
    // Keys whose writes have taken effect or never will.
    std::vector<request_key> take_completed();

private:
    struct batch
    {
        table_commit commit;
        std::vector<write> writes;
        unsigned send_count = 1;
    };

    void resolve_conflict(const commit_conflict& conflict);
    void complete_all();

    duration write_interval_;
    commit_id_generator ids_;
    std::deque<write> queue_;
    std::optional<batch> in_flight_;
    // Set while the batch in flight waits to be resent.
    bool resend_pending_ = false;
    time_point next_send_{};
    std::vector<send_commit> commits_;
    std::vector<request_key> completed_;
};

} // namespace hemlockdeal
