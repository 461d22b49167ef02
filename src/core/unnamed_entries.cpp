// Tells entries without a readable id apart by their contents.
#include "core/unnamed_entries.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

namespace
{

using list_numbers = std::vector<std::uint64_t>;

std::map<std::uint64_t, std::size_t>
count_contents(const std::vector<malformed_member>& malformed)
{
    std::map<std::uint64_t, std::size_t> counts;
    for (const malformed_member& m : malformed)
    {
        if (m.id.empty())
        {
            ++counts[m.content];
        }
    }
    return counts;
}

// Entries that appeared in a list after `first` and before `end`.
std::size_t
count_between(const std::map<std::uint64_t, list_numbers>& since_by_content,
              std::uint64_t first, std::uint64_t end)
{
    std::size_t count = 0;
    for (const auto& [content, since] : since_by_content)
    {
        count += static_cast<std::size_t>(std::ranges::count_if(
            since, [&](std::uint64_t n) { return n > first && n < end; }));
    }
    return count;
}

// Which of several identical entries has gone is not known, so the latest are
// kept: they may name the most VMs.
list_numbers resized(const list_numbers& since, std::size_t count,
                     std::uint64_t list)
{
    const auto kept = std::min(count, since.size());
    list_numbers result(since.end() - static_cast<std::ptrdiff_t>(kept),
                        since.end());
    result.resize(count, list);
    return result;
}

} // namespace

void unnamed_entries::on_list(const std::vector<malformed_member>& malformed,
                              std::uint64_t list,
                              const std::vector<std::uint64_t>& returned)
{
    std::map<std::uint64_t, list_numbers> next;
    for (const auto& [content, count] : count_contents(malformed))
    {
        next[content] = resized(since_[content], count, list);
    }
    std::swap(since_, next);
    if (!returned.empty())
    {
        const auto last_named = std::ranges::min(returned);
        const auto gone = count_between(next, last_named, list) -
                          count_between(since_, last_named, list);
        if (gone < returned.size())
        {
            renew_after(last_named, list);
        }
    }
    newest_ = 0;
    for (const auto& [content, since] : since_)
    {
        newest_ = std::max(newest_, since.back());
    }
}

// Any of the entries that arrived after `last_named` may name another VM now.
void unnamed_entries::renew_after(std::uint64_t last_named, std::uint64_t list)
{
    for (auto& [content, since] : since_)
    {
        std::fill(std::ranges::upper_bound(since, last_named), since.end(),
                  list);
    }
}

} // namespace hemlockdeal
