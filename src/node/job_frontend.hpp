// Handles job requests on each entry VM: submission, state, cancellation and
// the number of waiting jobs. All state goes through the store, so any VM can
// serve any job.
#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>

#include <boost/json.hpp>

#include "jobs/jobs.hpp"
#include "node/concepts.hpp"
#include "node/job_admission.hpp"
#include "node/store_health.hpp"
#include "node/store_tables.hpp"
#include "observe/logging.hpp"

namespace hemlockdeal::node
{

// Outcome of a submission or a cancellation.
enum class request_result
{
    done,
    // Nothing was stored, and nothing will be.
    refused,
    // The same, and the store will not accept the request later either.
    rejected,
    // Nothing was stored: the accepted jobs leave no memory for this one.
    no_memory,
    // No job has this id.
    no_such_job,
    // The outcome of the store call is not known; the rows may have been
    // stored.
    unknown
};

struct frontend_options
{
    // Timeout of a read.
    duration call_timeout = std::chrono::milliseconds(1500);
    // A write may take until the caller's deadline. If it has no response after
    // this time, a second call is sent.
    duration hedge_delay = std::chrono::milliseconds(1000);
    duration initial_retry_delay = std::chrono::milliseconds(40);
    unsigned max_attempts = 5;
    // How long a cached count of waiting jobs is used.
    duration pending_count_max_age = std::chrono::milliseconds(700);
    std::size_t max_cached_jobs = 20000;
    // Estimated memory of accepted jobs, in bytes, up to which further ones are
    // accepted.
    std::size_t max_job_memory = std::size_t{64} << 20U;
};

// State known to the leader on this VM, available without a call to the store.
struct leader_view
{
    // The state that the store holds or will hold. Empty if this VM does not
    // lead or does not know the job.
    std::function<std::optional<jobs::job_state>(const job_id&)> state;
    std::function<std::optional<std::size_t>(const std::string&)> pending;
    // Memory in bytes that the accepted jobs take, as the leader has published
    // it.
    std::function<std::uint64_t()> job_memory;
};

template <row_store Store, typename Timer>
class job_frontend
{
public:
    using on_request_result = std::function<void(request_result)>;
    // Empty if there is no such job.
    using state_result = std::variant<std::optional<jobs::job_state>, not_done>;
    using on_state = std::function<void(state_result)>;
    using on_pending = std::function<void(std::variant<std::size_t, not_done>)>;

    // `timer(delay, call)` runs `call` after `delay`; `now()` reads the clock
    // that leases are measured with.
    job_frontend(Store& store, Timer timer, std::function<time_point()> now,
                 store_health& health, leader_view local,
                 frontend_options options)
        : store_(store), timer_(std::move(timer)), now_(std::move(now)),
          health_(health), leader_view_(std::move(local)), options_(options),
          admission_(options.max_job_memory)
    {}

    // Stores the job. `deadline` is the time at which the caller stops waiting.
    void submit(const jobs::job& j, time_point deadline,
                on_request_result callback)
    {
        if (health_.is_unavailable(now_()))
        {
            callback(request_result::refused);
            return;
        }
        const auto bytes = jobs::memory_of(j);
        if (!admission_.admits(bytes, leader_view_.job_memory(), now_()))
        {
            refuse_unless_stored(j.id, callback);
            return;
        }
        admission_.add(bytes, now_());
        transaction t{inbox_part(j.id),
                      {{inbox_table, j.id.value(), row_version(0)}},
                      {{inbox_table, j.id.value(), jobs::encode_job(j)}},
                      {}};
        create(t, deadline,
               [this, id = j.id,
                callback = std::move(callback)](request_result a) {
                   if (a == request_result::done)
                   {
                       cache_stored_job(id);
                   }
                   callback(a);
               });
    }

    void cancel(const job_id& id, time_point deadline,
                on_request_result callback)
    {
        if (stored_jobs_.contains(id))
        {
            store_cancellation(id, deadline, callback);
            return;
        }
        find_in_inbox(id, [this, id, deadline, callback = std::move(callback)](
                              std::variant<bool, not_done> found) {
            if (std::holds_alternative<not_done>(found))
            {
                callback(request_result::refused);
                return;
            }
            if (!std::get<bool>(found))
            {
                callback(request_result::no_such_job);
                return;
            }
            store_cancellation(id, deadline, callback);
        });
    }

    void state_of(const job_id& id, on_state callback)
    {
        if (const auto finished = finished_jobs_.find(id);
            finished != finished_jobs_.end())
        {
            callback(std::optional(finished->second));
            return;
        }
        if (const auto local = leader_view_.state(id))
        {
            callback(std::optional(*local));
            return;
        }
        row_range range{progress_table, lead_part, id.value(),
                        end_of_job_keys(id), 1};
        store_.read(
            range, options_.call_timeout,
            [this, id, callback = std::move(callback)](read_outcome outcome) {
                record_outcome(outcome);
                if (const auto* const failed = std::get_if<not_done>(&outcome))
                {
                    callback(*failed);
                    return;
                }
                handle_progress(id, std::get<read_rows>(outcome), callback);
            });
    }

    void pending(const std::string& queue, on_pending callback)
    {
        if (const auto local = leader_view_.pending(queue))
        {
            callback(*local);
            return;
        }
        if (now_() - pending_read_at_ < options_.pending_count_max_age)
        {
            callback(pending_of(queue));
            return;
        }
        row_range range{pending_table, lead_part, pending_key, {}, 1};
        store_.read(range, options_.call_timeout,
                    [this, queue,
                     callback = std::move(callback)](read_outcome outcome) {
                        record_outcome(outcome);
                        if (const auto* const failed =
                                std::get_if<not_done>(&outcome))
                        {
                            callback(*failed);
                            return;
                        }
                        update_pending_counts(std::get<read_rows>(outcome));
                        callback(pending_of(queue));
                    });
    }

private:
    using on_inbox_lookup = std::function<void(std::variant<bool, not_done>)>;

    // An insert in progress. Its rows are never modified later, so the call can
    // be repeated, and a conflict means that the rows already exist.
    struct pending_insert
    {
        transaction t;
        time_point deadline;
        on_request_result callback;
        unsigned attempts = 0;
        unsigned outstanding = 0;
        duration retry_delay{};
        bool maybe_stored = false;
        bool is_complete = false;
    };
    using shared_insert = std::shared_ptr<pending_insert>;

    void create(const transaction& t, time_point deadline,
                const on_request_result& callback)
    {
        auto c = std::make_shared<pending_insert>();
        c->t = t;
        c->deadline = deadline;
        c->callback = callback;
        c->retry_delay = options_.initial_retry_delay;
        timer_(std::max(deadline - now_(), duration{}), [this, c] {
            finish(c, c->maybe_stored || c->outstanding > 0
                          ? request_result::unknown
                          : request_result::refused);
        });
        attempt(c);
    }

    void attempt(const shared_insert& c)
    {
        const auto remaining = c->deadline - now_();
        if (c->is_complete || remaining <= duration{} ||
            c->attempts >= options_.max_attempts)
        {
            return;
        }
        ++c->attempts;
        ++c->outstanding;
        store_.transact(c->t, remaining,
                        [this, c](const transaction_outcome& o) {
                            record_outcome(o);
                            --c->outstanding;
                            handle_outcome(c, o);
                        });
        // The connection may be dead or the store slow: sends a second call. A
        // response to the first one still counts.
        timer_(options_.hedge_delay, [this, c] {
            if (c->outstanding > 0)
            {
                attempt(c);
            }
        });
    }

    void handle_outcome(const shared_insert& c,
                        const transaction_outcome& outcome)
    {
        if (std::holds_alternative<committed>(outcome) ||
            std::holds_alternative<conflict>(outcome))
        {
            finish(c, request_result::done);
            return;
        }
        c->maybe_stored =
            c->maybe_stored || std::holds_alternative<outcome_unknown>(outcome);
        if (c->outstanding > 0)
        {
            return;
        }
        if (std::holds_alternative<rejected>(outcome))
        {
            finish(c, c->maybe_stored ? request_result::unknown
                                      : request_result::rejected);
            return;
        }
        // Fails at once so that the caller can try another VM.
        if (health_.is_unavailable(now_()) ||
            c->attempts >= options_.max_attempts)
        {
            finish(c, c->maybe_stored ? request_result::unknown
                                      : request_result::refused);
            return;
        }
        timer_(c->retry_delay, [this, c] { attempt(c); });
        c->retry_delay *= 2;
    }

    void finish(const shared_insert& c, request_result result)
    {
        if (!std::exchange(c->is_complete, true))
        {
            c->callback(result);
        }
    }

    // An earlier attempt with the same id may have stored the job: then it will
    // run, and its caller must not be told otherwise.
    void refuse_unless_stored(const job_id& id,
                              const on_request_result& callback)
    {
        if (stored_jobs_.contains(id))
        {
            callback(request_result::done);
            return;
        }
        find_in_inbox(id, [callback](std::variant<bool, not_done> found) {
            if (std::holds_alternative<not_done>(found))
            {
                callback(request_result::unknown);
                return;
            }
            callback(std::get<bool>(found) ? request_result::done
                                           : request_result::no_memory);
        });
    }

    void store_cancellation(const job_id& id, time_point deadline,
                            const on_request_result& callback)
    {
        transaction t{inbox_part(id),
                      {{inbox_table, cancel_key(id), row_version(0)}},
                      {{inbox_table, cancel_key(id), "{}"}},
                      {}};
        create(t, deadline, callback);
    }

    void find_in_inbox(const job_id& id, on_inbox_lookup on_found)
    {
        row_range range{inbox_table, inbox_part(id), id.value(),
                        end_of_job_keys(id), 1};
        store_.read(
            range, options_.call_timeout,
            [this, id, on_found = std::move(on_found)](read_outcome outcome) {
                record_outcome(outcome);
                if (const auto* const failed = std::get_if<not_done>(&outcome))
                {
                    on_found(*failed);
                    return;
                }
                const auto& rows = std::get<read_rows>(outcome).rows;
                const bool exists =
                    !rows.empty() && rows.front().key == id.value();
                if (exists)
                {
                    cache_stored_job(id);
                }
                on_found(exists);
            });
    }

    void handle_progress(const job_id& id, const read_rows& read,
                         const on_state& callback)
    {
        const auto progress =
            read.rows.empty() ? std::nullopt
                              : jobs::decode_progress(read.rows.front().value);
        if (progress)
        {
            if (is_final(progress->state))
            {
                cache_state(finished_jobs_, id, progress->state);
            }
            callback(std::optional(progress->state));
            return;
        }
        if (stored_jobs_.contains(id))
        {
            callback(std::optional(jobs::job_state::queued));
            return;
        }
        find_in_inbox(id, [callback](std::variant<bool, not_done> found) {
            if (const auto* const failed = std::get_if<not_done>(&found))
            {
                callback(*failed);
                return;
            }
            callback(std::get<bool>(found)
                         ? std::optional(jobs::job_state::queued)
                         : std::nullopt);
        });
    }

    void update_pending_counts(const read_rows& read)
    {
        pending_.clear();
        pending_read_at_ = now_();
        if (read.rows.empty())
        {
            return;
        }
        boost::json::error_code error;
        const auto parsed = boost::json::parse(read.rows.front().value, error);
        if (error || !parsed.is_object())
        {
            log(log_level::warning, "counts of waiting jobs cannot be decoded");
            return;
        }
        for (const auto& entry : parsed.get_object())
        {
            const auto count = entry.value().to_number<std::size_t>(error);
            pending_[std::string(entry.key())] = error ? 0 : count;
        }
    }

    std::size_t pending_of(const std::string& queue) const
    {
        const auto found = pending_.find(queue);
        return found == pending_.end() ? 0 : found->second;
    }

    template <typename Outcome>
    void record_outcome(const Outcome& outcome)
    {
        if (const auto* const failed = std::get_if<not_done>(&outcome))
        {
            health_.on_failure(failed->reason);
            return;
        }
        if constexpr (std::is_same_v<Outcome, transaction_outcome>)
        {
            if (const auto* const unknown =
                    std::get_if<outcome_unknown>(&outcome))
            {
                health_.on_failure(unknown->reason);
                return;
            }
        }
        health_.on_response(now_());
    }

    void cache_stored_job(const job_id& id)
    {
        if (stored_jobs_.size() >= options_.max_cached_jobs)
        {
            stored_jobs_.clear();
        }
        stored_jobs_.insert(id);
    }

    void cache_state(std::map<job_id, jobs::job_state>& into, const job_id& id,
                     jobs::job_state state)
    {
        if (into.size() >= options_.max_cached_jobs)
        {
            into.clear();
        }
        into[id] = state;
    }

    Store& store_;
    Timer timer_;
    std::function<time_point()> now_;
    store_health& health_;
    leader_view leader_view_;
    frontend_options options_;
    job_admission admission_;
    // Jobs whose row is known to be in the store.
    std::set<job_id> stored_jobs_;
    std::map<job_id, jobs::job_state> finished_jobs_;
    std::map<std::string, std::size_t> pending_;
    time_point pending_read_at_{};
};

} // namespace hemlockdeal::node
