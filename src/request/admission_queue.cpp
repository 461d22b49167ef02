// Admission queue: ordering, load shedding and measurement of start rates.
#include "request/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

namespace
{

// True when the head of the queue starts before a request with this rule and
// start time. Batch and interactive queues are not compared.
bool starts_before(const admission_queue::class_queue& q,
                   const request_rule& rule, time_point start_by)
{
    return q.is_batch == rule.is_batch && q.items.front().start_by <= start_by;
}

} // namespace

void admission_queue::push(const request_rule& rule, const item& entry)
{
    auto found = std::ranges::find(class_queues_, rule.work_class,
                                   &class_queue::work_class);
    if (found == class_queues_.end())
    {
        class_queue added;
        added.work_class = rule.work_class;
        class_queues_.push_back(std::move(added));
        found = class_queues_.end() - 1;
    }
    found->target = rule.target;
    found->is_batch = rule.is_batch;
    const auto position = std::ranges::upper_bound(
        found->items, entry.start_by, std::ranges::less{}, &item::start_by);
    found->items.insert(position, entry);
    ++size_;
}

void admission_queue::remove(const request_rule& rule, const item& entry)
{
    const auto found = std::ranges::find(class_queues_, rule.work_class,
                                         &class_queue::work_class);
    if (found == class_queues_.end())
    {
        return;
    }
    auto position = std::ranges::lower_bound(
        found->items, entry.start_by, std::ranges::less{}, &item::start_by);
    position = std::find_if(position, found->items.end(), [&](const item& i) {
        return i.request == entry.request;
    });
    if (position != found->items.end())
    {
        found->items.erase(position);
        found->backlogged = found->backlogged && !found->items.empty();
        --size_;
    }
}

void admission_queue::pop_front(class_queue& from)
{
    from.items.pop_front();
    --size_;
    ++from.started;
    from.backlogged = from.backlogged && !from.items.empty();
}

duration admission_queue::estimated_wait(const request_rule& rule) const
{
    const auto found = std::ranges::find(class_queues_, rule.work_class,
                                         &class_queue::work_class);
    if (found == class_queues_.end() || found->starts_per_second <= 0.0)
    {
        return duration{};
    }
    const double seconds =
        static_cast<double>(found->items.size() + 1) / found->starts_per_second;
    return duration(static_cast<long>(seconds * 1e6));
}

void admission_queue::update_rates(time_point now)
{
    const std::chrono::duration<double> passed = now - period_started_;
    period_started_ = now;
    for (class_queue& q : class_queues_)
    {
        // A queue without a start counts as having one start, so that its rate
        // is measured as low rather than unknown.
        const double rate = std::max(1U, q.started) / passed.count();
        const double previous_rate =
            q.starts_per_second > 0.0 ? q.starts_per_second : rate;
        q.starts_per_second = q.backlogged ? (previous_rate + rate) / 2.0 : 0.0;
        q.started = 0;
        q.backlogged = !q.items.empty();
    }
}

std::vector<admission_queue::class_queue*> admission_queue::ready_queues()
{
    std::vector<class_queue*> ready;
    for (class_queue& q : class_queues_)
    {
        if (!q.items.empty())
        {
            ready.push_back(&q);
        }
    }
    std::ranges::sort(ready, std::ranges::less{}, [](const class_queue* q) {
        return std::pair(q->is_batch, q->items.front().start_by);
    });
    return ready;
}

std::size_t admission_queue::count_ahead(const request_rule& rule,
                                         time_point start_by) const
{
    std::size_t count = 0;
    for (const class_queue& q : class_queues_)
    {
        if (q.is_batch != rule.is_batch)
        {
            count += q.is_batch ? 0 : q.items.size();
            continue;
        }
        const auto end = std::ranges::upper_bound(
            q.items, start_by, std::ranges::less{}, &item::start_by);
        count += static_cast<std::size_t>(end - q.items.begin());
    }
    return count;
}

std::optional<request_id>
admission_queue::shed_lower_priority(const request_rule& rule,
                                     std::optional<time_point> start_by)
{
    const auto rank = [](const class_queue& q) {
        return std::pair(q.is_batch, q.target);
    };
    const auto own_rank = std::pair(rule.is_batch, rule.target);
    class_queue* lowest = nullptr;
    for (class_queue& q : class_queues_)
    {
        const bool is_candidate =
            !q.items.empty() && rank(q) > own_rank &&
            (!start_by || starts_before(q, rule, *start_by));
        if (is_candidate && (lowest == nullptr || rank(q) > rank(*lowest)))
        {
            lowest = &q;
        }
    }
    if (lowest == nullptr)
    {
        return std::nullopt;
    }
    const auto end =
        start_by
            ? std::ranges::upper_bound(lowest->items, *start_by,
                                       std::ranges::less{}, &item::start_by)
            : lowest->items.end();
    const request_id request = (end - 1)->request;
    lowest->items.erase(end - 1);
    lowest->backlogged = lowest->backlogged && !lowest->items.empty();
    --size_;
    return request;
}

} // namespace hemlockdeal
