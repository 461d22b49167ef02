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
    // Set while this request holds or awaits a claim of the key.
    std::optional<request_key> claim;
    std::uint64_t body_bytes = 0;
    time_point arrived;
    // Refused when it was not started by then.
    time_point start_by;
    request_phase phase = request_phase::arrived;
    bool caller_gone = false;

    // Attempts started so far; the running one has this number.
    std::uint32_t attempts = 0;
    instance_index instance = 0;
    // The instance of the failed attempt before.
    std::optional<instance_index> excluded;
    time_point attempt_started;
    time_point deadline;
    // Bytes of the running attempt were given to a socket.
    bool sending = false;
    // Bytes of any attempt were, and that endpoint did not state that it did
    // not run the request.
    bool may_have_run = false;
    // The same before the running attempt.
    bool may_have_run_before = false;
    bool suspected = false;
    bool head_received = false;
    bool forwarded = false;
    unsigned status = 0;

    std::optional<time_point> wakeup_at;
    // Earliest entry in the wake-up queue. A later wake_at is entered when
    // this one comes up, so that few entries outlive their request.
    std::optional<time_point> queued_wakeup_at;
};

} // namespace hemlockdeal
