// Actions that the core libraries ask the daemon's threads to carry out. Each
// core returns its own variant of these.
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

// Sends a commit; its outcome comes back with the commit's id.
struct send_commit
{
    table_commit commit;
};

// Reads one row; the answer comes back with the number.
struct read_row
{
    std::uint64_t number = 0;
    std::string key;
};

// Reads up to `limit` rows with the prefix, in order, after key `after`.
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
    // Comes back with the reply.
    std::uint64_t number = 0;
    worker_id worker;
    std::string address;
    worker_command_batch batch;
};

// Sends to one daemon, or to all known ones when `to` is empty.
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

// Answers the operator request with this number.
struct operator_answer
{
    std::uint64_t number = 0;
    operator_reply reply;
};

} // namespace hemlockdeal
