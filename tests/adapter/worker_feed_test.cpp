// Guards against a list of workers that loses entries or floods the log with
// malformed ones.
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "declaration_feeds.hpp"
#include "log_capture.hpp"
#include "malformed_rows.hpp"
#include "store_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;
using namespace hemlockdeal::adapter::test;
using std::chrono::seconds;

namespace
{

const std::string valid_entry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":16000,"mem_mb":64000}})";
const std::string malformed_entry =
    R"({"service":"s","address":"10.0.0.1:0","zone":"z","state":"ready",)"
    R"("capacity":{"cpu":16000,"mem_mb":64000}})";

findings found(const std::string& message)
{
    return {{{"servers/i-1", 0, 0}, message}};
}

const std::string is_malformed = "worker entry is malformed";
const std::string is_valid = "worker entry is valid again";
const std::string held_back = "worker entry lines are held back";

class worker_feed_test : public store_fixture
{
protected:
    node::worker_changes read_all()
    {
        std::optional<node::worker_list_outcome> outcome;
        feed.read_all([&](const node::worker_list_outcome& o) { outcome = o; });
        run_until([&] { return outcome.has_value(); });
        const auto* const changes =
            outcome ? std::get_if<node::worker_changes>(&*outcome) : nullptr;
        EXPECT_NE(changes, nullptr);
        return changes == nullptr ? node::worker_changes{} : *changes;
    }

    bool fails_to_read_all()
    {
        std::optional<node::worker_list_outcome> outcome;
        feed.read_all([&](const node::worker_list_outcome& o) { outcome = o; });
        run_until([&] { return outcome.has_value(); });
        return outcome && std::holds_alternative<node::not_done>(*outcome);
    }

    worker_feed feed{store, {}};
};

} // namespace

// Failure: an entry whose key goes on with a space or control character is
// skipped where a page ends, and its worker is not used.
TEST_F(worker_feed_test, no_entry_is_skipped_between_two_pages)
{
    for (int i = 1000; i < 1500; ++i)
    {
        rows["i-" + std::to_string(i)] = valid_entry;
    }
    for (const std::string next : {"\x01", " ", " 2", "!", "0"})
    {
        rows["i-1499" + next] = valid_entry;
    }
    const auto read = read_all();
    EXPECT_TRUE(read.is_snapshot);
    EXPECT_EQ(read.changes.size(), rows.size());
    EXPECT_EQ(calls, 2U);
    EXPECT_EQ(read.changes.back().id, worker_id("i-14990"));
}

// Failure: a malformed entry hides others, is counted for ever, or is logged
// with each reading of the list.
TEST_F(worker_feed_test, malformed_entries_are_counted_and_the_others_hold)
{
    rows = {{"i-1", valid_entry},
            {"i-2", malformed_entry},
            {"i-3", "\x01"},
            {"i-4", valid_entry},
            {"i-5", malformed_entry}};
    log_capture capture;
    for (int i = 0; i < 3; ++i)
    {
        const auto read = read_all();
        ASSERT_EQ(read.changes.size(), 5U);
        EXPECT_TRUE(read.changes[0].entry);
        EXPECT_FALSE(read.changes[1].entry);
        EXPECT_TRUE(read.changes[1].is_malformed);
        EXPECT_TRUE(read.changes[3].entry);
        EXPECT_EQ(feed.malformed_entries(), 3U);
    }
    rows.erase("i-3");
    rows["i-2"] = valid_entry;
    read_all();
    EXPECT_EQ(feed.malformed_entries(), 1U);
    const auto lines = capture.count({is_malformed, is_valid});
    EXPECT_EQ(lines.at(is_malformed), 3U);
    EXPECT_EQ(lines.at(is_valid), 1U);
}

// Failure: a page of rows none of which can be decoded counts as the last one,
// and the workers after it are not used.
TEST_F(worker_feed_test, page_of_undecodable_rows_does_not_end_the_list)
{
    for (int i = 1000; i < 2200; ++i)
    {
        const auto key = "i-" + std::to_string(i);
        rows[key] = valid_entry;
        raw_entries[key] = R"({"key":")" + key + R"(","ver":-1})";
    }
    rows["i-3000"] = valid_entry;
    const auto read = read_all();
    ASSERT_EQ(read.changes.size(), 1U);
    EXPECT_EQ(read.changes.front().id, worker_id("i-3000"));
}

// Failure: a page without any key that can be read counts as the last one, and
// the workers after it are taken for removed.
TEST_F(worker_feed_test, page_without_keys_is_an_error)
{
    for (int i = 1000; i < 1600; ++i)
    {
        const auto key = "i-" + std::to_string(i);
        rows[key] = valid_entry;
        raw_entries[key] = "{}";
    }
    EXPECT_TRUE(fails_to_read_all());
    raw_entries.clear();
    EXPECT_EQ(read_all().changes.size(), 600U);
    // The second page repeats the last key and names no later one.
    for (int i = 1500; i < 1600; ++i)
    {
        raw_entries["i-" + std::to_string(i)] = "{}";
    }
    for (int i = 1600; i < 2200; ++i)
    {
        rows["i-" + std::to_string(i)] = valid_entry;
        raw_entries["i-" + std::to_string(i)] = "{}";
    }
    EXPECT_TRUE(fails_to_read_all());
}

// Failure: the log grows with each response that has the same undecodable row,
// or a change of what was found is not logged.
TEST_F(worker_feed_test, undecodable_rows_are_logged_when_they_change)
{
    rows = {{"i-1", valid_entry}, {"i-2", valid_entry}};
    raw_entries["i-2"] = R"({"key":"i-2","ver":-1})";
    log_capture capture;
    for (int i = 0; i < 5; ++i)
    {
        read_all();
    }
    raw_entries["i-2"] = R"({"key":"i-2","ver":-2})";
    read_all();
    read_all();
    raw_entries.clear();
    read_all();
    raw_entries["i-2"] = "{}";
    read_all();
    const auto lines = capture.count({"store response is malformed",
                                      "row in a store response cannot",
                                      "store response is valid again"});
    EXPECT_EQ(lines, (std::map<std::string, std::size_t>{
                         {"store response is malformed", 3U},
                         {"store response is valid again", 1U}}));
}

// Failure: rows that change with each response fill the log.
TEST_F(worker_feed_test, lines_on_undecodable_rows_are_limited)
{
    rows = {{"i-1", valid_entry}};
    log_capture capture;
    for (int i = 0; i < 100; ++i)
    {
        raw_entries["i-1"] =
            R"({"key":"i-1","ver":-)" + std::to_string(i + 1) + "}";
        read_all();
    }
    const auto lines = capture.count({"i-1"});
    EXPECT_GE(lines.at("i-1"), 1U);
    EXPECT_LE(lines.at("i-1"), 20U);
}

// Failure: a row that stays malformed is logged again and again, or its change
// is not logged.
TEST(malformed_rows, each_change_is_logged_once)
{
    log_capture capture;
    malformed_rows rows("worker entry");
    const time_point now{seconds(100)};
    const auto log_after = [&](const auto& change) {
        change();
        rows.log_changes(now);
        rows.log_changes(now);
    };
    log_after([&] { rows.set_valid("i-1"); });
    log_after([&] { rows.set_malformed("i-1", found("address")); });
    log_after([&] { rows.set_malformed("i-1", found("address")); });
    log_after([&] { rows.set_malformed("i-1", found("state")); });
    EXPECT_EQ(rows.count(), 1U);
    log_after([&] { rows.set_valid("i-1"); });
    EXPECT_EQ(rows.count(), 0U);
    log_after([&] { rows.set_valid("i-1"); });
    log_after([&] { rows.set_malformed("i-2", found("state")); });
    log_after([&] { rows.remove("i-2"); });
    EXPECT_EQ(rows.count(), 0U);
    const auto lines =
        capture.count({is_malformed, is_valid, "key=i-1", held_back});
    EXPECT_EQ(lines.at(is_malformed), 3U);
    EXPECT_EQ(lines.at(is_valid), 1U);
    EXPECT_EQ(lines.at("key=i-1"), 3U);
    EXPECT_FALSE(lines.contains(held_back));
}

// Failure: a thousand malformed rows that are rewritten each second fill the
// log, or keep other rows from ever being logged.
TEST(malformed_rows, lines_are_limited_and_each_row_has_its_turn)
{
    log_capture capture;
    malformed_rows rows("worker entry");
    constexpr int seconds_passed = 600;
    for (int s = 0; s < seconds_passed; ++s)
    {
        for (int i = 0; i < 1000; ++i)
        {
            rows.set_malformed("i-" + std::to_string(i),
                               found("state " + std::to_string(s)));
        }
        if (s == 0)
        {
            rows.set_malformed("last", found(std::string(5000, 'x')));
        }
        rows.log_changes(time_point{seconds(100 + s)});
    }
    const auto lines =
        capture.count({is_malformed, held_back, "key=last", "xxxxx"});
    EXPECT_LE(lines.at(is_malformed), 20U * seconds_passed / 10);
    EXPECT_LE(lines.at(held_back), 1U * seconds_passed / 10);
    EXPECT_EQ(lines.at("key=last"), 1U);
    EXPECT_LT(lines.at("xxxxx"), 300U);
}
