// Implementation of borrowing and lending.
#include "request/slot_ledger.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

// A loan is renewed when less than this is left of it, so that two lost
// messages do not end it.
constexpr duration renewal = std::chrono::milliseconds(1250);

// Instances outside the own zone that are asked in one round.
constexpr std::size_t far_asks = 8;

} // namespace

slot_ledger::slot_ledger(endpoint_directory& directory, incarnation process,
                         bool counts_loans)
    : directory_(directory), counts_loans_(counts_loans),
      last_number_(process.value() << 32U)
{}

void slot_ledger::run_round(const std::vector<std::size_t>& waiting,
                            std::mt19937_64& generator, time_point now)
{
    if (now < next_round_)
    {
        return;
    }
    next_round_ = now + round_spacing;
    for (instance_index i = 0; i < directory_.size(); ++i)
    {
        endpoint_instance& e = directory_.at(i);
        if (e.listed && !e.is_leaving() && !e.health.is_ejected())
        {
            ask_for_own_use(i, waiting[e.service], now);
        }
        e.peak = static_cast<std::uint32_t>(e.in_flight.size());
    }
    for (service_index s = 0; s < directory_.service_count(); ++s)
    {
        if (waiting[s] > 0)
        {
            ask_further_away(s, waiting[s], generator, now);
        }
    }
}

void slot_ledger::ask_for_own_use(instance_index i, std::size_t waiting,
                                  time_point now)
{
    const endpoint_instance& e = directory_.at(i);
    const std::uint32_t usable = e.share.usable(now);
    if (usable == 0 || e.peak < e.share.terms().floor)
    {
        return;
    }
    const bool grows = e.peak >= usable;
    if (!grows && e.share.loan_left(now) >= renewal)
    {
        return;
    }
    const std::uint32_t extra = grows ? (waiting > 0 ? 2 : 1) : 0;
    const std::uint32_t wanted = e.peak - e.share.terms().floor + extra;
    if (wanted > 0)
    {
        ask(i, wanted, now);
    }
}

void slot_ledger::ask_further_away(service_index s, std::size_t waiting,
                                   std::mt19937_64& generator, time_point now)
{
    const service_instances& service = directory_.service(s);
    std::size_t left = std::min(far_asks, waiting);
    for (std::size_t t = 1; t < tier_count; ++t)
    {
        const auto& tier = service.tiers[t];
        for (std::size_t tries = 0; tries < 2 * far_asks && left > 0; ++tries)
        {
            if (tier.empty())
            {
                break;
            }
            const instance_index i = tier[generator() % tier.size()];
            const endpoint_instance& e = directory_.at(i);
            if (!e.is_leaving() && !e.health.is_ejected() &&
                e.share.usable(now) == 0)
            {
                ask(i, 2, now);
                --left;
            }
        }
    }
}

void slot_ledger::ask(instance_index i, std::uint32_t wanted, time_point now)
{
    endpoint_instance& e = directory_.at(i);
    const slot_terms& terms = e.share.terms();
    if (terms.pool == 0 || terms.coordinator.empty())
    {
        return;
    }
    const slot_request request{++last_number_, e.id, wanted};
    e.share.ask(request.number, now);
    if (terms.coordinator == directory_.self())
    {
        e.share.accept(lend(e, directory_.self(), request, now));
        return;
    }
    messages_.push_back({terms.coordinator, request});
}

void slot_ledger::on_request(const vm_id& sender, const slot_request& request,
                             time_point now)
{
    const auto i = directory_.find(request.instance);
    if (!i || directory_.at(*i).share.terms().coordinator != directory_.self())
    {
        return;
    }
    messages_.push_back(
        {sender, lend(directory_.at(*i), sender, request, now)});
}

slot_grant slot_ledger::lend(endpoint_instance& instance, const vm_id& borrower,
                             const slot_request& request, time_point now)
{
    slot_grant grant = instance.share.lend(borrower, request, now);
    if (!counts_loans_ && instance.share.may_lend(now))
    {
        grant.granted = std::min(request.wanted, instance.share.terms().pool);
    }
    return grant;
}

void slot_ledger::on_grant(const slot_grant& grant)
{
    const auto i = directory_.find(grant.instance);
    if (i)
    {
        directory_.at(*i).share.accept(grant);
    }
}

void slot_ledger::release_all(time_point now)
{
    for (instance_index i = 0; i < directory_.size(); ++i)
    {
        endpoint_instance& e = directory_.at(i);
        if (e.share.loan(now) == 0)
        {
            continue;
        }
        const slot_request request{++last_number_, e.id, 0};
        e.share.give_up(request.number);
        if (e.share.terms().coordinator != directory_.self())
        {
            messages_.push_back({e.share.terms().coordinator, request});
        }
    }
}

std::vector<send_to_peer> slot_ledger::take_messages()
{
    return std::exchange(messages_, {});
}

} // namespace hemlockdeal
