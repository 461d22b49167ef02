// Chooses what to log of the malformed entries of successive membership lists:
// each entry once, and again when its fault changes or has gone.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/membership.hpp"

namespace hemlockdeal
{

struct malformed_member_notice
{
    malformed_member entry;
    bool has_gone = false; // the entry was malformed and is not any more
};

class malformed_member_log
{
public:
    // A burst of lines, and one line for each list after it, so that a list
    // whose entries change each second does not fill the log. What is left out
    // follows with later lists.
    static constexpr std::size_t burst_lines = 20;
    // The faults of all entries of one id share a line of at most this length.
    static constexpr std::size_t max_fault_bytes = 500;

    std::vector<malformed_member_notice>
    on_list(const std::vector<malformed_member>& malformed);

private:
    // By id, or by content for entries without a readable id.
    using entries = std::map<std::string, malformed_member>;

    static entries by_name(const std::vector<malformed_member>& malformed);
    void report_malformed(const entries& current,
                          std::vector<malformed_member_notice>& notices);
    void report_gone(const entries& current,
                     std::vector<malformed_member_notice>& notices);

    std::size_t lines_left_ = burst_lines;
    entries reported_;
};

} // namespace hemlockdeal
