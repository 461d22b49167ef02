// Start orders to one worker that got no response.
//
// A worker may execute such an order up to `max_order_delay` after it was sent,
// also as a later process: nothing that was said to the earlier one, neither a
// stop nor a fencing token nor the deadline of the order, binds the later one.
// The order is void only after that time, or once the worker has ended for
// good. Until then its task belongs to the worker, whatever has become of the
// run: start_binding says where the task may run.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>

#include "core/core.hpp"
#include "jobs/job.hpp"

namespace hemlockdeal::jobs
{

// Each further order prolongs the time for which the task is bound to a worker
// that may answer no start at all.
constexpr unsigned max_unanswered_orders = 4;

struct unanswered_order
{
    // Number of the run that was ordered last; 0 if it is not known.
    std::uint32_t run = 0;
    // When the last one of the orders for the task can be executed at the
    // latest.
    time_point latest_start{};
    // Orders without a response.
    unsigned count = 0;
};

class unanswered_starts
{
public:
    using map = std::map<task_key, unanswered_order>;

    void add(const task_key& key, std::uint32_t run, time_point latest_start)
    {
        const auto [found, is_new] =
            orders_.try_emplace(key, unanswered_order{run, latest_start, 1});
        if (is_new)
        {
            return;
        }
        auto& entry = found->second;
        entry.run = run;
        entry.latest_start = std::max(entry.latest_start, latest_start);
        ++entry.count;
    }

    // The worker runs the task although no other order for it was answered: the
    // only one without a response was executed, and is executed once.
    void on_run_found(const task_key& key, std::uint32_t run)
    {
        const auto* const entry = find(key);
        if (entry != nullptr && entry->run == run && entry->count == 1)
        {
            orders_.erase(key);
        }
    }

    const unanswered_order* find(const task_key& key) const
    {
        const auto found = orders_.find(key);
        return found == orders_.end() ? nullptr : &found->second;
    }
    // True if an order for the task may still be executed.
    bool may_start(const task_key& key, time_point now) const
    {
        const auto* const entry = find(key);
        return entry != nullptr && now < entry->latest_start;
    }

    bool may_order_again(const task_key& key) const
    {
        const auto* const entry = find(key);
        return entry == nullptr || entry->count < max_unanswered_orders;
    }

    const map& orders() const { return orders_; }
    bool empty() const { return orders_.empty(); }
    void clear() { orders_.clear(); }
    template <typename IsVoid>
    void forget_if(const IsVoid& is_void)
    {
        std::erase_if(orders_, [&](const auto& entry) {
            return is_void(entry.first, entry.second);
        });
    }

private:
    map orders_;
};

} // namespace hemlockdeal::jobs
