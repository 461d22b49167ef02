// Guards against two leaders at once, a takeover caused by a store outage, and
// a lost response that costs the leader its lease.
#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr duration poll_interval = milliseconds(500);

// The lease row as the store keeps it.
struct lease_store
{
    std::optional<lease_row> row;
    row_version version;

    bool write(const lease_write& w)
    {
        if (w.expected != version)
        {
            return false;
        }
        row = w.row;
        version = version.next();
        return true;
    }
};

class leadership_test : public testing::Test
{
protected:
    leadership make(const std::string& name, std::uint64_t process = 1)
    {
        return {vm_id(name), process, {}};
    }

    // Reads the row every half second for `time`, and takes the lease when
    // due.
    bool polls_until_leading(leadership& lead, duration time)
    {
        for (duration passed{}; passed < time; passed += poll_interval)
        {
            now += poll_interval;
            lead.on_read(store.row, store.version, now);
            const auto write = lead.takeover(now, {});
            if (write && store.write(*write))
            {
                lead.on_written(*write, store.version, now);
                return true;
            }
        }
        return false;
    }

    void renew(leadership& lead)
    {
        const auto write = lead.renewal();
        ASSERT_TRUE(store.write(write));
        lead.on_written(write, store.version, now);
    }

    lease_store store;
    time_point now{std::chrono::seconds(50)};
};

} // namespace

// Failure: nobody becomes leader with an empty store.
TEST_F(leadership_test, first_vm_takes_a_free_lead)
{
    auto a = make("a");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    EXPECT_TRUE(a.leads());
    EXPECT_EQ(a.epoch(), 1U);
}

// Failure: a second VM leads while the first one is still valid.
TEST_F(leadership_test, takeover_comes_after_the_validity)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    const auto valid_until = a.valid_until();
    ASSERT_TRUE(polls_until_leading(b, std::chrono::seconds(10)));
    EXPECT_GE(now, valid_until);
    EXPECT_FALSE(a.is_valid(now));
    EXPECT_EQ(b.epoch(), 2U);
    EXPECT_FALSE(store.write(a.renewal()));
}

// Failure: a leader that renews its lease loses it.
TEST_F(leadership_test, renewed_lease_is_not_taken)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    for (int i = 0; i < 40; ++i)
    {
        renew(a);
        EXPECT_FALSE(polls_until_leading(b, poll_interval));
    }
}

// Failure: a store outage, in which nobody can renew, counts as inactivity of
// the leader.
TEST_F(leadership_test, store_outage_does_not_cause_a_takeover)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    EXPECT_FALSE(polls_until_leading(b, milliseconds(1000)));
    b.on_read_failed();
    now += std::chrono::seconds(9);
    b.on_read(store.row, store.version, now);
    EXPECT_FALSE(b.takeover(now, {}));
    // The same without a failed read: a gap between reads proves nothing.
    now += std::chrono::seconds(9);
    b.on_read(store.row, store.version, now);
    EXPECT_FALSE(b.takeover(now, {}));
}

// Failure: a slow store costs a leader its lease, because its renewals arrive
// late and are seen late.
TEST_F(leadership_test, slow_reads_delay_the_takeover)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    for (int i = 0; i < 5; ++i)
    {
        now += poll_interval;
        b.on_read(store.row, store.version, now, milliseconds(400));
        EXPECT_FALSE(b.takeover(now, {}));
    }
    now += milliseconds(1000);
    b.on_read(store.row, store.version, now, milliseconds(400));
    EXPECT_TRUE(b.takeover(now, {}));
}

// Failure: the fleet has no leader for several seconds after the leader has
// died.
TEST_F(leadership_test, takeover_takes_two_seconds)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    EXPECT_TRUE(polls_until_leading(b, milliseconds(2000)));
}

// Failure: a leader that is suspended while a renewal is answered considers
// itself valid for twice that time, and acts beside the next leader.
TEST_F(leadership_test, suspension_during_a_renewal_does_not_prolong_the_lead)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    b.on_read(store.row, store.version, now, milliseconds(5));
    const auto sent_at = now;
    const auto write = a.renewal();
    ASSERT_TRUE(store.write(write));
    const auto version = store.version;
    ASSERT_TRUE(polls_until_leading(b, seconds(3)));
    const auto taken_at = now;
    now = sent_at + milliseconds(3500);
    a.on_written(write, version, sent_at, now - sent_at);
    EXPECT_LE(a.valid_until(), taken_at);
    EXPECT_FALSE(a.is_valid(now));
}

// Failure: a leader that the store answers slowly is replaced while its lease
// is valid, because other VMs get faster answers.
TEST_F(leadership_test, other_vms_wait_for_the_validity_in_the_row)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    for (int i = 0; i < 3; ++i)
    {
        const auto write = a.renewal();
        ASSERT_TRUE(store.write(write));
        a.on_written(write, store.version, now, milliseconds(900));
        b.on_read(store.row, store.version, now, milliseconds(5));
        now += milliseconds(900);
    }
    ASSERT_TRUE(polls_until_leading(b, seconds(6)));
    EXPECT_GE(now, a.valid_until());
}

// Failure: a leader whose renewals take long is not valid in between.
TEST_F(leadership_test, slow_renewals_keep_the_lead_valid)
{
    constexpr duration write_time = milliseconds(1000);
    auto a = make("a");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    for (int i = 0; i < 10; ++i)
    {
        const auto sent_at = now;
        const auto write = a.renewal();
        ASSERT_TRUE(store.write(write));
        now += write_time;
        a.on_written(write, store.version, sent_at, write_time);
        // The first renewals do not know yet how slow the store is.
        EXPECT_TRUE(i < 2 || a.is_valid(now + write_time));
    }
}

// Failure: the lease of a VM that stored no validity is taken while it is
// valid.
TEST_F(leadership_test, unknown_validity_counts_as_the_longest)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    store.row->validity.reset();
    EXPECT_FALSE(polls_until_leading(b, milliseconds(3000)));
    EXPECT_TRUE(polls_until_leading(b, milliseconds(2000)));
}

// Failure: a small VM takes the lease although larger ones are available.
TEST_F(leadership_test, smaller_vms_report_their_processor_deficit)
{
    leadership_options large;
    large.processor_share = 0.5;
    leadership a(vm_id("a"), 1, large);
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    leadership_options small;
    small.processor_share = 0.1;
    leadership b(vm_id("b"), 1, small);
    leadership c(vm_id("c"), 1, large);
    b.on_read(store.row, store.version, now);
    c.on_read(store.row, store.version, now);
    EXPECT_DOUBLE_EQ(b.processor_deficit(), 0.8);
    EXPECT_DOUBLE_EQ(c.processor_deficit(), 0.0);
}

// Failure: a write whose response is lost ends the leadership, or is executed
// twice.
TEST_F(leadership_test, lost_response_is_recognised_by_the_row)
{
    auto a = make("a");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    const auto write = a.renewal();
    ASSERT_TRUE(store.write(write));
    EXPECT_TRUE(a.on_conflict(write, store.row, store.version, now));
    EXPECT_TRUE(a.leads());
    renew(a);
}

// Failure: a write that was not executed ends the leadership.
TEST_F(leadership_test, write_that_was_not_done_may_be_repeated)
{
    auto a = make("a");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    const auto write = a.renewal();
    EXPECT_FALSE(a.on_conflict(write, store.row, store.version, now));
    EXPECT_TRUE(a.leads());
    EXPECT_TRUE(store.write(write));
}

// Failure: a leader continues after another VM has taken the lease.
TEST_F(leadership_test, conflict_with_another_holder_ends_the_lead)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    ASSERT_TRUE(polls_until_leading(b, std::chrono::seconds(10)));
    const auto write = a.renewal();
    EXPECT_FALSE(a.on_conflict(write, store.row, store.version, now));
    EXPECT_FALSE(a.leads());
}

// Failure: after a restart of its process, a VM waits for its own old lease to
// expire.
TEST_F(leadership_test, own_earlier_process_is_dead)
{
    auto a = make("a", 1);
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    auto restarted = make("a", 2);
    EXPECT_TRUE(polls_until_leading(restarted, poll_interval));
    EXPECT_EQ(restarted.epoch(), 2U);
}

// Failure: a planned stop leaves the fleet without a leader for seconds.
TEST_F(leadership_test, released_lead_is_taken_at_once)
{
    auto a = make("a");
    auto b = make("b");
    ASSERT_TRUE(polls_until_leading(a, poll_interval));
    const auto write = a.release({});
    ASSERT_TRUE(store.write(write));
    a.on_written(write, store.version, now);
    EXPECT_FALSE(a.leads());
    EXPECT_TRUE(polls_until_leading(b, poll_interval));
    EXPECT_FALSE(polls_until_leading(a, milliseconds(1000)));
}

// Failure: the stored lease row cannot be decoded.
TEST(lease_codec, rows_survive_the_store)
{
    const lease_row row{
        7, 31, vm_id("edge \"1\""), 1234567890123456ULL, true, true, 0.25};
    EXPECT_EQ(decode_lease(encode_lease(row)), row);
    auto with_validity = row;
    with_validity.validity = milliseconds(1450);
    EXPECT_EQ(decode_lease(encode_lease(with_validity)), with_validity);
    auto with_accounts = row;
    with_accounts.configuration = configuration_version(12);
    with_accounts.account_memory = {{account_id("a \"b\""), 1ULL << 40U}};
    EXPECT_EQ(decode_lease(encode_lease(with_accounts)), with_accounts);
    // Rows of deployments without accounts have none of these members.
    EXPECT_EQ(encode_lease(row).find("\"k\""), std::string::npos);
    EXPECT_EQ(encode_lease(row).find("\"n\""), std::string::npos);
    EXPECT_FALSE(decode_lease("[1]"));
    EXPECT_FALSE(decode_lease("{"));
}
