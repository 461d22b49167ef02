// CPU time of the request core for one successful request, with 50 and 500
// instances and without sockets, and for applying one membership list.
#include <benchmark/benchmark.h>

#include "request/request.hpp"

using namespace hemlockdeal;

namespace
{

configuration make_configuration()
{
    configuration c;
    c.version = configuration_version(1);
    work_class w;
    w.id = class_id("interactive");
    w.kind = class_kind::latency_critical;
    w.target = std::chrono::milliseconds(200);
    service s;
    s.id = service_id("orders");
    s.routes = {{"/", w.id}};
    c.content.classes = {w};
    c.content.services = {s};
    return c;
}

membership_list make_list(std::size_t instances)
{
    membership_list l;
    for (std::size_t i = 0; i < instances + 3; ++i)
    {
        member m;
        m.kind = i < 3 ? member_kind::entry_vm : member_kind::endpoint;
        m.id = "vm-" + std::to_string(i);
        m.zone = availability_zone_id("zone");
        m.region = region_id("region");
        m.service = service_id(i < 3 ? "" : "orders");
        m.slots = 8;
        m.connections = 64;
        l.members.push_back(m);
    }
    return l;
}

void one_request(benchmark::State& state)
{
    request_settings settings;
    settings.vm = vm_id("vm-0");
    settings.zone = availability_zone_id("zone");
    settings.region = region_id("region");
    request_core<> core(settings);
    core.on_configuration(make_configuration());
    core.on_membership(make_list(static_cast<std::size_t>(state.range(0))),
                       time_point{});
    std::uint64_t id = 0;
    time_point now{};
    for (auto _ : state)
    {
        request_head head;
        head.id = request_id(++id);
        head.method = "GET";
        head.path = "/orders/17";
        now += std::chrono::microseconds(200);
        core.on_request(head, now);
        benchmark::DoNotOptimize(core.take_actions());
        core.on_attempt_event(head.id, attempt(1), attempt_sending{}, now);
        core.on_attempt_event(head.id, attempt(1), attempt_head{200}, now);
        benchmark::DoNotOptimize(core.take_actions());
        core.on_attempt_event(head.id, attempt(1), attempt_done{}, now);
        if (*core.next_wakeup() <= now)
        {
            core.on_tick(now);
        }
        benchmark::DoNotOptimize(core.take_actions());
    }
}

BENCHMARK(one_request)->Arg(50)->Arg(500);

void one_membership_list(benchmark::State& state)
{
    request_settings settings;
    settings.vm = vm_id("vm-0");
    settings.zone = availability_zone_id("zone");
    settings.region = region_id("region");
    request_core<> core(settings);
    core.on_configuration(make_configuration());
    const auto list = make_list(static_cast<std::size_t>(state.range(0)));
    for (auto _ : state)
    {
        core.on_membership(list, time_point{});
        benchmark::DoNotOptimize(core.take_actions());
    }
}

BENCHMARK(one_membership_list)->Arg(50)->Arg(500);

} // namespace

BENCHMARK_MAIN();
