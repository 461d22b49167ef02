// The queues that callers may use, as the operators' configuration names
// them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.hpp"
#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

struct queue_route
{
    std::string host;
    std::string path_prefix;
    // Time that a caller's request may take.
    duration timeout{};
    queue_policy policy;
};

struct service_policy
{
    // Workers refuse what does not fit.
    bool enforces_capacity = true;
    bool is_standby = false;
};

struct queue_match
{
    const queue_route* route = nullptr;
    // What follows the prefix in the path.
    std::string_view rest;
};

// Invariant: the version only rises.
class queue_directory
{
public:
    struct content
    {
        configuration_version version;
        std::vector<queue_route> routes;
        std::map<service_id, service_policy> services;
    };

    // False, and no change, when the version is not newer.
    bool adopt(content newer);

    bool has_configuration() const { return content_.version.value() > 0; }
    configuration_version version() const { return content_.version; }
    const content& all() const { return content_; }

    // The route with the longest prefix of the path on this host.
    std::optional<queue_match> match(std::string_view host,
                                     std::string_view path) const;

private:
    content content_;
};

} // namespace hemlockdeal::jobs
