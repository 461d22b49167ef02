// Implements the register of outstanding reads.
#include "control/pending_reads.hpp"

#include <algorithm>

#include "control/configuration_row.hpp"

namespace hemlockdeal
{

read_row pending_reads::start(read_purpose purpose, const std::string& key,
                              time_point now, std::uint64_t request)
{
    return {add({purpose, now, request}), key};
}

read_rows pending_reads::start_history(configuration_version first,
                                       std::uint32_t limit, time_point now,
                                       std::uint64_t request)
{
    return {add({read_purpose::history, now, request}), configuration_prefix,
            configuration_key(first), limit};
}

std::uint64_t pending_reads::add(const pending_read& read)
{
    const auto number = next_number_++;
    reads_[number] = read;
    return number;
}

std::optional<pending_read> pending_reads::take(std::uint64_t number)
{
    const auto found = reads_.find(number);
    if (found == reads_.end())
    {
        return std::nullopt;
    }
    const auto read = found->second;
    reads_.erase(found);
    return read;
}

bool pending_reads::is_outstanding(read_purpose purpose) const
{
    return std::ranges::any_of(reads_, [&](const auto& read) {
        return read.second.purpose == purpose;
    });
}

bool pending_reads::is_outstanding_for(std::uint64_t request) const
{
    return std::ranges::any_of(reads_, [&](const auto& read) {
        return read.second.request == request;
    });
}

} // namespace hemlockdeal
