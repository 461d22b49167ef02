// Guards against a membership list that is decoded wrongly or in part: VMs that
// are missing in it count as removed, so malformed entries must be reported.
#include <limits>
#include <set>

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

// Fetches the list from a server that responds with `body`.
result<received_membership> fetch_body(const std::string& body)
{
    http_server server(0, [&](const http_request&, const http_exchange& e) {
        e.answer({200, body});
    });
    membership_client client("http://" + server.address(), short_limits());
    return await<result<received_membership>>(
        [&](auto done) { client.fetch(done); });
}

// A list with `odd` between two sound entries.
std::string list_around(const json::value& odd)
{
    return json::serialize(json::object{
        {"version", 1},
        {"vms", {entry("entry-1", "entry"), odd, entry("w-1", "worker")}}});
}

// The sound entry with one member replaced, or removed by null.
json::object changed(const char* member, const json::value& value)
{
    auto out = entry("odd-1", "worker");
    out[member] = value;
    return out;
}

// Checks that both sound entries hold and the one between them is reported.
void expect_reported(const json::value& odd, const std::string& id,
                     const std::string& fault)
{
    const auto list = fetch_body(list_around(odd));
    ASSERT_TRUE(is_ok(list)) << odd << error_of(list).message;
    const auto& [version, members, malformed] = value_of(list);
    ASSERT_EQ(members.size(), 2U) << odd;
    EXPECT_EQ(members[0].index, 0U);
    EXPECT_EQ(members[0].vm.id, "entry-1");
    EXPECT_EQ(members[1].index, 2U);
    EXPECT_EQ(members[1].vm.id, "w-1");
    ASSERT_EQ(malformed.size(), 1U) << odd;
    EXPECT_EQ(malformed[0].index, 1U);
    EXPECT_EQ(malformed[0].id, id) << odd;
    EXPECT_THAT(malformed[0].fault, testing::HasSubstr(fault)) << odd;
    EXPECT_LE(malformed[0].fault.size(), 200U);
}

} // namespace

// Failure: fields of a member are swapped or lost in decoding.
TEST_F(membership_test, members_are_decoded_as_listed)
{
    standin.change_membership(
        {{"vms", {entry("entry-1", "entry"), entry("w-1", "worker")}}});
    const auto list = fetch();
    ASSERT_TRUE(is_ok(list));
    ASSERT_EQ(value_of(list).members.size(), 2U);
    EXPECT_TRUE(value_of(list).malformed.empty());
    const std::vector<member> members{value_of(list).members[0].vm,
                                      value_of(list).members[1].vm};
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
    const std::string members = json::serialize(
        json::array{entry("entry-1", "entry"), entry("w-1", "worker")});
    for (const std::string& body :
         {std::string(), std::string("{}"), std::string("[]"), members,
          std::string(R"({"version": 1})"),
          std::string(R"({"version": 1, "vms": {}})"),
          std::string(R"({"version": 1, "vms": null})"),
          std::string(R"({"version": -1, "vms": []})"),
          R"({"vms": )" + members + "}",
          R"({"version": "1", "vms": )" + members,
          R"({"version": 1, "vms": )" + members,
          R"({"version": 1, "vms": )" + members + "} x"})
    {
        const auto list = fetch_body(body);
        ASSERT_FALSE(is_ok(list)) << body;
        EXPECT_THAT(
            error_of(list).message,
            testing::StartsWith("membership sent a malformed response"));
    }
}

// Failure: one malformed entry takes down the rest of the list, or is left out
// of the list without a trace.
TEST_F(membership_test, malformed_entries_are_reported_beside_the_others)
{
    expect_reported(changed("kind", "?"), "odd-1", "kind");
    expect_reported(changed("kind", 7), "odd-1", "kind");
    expect_reported(changed("state", "asleep"), "odd-1", "state");
    for (const auto* name : {"kind", "state", "zone", "region", "address"})
    {
        expect_reported(changed(name, nullptr), "odd-1", name);
        expect_reported(changed(name, json::array{1}), "odd-1", name);
    }
    expect_reported(changed("slots", -1), "odd-1", "slots");
    expect_reported(changed("memory_mb", "much"), "odd-1", "memory_mb");
    expect_reported(changed("rack", 1.5), "odd-1", "rack");
}

// Failure: a number beyond all bounds is cut to its lower bits (2^32 + 8 slots
// counted as 8) or overflows the sums over all VMs.
TEST_F(membership_test, numbers_out_of_range_are_reported)
{
    for (const auto* name : {"slots", "connections", "processors_milli",
                             "memory_mb", "accelerators"})
    {
        for (const json::value& number :
             {json::value(-1), json::value((std::int64_t{1} << 32U) + 8),
              json::value(std::int64_t{1} << 53U),
              json::value(std::numeric_limits<std::int64_t>::max()),
              json::value(std::numeric_limits<std::uint64_t>::max()),
              json::value(1e300), json::value(1.5), json::value("8")})
        {
            expect_reported(changed(name, number), "odd-1", name);
        }
    }
}

// Failure: a worker without a size or an endpoint without slots is used as one
// with the least size.
TEST_F(membership_test, members_without_a_size_are_reported)
{
    for (const auto* name : {"processors_milli", "memory_mb"})
    {
        expect_reported(changed(name, nullptr), "odd-1", name);
        expect_reported(changed(name, 0), "odd-1", name);
    }
    for (const auto* name : {"service", "slots"})
    {
        auto endpoint = changed(name, nullptr);
        endpoint["kind"] = "endpoint";
        expect_reported(endpoint, "odd-1", name);
    }
}

// Failure: a VM whose address cannot be reached as written is used: each call
// to it fails at once, and its capacity counts in the sums.
TEST_F(membership_test, unreachable_addresses_are_reported)
{
    for (const auto* address :
         {"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:-1",
          "10.0.0.1:80x", "10.0.0.1:", ":80", "somewhere:80", "10.0.0:80",
          "0.0.0.0:80", "10.0.0.1:80:80", " 10.0.0.1:80"})
    {
        expect_reported(changed("address", address), "odd-1", "address");
    }
    auto endpoint = changed("address", "10.0.0.1:80/path");
    endpoint["kind"] = "endpoint";
    expect_reported(endpoint, "odd-1", "address");
    const auto worker =
        fetch_body(list_around(changed("address", "10.0.0.1:80/worker/odd-1")));
    EXPECT_EQ(value_of(worker).members.size(), 3U);
}

// Failure: names that are empty, endless or not UTF-8 reach rows and logs.
TEST_F(membership_test, unreadable_names_are_reported)
{
    for (const auto* name : {"zone", "region"})
    {
        expect_reported(changed(name, ""), "odd-1", name);
    }
    for (const auto* name : {"zone", "region", "rack", "service"})
    {
        expect_reported(changed(name, json::string(201, 'n')), "odd-1", name);
        expect_reported(changed(name, "\xff"), "odd-1", name);
    }
    expect_reported(changed("id", "\xff"), "", "id");
}

// Failure: an entry that does not say which VM it names counts as one of no VM,
// or takes down the rest of the list.
TEST_F(membership_test, entries_without_a_readable_id_are_reported)
{
    for (const json::value& id :
         {json::value(nullptr), json::value(""), json::value(5),
          json::value(json::array{}), json::value(std::string(201, 'i'))})
    {
        expect_reported(changed("id", id), "", "id");
    }
    expect_reported(json::object(), "", "id");
    for (const json::value& odd :
         {json::value(nullptr), json::value(5), json::value("odd-1"),
          json::value(json::array{json::object()})})
    {
        expect_reported(odd, "", "object");
    }
}

// Failure: an entry without a readable id that stands looks like a new one, or
// a new one like the one that stood.
TEST_F(membership_test, entries_without_a_readable_id_are_told_apart)
{
    const auto content = [&](const json::value& odd) {
        const auto list = fetch_body(list_around(odd));
        return value_of(list).malformed.at(0).content;
    };
    const json::array odds{nullptr, 5, json::array{}, json::object(),
                           changed("id", nullptr)};
    std::set<std::uint64_t> contents;
    for (const json::value& odd : odds)
    {
        EXPECT_EQ(content(odd), content(odd)) << odd;
        contents.insert(content(odd));
    }
    EXPECT_EQ(contents.size(), odds.size());
}

namespace
{

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// The list of two entries with `odd`, any bytes, between them.
std::string list_around_text(const std::string& odd)
{
    const auto sound = json::serialize(entry("entry-1", "entry"));
    const auto other = json::serialize(entry("w-1", "worker"));
    return R"({"version": 1, "vms": [)" + sound + "," + odd + "," + other +
           "]}";
}

} // namespace

// Failure: an entry that nests deeply, or with bytes that are not UTF-8 or a
// number beyond all ranges, makes the whole list unreadable.
TEST_F(membership_test, unreadable_values_in_an_entry_leave_the_others)
{
    const std::string start = R"({"id": "odd-1", "kind": )";
    for (const std::string& value :
         {nested(31), nested(900), std::string("\"\xff\xfe\""),
          std::string("1e400")})
    {
        const auto list = fetch_body(list_around_text(start + value + "}"));
        ASSERT_TRUE(is_ok(list)) << value << error_of(list).message;
        EXPECT_EQ(value_of(list).members.size(), 2U);
        ASSERT_EQ(value_of(list).malformed.size(), 1U) << value;
        EXPECT_EQ(value_of(list).malformed[0].id, "odd-1");
    }
}

// Failure: an entry that nests without bound exhausts the stack.
TEST_F(membership_test, nesting_beyond_the_bound_is_an_error)
{
    EXPECT_FALSE(is_ok(fetch_body(list_around_text(nested(1001)))));
    EXPECT_FALSE(is_ok(fetch_body(list_around_text(nested(1000000)))));
}

// Failure: an old list is not reported, or is reported each second.
TEST(membership_age, old_list_is_reported_once)
{
    using std::chrono::seconds;
    const time_point start(seconds(100));
    membership_age age(start);
    const auto limit = membership_age::old_after;
    EXPECT_FALSE(age.check(start + limit));
    EXPECT_EQ(age.check(start + limit + seconds(1)),
              membership_age::change::became_old);
    EXPECT_FALSE(age.check(start + limit + seconds(2)));
    age.on_list(start + limit + seconds(3));
    EXPECT_EQ(age.check(start + limit + seconds(4)),
              membership_age::change::is_fresh_again);
    EXPECT_FALSE(age.check(start + limit + seconds(5)));
    EXPECT_EQ(age.age(start + limit + seconds(5)), seconds(2));
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
    EXPECT_EQ(call("http://" + list.members[0].vm.address + "/x").status, 200);
    const auto record = call("http://" + standin.address() + "/record");
    EXPECT_THAT(record.body.toStdString(),
                testing::HasSubstr(R"("orders-1":{"runs":1)"));
}
