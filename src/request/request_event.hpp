// Events that the proxy reports to the request core.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal
{

// A larger request body cannot be sent a second time, because the proxy keeps
// only this much of it.
inline constexpr std::uint64_t max_replayed_body = 256ULL * 1024;

// A larger response body of a claimed request is not stored.
inline constexpr std::size_t max_stored_body = 16ULL * 1024;

inline constexpr std::uint64_t unknown_body_size =
    std::numeric_limits<std::uint64_t>::max();

// A request whose header section was read completely. `id` must be unique
// within the process.
struct request_head
{
    request_id id;
    std::string method;
    std::string path;
    // Value of the header Idempotency-Key.
    std::optional<request_key> key;
    // unknown_body_size for a chunked body.
    std::uint64_t body_bytes = 0;
};

// An endpoint's response, as it is stored for repeats of a claimed request.
struct stored_response
{
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const stored_response&,
                           const stored_response&) = default;
};

// The attempt ended and no byte of the request was given to a socket.
struct attempt_failed_unsent
{
    std::string reason;
};

// The first byte is about to be given to the socket. The proxy reports this
// before it writes, and writes only if no abandon_attempt came back.
struct attempt_sending
{};

// The header section of the response was read. Nothing of it is forwarded
// before the core returns forward_response.
struct attempt_head
{
    unsigned status = 0;
    // The endpoint announced that it is leaving.
    bool leaving = false;
    // The endpoint stated that it did not run the request.
    bool not_run = false;
};

// The response was read completely.
struct attempt_done
{
    std::uint64_t response_bytes = 0;
    // Set when start_attempt asked for it and the body was small enough.
    std::optional<stored_response> response;
};

// The connection died or the response was truncated after attempt_sending.
struct attempt_broken
{
    std::string reason;
};

// Exactly one of failed_unsent, done and broken ends an attempt that was not
// abandoned. Events of attempts that have ended are ignored.
using attempt_event = std::variant<attempt_failed_unsent, attempt_sending,
                                   attempt_head, attempt_done, attempt_broken>;

// Reply to read_row: the row, nothing when it is absent, or an error when the
// table gave no response.
using row_reply = result<std::optional<table_row>>;

} // namespace hemlockdeal
