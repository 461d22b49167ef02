// Slot ledger: borrowing and lending of slots.
#include "request/slot_ledger.hpp"

#include <algorithm>

namespace hemlockdeal
{

namespace
{

// A loan is renewed when less than this is left of it, so that it survives the
// loss of two messages.
constexpr duration renewal_threshold = std::chrono::milliseconds(1250);

// Maximum number of instances in other zones that are asked for slots in one
// round.
constexpr std::size_t max_remote_requests = 8;

} // namespace

slot_ledger::slot_ledger(endpoint_directory& directory, incarnation process,
                         bool tracks_loans)
    : directory_(directory), tracks_loans_(tracks_loans),
      last_request_number_(process.value() << 32U)
{}

void slot_ledger::run_round(const std::vector<std::size_t>& waiting,
                            std::mt19937_64& generator, time_point now)
{
    if (now < next_round_)
    {
        return;
    }
    next_round_ = now + round_interval;
    for (instance_index i = 0; i < directory_.size(); ++i)
    {
        endpoint_instance& e = directory_.at(i);
        if (e.listed && !e.is_leaving() && !e.health.is_ejected())
        {
            renew_or_grow_loan(i, waiting[e.service], now);
        }
        e.peak_in_flight = static_cast<std::uint32_t>(e.in_flight.size());
    }
    for (service_index s = 0; s < directory_.service_count(); ++s)
    {
        if (waiting[s] > 0)
        {
            request_from_other_zones(s, waiting[s], generator, now);
        }
    }
}

void slot_ledger::renew_or_grow_loan(instance_index i, std::size_t waiting,
                                     time_point now)
{
    const endpoint_instance& e = directory_.at(i);
    const std::uint32_t usable = e.share.usable(now);
    if (usable == 0 || e.peak_in_flight < e.share.allocation().floor)
    {
        return;
    }
    const bool grows = e.peak_in_flight >= usable;
    if (!grows && e.share.loan_left(now) >= renewal_threshold)
    {
        return;
    }
    const std::uint32_t extra = grows ? (waiting > 0 ? 2 : 1) : 0;
    const std::uint32_t wanted =
        e.peak_in_flight - e.share.allocation().floor + extra;
    if (wanted > 0)
    {
        request_slots(i, wanted, now);
    }
}

void slot_ledger::request_from_other_zones(service_index s, std::size_t waiting,
                                           std::mt19937_64& generator,
                                           time_point now)
{
    const service_instances& service = directory_.service(s);
    std::size_t requests_left = std::min(max_remote_requests, waiting);
    for (std::size_t t = 1; t < tier_count; ++t)
    {
        const auto& tier = service.tiers[t];
        for (std::size_t tries = 0;
             tries < 2 * max_remote_requests && requests_left > 0; ++tries)
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
                request_slots(i, 2, now);
                --requests_left;
            }
        }
    }
}

void slot_ledger::request_slots(instance_index i, std::uint32_t wanted,
                                time_point now)
{
    endpoint_instance& e = directory_.at(i);
    const slot_allocation& allocation = e.share.allocation();
    if (allocation.pool == 0 || allocation.coordinator.empty())
    {
        return;
    }
    const slot_request request{++last_request_number_, e.id, wanted};
    e.share.add_pending_request(request.number, now);
    if (allocation.coordinator == directory_.self())
    {
        e.share.accept_grant(lend(e, directory_.self(), request, now));
        return;
    }
    messages_.push_back({allocation.coordinator, request});
}

void slot_ledger::on_request(const vm_id& sender, const slot_request& request,
                             time_point now)
{
    const auto i = directory_.find(request.instance);
    if (!i ||
        directory_.at(*i).share.allocation().coordinator != directory_.self())
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
    if (!tracks_loans_ && instance.share.may_lend(now))
    {
        grant.granted =
            std::min(request.wanted, instance.share.allocation().pool);
    }
    return grant;
}

void slot_ledger::on_grant(const slot_grant& grant)
{
    const auto i = directory_.find(grant.instance);
    if (i)
    {
        directory_.at(*i).share.accept_grant(grant);
    }
}

void slot_ledger::release_loans(time_point now)
{
    for (instance_index i = 0; i < directory_.size(); ++i)
    {
        endpoint_instance& e = directory_.at(i);
        if (e.share.loan(now) == 0)
        {
            continue;
        }
        const slot_request request{++last_request_number_, e.id, 0};
        e.share.relinquish(request.number);
        if (e.share.allocation().coordinator != directory_.self())
        {
            messages_.push_back({e.share.allocation().coordinator, request});
        }
    }
}

std::vector<send_to_peer> slot_ledger::take_messages()
{
    return std::exchange(messages_, {});
}

} // namespace hemlockdeal
