// The request core of a daemon. It admits, routes, retries and answers
// requests, shares the slots of instances with other daemons, and claims keys
// of non-idempotent requests.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/core.hpp"
#include "request/request_action.hpp"
#include "request/request_event.hpp"
#include "request/request_policy.hpp"
#include "request/request_settings.hpp"

namespace hemlockdeal
{

// Not thread-safe; belongs to the proxy's thread. After each event the caller
// carries out take_actions() in order, and calls on_tick() at next_wakeup().
template <request_policy Policy = standard_request_policy>
class request_core
{
public:
    explicit request_core(request_settings settings);

    void on_configuration(const configuration& c);
    void on_membership(const membership_list& list, time_point now);

    void on_request(const request_head& head, time_point now);
    // The caller closed its connection; there is nobody to answer.
    void on_caller_gone(request_id request, time_point now);
    void on_attempt_event(request_id request, attempt number,
                          const attempt_event& event, time_point now);

    void on_commit_outcome(const commit_id& id, const commit_outcome& outcome,
                           time_point now);
    void on_row(std::uint64_t number, const row_reply& reply, time_point now);
    void on_peer(const vm_id& sender, const peer_body& body, time_point now);
    void on_probe_result(const instance_id& instance, bool healthy,
                         time_point now);
    // Counts bytes that other parts of the daemon sent to another region.
    void on_link_use(std::uint64_t bytes, time_point now);

    // Starts the planned stop. New requests are still served, since the
    // listener closes later; the proxy closes their connections.
    void start_drain(time_point now);
    // True when a drain was started, no request is left and no result waits
    // to be stored.
    bool is_drained() const;
    bool is_draining() const;

    void on_tick(time_point now);
    std::optional<time_point> next_wakeup() const;
    std::vector<request_action> take_actions();

    // The proxy's share of the instance's connections.
    std::uint32_t connection_share(const instance_id& instance,
                                   time_point now) const;
    std::size_t requests() const;
    std::size_t waiting() const;
};

} // namespace hemlockdeal
