// Guards against fill tasks that are suspended too late beside a serving task
// above its target, because its reports arrive late (HARM on a hunted day) or
// do not get through.
#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds tick{5};
constexpr milliseconds fast_call{10};
// Half of the time after which a call is given up.
constexpr milliseconds slow_call{175};
// How long the answer to a poll may be overdue until it is given up.
constexpr milliseconds poll_margin{400};
constexpr milliseconds harm_limit{4000};
// Until an order that was sent has arrived and the tail latency shows it:
// call, change of pace and window of the measurement.
constexpr milliseconds time_to_take_effect{350 + 100 + 500};
constexpr std::int64_t tail_target_ms = 45;
constexpr std::int64_t tail_below_ms = 20;

// One worker with a serving task that is above its target while fill tasks run,
// and polls that wait for a run to end as long as the leader asks.
class harmed_worker
{
public:
    harmed_worker(milliseconds one_way_time, const policy_switches& policy)
        : one_way_time_(one_way_time), leader_(options_with(policy), 1)
    {
        leader_.set_services({{service_id("s"), {}}});
        worker_entry entry;
        entry.id = worker_id("a");
        entry.service = service_id("s");
        entry.zone = availability_zone_id("z");
        entry.capacity = {16000, 64000, 0};
        entry.incarnation = 1;
        leader_.set_worker(entry, now_);
        leader_.begin(now_);
    }

    void add_serving()
    {
        step s = make_step();
        s.is_long_running = true;
        s.tail_target = milliseconds(tail_target_ms);
        add_job("serving", s);
    }

    void add_fill()
    {
        step s = make_step();
        s.fills = true;
        add_job("fill", s);
    }

    void simulate(duration time)
    {
        for (const auto end = now_ + time; now_ < end;)
        {
            now_ += tick;
            deliver_report();
            for (const auto& o : leader_.decide(now_, milliseconds(0), {}))
            {
                respond(o);
            }
            if (leader_.has_changes())
            {
                leader_.take_changes();
                leader_.on_changes_stored(now_);
            }
        }
    }

    // From then on, polls get no answer.
    void cut() { is_cut_ = true; }

    // From the start of the fill task to the order that suspends it.
    std::optional<duration> time_to_suspension() const
    {
        return suspended_at_ && harmed_since_
                   ? std::optional<duration>(*suspended_at_ - *harmed_since_)
                   : std::nullopt;
    }

private:
    struct open_poll
    {
        time_point sent_at{};
        time_point answered_at{};
        std::optional<jobs::worker_report> report;
    };

    static scheduler_options options_with(const policy_switches& policy)
    {
        scheduler_options options;
        options.policy = policy;
        return options;
    }

    static step make_step()
    {
        step s;
        s.task_count = 1;
        s.size = {1000, 1000, 0};
        s.estimate = std::chrono::seconds(30);
        return s;
    }

    void add_job(const std::string& name, const step& s)
    {
        job j;
        j.id = job_id(name);
        j.policy.service = service_id("s");
        j.policy.max_attempts = 2;
        j.policy.queue = "q";
        j.steps = {s};
        leader_.add_job(j);
    }

    void respond(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            const bool fills = start->task.job == job_id("fill");
            if (fills)
            {
                harmed_since_ = now_;
            }
            running_.push_back(
                {start->task, start->run, "", fills ? 0 : 100, tail_below_ms});
            leader_.on_start_answer(start->worker, start->task, start->run,
                                    start_answer::accepted, now_);
        }
        if (const auto* const poll = std::get_if<poll_order>(&o))
        {
            poll_ = {now_, now_ + one_way_time_ + poll->wait, std::nullopt};
        }
        const auto* const pace = std::get_if<pace_order>(&o);
        if (pace != nullptr && pace->percent == 0 && !suspended_at_)
        {
            suspended_at_ = now_;
        }
    }

    void deliver_report()
    {
        if (poll_ && is_cut_)
        {
            if (now_ >= poll_->answered_at + poll_margin)
            {
                poll_.reset();
                leader_.on_poll_failed(worker_id("a"), now_);
            }
            return;
        }
        if (poll_ && !poll_->report && now_ >= poll_->answered_at)
        {
            poll_->report = make_report();
        }
        if (poll_ && poll_->report &&
            now_ >= poll_->answered_at + one_way_time_)
        {
            const auto poll = *poll_;
            poll_.reset();
            leader_.on_report(worker_id("a"), *poll.report, poll.sent_at, now_);
        }
    }

    jobs::worker_report make_report()
    {
        jobs::worker_report report;
        report.clock =
            std::chrono::duration_cast<worker_clock>(now_.time_since_epoch());
        report.incarnation = 1;
        for (auto& run : running_)
        {
            const bool fills = run.task.job == job_id("fill");
            // A fill task makes progress with each report.
            run.percent = std::min(run.percent + (fills ? 1 : 0), 100);
            run.measurement =
                harmed_since_ && !fills ? tail_target_ms * 2 : tail_below_ms;
        }
        report.running = running_;
        return report;
    }

    milliseconds one_way_time_;
    scheduler leader_;
    time_point now_{std::chrono::seconds(1000)};
    std::optional<open_poll> poll_;
    std::vector<running_task> running_;
    bool is_cut_ = false;
    std::optional<time_point> harmed_since_;
    std::optional<time_point> suspended_at_;
};

std::optional<duration> time_to_suspension(milliseconds one_way_time,
                                           milliseconds fill_added_after,
                                           const policy_switches& policy = {})
{
    harmed_worker worker(one_way_time, policy);
    worker.add_serving();
    worker.simulate(std::chrono::seconds(5) + fill_added_after);
    worker.add_fill();
    worker.simulate(harm_limit + std::chrono::seconds(1));
    return worker.time_to_suspension();
}

// Covers each phase of the poll during which the fill task starts.
std::vector<milliseconds> phases()
{
    std::vector<milliseconds> out;
    for (milliseconds phase{0}; phase < milliseconds(2000);
         phase += milliseconds(50))
    {
        out.push_back(phase);
    }
    return out;
}

} // namespace

// Failure: a fill task starts during a poll that waits for 1.5 s, the time over
// target counts from the report after it, and the suspension comes too late.
TEST(fill_suspender_test, suspension_takes_effect_within_the_harm_limit)
{
    for (const auto call : {fast_call, slow_call})
    {
        for (const auto phase : phases())
        {
            const auto time = time_to_suspension(call, phase);
            ASSERT_TRUE(time) << phase.count() << ' ' << call.count();
            EXPECT_LE(*time + time_to_take_effect, harm_limit)
                << phase.count() << ' ' << call.count();
        }
    }
}

// Failure: a fill task is suspended earlier than the bound asks, because the
// time before its start counts as harm.
TEST(fill_suspender_test, time_before_the_fill_task_does_not_count)
{
    const auto limit = fill_suspender::max_time_over_target({});
    for (const auto phase : phases())
    {
        const auto time = time_to_suspension(fast_call, phase);
        ASSERT_TRUE(time) << phase.count();
        EXPECT_GE(*time, limit) << phase.count();
    }
}

// Failure: a new leader takes the time at which it learnt of a fill task for
// its start, and suspends it too late.
TEST(fill_suspender_test, start_of_an_adopted_fill_task_is_unknown)
{
    fleet_worker worker{worker_entry{}};
    run_record fill;
    fill.fills = true;
    fill.ordered_at = time_point(std::chrono::seconds(1000));
    fill.is_adopted = true;
    worker.add_run({job_id("fill"), 0, 0, 0}, fill);
    EXPECT_EQ(worker.fills_since(), time_point{});
}

// Failure: fill tasks work on beside a serving task that was over its target in
// the last report, until a report gets through a path that is full.
TEST(fill_suspender_test, suspension_does_not_wait_for_a_late_report)
{
    for (const auto phase : phases())
    {
        harmed_worker worker(fast_call, {});
        worker.add_serving();
        worker.simulate(std::chrono::seconds(5) + phase);
        worker.add_fill();
        worker.simulate(fill_suspender::max_time_over_target({}));
        worker.cut();
        worker.simulate(harm_limit);
        const auto time = worker.time_to_suspension();
        ASSERT_TRUE(time) << phase.count();
        EXPECT_LE(*time + time_to_take_effect, harm_limit) << phase.count();
    }
}

// Failure: fill tasks are suspended for a report that is not late yet.
TEST(fill_suspender_test, report_in_time_is_waited_for)
{
    for (const auto phase : phases())
    {
        harmed_worker worker(slow_call, {});
        worker.add_serving();
        worker.simulate(std::chrono::seconds(5) + phase);
        worker.add_fill();
        worker.simulate(fill_suspender::max_time_over_target({}));
        EXPECT_FALSE(worker.time_to_suspension()) << phase.count();
    }
}

// The safeguard: without it no fill task is suspended.
TEST(fill_suspender_test, the_check_notices_a_missing_suspension)
{
    policy_switches policy;
    policy.suspends_fills = false;
    EXPECT_FALSE(time_to_suspension(fast_call, milliseconds(0), policy));
}
