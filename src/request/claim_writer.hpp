// Writes results of claimed requests and deletes released claims, in batches.
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

// Every write expects the version that this daemon wrote before, so a write
// that was delayed or sent twice changes nothing.
class claim_writer
{
public:
    struct write
    {
        request_key key;
        row_version expected;
        // Nothing deletes the row.
        std::optional<claim_row> row;
    };

    explicit claim_writer(const request_settings& settings);

    // Returns false when too much waits already; the row stays claimed.
    bool push(write w);

    // Returns false when the commit is not one of this class.
    bool on_commit_outcome(const commit_id& id, const commit_outcome& outcome,
                           time_point now);
    void run(time_point now);
    std::optional<time_point> next_run() const;

    std::vector<send_commit> take_commits();
    // Keys whose writes took effect or will never take effect.
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
    // Set while the batch in flight waits to be sent again.
    bool resend_pending_ = false;
    time_point next_send_{};
    std::vector<send_commit> commits_;
    std::vector<request_key> completed_;
};

} // namespace hemlockdeal
