// Guards against a job whose stored rows grow beyond the store's limit while it
// runs, and against attempts that are no longer counted because they did not
// fit.
#include <map>
#include <string>

#include "scheduler_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;
using namespace hemlockdeal::jobs::test;

namespace
{

class stored_progress_test : public scheduler_test
{
protected:
    // All rows of the changes at hand, each set within the limits of one
    // transaction.
    void store_changes()
    {
        for (bool is_partial = true; is_partial;)
        {
            const auto changes = leader.take_changes();
            std::size_t bytes = 0;
            for (const auto& [id, text] : changes.jobs)
            {
                EXPECT_LE(text.size(), default_row_limit);
                bytes += text.size();
                main_rows[id] = text;
            }
            for (const auto& row : changes.histories)
            {
                const auto text = row.text.value_or("");
                EXPECT_LE(text.size(), default_row_limit);
                bytes += text.size();
                row.text ? history_rows[row.number] = text
                         : std::string(history_rows.erase(row.number), ' ');
            }
            EXPECT_LE(changes.jobs.size() + changes.histories.size(), 100U);
            EXPECT_LE(bytes, 500'000U);
            is_partial = changes.is_partial;
            leader.on_changes_stored(now);
        }
    }

    // The progress as the next leader reads it.
    job_progress read_back(const job_id& id)
    {
        auto progress = decode_progress(main_rows.at(id));
        EXPECT_TRUE(progress);
        for (const auto& [number, text] : history_rows)
        {
            EXPECT_TRUE(decode_histories(text, progress->histories));
            progress->history_rows.insert(number);
        }
        return progress.value_or(job_progress{});
    }

    // Worker "a" reports the end of a run, which changes the job's progress.
    void report_end(const task_key& key, std::uint32_t run, run_end how)
    {
        ended[worker_id("a")] = {{++ends, key, run, how, ""}};
        leader.on_report(worker_id("a"), report_of(worker_id("a")), now, now);
    }

    std::map<job_id, std::string> main_rows;
    std::map<std::uint32_t, std::string> history_rows;
    std::uint64_t ends = 0;
};

} // namespace

// Failure: the row of a job with repetition grows with each occurrence until
// the store refuses it, and with it all changes of the leader.
TEST_F(stored_progress_test, row_does_not_grow_with_finished_occurrences)
{
    auto repeated = make_job("j", short_step(1));
    repeated.steps.push_back(short_step(1));
    repeated.repeats = {10'000, {}, std::chrono::milliseconds(1)};
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered.emplace();
    for (std::uint32_t k = 0; k < 9000; ++k)
    {
        progress.done.push_back({k, 0, 0});
        progress.done.push_back({k, 1, 0});
    }
    leader.recover_job(repeated, progress);
    add_worker("a");
    leader.begin(now);
    simulate(std::chrono::milliseconds(100));
    report_end({repeated.id, 9000, 0, 0}, 9, run_end::done);
    store_changes();
    ASSERT_TRUE(main_rows.contains(repeated.id));
    progress.done.push_back({9000, 0, 0});
    EXPECT_LE(main_rows.at(repeated.id).size(), 1000U);
    EXPECT_EQ(read_back(repeated.id).done, progress.done);
}

// Failure: the same while each second task of the job is done, the form that
// takes the most room.
TEST_F(stored_progress_test, row_fits_whichever_tasks_are_done)
{
    auto repeated = make_job("j", short_step(1));
    repeated.steps.push_back(short_step(1));
    repeated.repeats = {10'000, {}, {}};
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered.emplace();
    for (std::uint32_t k = 0; k < 10'000; ++k)
    {
        progress.done.push_back({k, k % 2, 0});
        progress.ordered->push_back({k, 1 - k % 2, 0});
    }
    leader.recover_job(repeated, progress);
    add_worker("a");
    leader.begin(now);
    simulate(std::chrono::milliseconds(100));
    report_end({repeated.id, 9999, 0, 0}, 9, run_end::done);
    store_changes();
    ASSERT_TRUE(main_rows.contains(repeated.id));
    const auto read = read_back(repeated.id);
    EXPECT_EQ(read.done.size(), progress.done.size() + 1);
    EXPECT_EQ(read.ordered->size(), progress.ordered->size() - 1);
}

// Failure: with many tasks that failed once, some failures are not stored, and
// after a takeover the tasks get more attempts than the queue allows.
TEST_F(stored_progress_test, all_failures_are_stored)
{
    constexpr std::uint32_t count = 5000;
    auto wide = make_job("j", short_step(count));
    wide.policy.max_attempts = 4;
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered.emplace();
    for (std::uint32_t i = 0; i < count; ++i)
    {
        progress.ordered->push_back({0, 0, i});
        progress.histories[{0, 0, i}] = {{1001, 1002, 2001},
                                         "00000bb87a21d94b"};
    }
    leader.recover_job(wide, progress);
    add_worker("a");
    leader.begin(now);
    simulate(std::chrono::milliseconds(100));
    report_end({wide.id, 0, 0, 0}, 9, run_end::done);
    store_changes();
    ASSERT_TRUE(main_rows.contains(wide.id));
    progress.histories.erase({0, 0, 0});
    EXPECT_EQ(read_back(wide.id).histories, progress.histories);
}

// Failure: the failures of a long-running task, which are not limited, fill its
// row.
TEST_F(stored_progress_test, failures_of_a_long_running_task_do_not_add_up)
{
    auto lasting = make_job("j", short_step(1));
    lasting.steps[0].is_long_running = true;
    leader.recover_job(lasting, std::nullopt);
    add_worker("a");
    leader.begin(now);
    const task_key key{lasting.id, 0, 0, 0};
    for (std::uint32_t run = 1; run <= 10'000; ++run)
    {
        report_end(key, run, run_end::failed);
    }
    store_changes();
    EXPECT_LE(main_rows.at(lasting.id).size(), 1000U);
}

// Failure: rows with the histories of a finished job stay in the store for
// good.
TEST_F(stored_progress_test, history_rows_end_with_their_job)
{
    constexpr std::uint32_t count = 500;
    auto wide = make_job("j", short_step(count));
    wide.policy.max_attempts = 4;
    job_progress progress;
    progress.state = job_state::running;
    progress.ordered.emplace();
    leader.recover_job(wide, progress);
    add_worker("a");
    leader.begin(now);
    simulate(std::chrono::milliseconds(100));
    report_end({wide.id, 0, 0, 450}, 9, run_end::failed);
    store_changes();
    EXPECT_EQ(history_rows.size(), 1U);
    leader.cancel_job(wide.id, now);
    store_changes();
    EXPECT_EQ(read_back(wide.id).state, job_state::cancelled);
    EXPECT_TRUE(history_rows.empty());
}
