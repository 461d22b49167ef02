// Guards against tasks that wait for workers on which they cannot run, or that
// run twice, when another VM becomes leader.
#include <algorithm>
#include <map>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class takeover_test : public testing::Test
{
protected:
    takeover_test() : leader({}, 2)
    {
        step s;
        s.task_count = 2;
        s.size = {1000, 100, 0};
        definition.id = job_id("j");
        definition.policy.service = service_id("s");
        definition.steps = {s};
        leader.set_services({{service_id("s"), {}}});
        // Both tasks may have been ordered.
        job_progress progress;
        progress.state = job_state::running;
        progress.ordered = {{0, 0, 0}, {0, 0, 1}};
        leader.recover_job(definition, progress);
    }

    worker_entry entry(const std::string& name) const
    {
        worker_entry e;
        e.id = worker_id(name);
        e.service = service_id("s");
        e.zone = availability_zone_id("z");
        e.capacity = {16000, 64000, 0};
        e.incarnation = 1;
        return e;
    }

    task_key key(std::uint32_t index) const
    {
        return {definition.id, 0, 0, index};
    }

    // Runs the simulation; only one worker responds unless `all_respond` is
    // set. Returns the indices of started tasks.
    std::vector<std::uint32_t> simulate(duration time)
    {
        std::vector<std::uint32_t> started;
        const auto end = now + time;
        while (now < end)
        {
            now += milliseconds(20);
            for (const auto& o :
                 leader.decide(now, milliseconds(0), permission))
            {
                respond(o, started);
            }
            leader.take_changes();
            leader.on_changes_stored(now);
        }
        std::ranges::sort(started);
        return started;
    }

    void respond(const order& o, std::vector<std::uint32_t>& started)
    {
        if (const auto* const start = std::get_if<start_order>(&o))
        {
            started.push_back(start->task.index);
            running.push_back({start->task, start->run, "", 0, -1});
            ran_on[start->task] = start->worker;
            leader.on_start_answer(start->worker, start->task, start->run,
                                   start_answer::accepted, now);
        }
        const auto* const poll = std::get_if<poll_order>(&o);
        if (poll == nullptr)
        {
            return;
        }
        lease_extensions += poll->deadline ? 1 : 0;
        if (poll->worker != reachable_worker && !all_respond)
        {
            leader.on_poll_failed(poll->worker, now);
            return;
        }
        auto report = make_report();
        std::ranges::copy_if(running, std::back_inserter(report.running),
                             [&](const running_task& r) {
                                 return !all_respond ||
                                        ran_on[r.task] == poll->worker;
                             });
        leader.on_report(poll->worker, report, now, now);
    }

    // Recovers "here" with unknown runs, and two workers with a suspect each;
    // "unknown" is not in the membership list.
    void recover_workers_with_suspects()
    {
        leader.recover_fleet({{worker_id("here"), std::nullopt},
                              {worker_id("unknown"),
                               std::vector{key(0)},
                               vm_id("vm-2"),
                               {key(0)}},
                              {worker_id("listed"),
                               std::vector{key(1)},
                               vm_id("vm-3"),
                               {key(1)}}});
        leader.set_worker(entry("here"), now);
        leader.set_worker(entry("listed"), now);
    }

    std::ptrdiff_t count_suspected_tasks()
    {
        const auto events = leader.take_events();
        return std::ranges::count(events, "task may have crashed its worker",
                                  &decision_event::message);
    }

    // A report of a worker on which nothing runs.
    jobs::worker_report make_report() const
    {
        jobs::worker_report report;
        report.incarnation = 1;
        report.clock =
            std::chrono::duration_cast<worker_clock>(now.time_since_epoch());
        return report;
    }

    // Starts both tasks on the worker "here" of the VM "vm-1".
    void start_tasks_on_one_vm()
    {
        auto earlier = entry("here");
        earlier.vm = vm_id("vm-1");
        leader.set_worker(earlier, now);
        leader.begin(now);
        ASSERT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
    }

    // The worker "later" replaces "here" on its VM and responds; only then the
    // report of "here" arrives.
    void replace_worker_and_deliver(const jobs::worker_report& late)
    {
        const auto late_sent_at = now;
        auto later = entry("later");
        later.vm = vm_id("vm-1");
        leader.set_worker(later, now);
        running.clear();
        reachable_worker = worker_id("later");
        const auto first = make_report();
        now += milliseconds(20);
        leader.on_report(worker_id("later"), first, now, now);
        leader.on_report(worker_id("here"), late, late_sent_at, now);
    }

    scheduler leader;
    job definition;
    std::vector<running_task> running;
    // The worker that responds.
    worker_id reachable_worker{"here"};
    // All workers respond.
    bool all_respond = false;
    std::map<task_key, worker_id> ran_on;
    // Number of polls that extended leases.
    std::size_t lease_extensions = 0;
    leader_permission permission;
    time_point now{seconds(100)};
};

} // namespace

// Failure: every task waits for the leases of a worker that had left before
// the takeover, although the tasks that ran there were known.
TEST_F(takeover_test, only_tasks_that_may_run_on_the_unseen_worker_wait)
{
    leader.recover_fleet({{worker_id("here"), std::nullopt},
                          {worker_id("gone"), std::vector{key(1)}}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    EXPECT_THAT(simulate(seconds(2)), testing::ElementsAre(0U));
    // The longest lease, and the time for which the last leader may extend it.
    EXPECT_THAT(simulate(seconds(16)), testing::ElementsAre(1U));
}

// Failure: after a takeover, tasks wait until all leases have expired although
// the worker that ran them has crashed and its VM runs a new process.
TEST_F(takeover_test, tasks_do_not_wait_for_a_worker_replaced_on_its_vm)
{
    leader.recover_fleet({{worker_id("here"), std::nullopt, vm_id("vm-1")},
                          {worker_id("crashed"), std::nullopt, vm_id("vm-2")}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    ASSERT_THAT(simulate(seconds(1)), testing::IsEmpty());
    auto later = entry("later");
    later.vm = vm_id("vm-2");
    leader.set_worker(later, now);
    // It is listed, but has not responded yet.
    ASSERT_THAT(simulate(milliseconds(200)), testing::IsEmpty());
    all_respond = true;
    EXPECT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
}

// Failure: with each takeover, lasting tasks wait for 4 s more before they go
// before urgent ones.
TEST_F(takeover_test, waiting_lasting_tasks_go_before_urgent_ones)
{
    job lasting = definition;
    lasting.id = job_id("lasting");
    lasting.steps.front().is_long_running = true;
    lasting.steps.front().size.processor_millis = 16000;
    lasting.steps.front().task_count = 1;
    leader.recover_job(lasting, job_progress{.state = job_state::running,
                                             .has_started = true,
                                             .done = {},
                                             .ordered = {{}},
                                             .histories = {}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    simulate(milliseconds(200));
    EXPECT_EQ(ran_on.count({lasting.id, 0, 0, 0}), 1U);
    EXPECT_EQ(ran_on.count(key(0)), 0U);
}

// Failure: a task runs twice, because any task may run on a worker that does
// not respond.
TEST_F(takeover_test, all_tasks_wait_for_a_worker_with_unknown_runs)
{
    leader.recover_fleet(
        {{worker_id("here"), std::nullopt}, {worker_id("gone"), std::nullopt}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    EXPECT_THAT(simulate(seconds(12)), testing::IsEmpty());
    EXPECT_THAT(simulate(seconds(6)), testing::ElementsAre(0U, 1U));
}

// Failure: tasks of a failed zone wait for 15 s, although a leader without the
// store needs responses of workers that already follow the next one.
TEST_F(takeover_test,
       lease_extension_ends_when_most_workers_follow_the_next_leader)
{
    std::vector<fleet_record> fleet = {{worker_id("gone"), std::nullopt}};
    for (const auto* const name : {"here", "here-2", "here-3"})
    {
        fleet.push_back({worker_id(name), std::nullopt});
        leader.set_worker(entry(name), now);
    }
    leader.recover_fleet(fleet);
    leader.begin(now);
    all_respond = true;
    EXPECT_THAT(simulate(milliseconds(8900)), testing::IsEmpty());
    EXPECT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
}

// Failure: the tasks of a recorded worker whose entry is malformed at the
// takeover start a second time, or are never started again.
TEST_F(takeover_test,
       tasks_wait_for_the_leases_of_a_worker_with_a_malformed_entry)
{
    leader.recover_fleet({{worker_id("here"), std::nullopt},
                          {worker_id("malformed"), std::nullopt}});
    leader.set_worker(entry("here"), now);
    leader.remove_worker(worker_id("malformed"), now, entry_loss::malformed);
    leader.begin(now);
    EXPECT_THAT(simulate(seconds(12)), testing::IsEmpty());
    EXPECT_THAT(simulate(seconds(6)), testing::ElementsAre(0U, 1U));
    EXPECT_THAT(simulate(seconds(6)), testing::IsEmpty());
}

// Failure: runs on a worker whose entry was malformed at the takeover are
// started again after the entry has become valid.
TEST_F(takeover_test, runs_are_adopted_once_a_malformed_entry_is_valid)
{
    leader.recover_fleet({{worker_id("here"), std::nullopt},
                          {worker_id("malformed"), std::nullopt}});
    leader.set_worker(entry("here"), now);
    leader.remove_worker(worker_id("malformed"), now, entry_loss::malformed);
    leader.begin(now);
    ASSERT_THAT(simulate(seconds(3)), testing::IsEmpty());
    for (const auto index : {0U, 1U})
    {
        running.push_back({key(index), 1, "", 0, -1});
        ran_on[key(index)] = worker_id("malformed");
    }
    all_respond = true;
    leader.set_worker(entry("malformed"), now);
    EXPECT_THAT(simulate(seconds(20)), testing::IsEmpty());
    EXPECT_EQ(leader.fleet().at(worker_id("malformed")).runs().size(), 2U);
}

// Failure: a leader without the store that reaches few workers continues to
// extend leases there; the next leader cannot know for how long.
TEST_F(takeover_test, leases_are_extended_only_while_most_workers_respond)
{
    for (const auto* const name : {"here", "b", "c"})
    {
        leader.set_worker(entry(name), now);
    }
    leader.begin(now);
    all_respond = true;
    ASSERT_THAT(simulate(seconds(1)), testing::SizeIs(2));
    permission.lead_is_valid = false;
    permission.may_start = false;
    simulate(seconds(4));
    lease_extensions = 0;
    simulate(seconds(1));
    EXPECT_GT(lease_extensions, 0U);
    // Two of three stop responding; after the contact limit nothing is
    // extended.
    all_respond = false;
    simulate(milliseconds(2100));
    lease_extensions = 0;
    simulate(seconds(2));
    EXPECT_EQ(lease_extensions, 0U);
    // They respond again.
    all_respond = true;
    simulate(seconds(1));
    EXPECT_GT(lease_extensions, 0U);
}

// Failure: a leader without the store stops extending leases although all
// workers respond, because ended ones count as not reached.
TEST_F(takeover_test, ended_workers_do_not_count_in_the_majority)
{
    for (const auto* const name : {"a", "b", "c"})
    {
        auto earlier = entry(name);
        earlier.vm = vm_id(std::string("vm-") + name);
        leader.set_worker(earlier, now);
    }
    leader.begin(now);
    all_respond = true;
    simulate(seconds(1));
    for (const auto* const name : {"a", "b", "c"})
    {
        auto later = entry(std::string("later-") + name);
        later.vm = vm_id(std::string("vm-") + name);
        leader.set_worker(later, now);
    }
    simulate(seconds(1));
    permission.lead_is_valid = false;
    permission.may_start = false;
    simulate(seconds(4));
    lease_extensions = 0;
    simulate(seconds(1));
    EXPECT_GT(lease_extensions, 0U);
}

// Failure: a worker that has ended counts as one that follows this leader, and
// the wait for lease extensions ends while an earlier leader, which does not
// count it, reaches most of the others.
TEST_F(takeover_test, replaced_workers_do_not_count_as_followers)
{
    std::vector<fleet_record> fleet = {
        {worker_id("gone"), std::nullopt, vm_id("vm-x")},
        {worker_id("gone-2"), std::nullopt, vm_id("vm-y")}};
    for (const auto* const name : {"a", "b", "c", "d", "e"})
    {
        const auto vm = vm_id(std::string("vm-") + name);
        fleet.push_back(
            {worker_id(std::string("ended-") + name), std::nullopt, vm});
    }
    leader.recover_fleet(fleet);
    for (const auto* const name : {"a", "b", "c", "d", "e"})
    {
        auto later = entry(name);
        later.vm = vm_id(std::string("vm-") + name);
        leader.set_worker(later, now);
    }
    leader.begin(now);
    all_respond = true;
    // Five of seven have been replaced; the other two may follow an earlier
    // leader.
    EXPECT_THAT(simulate(seconds(14)), testing::IsEmpty());
    EXPECT_THAT(simulate(seconds(2)), testing::ElementsAre(0U, 1U));
}

// Failure: a report that a worker sent before its end makes it eligible again,
// and tasks are started there.
TEST_F(takeover_test, a_late_report_does_not_revive_an_ended_worker)
{
    ASSERT_NO_FATAL_FAILURE(start_tasks_on_one_vm());
    auto late = make_report();
    late.running = running;
    replace_worker_and_deliver(late);
    simulate(seconds(1));
    EXPECT_EQ(ran_on[key(0)], worker_id("later"));
    EXPECT_EQ(ran_on[key(1)], worker_id("later"));
}

// Failure: a task whose end arrives after the first report of a later worker
// on the VM is started again.
TEST_F(takeover_test, ends_in_a_late_report_of_an_ended_worker_count)
{
    ASSERT_NO_FATAL_FAILURE(start_tasks_on_one_vm());
    auto late = make_report();
    for (const auto& run : running)
    {
        late.ended.push_back({late.ended.size() + 1, run.task, run.run,
                              jobs::run_end::done, ""});
    }
    replace_worker_and_deliver(late);
    EXPECT_THAT(simulate(seconds(1)), testing::IsEmpty());
    EXPECT_TRUE(leader.registry().over().contains(definition.id));
}

// Failure: a task that crashes its worker before each of several takeovers is
// started for ever if the VMs are away for longer than the leases (BUDGET).
TEST_F(takeover_test, suspects_of_a_worker_that_stays_away_are_counted)
{
    leader.recover_fleet(
        {{worker_id("here"), std::nullopt},
         {worker_id("away"), std::vector{key(1)}, vm_id("vm-2"), {key(1)}}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    EXPECT_THAT(simulate(seconds(18)), testing::ElementsAre(0U, 1U));
    const auto events = leader.take_events();
    EXPECT_TRUE(std::ranges::any_of(events, [](const decision_event& event) {
        return event.message == "task may have crashed its worker";
    }));
}

// Failure: a worker whose entry is malformed at the end of the recovery counts
// as crashed, and a sound job may end as failed.
TEST_F(takeover_test, malformed_entry_is_no_evidence_of_a_crash)
{
    recover_workers_with_suspects();
    leader.remove_worker(worker_id("unknown"), now, entry_loss::malformed);
    leader.begin(now);
    leader.remove_worker(worker_id("listed"), now, entry_loss::malformed);
    EXPECT_THAT(simulate(seconds(18)), testing::ElementsAre(0U, 1U));
    EXPECT_EQ(count_suspected_tasks(), 0);
}

// Failure: a worker that has left the list counts for nothing because its entry
// was malformed before.
TEST_F(takeover_test, removal_of_a_malformed_entry_is_evidence_of_a_crash)
{
    recover_workers_with_suspects();
    leader.begin(now);
    for (const auto* const name : {"unknown", "listed"})
    {
        leader.remove_worker(worker_id(name), now, entry_loss::malformed);
        leader.remove_worker(worker_id(name), now);
    }
    EXPECT_THAT(simulate(seconds(18)), testing::ElementsAre(0U, 1U));
    EXPECT_EQ(count_suspected_tasks(), 2);
}

// Failure: the new leader waits for lease extensions by a leader that is known
// to be dead.
TEST_F(takeover_test, a_dead_leader_extends_no_leases)
{
    leader.recover_fleet(
        {{worker_id("here"), std::nullopt}, {worker_id("gone"), std::nullopt}});
    leader.set_worker(entry("here"), now);
    leader.begin(now, true);
    EXPECT_THAT(simulate(seconds(7)), testing::ElementsAre(0U, 1U));
}

// Failure: after a takeover with unresponsive workers, no waiting task starts
// for the 15 s until all leases have expired, although the last leader never
// ordered it (a failed zone that contained the leader).
TEST_F(takeover_test, tasks_that_were_never_ordered_start_at_once)
{
    auto with_row = definition;
    with_row.id = job_id("k");
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered = {{0, 0, 1}};
    leader.recover_job(with_row, progress);
    // It was submitted while there was no leader.
    auto without_row = definition;
    without_row.id = job_id("n");
    leader.recover_job(without_row, std::nullopt);
    leader.recover_fleet(
        {{worker_id("here"), std::nullopt}, {worker_id("gone"), std::nullopt}});
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    // One task of "k" may have been ordered and waits, both of "n" start, both
    // of "j" wait.
    EXPECT_THAT(simulate(seconds(2)), testing::ElementsAre(0U, 0U, 1U));
    EXPECT_THAT(simulate(seconds(16)), testing::ElementsAre(0U, 1U, 1U));
}

// Failure: a task is ordered before the store lists it, and the next leader
// starts it a second time because it does not know of the run.
TEST_F(takeover_test, tasks_are_listed_in_the_store_before_they_are_ordered)
{
    auto with_row = definition;
    with_row.id = job_id("k");
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered.emplace();
    leader.recover_job(with_row, progress);
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    std::map<std::string, std::string> rows;
    std::size_t started = 0;
    for (int i = 0; i < 50; ++i)
    {
        now += milliseconds(20);
        for (const auto& o : leader.decide(now, milliseconds(0), {}))
        {
            const auto* const start = std::get_if<start_order>(&o);
            if (start != nullptr && start->task.job == with_row.id)
            {
                ++started;
                const auto row = rows.find("k");
                ASSERT_NE(row, rows.end());
                const auto stored = decode_progress(row->second);
                ASSERT_TRUE(stored && stored->ordered);
                EXPECT_THAT(*stored->ordered,
                            testing::Contains(job_progress::task_position{
                                0, 0, start->task.index}));
            }
            std::vector<std::uint32_t> ignored;
            respond(o, ignored);
        }
        // The store responds one pass later.
        const auto changes = leader.take_changes();
        for (const auto& [id, text] : changes.jobs)
        {
            rows[id.value()] = text;
        }
        leader.on_changes_stored(now);
    }
    EXPECT_EQ(started, 2U);
}

// Failure: the next leader does not learn what may run on an unresponsive
// worker, or takes the list for complete while tasks are started there.
TEST_F(takeover_test, unresponsive_workers_are_recorded_with_their_runs)
{
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    ASSERT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
    leader.on_poll_failed(worker_id("here"), now);
    now += milliseconds(50);
    leader.decide(now, milliseconds(0),
                  {.may_start = false, .may_extend_leases = false});
    const auto changes = leader.take_changes();
    EXPECT_THAT(changes.fleet,
                testing::ElementsAre(fleet_part{
                    fleet_part_of(reachable_worker),
                    {{reachable_worker, std::vector{key(0), key(1)}}}}));
    leader.on_changes_stored(now);
    // It responds again, and is recorded as open before anything starts there.
    jobs::worker_report report;
    report.incarnation = 1;
    report.running = running;
    leader.on_report(worker_id("here"), report, now, now);
    now += milliseconds(50);
    leader.decide(now, milliseconds(0), {});
    EXPECT_THAT(
        leader.take_changes().fleet,
        testing::ElementsAre(fleet_part{fleet_part_of(reachable_worker),
                                        {{reachable_worker, std::nullopt}}}));
}

// Failure: the next leader cannot decode the list.
TEST(fleet_codec, records_survive_the_store)
{
    const std::vector<fleet_record> fleet = {
        {worker_id("a \"1\""), std::nullopt},
        {worker_id("d"), std::nullopt, vm_id("vm-1")},
        {worker_id("e"), std::vector<task_key>{}, vm_id("vm-2")},
        {worker_id("f"),
         std::vector<task_key>{},
         vm_id("vm-3"),
         {{job_id("0f"), 1, 2, 3}}},
        {worker_id("b"), std::vector<task_key>{{job_id("0f"), 1, 2, 3}}},
        {worker_id("c"), std::vector<task_key>{}}};
    EXPECT_EQ(decode_fleet(encode_fleet(fleet)), fleet);
    EXPECT_FALSE(decode_fleet("{}"));
}

// Failure: one record that cannot be decoded hides the others of its part, or
// is left out, so that its tasks are started a second time.
TEST(fleet_codec, unreadable_records_become_unknown_workers)
{
    for (const std::string malformed :
         {"7", "null", "[]", R"(["a"])", R"("")", R"([7,"vm"])",
          R"({"w":"b","r":["x"]})", R"({"w":"b","r":7})", R"({"w":"b"})",
          R"({"w":"b","r":[],"s":7})"})
    {
        const auto read = decode_fleet(R"([["a","vm"],)" + malformed +
                                       R"(,{"w":"c","r":[]}])");
        ASSERT_TRUE(read) << malformed;
        ASSERT_EQ(read->size(), 3U) << malformed;
        EXPECT_EQ(read->front().worker, worker_id("a"));
        EXPECT_TRUE((*read)[1].worker.value().starts_with("unreadable "));
        EXPECT_FALSE((*read)[1].runs) << malformed;
        EXPECT_EQ(read->back().worker, worker_id("c"));
        EXPECT_TRUE(read->back().runs);
    }
}

// Failure: a list of another type counts as empty, and tasks that are done run
// again; or a malformed number names the first task.
TEST(progress_codec, lists_of_another_type_are_errors)
{
    for (const std::string malformed :
         {R"("d":7)", R"("d":"")", R"("o":{})", R"("h":null)", R"("c":1)",
          R"("d":[["0",0,"1"]])", R"("d":[[0,-1,"1"]])",
          R"("d":[[0,4294967296,"1"]])", R"("h":[[0,0,-1,[1],""]])",
          R"("c":[[null,0,0,[],0,0,""]])"})
    {
        EXPECT_FALSE(decode_progress(R"({"s":"running",)" + malformed + "}"))
            << malformed;
    }
}

// Failure: a leader that is cut off with some of the workers gives the others
// up and restarts their task, while the next leader keeps it running on one of
// those (TWICE, a zone that was cut off).
TEST_F(takeover_test, given_up_tasks_wait_while_the_lead_is_in_doubt)
{
    leader.set_worker(entry("here"), now);
    leader.begin(now);
    ASSERT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
    // "here" stops responding, and another worker becomes reachable.
    reachable_worker = worker_id("other");
    running.clear();
    leader.set_worker(entry("other"), now);
    ASSERT_THAT(simulate(milliseconds(200)), testing::IsEmpty());
    permission.lead_is_valid = false;
    EXPECT_THAT(simulate(seconds(10)), testing::IsEmpty());
    permission.lead_is_valid = true;
    EXPECT_THAT(simulate(seconds(1)), testing::ElementsAre(0U, 1U));
}
