// Sends commits until their outcome is known. A commit whose answer was lost
// is sent again unchanged; when that fails, a row that the commit writes tells
// by its commit id whether the first attempt took effect.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "batch/batch_action.hpp"
#include "batch/batch_options.hpp"
#include "batch/drain_limit.hpp"
#include "batch/read_sender.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

struct commit_result
{
    enum class kind
    {
        done,
        refused, // it did not and will not take effect
        expired  // not known when its deadline passed
    };
    kind outcome = kind::done;
    // Empty when the commit was recognised by its id.
    std::vector<row_version> versions;
    // The row by which the commit was recognised, or what is there instead.
    std::optional<table_row> probe;
    // Time from the first attempt until the outcome.
    duration took{};
};

class commit_sender
{
public:
    using handler = std::function<void(const commit_result&, time_point)>;

    commit_sender(const batch_options& options,
                  std::vector<batch_action>& actions, read_sender& reads,
                  drain_limit& drain);

    // The incarnation becomes a part of later commit ids.
    void set_incarnation(incarnation current) { incarnation_ = current; }

    commit_id next_id();

    // `probe` is a row that the commit creates or replaces, with the commit
    // id in its value.
    void submit(table_commit commit, std::string probe, handler done,
                time_point now,
                std::optional<time_point> deadline = std::nullopt);

    void on_outcome(const commit_id& id, const commit_outcome& outcome,
                    time_point now);
    void on_tick(time_point now);

    std::optional<time_point> next_wakeup() const;

    // Whether some commit was sent more than once and has no outcome yet.
    bool is_resending() const;

private:
    struct pending
    {
        table_commit commit;
        std::string probe;
        handler done;
        time_point first_sent;
        std::optional<time_point> resend_at;
        std::optional<time_point> deadline;
        std::uint32_t attempts = 1;
    };

    void settle(const commit_id& id, commit_result outcome, time_point now);
    void probe(const commit_id& id);
    void on_conflict(const commit_id& id, const commit_conflict& conflict,
                     time_point now);
    void on_probe(const commit_id& id, const std::optional<table_row>& row,
                  time_point now);

    const batch_options& options_;
    std::vector<batch_action>& actions_;
    read_sender& reads_;
    drain_limit& drain_;
    incarnation incarnation_;
    std::uint64_t counter_ = 0;
    std::map<commit_id, pending> pending_;
};

} // namespace hemlockdeal
