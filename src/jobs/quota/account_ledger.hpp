// What client accounts have running.
#pragma once

#include <map>

#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

// The empty id stands for all jobs without an account.
class account_ledger
{
public:
    // Called for each run that is added to or removed from the ledger of a
    // worker.
    void add(const account_id& account, const task_size& size);
    void remove(const account_id& account, const task_size& size);

    // Replaces the sizes of the runs that may be on workers, but are in the
    // ledger of none.
    void set_in_doubt(std::map<account_id, task_size> sizes)
    {
        in_doubt_ = std::move(sizes);
    }

    // Sum of the runs in the ledgers of workers.
    task_size running(const account_id& account) const;
    task_size in_doubt(const account_id& account) const;
    // Upper bound of what the account has running.
    task_size total(const account_id& account) const
    {
        return running(account) + in_doubt(account);
    }

    // Accounts with runs in the ledgers of workers.
    const std::map<account_id, task_size>& all_running() const
    {
        return running_;
    }

private:
    // Without entries of size zero.
    std::map<account_id, task_size> running_;
    std::map<account_id, task_size> in_doubt_;
};

} // namespace hemlockdeal::jobs
