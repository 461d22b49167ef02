// Guards against an account that fills the memory for accepted jobs, and
// against refusals of accounts that use less than their share.
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "node/node.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::node;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t max_bytes = 1'000'000;
constexpr std::size_t job_bytes = 1'000;
constexpr int ticks_per_second = 10;

// Entry VMs that accept jobs, and a leader that publishes their memory every
// 500 ms as `leader_role` does.
class admission_load
{
public:
    explicit admission_load(std::size_t vms)
        : vms_(vms, job_admission(max_bytes))
    {}

    // Submits the job at one VM after the other.
    admission_result submit(const std::string& account, double share,
                            std::size_t bytes = job_bytes)
    {
        auto& vm = vms_[next_vm_++ % vms_.size()];
        const account_id id(account);
        const auto published = published_of_.find(id);
        const auto result = vm.admit(
            bytes, published_total_,
            {id, published == published_of_.end() ? 0 : published->second,
             share},
            now_);
        if (result == admission_result::admitted)
        {
            vm.add(bytes, id, now_);
            memory_[id] += bytes;
            running_.push_back({now_, id, bytes});
        }
        return result;
    }

    // Ends the jobs of the account that are older than `age`.
    void end_jobs(const std::string& account, duration age)
    {
        std::erase_if(running_, [&](const running_job& j) {
            const bool ends =
                j.account == account_id(account) && now_ - j.accepted_at >= age;
            memory_[j.account] -= ends ? j.bytes : 0;
            return ends;
        });
    }

    // `shares` are those of the accounts.
    void advance(const std::map<account_id, double>& shares)
    {
        now_ += milliseconds(1000 / ticks_per_second);
        if (++ticks_ % (ticks_per_second / 2) != 0)
        {
            return;
        }
        published_total_ = total();
        published_of_.clear();
        for (const auto& [id, share] : shares)
        {
            const auto bytes = memory_[id];
            if (published_total_ > max_bytes / 2 &&
                static_cast<double>(bytes) > share * max_bytes)
            {
                published_of_[id] = bytes;
            }
        }
    }

    std::size_t memory_of(const std::string& account)
    {
        return memory_[account_id(account)];
    }
    std::size_t total() const
    {
        std::size_t sum = 0;
        for (const auto& [id, bytes] : memory_)
        {
            sum += bytes;
        }
        return sum;
    }

private:
    struct running_job
    {
        time_point accepted_at;
        account_id account;
        std::size_t bytes = 0;
    };

    time_point now_{seconds(100)};
    int ticks_ = 0;
    std::size_t next_vm_ = 0;
    std::vector<job_admission> vms_;
    std::map<account_id, std::size_t> memory_;
    std::deque<running_job> running_;
    std::size_t published_total_ = 0;
    std::map<account_id, std::size_t> published_of_;
};

const std::map<account_id, double> shares = {{account_id("hot"), 0.1},
                                             {account_id("a"), 0.3},
                                             {account_id("b"), 0.3},
                                             {account_id("c"), 0.3}};

} // namespace

// Failure: an account that sends ten times its share fills the memory, and the
// jobs of the others are refused.
TEST(job_admission, one_account_cannot_take_the_memory_of_the_others)
{
    admission_load load(3);
    std::size_t hot_refused = 0;
    for (int tick = 0; tick < 60 * ticks_per_second; ++tick)
    {
        for (int i = 0; i < 10; ++i)
        {
            const auto result = load.submit("hot", 0.1);
            EXPECT_NE(result, admission_result::no_memory);
            hot_refused +=
                result == admission_result::no_account_memory ? 1 : 0;
        }
        for (const std::string account : {"a", "b", "c"})
        {
            EXPECT_EQ(load.submit(account, 0.3), admission_result::admitted)
                << account << " at tick " << tick;
            load.end_jobs(account, seconds(5));
        }
        load.advance(shares);
        ASSERT_LE(load.total(), max_bytes) << tick;
    }
    EXPECT_GT(hot_refused, 1000U);
    // It has what nobody else wanted while memory was not short, and what is
    // accepted until the leader has published it.
    EXPECT_LT(load.memory_of("hot"), max_bytes * 6 / 10);
}

// Failure: an account is refused although the memory is not short.
TEST(job_admission, unused_memory_is_open_to_one_account)
{
    admission_load load(1);
    for (int i = 0; i < 490; ++i)
    {
        ASSERT_EQ(load.submit("hot", 0.1), admission_result::admitted) << i;
        load.advance(shares);
    }
}

// Failure: an account that was refused stays refused after its jobs have ended.
TEST(job_admission, account_is_accepted_again_below_its_share)
{
    admission_load load(1);
    for (int i = 0; i < 700; ++i)
    {
        load.submit("hot", 0.1);
        load.submit("a", 0.3);
        load.advance(shares);
    }
    ASSERT_EQ(load.submit("hot", 0.1), admission_result::no_account_memory);
    load.end_jobs("hot", {});
    for (int i = 0; i < 3 * ticks_per_second; ++i)
    {
        load.advance(shares);
    }
    EXPECT_EQ(load.submit("hot", 0.1), admission_result::admitted);
}

// Failure: a burst at one VM passes the share because the leader has not
// published its jobs yet.
TEST(job_admission, burst_counts_before_it_is_published)
{
    job_admission vm(max_bytes);
    const time_point now{seconds(100)};
    const account_id hot("hot");
    std::size_t accepted = 0;
    for (int i = 0; i < 1000; ++i)
    {
        const auto result =
            vm.admit(job_bytes, max_bytes * 55 / 100, {hot, 0, 0.1}, now);
        if (result == admission_result::admitted)
        {
            vm.add(job_bytes, hot, now);
            ++accepted;
        }
    }
    EXPECT_EQ(accepted, 100U);
    EXPECT_EQ(vm.admit(job_bytes, max_bytes * 55 / 100,
                       {account_id("a"), 0, 0.3}, now),
              admission_result::admitted);
}

// Failure: jobs without an account are refused by a share that they do not
// have.
TEST(job_admission, jobs_without_an_account_have_the_bound_of_all)
{
    job_admission vm(max_bytes);
    const time_point now{seconds(100)};
    EXPECT_EQ(vm.admit(job_bytes, max_bytes - job_bytes, {}, now),
              admission_result::admitted);
    EXPECT_EQ(vm.admit(job_bytes + 1, max_bytes - job_bytes, {}, now),
              admission_result::no_memory);
}
