// Implementation of the admission queue.
#include "request/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

namespace
{

// True when some request of the lane starts before a new one.
bool starts_before(const admission_queue::lane& l, const request_rule& rule,
                   time_point start_by)
{
    return l.can_wait == rule.can_wait && l.items.front().start_by <= start_by;
}

} // namespace

void admission_queue::push(const request_rule& rule, const item& entry)
{
    auto found = std::ranges::find(lanes_, rule.work_class, &lane::work_class);
    if (found == lanes_.end())
    {
        lane added;
        added.work_class = rule.work_class;
        lanes_.push_back(std::move(added));
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
    auto place = std::ranges::lower_bound(found->items, entry.start_by,
                                          std::ranges::less{}, &item::start_by);
    place = std::find_if(place, found->items.end(), [&](const item& i) {
        return i.request == entry.request;
    });
    if (place != found->items.end())
    {
        found->items.erase(place);
        found->stayed_full = found->stayed_full && !found->items.empty();
        --size_;
    }
}

void admission_queue::pop_front(lane& from)
{
    from.items.pop_front();
    --size_;
    ++from.started;
    from.stayed_full = from.stayed_full && !from.items.empty();
}

duration admission_queue::measured_wait(const request_rule& rule) const
{
    const auto found =
        std::ranges::find(lanes_, rule.work_class, &lane::work_class);
    if (found == lanes_.end() || found->starts_per_second <= 0.0)
    {
        return duration{};
    }
    const double seconds =
        static_cast<double>(found->items.size() + 1) / found->starts_per_second;
    return duration(static_cast<long>(seconds * 1e6));
}

void admission_queue::run_round(time_point now)
{
    const std::chrono::duration<double> passed = now - round_started_;
    round_started_ = now;
    for (lane& l : lanes_)
    {
        // A lane that got nothing counts as if it got one, so that its rate is
        // known to be low.
        const double rate = std::max(1U, l.started) / passed.count();
        const double before =
            l.starts_per_second > 0.0 ? l.starts_per_second : rate;
        l.starts_per_second = l.stayed_full ? (before + rate) / 2.0 : 0.0;
        l.started = 0;
        l.stayed_full = !l.items.empty();
    }
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
        if (l.can_wait != rule.can_wait)
        {
            count += l.can_wait ? 0 : l.items.size();
            continue;
        }
        const auto end = std::ranges::upper_bound(
            l.items, start_by, std::ranges::less{}, &item::start_by);
        count += static_cast<std::size_t>(end - l.items.begin());
    }
    return count;
}

std::optional<request_id>
admission_queue::make_way(const request_rule& rule,
                          std::optional<time_point> start_by)
{
    const auto rank = [](const lane& l) {
        return std::pair(l.can_wait, l.target);
    };
    const auto own = std::pair(rule.can_wait, rule.target);
    lane* longest = nullptr;
    for (lane& l : lanes_)
    {
        const bool counts = !l.items.empty() && rank(l) > own &&
                            (!start_by || starts_before(l, rule, *start_by));
        if (counts && (longest == nullptr || rank(l) > rank(*longest)))
        {
            longest = &l;
        }
    }
    if (longest == nullptr)
    {
        return std::nullopt;
    }
    const auto end =
        start_by
            ? std::ranges::upper_bound(longest->items, *start_by,
                                       std::ranges::less{}, &item::start_by)
            : longest->items.end();
    const request_id request = (end - 1)->request;
    longest->items.erase(end - 1);
    longest->stayed_full = longest->stayed_full && !longest->items.empty();
    --size_;
    return request;
}

} // namespace hemlockdeal
