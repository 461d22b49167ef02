// Limits that single classes enforce: retry budget, link, queue, floors and
// loans, ejection.
#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/request.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

time_point at(duration d)
{
    return time_point(d);
}

request_rule make_rule(const char* id, duration target, bool is_batch = false)
{
    request_rule r;
    r.work_class = class_id(id);
    r.target = target;
    r.is_batch = is_batch;
    return r;
}

member make_member(const std::string& id, member_kind kind)
{
    member m;
    m.id = id;
    m.kind = kind;
    m.zone = availability_zone_id("zone");
    m.region = region_id("region");
    m.service = service_id(kind == member_kind::endpoint ? "orders" : "");
    m.slots = 8;
    m.connections = 64;
    return m;
}

membership_list make_list(std::size_t entry_vms, std::size_t instances)
{
    membership_list l;
    for (std::size_t i = 0; i < entry_vms; ++i)
    {
        l.members.push_back(
            make_member("entry-" + std::to_string(i), member_kind::entry_vm));
    }
    for (std::size_t i = 0; i < instances; ++i)
    {
        l.members.push_back(make_member("instance-" + std::to_string(i),
                                        member_kind::endpoint));
    }
    return l;
}

endpoint_directory make_directory(std::size_t entry_vms, std::size_t instances)
{
    endpoint_directory d(vm_id("entry-0"), availability_zone_id("zone"),
                         region_id("region"), 0.75);
    d.apply(make_list(entry_vms, instances), at(0s));
    return d;
}

} // namespace

// Guards against exceeding the retry budget after an idle period or while the
// clock does not advance.
RC_GTEST_PROP(retry_budget, retries_stay_within_budget,
              (const std::vector<std::uint16_t>& steps))
{
    retry_budget budget(0.1, 3.0);
    double retries = 0.0;
    double requests = 0.0;
    time_point now{};
    for (const std::uint16_t step : steps)
    {
        now += std::chrono::milliseconds(step % 300);
        if (step % 2 == 0)
        {
            budget.count_request();
            requests += 1.0;
        }
        else if (budget.has_room(now))
        {
            budget.take();
            retries += 1.0;
        }
        const double seconds =
            std::chrono::duration<double>(now.time_since_epoch()).count();
        RC_ASSERT(retries <= 1.001 + 0.1 * requests + 3.0 * seconds);
    }
}

// Guards against requests that use more of the link than this daemon's share.
RC_GTEST_PROP(link_bucket, requests_stay_within_the_share,
              (const std::vector<std::uint16_t>& steps, bool is_batch))
{
    link_bucket link;
    link.set_rate(30'000'000, 3); // 1,000,000 bytes a second
    double sent = 0.0;
    time_point now{};
    for (const std::uint16_t step : steps)
    {
        now += std::chrono::microseconds(step);
        if (link.has_room(is_batch, now))
        {
            link.use(step, now);
            sent += step;
        }
        const double seconds =
            std::chrono::duration<double>(now.time_since_epoch()).count();
        // The burst is a quarter of a second and one request.
        RC_ASSERT(sent <= 1e6 * (seconds + 0.25) + 65'535.0);
    }
}

// Guards against requests that compete with control traffic, and against a body
// larger than the bucket that never passes.
TEST(link_bucket, control_traffic_has_priority)
{
    link_bucket link;
    link.set_rate(30'000'000, 3);
    EXPECT_TRUE(link.has_room(true, at(0s)));
    link.use(150'000, at(0s));
    EXPECT_FALSE(link.has_room(true, at(0s)));
    EXPECT_TRUE(link.has_room(false, at(0s)));
    link.use(2'000'000, at(0s));
    EXPECT_FALSE(link.has_room(false, at(1800ms)));
    EXPECT_TRUE(link.has_room(false, at(2s)));
}

// Guards against interactive requests that wait behind batch requests or are
// refused before them.
TEST(admission_queue, batch_requests_start_last_and_are_shed_first)
{
    const request_rule quick = make_rule("quick", 200ms);
    const request_rule slow = make_rule("slow", 2s);
    const request_rule batch = make_rule("batch", 1s, true);
    admission_queue q;
    q.push(batch, {at(1ms), request_id(1)});
    q.push(slow, {at(30ms), request_id(2)});
    q.push(slow, {at(500ms), request_id(3)});
    q.push(quick, {at(50ms), request_id(4)});
    const auto queues = q.ready_queues();
    ASSERT_EQ(queues.size(), 3U);
    EXPECT_EQ(queues[0]->work_class, slow.work_class);
    EXPECT_EQ(queues[2]->work_class, batch.work_class);
    EXPECT_EQ(q.count_ahead(quick, at(60ms)), 2U);
    EXPECT_EQ(q.count_ahead(batch, at(60ms)), 4U);
    // Only request 2 would start before the new one.
    EXPECT_EQ(q.shed_lower_priority(quick, at(60ms)), request_id(2));
    EXPECT_EQ(q.shed_lower_priority(quick, at(60ms)), std::nullopt);
    EXPECT_EQ(q.shed_lower_priority(quick, std::nullopt), request_id(1));
    EXPECT_EQ(q.shed_lower_priority(batch, std::nullopt), std::nullopt);
    EXPECT_EQ(q.size(), 2U);
}

// Guards against lending more slots than the pool when grants and requests are
// lost, delayed or reordered.
RC_GTEST_PROP(slot_share, borrowers_never_use_more_than_the_pool,
              (const std::vector<std::uint32_t>& steps))
{
    const slot_allocation allocation{2, 6, vm_id("entry-0")};
    slot_share coordinator;
    coordinator.set_allocation(allocation, at(0s));
    std::array<slot_share, 3> borrowers;
    for (slot_share& b : borrowers)
    {
        b.set_allocation(allocation, at(0s));
    }
    std::vector<std::pair<std::size_t, slot_request>> asked;
    std::vector<std::pair<std::size_t, slot_grant>> granted;
    std::uint64_t number = 0;
    time_point now = at(10s);
    for (const std::uint32_t step : steps)
    {
        now += std::chrono::milliseconds(step % 700);
        const std::size_t who = (step / 7) % borrowers.size();
        const std::uint32_t wanted = (step / 31) % 8;
        switch ((step / 1000) % 3)
        {
        case 0:
            if (wanted == 0)
            {
                borrowers[who].relinquish(++number);
            }
            else
            {
                borrowers[who].add_pending_request(++number, now);
            }
            asked.push_back({who, {number, instance_id("i"), wanted}});
            break;
        case 1:
            if (!asked.empty())
            {
                const auto pick = asked.begin() + static_cast<std::ptrdiff_t>(
                                                      step % asked.size());
                const vm_id name("entry-" + std::to_string(pick->first));
                granted.emplace_back(pick->first,
                                     coordinator.lend(name, pick->second, now));
                asked.erase(pick);
            }
            break;
        default:
            if (!granted.empty())
            {
                const auto pick = granted.begin() + static_cast<std::ptrdiff_t>(
                                                        step % granted.size());
                borrowers[pick->first].accept_grant(pick->second);
                granted.erase(pick);
            }
        }
        const std::uint32_t used =
            std::accumulate(borrowers.begin(), borrowers.end(), 0U,
                            [&](std::uint32_t sum, const slot_share& b) {
                                return sum + b.loan(now);
                            });
        RC_ASSERT(used <= allocation.pool);
    }
}

// Guards against a new coordinator that lends slots that are still lent by the
// previous one.
TEST(slot_share, new_coordinator_waits_for_old_loans)
{
    slot_share s;
    s.set_allocation({2, 2, vm_id("entry-0")}, at(10s));
    const slot_request request{1, instance_id("i"), 2};
    EXPECT_EQ(s.lend(vm_id("entry-1"), request, at(14s)).granted, 0U);
    EXPECT_EQ(s.lend(vm_id("entry-1"), request, at(14200ms)).granted, 2U);
}

// Guards against floors that exceed the slots, and against daemons that derive
// different coordinators from the same list.
TEST(endpoint_directory, floors_and_coordinator_follow_the_list)
{
    for (const std::size_t n : {1U, 2U, 3U, 4U, 6U, 8U})
    {
        const endpoint_directory d = make_directory(n, 5);
        const endpoint_directory other = [&] {
            endpoint_directory o(vm_id("entry-1"), availability_zone_id("far"),
                                 region_id("region"), 0.75);
            o.apply(make_list(n, 5), at(0s));
            return o;
        }();
        for (instance_index i = 0; i < 5; ++i)
        {
            const slot_allocation& allocation = d.at(i).share.allocation();
            EXPECT_GE(allocation.floor, 1U);
            EXPECT_EQ(allocation.floor * n + allocation.pool, 8U);
            EXPECT_EQ(other.at(i).share.allocation().coordinator,
                      allocation.coordinator);
            EXPECT_EQ(other.at(i).share.allocation().floor, 0U);
        }
    }
}

// Guards against new requests to an instance whose entry is malformed, against
// the end of its requests in flight, and against forgetting that it announced
// its stop.
TEST(endpoint_directory, instance_with_a_malformed_entry_gets_nothing_new)
{
    endpoint_directory d = make_directory(2, 3);
    d.add_in_flight(0, request_id(1), at(0s));
    d.at(0).announced_leaving = at(0s);
    membership_list list = make_list(2, 3);
    for (member& m : list.members)
    {
        if (m.id == "instance-0" || m.id == "instance-1")
        {
            m.state = member_state::unusable;
        }
    }
    d.apply(list, at(1s));
    EXPECT_TRUE(d.at(0).is_leaving());
    EXPECT_TRUE(d.at(1).is_leaving());
    EXPECT_FALSE(d.at(2).is_leaving());
    EXPECT_EQ(d.at(0).in_flight.size(), 1U);
    d.apply(make_list(2, 3), at(2s));
    EXPECT_TRUE(d.at(0).is_leaving());
    EXPECT_FALSE(d.at(1).is_leaving());
}

// Guards against ejecting all instances of a service when all of them fail.
RC_GTEST_PROP(ejector, at_most_half_of_the_instances_are_ejected,
              (const std::vector<std::uint8_t>& failing))
{
    endpoint_directory d = make_directory(1, 7);
    ejector e(d, true);
    time_point now{};
    for (const std::uint8_t f : failing)
    {
        now += 50ms;
        const instance_index i = f % 7;
        f % 3 == 0 ? e.record_refusal(i, now) : e.record_failure(i, now);
        if (f % 11 == 0)
        {
            e.on_probe_result(i, f % 2 == 0, now);
        }
        std::size_t ejected = 0;
        for (instance_index j = 0; j < 7; ++j)
        {
            ejected += d.at(j).health.is_ejected() ? 1 : 0;
        }
        RC_ASSERT(ejected <= 3U);
    }
}

// Guards against a much slower instance that stays in routing, and against an
// ejected instance that is never reinstated.
TEST(ejector, slow_instance_is_ejected_and_probed)
{
    endpoint_directory d = make_directory(1, 4);
    ejector e(d, true);
    for (int round = 0; round < 6; ++round)
    {
        for (instance_index i = 0; i < 4; ++i)
        {
            e.record_response(i, i == 2 ? 200ms : 20ms, at(0s));
        }
    }
    EXPECT_TRUE(e.run(at(1s)).empty());
    EXPECT_TRUE(d.at(2).health.is_ejected());
    EXPECT_FALSE(d.at(1).health.is_ejected());
    EXPECT_EQ(e.run(at(2100ms)), std::vector<instance_index>{2});
    e.on_probe_result(2, true, at(2200ms));
    EXPECT_FALSE(d.at(2).health.is_ejected());
}

// Guards against an instance that gets no requests any more, and so no faster
// response, after one response that was slow by chance.
TEST(router, instance_gets_requests_again_after_one_slow_response)
{
    endpoint_directory d = make_directory(1, 3);
    ejector e(d, true);
    router<standard_request_policy> r(1);
    request_rule rule;
    const service_index service = d.at(0).service;
    const auto requests_to_first = [&](time_point from, time_point until) {
        int count = 0;
        for (time_point now = from; now < until; now += 10ms)
        {
            const auto i = r.choose(d, service, rule, false, {}, now).value();
            count += i == 0 ? 1 : 0;
            e.record_response(i, 1ms, now);
        }
        return count;
    };
    e.record_response(0, 9ms, at(1s));
    e.record_response(1, 1ms, at(1s));
    e.record_response(2, 1ms, at(1s));
    EXPECT_EQ(requests_to_first(at(1s), at(3s)), 0);
    EXPECT_GT(requests_to_first(at(3s), at(13s)), 200);
}

// Guards against stored responses that change when they are encoded and
// decoded.
RC_GTEST_PROP(claim_row, serialization_preserves_every_byte,
              (const std::string& body, const std::string& value,
               bool finished))
{
    claim_row row;
    row.claim = commit_id("vm/1/request/7");
    row.commit = commit_id("vm/1/request-result/9");
    row.fingerprint = "42";
    row.finished = finished;
    row.response = stored_response{201, {{"Content-Type", value}}, body};
    const auto parsed = parse_claim_row(to_text(row));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed->response == row.response);
    RC_ASSERT(parsed->claim == row.claim);
    RC_ASSERT(parsed->finished == finished);
    RC_ASSERT(!parse_claim_row(body + "{").has_value());
}
