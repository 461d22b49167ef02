// Leader election: a lease row in the store that each transaction of the
// leader renews.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "core/core.hpp"
#include "jobs/earlier_leases.hpp"

namespace hemlockdeal::jobs
{

// Content of the lease row. Invariant: `count` rises with each write of one
// epoch and the epoch with each change of leader, so that no two writes have
// equal content.
struct lease_row
{
    std::uint64_t epoch = 0;
    std::uint64_t count = 0;
    vm_id holder;
    // Distinguishes successive processes on one VM.
    std::uint64_t process = 0;
    bool is_released = false;
    // The holder has accounted for all runs that earlier leaders started.
    bool is_recovery_complete = false;
    // Share of a processor core available to the holder.
    double processor_share = 0.0;
    // Memory that the accepted jobs take in the leader, in bytes.
    std::uint64_t job_memory = 0;
    // Set when the lease is released: the holder extends no lease of a worker
    // any more, and those for which no other end is stored have ended by then.
    std::optional<store_time> worker_leases_end{};
    // From this epoch on, all leaders have kept the invariant of lease bounds;
    // 0 if the holder does not.
    std::uint64_t bounds_since = 0;
    // The holder considers itself the leader for this long after it sent the
    // row. Empty if the row does not say.
    std::optional<duration> validity{};
    // Highest version of a configuration with client accounts that a leader has
    // used; 0 if there was none.
    configuration_version configuration{};
    // While the memory for jobs is short, the memory in bytes that the jobs of
    // accounts above their share take.
    std::map<account_id, std::uint64_t> account_memory{};

    friend bool operator==(const lease_row&, const lease_row&) = default;
};

std::string encode_lease(const lease_row& row);
std::optional<lease_row> decode_lease(std::string_view text);

struct leadership_options
{
    // A lease is valid for this long after its last successful write was sent,
    // plus `validity_factor` times the recent response time of the store. The
    // sum is part of the write, so that other VMs wait for at least as long.
    duration validity = std::chrono::milliseconds(1200);
    int validity_factor = 2;
    // A response that took longer counts with this time, which bounds the
    // validity: the VM may have been suspended meanwhile.
    duration max_response_time = std::chrono::milliseconds(1000);
    // Other VMs take over when they have seen no write for this long plus
    // `takeover_factor` times the duration of their reads, so that a slow
    // store does not cost the leader its lease, and not before the validity
    // and this margin for clock rates have passed.
    duration takeover_after = std::chrono::milliseconds(1400);
    int takeover_factor = 4;
    duration validity_margin = std::chrono::milliseconds(200);
    // Share of a processor core available to this VM.
    double processor_share = 0.0;
    // Reads further apart than this do not show that the leader was inactive
    // in between: it could not write either if the store was unavailable.
    duration max_read_gap = std::chrono::milliseconds(1300);
    // How long a VM does not compete for the lease after it gave it up, so
    // that others can take it.
    duration abstention = std::chrono::seconds(6);
};

// Lease update in a transaction of the leader, conditional on the version that
// the row must still have.
struct lease_write
{
    row_version expected;
    lease_row row;
};

class leadership
{
public:
    leadership(vm_id self, std::uint64_t process, leadership_options options);

    // Handles a read of the row that took `elapsed`; `row` is empty if there
    // is none.
    void on_read(const std::optional<lease_row>& row, row_version version,
                 time_point now, duration elapsed = {});
    void on_read_failed();

    // The write that takes the lease, if due. `extra_wait` spreads the
    // attempts of the VMs and lets better suited ones go first.
    std::optional<lease_write> takeover(time_point now, duration extra_wait);

    // What was known of the earlier leaders when this VM took the lease.
    const earlier_leaders& predecessors() const { return predecessors_; }
    void set_recovery_complete(bool complete)
    {
        row_.is_recovery_complete = complete;
    }

    // Memory in bytes that the accepted jobs take in the leader, as it is
    // published with the lease.
    std::uint64_t job_memory() const { return row_.job_memory; }
    void set_job_memory(std::uint64_t bytes) { row_.job_memory = bytes; }
    // The same for the jobs of accounts above their share.
    const std::map<account_id, std::uint64_t>& account_memory() const
    {
        return row_.account_memory;
    }
    void set_account_memory(std::map<account_id, std::uint64_t> bytes)
    {
        row_.account_memory = std::move(bytes);
    }

    // The leader uses this version of a configuration with client accounts.
    void use_configuration(configuration_version version)
    {
        row_.configuration = std::max(row_.configuration, version);
    }
    // The highest version that a leader has used, as far as this VM knows.
    configuration_version used_configuration() const
    {
        return row_.configuration;
    }

    // The lease update for the leader's next transaction.
    lease_write renewal() const;
    // A renewal that ends the lead.
    lease_write release(std::optional<store_time> worker_leases_end) const;

    void on_written(const lease_write& write, row_version version,
                    time_point sent_at, duration elapsed = {});
    // Handles the row as read after a write that failed or had no response.
    // True if the write took effect after all.
    bool on_conflict(const lease_write& write,
                     const std::optional<lease_row>& row, row_version version,
                     time_point sent_at);

    bool leads() const { return leads_; }
    // False after the lease has expired: the leader must not start anything.
    bool is_valid(time_point now) const;
    // Invariant: no later than the sending of the last successful write plus
    // the validity in it. The time that its response took does not count.
    time_point valid_until() const { return valid_until_; }
    std::uint64_t epoch() const { return row_.epoch; }
    // The leader as far as this VM knows.
    const vm_id& holder() const { return row_.holder; }
    // Relative amount by which this VM's processor share is smaller than that
    // of the last leader.
    double processor_deficit() const;
    void relinquish(time_point now);

private:
    earlier_leaders find_predecessors() const;
    void note_response_time(duration elapsed);
    duration current_validity() const;
    duration longest_validity() const;
    // How long the row must have been unchanged before this VM takes the lease.
    duration required_silence() const;

    vm_id self_;
    std::uint64_t process_;
    leadership_options options_;
    lease_row row_;
    row_version version_;
    bool has_read_ = false;
    bool leads_ = false;
    earlier_leaders predecessors_;
    // Start of the period in which uninterrupted reads showed this version.
    std::optional<time_point> unchanged_since_;
    time_point last_read_{};
    // Decaying maximum of the store's response time: falls by at most a quarter
    // with each faster response.
    duration recent_response_time_{};
    time_point valid_until_{};
    time_point abstains_until_{};
};

} // namespace hemlockdeal::jobs
