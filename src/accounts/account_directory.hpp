// The client accounts of one version of the configuration.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "accounts/account_policy.hpp"
#include "accounts/api_key.hpp"

namespace hemlockdeal::accounts
{

// Without accounts, callers need no key.
class account_directory
{
public:
    struct entry
    {
        account_policy policy;
        std::vector<api_key> keys;
    };

    account_directory() = default;
    // The ids of the entries must differ.
    explicit account_directory(std::vector<entry> entries);

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

    // The account that holds the key, or null. Compares it with every key, so
    // that the time shows nothing of the keys.
    const account_policy* owner_of(std::string_view presented_key) const;

    // Null if there is no such account.
    const account_policy* find(const account_id& id) const;

    // Sum of the weights of all accounts.
    std::int64_t total_weight() const { return total_weight_; }

    const std::vector<entry>& entries() const { return entries_; }

private:
    std::vector<entry> entries_;
    std::map<account_id, std::size_t> positions_;
    std::int64_t total_weight_ = 0;
};

} // namespace hemlockdeal::accounts
