// Guards against waits for a worker process that another one has replaced on
// its VM, and against its late reports.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "takeover_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Failure: after a takeover, tasks wait until all leases have expired although
// the worker that ran them has crashed and its VM runs a new process.
TEST_F(takeover_test, tasks_do_not_wait_for_a_worker_replaced_on_its_vm)
{
    leader.recover_fleet({{worker_id("here"), std::nullopt, vm_id("vm-1")},
                          {worker_id("crashed"), std::nullopt, vm_id("vm-2")}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    ASSERT_THAT(simulate(seconds(1)), testing::IsEmpty());
    auto later = entry("later");
    later.vm = vm_id("vm-2");
    leader.set_worker(later, now);
    // It is listed, but has not responded yet.
    ASSERT_THAT(simulate(milliseconds(200)), testing::IsEmpty());
    all_respond = true;
    EXPECT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
}

// Failure: a report that a worker sent before its end makes it eligible again,
// and tasks are started there.
TEST_F(takeover_test, a_late_report_does_not_revive_an_ended_worker)
{
    ASSERT_NO_FATAL_FAILURE(start_tasks_on_one_vm());
    auto late = make_report();
    late.running = running;
    replace_worker_and_deliver(late);
    simulate(seconds(1));
    EXPECT_EQ(ran_on[key(0)], worker_id("later"));
    EXPECT_EQ(ran_on[key(1)], worker_id("later"));
}

// Failure: a task whose end arrives after the first report of a later worker
// on the VM is started again.
TEST_F(takeover_test, ends_in_a_late_report_of_an_ended_worker_count)
{
    ASSERT_NO_FATAL_FAILURE(start_tasks_on_one_vm());
    auto late = make_report();
    for (const auto& run : running)
    {
        late.ended.push_back({late.ended.size() + 1, run.task, run.run,
                              jobs::run_end::done, ""});
    }
    replace_worker_and_deliver(late);
    EXPECT_THAT(simulate(seconds(1)), testing::IsEmpty());
    EXPECT_TRUE(leader.registry().over().contains(definition.id));
}
