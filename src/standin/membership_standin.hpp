// In-memory stand-in for the membership list; reads return a delayed state.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include <boost/json.hpp>

#include "standin/run_record.hpp"

namespace hemlockdeal
{

class membership_standin
{
public:
    // VM id to entry of GET /membership.
    using vms = std::map<std::string, boost::json::object>;

    membership_standin() : history_{{standin_time::min(), {0, {}}}} {}

    // Optional members of the message: "lag_ms"; "vms", which replaces the
    // whole list; "set", which adds or replaces single VMs; "remove", a list
    // of ids. Throws std::exception when the message is malformed.
    void change(const boost::json::object& message, standin_time now);

    // The latest list, regardless of the lag.
    const vms& current() const { return history_.back().second.second; }

    // The response to GET /membership: the list as of `now` minus the lag.
    std::string delayed_list(standin_time now);

private:
    using versioned_vms = std::pair<std::uint64_t, vms>;

    std::chrono::milliseconds lag_{0};
    // Time of the change and list, oldest first; never empty.
    std::deque<std::pair<standin_time, versioned_vms>> history_;
};

} // namespace hemlockdeal
