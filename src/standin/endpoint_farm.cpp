// Starts, stops and queries the endpoint stand-ins of one process.
#include "standin/endpoint_farm.hpp"

#include <algorithm>
#include <numeric>
#include <stdexcept>
#include <utility>

#include "platform/json_fields.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

endpoint_fault endpoint_fault_of(fault_mode mode)
{
    switch (mode)
    {
    case fault_mode::none:
        break;
    case fault_mode::down:
        return endpoint_fault::down;
    case fault_mode::slow:
        return endpoint_fault::slow;
    case fault_mode::lose_answer:
        return endpoint_fault::cut;
    case fault_mode::pause:
    case fault_mode::silent:
        return endpoint_fault::silent;
    case fault_mode::truncate:
        return endpoint_fault::truncate;
    case fault_mode::slow_path:
        break;
    case fault_mode::fail_all:
        return endpoint_fault::fail_all;
    case fault_mode::late:
        return endpoint_fault::late;
    case fault_mode::leaving:
        return endpoint_fault::leaving;
    case fault_mode::not_run:
        return endpoint_fault::not_run;
    case fault_mode::extra_bytes:
        return endpoint_fault::extra_bytes;
    }
    return endpoint_fault::none;
}

} // namespace

std::string endpoint_farm::start(const json::object& vm)
{
    const auto id = json_fields::text(vm, "id");
    auto& endpoint = endpoints_[id];
    if (endpoint)
    {
        return endpoint->address();
    }
    endpoint_options options;
    options.slots = static_cast<std::uint32_t>(
        json_fields::count_or(vm, "slots", options.slots));
    options.service_time = std::chrono::microseconds(
        json_fields::integer_or(vm, "service_time_us", 0));
    options.response_bytes = json_fields::count_or(vm, "response_bytes", 0);
    options.seed = ++seed_;
    endpoint = std::make_unique<endpoint_standin>(options);
    if (!endpoint->listen("127.0.0.1", 0))
    {
        throw std::runtime_error("cannot open a port for endpoint " + id);
    }
    return endpoint->address();
}

void endpoint_farm::remove_unlisted(
    const std::map<std::string, json::object>& listed)
{
    for (auto entry = endpoints_.begin(); entry != endpoints_.end();)
    {
        if (listed.contains(entry->first))
        {
            ++entry;
            continue;
        }
        entry->second->set_fault({endpoint_fault::down, 1.0, {}});
        stopped_.push_back(std::move(entry->second));
        entry = endpoints_.erase(entry);
    }
}

void endpoint_farm::set_fault(const std::string& id, const fault& f)
{
    std::ranges::for_each(endpoints_, [&](const auto& entry) {
        if (id.empty() || id == entry.first)
        {
            entry.second->set_fault(
                {endpoint_fault_of(f.mode), f.probability, f.delay});
        }
    });
}

json::object endpoint_farm::to_json() const
{
    json::object out;
    std::ranges::for_each(endpoints_, [&](const auto& entry) {
        const auto& endpoint = *entry.second;
        out[entry.first] = {
            {"runs", endpoint.total_runs()},
            {"most_running", endpoint.most_running()},
            {"connections_accepted", endpoint.connections_accepted()},
            {"open_connections", endpoint.open_connections()}};
    });
    return out;
}

json::object endpoint_farm::runs(const json::object& message) const
{
    const auto total = [&](auto count_runs) {
        const auto live = std::accumulate(
            endpoints_.begin(), endpoints_.end(), std::uint64_t{0},
            [&](std::uint64_t sum, const auto& entry) {
                return sum + count_runs(*entry.second);
            });
        return std::accumulate(stopped_.begin(), stopped_.end(), live,
                               [&](std::uint64_t sum, const auto& endpoint) {
                                   return sum + count_runs(*endpoint);
                               });
    };
    const auto runs_by = [&](const char* member, auto runs_of) {
        json::object out;
        if (json_fields::find(message, member) == nullptr)
        {
            return out;
        }
        const auto& ids = json_fields::array(message, member);
        std::ranges::for_each(ids, [&](const json::value& item) {
            const std::string id(item.as_string());
            out[id] = total([&](const endpoint_standin& endpoint) {
                return (endpoint.*runs_of)(id);
            });
        });
        return out;
    };
    return {
        {"keys", runs_by("keys", &endpoint_standin::runs_of_key)},
        {"requests", runs_by("requests", &endpoint_standin::runs_of_request)}};
}

} // namespace hemlockdeal
