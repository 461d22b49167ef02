// JSON encoding of operator messages: round trips, and error reports that list
// all mistakes of a request at once.
#include <algorithm>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "operators/operators.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;
using testing::HasSubstr;

namespace
{

const std::string declaration_text = "[[zone]]\nid = \"zone-a\"\n"
                                     "region = \"region-1\"\n"
                                     "[[class]]\nid = \"report\"\n"
                                     "kind = \"batch\"\ntarget = \"6 h\"\n";

// Parses the output of to_http() as the server does.
std::variant<operator_request, request_refusal>
parse_request(const operator_http_request& http)
{
    const auto query = http.target.find("?limit=");
    const std::string limit =
        query == std::string::npos ? "" : http.target.substr(query + 7);
    return read_request(http.method, http.target.substr(0, query), limit,
                        http.body);
}

void expect_round_trip(const operator_request& request)
{
    const auto first = to_http(request);
    const auto back = parse_request(first);
    const auto* const read = std::get_if<operator_request>(&back);
    ASSERT_NE(read, nullptr) << first.target << ' ' << first.body;
    EXPECT_EQ(read->index(), request.index());
    const auto second = to_http(*read);
    EXPECT_EQ(second.method, first.method);
    EXPECT_EQ(second.target, first.target);
    EXPECT_EQ(second.body, first.body);
}

// Serializes, parses and serializes a reply again; both texts must be equal.
void expect_round_trip(const operator_request& request,
                       const operator_reply& reply)
{
    const auto first = to_http(reply);
    const auto response = read_reply(request, first.status, first.body);
    ASSERT_EQ(response.reply.index(), reply.index()) << first.body;
    EXPECT_EQ(to_http(response.reply).body, first.body);
}

configuration_change sample_change()
{
    configuration_change change;
    change.id = "change-1";
    change.based_on = configuration_version(7);
    change.author = "ana";
    change.text = declaration_text;
    change.zones_out = {availability_zone_id("zone-a")};
    return change;
}

daemon_status sample_status()
{
    daemon_status s;
    s.vm = vm_id("entry-1");
    s.zone = availability_zone_id("zone-a");
    s.version = configuration_version(7);
    s.configuration_age = 1500us;
    s.classes = {{class_id("report"), class_kind::batch, 6h, 0.99, 90min, false,
                  "not enough capacity"},
                 {class_id("receipt"), class_kind::latency_critical, 800ms,
                  0.999, std::nullopt, true, ""}};
    s.shards = {{{availability_zone_id("zone-a"), 3},
                 vm_id("entry-1"),
                 epoch(9),
                 {{1000}, {2000}, {1}},
                 8,
                 1,
                 20,
                 3}};
    s.peers = {{vm_id("entry-2"), availability_zone_id("zone-b"), true, 250ms,
                "127.0.0.1:8091"}};
    return s;
}

} // namespace

TEST(operator_json, requests_round_trip_over_http)
{
    job_submission job{job_id("job-1"),      team_id("billing"),
                       class_id("report"),   12,
                       {{500}, {1024}, {1}}, 90s,
                       "payload \"\n"};
    expect_round_trip(job);
    expect_round_trip(job_query{job_id("job-1")});
    expect_round_trip(job_cancellation{job_id("job-1")});
    expect_round_trip(sample_change());
    expect_round_trip(configuration_query{});
    expect_round_trip(history_query{5});
    expect_round_trip(confirmations_query{});
    expect_round_trip(status_query{});
}

TEST(operator_json, replies_round_trip_over_http)
{
    expect_round_trip(job_submission{}, submission_accepted{job_id("job-1")});
    expect_round_trip(job_query{},
                      job_status{job_id("job-1"),
                                 {{"running", 3}, {"waiting", 2}},
                                 "quota of team billing",
                                 {{availability_zone_id("zone-a"), 1}},
                                 4});
    for (const auto outcome :
         {cancel_outcome::never_ran, cancel_outcome::was_stopped,
          cancel_outcome::unknown_yet, cancel_outcome::already_finished})
    {
        expect_round_trip(job_cancellation{},
                          cancellation_recorded{job_id("job-1"), outcome});
    }
    expect_round_trip(sample_change(),
                      change_accepted{configuration_version(8)});
    expect_round_trip(sample_change(),
                      change_lost_race{configuration_version(8), "ben"});
    configuration c;
    c.version = configuration_version(8);
    c.text = declaration_text;
    c.zones_out = {availability_zone_id("zone-a")};
    c.author = "ana";
    c.accepted_at_unix_ms = 1'700'000'000'123;
    expect_round_trip(configuration_query{}, c);
    expect_round_trip(history_query{},
                      std::vector<history_entry>{
                          {c.version, "ana", c.accepted_at_unix_ms, {}}});
    expect_round_trip(confirmations_query{},
                      std::vector<daemon_confirmation>{
                          {vm_id("entry-1"), availability_zone_id("zone-a"),
                           true, c.version, 1300us, c.accepted_at_unix_ms}});
    expect_round_trip(status_query{}, sample_status());
}

TEST(operator_json, errors_keep_their_code)
{
    for (const auto code :
         {error_code::invalid_input, error_code::not_found,
          error_code::conflict, error_code::unavailable, error_code::timeout,
          error_code::outcome_unknown, error_code::permission_denied,
          error_code::overloaded})
    {
        expect_round_trip(job_query{}, error{code, "why"});
    }
}

// Failure: only the first mistake of a request is reported, so that its sender
// has to correct and resend it once per mistake.
TEST(operator_json, all_mistakes_are_reported_at_once)
{
    const auto read = read_request(
        "POST", "/v1/jobs", "",
        R"({"id": "a/b", "team": 5, "class": "report", "tasks": 0})");
    const auto& refusal = std::get<request_refusal>(read);
    EXPECT_EQ(refusal.status, 400);
    EXPECT_EQ(refusal.found.size(), 3U);
}

TEST(operator_json, an_invalid_declaration_is_refused_with_source_locations)
{
    auto change = sample_change();
    change.text += "[link]\nmegabits = 3\n";
    change.zones_out.emplace_back("zone-z");
    const auto read = parse_request(to_http(change));
    const auto http = to_http(std::get<request_refusal>(read));
    EXPECT_EQ(http.status, 400);
    EXPECT_THAT(http.body, HasSubstr(R"("file":"declaration","line":9,)"
                                     R"("column":1)"));
    const auto response = read_reply(change, http.status, http.body);
    EXPECT_EQ(std::get<error>(response.reply).code, error_code::invalid_input);
    ASSERT_EQ(response.found.size(), 1U);
    EXPECT_EQ(response.found.at(0).place.line, 9U);
}

// Failure: a misspelt zone name is accepted, and no zone is taken out of
// service.
TEST(operator_json, an_undeclared_zone_cannot_be_taken_out)
{
    auto change = sample_change();
    change.zones_out.emplace_back("zone-z");
    const auto read = parse_request(to_http(change));
    const auto& refusal = std::get<request_refusal>(read);
    ASSERT_EQ(refusal.found.size(), 1U);
    EXPECT_THAT(refusal.found.at(0).message, HasSubstr("'zone-z'"));
}

TEST(operator_json, unknown_paths_and_methods_are_refused)
{
    const auto status = [](const char* method, const char* path) {
        return std::get<request_refusal>(read_request(method, path, "", ""))
            .status;
    };
    EXPECT_EQ(status("GET", "/v1/nothing"), 404);
    EXPECT_EQ(status("GET", "/v1/jobs/a/b"), 404);
    EXPECT_EQ(status("GET", "/v1/jobs/../config"), 404);
    EXPECT_EQ(status("POST", "/v1/status"), 405);
    EXPECT_EQ(status("other", "/v1/config"), 405);
}

// Failure: a body that is nested deeply or very long, or is no UTF-8, ends the
// daemon.
TEST(operator_json, deep_and_long_bodies_are_refused)
{
    const std::string deep = std::string(100'000, '[');
    for (const auto& body :
         {deep, R"({"id":)" + deep,
          R"({"id":)" + std::string(33, '[') + std::string(33, ']') + "}",
          R"({"id":")" + std::string(1'000'000, 'x') + R"("})",
          std::string("{\"id\":\"\xff\xfe\"}"),
          std::string(R"({"id":"a","id":5,"tasks":1e308})"),
          std::string("{\"id\":\"\0\"}", 10)})
    {
        for (const auto* const path : {"/v1/jobs", "/v1/config"})
        {
            const auto read = read_request("POST", path, "", body);
            const auto* const refusal = std::get_if<request_refusal>(&read);
            ASSERT_NE(refusal, nullptr) << body.substr(0, 60);
            EXPECT_EQ(refusal->status, 400);
        }
    }
}

// Failure: a malformed response crashes the reader, or an error response is
// taken for an accepted change.
RC_GTEST_PROP(operator_json, arbitrary_responses_do_not_crash_the_reader,
              (const std::string& bytes))
{
    const auto status = *rc::gen::element(200, 202, 400, 409, 503, 504);
    const auto body = *rc::gen::element(
        bytes, to_http(operator_reply(sample_status())).body,
        std::string(R"({"version": -1, "author": "a"})"),
        std::string(R"({"error": "conflict", "message": "m"})"));
    const auto response = read_reply(sample_change(), status, body);
    if (status != 200 && status != 202)
    {
        RC_ASSERT(!std::holds_alternative<change_accepted>(response.reply));
    }
    (void)read_reply(status_query{}, status, body);
    (void)read_timeline(body);
    (void)read_request("POST", "/v1/jobs", bytes, body);
    (void)read_request("POST", "/v1/config", bytes, body);
}

TEST(operator_json, timelines_round_trip_over_http)
{
    timeline_event event;
    event.stamp = {1'700'000'000'000'000, 3};
    event.kind = "task.start";
    event.job = "job-1";
    event.task = 4;
    event.text = "\xff";
    const auto text = to_json_text({"entry-1", 7, {event}});
    const auto read = std::get<timeline_part>(read_timeline(text));
    EXPECT_EQ(read.overwritten, 7U);
    EXPECT_EQ(read.events.at(0).stamp, event.stamp);
    EXPECT_EQ(to_json_text(read), text);
}
