// Small numbers for the classes of work that a shard has seen.
#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <unordered_map>

#include "core/ids.hpp"

namespace hemlockdeal
{

// Keeps the number of pairs of classes bounded: classes beyond the limit share
// the last number.
class class_table
{
public:
    static constexpr std::size_t limit = 32;

    std::size_t index(const class_id& id)
    {
        const auto found = numbers_.find(id);
        if (found != numbers_.end())
        {
            return found->second;
        }
        if (numbers_.size() + 1 >= limit)
        {
            return limit - 1;
        }
        return numbers_.emplace(id, numbers_.size()).first->second;
    }

private:
    std::unordered_map<class_id, std::size_t> numbers_;
};

// Share of a worker's processors that each class uses.
using class_loads = std::array<float, class_table::limit>;

} // namespace hemlockdeal
