// Actions that the I/O-free libraries return for the daemon's threads to
// execute. Each of these libraries has its own variant of action types.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/ids.hpp"
#include "core/operator_message.hpp"
#include "core/peer_message.hpp"
#include "core/table.hpp"
#include "core/timeline_event.hpp"
#include "core/worker_message.hpp"

namespace hemlockdeal
{

// Sends a commit; its outcome is returned with the commit ID.
struct send_commit
{
    table_commit commit;
};

// Reads one row; the response is returned with the number.
struct read_row
{
    std::uint64_t number = 0;
    std::string key;
};

// Reads up to `limit` rows with the prefix in key order, starting after key
// `after`.
struct read_rows
{
    std::uint64_t number = 0;
    std::string prefix;
    std::string after;
    std::uint32_t limit = 0;
};

struct ask_for_report
{
    worker_id worker;
    std::string address;
    worker_report_request request;
};

struct send_commands
{
    // Returned with the reply.
    std::uint64_t number = 0;
    worker_id worker;
    std::string address;
    worker_command_batch batch;
};

// Sends a message to one daemon, or to all known daemons if `to` is empty.
struct send_to_peer
{
    std::optional<vm_id> to;
    peer_body body;
};

// Records an event in the time line.
struct record_event
{
    timeline_event event;
};

// Replies to the operator request with this number.
struct operator_answer
{
    std::uint64_t number = 0;
    operator_reply reply;
};

} // namespace hemlockdeal
