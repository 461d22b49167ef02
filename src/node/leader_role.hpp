// The leader role of an entry VM: acquires the lease, recovers state from the
// store, passes workers' responses to the scheduler, executes its orders and
// stores the state that must survive a takeover.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "jobs/jobs.hpp"
#include "node/change_part.hpp"
#include "node/concepts.hpp"
#include "node/job_admission.hpp"
#include "node/leader_stats.hpp"
#include "node/lease_record.hpp"
#include "node/response_time.hpp"
#include "node/row_barrier.hpp"
#include "node/row_pages.hpp"
#include "node/store_health.hpp"
#include "node/store_outcome.hpp"
#include "node/store_tables.hpp"
#include "node/withdrawal_expiry.hpp"
#include "observe/logging.hpp"

namespace hemlockdeal::node
{

struct leader_options
{
    jobs::scheduler_options scheduler;
    // Estimated memory of accepted jobs, in bytes, up to which further ones are
    // accepted.
    std::size_t max_job_memory = std::size_t{64} << 20U;
    // Between two reads of the lease row while another VM leads.
    duration lease_poll_interval = std::chrono::milliseconds(400);
    // Bounds the delay that a dead connection can cause.
    duration read_timeout = std::chrono::milliseconds(1000);
    // Minimum time between two leader transactions.
    duration flush_interval = std::chrono::milliseconds(20);
    // The same while placed tasks wait for the transaction before they start.
    duration urgent_flush_interval = std::chrono::milliseconds(12);
    // After this time, a transaction is sent just to renew the lease.
    duration renewal_interval = std::chrono::milliseconds(400);
    duration retry_delay = std::chrono::milliseconds(120);
    duration feed_wait = std::chrono::milliseconds(1500);
    duration worker_list_poll_interval = std::chrono::milliseconds(500);
    duration pending_interval = std::chrono::milliseconds(500);
    // Between two updates of the memory that is published with the lease.
    duration job_memory_interval = std::chrono::milliseconds(300);
    // Between two writes of the learnt interference. Losing the last few
    // seconds of it costs little.
    duration learnt_interval = std::chrono::seconds(3);
    // Between two decisions if no event occurs.
    duration idle_decision_interval = std::chrono::milliseconds(60);
    duration min_decision_interval = std::chrono::milliseconds(8);
};

template <row_store Store, worker_port Workers, worker_list List>
class leader_role
{
public:
    struct clocks
    {
        std::function<time_point()> now;
        std::function<std::chrono::milliseconds()> unix_now;
        // Runs the call after the delay, on the event loop.
        std::function<void(duration, std::function<void()>)> later;
    };

    leader_role(Store& store, Workers& workers, List& list, clocks clock,
                store_health& health, jobs::leadership lead,
                leader_options options)
        : store_(store), workers_(workers), list_(list), clock_(clock),
          health_(health), lead_(std::move(lead)), options_(options)
    {}

    // Delays a takeover so that VMs do not compete for a free lease; VMs closer
    // to the store get a shorter delay.
    void set_takeover_delay(duration delay) { takeover_delay_ = delay; }
    // True if the lease row names a current or past leader.
    bool has_seen_leader() const { return lead_.epoch() > 0; }
    // Memory in bytes that the accepted jobs take in the leader, as far as this
    // VM knows.
    std::uint64_t job_memory() const { return lead_.job_memory(); }
    // What this VM knows of the memory of an account's jobs.
    account_memory memory_of(const accounts::account_policy& policy) const
    {
        const auto& published = lead_.account_memory();
        const auto found = published.find(policy.id);
        return {policy.id, found == published.end() ? 0 : found->second,
                share_of(policy)};
    }
    // Fraction by which this VM's processor share is below the last leader's.
    double processor_deficit() const { return lead_.processor_deficit(); }

    void
    set_services(const std::map<service_id, jobs::service_policy>& services)
    {
        services_ = services;
        if (scheduler_)
        {
            scheduler_->set_services(services_);
            request_decision();
        }
    }

    // The client accounts of a version of the configuration that this VM has
    // adopted.
    void set_accounts(const accounts::account_directory& accounts,
                      configuration_version version)
    {
        configuration_ = version;
        if (accounts.empty() && !has_accounts_ && limits_.policies().empty())
        {
            return;
        }
        has_accounts_ = !accounts.empty();
        total_weight_ = accounts.total_weight();
        limits_.adopt(accounts, clock_.now(),
                      options_.scheduler.configuration_delay);
        if (scheduler_)
        {
            scheduler_->set_account_limits(limits_);
            request_decision();
        }
    }

    void set_closed_zones(const std::set<availability_zone_id>& zones)
    {
        closed_zones_ = zones;
        if (scheduler_)
        {
            scheduler_->set_closed_zones(closed_zones_);
            request_decision();
        }
    }

    // Must be called every few milliseconds.
    void tick();

    // Releases the lease so that another VM can lead; complete once
    // `has_stepped_down()` is true.
    void step_down()
    {
        is_stepping_down_ = true;
        request_decision();
    }
    bool has_stepped_down() const
    {
        return is_stepping_down_ && !lead_.leads();
    }
    bool leads() const { return scheduler_ != nullptr && is_active_; }

    std::optional<jobs::job_state> state_of(const job_id& id) const;
    std::optional<std::size_t> pending_of(const std::string& queue) const;
    // The account that owns the job; empty if the job has none or this VM does
    // not know it.
    account_id owner_of(const job_id& id) const;
    leader_stats stats() const;

private:
    // A transaction that is in flight or waits to be retried.
    struct leader_transaction
    {
        transaction t;
        jobs::lease_write lease;
        time_point sent_at{};
        bool has_changes = false;
        // A part of changes that the store has rejected as a whole.
        bool is_part = false;
        // Jobs whose final state the transaction stores.
        std::vector<std::pair<job_id, jobs::job_state>> ended;
    };

    // Rows of the progress table that belong to one job.
    struct stored_progress
    {
        std::optional<std::string> main_row;
        std::map<std::uint32_t, std::string> history_rows;
    };

    void poll_lease();
    void handle_lease_read(const read_outcome& outcome, time_point sent_at);
    // Reads the record of the epoch in place of the malformed lease row.
    void read_epoch_record(row_version lease_version, time_point sent_at);
    void handle_malformed_lease(const read_rows& record,
                                row_version lease_version, time_point sent_at);
    void try_takeover(time_point now);
    void send(leader_transaction tx);
    void on_outcome(const leader_transaction& tx,
                    const transaction_outcome& outcome);
    void on_committed(const leader_transaction& tx, row_version version);
    void check_lease_row(const leader_transaction& tx);
    void note_store_time(std::optional<store_time> read, time_point sent_at);
    void on_leadership_lost(std::string_view cause);
    void retry_later(const leader_transaction& tx);
    // Finds the row that the store does not accept: the changes are stored in
    // smaller and smaller parts.
    void on_rejected(leader_transaction tx, const std::string& reason);
    void leave_out(const change_part& row, const std::string& reason);
    void send_next_part();
    // The last part is stored or left out.
    void complete_parts();
    void on_changes_stored(
        const std::vector<std::pair<job_id, jobs::job_state>>& ended);

    void begin_recovery();
    // Passes each page to the callback.
    void read_table(const row_pages& pages, std::uint64_t epoch,
                    std::function<void(read_rows)> callback);
    // Reads all parts of the inbox and sets the feed's position.
    void read_inbox(std::function<void(const stored_row&)> on_row,
                    std::function<void()> callback);
    void recover_inbox();
    void take_progress_row(const stored_row& row);
    // Passes a job from the inbox and its progress to the scheduler.
    void recover_job(const stored_row& row);
    // Empty if a row cannot be decoded.
    static std::optional<jobs::job_progress>
    decode(const stored_progress& stored);
    void recover_fleet();
    void recover_learnt();
    void finish_recovery();

    void poll_inbox();
    void apply_inbox_row(const stored_row& row);
    void remove_old_withdrawals();
    void poll_worker_list();
    void apply_worker_changes(const worker_changes& changes);

    void flush(time_point now);
    // When the leases of earlier leaders end, for a leader that has granted
    // none because its recovery is not complete.
    std::optional<store_time> inherited_leases_end() const;
    void update_job_memory(time_point now);
    void flush_parts(time_point now);
    // Writes the lease alone.
    void renew();
    static transaction lease_transaction(const jobs::lease_write& lease);
    leader_transaction make_transaction(const jobs::lease_write& lease,
                                        time_point now);
    void add_changes(leader_transaction& tx);
    void add_pending(leader_transaction& tx, time_point now);
    void add_learnt(leader_transaction& tx, time_point now);
    void decide(time_point now);
    void execute(const jobs::start_order& order);
    void execute(const jobs::stop_order& order);
    void execute(const jobs::pace_order& order);
    void execute(const jobs::poll_order& order);
    void execute(const jobs::advice_request& request);
    const jobs::worker_entry* entry_of(const worker_id& id) const;
    void log_events();
    // Weight of the account in proportion to the weights of all accounts.
    double share_of(const accounts::account_policy& policy) const
    {
        return total_weight_ <= 0 ? 1.0
                                  : static_cast<double>(policy.weight) /
                                        static_cast<double>(total_weight_);
    }
    // Publishes the memory of accounts above their share while it is short.
    void update_account_memory(std::size_t job_memory);
    void request_decision() { is_decision_requested_ = true; }
    // False for responses to calls of an earlier epoch, which are discarded.
    bool is_current(std::uint64_t epoch) const
    {
        return scheduler_ != nullptr && epoch == epoch_;
    }

    Store& store_;
    Workers& workers_;
    List& list_;
    clocks clock_;
    store_health& health_;
    jobs::leadership lead_;
    leader_options options_;
    duration takeover_delay_{};
    std::map<service_id, jobs::service_policy> services_;
    std::set<availability_zone_id> closed_zones_;
    jobs::account_limits limits_;
    bool has_accounts_ = false;
    std::int64_t total_weight_ = 0;
    configuration_version configuration_;

    std::unique_ptr<jobs::scheduler> scheduler_;
    std::uint64_t epoch_ = 0;
    time_point acquired_at_{};
    bool is_active_ = false;
    bool is_stepping_down_ = false;
    bool is_decision_requested_ = false;

    response_time response_time_;
    jobs::store_clock store_clock_;
    bool is_polling_lease_ = false;
    time_point next_lease_poll_{};
    // Version of the malformed lease row that was last logged.
    row_version logged_lease_version_;
    bool has_transaction_in_flight_ = false;
    std::optional<leader_transaction> transaction_to_retry_;
    // Parts of rejected changes, and the jobs whose final state they store.
    std::deque<change_part> parts_;
    std::vector<std::pair<job_id, jobs::job_state>> ended_in_parts_;
    time_point next_part_at_{};
    // When the last transaction that was committed was sent.
    time_point renewed_at_{};
    time_point retry_at_{};
    time_point last_flush_{};
    time_point last_decision_{};
    time_point last_pending_write_{};
    time_point job_memory_updated_at_{};
    time_point last_learnt_write_{};
    std::map<std::string, std::size_t> stored_pending_;
    // Final states that are in the store.
    std::map<job_id, jobs::job_state> stored_ends_;

    // Rows that wait for the jobs of the inbox. They are decoded one job at a
    // time, which takes less memory.
    std::map<job_id, stored_progress> recovered_progress_;
    // Jobs whose progress cannot be decoded. The inbox may show them again.
    std::set<job_id> jobs_left_out_;
    row_version inbox_position_;
    withdrawal_expiry withdrawals_;
    bool is_polling_inbox_ = false;
    time_point next_inbox_poll_{};
    row_version workers_position_;
    bool is_polling_worker_list_ = false;
    time_point next_worker_list_poll_{};
    leader_stats stats_;
};

} // namespace hemlockdeal::node

#include "node/leader_intake.ipp"
#include "node/leader_orders.ipp"
#include "node/leader_role.ipp"
#include "node/leader_transactions.ipp"
