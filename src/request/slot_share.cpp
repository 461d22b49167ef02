// Slot share: floor and loans of one instance.
#include "request/slot_share.hpp"

#include <numeric>

namespace hemlockdeal
{

namespace
{

// Only this many requests are remembered; grants for older ones are of no use.
constexpr std::size_t max_pending_requests = 4;

// The coordinator counts a loan for 10% longer than its borrower, since their
// clocks may run at different rates.
constexpr duration with_clock_margin(duration length)
{
    return length + length / 10;
}

// Borrowers with a request in this period get a fair share of the pool.
constexpr duration recent_request_window = std::chrono::seconds(1);

} // namespace

void slot_share::set_allocation(const slot_allocation& allocation,
                                time_point now)
{
    if (allocation.coordinator != allocation_.coordinator)
    {
        borrowers_.clear();
        lending_starts_at_ =
            now + with_clock_margin(loan_duration) + max_list_lag;
    }
    allocation_ = allocation;
}

void slot_share::add_pending_request(std::uint64_t number, time_point now)
{
    if (pending_requests_.size() == max_pending_requests)
    {
        pending_requests_.erase(pending_requests_.begin());
    }
    pending_requests_.push_back({number, now});
}

void slot_share::accept_grant(const slot_grant& grant)
{
    const auto pending = std::ranges::find(pending_requests_, grant.number,
                                           &pending_request::number);
    if (pending == pending_requests_.end() || grant.number <= accepted_number_)
    {
        return;
    }
    accepted_number_ = grant.number;
    loan_ = grant.granted;
    loan_expires_ = pending->sent_at + grant.valid_for;
    pending_requests_.erase(pending_requests_.begin(), pending + 1);
}

void slot_share::relinquish(std::uint64_t number)
{
    accepted_number_ = number;
    pending_requests_.clear();
    loan_ = 0;
}

slot_grant slot_share::lend(const vm_id& borrower, const slot_request& request,
                            time_point now)
{
    slot_grant grant{request.number, request.instance, 0, loan_duration};
    borrower_loans& b = find_or_add_borrower(borrower);
    if (!may_lend(now) || request.number <= b.last_number)
    {
        return grant;
    }
    b.last_number = request.number;
    if (request.wanted == 0)
    {
        b.loans.clear();
        b.requested_at = time_point{};
        return grant;
    }
    b.requested_at = now;
    std::erase_if(b.loans,
                  [&](const granted_loan& l) { return l.expires <= now; });
    const std::uint32_t others = total_lent(now) - b.charged_slots(now);
    const std::uint32_t free =
        allocation_.pool - std::min(allocation_.pool, others);
    grant.granted = std::min({request.wanted, free, fair_share(now)});
    b.loans.push_back({grant.granted, now + with_clock_margin(loan_duration)});
    return grant;
}

std::uint32_t slot_share::total_lent(time_point now) const
{
    return std::accumulate(borrowers_.begin(), borrowers_.end(),
                           std::uint32_t{0},
                           [&](std::uint32_t sum, const borrower_loans& b) {
                               return sum + b.charged_slots(now);
                           });
}

std::uint32_t slot_share::borrower_loans::charged_slots(time_point now) const
{
    std::uint32_t max_slots = 0;
    for (const granted_loan& l : loans)
    {
        max_slots = l.expires > now ? std::max(max_slots, l.slots) : max_slots;
    }
    return max_slots;
}

slot_share::borrower_loans&
slot_share::find_or_add_borrower(const vm_id& borrower)
{
    const auto found =
        std::ranges::find(borrowers_, borrower, &borrower_loans::vm);
    if (found != borrowers_.end())
    {
        return *found;
    }
    borrower_loans added;
    added.vm = borrower;
    borrowers_.push_back(std::move(added));
    return borrowers_.back();
}

std::uint32_t slot_share::fair_share(time_point now) const
{
    const auto requesting = static_cast<std::uint32_t>(
        std::ranges::count_if(borrowers_, [&](const borrower_loans& b) {
            return b.requested_at != time_point{} &&
                   now - b.requested_at <= recent_request_window;
        }));
    // Rounded up, since the total is bounded by the number of free slots.
    return requesting == 0 ? allocation_.pool
                           : (allocation_.pool + requesting - 1) / requesting;
}

} // namespace hemlockdeal
