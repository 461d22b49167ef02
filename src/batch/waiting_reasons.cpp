// See the header.
#include "batch/waiting_reasons.hpp"

#include <utility>

namespace hemlockdeal
{

std::string to_text(waiting_cause cause)
{
    switch (cause)
    {
    case waiting_cause::none:
        return "";
    case waiting_cause::too_large:
        return "no worker of the shard is large enough";
    case waiting_cause::not_accepting:
        return "the workers that are large enough do not accept starts now";
    case waiting_cause::quarantined:
        return "the workers that are large enough are in quarantine";
    case waiting_cause::failed_there:
        return "the task failed on the workers that have room";
    case waiting_cause::processors:
        return "no worker has enough free processors";
    case waiting_cause::memory:
        return "no worker has enough free memory";
    case waiting_cause::accelerators:
        return "no worker has enough free accelerators";
    case waiting_cause::measured_use:
        return "by measured use the workers with room would be overloaded";
    case waiting_cause::headroom:
        return "the remaining capacity is kept free for urgent work";
    case waiting_cause::reserved:
        return "the remaining capacity is reserved for tasks that waited "
               "longer";
    case waiting_cause::return_time:
        return "its class was evicted from the workers with room and may not "
               "return yet";
    case waiting_cause::interference:
        return "interference: on the workers with room it would slow a "
               "service beyond its target";
    case waiting_cause::quota:
        return "the team is at its quota, and teams below their quota go "
               "first";
    case waiting_cause::eviction_pending:
        return "waits until the work that is evicted for it has stopped";
    case waiting_cause::start_limit:
        return "starts follow in the next passes, which are limited in "
               "number of starts";
    }
    return "";
}

void waiting_reasons::start_pass()
{
    ++pass_;
    used_ = 0;
}

void waiting_reasons::add(std::uint64_t job, waiting_cause cause)
{
    if (2 * (used_ + 1) > entries_.size())
    {
        grow();
    }
    entry& e = entries_[slot_of(job)];
    if (e.pass != pass_)
    {
        e = {job, pass_, cause};
        ++used_;
    }
}

waiting_cause waiting_reasons::find(std::uint64_t job) const
{
    if (entries_.empty())
    {
        return waiting_cause::none;
    }
    const entry& e = entries_[slot_of(job)];
    return e.pass == pass_ ? e.cause : waiting_cause::none;
}

std::size_t waiting_reasons::slot_of(std::uint64_t job) const
{
    const std::size_t mask = entries_.size() - 1;
    std::size_t slot = job & mask;
    while (entries_[slot].pass == pass_ && entries_[slot].job != job)
    {
        slot = (slot + 1) & mask;
    }
    return slot;
}

void waiting_reasons::grow()
{
    std::vector<entry> old(entries_.empty() ? 64 : entries_.size() * 2);
    std::swap(old, entries_);
    for (const entry& e : old)
    {
        if (e.pass == pass_)
        {
            entries_[slot_of(e.job)] = e;
        }
    }
}

} // namespace hemlockdeal
