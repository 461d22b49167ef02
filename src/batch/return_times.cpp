// See the header.
#include "batch/return_times.hpp"

#include <algorithm>

namespace hemlockdeal
{

time_point return_times::add(std::uint64_t worker, std::size_t kind,
                             time_point now)
{
    entry& e = entries_[key(worker, kind)];
    const bool starts_over = e.length == duration(0) || is_over(e, now);
    // Several tasks of one wave count once.
    if (!starts_over && now < e.until)
    {
        return e.until;
    }
    e.length =
        starts_over || !grows_ ? first_ : std::min(e.length * 2, longest_);
    e.until = now + e.length;
    return e.until;
}

bool return_times::holds(std::uint64_t worker, std::size_t kind,
                         time_point now) const
{
    const auto found = entries_.find(key(worker, kind));
    return found != entries_.end() && now < found->second.until;
}

void return_times::forget_old(time_point now)
{
    std::erase_if(entries_,
                  [&](const auto& e) { return is_over(e.second, now); });
}

} // namespace hemlockdeal
