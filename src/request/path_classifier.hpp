// Maps a request path to the service and the class that the declaration gives
// it.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal
{

// What the request core needs to know of a class within a service. Requests
// keep the rule that they were admitted under when the configuration changes.
struct request_rule
{
    service_id service;
    class_id work_class;
    duration target{};
    bool idempotent = true;
    bool cross_region = false;
    // A batch class: its requests are refused before interactive ones.
    bool is_batch = false;
};

class path_classifier
{
public:
    void adopt(const declaration& content);

    // The rule of the longest prefix of `path`, or nothing.

    std::shared_ptr<const request_rule> classify(std::string_view path) const;

private:
    struct entry
    {
        std::string prefix;
        std::shared_ptr<const request_rule> rule;
    };
    // Invariant: longer prefixes come first.
    std::vector<entry> entries_;
};

} // namespace hemlockdeal
