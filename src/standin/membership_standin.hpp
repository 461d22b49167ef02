// Stand-in of the membership list, held in memory and shown with a lag.
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
    // VMs by id, as they are written in GET /membership.
    using vms = std::map<std::string, boost::json::object>;

    membership_standin() : history_{{standin_time::min(), {0, {}}}} {}

    // Members of the message, each optional: "lag_ms"; "vms", which replaces
    // the whole list; "set", which adds or replaces single VMs; "remove", a
    // list of ids. Throws std::exception when malformed.
    void change(const boost::json::object& message, standin_time now);

    // The list as it is, without the lag.
    const vms& current() const { return history_.back().second.second; }

    // The answer to GET /membership: the list as it was one lag ago.
    std::string shown(standin_time now);

private:
    using numbered_vms = std::pair<std::uint64_t, vms>;

    std::chrono::milliseconds lag_{0};
    // By the time of the change, oldest first; never empty.
    std::deque<std::pair<standin_time, numbered_vms>> history_;
};

} // namespace hemlockdeal
