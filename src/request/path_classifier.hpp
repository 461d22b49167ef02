// Maps a request path to its declared service and class.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.hpp"

namespace hemlockdeal
{

// Properties of a class within a service that the request core uses. Requests
// keep the rule that they were admitted under when the configuration changes.
struct request_rule
{
    service_id service;
    class_id work_class;
    duration target{};
    bool idempotent = true;
    bool cross_region = false;
    // Requests of a batch class are refused before interactive ones.
    bool is_batch = false;
};

class path_classifier
{
public:
    void adopt(const declaration& content);

    // Returns the rule of the longest matching prefix of `path`, or null.
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
