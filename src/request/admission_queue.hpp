// Requests of one service that wait for a slot, ordered by the time at which
// they must have been started.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "core/core.hpp"
#include "request/path_classifier.hpp"

namespace hemlockdeal
{

// Classes that can wait come after all others. A lane holds one class, so
// that a class whose head cannot be routed does not block the others.
class admission_queue
{
public:
    struct item
    {
        time_point start_by;
        request_id request;
    };
    struct lane
    {
        class_id work_class;
        duration target{};
        bool can_wait = false;
        // Invariant: ordered by start_by.
        std::deque<item> items;
    };

    void push(const request_rule& rule, const item& entry);
    void remove(const request_rule& rule, const item& entry);
    void pop_front(lane& from);

    // Lanes with requests, in the order in which their heads should start.
    // The pointers are valid until the next push.
    std::vector<lane*> ready_lanes();

    // Requests that would start before a new one.
    std::size_t ahead(const request_rule& rule, time_point start_by) const;

    // Removes the request that gives way to a new one: of those ahead of it
    // the last one of the class with the longest target, if that is longer
    // than the new request's.
    std::optional<request_id> make_way(const request_rule& rule,
                                       time_point start_by);

    std::size_t size() const { return size_; }

private:
    std::vector<lane> lanes_;
    std::size_t size_ = 0;
};

} // namespace hemlockdeal
