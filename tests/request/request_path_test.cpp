// Single paths through the request core: table outages, planned stops, zones
// out of service, silent instances and other regions.
#include <algorithm>

#include <gtest/gtest.h>

#include "request/request.hpp"
#include "request_simulation_settings.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

// Fixture with one daemon; the test acts as the proxy.
class request_path : public testing::Test
{
protected:
    request_path()
    {
        core_.on_configuration(make_test_configuration());
        core_.on_membership(list_, now_);
        advance(5s);
    }

    static request_settings make_settings()
    {
        request_settings s;
        s.vm = vm_id("entry-0");
        s.zone = availability_zone_id("near");
        s.region = region_id("region");
        return s;
    }

    static membership_list make_list()
    {
        membership_list l;
        const auto add = [&](const char* id, member_kind kind, const char* zone,
                             const char* region) {
            member m;
            m.id = id;
            m.kind = kind;
            m.zone = availability_zone_id(zone);
            m.region = region_id(region);
            m.address = std::string(id) + ":80";
            m.service = service_id("orders");
            m.slots = 8;
            m.connections = 64;
            l.members.push_back(m);
        };
        add("entry-0", member_kind::entry_vm, "near", "region");
        add("entry-1", member_kind::entry_vm, "far", "other");
        add("instance-0", member_kind::endpoint, "near", "region");
        add("instance-1", member_kind::endpoint, "near", "region");
        add("instance-2", member_kind::endpoint, "near", "region");
        return l;
    }

    void advance(duration by)
    {
        const time_point end = now_ + by;
        while (now_ < end)
        {
            now_ = std::min(end, std::max(now_ + 1us, *core_.next_wakeup()));
            core_.on_tick(now_);
        }
    }

    void request(std::uint64_t id, const std::string& path,
                 const std::string& key = {})
    {
        request_head head;
        head.id = request_id(id);
        head.method = "POST";
        head.path = path;
        if (!key.empty())
        {
            head.key = request_key(key);
        }
        core_.on_request(head, now_);
    }

    void event(std::uint64_t id, std::uint64_t number, const attempt_event& e)
    {
        core_.on_attempt_event(request_id(id), attempt(number), e, now_);
    }

    void respond(std::uint64_t id, std::uint64_t number, unsigned status)
    {
        event(id, number, attempt_sending{});
        event(id, number, attempt_head{status});
        event(id, number, attempt_done{0, stored_response{status, {}, "body"}});
    }

    // Returns the last action of the type since the previous call.
    template <typename Action>
    std::optional<Action> last()
    {
        return last_of<Action>(core_.take_actions());
    }

    template <typename Action>
    static std::optional<Action>
    last_of(const std::vector<request_action>& actions)
    {
        std::optional<Action> found;
        for (const auto& a : actions)
        {
            if (const auto* action = std::get_if<Action>(&a))
            {
                found = *action;
            }
        }
        return found;
    }

    time_point now_{};
    membership_list list_ = make_list();
    request_core<> core_{make_settings()};
};

} // namespace

// Guards against sending a request with a key, or keeping its caller waiting,
// while the table is unreachable, and against a key that stays claimed after
// the outage.
TEST_F(request_path, table_outage_means_not_run_and_the_key_becomes_free)
{
    request(1, "/once", "k");
    const auto commit = last<send_commit>();
    ASSERT_TRUE(commit);
    core_.on_commit_outcome(commit->commit.id, commit_unknown{"down"}, now_);
    const auto again = last<send_commit>();
    ASSERT_TRUE(again);
    EXPECT_EQ(again->commit.id, commit->commit.id);
    request(9, "/once", "waits for the next commit");
    core_.on_commit_outcome(commit->commit.id, commit_unknown{"down"}, now_);
    const auto actions = core_.take_actions();
    EXPECT_EQ(last_of<respond_not_run>(actions)->status, 503U);
    EXPECT_EQ(core_.requests(), 0U);

    // The table responds again; it had applied the claim.
    const auto read = last_of<read_row>(actions);
    ASSERT_TRUE(read);
    core_.on_row(read->number,
                 std::optional(table_row{read->key, row_version(5),
                                         *commit->commit.writes[0].value}),
                 now_);
    advance(200ms);
    const auto release = last<send_commit>();
    ASSERT_TRUE(release);
    EXPECT_EQ(release->commit.writes[0].value, std::nullopt);
    core_.on_commit_outcome(release->commit.id, commit_done{{row_version()}},
                            now_);
    request(2, "/once", "k");
    EXPECT_TRUE(last<send_commit>());
}

// Guards against duplicates that run again or get a different response than the
// first request.
TEST_F(request_path, duplicate_gets_the_stored_response)
{
    request(1, "/once", "k");
    core_.on_commit_outcome(last<send_commit>()->commit.id,
                            commit_done{{row_version(1)}}, now_);
    request(2, "/once", "k");
    EXPECT_EQ(last<respond_unknown>()->status, 409U);
    respond(1, 1, 201);
    request(3, "/once", "k");
    EXPECT_EQ(last<respond_stored>()->response.status, 201U);
    request(4, "/once/other", "k");
    EXPECT_EQ(last<respond_not_run>()->status, 409U);
}

// Guards against losing the response of a claimed request whose caller
// disconnected; duplicates need it.
TEST_F(request_path, claimed_request_continues_after_caller_disconnects)
{
    request(1, "/once", "k");
    core_.on_commit_outcome(last<send_commit>()->commit.id,
                            commit_done{{row_version(1)}}, now_);
    event(1, 1, attempt_sending{});
    core_.on_caller_gone(request_id(1), now_);
    EXPECT_FALSE(last<abandon_attempt>());
    event(1, 1, attempt_head{201});
    EXPECT_FALSE(last<forward_response>());
    event(1, 1, attempt_done{0, stored_response{201, {}, "body"}});
    request(2, "/once", "k");
    EXPECT_EQ(last<respond_stored>()->response.body, "body");
}

// Guards against a planned stop that interrupts a request or never completes.
TEST_F(request_path, drain_ends_after_the_last_request)
{
    request(1, "/any");
    core_.start_drain(now_);
    advance(500ms);
    EXPECT_FALSE(core_.is_drained());
    EXPECT_FALSE(last<abandon_attempt>());
    respond(1, 1, 200);
    EXPECT_TRUE(core_.is_drained());
}

// Guards against requests to a zone that operators took out of service.
TEST_F(request_path, zone_out_of_service_gets_no_new_requests)
{
    configuration c = make_test_configuration();
    c.zones_out = {availability_zone_id("near")};
    core_.on_configuration(c);
    request(1, "/any");
    EXPECT_EQ(last<respond_not_run>()->status, 503U);
}

// Guards against an idempotent request that waits on a silent connection until
// its timeout, and against resending a non-idempotent one.
TEST_F(request_path, silent_connection_is_replaced_after_successful_probe)
{
    for (std::uint64_t id = 1; id <= 50; ++id)
    {
        request(id, "/any");
        advance(10ms);
        respond(id, 1, 200);
    }
    for (const char* path : {"/any", "/once"})
    {
        const std::uint64_t id = path[1] == 'a' ? 100 : 101;
        request(id, path);
        const auto first = last<start_attempt>();
        event(id, 1, attempt_sending{});
        advance(500ms);
        const auto probe = last<probe_instance>();
        ASSERT_TRUE(probe);
        EXPECT_EQ(probe->instance, first->instance);
        core_.on_probe_result(probe->instance, true, now_);
        const auto second = last<start_attempt>();
        EXPECT_EQ(second.has_value(), id == 100);
        EXPECT_TRUE(!second || second->instance != first->instance);
    }
}

// Guards against a request that crashes endpoints and is sent to one after
// another, and against an answer that hides that it was at work.
TEST_F(request_path, request_that_crashes_endpoints_is_given_up)
{
    request(1, "/any");
    std::vector<instance_id> crashed;
    for (std::uint64_t number = 1; number <= request_limits::max_endpoints_lost;
         ++number)
    {
        const auto started = last<start_attempt>();
        ASSERT_TRUE(started);
        crashed.push_back(started->instance);
        event(1, number, attempt_sending{});
        advance(400ms);
        event(1, number, attempt_broken{"connection reset"});
    }
    EXPECT_NE(crashed.front(), crashed.back());
    const auto actions = core_.take_actions();
    EXPECT_FALSE(last_of<start_attempt>(actions));
    EXPECT_FALSE(last_of<respond_not_run>(actions));
    const auto response = last_of<respond_unknown>(actions);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->status, 504U);
    const auto finished = last_of<finish_request>(actions);
    ASSERT_TRUE(finished);
    EXPECT_EQ(finished->endpoints_lost, request_limits::max_endpoints_lost);
    const auto event = last_of<record_event>(actions);
    ASSERT_TRUE(event);
    EXPECT_EQ(event->event.kind, "request.unknown");
    EXPECT_EQ(event->event.text, "2 endpoints were lost while they processed "
                                 "the request: connection reset");
}

// Guards against a request that makes endpoints hang and is sent to one after
// another.
TEST_F(request_path, request_that_hangs_endpoints_is_given_up)
{
    for (std::uint64_t id = 1; id <= 50; ++id)
    {
        request(id, "/any");
        advance(10ms);
        respond(id, 1, 200);
    }
    request(100, "/any");
    for (std::uint64_t number = 1; number <= request_limits::max_endpoints_lost;
         ++number)
    {
        const auto started = last<start_attempt>();
        ASSERT_TRUE(started);
        event(100, number, attempt_sending{});
        advance(500ms);
        const auto probe = last<probe_instance>();
        ASSERT_TRUE(probe);
        EXPECT_EQ(probe->instance, started->instance);
        core_.on_probe_result(probe->instance, false, now_);
    }
    EXPECT_FALSE(last<start_attempt>());
}

// Guards against giving up a request for endpoints that crashed before they
// received any of it.
TEST_F(request_path, unsent_attempts_count_no_lost_endpoints)
{
    request(1, "/any");
    for (std::uint64_t number = 1; number <= request_limits::max_endpoints_lost;
         ++number)
    {
        ASSERT_TRUE(last<start_attempt>());
        advance(400ms);
        event(1, number, attempt_failed_unsent{"connection refused"});
    }
    EXPECT_TRUE(last<start_attempt>());
}

// Guards against a request that waits for a connection that is never
// established.
TEST_F(request_path, hanging_connection_is_replaced)
{
    request(1, "/once");
    const auto first = last<start_attempt>();
    advance(1100ms);
    const auto second = last<start_attempt>();
    ASSERT_TRUE(second);
    EXPECT_EQ(second->number, attempt(2));
    EXPECT_NE(second->instance, first->instance);
}

// Guards against sending a class that must stay in its region to another one,
// and against using slots in another region that were not borrowed.
TEST_F(request_path, other_regions_serve_only_classes_that_may_cross)
{
    for (member& m : list_.members)
    {
        if (m.kind == member_kind::endpoint)
        {
            m.zone = availability_zone_id("far");
            m.region = region_id("other");
        }
    }
    core_.on_membership(list_, now_);
    request(1, "/any");
    EXPECT_EQ(last<respond_not_run>()->status, 503U);
    request(2, "/later");
    advance(300ms);
    const auto message = last<send_to_peer>();
    ASSERT_TRUE(message);
    EXPECT_EQ(message->to, vm_id("entry-1"));
    const auto borrow_request = std::get<slot_request>(message->body);
    core_.on_peer(
        vm_id("entry-1"),
        slot_grant{borrow_request.number, borrow_request.instance, 1, 2s},
        now_);
    EXPECT_EQ(last<start_attempt>()->instance, borrow_request.instance);
    request(3, "/later");
    EXPECT_FALSE(last<start_attempt>());
}
