// Guards against runs that are lost, and workers that are used or forgotten,
// because the entry of a worker cannot be read for a while.
#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "capacity_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failure: a worker with an entry that cannot be read keeps its last capacity
// for new starts, or loses its runs or their leases, or is not used again.
TEST_F(capacity_test, worker_with_an_unreadable_entry_keeps_its_runs)
{
    begin({"a"});
    run_job("lasting", serving_step(1, 4000));
    leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
    add_job("j", step_of(1, 1000));
    leases_extended = 0;
    EXPECT_TRUE(simulate(seconds(8)).empty());
    EXPECT_GT(leases_extended, 3U);
    EXPECT_TRUE(stops.empty());
    publish("a", {4500, 64000, 0});
    EXPECT_TRUE(simulate().empty());
    publish("a", full_room);
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: a worker without runs whose entry was unreadable for a while is not
// used again.
TEST_F(capacity_test, idle_worker_is_used_after_an_unreadable_entry)
{
    begin({"a"});
    leader->remove_worker(worker_id("a"), now);
    add_job("j", step_of(1, 1000));
    EXPECT_TRUE(simulate(seconds(1)).empty());
    publish("a", full_room);
    EXPECT_EQ(simulate().size(), 1U);
}

// Failure: a malformed entry that is rewritten each second fills the log.
TEST_F(capacity_test, loss_of_an_entry_is_logged_once)
{
    begin({"a"});
    run_job("lasting", serving_step(1, 4000));
    leader->take_events();
    const auto count_lines = [this](const std::string& message) {
        const auto events = leader->take_events();
        return std::ranges::count(events, message, &decision_event::message);
    };
    const std::string is_malformed =
        "worker is not used while its entry is malformed";
    for (int i = 0; i < 30; ++i)
    {
        leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
    }
    EXPECT_EQ(count_lines(is_malformed), 1);
    publish("a", full_room);
    leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
    EXPECT_EQ(count_lines(is_malformed), 1);
}

// Failure: an idle worker whose entry alternates between valid and malformed is
// forgotten and joins again each time; or one with an entry that stays
// malformed is never forgotten.
TEST_F(capacity_test,
       idle_worker_with_a_malformed_entry_is_forgotten_after_a_while)
{
    begin({"a"});
    leader->take_events();
    for (int i = 0; i < 30; ++i)
    {
        leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
        simulate(seconds(1));
        publish("a", full_room);
        simulate(seconds(1));
    }
    const auto events = leader->take_events();
    EXPECT_EQ(
        std::ranges::count(events, "worker joined", &decision_event::message),
        0);
    leader->remove_worker(worker_id("a"), now, entry_loss::malformed);
    simulate(seconds(8));
    EXPECT_TRUE(leader->fleet().contains(worker_id("a")));
    simulate(seconds(4));
    EXPECT_FALSE(leader->fleet().contains(worker_id("a")));
}
