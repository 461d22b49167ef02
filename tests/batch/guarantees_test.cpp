// Guards the guarantees of batch scheduling under random faults, and shows
// that the checks notice each safeguard that is removed.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "batch/scenario.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;
using namespace std::chrono_literals;

namespace
{

rc::Gen<std::vector<fault>> some_faults()
{
    const auto one = rc::gen::construct<fault>(
        rc::gen::map(rc::gen::inRange(0, static_cast<int>(fault_kind::last)),
                     [](int kind) { return static_cast<fault_kind>(kind); }),
        rc::gen::inRange(0, 25'000), rc::gen::inRange(200, 12'000),
        rc::gen::inRange(0U, 64U));
    return rc::gen::resize(12, rc::gen::container<std::vector<fault>>(one));
}

// Faults from a fixed sequence, of the kinds that the safeguard is for.
std::vector<fault> faults_of(const std::vector<fault_kind>& kinds,
                             std::uint32_t seed)
{
    std::mt19937 random(seed);
    std::vector<fault> faults(6);
    for (fault& f : faults)
    {
        f.kind = kinds[random() % kinds.size()];
        f.at_ms = static_cast<int>(random() % 20'000);
        f.for_ms = static_cast<int>(200 + random() % 12'000);
        f.target = random() % 64;
    }
    return faults;
}

struct removed_safeguard
{
    const char* name;
    bool batch_safeguards::*safeguard;
    const char* violation;
    std::vector<fault_kind> kinds;
};

void PrintTo(const removed_safeguard& r, std::ostream* os) // NOLINT
{
    *os << r.name;
}

// The first violation with the text in up to 400 scenarios; empty for none.
std::string find_violation(const cluster_options& options,
                           const std::vector<fault_kind>& kinds,
                           const std::string& text)
{
    for (std::uint32_t seed = 1; seed <= 400; ++seed)
    {
        cluster_options seeded = options;
        seeded.seed = seed;
        cluster c(seeded);
        run_scenario(c, faults_of(kinds, seed));
        const auto found =
            std::ranges::find_if(c.violations, [&](const std::string& v) {
                return v.find(text) != std::string::npos;
            });
        if (found != c.violations.end())
        {
            return *found;
        }
    }
    return {};
}

class removed : public testing::TestWithParam<removed_safeguard>
{};

} // namespace

// Failure: any of the guarantees, under any combination of faults.
RC_GTEST_PROP(guarantees, hold_under_random_faults, ())
{
    cluster_options options;
    options.seed = *rc::gen::arbitrary<std::uint32_t>();
    cluster c(options);
    run_scenario(c, *some_faults());
    for (const std::string& text : c.violations)
    {
        RC_LOG() << text << "\n";
    }
    RC_ASSERT(c.violations.empty());
}

// Failure: a check that cannot fail. Each safeguard in turn is removed, and
// the check that it serves must report a violation.
TEST_P(removed, is_noticed)
{
    cluster_options options;
    options.safeguards.*GetParam().safeguard = false;
    EXPECT_NE(find_violation(options, GetParam().kinds, GetParam().violation),
              "");
}

INSTANTIATE_TEST_SUITE_P(
    safeguards, removed,
    testing::Values(
        removed_safeguard{"lease_check",
                          &batch_safeguards::check_lease_before_acting,
                          "with an expired lease",
                          {fault_kind::pause, fault_kind::cut_from_table}},
        removed_safeguard{"lease_observation",
                          &batch_safeguards::observe_lease_before_takeover,
                          "whose lease was valid",
                          {fault_kind::lost_answers}},
        removed_safeguard{"journalled_intent",
                          &batch_safeguards::journal_before_start,
                          "without a journalled intent",
                          {fault_kind::submit, fault_kind::table_slow}},
        removed_safeguard{
            "unknown_is_used",
            &batch_safeguards::count_unknown_as_used,
            "is over its capacity",
            {fault_kind::replace, fault_kind::pause, fault_kind::submit}},
        removed_safeguard{"fence_before_restart",
                          &batch_safeguards::wait_for_fence_before_restart,
                          "runs in two places",
                          {fault_kind::replace,
                           fault_kind::lost_worker_messages,
                           fault_kind::slow_workers}},
        removed_safeguard{"freshness",
                          &batch_safeguards::check_freshness_before_start,
                          "out of service",
                          {fault_kind::zone_out, fault_kind::submit,
                           fault_kind::cut_from_table}},
        removed_safeguard{"acknowledge_after_journal",
                          &batch_safeguards::journal_before_acknowledge,
                          "started again after it had finished",
                          {fault_kind::replace, fault_kind::table_down}},
        removed_safeguard{"commit_id",
                          &batch_safeguards::recognise_commit_id,
                          "dropped a shard that it owned",
                          {fault_kind::lost_answers, fault_kind::submit}},
        removed_safeguard{"checkpoint",
                          &batch_safeguards::resume_from_checkpoint,
                          "did not resume from its last checkpoint",
                          {fault_kind::zone_out}},
        removed_safeguard{"intents_count_as_run",
                          &batch_safeguards::remember_intents_as_run,
                          "never ran",
                          {fault_kind::kill_worker, fault_kind::cancel}}),
    [](const auto& tested) { return std::string(tested.param.name); });

// The safeguards in place: the same scenarios, no violation.
TEST(guarantees, scenarios_of_removed_safeguards_hold)
{
    EXPECT_EQ(find_violation({},
                             {fault_kind::pause, fault_kind::replace,
                              fault_kind::kill_worker, fault_kind::cancel,
                              fault_kind::zone_out, fault_kind::table_down,
                              fault_kind::lost_answers},
                             ""),
              "");
}
