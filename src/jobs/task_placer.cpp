// Sequence of a placement pass.
#include "jobs/task_placer.hpp"

#include "jobs/quota/share_order.hpp"

namespace hemlockdeal::jobs
{

task_placer::task_placer(scheduler_state& state)
    : state_(state), candidates_(state), reservations_(state), search_(state),
      starter_(state, reservations_), quota_(state), bindings_(state),
      advice_(state, candidates_), context_{state,         candidates_,
                                            reservations_, search_,
                                            starter_,      quota_,
                                            bindings_},
      step_placer_(context_), gang_placer_(context_),
      mover_(state, candidates_, search_)
{}

void task_placer::place(time_point now, std::chrono::milliseconds unix_now)
{
    without_room_ = 0;
    reservations_.begin_pass();
    candidates_.update(now);
    auto steps = waiting_steps(state_, now, unix_now);
    if (state_.limits.has_accounts())
    {
        share_order shares(std::move(steps), state_, now);
        while (auto* const turn = shares.next())
        {
            place_step(*turn, now);
        }
    }
    else
    {
        for (const auto& step : steps)
        {
            step_turn turn{&step};
            place_step(turn, now);
        }
    }
    reservations_.end_pass();
}

void task_placer::place_step(step_turn& turn, time_point now)
{
    const auto& step = *turn.step;
    advice_.request(step, now);
    without_room_ += step.definition().is_gang ? gang_placer_.place(step, now)
                                               : step_placer_.place(turn, now);
}

} // namespace hemlockdeal::jobs
