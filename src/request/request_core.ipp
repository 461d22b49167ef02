// Request core: external events, admission and dispatch. Attempts and outcomes
// are in request_attempts.ipp.
#pragma once

#include <algorithm>

namespace hemlockdeal
{

namespace request_limits
{

// Connection timeout. No bytes have been sent by then, so the request may be
// retried on another instance.
inline constexpr duration connect_timeout = std::chrono::seconds(1);
inline constexpr duration max_timeout = std::chrono::minutes(5);
// Maximum time in the queue, regardless of the target.
inline constexpr duration max_queue_wait = std::chrono::seconds(30);
// Minimum time without a response after which an attempt becomes suspect.
inline constexpr duration min_suspect_silence = std::chrono::milliseconds(100);
// Maximum time for which draining waits for results that cannot be written.
inline constexpr duration drain_write_timeout = std::chrono::seconds(10);
// Batch classes leave one slot in 25 free. With one in 50, interactive requests
// missed their target at twice the capacity; with one in 10, the goodput was 4%
// lower.
inline constexpr std::uint32_t reserve_divisor = 25;
// With fewer slots than this, the reserve would be too large a share.
inline constexpr std::uint32_t min_capacity_for_reserve = 8;
// Endpoints that may stop responding while they process the same request. The
// request may be the cause, so it is not sent to any further ones.
inline constexpr std::uint32_t max_endpoints_lost = 2;
// Bytes counted on the link for a head, and for a body of unknown size.
inline constexpr std::uint64_t head_bytes = 1024;
inline constexpr std::uint64_t assumed_body_bytes = 64ULL * 1024;

} // namespace request_limits

template <request_policy Policy>
request_core<Policy>::request_core(request_settings settings)
    : settings_(std::move(settings)),
      directory_(settings_.vm, settings_.zone, settings_.region,
                 settings_.floor_share),
      ledger_(directory_, settings_.process, Policy::tracks_loans()),
      ejector_(directory_, Policy::ejects_instances()), router_(settings_.seed),
      budget_(settings_.retry_share, settings_.retries_per_second),
      claims_(settings_, Policy::holds_unresolved_claim())
{}

template <request_policy Policy>
void request_core<Policy>::on_configuration(const configuration& c)
{
    configured_ = true;
    classifier_.adopt(c.content);
    directory_.set_zones_out(c.zones_out);
    link_bits_per_second_ = c.content.link.bits_per_second;
    update_link_rates();
}

template <request_policy Policy>
void request_core<Policy>::on_membership(const membership_list& list,
                                         time_point now)
{
    directory_.apply(list, now);
    update_link_rates();
    queues_.resize(directory_.service_count());
    for (service_index s = 0; s < queues_.size(); ++s)
    {
        dispatch(s, now);
    }
    collect_actions(now);
}

template <request_policy Policy>
void request_core<Policy>::update_link_rates()
{
    const std::size_t entry_vm_count = directory_.entry_vms_in_region();
    link_out_.set_rate(link_bits_per_second_, entry_vm_count);
    link_in_.set_rate(link_bits_per_second_, entry_vm_count);
}

template <request_policy Policy>
void request_core<Policy>::on_request(const request_head& head, time_point now)
{
    const auto rule = classifier_.classify(head.path);
    if (!rule)
    {
        const bool ready = configured_;
        actions_.emplace_back(respond_not_run{
            head.id, ready ? 404U : 503U,
            ready ? "no route matches the path"
                  : "daemon has not received a configuration yet"});
        actions_.emplace_back(finish_request{
            head.id, {}, request_outcome::not_run, ready ? 404U : 503U, {}, 0});
        return;
    }
    request_record& r = records_[head.id.value()];
    r.id = head.id;
    r.rule = rule;
    r.service = directory_.service_of(rule->service);
    queues_.resize(directory_.service_count());
    r.body_bytes = head.body_bytes;
    r.arrived = now;
    r.start_by = latest_start(r);
    if (!rule->idempotent)
    {
        r.claim = head.key;
    }
    if (head.key && r.claim)
    {
        const std::string fingerprint =
            std::to_string(stable_hash(head.method + " " + head.path));
        if (can_start_in_time(r, now))
        {
            r.phase = request_phase::claiming;
            set_wakeup(r, r.start_by);
            claims_.begin_claim(r.id, *r.claim, fingerprint);
            collect_actions(now);
            return;
        }
    }
    admit(r, now);
    collect_actions(now);
}

// The endpoint needs the rest of the target, so requests of a service with
// long response times may wait less in the queue.
template <request_policy Policy>
time_point request_core<Policy>::latest_start(const request_record& r) const
{
    const duration target = r.rule->target;
    const duration wait_limit = std::min(
        duration(static_cast<long>(static_cast<double>(target.count()) *
                                   settings_.max_queue_share)),
        request_limits::max_queue_wait);
    const duration remaining =
        target - directory_.service(r.service).responses.tail();
    return r.arrived +
           std::clamp(remaining, std::min(wait_limit, target / 10), wait_limit);
}

template <request_policy Policy>
bool request_core<Policy>::has_instances(const request_record& r) const
{
    const auto& tiers = directory_.service(r.service).tiers;
    const std::size_t reachable = r.rule->cross_region ? tier_count : far_tier;
    return std::any_of(
        tiers.begin(), tiers.begin() + static_cast<std::ptrdiff_t>(reachable),
        [&](const auto& tier) {
            return std::ranges::any_of(tier, [&](instance_index i) {
                return !directory_.at(i).is_leaving();
            });
        });
}

template <request_policy Policy>
bool request_core<Policy>::can_start_in_time(const request_record& r,
                                             time_point now) const
{
    const service_instances& s = directory_.service(r.service);
    const admission_queue& queue = queues_[r.service];
    if (s.in_flight < s.capacity && queue.size() == 0)
    {
        return true;
    }
    const std::size_t ahead = queue.count_ahead(*r.rule, r.start_by);
    const auto wait =
        duration(static_cast<long>(ahead + 1) * s.occupancy.mean().count() /
                 static_cast<long>(std::max(1U, s.capacity)));
    return now + wait <= r.start_by;
}

// Starts the request, queues it, or refuses it immediately if it cannot be
// started in time. Lower-priority requests are shed first.
template <request_policy Policy>
void request_core<Policy>::admit(request_record& r, time_point now)
{
    if (!has_instances(r))
    {
        finish_without_response(r, 503, "service has no available instance",
                                now);
        return;
    }
    while (Policy::limits_queue_wait() && !can_start_in_time(r, now))
    {
        if (!shed_lower_priority(r, r.start_by, now))
        {
            finish_without_response(r, 429, "overload", now);
            return;
        }
    }
    // Checks the wait expected from the start rate of the class. The rate does
    // not change immediately, so only one request is shed for each new one.
    const duration estimated = queues_[r.service].estimated_wait(*r.rule);
    if (Policy::limits_queue_wait() && now + estimated > r.start_by &&
        !shed_lower_priority(r, r.start_by, now))
    {
        finish_without_response(r, 429, "overload", now);
        return;
    }
    if (waiting() >= settings_.max_waiting &&
        !shed_lower_priority(r, std::nullopt, now))
    {
        finish_without_response(r, 429, "request queue is full", now);
        return;
    }
    enqueue(r, now);
}

// Refuses a queued request of a lower priority than this one.
template <request_policy Policy>
bool request_core<Policy>::shed_lower_priority(
    const request_record& r, std::optional<time_point> start_by, time_point now)
{
    const auto evicted =
        queues_[r.service].shed_lower_priority(*r.rule, start_by);
    if (!evicted)
    {
        return false;
    }
    request_record& other = *find(*evicted);
    other.phase = request_phase::arrived;
    finish_without_response(other, 429, "overload", now);
    return true;
}

template <request_policy Policy>
void request_core<Policy>::enqueue(request_record& r, time_point now)
{
    r.phase = request_phase::queued;
    queues_[r.service].push(*r.rule, {r.start_by, r.id});
    const service_index service = r.service;
    if (Policy::limits_queue_wait())
    {
        set_wakeup(r, r.start_by);
    }
    // This may erase the record.
    dispatch(service, now);
}

template <request_policy Policy>
void request_core<Policy>::apply_claim_decisions(time_point now)
{
    for (claim_decision& d : claims_.take_decisions())
    {
        request_record* r = find(d.request);
        if (r == nullptr || r->phase != request_phase::claiming)
        {
            continue;
        }
        if (std::holds_alternative<claim_held>(d.decision))
        {
            enqueue(*r, now);
            continue;
        }
        // The key does not belong to this request.
        r->claim.reset();
        if (const auto* not_run = std::get_if<claim_not_run>(&d.decision))
        {
            finish_not_run(*r, not_run->status, not_run->reason, now);
        }
        else if (const auto* unknown = std::get_if<claim_unknown>(&d.decision))
        {
            finish_unknown(*r, 409, unknown->reason, now);
        }
        else
        {
            auto& response = std::get<stored_response>(d.decision);
            const unsigned status = response.status;
            actions_.emplace_back(respond_stored{r->id, std::move(response)});
            finish(*r, request_outcome::done, status, now);
        }
    }
}

template <request_policy Policy>
void request_core<Policy>::dispatch(service_index service, time_point now)
{
    admission_queue& queue = queues_[service];
    bool started = true;
    while (started && queue.size() > 0)
    {
        const auto candidates = queue.ready_queues();
        started = std::ranges::any_of(candidates, [&](auto* class_queue) {
            return dispatch_class(queue, *class_queue, now);
        });
    }
}

template <request_policy Policy>
bool request_core<Policy>::dispatch_class(
    admission_queue& queue, admission_queue::class_queue& class_queue,
    time_point now)
{
    request_record& r = *find(class_queue.items.front().request);
    if (must_leave_reserve(r))
    {
        return false;
    }
    const auto instance = choose(r, now);
    if (!instance)
    {
        return false;
    }
    queue.pop_front(class_queue);
    start(r, *instance, now);
    return true;
}

template <request_policy Policy>
bool request_core<Policy>::must_leave_reserve(const request_record& r) const
{
    const service_instances& s = directory_.service(r.service);
    if (!r.rule->is_batch ||
        s.capacity < request_limits::min_capacity_for_reserve)
    {
        return false;
    }
    const std::uint32_t reserve =
        std::max(1U, s.capacity / request_limits::reserve_divisor);
    return s.in_flight + reserve >= s.capacity;
}

template <request_policy Policy>
std::optional<instance_index>
request_core<Policy>::choose(const request_record& r, time_point now)
{
    const bool link_has_room = r.rule->cross_region &&
                               link_out_.has_room(r.rule->is_batch, now) &&
                               link_in_.has_room(r.rule->is_batch, now);
    return router_.choose(directory_, r.service, *r.rule, link_has_room,
                          r.excluded, now);
}

template <request_policy Policy>
void request_core<Policy>::on_commit_outcome(const commit_id& id,
                                             const commit_outcome& outcome,
                                             time_point now)
{
    claims_.on_commit_outcome(id, outcome, now);
    collect_actions(now);
}

template <request_policy Policy>
void request_core<Policy>::on_row(std::uint64_t number, const row_reply& reply,
                                  time_point now)
{
    claims_.on_row(number, reply, now);
    collect_actions(now);
}

template <request_policy Policy>
void request_core<Policy>::on_peer(const vm_id& sender, const peer_body& body,
                                   time_point now)
{
    if (const auto* request = std::get_if<slot_request>(&body))
    {
        ledger_.on_request(sender, *request, now);
    }
    else if (const auto* grant = std::get_if<slot_grant>(&body))
    {
        ledger_.on_grant(*grant);
        const auto instance = directory_.find(grant->instance);
        if (instance)
        {
            dispatch(directory_.at(*instance).service, now);
        }
    }
    collect_actions(now);
}

template <request_policy Policy>
void request_core<Policy>::on_link_use(std::uint64_t bytes, time_point now)
{
    link_out_.use(bytes, now);
}

template <request_policy Policy>
void request_core<Policy>::start_drain(time_point now)
{
    if (!drain_started_)
    {
        drain_started_ = now;
    }
    collect_actions(now);
}

template <request_policy Policy>
bool request_core<Policy>::is_draining() const
{
    return drain_started_.has_value();
}

template <request_policy Policy>
bool request_core<Policy>::is_drained() const
{
    return drained_;
}

template <request_policy Policy>
void request_core<Policy>::on_tick(time_point now)
{
    while (const auto due = wakeups_.pop_due(now))
    {
        request_record* r = find(due->second);
        if (r == nullptr || r->queued_wakeup_at != due->first)
        {
            continue;
        }
        r->queued_wakeup_at.reset();
        if (r->wakeup_at && *r->wakeup_at <= now)
        {
            r->wakeup_at.reset();
            on_wakeup(*r, now);
        }
        else if (r->wakeup_at)
        {
            set_wakeup(*r, *r->wakeup_at);
        }
    }
    for (const instance_index i : ejector_.run(now))
    {
        probe(i);
    }
    if (now >= ledger_.next_round())
    {
        std::vector<std::size_t> is_measuring;
        std::ranges::transform(queues_, std::back_inserter(is_measuring),
                               &admission_queue::size);
        ledger_.run_round(is_measuring, router_.generator(), now);
        directory_.refresh_capacity(now);
        for (service_index s = 0; s < queues_.size(); ++s)
        {
            queues_[s].update_rates(now);
            dispatch(s, now);
        }
    }
    collect_actions(now);
}

template <request_policy Policy>
std::optional<time_point> request_core<Policy>::next_wakeup() const
{
    time_point next = std::min(ledger_.next_round(), ejector_.next_run());
    for (const auto other : {wakeups_.next(), claims_.next_run()})
    {
        next = other ? std::min(next, *other) : next;
    }
    return next;
}

template <request_policy Policy>
std::vector<request_action> request_core<Policy>::take_actions()
{
    return std::exchange(actions_, {});
}

// Runs the claim table and collects the actions of all components.
template <request_policy Policy>
void request_core<Policy>::collect_actions(time_point now)
{
    claims_.run(now);
    apply_claim_decisions(now);
    // A decision may have released a claim or stored a result.
    claims_.run(now);
    for (auto& action : claims_.take_actions())
    {
        std::visit([&](auto& a) { actions_.emplace_back(std::move(a)); },
                   action);
    }
    if (drain_started_ && !drained_ && records_.empty() &&
        (claims_.is_idle() ||
         now - *drain_started_ > request_limits::drain_write_timeout))
    {
        ledger_.release_loans(now);
        drained_ = true;
    }
    for (send_to_peer& message : ledger_.take_messages())
    {
        actions_.emplace_back(std::move(message));
    }
    for (record_event& event : ejector_.take_events())
    {
        actions_.emplace_back(std::move(event));
    }
}

template <request_policy Policy>
std::uint32_t
request_core<Policy>::connection_share(const instance_id& instance,
                                       time_point now) const
{
    const auto i = directory_.find(instance);
    if (!i || directory_.at(*i).slots == 0)
    {
        return 0;
    }
    const endpoint_instance& e = directory_.at(*i);
    return e.connections * e.share.usable(now) / e.slots;
}

template <request_policy Policy>
std::size_t request_core<Policy>::waiting() const
{
    std::size_t count = 0;
    for (const admission_queue& q : queues_)
    {
        count += q.size();
    }
    return count;
}

} // namespace hemlockdeal

#include "request/request_attempts.ipp"
