// Guarantees of the request path with several daemons, random faults and a
// shared table that loses requests and responses. For each guarantee, a policy
// breaks its rule and a test verifies that the violation is detected.
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request_simulation.hpp"

using namespace hemlockdeal;
using testing::Contains;

namespace
{

double random_probability(double max)
{
    return *rc::gen::inRange(0, 101) / 100.0 * max;
}

template <typename Policy>
void check_simulation(std::uint64_t seed, const simulation_topology& topology,
                      const simulation_faults& faults)
{
    request_simulation<Policy> simulation(seed, topology, faults);
    RC_ASSERT(simulation.run());
    RC_ASSERT(simulation.violations() == std::vector<std::string>());
}

simulation_faults table_faults(double lost)
{
    simulation_faults f;
    f.commit_lost = lost;
    f.response_lost = lost;
    f.connection_breaks = lost / 4;
    f.refuses = lost / 4;
    f.caller_disconnects = lost / 4;
    f.connect_fails = lost / 4;
    return f;
}

simulation_faults endpoint_faults(double rate)
{
    simulation_faults f;
    f.connect_fails = rate;
    f.connect_hangs = rate / 10;
    f.connection_breaks = rate / 2;
    f.no_response = rate / 10;
    f.refuses = rate / 2;
    f.error_status = rate / 2;
    f.caller_disconnects = rate / 4;
    return f;
}

simulation_faults heavy_load()
{
    simulation_faults f;
    f.request_interval_us = 500;
    f.requests = 300;
    f.message_lost = 0.2;
    return f;
}

// Runs simulations with increasing seeds until a violation is found.
template <typename Policy>
std::vector<std::string> find_violation(const simulation_topology& topology,
                                        const simulation_faults& faults)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        request_simulation<Policy> simulation(seed, topology, faults);
        simulation.run();
        if (!simulation.violations().empty())
        {
            return simulation.violations();
        }
    }
    return {};
}

struct sends_again : standard_request_policy
{
    static constexpr bool may_send_again(bool, bool) { return true; }
};

struct reports_not_run : standard_request_policy
{
    static constexpr bool may_report_not_run(bool, bool) { return true; }
};

struct ignores_share : standard_request_policy
{
    static constexpr bool has_slot(std::uint32_t, std::uint32_t)
    {
        return true;
    }
};

struct retries_always : standard_request_policy
{
    static constexpr bool may_retry(bool) { return true; }
};

struct sends_to_leaving : standard_request_policy
{
    static constexpr bool may_receive(bool) { return true; }
};

struct holds_unresolved : standard_request_policy
{
    static constexpr bool holds_unresolved_claim() { return true; }
};

struct lends_twice : standard_request_policy
{
    static constexpr bool tracks_loans() { return false; }
};

} // namespace

// Guards against requests that run twice or get no outcome or a wrong one when
// the table loses requests and responses and callers repeat keys at two
// daemons.
RC_GTEST_PROP(request_core, claims_hold_with_a_lossy_table,
              (std::uint64_t seed))
{
    check_simulation<standard_request_policy>(
        seed, {}, table_faults(random_probability(0.5)));
}

// Guards against running a key twice or lending slots twice when a daemon
// crashes and restarts without knowledge of its claims and loans.
RC_GTEST_PROP(request_core, guarantees_hold_when_a_daemon_restarts,
              (std::uint64_t seed))
{
    simulation_faults f = table_faults(random_probability(0.3));
    f.restarts = true;
    f.request_interval_us = *rc::gen::inRange(500, 50'000);
    f.message_lost = random_probability(0.5);
    check_simulation<standard_request_policy>(seed, {3, 2, 8}, f);
}

// Guards against wrong outcomes and second runs when endpoints fail in any of
// the simulated ways.
RC_GTEST_PROP(request_core, outcomes_hold_with_failing_endpoints,
              (std::uint64_t seed))
{
    check_simulation<standard_request_policy>(
        seed, {}, endpoint_faults(random_probability(0.6)));
}

// Guards against more requests in flight than slots under load with lost
// messages.
RC_GTEST_PROP(request_core, shares_hold_under_load, (std::uint64_t seed))
{
    simulation_faults f = heavy_load();
    f.message_lost = random_probability(0.9);
    f.requests = 60;
    f.connection_breaks = random_probability(0.1);
    check_simulation<standard_request_policy>(
        seed, {3, 2, 8, *rc::gen::arbitrary<bool>()}, f);
}

// Guards against requests to a leaving instance.
RC_GTEST_PROP(request_core, leaving_instance_gets_nothing_new,
              (std::uint64_t seed, bool announces_leaving))
{
    simulation_faults f;
    f.instance_leaves = true;
    f.announces_leaving = announces_leaving;
    f.requests = 100;
    f.request_interval_us = 40'000;
    check_simulation<standard_request_policy>(seed, {}, f);
}

// Guards against properties that pass without testing anything: the simulated
// faults must lead to every outcome.
TEST(request_core, faults_lead_to_every_outcome)
{
    std::map<std::string, int> all;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
    {
        request_simulation<standard_request_policy> simulation(
            seed, {}, table_faults(0.3));
        simulation.run();
        for (const auto& [outcome, count] : simulation.outcomes())
        {
            all[outcome] += count;
        }
    }
    for (const char* outcome :
         {"done", "not run", "unknown", "caller gone", "stored"})
    {
        EXPECT_GT(all[outcome], 20) << outcome;
    }
}

// Guards against refusing requests in the absence of faults.
TEST(request_core, all_requests_complete_without_faults)
{
    simulation_faults f;
    f.duplicate_keys = 0.0;
    request_simulation<standard_request_policy> simulation(1, {}, f);
    simulation.run();
    EXPECT_EQ(simulation.outcomes(),
              (std::map<std::string, int>{{"done", 120}}));
}

TEST(broken_policy, second_send_is_noticed)
{
    EXPECT_THAT(find_violation<sends_again>({}, endpoint_faults(0.5)),
                Contains("a non-idempotent request was sent twice"));
}

TEST(broken_policy, wrong_not_run_is_noticed)
{
    EXPECT_THAT(find_violation<reports_not_run>({}, endpoint_faults(0.5)),
                Contains("reported as not run after bytes were sent"));
}

TEST(broken_policy, exceeded_share_is_noticed)
{
    EXPECT_THAT(find_violation<ignores_share>({3, 2, 8}, heavy_load()),
                Contains("requests in flight exceed the daemon's share"));
}

TEST(broken_policy, retries_above_the_budget_are_noticed)
{
    simulation_faults f = endpoint_faults(0.9);
    f.requests = 600;
    f.request_interval_us = 1'000;
    EXPECT_THAT(find_violation<retries_always>({2, 20, 8}, f),
                Contains("retries exceed the budget"));
}

TEST(broken_policy, request_to_a_leaving_instance_is_noticed)
{
    simulation_faults f;
    f.instance_leaves = true;
    f.requests = 100;
    f.request_interval_us = 40'000;
    EXPECT_THAT(find_violation<sends_to_leaving>({}, f),
                Contains("request sent to a leaving instance"));
}

TEST(broken_policy, unresolved_claim_is_noticed)
{
    EXPECT_THAT(find_violation<holds_unresolved>({}, table_faults(0.5)),
                Contains("a key ran twice"));
}

TEST(broken_policy, slots_lent_twice_are_noticed)
{
    EXPECT_THAT(find_violation<lends_twice>({3, 2, 8}, heavy_load()),
                Contains("the daemons' shares exceed the slots"));
}
