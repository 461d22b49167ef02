// Messages between the threads of the daemon.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>

#include "core/core.hpp"

namespace hemlockdeal
{

// State machine that issued a table request. Read numbers are unique only
// within one state machine.
enum class table_user
{
    lease,
    configuration,
    batch,
    requests
};

struct commit_request
{
    table_user user = table_user::batch;
    table_commit commit;
};

struct row_request
{
    table_user user = table_user::batch;
    read_row read;
};

struct rows_request
{
    table_user user = table_user::batch;
    read_rows read;
};

using platform_request = std::variant<commit_request, row_request, rows_request,
                                      ask_for_report, send_commands>;

struct commit_reply
{
    table_user user = table_user::batch;
    commit_id id;
    commit_outcome outcome;
};

struct row_result
{
    table_user user = table_user::batch;
    std::uint64_t number = 0;
    result<std::optional<table_row>> row;
};

struct rows_result
{
    table_user user = table_user::batch;
    std::uint64_t number = 0;
    result<table_page> page;
};

struct report_result
{
    worker_id worker;
    worker_report_reply reply;
    time_point sent_at;
};

struct commands_result
{
    std::uint64_t number = 0;
    worker_command_reply reply;
};

using shared_membership = std::shared_ptr<const membership_list>;
using shared_configuration = std::shared_ptr<const configuration>;

using platform_reply =
    std::variant<commit_reply, row_result, rows_result, report_result,
                 commands_result, shared_membership>;

} // namespace hemlockdeal
