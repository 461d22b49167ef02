// The lease of this VM: a table row that the VM renews. While the lease is
// valid, no other VM can have taken over this VM's shards.
#pragma once

#include <optional>
#include <string>

#include "core/core.hpp"

namespace hemlockdeal
{

struct lease_settings
{
    duration renew_interval = std::chrono::seconds(1);
    // Counted from the time at which the renewal was sent. Other VMs wait 7 s
    // before a takeover; the difference covers clock drift.
    duration validity = std::chrono::seconds(5);
    // Delay before a commit without a response is sent again.
    duration retry_interval = std::chrono::milliseconds(300);
};

// Content of the row `lease/<vm>`.
struct lease_row
{
    incarnation holder;
    std::uint64_t counter = 0;
    std::string revoked_by; // empty while the holder may renew
    commit_id commit;
};

std::string to_text(const lease_row& row);
result<lease_row> parse_lease_row(const std::string& text);

class vm_lease
{
public:
    vm_lease(vm_id vm, incarnation first, lease_settings settings = {});

    // Returns the commit that is due for sending, if any.
    std::optional<table_commit> next_commit(time_point now);

    // Applies the outcome of a commit of this lease; other commits are ignored.
    void on_outcome(const commit_id& id, const commit_outcome& outcome,
                    time_point now);

    // Time at which the lease expires; empty without a lease.
    std::optional<time_point> valid_until() const { return valid_until_; }
    bool valid(time_point now) const;

    // Increases when a lease is lost and a new one is requested.
    incarnation current_incarnation() const { return incarnation_; }

    // True when a newer process runs under this VM's ID. This process then
    // never requests a lease again.
    bool superseded() const { return superseded_; }

    time_point next_wakeup() const { return next_action_; }

private:
    struct pending
    {
        table_commit commit;
        time_point first_sent;
        bool in_flight = false;
    };

    void on_renewed(row_version version, time_point sent_at, time_point now);
    void on_lost(const std::optional<std::string>& row_value,
                 row_version version, time_point now);
    table_commit make_commit();

    vm_id vm_;
    incarnation incarnation_;
    lease_settings settings_;
    std::uint64_t counter_ = 0;
    // Version of the row that the next commit replaces; 0 if no row is known
    // to exist.
    row_version expected_version_;
    std::optional<pending> pending_;
    std::optional<time_point> valid_until_;
    time_point next_action_{};
    bool superseded_ = false;
};

} // namespace hemlockdeal
