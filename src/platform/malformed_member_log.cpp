// Chooses what to log of malformed entries of the membership list.
#include "platform/malformed_member_log.hpp"

#include <algorithm>
#include <cstdint>
#include <set>

namespace hemlockdeal
{

namespace
{

std::string name_of(const malformed_member& m)
{
    return m.id.empty() ? "content " + std::to_string(m.content) : "id " + m.id;
}

// Cut between two characters of UTF-8.
void cut(std::string& text, std::size_t max_bytes)
{
    if (text.size() <= max_bytes)
    {
        return;
    }
    const auto is_continuation = [](char c) {
        return (static_cast<std::uint8_t>(c) & 0xc0U) == 0x80;
    };
    while (max_bytes > 0 && is_continuation(text[max_bytes]))
    {
        --max_bytes;
    }
    text.resize(max_bytes);
}

// In an order that does not depend on the places of the entries.
std::string join(const std::set<std::string>& faults)
{
    std::string text;
    for (const std::string& fault : faults)
    {
        text += text.empty() ? fault : "; " + fault;
        if (text.size() > malformed_member_log::max_fault_bytes)
        {
            break;
        }
    }
    cut(text, malformed_member_log::max_fault_bytes);
    return text;
}

} // namespace

malformed_member_log::entries
malformed_member_log::by_name(const std::vector<malformed_member>& malformed)
{
    entries named;
    std::map<std::string, std::set<std::string>> faults;
    for (const malformed_member& m : malformed)
    {
        const auto name = name_of(m);
        named.try_emplace(name, m);
        faults[name].insert(m.fault);
    }
    for (auto& [name, entry] : named)
    {
        entry.fault = join(faults[name]);
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
