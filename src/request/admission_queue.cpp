// Implementation of the admission queue.
#include "request/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

namespace
{

bool starts_before(const admission_queue::lane& l, bool can_wait)
{
    return !l.can_wait || can_wait;
}

} // namespace

void admission_queue::push(const request_rule& rule, const item& entry)
{
    auto found = std::ranges::find(lanes_, rule.work_class, &lane::work_class);
    if (found == lanes_.end())
    {
        lanes_.push_back({rule.work_class, rule.target, rule.can_wait, {}});
        found = lanes_.end() - 1;
    }
    found->target = rule.target;
    found->can_wait = rule.can_wait;
    const auto place = std::ranges::upper_bound(
        found->items, entry.start_by, std::ranges::less{}, &item::start_by);
    found->items.insert(place, entry);
    ++size_;
}

void admission_queue::remove(const request_rule& rule, const item& entry)
{
    const auto found =
        std::ranges::find(lanes_, rule.work_class, &lane::work_class);
    if (found == lanes_.end())
    {
        return;
    }
    const auto equal = std::ranges::equal_range(
        found->items, entry.start_by, std::ranges::less{}, &item::start_by);
    const auto place = std::ranges::find(equal, entry.request, &item::request);
    if (place != equal.end())
    {
        found->items.erase(place);
        --size_;
    }
}

void admission_queue::pop_front(lane& from)
{
    from.items.pop_front();
    --size_;
}

std::vector<admission_queue::lane*> admission_queue::ready_lanes()
{
    std::vector<lane*> ready;
    for (lane& l : lanes_)
    {
        if (!l.items.empty())
        {
            ready.push_back(&l);
        }
    }
    std::ranges::sort(ready, std::ranges::less{}, [](const lane* l) {
        return std::pair(l->can_wait, l->items.front().start_by);
    });
    return ready;
}

std::size_t admission_queue::ahead(const request_rule& rule,
                                   time_point start_by) const
{
    std::size_t count = 0;
    for (const lane& l : lanes_)
    {
        if (!starts_before(l, rule.can_wait))
        {
            continue;
        }
        if (l.can_wait != rule.can_wait)
        {
            count += l.items.size();
            continue;
        }
        const auto end = std::ranges::upper_bound(
            l.items, start_by, std::ranges::less{}, &item::start_by);
        count += static_cast<std::size_t>(end - l.items.begin());
    }
    return count;
}

std::optional<request_id> admission_queue::make_way(const request_rule& rule,
                                                    time_point start_by)
{
    lane* longest = nullptr;
    for (lane& l : lanes_)
    {
        if (starts_before(l, rule.can_wait) && l.target > rule.target &&
            !l.items.empty() && l.items.front().start_by <= start_by &&
            (longest == nullptr || l.target > longest->target))
        {
            longest = &l;
        }
    }
    if (longest == nullptr)
    {
        return std::nullopt;
    }
    const auto end = std::ranges::upper_bound(
        longest->items, start_by, std::ranges::less{}, &item::start_by);
    const request_id request = (end - 1)->request;
    longest->items.erase(end - 1);
    --size_;
    return request;
}

} // namespace hemlockdeal
