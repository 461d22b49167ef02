// Queue of the requests of one service that wait for a slot, ordered by their
// latest start time.
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

// Batch classes are served after all others. Each class has its own queue, so
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
        // Items started since the last update of the rates, and whether the
        // queue has been non-empty for that whole period.
        std::uint32_t started = 0;
        bool backlogged = false;
        // Start rate while the queue is backlogged, otherwise 0.
        double starts_per_second = 0.0;
    };

    void push(const request_rule& rule, const item& entry);
    void remove(const request_rule& rule, const item& entry);
    void pop_front(class_queue& from);

    // Non-empty queues, in the order in which their heads should start. The
    // pointers are valid until the next push.
    std::vector<class_queue*> ready_queues();

    // Number of requests that would start before a new one.
    std::size_t count_ahead(const request_rule& rule,
                            time_point start_by) const;

    // Expected wait of a new request of the class, from the recent start rate
    // of its queue. A class with a low priority gets only the slots that other
    // classes leave, so its wait does not follow from the number of slots.
    duration estimated_wait(const request_rule& rule) const;
    // Updates the start rates, for the period since the last call.
    void update_rates(time_point now);

    // Removes one queued request of a lower priority than the new request and
    // returns it. Batch classes have the lowest priority; otherwise a longer
    // target means a lower priority. The last request of the lowest class is
    // removed. With `start_by`, only requests that would start before the new
    // one are considered.
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
