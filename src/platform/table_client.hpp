// Client of the platform's transactional table service.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "platform/concepts.hpp"
#include "platform/http_caller.hpp"

namespace hemlockdeal
{

// Reads of many rows have connections of their own: their responses may take
// long over a slow path, and commits, which renew leases, must not wait for
// them.
class table_client
{
public:
    // `address` is the service's "http://ip:port".
    explicit table_client(std::string address, http_limits limits = {});

    // The outcome is `commit_unknown` unless a complete response of the table
    // states another one. A returned error means that nothing was sent and that
    // `done` is not called.
    [[nodiscard]] std::optional<error> commit(const table_commit& commit,
                                              commit_callback done);

    // Passes an empty optional when the row does not exist.
    void read_row(const std::string& key, const row_callback& done);

    // Passes rows whose key starts with `prefix` and is greater than `after`,
    // in key order.
    void read_rows(const std::string& prefix, const std::string& after,
                   std::size_t limit, const page_callback& done);

    traffic bytes() const
    {
        return {http_.bytes().sent + pages_.bytes().sent,
                http_.bytes().received + pages_.bytes().received};
    }

private:
    std::string address_;
    http_caller http_;
    http_caller pages_;
};

static_assert(table_service<table_client>);

} // namespace hemlockdeal
