// Implements the budget of the connections.
#include "http/connection_budget.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

connection_id connection_budget::add(time_point now, refuse_action refuse)
{
    const connection_id id{++last_id_};
    entries_[id] = {
        {connection_stage::incomplete, now, id}, 0, std::move(refuse)};
    unserved_.insert(entries_[id].at);
    return id;
}

void connection_budget::remove(connection_id id)
{
    set_bytes(id, 0);
    const auto found = entries_.find(id);
    if (found != entries_.end())
    {
        unserved_.erase(found->second.at);
        entries_.erase(found);
    }
}

void connection_budget::set_stage(connection_id id, connection_stage stage,
                                  time_point since)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
    {
        return;
    }
    auto& at = found->second.at;
    const bool is_holder = holders_.erase(at) > 0;
    unserved_.erase(at);
    at.stage = stage;
    at.since = since;
    if (stage != connection_stage::serving)
    {
        unserved_.insert(at);
    }
    if (is_holder)
    {
        holders_.insert(at);
    }
}

void connection_budget::set_bytes(connection_id id, std::size_t bytes)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.bytes == bytes)
    {
        return;
    }
    auto& changed = found->second;
    bytes_ = bytes_ - changed.bytes + bytes;
    changed.bytes = bytes;
    if (bytes == 0)
    {
        holders_.erase(changed.at);
        return;
    }
    holders_.insert(changed.at);
}

void connection_budget::enforce()
{
    while (bytes_ > limits_.bytes && !holders_.empty())
    {
        refuse(holders_.begin()->id, refusal::memory);
    }
}

bool connection_budget::make_room()
{
    while (entries_.size() >= limits_.connections && !unserved_.empty())
    {
        refuse(unserved_.begin()->id, refusal::connections);
    }
    return entries_.size() < limits_.connections;
}

void connection_budget::give_up(std::size_t count)
{
    const auto target = entries_.size() - std::min(entries_.size(), count);
    while (entries_.size() > target && !unserved_.empty())
    {
        refuse(unserved_.begin()->id, refusal::descriptors);
    }
}

void connection_budget::refuse(connection_id id, refusal why)
{
    // A refused connection reports what it still holds.
    set_bytes(id, 0);
    // The action may remove the entry.
    const auto action = entries_.at(id).refuse;
    action(why);
}

} // namespace hemlockdeal
