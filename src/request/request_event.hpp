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

// Maximum size of a request body that can be resent; the proxy buffers no more
// than this.
inline constexpr std::uint64_t max_replayed_body = 256ULL * 1024;

// Maximum size of a response body of a claimed request that is stored.
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
    // Value of the Idempotency-Key header.
    std::optional<request_key> key;
    // unknown_body_size for a chunked body.
    std::uint64_t body_bytes = 0;
};

// Response of an endpoint as it is stored for duplicates of a claimed request.
struct stored_response
{
    unsigned status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    friend bool operator==(const stored_response&,
                           const stored_response&) = default;
};

// The attempt ended before any byte of the request was written to a socket.
struct attempt_failed_unsent
{
    std::string reason;
};

// The first byte is about to be written to the socket. The proxy reports this
// before it writes, and writes only if no abandon_attempt is returned.
struct attempt_sending
{};

// The header section of the response was read. Nothing is forwarded until the
// core returns forward_response.
struct attempt_head
{
    unsigned status = 0;
    // The endpoint announced that it is leaving.
    bool leaving = false;
    // The endpoint reported that it did not run the request.
    bool not_run = false;
};

// The response was read completely.
struct attempt_done
{
    std::uint64_t response_bytes = 0;
    // Set if start_attempt requested it and the body was small enough.
    std::optional<stored_response> response;
};

// The connection failed or the response was truncated after attempt_sending.
struct attempt_broken
{
    std::string reason;
};

// Exactly one of attempt_failed_unsent, attempt_done and attempt_broken ends an
// attempt that was not abandoned. Events of attempts that have ended are
// ignored.
using attempt_event = std::variant<attempt_failed_unsent, attempt_sending,
                                   attempt_head, attempt_done, attempt_broken>;

// Reply to read_row: the row, nothing if it is absent, or an error if the table
// did not respond.
using row_reply = result<std::optional<table_row>>;

} // namespace hemlockdeal
