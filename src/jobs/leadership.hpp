// Decides which VM leads: a lease row in the store that each of the leader's
// own transactions renews.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/core.hpp"

namespace hemlockdeal::jobs
{

// Content of the lease row. Invariant: `count` rises with each write of one
// epoch, and the epoch with each change of leader, so that no two writes have
// equal content.
struct lease_row
{
    std::uint64_t epoch = 0;
    std::uint64_t count = 0;
    vm_id holder;
    // Tells two processes on one VM apart.
    std::uint64_t process = 0;
    bool is_released = false;
    // The holder knows where everything runs that earlier leaders started.
    bool is_recovery_complete = false;
    // Share of a core that the holder has.
    double processor_share = 0.0;

    friend bool operator==(const lease_row&, const lease_row&) = default;
};

std::string encode_lease(const lease_row& row);
std::optional<lease_row> decode_lease(std::string_view text);

struct leadership_options
{
    // A leader acts for this long after it sent its last successful write,
    // and for `validity_factor` times as long as that write took.
    duration validity = std::chrono::milliseconds(1200);
    int validity_factor = 2;
    // Others take over when they have seen no write for this long, and for
    // `takeover_factor` times as long as their reads took: a slow store must
    // not cost a leader the lead.
    duration takeover_after = std::chrono::milliseconds(1400);
    int takeover_factor = 4;
    // Share of a core that this VM has.
    double processor_share = 0.0;
    // Reads further apart than this prove nothing about the time between:
    // the leader could not write while the store was away.
    duration longest_read_gap = std::chrono::milliseconds(1300);
    // After a voluntary end of leadership, time for others to take it.
    duration abstention = std::chrono::seconds(6);
};

// A transaction of the leader; its condition is the version that the lease
// row must still have.
struct lease_write
{
    row_version expected;
    lease_row row;
};

class leadership
{
public:
    leadership(vm_id self, std::uint64_t process, leadership_options options);

    // A read of the row; `row` is empty when there is none.
    // It took `took`.
    void on_read(const std::optional<lease_row>& row, row_version version,
                 time_point now, duration took = {});
    void on_read_failed();

    // The write that would take the lead, when that is due. `extra_wait`
    // spreads the VMs and lets well-placed ones go first.
    std::optional<lease_write> takeover(time_point now, duration extra_wait);

    // True if only an earlier process of this VM, which is dead, may have
    // orders on their way.
    bool earlier_leader_is_dead() const { return earlier_leader_is_dead_; }
    void set_recovery_complete(bool complete)
    {
        row_.is_recovery_complete = complete;
    }

    // The write that goes with the leader's next transaction.
    lease_write renewal() const;
    lease_write release() const;

    void on_written(const lease_write& write, row_version version,
                    time_point sent_at, duration took = {});
    // The row as the store showed it after a write that failed or had no
    // answer. True if the write had taken effect after all.
    bool on_conflict(const lease_write& write,
                     const std::optional<lease_row>& row, row_version version,
                     time_point sent_at);

    bool leads() const { return leads_; }
    // False after the validity: the leader must not start anything.
    bool is_valid(time_point now) const;
    time_point valid_until() const { return valid_until_; }
    std::uint64_t epoch() const { return row_.epoch; }
    // Who leads, as far as this VM knows.
    const vm_id& holder() const { return row_.holder; }
    // Part by which this VM's processor is smaller than the last leader's.
    double processor_deficit() const;
    void relinquish(time_point now);

private:
    bool is_mine(const lease_row& row) const;

    vm_id self_;
    std::uint64_t process_;
    leadership_options options_;
    lease_row row_;
    row_version version_;
    bool known_ = false;
    bool leads_ = false;
    bool earlier_leader_is_dead_ = false;
    // Since when the row has shown this version in unbroken reads.
    std::optional<time_point> unchanged_since_;
    time_point last_read_{};
    // Slowest read of late; falls by a quarter with each faster one.
    duration slow_read_{};
    time_point valid_until_{};
    time_point abstains_until_{};
};

} // namespace hemlockdeal::jobs
