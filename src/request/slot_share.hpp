// This daemon's share of the slots of one instance: a floor, a loan from the
// coordinator of the instance and, on the coordinator, the loans to other
// daemons.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal
{

// Division of the slots of an instance, derived from the membership list.
struct slot_allocation
{
    std::uint32_t floor = 0;
    std::uint32_t pool = 0;
    vm_id coordinator; // empty when the zone has no live entry VM

    friend bool operator==(const slot_allocation&,
                           const slot_allocation&) = default;
};

class slot_share
{
public:
    // A new coordinator lends nothing until all loans of the previous one must
    // have expired.
    void set_allocation(const slot_allocation& allocation, time_point now);
    const slot_allocation& allocation() const { return allocation_; }

    std::uint32_t usable(time_point now) const
    {
        return allocation_.floor + loan(now);
    }
    std::uint32_t loan(time_point now) const
    {
        return now < loan_expires_ ? loan_ : 0;
    }
    duration loan_left(time_point now) const
    {
        return std::max(duration{}, duration(loan_expires_ - now));
    }

    // Borrower: records a request that is sent now. Request numbers must
    // increase.
    void add_pending_request(std::uint64_t number, time_point now);
    // Borrower: applies a grant. Grants for requests that are no longer pending
    // are ignored.
    void accept_grant(const slot_grant& grant);
    // Borrower: stops using the loan.
    void relinquish(std::uint64_t number);

    // Coordinator: lends slots to a daemon. A request for 0 slots ends its
    // loans.
    slot_grant lend(const vm_id& borrower, const slot_request& request,
                    time_point now);
    bool may_lend(time_point now) const { return now >= lending_starts_at_; }
    // Coordinator: total number of slots that borrowers may be using.
    std::uint32_t total_lent(time_point now) const;

    static constexpr duration loan_duration = std::chrono::seconds(2);
    // Maximum time by which the membership lists of two daemons may differ.
    static constexpr duration max_list_lag = std::chrono::seconds(2);

private:
    struct pending_request
    {
        std::uint64_t number = 0;
        time_point sent_at;
    };
    struct granted_loan
    {
        std::uint32_t slots = 0;
        time_point expires;
    };
    // A borrower may use any of its unexpired loans, since a later and smaller
    // grant can be lost.
    struct borrower_loans
    {
        vm_id vm;
        std::uint64_t last_number = 0;
        time_point requested_at;
        std::vector<granted_loan> loans;

        std::uint32_t charged_slots(time_point now) const;
    };

    borrower_loans& find_or_add_borrower(const vm_id& borrower);
    std::uint32_t fair_share(time_point now) const;

    slot_allocation allocation_;
    // State as a borrower.
    std::uint32_t loan_ = 0;
    time_point loan_expires_{};
    std::uint64_t accepted_number_ = 0;
    std::vector<pending_request> pending_requests_;
    // State as the coordinator.
    std::vector<borrower_loans> borrowers_;
    time_point lending_starts_at_{};
};

} // namespace hemlockdeal
