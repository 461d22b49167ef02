// In-memory stand-in for the membership list; reads return a delayed state.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
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

    membership_standin() : history_{{standin_time::min(), {}}} {}

    // Optional members of the message: "lag_ms"; "vms", which replaces the
    // whole list; "set", which adds or replaces single VMs; "remove", a list
    // of ids; "raw", entries of any form that replace those set before and are
    // listed after the others; "hide", ids whose entries are not listed while
    // their VMs run on. Throws std::exception when the message is malformed.
    void change(const boost::json::object& message, standin_time now);

    // The VMs that run, regardless of the lag and of hidden entries.
    const vms& current() const { return history_.back().second.entries; }

    // The response to GET /membership: the list as of `now` minus the lag.
    std::string delayed_list(standin_time now);

private:
    struct listed_state
    {
        std::uint64_t version = 0;
        vms entries;
        boost::json::array raw{};
        std::set<std::string> hidden{};
    };

    std::chrono::milliseconds lag_{0};
    // Time of the change and list, oldest first; never empty.
    std::deque<std::pair<standin_time, listed_state>> history_;
};

} // namespace hemlockdeal
