// Implementation of floors and loans of one instance.
#include "request/slot_share.hpp"

#include <numeric>

namespace hemlockdeal
{

namespace
{

// Replies to older questions are of no use any more.
constexpr std::size_t max_questions = 4;

// The coordinator counts a loan for 10% longer than its borrower, as clocks
// may run at different rates.
constexpr duration coordinators_view(duration length)
{
    return length + length / 10;
}

// A borrower that asked this recently gets its part of the pool.
constexpr duration asks_recently = std::chrono::seconds(1);

} // namespace

void slot_share::set_terms(const slot_terms& terms, time_point now)
{
    if (terms.coordinator != terms_.coordinator)
    {
        borrowers_.clear();
        lends_from_ = now + coordinators_view(loan_length) + list_lag;
    }
    terms_ = terms;
}

void slot_share::ask(std::uint64_t number, time_point now)
{
    if (questions_.size() == max_questions)
    {
        questions_.erase(questions_.begin());
    }
    questions_.push_back({number, now});
}

void slot_share::accept(const slot_grant& grant)
{
    const auto asked =
        std::ranges::find(questions_, grant.number, &question::number);
    if (asked == questions_.end() || grant.number <= accepted_number_)
    {
        return;
    }
    accepted_number_ = grant.number;
    loan_ = grant.granted;
    loan_expires_ = asked->sent_at + grant.valid_for;
    questions_.erase(questions_.begin(), asked + 1);
}

void slot_share::give_up(std::uint64_t number)
{
    accepted_number_ = number;
    questions_.clear();
    loan_ = 0;
}

slot_grant slot_share::lend(const vm_id& borrower, const slot_request& request,
                            time_point now)
{
    slot_grant grant{request.number, request.instance, 0, loan_length};
    borrower_loans& b = find_borrower(borrower);
    if (!may_lend(now) || request.number <= b.newest_number)
    {
        return grant;
    }
    b.newest_number = request.number;
    if (request.wanted == 0)
    {
        b.loans.clear();
        b.asked_at = time_point{};
        return grant;
    }
    b.asked_at = now;
    std::erase_if(b.loans,
                  [&](const loan_given& l) { return l.expires <= now; });
    const std::uint32_t others = lent(now) - b.charged(now);
    const std::uint32_t free = terms_.pool - std::min(terms_.pool, others);
    grant.granted = std::min({request.wanted, free, fair_part(now)});
    b.loans.push_back({grant.granted, now + coordinators_view(loan_length)});
    return grant;
}

std::uint32_t slot_share::lent(time_point now) const
{
    return std::accumulate(borrowers_.begin(), borrowers_.end(),
                           std::uint32_t{0},
                           [&](std::uint32_t sum, const borrower_loans& b) {
                               return sum + b.charged(now);
                           });
}

std::uint32_t slot_share::borrower_loans::charged(time_point now) const
{
    std::uint32_t most = 0;
    for (const loan_given& l : loans)
    {
        most = l.expires > now ? std::max(most, l.slots) : most;
    }
    return most;
}

slot_share::borrower_loans& slot_share::find_borrower(const vm_id& borrower)
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

std::uint32_t slot_share::fair_part(time_point now) const
{
    const auto asking = static_cast<std::uint32_t>(
        std::ranges::count_if(borrowers_, [&](const borrower_loans& b) {
            return b.asked_at != time_point{} &&
                   now - b.asked_at <= asks_recently;
        }));
    // Rounded up: the sum is bounded by what is free, not by this.
    return asking == 0 ? terms_.pool : (terms_.pool + asking - 1) / asking;
}

} // namespace hemlockdeal
