// Guards against stored jobs, progress and lists of workers that a later leader
// decodes wrongly.
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "jobs/jobs.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using std::chrono::milliseconds;

namespace
{

job sample_job()
{
    job j;
    j.id = job_id("00000000000000ab");
    j.payload = "text with \"quotes\"";
    j.accepted_at = milliseconds(1700000000123);
    j.repeats = {3, milliseconds(1700000001000), milliseconds(500)};
    j.policy = {"queue",           service_id("s"),  2,   4, 1.5,
                milliseconds(300), {region_id("r")}, true};
    step first;
    first.task_count = 6;
    first.size = {2800, 5600, 1};
    first.estimate = milliseconds(900);
    first.saves_progress = true;
    first.is_gang = true;
    first.required_label = "a";
    first.preferred_rack = "r1-3";
    step second = first;
    second.after = {0};
    second.is_gang = false;
    second.same_rack = true;
    second.may_run_twice = true;
    second.is_long_running = true;
    second.fills = true;
    second.image = "img";
    second.max_per_worker = 2;
    second.tail_target = milliseconds(18);
    second.max_unavailable = 1;
    j.steps = {first, second};
    return j;
}

} // namespace

// Failure: a member of a job is lost in the stored form.
TEST(job_codec, job_survives_the_store)
{
    const auto j = sample_job();
    const auto text = encode_job(j);
    const auto read = decode_job(j.id, text);
    ASSERT_TRUE(read);
    EXPECT_EQ(encode_job(*read), text);
    EXPECT_EQ(read->steps[1].after, j.steps[1].after);
    EXPECT_EQ(read->steps[1].tail_target, j.steps[1].tail_target);
    EXPECT_EQ(read->policy.regions, j.policy.regions);
    EXPECT_EQ(read->repeats.interval, j.repeats.interval);
}

// Failure: data of another writer is accepted as a job.
TEST(job_codec, malformed_job_is_rejected)
{
    const job_id id("x");
    EXPECT_FALSE(decode_job(id, ""));
    EXPECT_FALSE(decode_job(id, "[]"));
    EXPECT_FALSE(decode_job(id, R"({"s":[]})"));
    EXPECT_FALSE(decode_job(id, R"({"s":[5]})"));
    EXPECT_FALSE(decode_job(id, R"({"s":[{"n":1,"a":[0]}]})"));
}

// Failure: a row whose steps have no tasks passes the limit on tasks, and its
// occurrences exhaust the memory of each leader that reads it.
TEST(job_codec, steps_without_tasks_are_rejected)
{
    const job_id id("x");
    EXPECT_FALSE(decode_job(id, R"({"s":[{}],"r":[4294967295,0,0]})"));
    EXPECT_FALSE(decode_job(id, R"({"s":[{"n":1},{"n":4294967296}]})"));
    EXPECT_TRUE(decode_job(id, R"({"s":[{"n":1},{"n":1}],"r":[3,0,0]})"));
}

// Failure: a job loses its owner or the owner's limits in the store, or a row
// from before accounts were introduced cannot be read.
TEST(job_codec, owner_survives_the_store)
{
    auto j = sample_job();
    const auto earlier = encode_job(j);
    EXPECT_EQ(earlier.find("\"a\":{"), std::string::npos);
    const auto without_owner = decode_job(j.id, earlier);
    ASSERT_TRUE(without_owner);
    EXPECT_FALSE(without_owner->account);
    EXPECT_TRUE(account_of_row(earlier).empty());
    j.account = {account_id("shop \"x\""), 7, {1500, 0, 2}};
    const auto text = encode_job(j);
    const auto read = decode_job(j.id, text);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->account, j.account);
    EXPECT_EQ(account_of_row(text), account_id("shop \"x\""));
}

// Failure: the runs of an ended job are lost, and the cap is exceeded after a
// takeover; or a final row from before accounts were introduced cannot be read.
TEST(progress_codec, ending_runs_survive_the_store)
{
    job_progress progress;
    progress.state = job_state::cancelled;
    const auto earlier = encode_progress(progress);
    const auto read_earlier = decode_progress(earlier);
    ASSERT_TRUE(read_earlier);
    EXPECT_TRUE(read_earlier->ending.empty());
    EXPECT_FALSE(read_earlier->ended_at);
    progress.ending = {{0, 0, 3}, {2, 1, 0}};
    progress.ended_at = store_time(milliseconds(1700000000123));
    const auto read = decode_progress(encode_progress(progress));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->state, progress.state);
    EXPECT_EQ(read->ending, progress.ending);
    EXPECT_EQ(read->ended_at, progress.ended_at);
    // A row that is full keeps the final state.
    const auto short_row = decode_progress(encode_progress(progress, 40));
    ASSERT_TRUE(short_row);
    EXPECT_EQ(short_row->state, progress.state);
    EXPECT_TRUE(short_row->ending.empty());
}

// Failure: finished tasks, failed runs or checkpoints are lost.
TEST(progress_codec, progress_survives_the_store)
{
    job_progress progress;
    progress.state = job_state::running;
    progress.has_started = true;
    progress.done = {{0, 0, 3}, {1, 1, 0}};
    progress.histories[{0, 0, 1}] = {{1, 1001}, "check"};
    const auto read = decode_progress(encode_progress(progress));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->state, progress.state);
    EXPECT_EQ(read->done, progress.done);
    EXPECT_FALSE(read->ordered);
    EXPECT_EQ(read->histories.at({0, 0, 1}).failed_runs,
              (std::vector<std::uint32_t>{1, 1001}));
    EXPECT_EQ(read->histories.at({0, 0, 1}).checkpoint, "check");
}

// Failure: the row of a job with many tasks exceeds the store's size limit.
// The store then rejects the transaction permanently, and the leader can store
// nothing more.
TEST(progress_codec, rows_of_wide_jobs_fit_into_the_store)
{
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered.emplace();
    for (std::uint32_t i = 0; i < 20'000; ++i)
    {
        auto& places = i % 2 == 0 ? progress.done : *progress.ordered;
        places.push_back({0, i % 3, i});
        progress.histories[{0, 3, i}] = {i < 100 ? std::vector<std::uint32_t>{i}
                                                 : std::vector<std::uint32_t>{},
                                         "00000bb87a21d94b"};
    }
    const auto text = encode_progress(progress);
    EXPECT_LE(text.size(), default_row_limit);
    const auto read = decode_progress(text);
    ASSERT_TRUE(read);
    const std::set done(read->done.begin(), read->done.end());
    EXPECT_EQ(done, std::set(progress.done.begin(), progress.done.end()));
    ASSERT_TRUE(read->ordered);
    EXPECT_EQ(read->ordered->size(), progress.ordered->size());
    // Attempts stay bounded; checkpoints are dropped.
    EXPECT_EQ(read->histories.size(), 100U);
}

// Failure: after the loss of many workers at once, the next leader cannot
// store what may run on them.
TEST(fleet_codec, parts_of_large_fleets_fit_into_the_store)
{
    std::vector<fleet_record> fleet;
    for (std::uint32_t w = 0; w < 600; ++w)
    {
        std::vector<task_key> runs;
        for (std::uint32_t i = 0; i < 12; ++i)
        {
            runs.push_back({job_id("5c0e7a21d94b36f8"), 0, w, i});
        }
        fleet.push_back({worker_id("i-0311763df5" + std::to_string(w)), runs});
    }
    const auto text = encode_fleet(fleet);
    EXPECT_LE(text.size(), default_row_limit);
    const auto read = decode_fleet(text);
    ASSERT_TRUE(read);
    ASSERT_EQ(read->size(), fleet.size());
    EXPECT_EQ(read->front(), fleet.front());
    // Where the list is omitted, any task may run.
    EXPECT_EQ(read->back().worker, fleet.back().worker);
    EXPECT_FALSE(read->back().runs);
}

TEST(progress_codec, malformed_progress_is_rejected)
{
    EXPECT_FALSE(decode_progress("{}"));
    EXPECT_FALSE(decode_progress(R"({"s":"gone"})"));
    EXPECT_FALSE(decode_progress(R"({"s":"running","d":[[1]]})"));
    EXPECT_FALSE(decode_progress(R"({"s":"running","h":[[0,0,0,1,""]]})"));
}

// Failure: the name of a task is parsed as that of another task.
TEST(task_key, names_are_read_back)
{
    const task_key key{job_id("5c0e7a21d94b36f8"), 2, 1, 17};
    EXPECT_EQ(to_text(key), "5c0e7a21d94b36f8.2.1.17");
    EXPECT_EQ(parse_task_key(to_text(key)), key);
    for (const auto* wrong :
         {"", "a", "a.1.2", "a.1.2.x", "a.1.2.3.4", ".1.2.3"})
    {
        EXPECT_FALSE(parse_task_key(wrong)) << wrong;
    }
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
