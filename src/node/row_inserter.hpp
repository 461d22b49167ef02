// Inserts rows into the store, with retries until the caller's deadline.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>
#include <variant>

#include "node/concepts.hpp"
#include "node/request_result.hpp"
#include "node/store_health.hpp"
#include "node/store_outcome.hpp"

namespace hemlockdeal::node
{

struct insert_options
{
    // A write may take until the caller's deadline. If it has no response after
    // this time, a second call is sent.
    duration hedge_delay = std::chrono::milliseconds(1000);
    duration initial_retry_delay = std::chrono::milliseconds(40);
    unsigned max_attempts = 5;
};

// The inserted rows are never modified later, so a call can be repeated, and a
// conflict means that rows exist that its conditions exclude.
template <row_store Store, typename Timer>
class row_inserter
{
public:
    // `found` has the current rows that the conditions name if one of them did
    // not hold, and is null otherwise. Another attempt may have stored them,
    // possibly one of another caller with other values.
    using on_result =
        std::function<void(request_result, const conflict* found)>;

    // `timer(delay, call)` runs `call` after `delay`; `now()` reads the clock
    // that leases are measured with.
    row_inserter(Store& store, Timer timer, std::function<time_point()> now,
                 store_health& health, insert_options options)
        : store_(store), timer_(std::move(timer)), now_(std::move(now)),
          health_(health), options_(options)
    {}

    // The transaction must be conditioned on the absence of its rows.
    // `deadline` is the time at which the caller stops waiting.
    void insert(const transaction& t, time_point deadline,
                const on_result& callback)
    {
        auto p = std::make_shared<pending_insert>();
        p->t = t;
        p->deadline = deadline;
        p->callback = callback;
        p->retry_delay = options_.initial_retry_delay;
        timer_(std::max(deadline - now_(), duration{}),
               [this, p] { expire(p); });
        attempt(p);
    }

private:
    // An insert in progress.
    struct pending_insert
    {
        transaction t;
        time_point deadline;
        on_result callback;
        unsigned attempts = 0;
        unsigned outstanding = 0;
        duration retry_delay{};
        bool maybe_stored = false;
        bool is_complete = false;
    };
    using shared_insert = std::shared_ptr<pending_insert>;

    void attempt(const shared_insert& p)
    {
        const auto remaining = p->deadline - now_();
        if (p->is_complete || remaining <= duration{} ||
            p->attempts >= options_.max_attempts)
        {
            return;
        }
        ++p->attempts;
        ++p->outstanding;
        store_.transact(p->t, remaining,
                        [this, p](const transaction_outcome& outcome) {
                            record_outcome(health_, outcome, now_());
                            --p->outstanding;
                            handle_outcome(p, outcome);
                        });
        // The connection may be dead or the store slow: sends a second call. A
        // response to the first one still counts.
        timer_(options_.hedge_delay, [this, p] {
            if (p->outstanding > 0)
            {
                attempt(p);
            }
        });
    }

    void handle_outcome(const shared_insert& p,
                        const transaction_outcome& outcome)
    {
        if (std::holds_alternative<committed>(outcome) ||
            std::holds_alternative<conflict>(outcome))
        {
            finish(p, request_result::done, std::get_if<conflict>(&outcome));
            return;
        }
        p->maybe_stored =
            p->maybe_stored || std::holds_alternative<outcome_unknown>(outcome);
        if (p->outstanding > 0)
        {
            return;
        }
        if (std::holds_alternative<rejected>(outcome))
        {
            finish_not_stored(p, request_result::rejected);
            return;
        }
        // Fails at once so that the caller can try another VM.
        if (health_.is_unavailable(now_()) ||
            p->attempts >= options_.max_attempts)
        {
            finish_not_stored(p, request_result::refused);
            return;
        }
        timer_(p->retry_delay, [this, p] { attempt(p); });
        p->retry_delay *= 2;
    }

    // The caller stops waiting.
    void expire(const shared_insert& p)
    {
        p->maybe_stored = p->maybe_stored || p->outstanding > 0;
        finish_not_stored(p, request_result::refused);
    }

    // Reports the result unless an attempt may have stored the rows.
    void finish_not_stored(const shared_insert& p, request_result result)
    {
        finish(p, p->maybe_stored ? request_result::unknown : result);
    }

    void finish(const shared_insert& p, request_result result,
                const conflict* found = nullptr)
    {
        if (!std::exchange(p->is_complete, true))
        {
            p->callback(result, found);
        }
    }

    Store& store_;
    Timer timer_;
    std::function<time_point()> now_;
    store_health& health_;
    insert_options options_;
};

} // namespace hemlockdeal::node
