// Sequence of a placement pass.
#include "jobs/task_placer.hpp"

namespace hemlockdeal::jobs
{

task_placer::task_placer(scheduler_state& state)
    : state_(state), candidates_(state), reservations_(state), search_(state),
      starter_(state, reservations_),
      advice_(state, candidates_), context_{state, candidates_, reservations_,
                                            search_, starter_},
      step_placer_(context_), gang_placer_(context_),
      mover_(state, candidates_, search_)
{}

void task_placer::place(time_point now, std::chrono::milliseconds unix_now)
{
    without_room_ = 0;
    reservations_.begin_pass();
    candidates_.update(now);
    for (const auto& step : waiting_steps(state_, now, unix_now))
    {
        advice_.request(step, now);
        without_room_ += step.definition().is_gang
                             ? gang_placer_.place(step, now)
                             : step_placer_.place(step, now);
    }
    reservations_.end_pass();
}

} // namespace hemlockdeal::jobs
