// Guards against stored jobs and progress that a later leader reads wrongly.
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
    j.terms = {"queue",           service_id("s"),  2,   4, 1.5,
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
    second.is_lasting = true;
    second.fills = true;
    second.image = "img";
    second.most_per_worker = 2;
    second.tail_target = milliseconds(18);
    second.may_miss = 1;
    j.steps = {first, second};
    return j;
}

} // namespace

// Failure: a member of a job is lost in the store.
TEST(job_codec, job_survives_the_store)
{
    const auto j = sample_job();
    const auto text = encode_job(j);
    const auto read = decode_job(j.id, text);
    ASSERT_TRUE(read);
    EXPECT_EQ(encode_job(*read), text);
    EXPECT_EQ(read->steps[1].after, j.steps[1].after);
    EXPECT_EQ(read->steps[1].tail_target, j.steps[1].tail_target);
    EXPECT_EQ(read->terms.regions, j.terms.regions);
    EXPECT_EQ(read->repeats.interval, j.repeats.interval);
}

// Failure: bytes of another writer are taken for a job.
TEST(job_codec, what_is_no_job_is_refused)
{
    const job_id id("x");
    EXPECT_FALSE(decode_job(id, ""));
    EXPECT_FALSE(decode_job(id, "[]"));
    EXPECT_FALSE(decode_job(id, R"({"s":[]})"));
    EXPECT_FALSE(decode_job(id, R"({"s":[5]})"));
    EXPECT_FALSE(decode_job(id, R"({"s":[{"n":1,"a":[0]}]})"));
}

// Failure: done tasks, failed runs or checkpoints are forgotten.
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
    EXPECT_EQ(read->histories.at({0, 0, 1}).failed_runs,
              (std::vector<std::uint32_t>{1, 1001}));
    EXPECT_EQ(read->histories.at({0, 0, 1}).checkpoint, "check");
}

TEST(progress_codec, what_is_no_progress_is_refused)
{
    EXPECT_FALSE(decode_progress("{}"));
    EXPECT_FALSE(decode_progress(R"({"s":"gone"})"));
    EXPECT_FALSE(decode_progress(R"({"s":"running","d":[[1]]})"));
    EXPECT_FALSE(decode_progress(R"({"s":"running","h":[[0,0,0,1,""]]})"));
}

// Failure: a task's name is read as another task.
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
