// Request core of a daemon: admits, routes and retries requests and decides
// their outcomes, shares the slots of instances with other daemons, and claims
// the keys of non-idempotent requests.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/core.hpp"
#include "request/admission_queue.hpp"
#include "request/claim_table.hpp"
#include "request/ejector.hpp"
#include "request/endpoint_directory.hpp"
#include "request/link_bucket.hpp"
#include "request/path_classifier.hpp"
#include "request/request_action.hpp"
#include "request/request_event.hpp"
#include "request/request_policy.hpp"
#include "request/request_record.hpp"
#include "request/request_settings.hpp"
#include "request/retry_budget.hpp"
#include "request/router.hpp"
#include "request/slot_ledger.hpp"
#include "request/wakeup_queue.hpp"

namespace hemlockdeal
{

// Not thread-safe; used only on the proxy's thread. After each event the caller
// carries out take_actions() in order. It calls on_tick() at next_wakeup().
template <request_policy Policy = standard_request_policy>
class request_core
{
public:
    explicit request_core(request_settings settings);
    // Not copyable: members hold references to each other.
    request_core(const request_core&) = delete;
    request_core& operator=(const request_core&) = delete;

    void on_configuration(const configuration& c);
    void on_membership(const membership_list& list, time_point now);

    void on_request(const request_head& head, time_point now);
    // The caller disconnected, so no response can be delivered. A claimed
    // request that was already sent continues without forward_response, so that
    // its response can be stored for duplicates; any other attempt is
    // abandoned.
    void on_caller_gone(request_id request, time_point now);
    void on_attempt_event(request_id request, attempt number,
                          const attempt_event& event, time_point now);

    void on_commit_outcome(const commit_id& id, const commit_outcome& outcome,
                           time_point now);
    void on_row(std::uint64_t number, const row_reply& reply, time_point now);
    void on_peer(const vm_id& sender, const peer_body& body, time_point now);
    void on_probe_result(const instance_id& instance, bool healthy,
                         time_point now);
    // Counts bytes that other components of the daemon sent to another region.
    void on_link_use(std::uint64_t bytes, time_point now);

    // Starts draining for a planned stop. New requests are still served, since
    // the listener closes later; the proxy closes their connections.
    void start_drain(time_point now);
    // True when draining was started, no request is left and no result is
    // waiting to be stored, or the timeout for writing results has passed.
    bool is_drained() const;
    bool is_draining() const;

    void on_tick(time_point now);
    std::optional<time_point> next_wakeup() const;
    std::vector<request_action> take_actions();

    // This daemon's share of the connections of the instance.
    std::uint32_t connection_share(const instance_id& instance,
                                   time_point now) const;
    std::size_t requests() const { return records_.size(); }
    std::size_t waiting() const;
    const endpoint_directory& endpoints() const { return directory_; }

private:
    using records = std::unordered_map<std::uint64_t, request_record>;

    request_record* find(request_id request);
    // Returns the record if the given attempt is the running one, or null.
    request_record* find_running(request_id request, attempt number);

    void update_link_rates();
    void admit(request_record& r, time_point now);
    time_point latest_start(const request_record& r) const;
    bool has_instances(const request_record& r) const;
    bool can_start_in_time(const request_record& r, time_point now) const;
    bool shed_lower_priority(const request_record& r,
                             std::optional<time_point> start_by,
                             time_point now);
    void enqueue(request_record& r, time_point now);
    void apply_claim_decisions(time_point now);

    void dispatch(service_index service, time_point now);
    bool dispatch_class(admission_queue& queue,
                        admission_queue::class_queue& class_queue,
                        time_point now);
    bool must_leave_reserve(const request_record& r) const;
    std::optional<instance_index> choose(const request_record& r,
                                         time_point now);
    void start(request_record& r, instance_index instance, time_point now);

    void on_event(request_record& r, const attempt_failed_unsent& event,
                  time_point now);
    void on_event(request_record& r, const attempt_sending& event,
                  time_point now);
    void on_event(request_record& r, const attempt_head& event, time_point now);
    void on_event(request_record& r, const attempt_done& event, time_point now);
    void on_event(request_record& r, const attempt_broken& event,
                  time_point now);
    void on_refusal(request_record& r, time_point now);
    void count_lost_endpoint(request_record& r);
    void end_attempt(request_record& r);
    void abandon(request_record& r);

    bool can_retry(const request_record& r, time_point now);
    bool retry_on_other_instance(request_record& r, time_point now);
    void retry_or_finish(request_record& r, const std::string& reason,
                         time_point now);

    void on_wakeup(request_record& r, time_point now);
    void on_running_wakeup(request_record& r, time_point now);
    void set_wakeup(request_record& r, time_point at);
    void probe(instance_index instance);

    void finish_without_response(request_record& r, unsigned status,
                                 const std::string& reason, time_point now);
    void finish_not_run(request_record& r, unsigned status,
                        const std::string& reason, time_point now);
    void finish_unknown(request_record& r, unsigned status,
                        const std::string& reason, time_point now);
    void finish(request_record& r, request_outcome outcome, unsigned status,
                time_point now);
    void collect_actions(time_point now);

    request_settings settings_;
    bool configured_ = false;
    path_classifier classifier_;
    endpoint_directory directory_;
    slot_ledger ledger_;
    ejector ejector_;
    router<Policy> router_;
    retry_budget budget_;
    claim_table claims_;
    // Traffic to other regions and from other regions.
    link_bucket link_out_;
    link_bucket link_in_;
    std::uint64_t link_bits_per_second_ = 0;
    records records_;
    // Indexed by service_index.
    std::vector<admission_queue> queues_;
    wakeup_queue wakeups_;
    std::vector<request_action> actions_;
    std::optional<time_point> drain_started_;
    bool drained_ = false;
};

} // namespace hemlockdeal

#include "request/request_core.ipp"
