// Cached numbers of waiting jobs, as the leader publishes them.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include <boost/json.hpp>

#include "node/store_message.hpp"
#include "observe/logging.hpp"

namespace hemlockdeal::node
{

class pending_counts
{
public:
    explicit pending_counts(duration max_age) : max_age_(max_age) {}

    // True if the counts have been read recently enough.
    bool is_current(time_point now) const { return now - read_at_ < max_age_; }

    std::size_t of(const std::string& queue) const
    {
        const auto found = counts_.find(queue);
        return found == counts_.end() ? 0 : found->second;
    }

    // Replaces the counts by those of the row that was read, if there is one.
    void update(const read_rows& read, time_point now)
    {
        counts_.clear();
        read_at_ = now;
        if (read.rows.empty())
        {
            return;
        }
        boost::json::error_code error;
        const auto parsed = boost::json::parse(read.rows.front().value, error);
        if (error || !parsed.is_object())
        {
            log(log_level::warning, "counts of waiting jobs cannot be decoded");
            return;
        }
        for (const auto& entry : parsed.get_object())
        {
            const auto count = entry.value().to_number<std::size_t>(error);
            counts_[std::string(entry.key())] = error ? 0 : count;
        }
    }

private:
    duration max_age_;
    std::map<std::string, std::size_t> counts_;
    time_point read_at_{};
};

} // namespace hemlockdeal::node
