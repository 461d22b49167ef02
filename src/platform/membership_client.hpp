// Client of the platform's membership list.
#pragma once

#include <string>

#include "platform/concepts.hpp"
#include "platform/http_caller.hpp"

namespace hemlockdeal
{

class membership_client
{
public:
    // `address` is the service's "http://ip:port".
    explicit membership_client(std::string address, http_limits limits = {});

    // Passes the list with its malformed entries, or an error when the response
    // as a whole is incomplete or malformed. Malformed entries are never left
    // out: VMs that are missing in a list count as removed.
    void fetch(const membership_callback& done);

    const traffic& bytes() const { return http_.bytes(); }

private:
    std::string address_;
    http_caller http_;
};

static_assert(membership_service<membership_client>);

} // namespace hemlockdeal
