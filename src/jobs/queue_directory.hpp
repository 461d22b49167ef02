// The queues that callers may use, as defined by the operators' configuration.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/accounts.hpp"
#include "core/core.hpp"
#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

struct queue_route
{
    std::string host;
    std::string path_prefix;
    // Time limit of a caller's request.
    duration timeout{};
    // Callers need no key of an account.
    bool is_public = false;
    queue_policy policy;
};

struct service_policy
{
    // True if workers refuse tasks that exceed their capacity.
    bool enforces_capacity = true;
};

struct queue_match
{
    const queue_route* route = nullptr;
    // The part of the path after the prefix.
    std::string_view rest;
};

// Invariant: the version only increases.
class queue_directory
{
public:
    struct content
    {
        configuration_version version;
        std::vector<queue_route> routes;
        std::map<service_id, service_policy> services;
        accounts::account_directory accounts;
        // The configuration lists client accounts, perhaps none that can be
        // used: invalid entries must not open the queues to callers without a
        // key.
        bool lists_accounts = false;

        bool requires_keys() const
        {
            return lists_accounts || !accounts.empty();
        }
    };

    // Returns false without any change if the version is not newer.
    bool adopt(content newer);

    bool has_configuration() const { return content_.version.value() > 0; }
    configuration_version version() const { return content_.version; }
    const content& all() const { return content_; }

    // The route on this host with the longest prefix that matches the path.
    std::optional<queue_match> match(std::string_view host,
                                     std::string_view path) const;

private:
    content content_;
};

} // namespace hemlockdeal::jobs
