// Guards against keys of an older configuration that come back, and against a
// VM that takes outdated keys for current ones.
#include <functional>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "fake_store.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::node;
using namespace hemlockdeal::node::test;
using std::chrono::milliseconds;

namespace
{

// Answers when the test says so.
struct held_source
{
    std::function<void(operator_outcome)> answer;

    void read_all(const std::function<void(operator_outcome)>& callback)
    {
        answer = callback;
    }
    void read_changes(row_version, duration,
                      const std::function<void(operator_outcome)>& callback)
    {
        answer = callback;
    }
};

class operator_watch_accounts_test : public testing::Test
{
protected:
    operator_watch_accounts_test()
        : watch(source, [this] { return clock.now; }, health, {},
                {[this](const jobs::queue_directory& queues) {
                     announced = queues.version();
                 },
                 [](const std::set<availability_zone_id>&) {}})
    {}

    static operator_changes configuration(std::uint64_t version,
                                          const std::string& key)
    {
        operator_changes out;
        out.configuration.emplace();
        out.configuration->version = configuration_version(version);
        out.configuration->routes.push_back({"h", "/" + key + '/', {}, {}, {}});
        accounts::account_directory::entry account;
        account.policy.id = account_id("a");
        account.keys.emplace_back(key);
        out.configuration->accounts =
            accounts::account_directory({std::move(account)});
        out.newest = row_version(version);
        return out;
    }

    void answer(const operator_outcome& outcome)
    {
        watch.tick();
        ASSERT_TRUE(source.answer);
        std::exchange(source.answer, {})(outcome);
    }

    bool is_valid(const std::string& key) const
    {
        return watch.queues().all().accounts.owner_of(key) != nullptr;
    }

    test_clock clock;
    held_source source;
    store_health health;
    std::optional<configuration_version> announced;
    operator_watch<held_source> watch;
};

} // namespace

// Failure: a VM that is cut off from the store refuses new keys for good.
TEST_F(operator_watch_accounts_test, cut_off_watch_is_not_up_to_date)
{
    answer(configuration(5, "k5"));
    clock.advance(milliseconds(4000));
    EXPECT_TRUE(watch.is_up_to_date());
    clock.advance(milliseconds(1));
    EXPECT_FALSE(watch.is_up_to_date());
    answer(not_done{"refused"});
    EXPECT_FALSE(watch.is_up_to_date());
    EXPECT_TRUE(is_valid("k5"));
    clock.advance(milliseconds(500));
    answer(operator_changes{});
    EXPECT_TRUE(watch.is_up_to_date());
}

// Failure: a late answer counts as current, although a key may have been added
// since it was asked for.
TEST_F(operator_watch_accounts_test, age_counts_from_the_question)
{
    answer(configuration(5, "k5"));
    watch.tick();
    clock.advance(milliseconds(4001));
    answer(operator_changes{});
    EXPECT_FALSE(watch.is_up_to_date());
}

// Failure: keys that were taken away are valid again after the history of the
// store was lost.
TEST_F(operator_watch_accounts_test, older_keys_do_not_come_back)
{
    answer(configuration(5, "k5"));
    answer(configuration(6, "k6"));
    EXPECT_FALSE(is_valid("k5"));
    EXPECT_TRUE(is_valid("k6"));
    answer(history_lost{});
    EXPECT_TRUE(is_valid("k6"));
    auto older = configuration(5, "k5");
    older.is_snapshot = true;
    answer(older);
    EXPECT_FALSE(is_valid("k5"));
    EXPECT_TRUE(is_valid("k6"));
    EXPECT_EQ(announced, configuration_version(6));
}

// Failure: a route is in force without the keys of its version.
TEST_F(operator_watch_accounts_test, routes_and_keys_change_together)
{
    answer(configuration(5, "k5"));
    EXPECT_TRUE(watch.queues().match("h", "/k5/1") && is_valid("k5"));
    answer(configuration(6, "k6"));
    EXPECT_TRUE(watch.queues().match("h", "/k6/1") && is_valid("k6"));
    EXPECT_FALSE(watch.queues().match("h", "/k5/1") || is_valid("k5"));
}
