// Requests of one service that wait for a slot, ordered by the time at which
// they must have been started.
#pragma once

#include <cstddef>
#include <cstdint>
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
    struct class_queue
    {
        class_id work_class;
        duration target{};
        bool is_batch = false;
        // Invariant: ordered by start_by.
        std::deque<item> items;
        // Items taken from the front since the last round, and whether there
        // were items all the time.
        std::uint32_t started = 0;
        bool backlogged = false;
        // Measured while there were items all the time, otherwise 0.
        double starts_per_second = 0.0;
    };

    void push(const request_rule& rule, const item& entry);
    void remove(const request_rule& rule, const item& entry);
    void pop_front(class_queue& from);

    // Lanes with requests, in the order in which their heads should start.
    // The pointers are valid until the next push.
    std::vector<class_queue*> ready_queues();

    // Requests that would start before a new one.
    std::size_t count_ahead(const request_rule& rule,
                            time_point start_by) const;

    // The time that a new request of the class would wait by the rate at which
    // its lane was emptied lately. A class that comes after others gets what
    // these leave, which the number of slots does not show.
    duration estimated_wait(const request_rule& rule) const;
    // Measures the rates, for the period since the last call.
    void update_rates(time_point now);

    // Removes the request that gives way to a new one: the last one of a class
    // that can wait or has the longest target, if its class comes after the
    // new request's in that order. With `start_by`, only requests that would
    // start before the new one count.
    std::optional<request_id>
    shed_lower_priority(const request_rule& rule,
                        std::optional<time_point> start_by);

    std::size_t size() const { return size_; }

private:
    std::vector<class_queue> class_queues_;
    std::size_t size_ = 0;
    time_point period_started_{};
};

} // namespace hemlockdeal
