// Decodes, stores and draws the faults of the stand-ins.
#include "standin/fault_set.hpp"

#include <algorithm>
#include <array>
#include <string_view>

#include "platform/json_fields.hpp"

namespace hemlockdeal
{

namespace
{

constexpr std::array<std::pair<std::string_view, fault_mode>, 13> mode_names{
    {{"none", fault_mode::none},
     {"down", fault_mode::down},
     {"slow", fault_mode::slow},
     {"lose_answer", fault_mode::lose_answer},
     {"pause", fault_mode::pause},
     {"silent", fault_mode::silent},
     {"truncate", fault_mode::truncate},
     {"slow_path", fault_mode::slow_path},
     {"fail_all", fault_mode::fail_all},
     {"late", fault_mode::late},
     {"leaving", fault_mode::leaving},
     {"not_run", fault_mode::not_run},
     {"extra_bytes", fault_mode::extra_bytes}}};

fault_mode fault_mode_of(const std::string& name)
{
    const auto* found = std::ranges::find(
        mode_names, name, [](const auto& entry) { return entry.first; });
    if (found == mode_names.end())
    {
        json_fields::fail("mode", "a known fault");
    }
    return found->second;
}

void set_rate(fault& f, const boost::json::object& message)
{
    f.bytes_per_second = json_fields::number_or(message, "bytes_per_second", 0);
    if (!(f.bytes_per_second > 0))
    {
        json_fields::fail("bytes_per_second", "a positive number");
    }
    const auto* const shared = json_fields::find(message, "shared");
    if (shared != nullptr && !shared->is_bool())
    {
        json_fields::fail("shared", "true or false");
    }
    if (shared != nullptr && shared->get_bool())
    {
        f.shared_rate = std::make_shared<transfer_rate>(f.bytes_per_second);
    }
}

} // namespace

void fault_set::set(const std::string& target, const std::string& id, fault f)
{
    if (id.empty())
    {
        std::erase_if(faults_, [&](const auto& entry) {
            return entry.first.first == target;
        });
    }
    f.since = std::chrono::steady_clock::now();
    faults_[{target, id}] = f;
}

fault decode_fault(const boost::json::object& message)
{
    fault f;
    f.mode = fault_mode_of(json_fields::text(message, "mode"));
    f.probability = json_fields::number_or(message, "probability", 1.0);
    f.delay = std::chrono::milliseconds(
        json_fields::integer_or(message, "delay_ms", 0));
    if (f.mode == fault_mode::slow_path)
    {
        set_rate(f, message);
    }
    return f;
}

fault fault_set::lookup(const std::string& target, const std::string& id) const
{
    const auto own = faults_.find({target, id});
    if (own != faults_.end())
    {
        return own->second;
    }
    const auto all = faults_.find({target, std::string()});
    return all == faults_.end() ? fault() : all->second;
}

fault fault_set::draw(const std::string& target, const std::string& id)
{
    const auto f = lookup(target, id);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    return f.mode == fault_mode::none || unit(random_) >= f.probability
               ? fault()
               : f;
}

} // namespace hemlockdeal
