// Applies changes of the membership list and serves it with a lag.
#include "standin/membership_standin.hpp"

#include <algorithm>

#include "platform/json_fields.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

void add_vms(membership_standin::vms& to, const json::object& message,
             const char* member)
{
    const auto& vms = json_fields::array(message, member);
    std::ranges::for_each(vms, [&](const json::value& item) {
        const auto& vm = json_fields::object(item, member);
        to[json_fields::text(vm, "id")] = vm;
    });
}

} // namespace

void membership_standin::change(const json::object& message, standin_time now)
{
    auto next = history_.back().second;
    ++next.version;
    if (json_fields::find(message, "vms") != nullptr)
    {
        next.entries.clear();
        add_vms(next.entries, message, "vms");
    }
    if (json_fields::find(message, "set") != nullptr)
    {
        add_vms(next.entries, message, "set");
    }
    if (json_fields::find(message, "raw") != nullptr)
    {
        next.raw = json_fields::array(message, "raw");
    }
    if (json_fields::find(message, "hide") != nullptr)
    {
        next.hidden.clear();
        const auto& ids = json_fields::array(message, "hide");
        std::ranges::for_each(ids, [&](const json::value& id) {
            next.hidden.emplace(id.as_string());
        });
    }
    if (json_fields::find(message, "remove") != nullptr)
    {
        const auto& ids = json_fields::array(message, "remove");
        std::ranges::for_each(ids, [&](const json::value& id) {
            next.entries.erase(std::string(id.as_string()));
        });
    }
    lag_ = std::chrono::milliseconds(
        json_fields::integer_or(message, "lag_ms", lag_.count()));
    history_.emplace_back(now, std::move(next));
}

std::string membership_standin::delayed_list(standin_time now)
{
    while (history_.size() > 1 && history_[1].first + lag_ <= now)
    {
        history_.pop_front();
    }
    const auto& list = history_.front().second;
    json::array out;
    std::ranges::for_each(list.entries, [&](const auto& entry) {
        if (!list.hidden.contains(entry.first))
        {
            out.push_back(entry.second);
        }
    });
    out.insert(out.end(), list.raw.begin(), list.raw.end());
    return json::serialize(
        json::object{{"version", list.version}, {"vms", std::move(out)}});
}

} // namespace hemlockdeal
