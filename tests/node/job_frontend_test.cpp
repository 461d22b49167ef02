// Guards against jobs that are refused but run, jobs that are accepted but not
// stored, and callers that are blocked while the store is unavailable.
#include <optional>

#include <gtest/gtest.h>

#include "fake_store.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::node;
using namespace hemlockdeal::node::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

class job_frontend_test : public testing::Test
{
protected:
    using timer = std::function<void(duration, std::function<void()>)>;
    using frontend_type = job_frontend<fake_store, timer>;

    job_frontend_test()
        : frontend(
              store,
              [this](duration delay, std::function<void()> call) {
                  clock.later(delay, std::move(call));
              },
              [this] { return clock.now; }, health,
              {[](const job_id&) { return std::nullopt; },
               [](const std::string&) { return std::nullopt; },
               [this] { return job_memory; }},
              {})
    {}

    jobs::job make_job()
    {
        jobs::job j;
        j.id = id;
        j.steps.emplace_back();
        return j;
    }

    void submit()
    {
        result.reset();
        frontend.submit(make_job(), clock.now + seconds(3),
                        [this](request_result a) { result = a; });
    }

    void cancel()
    {
        result.reset();
        frontend.cancel(id, {}, clock.now + seconds(3),
                        [this](request_result a) { result = a; });
    }

    std::optional<jobs::job_state> state()
    {
        std::optional<jobs::job_state> found;
        frontend.state_of(id, {}, [&](const frontend_type::state_result& a) {
            if (const auto* const s =
                    std::get_if<std::optional<jobs::job_state>>(&a))
            {
                found = *s;
            }
        });
        return found;
    }

    bool is_stored() const { return !store.rows().empty(); }

    job_id id{"5c0e7a21d94b36f8"};
    test_clock clock;
    fake_store store;
    store_health health;
    frontend_type frontend;
    std::optional<request_result> result;
    // As the leader publishes it.
    std::uint64_t job_memory = 0;
};

} // namespace

// Failure: an accepted job is not in the store.
TEST_F(job_frontend_test, accepted_job_is_stored)
{
    submit();
    EXPECT_EQ(result, request_result::done);
    EXPECT_TRUE(is_stored());
    EXPECT_EQ(state(), jobs::job_state::queued);
}

// Failure: a repeated submission is refused or creates a second job.
TEST_F(job_frontend_test, repeated_submission_is_one_job)
{
    submit();
    submit();
    EXPECT_EQ(result, request_result::done);
    EXPECT_EQ(store.rows().size(), 1U);
}

// Failure: a job is stored although it was refused.
TEST_F(job_frontend_test, refused_job_is_never_stored)
{
    store.mode = store_mode::rejects;
    submit();
    clock.advance(seconds(4));
    EXPECT_EQ(result, request_result::refused);
    EXPECT_FALSE(is_stored());
}

// Failure: a submission that the store never accepts is repeated, and its
// caller is told to come back.
TEST_F(job_frontend_test, job_that_is_never_accepted_is_rejected_at_once)
{
    store.max_value_bytes = 10;
    submit();
    EXPECT_EQ(result, request_result::rejected);
    EXPECT_EQ(store.calls, 1U);
    EXPECT_FALSE(is_stored());
}

// Failure: accepted work has no bound, and fills the memory of each leader in
// turn.
TEST_F(job_frontend_test, job_without_memory_for_it_is_refused_and_not_stored)
{
    job_memory = frontend_options{}.max_job_memory;
    submit();
    EXPECT_EQ(result, request_result::no_memory);
    clock.advance(seconds(4));
    EXPECT_FALSE(is_stored());
    job_memory = 0;
    submit();
    EXPECT_EQ(result, request_result::done);
}

// Failure: a burst passes the bound because the leader has not published the
// memory of the latest jobs.
TEST_F(job_frontend_test, burst_is_bounded_before_the_leader_has_read_it)
{
    const auto bytes = jobs::memory_of(make_job());
    job_memory = frontend_options{}.max_job_memory - 10 * bytes;
    std::size_t accepted = 0;
    for (int i = 0; i < 100; ++i)
    {
        id = job_id("5c0e7a21d94b36" + std::to_string(100 + i));
        submit();
        accepted += result == request_result::done ? 1 : 0;
    }
    EXPECT_EQ(accepted, 10U);
    // By now the published figure contains them.
    clock.advance(seconds(3));
    id = job_id("5c0e7a21d94b36ff");
    submit();
    EXPECT_EQ(result, request_result::done);
}

// Failure: the caller of a job that is stored is told that it will not run.
TEST_F(job_frontend_test, stored_job_is_not_refused_for_lack_of_memory)
{
    store.mode = store_mode::loses_responses;
    submit();
    clock.advance(seconds(4));
    ASSERT_TRUE(is_stored());
    store.mode = store_mode::responds;
    health = {};
    job_memory = frontend_options{}.max_job_memory;
    submit();
    EXPECT_EQ(result, request_result::done);
    store.mode = store_mode::rejects;
    id = job_id("5c0e7a21d94b36ff");
    health = {};
    submit();
    EXPECT_EQ(result, request_result::unknown);
}

// Failure: nobody can make room, because cancellations are refused as well.
TEST_F(job_frontend_test, job_can_be_cancelled_without_memory_for_others)
{
    submit();
    job_memory = frontend_options{}.max_job_memory;
    cancel();
    EXPECT_EQ(result, request_result::done);
    EXPECT_EQ(store.rows().size(), 2U);
}

// Failure: a stored job is refused because the store's response was lost.
TEST_F(job_frontend_test, lost_response_is_never_a_refusal)
{
    store.mode = store_mode::loses_responses;
    submit();
    clock.advance(seconds(4));
    EXPECT_EQ(result, request_result::unknown);
    EXPECT_TRUE(is_stored());
}

// Failure: a submission fails after a lost response although the store has
// recovered.
TEST_F(job_frontend_test, lost_response_is_retried)
{
    store.mode = store_mode::loses_responses;
    submit();
    EXPECT_FALSE(result);
    store.mode = store_mode::responds;
    clock.advance(milliseconds(500));
    EXPECT_EQ(result, request_result::done);
    EXPECT_EQ(store.rows().size(), 1U);
}

// Failure: callers wait for a store that is known to be unavailable.
TEST_F(job_frontend_test, unavailable_store_is_reported_at_once)
{
    store.mode = store_mode::rejects;
    submit();
    clock.advance(seconds(4));
    const auto calls = store.calls;
    submit();
    EXPECT_EQ(result, request_result::refused);
    EXPECT_EQ(store.calls, calls);
}

// Failure: a caller gets no response before its deadline.
TEST_F(job_frontend_test, unresponsive_store_gives_unknown_before_the_deadline)
{
    store.mode = store_mode::is_unresponsive;
    submit();
    clock.advance(seconds(3));
    EXPECT_EQ(result, request_result::unknown);
}

// Failure: the cancellation of a job that was never submitted is acknowledged.
TEST_F(job_frontend_test, unknown_job_cannot_be_cancelled)
{
    cancel();
    EXPECT_EQ(result, request_result::no_such_job);
    EXPECT_EQ(state(), std::nullopt);
    submit();
    cancel();
    EXPECT_EQ(result, request_result::done);
    EXPECT_EQ(store.rows().size(), 2U);
}
