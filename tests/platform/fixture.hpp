// Fixture with the stand-ins and one client of each kind, with a short timeout.
#pragma once

#include <string>

#include <gtest/gtest.h>

#include "event_loop.hpp"
#include "platform/platform.hpp"
#include "standin/standin.hpp"

namespace hemlockdeal::test
{

inline constexpr std::chrono::milliseconds call_timeout{300};

inline http_limits short_limits()
{
    http_limits limits;
    limits.timeout = call_timeout;
    return limits;
}

// For calls that must not time out on a busy machine either: longer than any
// wait of a test.
inline http_limits patient_limits()
{
    http_limits limits;
    limits.timeout = std::chrono::seconds(60);
    return limits;
}

inline table_commit create(const std::string& key, const std::string& value,
                           const std::string& id = "commit-1")
{
    return {commit_id(id), {}, {{key, expect_absent{}, value}}};
}

// Creates the application object before the members that require it.
struct with_application
{
    with_application() { application(); }
};

struct platform_fixture : with_application, testing::Test
{
    explicit platform_fixture(standin_settings settings = {})
        : standin(settings),
          table("http://" + standin.address(), short_limits()),
          membership("http://" + standin.address(), short_limits()),
          workers(short_limits())
    {}

    commit_outcome commit(const table_commit& c) { return commit(c, table); }

    static commit_outcome commit(const table_commit& c, table_client& client)
    {
        return await<commit_outcome>([&](auto done) {
            EXPECT_FALSE(client.commit(c, done).has_value());
        });
    }

    result<std::optional<table_row>> read(const std::string& key)
    {
        return await<result<std::optional<table_row>>>(
            [&](auto done) { table.read_row(key, done); });
    }

    result<table_page> read_rows(const std::string& prefix,
                                 const std::string& after, std::size_t limit)
    {
        return await<result<table_page>>(
            [&](auto done) { table.read_rows(prefix, after, limit, done); });
    }

    result<received_membership> fetch()
    {
        return await<result<received_membership>>(
            [&](auto done) { membership.fetch(done); });
    }

    platform_standin standin;
    table_client table;
    membership_client membership;
    worker_client workers;
};

} // namespace hemlockdeal::test
