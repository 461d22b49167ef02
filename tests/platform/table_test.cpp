// Guards against a commit that is reported with the wrong outcome, and against
// a table that applies a commit in part.
#include <map>

#include <gmock/gmock.h>
#include <rapidcheck/gtest.h>

#include "fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;
using std::chrono::milliseconds;

namespace
{

using table_test = platform_fixture;

std::string value_of_row(const result<std::optional<table_row>>& row)
{
    return is_ok(row) && value_of(row) ? value_of(row)->value : "no row";
}

} // namespace

// Failure: keys or values are altered by the encoding in URL and JSON.
TEST_F(table_test, rows_are_read_as_written)
{
    const std::string key = "inbox/zone a/+&=%/\xc3\xa9";
    const std::string value = "{\"a\": \"\\\"\n\xc3\xa9\"}";
    const auto outcome = commit(create(key, value));
    ASSERT_TRUE(std::holds_alternative<commit_done>(outcome));
    const auto row = read(key);
    ASSERT_TRUE(is_ok(row));
    ASSERT_TRUE(value_of(row).has_value());
    EXPECT_EQ(value_of(row)->value, value);
    EXPECT_EQ(value_of(row)->version,
              std::get<commit_done>(outcome).versions.at(0));
    EXPECT_FALSE(value_of(read("absent")).has_value());
}

// Failure: a commit with one conflicting write applies the others.
TEST_F(table_test, commit_is_all_or_nothing)
{
    commit(create("a", "1"));
    table_commit both{
        commit_id("2"),
        {},
        {{"b", expect_absent{}, "2"}, {"a", expect_absent{}, "2"}}};
    const auto outcome = commit(both);
    ASSERT_TRUE(std::holds_alternative<commit_conflict>(outcome));
    const auto& rows = std::get<commit_conflict>(outcome).rows;
    ASSERT_EQ(rows.size(), 1U);
    EXPECT_EQ(rows[0].key, "a");
    EXPECT_EQ(rows[0].value, "1");
    EXPECT_EQ(value_of_row(read("b")), "no row");

    table_commit checked{commit_id("3"),
                         {{"gone", row_version(7)}},
                         {{"a", expect_any{}, std::nullopt}}};
    EXPECT_TRUE(std::holds_alternative<commit_conflict>(commit(checked)));
    EXPECT_EQ(value_of_row(read("a")), "1");
}

// Failure: a row that was deleted and created again reuses an old version, and
// a compare-and-set that should fail succeeds.
TEST_F(table_test, versions_increase_across_the_table)
{
    const auto first = std::get<commit_done>(commit(create("a", "1")));
    const auto second = std::get<commit_done>(commit(create("b", "1")));
    EXPECT_LT(first.versions[0], second.versions[0]);
    const auto deleted =
        commit({commit_id("2"), {}, {{"a", first.versions[0], std::nullopt}}});
    EXPECT_EQ(std::get<commit_done>(deleted).versions[0], row_version(0));
    const auto again = std::get<commit_done>(commit(create("a", "1")));
    EXPECT_LT(second.versions[0], again.versions[0]);
}

// Failure: pages repeat or omit rows.
TEST_F(table_test, pages_cover_a_prefix)
{
    commit({commit_id("1"),
            {},
            {{"p/1", expect_absent{}, "1"},
             {"p/2", expect_absent{}, "2"},
             {"p/3", expect_absent{}, "3"},
             {"q", expect_absent{}, "4"}}});
    const auto first = value_of(read_rows("p/", "", 2));
    ASSERT_EQ(first.rows.size(), 2U);
    EXPECT_TRUE(first.more);
    const auto last = value_of(read_rows("p/", first.rows.back().key, 2));
    ASSERT_EQ(last.rows.size(), 1U);
    EXPECT_EQ(last.rows[0].key, "p/3");
    EXPECT_FALSE(last.more);
}

// Failure: a commit whose outcome is unknown is reported as refused or done.
TEST_F(table_test, commit_without_a_complete_response_is_unknown)
{
    using enum fault_mode;
    for (const auto mode : {down, lose_answer, truncate, pause, slow})
    {
        standin.set_fault("table", "", {mode, 1.0, 2 * call_timeout});
        const auto key = "row/" + std::to_string(static_cast<int>(mode));
        EXPECT_TRUE(
            std::holds_alternative<commit_unknown>(commit(create(key, "1"))))
            << key;
        EXPECT_FALSE(is_ok(read(key))) << key;
        EXPECT_FALSE(is_ok(read_rows("", "", 1))) << key;
    }
    standin.set_fault("table", "", {});
    EXPECT_TRUE(is_ok(read("row")));
}

// Failure: Qt resends the commit after the response was lost, and the client
// reports a conflict with its own commit.
TEST_F(table_test,
       commit_with_lost_response_is_sent_once_and_recognised_by_its_row)
{
    table_client patient("http://" + standin.address(), patient_limits());
    standin.set_fault("table", "", {fault_mode::lose_answer, 1.0, {}});
    const auto c = create("row", "commit-1");
    ASSERT_TRUE(std::holds_alternative<commit_unknown>(commit(c, patient)));
    EXPECT_EQ(standin.record().commits(), 1U);
    // The same on a connection that was used before.
    standin.set_fault("table", "", {});
    const auto row = await<result<std::optional<table_row>>>(
        [&](auto done) { patient.read_row("row", done); });
    EXPECT_EQ(value_of_row(row), "commit-1");
    standin.set_fault("table", "", {fault_mode::lose_answer, 1.0, {}});
    ASSERT_TRUE(std::holds_alternative<commit_unknown>(
        commit(create("row-2", "commit-2", "commit-2"), patient)));
    EXPECT_EQ(standin.record().commits(), 2U);
    standin.set_fault("table", "", {});
    EXPECT_EQ(boost::json::value_to<int>(
                  standin.record().to_json().at("table_conflicts")),
              0);
    const auto retry = commit(c, patient);
    ASSERT_TRUE(std::holds_alternative<commit_conflict>(retry));
    EXPECT_EQ(std::get<commit_conflict>(retry).rows.at(0).value, "commit-1");
}

// Failure: a call whose timeout coincides with its end calls back twice, or its
// commit is applied again by the retry.
TEST_F(table_test, commits_that_time_out_apply_exactly_once)
{
    constexpr std::size_t commits = 200;
    http_limits hasty_limits;
    hasty_limits.timeout = milliseconds(1);
    std::map<std::string, int> callbacks;
    table_client hasty("http://" + standin.address(), hasty_limits);
    table_client patient("http://" + standin.address(), patient_limits());
    table_expectation expected = expect_absent{};
    for (std::size_t i = 0; i < commits; ++i)
    {
        const auto id = "commit-" + std::to_string(i);
        const table_commit c{commit_id(id),
                             {},
                             {{"counter", expected, id},
                              {"journal/" + id, expect_absent{}, id}}};
        standin.set_fault("table", "", {fault_mode::lose_answer, 0.5, {}});
        ASSERT_FALSE(
            hasty.commit(c, [&, id](const auto&) { ++callbacks[id]; }));
        ASSERT_TRUE(run_until([&] { return callbacks[id] > 0; }));
        standin.set_fault("table", "", {});
        const auto retry = commit(c, patient);
        if (const auto* done = std::get_if<commit_done>(&retry))
        {
            expected = done->versions.at(0);
            continue;
        }
        ASSERT_TRUE(std::holds_alternative<commit_conflict>(retry)) << id;
        const auto& row = std::get<commit_conflict>(retry).rows.at(0);
        ASSERT_EQ(row.value, id);
        expected = row.version;
    }
    EXPECT_EQ(standin.record().commits(), commits);
    EXPECT_THAT(callbacks,
                testing::Each(testing::Pair(testing::_, testing::Eq(1))));
    const auto page = await<result<table_page>>([&](auto done) {
        patient.read_rows("journal/", "", 2 * commits, done);
    });
    ASSERT_TRUE(is_ok(page));
    EXPECT_EQ(value_of(page).rows.size(), commits);
}

// Failure: a commit is reported as unknown and a paused table applies it later,
// but the row does not show it.
TEST_F(table_test, paused_table_applies_the_commit_after_resuming)
{
    standin.set_fault("table", "", {fault_mode::pause, 1.0, {}});
    ASSERT_TRUE(
        std::holds_alternative<commit_unknown>(commit(create("row", "1"))));
    standin.set_fault("table", "", {});
    EXPECT_EQ(value_of_row(read("row")), "1");
}

// Failure: a malformed response crashes the client or counts as done.
TEST_F(table_test, malformed_responses_are_unknown_or_errors)
{
    http_reply reply;
    http_server faulty(0, [&](const http_request&, const http_exchange& e) {
        e.answer(reply);
    });
    table_client client("http://" + faulty.address(), short_limits());
    for (const auto* body :
         {"", "{", "[]", "null", "{}", R"({"versions": 1})",
          R"({"versions": {"row": "x"}})", R"({"versions": {"row": -1}})",
          R"({"conflicts": {}})", R"({"conflicts": [1]})",
          R"({"rows": [{"key": 1}]})", R"({"key": "row"})"})
    {
        for (const auto status : {200, 204, 302, 400, 409, 500, 503})
        {
            reply = {status, body};
            EXPECT_TRUE(std::holds_alternative<commit_unknown>(
                await<commit_outcome>([&](auto done) {
                    EXPECT_FALSE(client.commit(create("row", "1"), done));
                })))
                << status << ' ' << body;
            const auto row = await<result<std::optional<table_row>>>(
                [&](auto done) { client.read_row("row", done); });
            ASSERT_FALSE(is_ok(row)) << status << ' ' << body;
            EXPECT_THAT(error_of(row).message, testing::StartsWith("table"));
            const auto page = await<result<table_page>>(
                [&](auto done) { client.read_rows("", "", 1, done); });
            EXPECT_FALSE(is_ok(page)) << status << ' ' << body;
        }
    }
}

// Failure: outstanding calls accumulate without limit while the table does not
// respond, or a commit that was never sent is reported as unknown.
TEST_F(table_test, calls_beyond_the_limit_are_refused)
{
    standin.set_fault("table", "", {fault_mode::pause, 1.0, {}});
    std::size_t completed = 0;
    for (std::size_t i = 0; i < short_limits().max_outstanding; ++i)
    {
        table.read_row("row", [&](const auto&) { ++completed; });
    }
    const auto refused = table.commit(create("row", "1"), [](const auto&) {
        ADD_FAILURE() << "callback ran for a commit that was not sent";
    });
    ASSERT_TRUE(refused.has_value());
    EXPECT_EQ(refused->code, error_code::unavailable);
    EXPECT_EQ(error_of(read("row")).code, error_code::unavailable);
    EXPECT_EQ(completed, 0U);
    EXPECT_TRUE(
        run_until([&] { return completed == short_limits().max_outstanding; }));
    standin.set_fault("table", "", {});
    EXPECT_EQ(value_of_row(read("row")), "no row");
}

// Failure: after the open connections stop responding, successive calls are
// lost on them and a lease is not renewed within its 5 s.
TEST_F(table_test, new_connections_replace_unresponsive_ones)
{
    std::size_t completed = 0;
    for (int i = 0; i < 6; ++i)
    {
        table.read_row("row", [&](const auto&) { ++completed; });
    }
    ASSERT_TRUE(run_until([&] { return completed == 6; }));
    standin.set_fault("table", "", {fault_mode::silent, 1.0, {}});
    int lost = 0;
    while (lost < 10 && !is_ok(read("row")))
    {
        ++lost;
    }
    // The first call detects it by its timeout; a lease survives one lost call
    // of 2 s.
    EXPECT_EQ(lost, 1);
}

// Failure: the byte counts, from which the link budget is computed, are
// inaccurate.
TEST_F(table_test, bytes_are_counted)
{
    commit(create("row", std::string(10000, 'x')));
    read("row");
    const auto close_to = [](std::uint64_t expected) {
        const auto slack = 10 + expected / 20;
        return testing::AllOf(testing::Ge(expected - slack),
                              testing::Le(expected + slack));
    };
    EXPECT_THAT(table.bytes().sent,
                close_to(standin.server().bytes_received()));
    EXPECT_THAT(table.bytes().received,
                close_to(standin.server().bytes_sent()));
}

// Failure: a retry after a lost response applies a commit twice. Each commit
// updates a counter row and writes a row of its own, as a journal does.
RC_GTEST_PROP(table_property, commits_apply_exactly_once, ())
{
    application();
    standin_settings settings;
    settings.seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto commits = *rc::gen::inRange(1, 6);
    platform_standin standin(settings);
    table_client table("http://" + standin.address(), patient_limits());
    standin.set_fault("table", "", {fault_mode::lose_answer, 0.4, {}});
    table_expectation expected = expect_absent{};
    int count = 0;
    while (count < commits)
    {
        const auto id = "commit-" + std::to_string(count + 1);
        const table_commit c{commit_id(id),
                             {},
                             {{"counter", expected, id},
                              {"journal/" + id, expect_absent{}, id}}};
        const auto outcome = await<commit_outcome>(
            [&](auto done) { RC_ASSERT(!table.commit(c, done)); });
        if (const auto* done = std::get_if<commit_done>(&outcome))
        {
            expected = done->versions.at(0);
            ++count;
        }
        else if (const auto* other = std::get_if<commit_conflict>(&outcome))
        {
            // Only the first attempt of the same commit can conflict.
            RC_ASSERT(other->rows.at(0).value == id);
            expected = other->rows.at(0).version;
            ++count;
        }
    }
    RC_ASSERT(standin.record().commits() ==
              static_cast<std::uint64_t>(commits));
    standin.set_fault("table", "", {});
    const auto page = await<result<table_page>>(
        [&](auto done) { table.read_rows("journal/", "", 100, done); });
    RC_ASSERT(is_ok(page));
    RC_ASSERT(value_of(page).rows.size() == static_cast<std::size_t>(commits));
}
