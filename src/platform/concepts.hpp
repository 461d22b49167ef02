// Requirements on the platform clients. Code that uses a platform takes its
// clients as template parameters constrained by these concepts, so that clients
// of another protocol or test doubles can replace them without virtual
// functions.
#pragma once

#include <concepts>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "core/ids.hpp"
#include "core/membership.hpp"
#include "core/result.hpp"
#include "core/table.hpp"
#include "core/worker_message.hpp"

namespace hemlockdeal
{

using commit_callback = std::function<void(commit_outcome)>;
using row_callback = std::function<void(result<std::optional<table_row>>)>;
using page_callback = std::function<void(result<table_page>)>;
using membership_callback = std::function<void(result<received_membership>)>;
using worker_report_callback = std::function<void(worker_report_reply)>;
using worker_command_callback = std::function<void(worker_command_reply)>;

// An error returned by commit() means that nothing was sent and that the
// callback is never called.
template <typename T>
concept table_service = requires(T client, const table_commit& commit,
                                 const std::string& text, std::size_t limit,
                                 commit_callback on_commit, row_callback on_row,
                                 page_callback on_page)
{
    {
        client.commit(commit, on_commit)
        } -> std::same_as<std::optional<error>>;
    client.read_row(text, on_row);
    client.read_rows(text, text, limit, on_page);
};

template <typename T>
concept membership_service = requires(T client, membership_callback on_list)
{
    client.fetch(on_list);
};

template <typename T>
concept worker_service = requires(T client, const std::string& address,
                                  const worker_report_request& request,
                                  const worker_command_batch& batch,
                                  worker_report_callback on_report,
                                  worker_command_callback on_results)
{
    client.report(address, request, on_report);
    client.command(address, batch, on_results);
};

} // namespace hemlockdeal
