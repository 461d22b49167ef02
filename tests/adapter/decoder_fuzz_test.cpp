// Guards against messages that terminate the process, exhaust its memory or
// produce numbers out of range: every decoder gets mutated copies of valid
// messages.
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "declaration_codec.hpp"
#include "job_codec.hpp"
#include "jobs/jobs.hpp"
#include "store_codec.hpp"
#include "vm_settings.hpp"
#include "worker_codec.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;

namespace
{

const std::vector<std::string> messages = {
    (R"({"spec":"x","steps":[{"count":4,"cpu":500,"mem_mb":256,)"
     R"("estimate_ms":900,"affinity":"r1-3"},{"count":20,"cpu":2000,)"
     R"("mem_mb":1024,"estimate_ms":7000,"after":[0],"target_ms":18,)"
     R"("anti_affinity":2,"may_miss":1}],"repeat_count":3,)"
     R"("first_run_ms":1700000000000,"interval_ms":500})"),
    (R"({"clock_ms":482113,"born":17,"running":[["5c0e.0.1.17",2,"ck",41,12]],)"
     R"("ended":[[58,"5c0e.0.1.9",1,"done",""]]})"),
    (R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
     R"("timeout_ms":3000,"slo_ms":300,"priority":2,"service":"s",)"
     R"("max_attempts":3,"stretch":1.5,"advice":{"decide_ms":5}}],)"
     R"("services":[{"name":"s","enforces_capacity":true}]})"),
    (R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready",)"
     R"("capacity":{"cpu":16000,"mem_mb":64000},"labels":["a","r1-3"],)"
     R"("born":1700000000000,"seq":4})"),
    (R"({"rows":[{"table":"t","part":"p","key":"k","value":"e30=","ver":5}],)"
     R"("ver":9,"more_pages":true,"now_ms":5})"),
    R"({"valid_ms":500,"good":[["i-1","ticket"]]})",
    (R"({"s":"running","b":1,"d":[[0,0,"f3"]],"o":[[0,1,"1"]],)"
     R"("h":[[0,0,9,[1,1001],"ck"]]})"),
    R"(["i-1",{"w":"i-2","r":["5c0e.0.1.9"]}])",
    (R"({"q":{"q":"r","s":"s","p":1,"a":3,"x":1.5,"o":300000},"d":"x","u":17,)"
     R"("s":[{"n":4,"p":500,"m":256,"e":900000}],"r":[3,1700000000000,500]})"),
    R"({"e":3,"c":9,"h":"vm-1","p":17,"s":0.5,"a":1})",
    R"({"17":{"t":4.5,"p":{"5":0.25}}})",
    (R"({"node_name":"a","zone":"z","zones":{"z":"r"},"listen":)"
     R"({"front":"10.1.0.13:8161","ready":"10.1.0.13:8167"},"platform":)"
     R"({"address":"10.200.1.7:8169"},"limits":{"cpu_share":0.1},"bounds":)"
     R"({"hold_max_ms":6000,"grace_s":6,"far_factor":3}})")};

// Replacements for a value.
const std::vector<std::string> odd_values = {
    "-1",   "0",    "1e308",       "-1e308",     "9223372036854775807",
    "null", "true", "\"\"",        "[]",         "{}",
    "0.5",  "[[]]", "\"\\u0000\"", "4294967296", "18446744073709551615"};

std::string replace_value(std::string text, std::size_t which,
                          const std::string& value)
{
    std::vector<std::size_t> starts;
    for (std::size_t i = 1; i < text.size(); ++i)
    {
        const bool follows =
            text[i - 1] == ':' || text[i - 1] == ',' || text[i - 1] == '[';
        if (follows)
        {
            starts.push_back(i);
        }
    }
    if (starts.empty())
    {
        return text;
    }
    const auto from = starts[which % starts.size()];
    const auto to = text.find_first_of(",]}", from);
    return text.replace(from, to == std::string::npos ? 1 : to - from, value);
}

std::string mutate(std::string text)
{
    const auto mutations = *rc::gen::inRange(0, 4);
    for (int i = 0; i < mutations && !text.empty(); ++i)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            text[at] = *rc::gen::arbitrary<char>();
            break;
        case 1:
            text.resize(at);
            break;
        default:
            text = replace_value(text, at, *rc::gen::elementOf(odd_values));
            break;
        }
    }
    return text;
}

void run_all_decoders(const std::string& text)
{
    const auto submission = decode_submission(job_id("5c0e7a21d94b36f8"), text);
    if (const auto* const accepted = std::get_if<jobs::job>(&submission))
    {
        RC_ASSERT(jobs::count_tasks(*accepted) <= jobs::max_tasks_per_job);
        const auto stored = jobs::encode_job(*accepted);
        RC_ASSERT(stored.size() <= jobs::default_row_limit);
        // The leader must be able to read what a VM has accepted.
        auto read = jobs::decode_job(accepted->id, stored);
        RC_ASSERT(read.has_value());
        jobs::live_job live(std::move(*read));
        RC_ASSERT(live.critical_path() >= duration{});
    }
    decode_report(text);
    decode_refusal(text);
    decode_advice(text);
    decode_configuration(text);
    decode_worker(worker_id("i-1"), text, {});
    decode_rows(text);
    decode_conflict(text);
    decode_committed(text);
    parse_vm_settings(text, "settings");
    jobs::decode_progress(text);
    jobs::decode_fleet(text);
    jobs::decode_lease(text);
    if (auto job = jobs::decode_job(job_id("5c0e"), text))
    {
        RC_ASSERT(jobs::count_tasks(*job) <= jobs::max_tasks_per_job);
        const jobs::live_job live(std::move(*job));
    }
    jobs::scheduler leader({}, 1);
    leader.recover_interference(text);
}

} // namespace

// Failure: a malformed message causes an exception that is not caught.
RC_GTEST_PROP(decoders, mutated_messages_do_not_throw, ())
{
    for (const auto& message : messages)
    {
        run_all_decoders(mutate(message));
    }
}

// Failure: a job with 200 million tasks exhausts the memory of each leader that
// reads it, one after another.
TEST(job_codec, jobs_beyond_the_bounds_are_refused_with_a_reason)
{
    const job_id id("5c0e7a21d94b36f8");
    const std::vector<std::string> refused = {
        R"({"steps":[{"count":20000}],"repeat_count":10000})",
        R"({"steps":[{"count":15000},{"count":15000}]})",
        R"({"steps":[{"count":1,"cpu":9223372036854775807}]})",
        R"({"steps":[{"count":1,"image":")" + std::string(60'000, 'x') +
            R"("}]})",
        R"({"spec":")" + std::string(9'000, 'x') +
            R"(","steps":[{"count":1}]})"};
    for (const auto& body : refused)
    {
        const auto read = decode_submission(id, body);
        ASSERT_TRUE(std::holds_alternative<std::string>(read))
            << body.substr(0, 80);
        EXPECT_FALSE(std::get<std::string>(read).empty());
    }
    std::string steps;
    for (int i = 0; i < 300; ++i)
    {
        steps += std::string(i == 0 ? "" : ",") + R"({"count":1})";
    }
    EXPECT_TRUE(std::holds_alternative<std::string>(
        decode_submission(id, R"({"steps":[)" + steps + "]}")));
    // Another program or an earlier version may have stored such a job.
    EXPECT_FALSE(jobs::decode_job(
        id, R"({"s":[{"n":20000}],"r":[10000,1700000000000,500]})"));
    EXPECT_FALSE(jobs::decode_job(id, R"({"s":[{"n":4294967295}]})"));
}
