// Reads of configuration rows whose responses are outstanding. Each read is
// answered in the end, if only with an error, so that none has a time limit
// here: a large row may be on its way for long.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "control/control_action.hpp"

namespace hemlockdeal
{

enum class read_purpose
{
    poll_head,
    fetch_version,
    change_head,
    change_resolve,
    history
};

struct pending_read
{
    read_purpose purpose = read_purpose::poll_head;
    time_point sent_at;
    // Operator request that needs the response, for changes and the history.
    std::uint64_t request = 0;
};

class pending_reads
{
public:
    // Registers a read and returns the action that sends it.
    read_row start(read_purpose purpose, const std::string& key, time_point now,
                   std::uint64_t request = 0);
    // The same for the history, which is a range of rows.
    read_rows start_history(configuration_version first, std::uint32_t limit,
                            time_point now, std::uint64_t request);

    // Removes and returns the read; empty if it is unknown or has expired.
    std::optional<pending_read> take(std::uint64_t number);

    bool is_outstanding(read_purpose purpose) const;
    bool is_outstanding_for(std::uint64_t request) const;

private:
    std::uint64_t add(const pending_read& read);

    std::map<std::uint64_t, pending_read> reads_;
    std::uint64_t next_number_ = 1;
};

} // namespace hemlockdeal
