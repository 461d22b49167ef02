// Placement of gangs.
#include "jobs/gang_placer.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

namespace
{

bool may_all_start(const waiting_step& gang, time_point now)
{
    for (std::uint32_t i = 0; i < gang.definition().task_count; ++i)
    {
        if (!may_start(gang.owner->peek(gang.task(i)), now))
        {
            return false;
        }
    }
    return true;
}

} // namespace

std::size_t gang_placer::place(const waiting_step& gang, time_point now)
{
    if (!may_all_start(gang, now))
    {
        return 0;
    }
    const auto count = gang.definition().task_count;
    if (!context_.quota.admits(*gang.owner, gang.definition(), count, now))
    {
        return count;
    }
    const auto run = next_run(gang);
    const auto places = find_places(gang, now);
    if (places.size() < count)
    {
        return count;
    }
    if (!prepare(gang, places, now))
    {
        return 0;
    }
    for (const auto& [key, place] : places)
    {
        context_.starter.order(*gang.owner, key, *place.worker, run, now);
    }
    return 0;
}

std::vector<gang_placer::member_place>
gang_placer::find_places(const waiting_step& gang, time_point now)
{
    // Each member is added to its worker's ledger while workers for the other
    // members are searched. All are removed again afterwards.
    std::vector<member_place> places;
    const auto lists = context_.candidates.lists_for(gang, true, now);
    for (std::uint32_t i = 0; i < gang.definition().task_count; ++i)
    {
        const auto key = gang.task(i);
        const auto place = find_place(gang, key, lists, now);
        if (place.worker == nullptr)
        {
            break;
        }
        run_record planned;
        planned.size = gang.definition().size;
        planned.is_trial = gang.owner->peek(key).needs_trial();
        place.worker->add_run(key, planned);
        places.push_back({key, place});
    }
    for (const auto& [key, place] : places)
    {
        place.worker->erase_run(key);
    }
    return places;
}

found_place gang_placer::find_place(const waiting_step& gang,
                                    const task_key& key,
                                    const std::deque<worker_list>& lists,
                                    time_point now)
{
    if (auto* const bound_to = context_.bindings.worker_for(key, now))
    {
        return context_.find_on(*bound_to, *gang.owner, key, now);
    }
    auto place = context_.reservations.find(*gang.owner, key, now);
    for (auto list = lists.begin();
         place.worker == nullptr && list != lists.end(); ++list)
    {
        place = {context_.search.find(*list, *gang.owner, key, now),
                 list->mode};
    }
    return place;
}

bool gang_placer::prepare(const waiting_step& gang,
                          const std::vector<member_place>& places,
                          time_point now)
{
    bool may_be_ordered = true;
    for (const auto& [key, place] : places)
    {
        may_be_ordered =
            context_.starter.prepare(*gang.owner, key, place, now) &&
            may_be_ordered;
    }
    return may_be_ordered;
}

std::uint32_t gang_placer::next_run(const waiting_step& gang) const
{
    std::uint32_t run = 0;
    for (std::uint32_t i = 0; i < gang.definition().task_count; ++i)
    {
        const auto& task = gang.owner->peek(gang.task(i));
        run = std::max(run, context_.state.next_run(task));
    }
    return run;
}

} // namespace hemlockdeal::jobs
