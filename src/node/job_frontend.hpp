// Handles job requests on each entry VM: submission, state, cancellation and
// the number of waiting jobs. All state goes through the store, so any VM can
// serve any job.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "jobs/jobs.hpp"
#include "node/concepts.hpp"
#include "node/job_admission.hpp"
#include "node/known_jobs.hpp"
#include "node/pending_counts.hpp"
#include "node/request_result.hpp"
#include "node/row_inserter.hpp"
#include "node/store_health.hpp"
#include "node/store_outcome.hpp"
#include "node/store_tables.hpp"
#include "node/withdrawal_budget.hpp"

namespace hemlockdeal::node
{

struct frontend_options
{
    // Timeout of a read.
    duration call_timeout = std::chrono::milliseconds(1500);
    insert_options inserts;
    // How long a cached count of waiting jobs is used.
    duration pending_count_max_age = std::chrono::milliseconds(700);
    std::size_t max_cached_jobs = 20000;
    // Estimated memory of accepted jobs, in bytes, up to which further ones are
    // accepted.
    std::size_t max_job_memory = std::size_t{64} << 20U;
    // Switches on the decisions under load.
    bool overload_control = false;
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
    // What the leader has published of the memory of an account's jobs. Not set
    // where there are no accounts.
    std::function<account_memory(const accounts::account_policy&)>
        memory_of_account{};
    // The account that owns the job. Empty if this VM does not lead or does not
    // know the job, or if the job has no owner.
    std::function<account_id(const job_id&)> owner{};
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
        : store_(store), now_(std::move(now)), health_(health),
          leader_view_(std::move(local)), options_(options),
          admission_(options.max_job_memory),
          inserter_(store, std::move(timer), now_, health, options.inserts),
          known_(options.max_cached_jobs),
          pending_(options.pending_count_max_age)
    {}

    // Stores the job. `deadline` is the time at which the caller stops waiting.
    // The account of the job has the cap that is in force.
    void submit(const jobs::job& j, time_point deadline,
                on_request_result callback)
    {
        if (health_.is_unavailable(now_()))
        {
            callback(request_result::refused);
            return;
        }
        if (const auto refusal = refusal_of(j))
        {
            refuse_unless_stored(j.id, *refusal, callback);
            return;
        }
        admission_.add(jobs::memory_of(j), account_of(j), now_());
        const transaction t{inbox_part(j.id),
                            {{inbox_table, j.id.value(), row_version(0)},
                             {inbox_table, withdrawal_key(j.id, account_of(j)),
                              row_version(0)}},
                            {{inbox_table, j.id.value(), jobs::encode_job(j)}},
                            {}};
        inserter_.insert(
            t, deadline,
            [this, id = j.id, account = account_of(j),
             callback = std::move(callback)](request_result result,
                                             const conflict* found) {
                callback(result_of_submission(id, account, result, found));
            });
    }

    // Stores the cancellation if there is such a job, and otherwise that its
    // submission, which may be under way, is withdrawn. `caller` is the account
    // of the caller, empty if it has shown none; the jobs of other accounts do
    // not exist for it.
    void cancel(const job_id& id, const account_id& caller, time_point deadline,
                on_request_result callback)
    {
        if (known_.is_stored(id))
        {
            cancel_stored(id, caller, deadline, callback);
            return;
        }
        find_in_inbox(
            id, [this, id, caller, deadline, callback = std::move(callback)](
                    std::variant<bool, not_done> found) {
                if (std::holds_alternative<not_done>(found))
                {
                    callback(request_result::refused);
                    return;
                }
                if (!std::get<bool>(found))
                {
                    withdraw(id, caller, deadline, callback);
                    return;
                }
                cancel_stored(id, caller, deadline, callback);
            });
    }

    // Looks the job's state up, in memory if it is known there. `caller` is the
    // account of the caller, empty if it has shown none; the jobs of other
    // accounts do not exist for it where this VM knows their owners.
    void state_of(const job_id& id, const account_id& caller, on_state callback)
    {
        if (!may_be_shown_to(id, caller))
        {
            callback(std::optional<jobs::job_state>());
            return;
        }
        if (const auto state = known_.final_state(id))
        {
            callback(state);
            return;
        }
        if (const auto local = leader_view_.state(id))
        {
            callback(local);
            return;
        }
        row_range range{progress_table, lead_part, id.value(),
                        end_of_job_keys(id), 1};
        store_.read(range, options_.call_timeout,
                    [this, id, caller,
                     callback = std::move(callback)](read_outcome outcome) {
                        record_outcome(health_, outcome, now_());
                        if (const auto* const failed =
                                std::get_if<not_done>(&outcome))
                        {
                            callback(*failed);
                            return;
                        }
                        handle_progress(id, caller,
                                        std::get<read_rows>(outcome), callback);
                    });
    }

    // Counts the waiting jobs of the queue.
    void pending(const std::string& queue, on_pending callback)
    {
        if (const auto local = leader_view_.pending(queue))
        {
            callback(*local);
            return;
        }
        if (pending_.is_current(now_()))
        {
            callback(pending_.of(queue));
            return;
        }
        row_range range{pending_table, lead_part, pending_key, {}, 1};
        store_.read(range, options_.call_timeout,
                    [this, queue,
                     callback = std::move(callback)](read_outcome outcome) {
                        record_outcome(health_, outcome, now_());
                        if (const auto* const failed =
                                std::get_if<not_done>(&outcome))
                        {
                            callback(*failed);
                            return;
                        }
                        pending_.update(std::get<read_rows>(outcome), now_());
                        callback(pending_.of(queue));
                    });
    }

private:
    using on_inbox_lookup = std::function<void(std::variant<bool, not_done>)>;

    static account_id account_of(const jobs::job& j)
    {
        return j.account ? j.account->id : account_id();
    }

    // False if the job is known to belong to another account than the caller's.
    bool may_be_shown_to(const job_id& id, const account_id& caller) const
    {
        if (!known_.may_be_shown_to(id, caller))
        {
            return false;
        }
        const auto owner =
            leader_view_.owner ? leader_view_.owner(id) : account_id();
        return owner.empty() || caller.empty() || owner == caller;
    }

    // Why the job is not accepted; empty if nothing speaks against it.
    std::optional<request_result> refusal_of(const jobs::job& j)
    {
        if (jobs::exceeds_cap(j))
        {
            return request_result::over_account_cap;
        }
        const auto owner = j.account && leader_view_.memory_of_account
                               ? leader_view_.memory_of_account(*j.account)
                               : account_memory{};
        const auto result = admission_.admit(
            jobs::memory_of(j), leader_view_.job_memory(), owner, now_());
        switch (result)
        {
        case admission_result::no_memory:
            return request_result::no_memory;
        case admission_result::no_account_memory:
            return request_result::no_account_memory;
        case admission_result::admitted:
            break;
        }
        return std::nullopt;
    }

    // An earlier attempt with the same id may have stored the job: then it will
    // run, and its caller must not be told otherwise.
    void refuse_unless_stored(const job_id& id, request_result refusal,
                              const on_request_result& callback)
    {
        if (known_.is_stored(id))
        {
            callback(request_result::done);
            return;
        }
        find_in_inbox(id, [callback,
                           refusal](std::variant<bool, not_done> found) {
            if (std::holds_alternative<not_done>(found))
            {
                callback(request_result::unknown);
                return;
            }
            callback(std::get<bool>(found) ? request_result::done : refusal);
        });
    }

    void cancel_stored(const job_id& id, const account_id& caller,
                       time_point deadline, const on_request_result& callback)
    {
        if (!may_be_shown_to(id, caller))
        {
            callback(request_result::no_such_job);
            return;
        }
        store_cancellation(id, deadline, callback);
    }

    void store_cancellation(const job_id& id, time_point deadline,
                            const on_request_result& callback)
    {
        const transaction t{inbox_part(id),
                            {{inbox_table, cancel_key(id), row_version(0)}},
                            {{inbox_table, cancel_key(id), "{}"}},
                            {}};
        inserter_.insert(
            t, deadline,
            [callback](request_result result, const conflict* /*found*/) {
                callback(result);
            });
    }

    request_result result_of_submission(const job_id& id,
                                        const account_id& account,
                                        request_result result,
                                        const conflict* found)
    {
        if (result != request_result::done)
        {
            return result;
        }
        if (found != nullptr && !contains(*found, id.value()))
        {
            // Without one of the two rows, it is not known why nothing was
            // stored.
            return contains(*found, withdrawal_key(id, account))
                       ? request_result::withdrawn
                       : request_result::unknown;
        }
        // A row that was there may be the job of another account: its owner is
        // read when it is needed.
        if (found == nullptr || account.empty())
        {
            known_.add_stored(id, account);
        }
        return request_result::done;
    }

    // Stores a withdrawal, unless the job has been stored in the meantime.
    void withdraw(const job_id& id, const account_id& caller,
                  time_point deadline, const on_request_result& callback)
    {
        if (!withdrawals_.take(now_()))
        {
            callback(request_result::refused);
            return;
        }
        const auto key = withdrawal_key(id, caller);
        const transaction t{inbox_part(id),
                            {{inbox_table, id.value(), row_version(0)},
                             {inbox_table, key, row_version(0)}},
                            {{inbox_table, key, "{}"}},
                            {}};
        inserter_.insert(
            t, deadline,
            [this, id, caller, deadline, callback](request_result result,
                                                   const conflict* found) {
                if (result != request_result::done)
                {
                    callback(result);
                    return;
                }
                if (found == nullptr ||
                    contains(*found, withdrawal_key(id, caller)))
                {
                    callback(request_result::no_such_job);
                    return;
                }
                const auto* const job = find_row(*found, id.value());
                if (job == nullptr)
                {
                    // The rows in the response could not be read.
                    callback(request_result::unknown);
                    return;
                }
                known_.add_stored(id, jobs::account_of_row(job->value));
                cancel_stored(id, caller, deadline, callback);
            });
    }

    // Null if the row does not exist.
    static const stored_row* find_row(const conflict& found,
                                      const std::string& key)
    {
        const auto row =
            std::ranges::find_if(found.current, [&](const stored_row& current) {
                return current.key == key && !current.is_removed &&
                       current.version != row_version(0);
            });
        return row == found.current.end() ? nullptr : &*row;
    }

    static bool contains(const conflict& found, const std::string& key)
    {
        return find_row(found, key) != nullptr;
    }

    void find_in_inbox(const job_id& id, on_inbox_lookup on_found)
    {
        row_range range{inbox_table, inbox_part(id), id.value(),
                        end_of_job_keys(id), 1};
        store_.read(
            range, options_.call_timeout,
            [this, id, on_found = std::move(on_found)](read_outcome outcome) {
                record_outcome(health_, outcome, now_());
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
                    known_.add_stored(id,
                                      jobs::account_of_row(rows.front().value));
                }
                on_found(exists);
            });
    }

    void handle_progress(const job_id& id, const account_id& caller,
                         const read_rows& read, const on_state& callback)
    {
        const auto progress =
            read.rows.empty() ? std::nullopt
                              : jobs::decode_progress(read.rows.front().value);
        if (progress)
        {
            if (is_final(progress->state))
            {
                known_.add_finished(id, progress->state);
            }
            callback(std::optional(progress->state));
            return;
        }
        if (known_.is_stored(id))
        {
            callback(std::optional(jobs::job_state::queued));
            return;
        }
        find_in_inbox(id, [this, id, caller,
                           callback](std::variant<bool, not_done> found) {
            if (const auto* const failed = std::get_if<not_done>(&found))
            {
                callback(*failed);
                return;
            }
            // The row has told the owner.
            callback(std::get<bool>(found) && may_be_shown_to(id, caller)
                         ? std::optional(jobs::job_state::queued)
                         : std::nullopt);
        });
    }

    Store& store_;
    std::function<time_point()> now_;
    store_health& health_;
    leader_view leader_view_;
    frontend_options options_;
    job_admission admission_;
    row_inserter<Store, Timer> inserter_;
    known_jobs known_;
    pending_counts pending_;
    withdrawal_budget withdrawals_;
};

} // namespace hemlockdeal::node
