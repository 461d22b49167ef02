// Answers callers on each entry VM: takes jobs in, shows their state, cancels
// them. Everything goes through the store, so that any VM can answer.
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
#include "node/store_health.hpp"
#include "node/store_tables.hpp"
#include "observe/logging.hpp"

namespace hemlockdeal::node
{

// The answer to a submission or a cancellation.
enum class desk_answer
{
    done,
    // Nothing was done, and nothing will be.
    refused,
    // No job has this id.
    no_such_job,
    // The store's answer did not come: it may have been done.
    unknown
};

struct desk_options
{
    // A read.
    duration call_timeout = std::chrono::milliseconds(1500);
    // A write has until the caller's deadline; a second call goes out after
    // this time without an answer.
    duration second_call = std::chrono::milliseconds(1000);
    duration first_retry = std::chrono::milliseconds(40);
    unsigned max_attempts = 5;
    // A cached count of waiting jobs.
    duration pending_age = std::chrono::milliseconds(700);
    std::size_t remembered_jobs = 20000;
};

// What the leader on this VM knows without a call to the store.
struct local_knowledge
{
    // The state as the store has it or will have it, for jobs that are not
    // over or whose end is stored.
    std::function<std::optional<jobs::job_state>(const job_id&)> state;
    std::function<std::optional<std::size_t>(const std::string&)> pending;
};

template <row_store Store, typename Timer>
class front_desk
{
public:
    using on_desk_answer = std::function<void(desk_answer)>;
    // Empty: no such job.
    using state_answer = std::variant<std::optional<jobs::job_state>, not_done>;
    using on_state = std::function<void(state_answer)>;
    using on_pending = std::function<void(std::variant<std::size_t, not_done>)>;

    // `timer(delay, call)` calls later; `now()` reads the clock of leases.
    front_desk(Store& store, Timer timer, std::function<time_point()> now,
               store_health& health, local_knowledge local,
               desk_options options)
        : store_(store), timer_(std::move(timer)), now_(std::move(now)),
          health_(health), local_(std::move(local)), options_(options)
    {}

    // Stores the job; `deadline` is when the caller stops waiting.
    void submit(const jobs::job& j, time_point deadline, on_desk_answer answer)
    {
        if (health_.is_away(now_()))
        {
            answer(desk_answer::refused);
            return;
        }
        transaction t{inbox_part(j.id),
                      {{inbox_table, j.id.value(), row_version(0)}},
                      {{inbox_table, j.id.value(), jobs::encode_job(j)}},
                      {}};
        create(t, deadline,
               [this, id = j.id, answer = std::move(answer)](desk_answer a) {
                   if (a == desk_answer::done)
                   {
                       remember(id);
                   }
                   answer(a);
               });
    }

    void cancel(const job_id& id, time_point deadline, on_desk_answer answer)
    {
        if (known_.contains(id))
        {
            store_cancellation(id, deadline, answer);
            return;
        }
        find_in_inbox(id, [this, id, deadline, answer = std::move(answer)](
                              std::variant<bool, not_done> found) {
            if (std::holds_alternative<not_done>(found))
            {
                answer(desk_answer::refused);
                return;
            }
            if (!std::get<bool>(found))
            {
                answer(desk_answer::no_such_job);
                return;
            }
            store_cancellation(id, deadline, answer);
        });
    }

    void state_of(const job_id& id, on_state answer)
    {
        if (const auto over = over_.find(id); over != over_.end())
        {
            answer(std::optional(over->second));
            return;
        }
        if (const auto local = local_.state(id))
        {
            answer(std::optional(*local));
            return;
        }
        row_range range{progress_table, lead_part, id.value(),
                        end_of_job_keys(id), 1};
        store_.read(
            range, options_.call_timeout,
            [this, id, answer = std::move(answer)](read_outcome outcome) {
                note(outcome);
                if (const auto* const failed = std::get_if<not_done>(&outcome))
                {
                    answer(*failed);
                    return;
                }
                take_progress(id, std::get<read_rows>(outcome), answer);
            });
    }

    void pending(const std::string& queue, on_pending answer)
    {
        if (const auto local = local_.pending(queue))
        {
            answer(*local);
            return;
        }
        if (now_() - pending_read_at_ < options_.pending_age)
        {
            answer(pending_of(queue));
            return;
        }
        row_range range{pending_table, lead_part, pending_key, {}, 1};
        store_.read(
            range, options_.call_timeout,
            [this, queue, answer = std::move(answer)](read_outcome outcome) {
                note(outcome);
                if (const auto* const failed = std::get_if<not_done>(&outcome))
                {
                    answer(*failed);
                    return;
                }
                take_pending(std::get<read_rows>(outcome));
                answer(pending_of(queue));
            });
    }

private:
    using found_in_inbox = std::function<void(std::variant<bool, not_done>)>;

    // Rows on their way into the store. Nobody changes them, so that the call
    // may be repeated, and a conflict means that they are there.
    struct creation
    {
        transaction t;
        time_point deadline;
        on_desk_answer answer;
        unsigned attempts = 0;
        unsigned outstanding = 0;
        duration retry{};
        bool maybe_done = false;
        bool is_answered = false;
    };
    using shared_creation = std::shared_ptr<creation>;

    void create(const transaction& t, time_point deadline,
                const on_desk_answer& answer)
    {
        auto c = std::make_shared<creation>();
        c->t = t;
        c->deadline = deadline;
        c->answer = answer;
        c->retry = options_.first_retry;
        timer_(std::max(deadline - now_(), duration{}), [this, c] {
            finish(c, c->maybe_done || c->outstanding > 0
                          ? desk_answer::unknown
                          : desk_answer::refused);
        });
        attempt(c);
    }

    void attempt(const shared_creation& c)
    {
        const auto left = c->deadline - now_();
        if (c->is_answered || left <= duration{} ||
            c->attempts >= options_.max_attempts)
        {
            return;
        }
        ++c->attempts;
        ++c->outstanding;
        store_.transact(c->t, left, [this, c](const transaction_outcome& o) {
            note(o);
            --c->outstanding;
            take(c, o);
        });
        // The connection may have gone silent, or the store may be slow: a
        // second call goes out, and the first one may still answer.
        timer_(options_.second_call, [this, c] {
            if (c->outstanding > 0)
            {
                attempt(c);
            }
        });
    }

    void take(const shared_creation& c, const transaction_outcome& outcome)
    {
        if (std::holds_alternative<committed>(outcome) ||
            std::holds_alternative<conflict>(outcome))
        {
            finish(c, desk_answer::done);
            return;
        }
        c->maybe_done =
            c->maybe_done || std::holds_alternative<outcome_unknown>(outcome);
        if (c->outstanding > 0)
        {
            return;
        }
        // A caller that hears at once can go to another VM.
        if (health_.is_away(now_()) || c->attempts >= options_.max_attempts)
        {
            finish(c,
                   c->maybe_done ? desk_answer::unknown : desk_answer::refused);
            return;
        }
        timer_(c->retry, [this, c] { attempt(c); });
        c->retry *= 2;
    }

    void finish(const shared_creation& c, desk_answer answer)
    {
        if (!std::exchange(c->is_answered, true))
        {
            c->answer(answer);
        }
    }

    void store_cancellation(const job_id& id, time_point deadline,
                            const on_desk_answer& answer)
    {
        transaction t{inbox_part(id),
                      {{inbox_table, cancel_key(id), row_version(0)}},
                      {{inbox_table, cancel_key(id), "{}"}},
                      {}};
        create(t, deadline, answer);
    }

    void find_in_inbox(const job_id& id, found_in_inbox found)
    {
        row_range range{inbox_table, inbox_part(id), id.value(),
                        end_of_job_keys(id), 1};
        store_.read(range, options_.call_timeout,
                    [this, id, found = std::move(found)](read_outcome outcome) {
                        note(outcome);
                        if (const auto* const failed =
                                std::get_if<not_done>(&outcome))
                        {
                            found(*failed);
                            return;
                        }
                        const auto& rows = std::get<read_rows>(outcome).rows;
                        const bool is_there =
                            !rows.empty() && rows.front().key == id.value();
                        if (is_there)
                        {
                            remember(id);
                        }
                        found(is_there);
                    });
    }

    void take_progress(const job_id& id, const read_rows& read,
                       const on_state& answer)
    {
        const auto progress =
            read.rows.empty() ? std::nullopt
                              : jobs::decode_progress(read.rows.front().value);
        if (progress)
        {
            if (is_final(progress->state))
            {
                keep(over_, id, progress->state);
            }
            answer(std::optional(progress->state));
            return;
        }
        if (known_.contains(id))
        {
            answer(std::optional(jobs::job_state::queued));
            return;
        }
        find_in_inbox(id, [answer](std::variant<bool, not_done> found) {
            if (const auto* const failed = std::get_if<not_done>(&found))
            {
                answer(*failed);
                return;
            }
            answer(std::get<bool>(found)
                       ? std::optional(jobs::job_state::queued)
                       : std::nullopt);
        });
    }

    void take_pending(const read_rows& read)
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
            log(log_level::warning, "counts of waiting jobs cannot be read");
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
    void note(const Outcome& outcome)
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
        health_.on_answer(now_());
    }

    void remember(const job_id& id)
    {
        if (known_.size() >= options_.remembered_jobs)
        {
            known_.clear();
        }
        known_.insert(id);
    }

    void keep(std::map<job_id, jobs::job_state>& into, const job_id& id,
              jobs::job_state state)
    {
        if (into.size() >= options_.remembered_jobs)
        {
            into.clear();
        }
        into[id] = state;
    }

    Store& store_;
    Timer timer_;
    std::function<time_point()> now_;
    store_health& health_;
    local_knowledge local_;
    desk_options options_;
    // Jobs whose row was seen in the store.
    std::set<job_id> known_;
    std::map<job_id, jobs::job_state> over_;
    std::map<std::string, std::size_t> pending_;
    time_point pending_read_at_{};
};

} // namespace hemlockdeal::node
