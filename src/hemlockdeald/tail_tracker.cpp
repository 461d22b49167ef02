// Rotating windows of latency histograms.
#include "tail_tracker.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

void tail_tracker::on_configuration(const configuration& c)
{
    classes_.clear();
    std::ranges::for_each(c.content.classes, [&](const work_class& declared) {
        classes_[declared.id] = declared;
    });
    std::erase_if(windows_, [&](const auto& entry) {
        return !classes_.contains(entry.first);
    });
}

void tail_tracker::record(const class_id& id, duration elapsed, time_point now)
{
    rotate_windows(now);
    auto& current = windows_[id].current;
    if (!current)
    {
        current = std::make_unique<latency_histogram>(latency_scale::requests);
    }
    current->record(elapsed);
}

std::vector<class_tail> tail_tracker::tails(time_point now)
{
    rotate_windows(now);
    std::vector<class_tail> all;
    std::ranges::for_each(windows_, [&](const auto& entry) {
        const auto declared = classes_.find(entry.first);
        if (declared == classes_.end())
        {
            return;
        }
        const auto quantile = [&](const auto& histogram) {
            return histogram ? histogram->quantile(declared->second.percentile)
                             : std::nullopt;
        };
        // Takes the worse of the two windows, so that an improvement is
        // reported only once it covers a full window.
        const auto measured = std::max(quantile(entry.second.current),
                                       quantile(entry.second.previous));
        const auto target = declared->second.target;
        if (measured && target > duration::zero())
        {
            all.push_back({entry.first, *measured,
                           static_cast<double>(measured->count()) /
                               static_cast<double>(target.count())});
        }
    });
    return all;
}

void tail_tracker::rotate_windows(time_point now)
{
    if (now - window_start_ < window_length)
    {
        return;
    }
    const auto skipped = now - window_start_ >= 2 * window_length;
    window_start_ = now;
    std::ranges::for_each(windows_, [&](auto& entry) {
        entry.second.previous =
            skipped ? nullptr : std::exchange(entry.second.current, nullptr);
        entry.second.current.reset();
    });
}

} // namespace hemlockdeal
