// Client of the agents on worker VMs.
#pragma once

#include <string>

#include "platform/concepts.hpp"
#include "platform/http_caller.hpp"

namespace hemlockdeal
{

// An address is "ip:port" as in the membership list, optionally followed by a
// path below which the worker's own paths start.
class worker_client
{
public:
    explicit worker_client(http_limits limits = {});

    void report(const std::string& address,
                const worker_report_request& request,
                const worker_report_callback& done);

    // Passes one result for each command, in the order of the batch. After
    // `worker_unreachable` each command may or may not have been executed.
    void command(const std::string& address, const worker_command_batch& batch,
                 const worker_command_callback& done);

    const traffic& bytes() const { return http_.bytes(); }

private:
    http_caller http_;
};

static_assert(worker_service<worker_client>);

} // namespace hemlockdeal
