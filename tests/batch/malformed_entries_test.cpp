// Guards the work on workers whose entries of the membership list are malformed
// for longer than a removed worker's tasks wait for their leases.
#include <gtest/gtest.h>

#include "batch/cluster.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;
using namespace std::chrono_literals;

namespace
{

constexpr duration longer_than_leases = 60s;

cluster_options two_workers()
{
    cluster_options options;
    options.zones = 1;
    options.workers_per_zone = 2;
    return options;
}

struct malformed_entries : testing::TestWithParam<entry_fault>
{
    malformed_entries() : c(two_workers())
    {
        c.run_for(5s);
        c.submit(0, "job", 6, 100s, 500);
        c.run_for(5s);
        EXPECT_EQ(c.starts("job"), 6U);
        EXPECT_FALSE(c.worker(0).tasks.empty());
    }

    cluster c;
};

} // namespace

// Failure: the tasks of a running worker start a second time elsewhere, or are
// stopped, because its entry is malformed.
TEST_P(malformed_entries, running_tasks_go_on)
{
    c.set_entry_fault(0, GetParam());
    c.run_for(longer_than_leases);
    EXPECT_EQ(c.starts("job"), 6U);
    c.set_entry_fault(0, entry_fault::none);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 120s));
    EXPECT_EQ(c.starts("job"), 6U);
    EXPECT_EQ(c.finishes("job"), 6U);
    c.check_results();
    EXPECT_TRUE(c.violations.empty()) << c.violations.front();
}

// Failure: new tasks start on a worker whose entry is malformed, or none start
// there when the entry is well-formed again.
TEST_P(malformed_entries, worker_gets_tasks_only_with_a_sound_entry)
{
    c.set_entry_fault(0, GetParam());
    c.run_for(2s);
    const auto before = c.worker(0).tasks.size();
    c.submit(0, "more", 100, 2s, 1000);
    c.run_for(20s);
    EXPECT_GT(c.starts("more"), 0U);
    EXPECT_EQ(c.worker(0).tasks.size(), before);
    c.set_entry_fault(0, entry_fault::none);
    EXPECT_TRUE(
        c.run_until([&] { return c.worker(0).tasks.size() > before; }, 60s));
    EXPECT_TRUE(c.violations.empty()) << c.violations.front();
}

// Failure: owners that started while the entry is malformed, and so never knew
// the worker, count it as removed and start its tasks again.
TEST_P(malformed_entries, unknown_worker_is_not_removed_after_a_restart)
{
    c.set_entry_fault(0, GetParam());
    for (std::size_t i = 0; i < c.daemon_count(); ++i)
    {
        c.replace(i, 1s);
    }
    c.run_for(longer_than_leases);
    EXPECT_EQ(c.starts("job"), 6U);
    c.set_entry_fault(0, entry_fault::none);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 300s));
    EXPECT_EQ(c.finishes("job"), 6U);
    c.check_results();
    EXPECT_TRUE(c.violations.empty()) << c.violations.front();
}

INSTANTIATE_TEST_SUITE_P(membership, malformed_entries,
                         testing::Values(entry_fault::malformed,
                                         entry_fault::without_id));

// Failure: a job is refused as one that can never run, because the only worker
// that is large enough has a malformed entry.
TEST(malformed_entry, job_waits_for_a_worker_with_a_malformed_entry)
{
    cluster_options options = two_workers();
    options.workers_per_zone = 1;
    cluster c(options);
    c.run_for(5s);
    c.set_entry_fault(0, entry_fault::malformed);
    c.run_for(2s);
    const auto number = c.submit(0, "job", 2, 2s, 1000);
    EXPECT_TRUE(c.run_until([&] { return c.answers.contains(number); }, 20s));
    EXPECT_TRUE(std::holds_alternative<submission_accepted>(c.answers[number]));
    c.run_for(20s);
    EXPECT_EQ(c.starts("job"), 0U);
    c.set_entry_fault(0, entry_fault::none);
    EXPECT_TRUE(c.run_until([&] { return c.all_over(); }, 60s));
    EXPECT_EQ(c.finishes("job"), 2U);
}

// Failure: the checks above cannot notice a worker that counts as removed.
TEST(malformed_entry, dropped_running_worker_is_detected)
{
    cluster c(two_workers());
    c.run_for(5s);
    c.submit(0, "job", 6, 100s, 500);
    c.run_for(5s);
    EXPECT_EQ(c.starts("job"), 6U);
    c.drops_malformed_entries = true;
    c.set_entry_fault(0, entry_fault::malformed);
    for (std::size_t i = 0; i < c.daemon_count(); ++i)
    {
        c.replace(i, 1s);
    }
    c.run_for(longer_than_leases);
    EXPECT_GT(c.starts("job"), 6U);
}
