// Guards against tasks that run twice because a leader has seen a worker, but
// has not extended its leases, and takes those of earlier leaders for ended.
#include <optional>
#include <variant>

#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

worker_entry make_entry(const std::string& name)
{
    worker_entry entry;
    entry.id = worker_id(name);
    entry.service = service_id("s");
    entry.zone = availability_zone_id("z");
    entry.vm = vm_id("vm-" + name);
    entry.capacity = {16000, 64000, 0};
    entry.incarnation = 1;
    return entry;
}

// A leader that loses the store after its takeover. The worker "cut" runs a
// task of an earlier leader.
class first_contact_lease_test : public testing::Test
{
protected:
    first_contact_lease_test()
    {
        job definition;
        definition.id = job_id("j");
        definition.policy.service = service_id("s");
        step s;
        s.task_count = 1;
        s.size = {1000, 100, 0};
        s.is_long_running = true;
        definition.steps = {s};
        leader.set_services({{service_id("s"), {}}});
        job_progress progress;
        progress.state = job_state::running;
        progress.has_started = true;
        progress.ordered.emplace().push_back({0, 0, 0});
        leader.recover_job(definition, progress);
        leader.recover_fleet(
            {{worker_id("cut"), std::nullopt, vm_id("vm-cut")},
             {worker_id("sound"), std::nullopt, vm_id("vm-sound")}});
        leader.set_worker(make_entry("cut"), now);
        leader.set_worker(make_entry("sound"), now);
        leader.begin(now);
    }

    void simulate(duration time)
    {
        for (const auto end = now + time; now < end; now += milliseconds(20))
        {
            for (const auto& o :
                 leader.decide(now, milliseconds(0), permission))
            {
                respond(o);
            }
            leader.take_changes();
            leader.on_changes_stored(now);
        }
    }

    void respond(const order& o)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            started_at = started_at.value_or(now);
        }
        const auto* const poll = std::get_if<poll_order>(&o);
        if (poll == nullptr)
        {
            return;
        }
        const bool is_cut = poll->worker == worker_id("cut");
        if (is_cut && !responds)
        {
            leader.on_poll_failed(poll->worker, now);
            return;
        }
        jobs::worker_report report;
        report.incarnation = 1;
        report.clock =
            std::chrono::duration_cast<worker_clock>(now.time_since_epoch());
        if (is_cut)
        {
            report.running = {{{job_id("j"), 0, 0, 0}, 1, "", 100, -1}};
            responded_at = now;
            responds = false;
        }
        leader.on_report(poll->worker, report, now, now);
    }

    scheduler leader{{}, 2};
    time_point now{seconds(100)};
    leader_permission permission;
    bool responds = false;
    time_point responded_at{};
    std::optional<time_point> started_at;
};

} // namespace

// Failure: TWICE, because the leases on a worker count as ended that a leader
// without the store has seen once and could not extend.
TEST_F(first_contact_lease_test, leases_of_earlier_leaders_are_waited_for)
{
    permission.lead_is_valid = false;
    permission.may_start = false;
    simulate(seconds(3));
    responds = true;
    simulate(seconds(1));
    ASSERT_FALSE(responds);
    permission = {};
    simulate(seconds(12));
    ASSERT_TRUE(started_at);
    EXPECT_GE(*started_at - responded_at, scheduler_options{}.max_lease);
}

// Failure: LOST, because a worker that ends after it has answered a new leader
// is waited for as if an earlier leader could still extend its leases.
TEST_F(first_contact_lease_test,
       no_earlier_leader_extends_after_the_first_answer)
{
    responds = true;
    simulate(seconds(12));
    ASSERT_TRUE(started_at);
    EXPECT_LT(*started_at - responded_at, seconds(7));
}
