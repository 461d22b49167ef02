// Several daemons' batch cores over a fake table, fake workers and one clock,
// with faults. It checks the guarantees after every step and collects what it
// finds wrong.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "batch/batch.hpp"
#include "batch/fake_table.hpp"
#include "batch/fake_worker.hpp"
#include "batch/job_reader.hpp"

namespace hemlockdeal::test
{

struct cluster_options
{
    std::uint64_t seed = 1;
    std::uint32_t zones = 2;
    std::uint32_t daemons_per_zone = 2;
    std::uint32_t workers_per_zone = 4;
    std::uint32_t shards_per_zone = 2;
    batch_safeguards safeguards;
    bool workers_fence = true;
};

// How the membership list names a worker.
enum class entry_fault
{
    none,
    malformed,
    without_id
};

// Network and table faults that hold now.
struct cluster_faults
{
    bool table_down = false;
    duration table_delay{};
    // How long the rows of a page are on their way.
    duration page_transfer{};
    double lose_answer = 0.0;
    double duplicate = 0.0;
    double lose_worker_message = 0.0;
    duration worker_delay{};
};

class cluster
{
public:
    explicit cluster(const cluster_options& options);
    ~cluster();

    // Runs all events until now + d.
    void run_for(duration d);
    // Runs until `done` or the limit; returns whether it was done.
    bool run_until(const std::function<bool()>& done, duration limit);

    // Requests through the daemon; answers are kept in `answers`.
    std::uint64_t submit(std::size_t daemon, const std::string& job,
                         std::uint32_t tasks, duration run_time,
                         std::int64_t millicores_each,
                         const std::string& class_name = "batch");
    std::uint64_t cancel(std::size_t daemon, const std::string& job);
    // Repeats every cancellation, for the final outcome.
    void cancel_again();
    std::uint64_t query(std::size_t daemon, const std::string& job);

    void pause(std::size_t daemon, duration d);
    void replace(std::size_t daemon, duration absent);
    void stop(std::size_t daemon);
    bool stopped(std::size_t daemon) const;
    void cut_from_table(std::size_t daemon, bool cut);
    void cut_from_workers(std::size_t daemon, bool cut);
    void kill_worker(std::size_t worker);
    void set_zone_out(std::size_t zone, bool out);
    // Publishes a new list with the worker's entry changed.
    void set_entry_fault(std::size_t worker, entry_fault fault);
    // Daemons drop VMs whose entries are malformed, as if they were removed.
    bool drops_malformed_entries = false;

    // Every accepted job is over: finished, cancelled or failed for good.
    bool all_over() const;
    // Checks the durable states against what the workers counted.
    void check_results();
    std::size_t daemon_count() const { return daemons_.size(); }
    std::size_t shards_owned() const;
    std::size_t shards_owned_by(std::size_t index) const;
    std::size_t worker_count() const { return workers_.size(); }
    fake_worker& worker(std::size_t i) { return *workers_[i].worker; }
    fake_table& table() { return table_; }
    time_point now() const { return now_; }
    std::uint32_t finishes(const std::string& job) const;
    std::uint32_t starts(const std::string& job) const;
    std::uint32_t resumes() const { return resumes_; }

    cluster_faults faults;
    std::map<std::uint64_t, operator_reply> answers;
    std::vector<std::string> violations;

private:
    struct daemon;
    struct worker_vm
    {
        std::unique_ptr<fake_worker> worker;
        std::size_t zone = 0;
        bool listed = true;
        entry_fault fault = entry_fault::none;
    };
    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct task_history
    {
        std::uint32_t starts = 0;
        std::uint32_t finishes = 0;
        bool result_destroyed = false;
        std::optional<duration> stopped_at; // checkpoint of the last stop
    };

    std::uint64_t random();
    bool chance(double probability);
    duration latency();
    void at(time_point t, std::function<void()> run);
    // Runs on the daemon unless it was replaced; waits while it is paused.
    void on_daemon(std::size_t index, std::function<void(daemon&)> run);
    void after_event(std::size_t index);
    void carry_out(std::size_t index, batch_action action);
    void send(std::size_t index, const send_commit& action);
    // `transfer` is the time from the first byte of the answer to its last.
    void read(std::size_t index,
              const std::function<std::function<void(daemon&, bool)>()>& look,
              duration transfer = {});
    void
    commit(std::size_t index, const table_commit& c,
           const std::function<void(daemon&, const commit_outcome&)>& done);
    void
    to_worker(std::size_t index, const worker_id& id,
              const std::function<std::function<void(daemon&)>(fake_worker*)>&
                  exchange,
              const std::function<void(daemon&)>& unreachable);
    void send(std::size_t index, const ask_for_report& action);
    void send(std::size_t index, const send_commands& action);
    void send(std::size_t index, const send_to_peer& action);
    void check_lease(const daemon& d, const char* what);
    fake_worker* find_worker(const worker_id& id);
    void tick(std::size_t index);
    void renew_lease(std::size_t index);
    void take_lease_conflict(daemon& owner, const commit_conflict& c);
    void request(std::size_t index, std::uint64_t number,
                 operator_request body);
    void take_answer(const operator_answer& answer);
    std::optional<job_state> durable_state(const std::string& job) const;
    void control(std::size_t index);
    void start_daemon(std::size_t index);
    void publish_members();
    received_membership received_list() const;
    membership_list members(daemon& d) const;
    void add_worker(std::size_t zone);
    void on_started(const fake_worker& worker, const worker_command& command,
                    const run_of_task& run);
    // Records runs that ended since the last look.
    void note_ends(const fake_worker& worker);
    void check_drop(const daemon& d, const timeline_event& event);
    void note_intents(const table_commit& commit);
    void check_takeover(const table_commit& commit);
    void violation(const std::string& text);

    cluster_options options_;
    std::uint64_t random_;
    time_point now_{std::chrono::seconds(1000)};
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
    fake_table table_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::vector<worker_vm> workers_;
    std::uint64_t list_version_ = 1;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_worker_ = 0;
    configuration newest_;
    std::map<std::size_t, time_point> zone_out_since_;
    std::map<task_id, task_history> history_;
    std::set<task_attempt> seen_over_;
    std::set<std::pair<task_attempt, worker_id>> intents_;
    std::map<std::string, std::uint32_t> accepted_; // job and tasks
    std::set<std::string> cancelled_;
    std::set<std::string> never_ran_;
    std::map<std::uint64_t, job_submission> submissions_;
    std::uint32_t resumes_ = 0;
};

} // namespace hemlockdeal::test
