// Guards against a row that the store never accepts and that keeps everything
// else from being stored: the leader used to repeat the transaction for good.
#include "leader_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::node;
using namespace hemlockdeal::node::test;

namespace
{

class rejected_row_test : public leader_role_test
{
protected:
    void store_job(const job_id& id, std::uint32_t task_count)
    {
        jobs::job j;
        j.id = id;
        j.policy.service = service_id("s");
        jobs::step s;
        s.task_count = task_count;
        s.size = {100, 100, 0};
        j.steps = {s};
        put(inbox_table, inbox_part(id), id.value(), jobs::encode_job(j));
    }

    std::string progress_of(const job_id& id) const
    {
        const auto row = store.rows().find(progress_table + '/' + lead_part +
                                           '/' + id.value());
        return row == store.rows().end() ? "" : row->second.value;
    }
};

} // namespace

// Failure: the progress row of one job is too large for the store, and no task
// of any other job starts any more.
TEST_F(rejected_row_test, job_that_cannot_be_stored_stops_no_other_job)
{
    const job_id large("00000000000000aa");
    const job_id small("00000000000000bb");
    store_job(large, 800);
    store_job(small, 3);
    // Room for the row of the small job, and for the final state of both.
    store.max_value_bytes = 110;
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, seconds(5));
    EXPECT_TRUE(a.leads());
    EXPECT_LT(workers.starts, 803U);
    EXPECT_EQ(progress_of(small), R"({"s":"completed"})");
    // Its caller gets a final answer, also from the next leader.
    EXPECT_EQ(progress_of(large), R"({"s":"failed"})");
    EXPECT_EQ(a.state_of(large), jobs::job_state::failed);
    EXPECT_EQ(a.stats().jobs_not_storable, 1U);
}

// Failure: changes of many jobs exceed the limits of one transaction, and none
// of them is stored.
TEST_F(rejected_row_test, changes_beyond_one_transaction_are_stored_in_parts)
{
    for (int i = 10; i < 60; ++i)
    {
        store_job(job_id("00000000000000" + std::to_string(i)), 1);
    }
    store.max_entries = 7;
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, seconds(3));
    EXPECT_TRUE(a.leads());
    EXPECT_EQ(workers.starts, 50U);
    for (int i = 10; i < 60; ++i)
    {
        EXPECT_EQ(progress_of(job_id("00000000000000" + std::to_string(i))),
                  R"({"s":"completed"})");
    }
}

// Failure: while the record of a worker cannot be stored, the leader loses its
// lease, or starts tasks on a worker that the next leader would not know.
TEST_F(rejected_row_test, nothing_starts_on_workers_that_are_not_recorded)
{
    store_job(job_id("00000000000000aa"), 3);
    for (std::uint32_t part = 0; part < jobs::fleet_parts; ++part)
    {
        store.unwritable.insert(fleet_key(part));
    }
    auto a = make_leader("a");
    auto b = make_leader("b");
    a.set_services({{service_id("s"), {}}});
    run_for(a, milliseconds(500));
    ASSERT_TRUE(a.leads());
    for (int i = 0; i < 500; ++i)
    {
        run_for(a, step_time);
        b.tick();
    }
    EXPECT_TRUE(a.leads());
    EXPECT_FALSE(b.leads());
    EXPECT_EQ(workers.starts, 0U);
    store.unwritable.clear();
    run_for(a, seconds(1));
    EXPECT_EQ(workers.starts, 3U);
}

// Failure: a leader that is asked to step down keeps the lease because the
// store does not accept its last changes.
TEST_F(rejected_row_test, lease_is_released_beside_a_row_that_is_not_accepted)
{
    const job_id large("00000000000000aa");
    for (int offset = 0; offset < 10; ++offset)
    {
        store = {};
        workers = {};
        store_job(large, 8000);
        auto a = make_leader("a");
        a.set_services({{service_id("s"), {}}});
        run_for(a, milliseconds(300) + offset * step_time);
        ASSERT_TRUE(a.leads());
        ASSERT_GT(workers.starts, 0U);
        store.unwritable.insert(large.value());
        a.step_down();
        run_for(a, milliseconds(100));
        EXPECT_TRUE(a.has_stepped_down()) << offset;
    }
}

// Failure: the process ends when the store rejects changes of a leader that has
// lost the lead in the meantime.
TEST_F(rejected_row_test, rejection_after_the_lead_was_lost_changes_nothing)
{
    const job_id large("00000000000000aa");
    store_job(large, 8000);
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    run_for(a, milliseconds(300));
    ASSERT_TRUE(a.leads());
    store.unwritable.insert(large.value());
    store.holds_responses = true;
    run_for(a, milliseconds(100));
    ASSERT_FALSE(store.held.empty());
    workers.is_superseded = true;
    run_for(a, seconds(1));
    ASSERT_FALSE(a.leads());
    store.release();
    run_for(a, milliseconds(100));
    EXPECT_FALSE(a.leads());
}
