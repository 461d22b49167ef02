// Leading: takes the lead, recovers from the store, passes answers to the
// scheduler and carries out its orders, and stores what must last.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "jobs/jobs.hpp"
#include "node/concepts.hpp"
#include "node/leader_figures.hpp"
#include "node/response_time.hpp"
#include "node/store_health.hpp"
#include "node/store_tables.hpp"
#include "observe/logging.hpp"

namespace hemlockdeal::node
{

struct leader_options
{
    jobs::scheduler_options scheduler;
    // Reads of the lease row while another VM leads.
    duration lease_poll = std::chrono::milliseconds(400);
    // A read; a connection that went silent must not hold it for longer.
    duration read_timeout = std::chrono::milliseconds(1000);
    // Shortest time between two of the leader's transactions.
    duration flush_gap = std::chrono::milliseconds(20);
    // The same while tasks that have a place wait for it.
    duration urgent_flush_gap = std::chrono::milliseconds(12);
    // A transaction that only renews the lease.
    duration renewal = std::chrono::milliseconds(400);
    duration retry = std::chrono::milliseconds(120);
    duration feed_wait = std::chrono::milliseconds(1500);
    duration worker_list_poll = std::chrono::milliseconds(500);
    duration pending_gap = std::chrono::milliseconds(500);
    // What was learnt is stored this often; it is worth little more.
    duration learnt_gap = std::chrono::seconds(3);
    // Time-based decisions without an event.
    duration idle_decision = std::chrono::milliseconds(60);
    duration decision_gap = std::chrono::milliseconds(8);
};

template <row_store Store, worker_port Workers, worker_list List>
class leader_duty
{
public:
    struct clocks
    {
        std::function<time_point()> now;
        std::function<std::chrono::milliseconds()> unix_now;
        // Calls later, from the event loop.
        std::function<void(duration, std::function<void()>)> later;
    };

    leader_duty(Store& store, Workers& workers, List& list, clocks clock,
                store_health& health, jobs::leadership lead,
                leader_options options)
        : store_(store), workers_(workers), list_(list), clock_(clock),
          health_(health), lead_(std::move(lead)), options_(options)
    {}

    // Spreads the VMs when the lead is free; nearer VMs wait less.
    void set_takeover_delay(duration delay) { takeover_delay_ = delay; }
    // The store names a leader, present or past.
    bool has_seen_leader() const { return lead_.epoch() > 0; }
    // Part by which this VM's processor is smaller than the last leader's.
    double processor_deficit() const { return lead_.processor_deficit(); }

    void
    set_services(const std::map<service_id, jobs::service_policy>& services)
    {
        services_ = services;
        if (scheduler_)
        {
            scheduler_->set_services(services_);
            wake();
        }
    }

    void set_closed_zones(const std::set<availability_zone_id>& zones)
    {
        closed_zones_ = zones;
        if (scheduler_)
        {
            scheduler_->set_closed_zones(closed_zones_);
            wake();
        }
    }

    // To be called every few milliseconds.
    void tick();

    // Gives the lead to another VM; done when `has_left()`.
    void leave()
    {
        is_leaving_ = true;
        wake();
    }
    bool has_left() const { return is_leaving_ && !lead_.leads(); }
    bool leads() const { return scheduler_ != nullptr && begun_; }

    std::optional<jobs::job_state> state_of(const job_id& id) const;
    std::optional<std::size_t> pending_of(const std::string& queue) const;
    leader_figures figures() const;

private:
    // A transaction of the leader on its way.
    struct flight
    {
        transaction t;
        jobs::lease_write lease;
        time_point sent_at{};
        bool has_changes = false;
        // Jobs whose end the transaction stores.
        std::vector<std::pair<job_id, jobs::job_state>> ended;
    };

    void poll_lease();
    void try_takeover(time_point now);
    void send(flight f);
    void on_outcome(const flight& f, const transaction_outcome& outcome);
    void on_committed(const flight& f, row_version version);
    void check_lease_row(const flight& f);
    void on_lost(std::string_view why);
    void retry_later(const flight& f);

    void begin_recovery();
    void read_table(row_range range, std::uint64_t epoch,
                    std::function<void(read_rows)> done);
    // Reads all parts of the inbox and sets the feed's position.
    void read_inbox(std::function<void(const stored_row&)> each,
                    std::function<void()> done);
    void recover_inbox();
    void recover_fleet();
    void recover_learnt();
    void finish_recovery();

    void poll_inbox();
    void take_inbox_row(const stored_row& row);
    void poll_worker_list();
    void take_workers(const worker_changes& changes);

    void flush(time_point now);
    flight make_flight(const jobs::lease_write& lease, time_point now);
    void add_changes(flight& f);
    void add_pending(flight& f, time_point now);
    void add_learnt(flight& f, time_point now);
    void decide(time_point now);
    void carry_out(const jobs::start_order& order);
    void carry_out(const jobs::stop_order& order);
    void carry_out(const jobs::pace_order& order);
    void carry_out(const jobs::poll_order& order);
    void carry_out(const jobs::advice_request& question);
    const jobs::worker_entry* entry_of(const worker_id& id) const;
    void log_events();
    void wake() { is_awake_ = true; }
    // Answers that were asked for under an earlier lead are of no use.
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

    std::unique_ptr<jobs::scheduler> scheduler_;
    std::uint64_t epoch_ = 0;
    bool begun_ = false;
    bool is_leaving_ = false;
    bool is_awake_ = false;

    response_time response_time_;
    bool is_polling_lease_ = false;
    time_point next_lease_poll_{};
    bool has_flight_ = false;
    std::optional<flight> to_retry_;
    time_point retry_at_{};
    time_point last_flush_{};
    time_point last_decision_{};
    time_point last_pending_{};
    time_point last_learnt_{};
    std::map<std::string, std::size_t> shown_pending_;
    // Ends that the store has.
    std::map<job_id, jobs::job_state> stored_ends_;

    // Empty for rows that cannot be read.
    std::map<job_id, std::optional<jobs::job_progress>> recovered_progress_;
    row_version inbox_position_;
    bool is_polling_inbox_ = false;
    time_point next_inbox_poll_{};
    row_version workers_position_;
    bool is_polling_worker_list_ = false;
    time_point next_worker_list_poll_{};
    leader_figures counts_;
};

} // namespace hemlockdeal::node

#include "node/leader_duty.ipp"
#include "node/leader_intake.ipp"
#include "node/leader_orders.ipp"
