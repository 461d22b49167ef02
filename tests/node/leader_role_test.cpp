// Guards against a leader that steps down late on a planned stop, loses its
// record of workers that have left, or stops working while the store is
// unavailable.
#include <optional>
#include <utility>

#include "leader_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::node;
using namespace hemlockdeal::node::test;

// Failure: a leader that is asked to step down waits until it has no changes to
// store; under load it always has some, and no task starts for seconds.
TEST_F(leader_role_test, busy_leader_steps_down_at_once)
{
    store_job();
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, milliseconds(400));
    ASSERT_TRUE(a.leads());
    ASSERT_GT(workers.starts, 0U);
    a.step_down();
    run_for(a, milliseconds(60));
    EXPECT_TRUE(a.has_stepped_down());
    auto b = make_leader("b");
    b.set_services({{service_id("s"), {}}});
    run_for(b, milliseconds(500));
    EXPECT_TRUE(b.leads());
}

// Failure: the last ends are not stored with the release of the lease, and
// their tasks run again.
TEST_F(leader_role_test, tasks_start_once_across_a_handover)
{
    store_job();
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, milliseconds(400));
    a.step_down();
    run_for(a, milliseconds(60));
    auto b = make_leader("b");
    b.set_services({{service_id("s"), {}}});
    run_for(b, seconds(20));
    // The ends of starts that were accepted but not polled are lost with the
    // fake's list: at most one pass of 16 tasks.
    EXPECT_GE(workers.starts, 500U);
    EXPECT_LE(workers.starts, 500U + 16U);
}

// Failure: a leader starts tasks when another VM may have taken over.
TEST_F(leader_role_test, no_starts_after_the_lease_has_expired)
{
    auto a = make_leader("a");
    ASSERT_NO_FATAL_FAILURE(start_some_tasks(a));
    store.mode = store_mode::rejects;
    run_for(a, milliseconds(1400));
    const auto starts_before = workers.starts;
    run_for(a, seconds(6));
    EXPECT_EQ(workers.starts, starts_before);
}

// Failure: a leader resumes after a pause and sends orders with an expired
// permission, at the same time as its successor.
TEST_F(leader_role_test, paused_leader_sends_no_orders)
{
    for (const auto pause : {milliseconds(1300), milliseconds(2500),
                             milliseconds(7000), milliseconds(30000)})
    {
        store = {};
        workers = {};
        auto a = make_leader("a");
        ASSERT_NO_FATAL_FAILURE(start_some_tasks(a));
        auto b = make_leader("b");
        b.set_services({{service_id("s"), {}}});
        run_for(b, pause);
        const auto orders = workers.starts;
        // It starts nothing until the store confirms that it still leads.
        store.mode = store_mode::rejects;
        a.tick();
        clock.advance(milliseconds(200));
        a.tick();
        EXPECT_EQ(workers.starts, orders) << pause.count() << " ms";
        store.mode = store_mode::responds;
        run_for(a, milliseconds(300));
        EXPECT_EQ(a.leads(), !b.leads()) << pause.count() << " ms";
        if (b.leads())
        {
            EXPECT_EQ(workers.starts, orders) << pause.count() << " ms";
        }
    }
}

// Failure: a leader that is suspended between two orders of one decision sends
// the rest of them with an expired permission.
TEST_F(leader_role_test, leader_suspended_between_two_orders_sends_no_more)
{
    auto a = make_leader("a");
    ASSERT_NO_FATAL_FAILURE(start_some_tasks(a));
    const auto before = workers.starts;
    workers.on_start = [&] { clock.advance(milliseconds(3500)); };
    for (int i = 0; i < 50 && workers.starts == before; ++i)
    {
        clock.advance(step_time);
        a.tick();
    }
    EXPECT_EQ(workers.starts, before + 1);
    // The orders that were not sent are decided again later.
    workers.on_start = [] {};
    run_for(a, seconds(20));
    EXPECT_EQ(workers.starts, 500U);
}

// Failure: one unreadable row terminates the leader, runs its job again, or
// keeps other jobs from being scheduled.
TEST_F(leader_role_test, unreadable_rows_do_not_affect_other_jobs)
{
    store_job();
    const job_id broken("00000000000000ff");
    jobs::job j;
    j.id = broken;
    j.policy.service = service_id("s");
    j.steps = {jobs::step{}};
    put(inbox_table, inbox_part(broken), broken.value(), jobs::encode_job(j));
    put(progress_table, lead_part, broken.value(), R"({"s":"later state"})");
    const job_id malformed("00000000000000fe");
    put(inbox_table, inbox_part(malformed), malformed.value(), "\x01{");
    put(learnt_table, lead_part, interference_key, "[7]");
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, milliseconds(600));
    EXPECT_TRUE(a.leads());
    EXPECT_GT(workers.starts, 0U);
    EXPECT_FALSE(a.state_of(broken));
    // Without the worker list, any task may be running anywhere until all
    // leases have expired.
    store = {};
    workers = {};
    store_job();
    jobs::job_progress ordered;
    ordered.state = jobs::job_state::running;
    ordered.ordered = {{0, 0, 0}};
    put(progress_table, lead_part, "5c0e7a21d94b36f8",
        jobs::encode_progress(ordered));
    put(fleet_table, lead_part, fleet_key(3), "?");
    auto b = make_leader("b");
    b.set_services({{service_id("s"), {}}});
    run_for(b, seconds(4));
    EXPECT_EQ(workers.starts, 499U);
    run_for(b, seconds(14));
    EXPECT_EQ(workers.starts, 500U);
}

// Failure: a job that was left out because its progress cannot be decoded is
// taken for a new one when the inbox is read again, and its tasks run again.
TEST_F(leader_role_test, job_that_was_left_out_stays_out)
{
    store_job();
    put(progress_table, lead_part, stored_job.value(),
        R"({"s":"later state"})");
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, milliseconds(400));
    ASSERT_TRUE(a.leads());
    store.loses_history = true;
    run_for(a, seconds(1));
    EXPECT_FALSE(store.loses_history);
    EXPECT_EQ(workers.starts, 0U);
}

// Failure: the bound on accepted work is not known to the VMs that do not lead,
// or is forgotten while the next leader reads the jobs.
TEST_F(leader_role_test, memory_of_jobs_is_published_with_the_lease)
{
    list.is_listed = false;
    store_job();
    auto a = make_leader("a");
    run_for(a, seconds(1));
    ASSERT_TRUE(a.leads());
    EXPECT_GT(a.job_memory(), 100U);
    auto b = make_leader("b");
    run_for(b, milliseconds(100));
    EXPECT_FALSE(b.leads());
    EXPECT_EQ(b.job_memory(), a.job_memory());
    a.step_down();
    run_for(a, milliseconds(100));
    run_for(b, seconds(2));
    EXPECT_TRUE(b.leads());
    EXPECT_EQ(b.job_memory(), a.job_memory());
}

// Failure: an exception while one row is read ends the recovery of every
// leader: it keeps the lease and starts nothing.
TEST_F(leader_role_test, row_beyond_memory_does_not_stop_recovery)
{
    store_job();
    const job_id excessive("00000000000000fd");
    store.transact({inbox_part(excessive),
                    {},
                    {{inbox_table, excessive.value(),
                      R"({"q":{"s":"s"},"s":[{}],"r":[4294967295,0,0]})"}},
                    {}},
                   {}, [](const transaction_outcome&) {});
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, milliseconds(600));
    EXPECT_TRUE(a.leads());
    EXPECT_GT(workers.starts, 0U);
    EXPECT_FALSE(a.state_of(excessive));
}

// Failure: a row of another program beside the learnt interference is read in
// its place, and the recovery ends twice.
TEST_F(leader_role_test, other_rows_beside_the_learnt_ones_change_nothing)
{
    for (const std::string key : {"a", "interference2", "z"})
    {
        store.transact(
            {lead_part, {}, {{learnt_table, key, R"({"17":{"t":4.5}})"}}, {}},
            {}, [](const transaction_outcome&) {});
    }
    auto a = make_leader("a");
    run_for(a, milliseconds(300));
    EXPECT_TRUE(a.leads());
    EXPECT_EQ(list.snapshots, 1U);
}

// Failure: a job whose key goes on with a space or control character is skipped
// where a page ends, and is lost with the takeover.
TEST_F(leader_role_test, no_job_is_skipped_between_two_pages)
{
    std::vector<std::string> keys;
    for (int i = 1000; i < 1500; ++i)
    {
        keys.push_back("j" + std::to_string(i));
    }
    for (const std::string next : {"\x01", " ", "!", "0"})
    {
        keys.push_back("j1499" + next);
    }
    jobs::job j;
    j.policy.service = service_id("other");
    j.steps = {jobs::step{}};
    for (const auto& key : keys)
    {
        store.transact({inbox_part_name(0),
                        {},
                        {{inbox_table, key, jobs::encode_job(j)}},
                        {}},
                       {}, [](const transaction_outcome&) {});
    }
    auto a = make_leader("a");
    run_for(a, milliseconds(300));
    ASSERT_TRUE(a.leads());
    for (const auto& key : keys)
    {
        EXPECT_TRUE(a.state_of(job_id(key))) << key;
    }
}

// Failure: a snapshot that holds a malformed entry lets its worker be used on,
// or keeps it unused once the entry is valid.
TEST_F(leader_role_test, nothing_starts_by_a_malformed_entry_in_a_snapshot)
{
    // The tasks last until the end of the test.
    list.capacity = {2000, 64000, 0};
    auto a = make_leader("a");
    ASSERT_NO_FATAL_FAILURE(start_some_tasks(a));
    list.loses_history = true;
    list.entry_is_malformed = true;
    run_for(a, milliseconds(1100));
    const auto starts_before = workers.starts;
    run_for(a, seconds(2));
    EXPECT_EQ(workers.starts, starts_before);
    list.loses_history = true;
    list.entry_is_malformed = false;
    run_for(a, seconds(2));
    EXPECT_GT(workers.starts, starts_before);
}

// Failure: a malformed entry that is removed while the history is lost counts
// as malformed for ever, and tasks that may be on its worker wait longer.
TEST_F(leader_role_test, snapshot_without_a_malformed_entry_removes_its_worker)
{
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, milliseconds(300));
    ASSERT_EQ(a.stats().workers, 1U);
    list.next_change = {worker_id("w"), std::nullopt, true};
    run_for(a, seconds(1));
    list.loses_history = true;
    list.entry_is_malformed = true;
    run_for(a, seconds(2));
    // A worker with a malformed entry is kept for a while.
    EXPECT_EQ(list.snapshots, 2U);
    EXPECT_EQ(a.stats().workers, 1U);
    list.loses_history = true;
    list.is_listed = false;
    run_for(a, seconds(2));
    EXPECT_EQ(list.snapshots, 3U);
    EXPECT_EQ(a.stats().workers, 0U);
}

// Failure: a leader that finds only a malformed entry starts tasks by it, or
// none once the entry is valid.
TEST_F(leader_role_test, malformed_entry_at_a_takeover_names_no_worker)
{
    store_job();
    list.entry_is_malformed = true;
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, seconds(2));
    ASSERT_TRUE(a.leads());
    EXPECT_EQ(workers.starts, 0U);
    list.next_change = {worker_id("w"), single_worker_list::entry(), false};
    run_for(a, seconds(1));
    EXPECT_GT(workers.starts, 0U);
}

// Failure: a worker whose later entry cannot be read keeps the capacity of the
// earlier one, or is not used again once it can be read.
TEST_F(leader_role_test, nothing_starts_by_an_entry_that_is_out_of_date)
{
    auto a = make_leader("a");
    ASSERT_NO_FATAL_FAILURE(start_some_tasks(a));
    list.next_change = {worker_id("w"), std::nullopt, true};
    run_for(a, milliseconds(400));
    const auto starts_before = workers.starts;
    run_for(a, seconds(2));
    EXPECT_EQ(workers.starts, starts_before);
    auto smaller = single_worker_list::entry();
    smaller.capacity = {500, 64000, 0};
    list.next_change = {smaller.id, smaller, false};
    run_for(a, seconds(2));
    EXPECT_EQ(workers.starts, starts_before);
    list.next_change = {smaller.id, single_worker_list::entry(), false};
    run_for(a, milliseconds(500));
    EXPECT_GT(workers.starts, starts_before);
}

// Failure: a page of rows none of which can be decoded counts as the last one,
// and the jobs after it are never run.
TEST_F(leader_role_test, page_of_undecodable_rows_hides_no_job)
{
    store_job_after_other_rows();
    for (const auto& [name, row] : store.rows())
    {
        if (row.key != stored_job.value())
        {
            store.undecodable.insert(row.key);
        }
    }
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, seconds(1));
    EXPECT_TRUE(a.leads());
    EXPECT_GT(workers.starts, 0U);
}

// Failure: a page without any key that can be read ends the recovery as if
// there were no more rows, or stops it for good.
TEST_F(leader_role_test, page_without_keys_is_read_again)
{
    store_job_after_other_rows();
    store.reads_without_keys = 3;
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, seconds(2));
    EXPECT_EQ(store.reads_without_keys, 0U);
    EXPECT_TRUE(a.leads());
    EXPECT_GT(workers.starts, 0U);
}

// Failure: a lease row that cannot be decoded lets the epoch start at 1 again.
// Workers keep the highest epoch, so that they refuse all orders.
TEST_F(leader_role_test, epoch_rises_beyond_an_undecodable_lease_row)
{
    const std::vector<std::string> malformed = {
        "",
        "\x01",
        "5",
        "[]",
        "{}",
        R"({"e":"7"})",
        R"({"e":0})",
        R"({"e":-1})",
        R"({"e":1e300})",
        R"({"e":9007199254740991,"c":1,"h":"x","p":1})"};
    std::uint64_t earlier = 0;
    for (std::size_t i = 0; i < malformed.size(); ++i)
    {
        auto a = make_leader("a" + std::to_string(i));
        run_for(a, seconds(5));
        ASSERT_TRUE(a.leads());
        EXPECT_GT(a.stats().epoch, earlier) << i;
        put(lease_table, lead_part, node::lease_key, malformed[i]);
        auto b = make_leader("b" + std::to_string(i));
        run_for(b, seconds(5));
        ASSERT_TRUE(b.leads());
        EXPECT_EQ(b.stats().epoch, a.stats().epoch + 1) << malformed[i];
        earlier = b.stats().epoch;
    }
}

// Failure: without a record of the epoch, as an earlier release leaves it, the
// epoch starts at 1 again.
TEST_F(leader_role_test, epoch_rises_without_its_record)
{
    auto a = make_leader("a");
    run_for(a, seconds(2));
    const auto earlier = a.stats().epoch;
    put(lease_table, lead_part, node::lease_key, "\x01");
    put(lease_table, lead_part, "epoch", "\x01");
    auto b = make_leader("b");
    run_for(b, seconds(5));
    ASSERT_TRUE(b.leads());
    EXPECT_GT(b.stats().epoch, earlier);
    auto c = make_leader("c");
    run_for(c, seconds(5));
    ASSERT_TRUE(c.leads());
    EXPECT_EQ(c.stats().epoch, b.stats().epoch + 1);
}

// Failure: the leader whose lease row is overwritten goes on beside its
// successor, or a row that another VM may hold is taken at once.
TEST_F(leader_role_test, leader_with_an_undecodable_lease_row_steps_back)
{
    auto a = make_leader("a");
    run_for(a, seconds(1));
    ASSERT_TRUE(a.leads());
    const auto earlier = a.stats().epoch;
    put(lease_table, lead_part, node::lease_key, "\x01");
    run_for(a, seconds(1));
    EXPECT_FALSE(a.leads());
    run_for(a, seconds(15));
    EXPECT_TRUE(a.leads());
    EXPECT_GT(a.stats().epoch, earlier);
}
