// Chooses the worker for a waiting task, or says what rules the workers out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "batch/interference_model.hpp"
#include "batch/placement_state.hpp"
#include "batch/policy_options.hpp"
#include "batch/reservations.hpp"
#include "batch/tail_guard.hpp"
#include "batch/waiting_reasons.hpp"

namespace hemlockdeal
{

class worker_choice
{
public:
    worker_choice(const policy_options& options, const placement_state& state,
                  const interference_model& model, const tail_guard& guard,
                  const reservations& reserved)
        : options_(options), state_(state), model_(model), guard_(guard),
          reserved_(reserved)
    {}

    // Sets `cause` when there is none.
    std::optional<std::uint32_t> choose(const demand& d,
                                        waiting_cause& cause) const;
    // The first quarantined worker for which `is_due` holds and that has room
    // for the task as a probe.
    template <typename IsDue>
    std::optional<std::uint32_t> choose_probe(const demand& d,
                                              const IsDue& is_due) const;

private:
    waiting_cause obstacle(const demand& d, const worker_slot& worker,
                           bool may_repeat) const;
    waiting_cause lack_of_room(const demand& d,
                               const worker_slot& worker) const;
    bool may_repeat_on_failed(const demand& d) const;
    double cost(const demand& d, const worker_slot& worker) const;
    // Predicted growth of the service's tail, as a multiple of that without
    // neighbours.
    double added_tail(std::size_t service, const demand& d,
                      const worker_slot& worker, double load) const;

    const policy_options& options_;
    const placement_state& state_;
    const interference_model& model_;
    const tail_guard& guard_;
    const reservations& reserved_;
};

bool has_failed_on(const demand& d, const worker_id& worker);

template <typename IsDue>
std::optional<std::uint32_t>
worker_choice::choose_probe(const demand& d, const IsDue& is_due) const
{
    for (std::uint32_t w = 0; w < state_.workers().size(); ++w)
    {
        const worker_slot& worker = state_.worker(w);
        if (worker.quarantined && is_due(worker.hash) &&
            worker.view->accepts_starts && d.task->failed_on.empty() &&
            lack_of_room(d, worker) == waiting_cause::none)
        {
            return w;
        }
    }
    return std::nullopt;
}

} // namespace hemlockdeal
