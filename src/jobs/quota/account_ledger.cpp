// Sums of the runs of each account.
#include "jobs/quota/account_ledger.hpp"

namespace hemlockdeal::jobs
{

namespace
{

task_size size_of(const std::map<account_id, task_size>& sizes,
                  const account_id& account)
{
    const auto found = sizes.find(account);
    return found == sizes.end() ? task_size{} : found->second;
}

} // namespace

void account_ledger::add(const account_id& account, const task_size& size)
{
    if (size != task_size{})
    {
        running_[account] += size;
    }
}

void account_ledger::remove(const account_id& account, const task_size& size)
{
    auto& sum = running_[account];
    sum -= size;
    if (sum == task_size{})
    {
        running_.erase(account);
    }
}

task_size account_ledger::running(const account_id& account) const
{
    return size_of(running_, account);
}

task_size account_ledger::in_doubt(const account_id& account) const
{
    return size_of(in_doubt_, account);
}

} // namespace hemlockdeal::jobs
