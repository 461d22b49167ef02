// Tests of which connections the budget gives up.
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "http/connection_budget.hpp"

using namespace hemlockdeal;
using std::chrono::seconds;

namespace
{

constexpr std::size_t max_bytes = 100;
constexpr std::size_t max_connections = 3;

class connection_budget_test : public testing::Test
{
protected:
    static time_point at(int second) { return time_point{} + seconds(second); }

    // Adds a connection that is removed when it is given up.
    connection_id add(const std::string& name, int second)
    {
        const auto slot = ids.size();
        ids.emplace_back();
        ids[slot] = budget.add(at(second), [this, name, slot](refusal) {
            given_up.push_back(name);
            budget.remove(ids[slot]);
        });
        return ids[slot];
    }

    connection_budget budget{{max_bytes, max_connections}};
    std::vector<connection_id> ids;
    std::vector<std::string> given_up;
};

using names = std::vector<std::string>;

} // namespace

// Failure: connections within the limit are given up.
TEST_F(connection_budget_test, nothing_is_given_up_at_the_limit)
{
    budget.set_bytes(add("a", 1), 60);
    budget.set_bytes(add("b", 2), 40);
    budget.enforce();
    EXPECT_EQ(given_up, names{});
    EXPECT_EQ(budget.bytes(), max_bytes);
}

// Failure: a new request is refused for the memory of those that stay
// incomplete.
TEST_F(connection_budget_test, oldest_incomplete_connection_is_given_up_first)
{
    const auto newest = add("newest", 3);
    const auto oldest = add("oldest", 1);
    const auto middle = add("middle", 2);
    budget.set_bytes(newest, 60);
    budget.set_bytes(oldest, 60);
    budget.set_bytes(middle, 60);
    budget.enforce();
    EXPECT_EQ(given_up, (names{"oldest", "middle"}));
}

// Failure: a request that is being served loses its connection while others are
// incomplete.
TEST_F(connection_budget_test, connections_in_service_are_given_up_last)
{
    const auto serving = add("serving", 1);
    const auto idle = add("idle", 2);
    const auto incomplete = add("incomplete", 3);
    budget.set_stage(serving, connection_stage::serving, at(1));
    budget.set_stage(idle, connection_stage::idle, at(2));
    for (const auto id : {serving, idle, incomplete})
    {
        budget.set_bytes(id, max_bytes);
    }
    budget.enforce();
    EXPECT_EQ(given_up, (names{"incomplete", "idle"}));
}

// Failure: a connection without bytes is given up for memory.
TEST_F(connection_budget_test, connections_without_bytes_are_kept)
{
    add("empty", 1);
    budget.set_bytes(add("full", 2), max_bytes + 1);
    budget.enforce();
    EXPECT_EQ(given_up, names{"full"});
    EXPECT_EQ(budget.bytes(), 0U);
}

// Failure: a refused connection that holds bytes again is never given up, or
// the budget loops on it.
TEST_F(connection_budget_test, refused_connections_are_given_up_again)
{
    int refused = 0;
    connection_id id{};
    id = budget.add(at(1), [&](refusal) {
        if (++refused == 2)
        {
            budget.remove(id);
            return;
        }
        budget.set_stage(id, connection_stage::refused, at(2));
        budget.set_bytes(id, max_bytes + 1);
    });
    budget.set_bytes(id, max_bytes + 1);
    budget.enforce();
    EXPECT_EQ(refused, 2);
    EXPECT_EQ(budget.bytes(), 0U);
}

// Failure: connections that stay incomplete or idle keep new callers out.
TEST_F(connection_budget_test, oldest_unserved_connection_makes_room)
{
    const auto serving = add("serving", 1);
    budget.set_stage(serving, connection_stage::serving, at(1));
    const auto idle = add("idle", 2);
    budget.set_stage(idle, connection_stage::idle, at(2));
    add("incomplete", 3);
    EXPECT_TRUE(budget.make_room());
    EXPECT_EQ(given_up, names{"incomplete"});
    add("next", 4);
    budget.set_stage(ids.back(), connection_stage::serving, at(4));
    EXPECT_TRUE(budget.make_room());
    EXPECT_EQ(given_up, (names{"incomplete", "idle"}));
}

// Failure: a connection in service is given up for a new one.
TEST_F(connection_budget_test, connections_in_service_do_not_make_room)
{
    for (int i = 0; i < static_cast<int>(max_connections); ++i)
    {
        budget.set_stage(add("serving", i), connection_stage::serving, at(i));
    }
    EXPECT_FALSE(budget.make_room());
    EXPECT_EQ(given_up, names{});
}

// Failure: without descriptors, more connections are given up than asked for,
// or ones in service.
TEST_F(connection_budget_test, gives_up_as_many_as_asked_for)
{
    const auto serving = add("serving", 1);
    budget.set_stage(serving, connection_stage::serving, at(1));
    add("oldest", 2);
    add("newest", 3);
    budget.give_up(1);
    EXPECT_EQ(given_up, names{"oldest"});
    budget.give_up(5);
    EXPECT_EQ(given_up, (names{"oldest", "newest"}));
}

// Failure: connections beyond a limit that was lowered stay.
TEST_F(connection_budget_test, lowered_limit_gives_up_several)
{
    add("a", 1);
    add("b", 2);
    add("c", 3);
    budget.set_max_connections(2);
    EXPECT_TRUE(budget.make_room());
    EXPECT_EQ(given_up, (names{"a", "b"}));
    EXPECT_EQ(budget.connections(), 1U);
}
