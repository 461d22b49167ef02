// Shares of accounts and ranks of their steps.
#include "jobs/quota/share_order.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <utility>

namespace hemlockdeal::jobs
{

namespace
{

// An account above its share takes this part of it at a time, so that accounts
// above their share stay about equally far above it.
constexpr double share_of_turn = 0.125;

} // namespace

share_order::share_order(std::vector<waiting_step> steps,
                         const scheduler_state& state, time_point now)
    : quota_(state), shares_(state), now_(now), steps_(std::move(steps))
{
    add_to_queues();
    for (std::size_t i = 0; i < queues_.size(); ++i)
    {
        first_steps_.insert(rank_of_first(i));
    }
}

void share_order::add_to_queues()
{
    std::map<account_id, std::size_t> numbers;
    for (std::size_t i = 0; i < steps_.size(); ++i)
    {
        static const account_id none;
        const auto& account = steps_[i].owner->definition().account;
        const auto& id = account ? account->id : none;
        auto found = numbers.find(id);
        if (found == numbers.end())
        {
            found = numbers.emplace(id, queues_.size()).first;
            queues_.push_back({id, {}, 0, {}});
            shares_.add(account);
        }
        queues_[found->second].steps.push_back(i);
    }
}

step_turn* share_order::next()
{
    if (has_returned_step_)
    {
        auto& last = queues_[last_queue_];
        if (!last.turn.is_unfinished)
        {
            ++last.next;
            last.turn = {};
        }
        if (last.next < last.steps.size())
        {
            first_steps_.insert(rank_of_first(last_queue_));
        }
    }
    has_returned_step_ = !first_steps_.empty();
    if (!has_returned_step_)
    {
        return nullptr;
    }
    last_queue_ = first_steps_.begin()->queue;
    first_steps_.erase(first_steps_.begin());
    auto& queue = queues_[last_queue_];
    queue.turn.step = &steps_[queue.steps[queue.next]];
    queue.turn.max_tasks = max_tasks_of_turn(queue);
    return &queue.turn;
}

std::size_t share_order::max_tasks_of_turn(const account_queue& queue) const
{
    constexpr auto unlimited = std::numeric_limits<std::size_t>::max();
    const auto& size = queue.turn.step->definition().size;
    const auto use_of_task = shares_.use_of_share(queue.id, size);
    if (first_steps_.empty() || use_of_task <= 0.0)
    {
        return unlimited;
    }
    const auto use = shares_.use_of_share(queue.id);
    const auto left = use < 1.0 ? 1.0 - use : share_of_turn;
    // Tolerates rounding where the tasks just fill the share.
    constexpr double tolerance = 1e-6;
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::ceil(left / use_of_task - tolerance)));
}

share_order::rank share_order::rank_of_first(std::size_t queue) const
{
    const auto& account = queues_[queue];
    const auto& step = steps_[account.steps[account.next]];
    const auto use = shares_.use_of_share(account.id);
    const bool is_under_share = use < 1.0;
    rank out;
    out.position = step.position;
    out.queue = queue;
    if (step.position.group == priority_group::delayed_long_running &&
        (is_under_share || quota_.uses_under_half(*step.owner, now_)))
    {
        out.group = rank_group::delayed_long_running;
    }
    else if (step.position.group == priority_group::expired)
    {
        out.group = rank_group::expired;
        out.use = use;
    }
    else if (!is_under_share)
    {
        out.group = rank_group::over_share;
        out.use = use;
    }
    return out;
}

} // namespace hemlockdeal::jobs
