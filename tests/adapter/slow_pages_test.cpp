// Guards against lists of workers and recoveries that never get through a slow
// path to the store, and against calls that wait for them.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "declaration_feeds.hpp"
#include "slow_store_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;
using namespace hemlockdeal::adapter::test;

namespace
{

// About 400 bytes in a response.
const std::string worker_entry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":8,"state":"ready","cold_left_ms":0,"seq":1,)"
    R"("labels":["kind-1","r1-3"],)"
    R"("capacity":{"cpu":16000,"mem_mb":64000,"gpu":0},)"
    R"("born":1790000000000,"clock_ms":120000})";

class slow_pages_test : public slow_store_fixture
{
protected:
    // Asks for all parts of the inbox, as a recovery does. The page of each
    // takes about 2.7 s.
    void read_all_parts()
    {
        rows["row"] = std::string(300'000, 'x');
        link.set_rate(slow_rate);
        for (std::uint64_t part = 0; part < node::inbox_parts; ++part)
        {
            port->read({"t", node::inbox_part_name(part), {}, {}, 500},
                       milliseconds(1000),
                       [this](const node::read_outcome& outcome) {
                           pages.push_back(outcome);
                       });
        }
    }

    void list_workers(int count, std::uint64_t version)
    {
        for (int i = 0; i < count; ++i)
        {
            const auto key = "worker-" + std::to_string(10'000 + i);
            rows[key] = worker_entry;
            versions[key] = version;
        }
    }

    // The workers named by the outcome of a read of the list.
    static std::size_t workers_in(const node::worker_list_outcome& outcome)
    {
        const auto* const changes = std::get_if<node::worker_changes>(&outcome);
        return changes == nullptr ? 0 : changes->changes.size();
    }

    std::vector<node::read_outcome> pages;
};

} // namespace

// Failure: the pages that a leader reads in its recovery hold all connections
// to the store while they are transferred, so that it cannot renew its lease.
TEST_F(slow_pages_test, transaction_does_not_wait_for_pages_in_transfer)
{
    read_all_parts();
    std::optional<node::transaction_outcome> renewal;
    port->transact({"part", {}, {{"t", "lease", "value"}}, {}},
                   milliseconds(1000),
                   [&](const node::transaction_outcome& o) { renewal = o; });
    ASSERT_TRUE(wait_until([&] { return renewal.has_value(); }));
    EXPECT_TRUE(std::holds_alternative<node::committed>(*renewal));
    EXPECT_TRUE(pages.empty());
    ASSERT_TRUE(wait_until([&] { return pages.size() == node::inbox_parts; }));
    EXPECT_TRUE(std::ranges::all_of(pages, [](const auto& page) {
        return std::holds_alternative<node::read_rows>(page);
    }));
}

// Failure: the list of workers is never read over a path that needs longer for
// a page of it than the time limit of a call.
TEST_F(slow_pages_test, list_of_1900_workers_is_read_over_a_slow_path)
{
    constexpr int workers = 1900;
    list_workers(workers, 5);
    worker_feed list(*port, {});
    link.set_rate(400'000);
    std::optional<node::worker_list_outcome> outcome;
    list.read_all([&](const node::worker_list_outcome& o) { outcome = o; });
    ASSERT_TRUE(wait_until([&] { return outcome.has_value(); }));
    EXPECT_EQ(workers_in(*outcome), workers);
    EXPECT_EQ(wasted_bytes(), 0U);
}

// Failure: when many entries of workers change at once, the changes never
// arrive over a path that needs longer for them than the time limit of a call.
TEST_F(slow_pages_test, changes_of_350_workers_arrive_over_a_slow_path)
{
    constexpr int workers = 350;
    list_workers(workers, 6);
    worker_feed list(*port, {});
    link.set_rate(60'000);
    std::optional<node::worker_list_outcome> outcome;
    list.read_changes(row_version(5),
                      [&](const node::worker_list_outcome& o) { outcome = o; });
    ASSERT_TRUE(wait_until([&] { return outcome.has_value(); }));
    EXPECT_EQ(workers_in(*outcome), workers);
    EXPECT_EQ(wasted_bytes(), 0U);
}

// Failure: a caller that asks for the state of a job over a path that is slow
// gets none, or waits for the pages that the leader reads at the same time.
TEST_F(slow_pages_test, row_of_a_job_is_read_beside_pages_in_transfer)
{
    read_all_parts();
    std::optional<node::read_outcome> state;
    port->read({"t", "part", "s", {}, 1}, milliseconds(1500),
               [&](const node::read_outcome& o) { state = o; });
    ASSERT_TRUE(wait_until([&] { return state.has_value(); }));
    EXPECT_TRUE(std::holds_alternative<node::read_rows>(*state));
    EXPECT_TRUE(pages.empty());
}
