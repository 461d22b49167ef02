// Claims of idempotency keys of non-idempotent requests. A key that is held
// here was claimed by this daemon in the table, so no other daemon runs a
// request with that key.
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

// Commits claims in batches, with at most one commit in flight. A commit
// without a response is resent unchanged once; its rows are recognised by the
// commit id. If the resent commit gets no response either, the requests are not
// run.
class claim_table
{
public:
    // `holds_unresolved` treats a commit with an unknown outcome as successful.
    // This breaks the guarantee and is for tests only.
    claim_table(const request_settings& settings, bool holds_unresolved);

    // The decision may be available from take_decisions() at once.
    void begin_claim(request_id request, const request_key& key,
                     const std::string& fingerprint);
    // The request ran. Duplicates get this response.
    void store_result(const request_key& key,
                      std::optional<stored_response> response);
    // The request was not run. Deletes the claim, so that the key can be used
    // again.
    void release(const request_key& key);
    // The outcome of the request is unknown. Drops the entry without deleting
    // the row, so that the key stays claimed.
    void drop_entry(const request_key& key);

    void on_commit_outcome(const commit_id& id, const commit_outcome& outcome,
                           time_point now);
    void on_row(std::uint64_t number, const row_reply& reply, time_point now);
    void run(time_point now);
    std::optional<time_point> next_run() const;

    std::vector<claim_decision> take_decisions();
    std::vector<std::variant<send_commit, read_row>> take_actions();
    // True when no key is claimed and no write is pending.
    bool is_idle() const { return entries_.empty(); }

private:
    enum class claim_state
    {
        queued,
        committing,
        reading,
        held,
        writing, // a result or a deletion is being written
        stale    // the row may hold an own claim whose request was not sent
    };
    struct entry
    {
        request_id request;
        std::string fingerprint;
        claim_state state = claim_state::queued;
        // The request was reported as "not run" before its claim was resolved.
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
