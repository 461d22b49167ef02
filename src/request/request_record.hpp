// State of one request in the request core.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/core.hpp"
#include "request/endpoint_directory.hpp"
#include "request/path_classifier.hpp"
#include "request/request_event.hpp"

namespace hemlockdeal
{

enum class request_phase
{
    arrived,
    claiming,
    queued,
    running
};

struct request_record
{
    request_id id;
    std::shared_ptr<const request_rule> rule;
    service_index service = 0;
    // Set while this request holds or awaits a claim of its key.
    std::optional<request_key> claim;
    std::uint64_t body_bytes = 0;
    time_point arrived;
    // Latest start time; the request is refused if it has not started by then.
    time_point start_by;
    request_phase phase = request_phase::arrived;
    bool caller_gone = false;

    // Number of attempts so far, which is also the number of the running
    // attempt.
    std::uint32_t attempts = 0;
    // Endpoints that stopped responding while they processed the request.
    std::uint32_t endpoints_lost = 0;
    instance_index instance = 0;
    // Instance of the previous failed attempt.
    std::optional<instance_index> excluded;
    time_point attempt_started;
    time_point deadline;
    // Bytes of the running attempt have been written to a socket.
    bool sending = false;
    // Bytes of some attempt have been written to a socket, and the endpoint did
    // not report that it did not run the request.
    bool may_have_run = false;
    // Value of may_have_run before the running attempt.
    bool may_have_run_before = false;
    bool suspected = false;
    // The endpoint of the running attempt is counted in endpoints_lost.
    bool is_endpoint_lost = false;
    bool head_received = false;
    bool forwarded = false;
    unsigned status = 0;

    std::optional<time_point> wakeup_at;
    // Earliest entry in the wake-up queue. A later wakeup_at is only queued
    // when this entry is due, so that few entries outlive their request.
    std::optional<time_point> queued_wakeup_at;
};

} // namespace hemlockdeal
