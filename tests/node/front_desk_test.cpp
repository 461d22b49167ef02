// Guards against a job that is refused and runs all the same, a job that is
// accepted and not stored, and callers that are held while the store is away.
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

class front_desk_test : public testing::Test
{
protected:
    using timer = std::function<void(duration, std::function<void()>)>;
    using desk_type = front_desk<fake_store, timer>;

    front_desk_test()
        : desk(
              store,
              [this](duration delay, std::function<void()> call) {
                  clock.later(delay, std::move(call));
              },
              [this] { return clock.now; }, health,
              {[](const job_id&) { return std::nullopt; },
               [](const std::string&) { return std::nullopt; }},
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
        answered.reset();
        desk.submit(make_job(), clock.now + seconds(3),
                    [this](desk_answer a) { answered = a; });
    }

    void cancel()
    {
        answered.reset();
        desk.cancel(id, clock.now + seconds(3),
                    [this](desk_answer a) { answered = a; });
    }

    std::optional<jobs::job_state> state()
    {
        std::optional<jobs::job_state> found;
        desk.state_of(id, [&](const desk_type::state_answer& a) {
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
    desk_type desk;
    std::optional<desk_answer> answered;
};

} // namespace

// Failure: an accepted job is not in the store.
TEST_F(front_desk_test, accepted_job_is_stored)
{
    submit();
    EXPECT_EQ(answered, desk_answer::done);
    EXPECT_TRUE(is_stored());
    EXPECT_EQ(state(), jobs::job_state::queued);
}

// Failure: the same job sent again is refused, or becomes another one.
TEST_F(front_desk_test, repeated_submission_is_one_job)
{
    submit();
    submit();
    EXPECT_EQ(answered, desk_answer::done);
    EXPECT_EQ(store.rows().size(), 1U);
}

// Failure: a refused job is stored after all.
TEST_F(front_desk_test, refused_job_is_never_stored)
{
    store.mood = store_mood::refuses;
    submit();
    clock.pass(seconds(4));
    EXPECT_EQ(answered, desk_answer::refused);
    EXPECT_FALSE(is_stored());
}

// Failure: a job whose answer from the store was lost is refused although it
// is stored.
TEST_F(front_desk_test, lost_answer_is_never_a_refusal)
{
    store.mood = store_mood::loses_answers;
    submit();
    clock.pass(seconds(4));
    EXPECT_EQ(answered, desk_answer::unknown);
    EXPECT_TRUE(is_stored());
}

// Failure: a lost answer costs the caller its job although the store is back.
TEST_F(front_desk_test, lost_answer_is_asked_for_again)
{
    store.mood = store_mood::loses_answers;
    submit();
    EXPECT_FALSE(answered);
    store.mood = store_mood::answers;
    clock.pass(milliseconds(500));
    EXPECT_EQ(answered, desk_answer::done);
    EXPECT_EQ(store.rows().size(), 1U);
}

// Failure: callers wait for a store that is known to be away.
TEST_F(front_desk_test, away_store_is_said_at_once)
{
    store.mood = store_mood::refuses;
    submit();
    clock.pass(seconds(4));
    const auto calls = store.calls;
    submit();
    EXPECT_EQ(answered, desk_answer::refused);
    EXPECT_EQ(store.calls, calls);
}

// Failure: a caller is left without an answer until its deadline has passed.
TEST_F(front_desk_test, silent_store_gives_unknown_before_the_deadline)
{
    store.mood = store_mood::is_silent;
    submit();
    clock.pass(seconds(3));
    EXPECT_EQ(answered, desk_answer::unknown);
}

// Failure: cancelling a job that nobody submitted is acknowledged.
TEST_F(front_desk_test, unknown_job_cannot_be_cancelled)
{
    cancel();
    EXPECT_EQ(answered, desk_answer::no_such_job);
    EXPECT_EQ(state(), std::nullopt);
    submit();
    cancel();
    EXPECT_EQ(answered, desk_answer::done);
    EXPECT_EQ(store.rows().size(), 2U);
}
