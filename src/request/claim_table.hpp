// Claims of the keys of non-idempotent requests. A request whose key is held
// here was claimed by this daemon in the table, so no other daemon runs it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "core/core.hpp"
#include "request/claim_row.hpp"
#include "request/claim_writer.hpp"
#include "request/request_settings.hpp"

namespace hemlockdeal
{

// The request may be sent.
struct claim_held
{};

struct claim_not_run
{
    unsigned status = 503;
    std::string reason;
};

struct claim_unknown
{
    std::string reason;
};

struct claim_decision
{
    request_id request;
    std::variant<claim_held, claim_not_run, claim_unknown, stored_response>
        decision;
};

// Batches claims, up to one commit in flight. A commit without a response is
// sent again unchanged; its rows are recognised by the commit id. When the
// second one gets no response either, the requests are not run.
class claim_table
{
public:
    // `holds_unresolved` breaks the guarantee on purpose, for tests.
    claim_table(const request_settings& settings, bool holds_unresolved);

    // The verdict may be available from take_verdicts() at once.
    void begin_claim(request_id request, const request_key& key,
                     const std::string& fingerprint);
    // The request ran; repeats get this answer.
    void store_result(const request_key& key,
                      std::optional<stored_response> response);
    // The request was not run; the key becomes free again.
    void release(const request_key& key);
    // The outcome is unknown; the row stays claimed.
    void drop_entry(const request_key& key);

    void on_commit_outcome(const commit_id& id, const commit_outcome& outcome,
                           time_point now);
    void on_row(std::uint64_t number, const row_reply& reply, time_point now);
    void run(time_point now);
    std::optional<time_point> next_run() const;

    std::vector<claim_decision> take_decisions();
    std::vector<std::variant<send_commit, read_row>> take_actions();
    // True when nothing is claimed or waits to be written.
    bool is_idle() const { return entries_.empty(); }

private:
    enum class claim_state
    {
        queued,
        committing,
        reading,
        held,
        writing, // a result, or a deletion
        stale    // the row may carry a claim of ours for which nothing was sent
    };
    struct entry
    {
        request_id request;
        std::string fingerprint;
        claim_state state = claim_state::queued;
        // The request was answered "not run" before the claim was settled.
        bool cancelled = false;
        // Commits that may have claimed the key for this request.
        std::vector<commit_id> claims;
        row_version version;
        std::optional<stored_response> response;
    };
    struct batch
    {
        table_commit commit;
        std::vector<request_key> keys;
        bool resent = false;
    };
    using entries = std::unordered_map<request_key, entry>;

    void resolve_duplicate(request_id request, const entry& existing,
                           const std::string& fingerprint);
    void send_claims(time_point now);
    void apply_commit(const batch& b, const commit_done& done);
    void resolve_conflict(const batch& b, const commit_conflict& conflict);
    void handle_unknown_commit(batch b);
    void resolve_row(const request_key& key, entry& e, row_version version,
                     const std::optional<std::string>& value);
    void mark_held(const request_key& key, entry& e, row_version version);
    void reject_taken(const request_key& key, const entry& e,
                      const std::optional<claim_row>& row);
    void requeue_claim(const request_key& key, entry& e);
    void read(const request_key& key, entry& e);
    void make_stale(const request_key& key, entry& e);
    void read_stale(time_point now);
    void write_release(const request_key& key, entry& e);
    void remove_written();
    bool is_own(const entry& e, const claim_row& row) const;

    duration claim_interval_;
    bool holds_unresolved_;
    commit_id_generator ids_;
    claim_writer writer_;
    entries entries_;
    std::deque<request_key> queue_;
    std::optional<batch> in_flight_;
    time_point next_claim_commit_{};
    std::deque<request_key> stale_;
    time_point next_stale_read_{};
    std::uint64_t last_read_number_ = 0;
    std::unordered_map<std::uint64_t, request_key> reads_;
    std::vector<claim_decision> decisions_;
    std::vector<std::variant<send_commit, read_row>> actions_;
};

} // namespace hemlockdeal
