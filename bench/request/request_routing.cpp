// Prints the tail latency with slow and failing instances, and the goodput at
// twice the capacity, for the request core and two baselines.
#include <cstdio>
#include <cstdlib>

#include "baseline_policy.hpp"
#include "queue_model.hpp"

using namespace hemlockdeal;

namespace
{

template <typename Policy>
void print(const char* name, const model_parameters& parameters,
           std::uint64_t seed)
{
    queue_model<Policy> model(parameters, seed);
    auto& results = model.run();
    const double seconds = parameters.seconds - parameters.measure_from_second;
    for (std::size_t c = 0; c < results.size(); ++c)
    {
        class_result& r = results[c];
        if (r.requests == 0)
        {
            continue;
        }
        const auto all = static_cast<double>(r.requests);
        std::printf("| %s | %s | %.0f | %.1f | %.1f | %.1f | %.2f | %.2f | "
                    "%.0f |\n",
                    name, c == 0 ? "interactive" : "batch", all / seconds,
                    r.percentile_ms(0.5), r.percentile_ms(0.99),
                    r.percentile_ms(0.999),
                    100.0 * static_cast<double>(r.failed) / all,
                    100.0 * static_cast<double>(r.within_target) / all,
                    static_cast<double>(r.within_target) / seconds);
    }
}

void compare(const char* title, const model_parameters& parameters,
             std::uint64_t seed)
{
    std::printf("\n%s\n\n", title);
    std::printf("| policy | class | requests/s | p50 ms | p99 ms | p99.9 ms | "
                "refused or failed %% | within target %% | within target/s |\n"
                "|---|---|---|---|---|---|---|---|---|\n");
    print<standard_request_policy>("request core", parameters, seed);
    print<round_robin_policy>("round robin", parameters, seed);
    print<least_in_flight_policy>("least in flight", parameters, seed);
    std::fflush(stdout);
}

} // namespace

// The optional argument is the seed.
int main(int argc, char** argv)
{
    const std::uint64_t seed =
        argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    model_parameters parameters;
    compare("no fault, 50% load, 3 daemons", parameters, seed);
    parameters.slow_instances = 1;
    compare("one instance ten times slower, 50% load, 3 daemons", parameters,
            seed);
    parameters.slow_instances = 0;
    parameters.failing_instances = 5;
    compare("10% of the instances fail immediately, 50% load, 3 daemons",
            parameters, seed);
    // With more slots than workers, an instance that many daemons choose at the
    // same time has to queue requests.
    model_parameters eight;
    eight.daemons = 8;
    eight.slots = 16;
    eight.workers = 4;
    eight.load = 0.7;
    compare("no fault, 70% load, 8 daemons, 16 slots, 4 workers", eight, seed);
    eight.slow_instances = 1;
    compare("one instance ten times slower, 70% load, 8 daemons, 16 slots, 4 "
            "workers",
            eight, seed);
    model_parameters overload;
    overload.load = 2.0;
    overload.batch_share = 0.6;
    compare("twice the capacity (20,000/s), 60% batch, 3 daemons", overload,
            seed);
    overload.batch_share = 0.0;
    compare("twice the capacity, all interactive, 3 daemons", overload, seed);
}
