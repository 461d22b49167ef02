// Guards against a membership list that is decoded wrongly or in part: VMs that
// are missing in it count as removed.
#include <gmock/gmock.h>

#include "fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::test;
using std::chrono::milliseconds;

namespace
{

namespace json = boost::json;
using membership_test = platform_fixture;

json::object entry(const char* id, const char* kind)
{
    return {{"id", id},           {"kind", kind},
            {"zone", "zone-a"},   {"region", "region-1"},
            {"rack", "rack-1"},   {"address", "127.0.0.1:1"},
            {"state", "leaving"}, {"service", "orders"},
            {"slots", 8},         {"connections", 64},
            {"memory_mb", 64000}, {"processors_milli", 16000},
            {"accelerators", 2}};
}

} // namespace

// Failure: fields of a member are swapped or lost in decoding.
TEST_F(membership_test, members_are_decoded_as_listed)
{
    standin.change_membership(
        {{"vms", {entry("entry-1", "entry"), entry("w-1", "worker")}}});
    const auto list = fetch();
    ASSERT_TRUE(is_ok(list));
    const auto& members = value_of(list).members;
    ASSERT_EQ(members.size(), 2U);
    EXPECT_EQ(members[0].id, "entry-1");
    EXPECT_EQ(members[0].kind, member_kind::entry_vm);
    EXPECT_EQ(members[0].state, member_state::leaving);
    EXPECT_EQ(members[0].zone.value(), "zone-a");
    EXPECT_EQ(members[0].region.value(), "region-1");
    EXPECT_EQ(members[0].rack.value(), "rack-1");
    EXPECT_EQ(members[0].address, "127.0.0.1:1");
    EXPECT_EQ(members[0].service.value(), "orders");
    EXPECT_EQ(members[0].slots, 8U);
    EXPECT_EQ(members[0].connections, 64U);
    EXPECT_EQ(members[0].size, (resources{{16000}, {64000}, {2}}));
    EXPECT_EQ(members[1].kind, member_kind::worker);
    EXPECT_NE(members[1].address, "127.0.0.1:1");
}

// Failure: the list shows a change before its lag has passed, or never.
TEST_F(membership_test, list_shows_changes_after_its_lag)
{
    standin.start_with_membership(
        {{"lag_ms", 60000}, {"vms", {entry("entry-1", "entry")}}});
    standin.change_membership({{"remove", {"entry-1"}}});
    EXPECT_EQ(value_of(fetch()).members.size(), 1U);
    standin.skip(milliseconds(60001));
    EXPECT_TRUE(value_of(fetch()).members.empty());
}

// Failure: an incomplete or malformed response is accepted as an empty or
// shorter list.
TEST_F(membership_test, incomplete_or_malformed_responses_are_errors)
{
    standin.change_membership({{"vms", {entry("entry-1", "entry")}}});
    using enum fault_mode;
    for (const auto mode : {down, lose_answer, truncate, pause, slow})
    {
        standin.set_fault("membership", "", {mode, 1.0, 2 * call_timeout});
        EXPECT_FALSE(is_ok(fetch())) << static_cast<int>(mode);
    }
    http_reply reply;
    http_server faulty(0, [&](const http_request&, const http_exchange& e) {
        e.answer(reply);
    });
    membership_client client("http://" + faulty.address(), short_limits());
    for (const auto* body :
         {"", "{}", "[]", R"({"version": 1})", R"({"version": 1, "vms": {}})",
          R"({"version": 1, "vms": [{}]})", R"({"version": -1, "vms": []})",
          R"({"version": 1, "vms": [{"id": "a", "kind": "?", "zone": "z",
              "region": "r", "address": "a", "state": "live"}]})"})
    {
        reply = {200, body};
        const auto list = await<result<membership_list>>(
            [&](auto done) { client.fetch(done); });
        ASSERT_FALSE(is_ok(list)) << body;
        EXPECT_THAT(error_of(list).message,
                    testing::StartsWith("membership sent a malformed answer"));
    }
}

// Failure: an endpoint in the list is not reachable, or the record does not
// count its runs.
TEST_F(membership_test, endpoints_of_the_list_are_started)
{
    standin.change_membership({{"vms", {entry("orders-1", "endpoint")}}});
    const auto list = value_of(fetch());
    ASSERT_EQ(list.members.size(), 1U);
    http_caller caller(short_limits());
    const auto call = [&](const std::string& url) {
        return await<call_response>([&](auto done) {
            ASSERT_TRUE(caller.get(QUrl(QString::fromStdString(url)), done));
        });
    };
    EXPECT_EQ(call("http://" + list.members[0].address + "/x").status, 200);
    const auto record = call("http://" + standin.address() + "/record");
    EXPECT_THAT(record.body.toStdString(),
                testing::HasSubstr(R"("orders-1":{"runs":1)"));
}
