// Lookup of accounts by id and by key.
#include "accounts/account_directory.hpp"

#include <utility>

namespace hemlockdeal::accounts
{

account_directory::account_directory(std::vector<entry> entries)
    : entries_(std::move(entries))
{
    for (std::size_t i = 0; i < entries_.size(); ++i)
    {
        positions_.emplace(entries_[i].policy.id, i);
        total_weight_ += entries_[i].policy.weight;
    }
}

const account_policy*
account_directory::owner_of(std::string_view presented_key) const
{
    const account_policy* owner = nullptr;
    for (const auto& account : entries_)
    {
        for (const auto& key : account.keys)
        {
            if (key.matches(presented_key))
            {
                owner = &account.policy;
            }
        }
    }
    return owner;
}

const account_policy* account_directory::find(const account_id& id) const
{
    const auto found = positions_.find(id);
    return found == positions_.end() ? nullptr
                                     : &entries_[found->second].policy;
}

} // namespace hemlockdeal::accounts
