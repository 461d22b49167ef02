// Request core: attempts, retries and outcomes.
#pragma once

#include <algorithm>

namespace hemlockdeal
{

template <request_policy Policy>
request_record* request_core<Policy>::find(request_id request)
{
    const auto found = records_.find(request.value());
    return found == records_.end() ? nullptr : &found->second;
}

template <request_policy Policy>
request_record* request_core<Policy>::find_running(request_id request,
                                                   attempt number)
{
    request_record* r = find(request);
    const bool is_running = r != nullptr &&
                            r->phase == request_phase::running &&
                            r->attempts == number.value();
    return is_running ? r : nullptr;
}

template <request_policy Policy>
void request_core<Policy>::start(request_record& r, instance_index instance,
                                 time_point now)
{
    const endpoint_instance& e = directory_.at(instance);
    r.phase = request_phase::running;
    if (r.attempts == 0)
    {
        budget_.count_request();
    }
    ++r.attempts;
    r.instance = instance;
    r.attempt_started = now;
    r.sending = false;
    r.may_have_run_before = r.may_have_run;
    r.suspected = false;
    r.is_endpoint_lost = false;
    r.head_received = false;
    const auto timeout =
        duration(static_cast<long>(static_cast<double>(r.rule->target.count()) *
                                   settings_.timeout_target_multiple));
    r.deadline = now + std::clamp(timeout, settings_.shortest_timeout,
                                  std::max(request_limits::max_timeout,
                                           settings_.shortest_timeout));
    directory_.add_in_flight(instance, r.id, now);
    set_wakeup(r, std::min(r.deadline, now + request_limits::connect_timeout));
    if (e.tier == far_tier)
    {
        const bool body_size_known = r.body_bytes != unknown_body_size;
        link_out_.use(request_limits::head_bytes +
                          (body_size_known
                               ? r.body_bytes
                               : request_limits::assumed_body_bytes),
                      now);
    }
    actions_.emplace_back(start_attempt{r.id, attempt(r.attempts), e.id,
                                        e.address, r.deadline,
                                        r.claim.has_value()});
}

template <request_policy Policy>
void request_core<Policy>::on_attempt_event(request_id request, attempt number,
                                            const attempt_event& event,
                                            time_point now)
{
    request_record* r = find_running(request, number);
    if (r == nullptr)
    {
        return;
    }
    const service_index service = r->service;
    std::visit([&](const auto& e) { on_event(*r, e, now); }, event);
    dispatch(service, now);
    collect_actions(now);
}

template <request_policy Policy>
void request_core<Policy>::on_event(request_record& r,
                                    const attempt_failed_unsent& event,
                                    time_point now)
{
    ejector_.record_failure(r.instance, now);
    end_attempt(r);
    retry_or_finish(r, event.reason, now);
}

template <request_policy Policy>
void request_core<Policy>::on_event(request_record& r,
                                    const attempt_sending& /*event*/,
                                    time_point now)
{
    // The instance may have started leaving while the connection was being
    // established.
    if (!Policy::may_receive(directory_.at(r.instance).is_leaving()))
    {
        abandon(r);
        retry_or_finish(
            r, "instance started leaving before the request was sent", now);
        return;
    }
    r.sending = true;
    r.may_have_run = true;
    // The attempt becomes suspect when the response takes three times the
    // estimated tail of the response times.
    const response_estimate& instance_estimate =
        directory_.at(r.instance).health.responses();
    const response_estimate& service_estimate =
        directory_.service(r.service).responses;
    const duration tail = instance_estimate.samples() > 20
                              ? instance_estimate.tail()
                              : service_estimate.tail();
    const duration allowed_silence =
        std::max(3 * tail, request_limits::min_suspect_silence);
    const bool has_samples =
        instance_estimate.samples() + service_estimate.samples() > 20;
    set_wakeup(r, has_samples ? std::min(r.deadline, now + allowed_silence)
                              : r.deadline);
}

template <request_policy Policy>
void request_core<Policy>::on_event(request_record& r,
                                    const attempt_head& event, time_point now)
{
    if (event.leaving)
    {
        ejector_.record_leaving(r.instance, now);
    }
    if (r.forwarded || r.head_received)
    {
        return;
    }
    r.head_received = true;
    r.status = event.status;
    if (event.not_run)
    {
        on_refusal(r, now);
        return;
    }
    const bool failed = event.status >= 500;
    if (failed)
    {
        ejector_.record_error_status(r.instance, now);
    }
    else
    {
        const duration elapsed = now - r.attempt_started;
        ejector_.record_response(r.instance, elapsed, now);
        directory_.service(r.service).responses.add(elapsed);
    }
    if (failed && r.rule->idempotent && can_retry(r, now) &&
        retry_on_other_instance(r, now))
    {
        return;
    }
    r.forwarded = true;
    // From here on, the idle timeout of the proxy applies.
    r.wakeup_at.reset();
    if (!r.caller_gone)
    {
        actions_.emplace_back(forward_response{r.id, attempt(r.attempts)});
    }
}

// Handles a response that reports that the endpoint did not run the request.
template <request_policy Policy>
void request_core<Policy>::on_refusal(request_record& r, time_point now)
{
    if (!directory_.at(r.instance).announced_leaving)
    {
        ejector_.record_refusal(r.instance, now);
    }
    // A non-idempotent request is not resent even now: the report may be wrong,
    // and running a request twice is worse than not running it.
    r.may_have_run = r.may_have_run_before;
    if (r.rule->idempotent && can_retry(r, now) &&
        retry_on_other_instance(r, now))
    {
        return;
    }
    abandon(r);
    if (Policy::may_report_not_run(true, !r.may_have_run))
    {
        finish_not_run(r, 503,
                       "endpoint refused the request without running it", now);
        return;
    }
    finish_unknown(
        r, 504,
        "endpoint refused the last attempt; an earlier attempt may have run",
        now);
}

template <request_policy Policy>
void request_core<Policy>::on_event(request_record& r,
                                    const attempt_done& event, time_point now)
{
    if (!r.forwarded)
    {
        on_event(r, attempt_broken{"response ended before its header section"},
                 now);
        return;
    }
    directory_.service(r.service).occupancy.add(now - r.attempt_started);
    if (directory_.at(r.instance).tier == far_tier)
    {
        link_in_.use(request_limits::head_bytes + event.response_bytes, now);
    }
    end_attempt(r);
    if (r.claim)
    {
        claims_.store_result(*r.claim, event.response);
        r.claim.reset();
    }
    finish(r, request_outcome::done, r.status, now);
}

template <request_policy Policy>
void request_core<Policy>::on_event(request_record& r,
                                    const attempt_broken& event, time_point now)
{
    ejector_.record_failure(r.instance, now);
    end_attempt(r);
    if (r.forwarded)
    {
        if (!r.caller_gone)
        {
            actions_.emplace_back(abort_response{r.id, event.reason});
        }
        finish(r, request_outcome::unknown, r.status, now);
        return;
    }
    count_lost_endpoint(r);
    retry_or_finish(r, event.reason, now);
}

template <request_policy Policy>
void request_core<Policy>::count_lost_endpoint(request_record& r)
{
    if (!std::exchange(r.is_endpoint_lost, true))
    {
        ++r.endpoints_lost;
    }
}

template <request_policy Policy>
void request_core<Policy>::end_attempt(request_record& r)
{
    directory_.remove_in_flight(r.instance, r.id);
    r.phase = request_phase::arrived;
    r.excluded = r.instance;
    r.wakeup_at.reset();
}

template <request_policy Policy>
void request_core<Policy>::abandon(request_record& r)
{
    actions_.emplace_back(abandon_attempt{r.id, attempt(r.attempts)});
    end_attempt(r);
}

template <request_policy Policy>
bool request_core<Policy>::can_retry(const request_record& r, time_point now)
{
    const bool replayable = !r.sending || r.body_bytes <= max_replayed_body;
    return !r.caller_gone && replayable &&
           r.attempts < settings_.max_attempts &&
           r.endpoints_lost < request_limits::max_endpoints_lost &&
           Policy::may_send_again(r.may_have_run, r.rule->idempotent) &&
           Policy::may_retry(budget_.has_room(now));
}

// Moves the running request to another instance with a free slot.
template <request_policy Policy>
bool request_core<Policy>::retry_on_other_instance(request_record& r,
                                                   time_point now)
{
    const auto previous_excluded = std::exchange(r.excluded, r.instance);
    const auto instance = choose(r, now);
    if (!instance)
    {
        r.excluded = previous_excluded;
        return false;
    }
    budget_.take();
    abandon(r);
    start(r, *instance, now);
    return true;
}

// Retries a request whose attempt ended without a response, or finishes it.
template <request_policy Policy>
void request_core<Policy>::retry_or_finish(request_record& r,
                                           const std::string& reason,
                                           time_point now)
{
    if (!can_retry(r, now))
    {
        finish_without_response(r, 503, reason, now);
        return;
    }
    budget_.take();
    const auto instance = choose(r, now);
    if (instance)
    {
        start(r, *instance, now);
        return;
    }
    r.start_by = std::max(r.start_by, now + r.rule->target / 4);
    enqueue(r, now);
}

template <request_policy Policy>
void request_core<Policy>::on_caller_gone(request_id request, time_point now)
{
    request_record* r = find(request);
    if (r == nullptr)
    {
        return;
    }
    r->caller_gone = true;
    const service_index service = r->service;
    const bool is_running = r->phase == request_phase::running;
    if (is_running && r->claim && r->sending)
    {
        return;
    }
    if (is_running)
    {
        abandon(*r);
    }
    finish(*r, request_outcome::caller_gone, 0, now);
    dispatch(service, now);
    collect_actions(now);
}

template <request_policy Policy>
void request_core<Policy>::on_wakeup(request_record& r, time_point now)
{
    const service_index service = r.service;
    switch (r.phase)
    {
    case request_phase::claiming:
        finish_not_run(r, 503, "idempotency key was not claimed in time", now);
        break;
    case request_phase::queued:
        finish_without_response(
            r, r.attempts == 0 ? 429 : 503,
            r.attempts == 0 ? "overload" : "no other instance has a free slot",
            now);
        break;
    case request_phase::running:
        on_running_wakeup(r, now);
        break;
    case request_phase::arrived:
        break;
    }
    dispatch(service, now);
}

template <request_policy Policy>
void request_core<Policy>::on_running_wakeup(request_record& r, time_point now)
{
    if (!r.sending)
    {
        ejector_.record_failure(r.instance, now);
        abandon(r);
        retry_or_finish(
            r, "connection to the instance was not established in time", now);
        return;
    }
    if (now >= r.deadline)
    {
        ejector_.record_failure(r.instance, now);
        abandon(r);
        finish_without_response(
            r, 503, "instance did not respond before the deadline", now);
        return;
    }
    r.suspected = true;
    set_wakeup(r, r.deadline);
    probe(r.instance);
}

template <request_policy Policy>
void request_core<Policy>::on_probe_result(const instance_id& instance,
                                           bool healthy, time_point now)
{
    const auto i = directory_.find(instance);
    if (!i)
    {
        return;
    }
    // A request without a response: if the instance responds to the probe, the
    // connection of the request is suspect, otherwise the instance is. In both
    // cases the request is retried on another instance.
    const auto in_flight = directory_.at(*i).in_flight;
    for (const auto& [since, request] : in_flight)
    {
        request_record* r = find(request);
        if (r == nullptr || !r->suspected || r->head_received)
        {
            continue;
        }
        if (!healthy)
        {
            count_lost_endpoint(*r);
        }
        if (r->rule->idempotent && can_retry(*r, now))
        {
            r->suspected = false;
            retry_on_other_instance(*r, now);
        }
    }
    ejector_.on_probe_result(*i, healthy, now);
    directory_.refresh_capacity(now);
    dispatch(directory_.at(*i).service, now);
    collect_actions(now);
}

template <request_policy Policy>
void request_core<Policy>::set_wakeup(request_record& r, time_point at)
{
    r.wakeup_at = at;
    if (!r.queued_wakeup_at || at < *r.queued_wakeup_at)
    {
        r.queued_wakeup_at = at;
        wakeups_.push(at, r.id);
    }
}

template <request_policy Policy>
void request_core<Policy>::probe(instance_index instance)
{
    const endpoint_instance& e = directory_.at(instance);
    actions_.emplace_back(probe_instance{e.id, e.address});
}

template <request_policy Policy>
void request_core<Policy>::finish_without_response(request_record& r,
                                                   unsigned status,
                                                   const std::string& reason,
                                                   time_point now)
{
    if (Policy::may_report_not_run(r.may_have_run, false))
    {
        finish_not_run(r, status, reason, now);
        return;
    }
    const bool may_crash_endpoints =
        r.endpoints_lost >= request_limits::max_endpoints_lost;
    finish_unknown(r, 504,
                   may_crash_endpoints
                       ? std::to_string(r.endpoints_lost) +
                             " endpoints were lost while they processed the "
                             "request: " +
                             reason
                       : reason,
                   now);
}

template <request_policy Policy>
void request_core<Policy>::finish_not_run(request_record& r, unsigned status,
                                          const std::string& reason,
                                          time_point now)
{
    if (!r.caller_gone)
    {
        actions_.emplace_back(respond_not_run{r.id, status, reason});
    }
    if (r.claim)
    {
        claims_.release(*r.claim);
        r.claim.reset();
    }
    finish(r, request_outcome::not_run, status, now);
}

template <request_policy Policy>
void request_core<Policy>::finish_unknown(request_record& r, unsigned status,
                                          const std::string& reason,
                                          time_point now)
{
    if (!r.caller_gone)
    {
        actions_.emplace_back(respond_unknown{r.id, status, reason});
    }
    timeline_event event;
    event.kind = "request.unknown";
    event.request = std::to_string(r.id.value());
    event.attempt = r.attempts;
    event.text = reason;
    actions_.emplace_back(record_event{std::move(event)});
    finish(r, request_outcome::unknown, status, now);
}

// Ends the request. A claim that is still set was neither released nor given a
// result: it is deleted if no bytes were sent, and otherwise the key stays
// claimed.
template <request_policy Policy>
void request_core<Policy>::finish(request_record& r, request_outcome outcome,
                                  unsigned status, time_point now)
{
    if (r.phase == request_phase::queued)
    {
        queues_[r.service].remove(*r.rule, {r.start_by, r.id});
    }
    if (r.claim && r.may_have_run)
    {
        claims_.drop_entry(*r.claim);
    }
    else if (r.claim)
    {
        claims_.release(*r.claim);
    }
    actions_.emplace_back(finish_request{
        r.id, r.rule->work_class, outcome, r.caller_gone ? 0 : status,
        now - r.arrived, r.attempts, r.endpoints_lost});
    records_.erase(r.id.value());
}

} // namespace hemlockdeal
