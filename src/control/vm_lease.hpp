// The lease of this VM, a row of the table that it renews. While the lease is
// valid, no other VM can have taken over the shards of this one.
#pragma once

#include <optional>
#include <string>

#include "core/core.hpp"

namespace hemlockdeal
{

struct lease_settings
{
    duration renew_interval = std::chrono::seconds(1);
    // A renewal counts from the moment it was sent. Others wait 7 s, so the
    // difference covers clocks that run at different rates.
    duration validity = std::chrono::seconds(5);
    // Pause before a commit without an answer is sent again.
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

    // The commit that has to be sent now, if any.
    std::optional<table_commit> next_commit(time_point now);

    // Records the outcome of a commit of this lease; others are ignored.
    void on_outcome(const commit_id& id, const commit_outcome& outcome,
                    time_point now);

    // The lease may be relied on before this time; empty without a lease.
    std::optional<time_point> valid_until() const { return valid_until_; }
    bool valid(time_point now) const;

    // Rises when a lease was lost and a new one is asked for.
    incarnation current_incarnation() const { return incarnation_; }

    // True when a newer process runs under this VM's id. This process then
    // never asks for a lease again.
    bool superseded() const { return superseded_; }

    time_point next_wakeup() const { return next_action_; }

private:
    struct pending
    {
        table_commit commit;
        time_point first_sent;
        bool in_flight = false;
    };

    void renewed(row_version version, time_point sent_at, time_point now);
    void lost(const std::optional<std::string>& row_value, row_version version,
              time_point now);
    table_commit make_commit();

    vm_id vm_;
    incarnation incarnation_;
    lease_settings settings_;
    std::uint64_t counter_ = 0;
    // Version of the row that the next commit replaces; 0 while the row is
    // not known to exist.
    row_version expected_version_;
    std::optional<pending> pending_;
    std::optional<time_point> valid_until_;
    time_point next_action_{};
    bool superseded_ = false;
};

} // namespace hemlockdeal
