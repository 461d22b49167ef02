// Chooses what to log of malformed entries of the membership list.
#include "platform/malformed_member_log.hpp"

#include <algorithm>

namespace hemlockdeal
{

malformed_member_log::entries
malformed_member_log::by_name(const std::vector<malformed_member>& malformed)
{
    entries named;
    for (const malformed_member& m : malformed)
    {
        const auto name =
            m.id.empty() ? "place " + std::to_string(m.index) : "id " + m.id;
        const auto [found, added] = named.try_emplace(name, m);
        if (!added && m.fault != found->second.fault)
        {
            found->second.fault += "; " + m.fault;
        }
    }
    return named;
}

void malformed_member_log::report_malformed(
    const entries& current, std::vector<malformed_member_notice>& notices)
{
    for (const auto& [name, entry] : current)
    {
        const auto known = reported_.find(name);
        const bool is_new =
            known == reported_.end() || known->second.fault != entry.fault;
        if (is_new && lines_left_ > 0)
        {
            --lines_left_;
            reported_[name] = entry;
            notices.push_back({entry, false});
        }
    }
}

void malformed_member_log::report_gone(
    const entries& current, std::vector<malformed_member_notice>& notices)
{
    std::erase_if(reported_, [&](const auto& known) {
        if (current.contains(known.first) || lines_left_ == 0)
        {
            return false;
        }
        --lines_left_;
        notices.push_back({known.second, true});
        return true;
    });
}

std::vector<malformed_member_notice>
malformed_member_log::on_list(const std::vector<malformed_member>& malformed)
{
    lines_left_ = std::min(lines_left_ + 1, burst_lines);
    const auto current = by_name(malformed);
    std::vector<malformed_member_notice> notices;
    report_gone(current, notices);
    report_malformed(current, notices);
    return notices;
}

} // namespace hemlockdeal
