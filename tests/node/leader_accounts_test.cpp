// Guards against leaders with an outdated configuration that exceed a lowered
// cap, and against rows that change for deployments without accounts.
#include <map>
#include <optional>
#include <string>

#include "leader_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::node;
using namespace hemlockdeal::node::test;

namespace
{

class leader_accounts_test : public leader_role_test
{
protected:
    static accounts::account_policy make_account(const std::string& name,
                                                 std::int64_t weight)
    {
        return {account_id(name), weight, {}};
    }

    static accounts::account_directory make_accounts()
    {
        return accounts::account_directory(
            {{make_account("hot", 1), {}}, {make_account("cold", 9), {}}});
    }

    leader_type make_leader_with(const std::string& name,
                                 std::size_t max_job_memory)
    {
        leader_options options;
        options.max_job_memory = max_job_memory;
        return {store,
                workers,
                list,
                {[this] { return clock.now; },
                 [this] {
                     return std::chrono::duration_cast<milliseconds>(
                         clock.now.time_since_epoch());
                 },
                 [this](duration delay, std::function<void()> call) {
                     clock.later(delay, std::move(call));
                 }},
                health,
                jobs::leadership(vm_id(name), 1, {}),
                options};
    }

    void store_job_of(const std::string& id,
                      const std::optional<accounts::account_policy>& account)
    {
        jobs::job j;
        j.id = job_id(id);
        j.policy.service = service_id("s");
        j.account = account;
        jobs::step s;
        s.size = {1000, 100, 0};
        j.steps = {s};
        put(inbox_table, inbox_part(j.id), id, jobs::encode_job(j));
    }

    std::string lease_text() const
    {
        const auto found = store.rows().find(
            fake_store::row_path(lease_table, lead_part, node::lease_key));
        return found == store.rows().end() ? "" : found->second.value;
    }

    jobs::lease_row lease() const
    {
        return jobs::decode_lease(lease_text()).value_or(jobs::lease_row{});
    }

    const std::string owned_id = "5c0e7a21d94b36f1";
    const std::string free_id = "5c0e7a21d94b36f2";
};

} // namespace

// Failure: the lease row of a deployment without accounts changes, and a
// version before the change cannot read it.
TEST_F(leader_accounts_test, version_is_published_only_with_accounts)
{
    auto a = make_leader("a");
    a.set_accounts({}, configuration_version(7));
    run_for(a, seconds(2));
    ASSERT_TRUE(a.leads());
    ASSERT_GT(lease().epoch, 0U);
    EXPECT_EQ(lease().configuration, configuration_version(0));
    a.set_accounts(make_accounts(), configuration_version(8));
    run_for(a, seconds(1));
    EXPECT_EQ(lease().configuration, configuration_version(8));
    // Accounts that have left keep their limits, which are those of the last
    // version with accounts.
    a.set_accounts({}, configuration_version(9));
    run_for(a, seconds(1));
    EXPECT_EQ(lease().configuration, configuration_version(8));
}

// Failure: a new leader that has not read a lowered cap starts tasks up to the
// earlier one.
TEST_F(leader_accounts_test, older_configuration_starts_no_task_of_an_account)
{
    auto a = make_leader("a");
    a.set_services({{service_id("s"), {}}});
    a.set_accounts(make_accounts(), configuration_version(8));
    run_for(a, seconds(1));
    ASSERT_EQ(lease().configuration, configuration_version(8));
    a.step_down();
    run_for(a, milliseconds(100));
    ASSERT_TRUE(a.has_stepped_down());

    store_job_of(owned_id, make_account("hot", 1));
    store_job_of(free_id, std::nullopt);
    auto b = make_leader("b");
    b.set_services({{service_id("s"), {}}});
    b.set_accounts(make_accounts(), configuration_version(7));
    run_for(b, seconds(30));
    ASSERT_TRUE(b.leads());
    EXPECT_EQ(lease().configuration, configuration_version(8));
    EXPECT_EQ(workers.starts, 1U);
    EXPECT_EQ(b.state_of(job_id(free_id)), jobs::job_state::completed);
    EXPECT_EQ(b.state_of(job_id(owned_id)), jobs::job_state::queued);
    b.set_accounts(make_accounts(), configuration_version(8));
    run_for(b, seconds(2));
    EXPECT_EQ(workers.starts, 2U);
    EXPECT_EQ(b.state_of(job_id(owned_id)), jobs::job_state::completed);
}

// Failure: the version is lost if a leader without accounts lies between.
TEST_F(leader_accounts_test, version_survives_a_leader_without_accounts)
{
    auto a = make_leader("a");
    a.set_accounts(make_accounts(), configuration_version(8));
    run_for(a, seconds(1));
    a.step_down();
    run_for(a, milliseconds(100));
    auto b = make_leader("b");
    run_for(b, seconds(3));
    ASSERT_TRUE(b.leads());
    EXPECT_EQ(lease().configuration, configuration_version(8));
}

// Failure: entry VMs do not learn which account fills the memory, or the row
// grows while there is enough of it.
TEST_F(leader_accounts_test, memory_above_the_share_is_published_while_short)
{
    list.is_listed = false;
    store_job_of(owned_id, make_account("hot", 1));
    store_job_of(free_id, make_account("cold", 9));
    auto a = make_leader("a");
    a.set_accounts(make_accounts(), configuration_version(8));
    run_for(a, seconds(2));
    const auto used = a.job_memory();
    ASSERT_GT(used, 0U);
    EXPECT_TRUE(lease().account_memory.empty());
    EXPECT_EQ(a.memory_of(make_account("hot", 1)).published_bytes, 0U);
    EXPECT_DOUBLE_EQ(a.memory_of(make_account("hot", 1)).share, 0.1);
    a.step_down();
    run_for(a, milliseconds(100));

    auto b = make_leader_with("b", used * 3 / 2);
    b.set_accounts(make_accounts(), configuration_version(8));
    run_for(b, seconds(3));
    ASSERT_TRUE(b.leads());
    const auto published = lease().account_memory;
    ASSERT_EQ(published.size(), 1U) << lease_text();
    EXPECT_EQ(published.begin()->first, account_id("hot"));
    EXPECT_EQ(b.memory_of(make_account("hot", 1)).published_bytes,
              published.begin()->second);
    EXPECT_EQ(b.memory_of(make_account("cold", 9)).published_bytes, 0U);
    // Without accounts, nothing of them stays in the row.
    b.set_accounts({}, configuration_version(9));
    run_for(b, seconds(1));
    EXPECT_TRUE(lease().account_memory.empty());
}

// Failure: the leader shows a job to other accounts because it does not name
// the owner that it knows.
TEST_F(leader_accounts_test, leader_names_the_owners_of_jobs)
{
    list.is_listed = false;
    store_job_of(owned_id, make_account("hot", 1));
    store_job_of(free_id, std::nullopt);
    auto a = make_leader("a");
    EXPECT_TRUE(a.owner_of(job_id(owned_id)).empty());
    run_for(a, seconds(2));
    ASSERT_TRUE(a.leads());
    EXPECT_EQ(a.owner_of(job_id(owned_id)), account_id("hot"));
    EXPECT_TRUE(a.owner_of(job_id(free_id)).empty());
    EXPECT_TRUE(a.owner_of(job_id("5c0e7a21d94b36ff")).empty());
}
