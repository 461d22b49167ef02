// Validation of settings and declarations: each error is reported with its
// position, and one error does not hide another.
#include <algorithm>
#include <chrono>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "settings/settings.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::HasSubstr;

namespace
{

// Text of each finding, as "file:line:column: message".
template <typename Result>
std::vector<std::string> finding_texts(const Result& parsed)
{
    std::vector<std::string> lines;
    if (const auto* list = std::get_if<findings>(&parsed))
    {
        std::ranges::transform(*list, std::back_inserter(lines),
                               [](const finding& f) { return to_text(f); });
    }
    return lines;
}

const std::string valid_declaration = R"([[zone]]
id = "zone-a"
region = "region-1"

[[class]]
id = "receipt"
kind = "latency_critical"
target = "800 ms"
idempotent = false

[[service]]
id = "orders"
instances = 50
processors_milli = 2000
memory_mb = 4096
routes = [ { path_prefix = "/receipt", class = "receipt" } ]

[[team]]
id = "billing"
quota_percent = 20
)";

const std::string valid_settings = R"([vm]
id = "entry-1"
availability_zone = "zone-a"
region = "region-1"
[callers]
listen = "127.0.0.1:8080"
[operators]
listen = "127.0.0.1:8081"
token = "secret"
[peers]
listen = "127.0.0.1:8082"
public_key = "Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID"
secret_key = "D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs"
[platform]
table = "http://127.0.0.1:9000"
membership = "http://127.0.0.1:9000"
)";

std::string replace_once(std::string text, const std::string& old_part,
                         const std::string& new_part)
{
    const auto position = text.find(old_part);
    EXPECT_NE(position, std::string::npos) << old_part;
    return text.replace(position, old_part.size(), new_part);
}

} // namespace

TEST(declaration, reads_every_value)
{
    const auto parsed = parse_declaration(valid_declaration, "d.toml");
    ASSERT_THAT(finding_texts(parsed), ElementsAre());
    const auto& d = std::get<declaration>(parsed);
    EXPECT_EQ(d.zones.at(0).region, region_id("region-1"));
    EXPECT_EQ(d.classes.at(0).target, 800ms);
    EXPECT_DOUBLE_EQ(d.classes.at(0).percentile, 0.99);
    EXPECT_FALSE(d.classes.at(0).idempotent);
    EXPECT_EQ(d.services.at(0).slots, 8U);
    EXPECT_EQ(d.services.at(0).routes.at(0).work_class, class_id("receipt"));
    EXPECT_EQ(d.link.bits_per_second, 30'000'000U);
}

// Guards against validation that stops at the first error.
TEST(declaration, three_errors_give_three_findings_with_positions)
{
    auto text = replace_once(valid_declaration, "region =", "regoin =");
    text = replace_once(text, "\"800 ms\"", "800");
    text = replace_once(text, "quota_percent = 20", "quota_percent = 120.5");
    EXPECT_THAT(
        finding_texts(parse_declaration(text, "d.toml")),
        ElementsAre("d.toml:3:1: unknown key 'zone.regoin'; did you mean "
                    "'region'?",
                    "d.toml:8:10: 'class.target' is an integer, not a string",
                    "d.toml:20:17: 'team.quota_percent' is 120.5, not between "
                    "0 and 100"));
}

// Guards against a parser that reports only the first syntax error of a run.
TEST(declaration, syntax_errors_do_not_hide_other_errors)
{
    auto text = replace_once(valid_declaration, "region = ", "region == ");
    text = replace_once(text, "[[team]]", "[[team]");
    text = replace_once(text, "instances = 50", "instances = 0");
    const auto found = finding_texts(parse_declaration(text, "d.toml"));
    EXPECT_THAT(found,
                ElementsAre(HasSubstr("d.toml:3:9: syntax error"),
                            HasSubstr("d.toml:13:13: 'service.instances' is 0"),
                            HasSubstr("d.toml:18:8: syntax error")));
}

TEST(declaration, duplicate_and_unknown_names_are_reported)
{
    auto text = replace_once(valid_declaration, "class = \"receipt\"",
                             "class = \"reciept\"");
    text += "[[zone]]\nid = \"zone-a\"\nregion = \"region-2\"\n"
            "[[team]]\nid = \"billing\"\nquota_percent = 81\n";
    EXPECT_THAT(
        finding_texts(parse_declaration(text, "d.toml")),
        ElementsAre("d.toml:16:48: the route refers to the unknown class "
                    "'reciept'; did you mean 'receipt'?",
                    "d.toml:22:6: the zone 'zone-a' is declared twice",
                    "d.toml:25:6: the team 'billing' is declared twice",
                    "d.toml:26:17: the quotas of the teams up to this one "
                    "exceed 100% in total"));
}

// Guards against undefined behaviour of the TOML parser on non-ASCII characters
// and against values that are silently changed.
TEST(declaration, non_ascii_characters_are_valid_in_comments_only)
{
    const auto text = "# São Paulo \xff\n" + valid_declaration;
    EXPECT_THAT(finding_texts(parse_declaration(text, "d.toml")),
                ElementsAre());
    EXPECT_THAT(
        finding_texts(parse_declaration(
            replace_once(text, "/receipt", "/reçu") + "größe = 1\n", "d.toml")),
        ElementsAre(HasSubstr("d.toml:17:28: 'service.routes.path_"
                              "prefix' contains characters other"),
                    HasSubstr("d.toml:22:3: syntax error")));
}

TEST(declaration, empty_document_is_rejected)
{
    EXPECT_EQ(finding_texts(parse_declaration("", "d.toml")).size(), 2U);
}

TEST(settings, reads_every_value)
{
    const auto parsed = parse_settings(valid_settings, "s.toml");
    ASSERT_THAT(finding_texts(parsed), ElementsAre());
    const auto& settings = std::get<daemon_settings>(parsed);
    EXPECT_EQ(settings.operators.listen, (socket_address{"127.0.0.1", 8081}));
    EXPECT_EQ(settings.shards_per_zone, 4U);
    EXPECT_TRUE(settings.workers_fence);
    EXPECT_EQ(settings.request_buffers_mb, 256U);
    EXPECT_EQ(settings.operator_buffers_mb, 32U);
}

TEST(settings, buffers_have_bounds)
{
    const auto parsed = parse_settings(
        valid_settings + "[limits]\nrequest_buffers_mb = 64\n", "s.toml");
    ASSERT_THAT(finding_texts(parsed), ElementsAre());
    EXPECT_EQ(std::get<daemon_settings>(parsed).request_buffers_mb, 64U);
    EXPECT_THAT(finding_texts(parse_settings(
                    valid_settings + "[limits]\nrequest_buffers_mb = 3\n"
                                     "operator_buffers_mb = 4097\n",
                    "s.toml")),
                ElementsAre(HasSubstr("'limits.request_buffers_mb'"),
                            HasSubstr("'limits.operator_buffers_mb'")));
}

TEST(settings, invalid_addresses_keys_and_tables_are_reported)
{
    auto text =
        replace_once(valid_settings, "\"127.0.0.1:8080\"", "\"host:8080\"");
    text = replace_once(text, "Yne@", "Yne|");
    text =
        replace_once(text, "http://127.0.0.1:9000", "https://127.0.0.1:9000");
    text += "[shard]\nper_zone = 8\n[limits]\nworkers_fence = 1\n";
    EXPECT_THAT(
        finding_texts(parse_settings(text, "s.toml")),
        ElementsAre(HasSubstr("s.toml:6:10: 'callers.listen' is not an IP"),
                    HasSubstr("s.toml:12:14: 'peers.public_key' is not a"),
                    HasSubstr("s.toml:15:9: 'platform.table' is not a URL of"),
                    HasSubstr("s.toml:17:2: unknown key 'shard'; did you mean "
                              "'shards'?"),
                    HasSubstr("s.toml:20:17: 'limits.workers_fence' is an "
                              "integer")));
}

TEST(settings, unreadable_file_is_a_finding)
{
    EXPECT_EQ(finding_texts(load_settings("no/such/file.toml")).size(), 1U);
}

TEST(settings, durations_have_a_unit)
{
    EXPECT_EQ(parse_duration("800 ms"), duration(800ms));
    EXPECT_EQ(parse_duration("2s"), duration(2s));
    EXPECT_EQ(parse_duration("1.5 min"), duration(90s));
    EXPECT_EQ(parse_duration("6 h"), duration(6h));
    for (const char* text : {"", "800", "-1 s", "s", "1 week", "1  s", "1 s ",
                             "nan s", "inf s", "1e3 s", "99999999999 d"})
    {
        EXPECT_EQ(parse_duration(text), std::nullopt) << text;
    }
}

// Guards against samples that no longer pass validation.
TEST(samples, load_without_findings)
{
    for (const std::string name : {"deployment-a", "deployment-b"})
    {
        const std::string folder = HEMLOCKDEAL_SAMPLES "/" + name;
        EXPECT_THAT(
            finding_texts(load_declaration(folder + "/declaration.toml")),
            ElementsAre());
        EXPECT_THAT(finding_texts(load_settings(folder + "/daemon.toml")),
                    ElementsAre());
    }
}

// Guards against membership samples that disagree with the declaration or
// with the sizes on the design page.
TEST(samples, members_match_the_declaration)
{
    const std::map<std::string, std::size_t> workers = {{"deployment-a", 50},
                                                        {"deployment-b", 65}};
    for (const auto& [name, count] : workers)
    {
        const std::string folder = HEMLOCKDEAL_SAMPLES "/" + name;
        const auto d = std::get<declaration>(
            load_declaration(folder + "/declaration.toml"));
        std::ifstream stream(folder + "/workers.json");
        const std::string text(std::istreambuf_iterator<char>(stream), {});
        const auto document = boost::json::parse(text);
        std::map<std::string, std::size_t> by_kind;
        for (const auto& vm : document.at("vms").as_array())
        {
            const std::string zone(vm.at("zone").as_string());
            const std::string region(vm.at("region").as_string());
            EXPECT_EQ(region_of(d, availability_zone_id(zone)),
                      region_id(region));
            ++by_kind[std::string(vm.at("kind").as_string())];
        }
        EXPECT_EQ(by_kind["worker"], count);
        EXPECT_EQ(by_kind["endpoint"], d.services.at(0).instances);
        EXPECT_GE(by_kind["entry"], 7U);
    }
}

// Guards against crashes and infinite loops on arbitrary input.
RC_GTEST_PROP(settings, arbitrary_bytes_give_a_value_or_findings,
              (const std::string& text))
{
    const auto settings = parse_settings(text, "s.toml");
    RC_ASSERT(std::holds_alternative<findings>(settings));
    (void)parse_declaration(text, "d.toml");
}

// The same with edits of a valid document, which reach more of the validation
// code than random bytes.
RC_GTEST_PROP(settings, edited_document_gives_a_value_or_findings, ())
{
    std::string text = valid_declaration;
    const auto edits = *rc::gen::inRange(1, 6);
    for (int i = 0; i < edits; ++i)
    {
        const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto length = *rc::gen::inRange<std::size_t>(0, 12);
        text.replace(position, length, *rc::gen::arbitrary<std::string>());
    }
    const auto parsed = parse_declaration(text, "d.toml");
    if (const auto* found = std::get_if<findings>(&parsed))
    {
        RC_ASSERT(!found->empty());
        RC_ASSERT(std::ranges::all_of(
            *found, [](const finding& f) { return f.place.line > 0; }));
    }
}

// Failure: a document that is nested deeply, very long or full of errors ends
// the process, or takes it down for seconds.
TEST(settings, deep_and_long_documents_give_findings_soon)
{
    const auto repeated = [](const std::string& text, std::size_t count) {
        std::string out;
        for (std::size_t i = 0; i < count; ++i)
        {
            out += text;
        }
        return out;
    };
    const std::vector<std::string> documents = {
        "a = " + repeated("[", 31) + repeated("]", 31),
        "a = " + repeated("[", 100'000) + repeated("]", 100'000),
        "a = " + repeated("{b=", 100'000),
        repeated("a.", 100'000) + "b = 1",
        "[" + repeated("a.", 100'000) + "b]",
        repeated("\"=\".", 100'000) + "b = 1",
        "[" + repeated("'a]#'.", 100'000) + "b]",
        repeated("a . ", 100'000) + "b = 1",
        "a = \"\\\"\"\n" + repeated("a.", 100'000) + "b = 1",
        "a = \"\"\"\n.\n\"\"\"\n" + repeated("a.", 100'000) + "b = 1",
        "a = \"" + std::string(1'000'000, 'x') + "\"",
        std::string("a = \"\0\xff\"", 8),
        "a = 99999999999999999999999\n",
        "a = 1e400\n",
        repeated("a = = 1\n", 10'000)};
    const auto begin = std::chrono::steady_clock::now();
    for (const auto& document : documents)
    {
        EXPECT_TRUE(std::holds_alternative<findings>(
            parse_settings(document, "s.toml")));
        EXPECT_TRUE(std::holds_alternative<findings>(
            parse_declaration(document, "d.toml")));
    }
    EXPECT_LT(std::chrono::steady_clock::now() - begin,
              std::chrono::seconds(5));
}

// Failure: a multi-line string that ends with quotes of its own hides the key
// behind it from the check, and the parser overflows the stack.
TEST(settings, long_key_after_quotes_before_a_delimiter_is_found)
{
    std::string key;
    for (int i = 0; i < 100'000; ++i)
    {
        key += "a.";
    }
    for (const char quote : {'"', '\''})
    {
        const std::string delimiter(3, quote);
        for (const std::size_t own_quotes : {1U, 2U})
        {
            for (const std::string content : {"x", "", "x\r\n"})
            {
                std::string document = "a = [" + delimiter;
                document += content;
                document.append(own_quotes, quote);
                document += delimiter;
                document += ", {" + key + "b = 1}]\n";
                EXPECT_TRUE(std::holds_alternative<findings>(
                    parse_settings(document, "s.toml")));
                EXPECT_TRUE(std::holds_alternative<findings>(
                    parse_declaration(document, "d.toml")));
            }
        }
    }
}

// Failure: nested inline tables with long keys pass the check one by one, and
// the parser, which nests a table for each part, overflows a small stack.
TEST(settings, dots_of_nested_keys_are_counted_together)
{
    const auto nested = [](std::size_t depth, std::size_t dots,
                           const std::string& open, const std::string& close) {
        std::string key;
        for (std::size_t i = 0; i < dots; ++i)
        {
            key += "a.";
        }
        std::string out = "1";
        for (std::size_t i = 0; i < depth; ++i)
        {
            out.insert(0, open + key + "b = ");
            out += close;
        }
        return "a = " + out + "\n";
    };
    const auto is_refused = [](const std::string& document) {
        const auto parsed = parse_settings(document, "s.toml");
        const auto* const found = std::get_if<findings>(&parsed);
        return found != nullptr &&
               std::ranges::any_of(*found, [](const finding& f) {
                   return f.message.find("syntax error") != std::string::npos;
               });
    };
    EXPECT_TRUE(is_refused(nested(200, 250, "{", "}")));
    EXPECT_TRUE(is_refused(nested(30, 9, "{", "}")));
    EXPECT_TRUE(is_refused(nested(30, 9, "[1.5, {", "}]")));
    EXPECT_FALSE(is_refused(nested(20, 9, "{", "}")));
    EXPECT_FALSE(is_refused(nested(20, 9, "[1.5, {", "}]")));
    // Keys that are not nested in each other.
    std::string siblings = "a = [";
    for (int i = 0; i < 100; ++i)
    {
        siblings += "{a.a.a.b = [1.5]}, ";
    }
    EXPECT_FALSE(is_refused(siblings + "]\n"));
}

// Failure: dots that belong to no key make a sound document an error.
TEST(settings, dots_outside_keys_are_not_counted)
{
    const std::string dots(1000, '.');
    std::string numbers;
    for (int i = 0; i < 300; ++i)
    {
        numbers += "1.5, ";
    }
    for (const auto& line :
         {"# " + dots, "a = 1 # " + dots, "a = \"" + dots + "\"",
          "a = '" + dots + "'", "a = \"\\\"" + dots + "\"",
          "a = \"\"\"\n" + dots + "\n\"\"\"", "a = '''\n" + dots + "\n'''",
          "a = [" + numbers + "]", "\"" + dots + "\" = 1",
          "a = [\"\"\"x\"\"\"\", \"" + dots + "\"]",
          "a = [\"\"\"x\"\"\"\"\", \"" + dots + "\"]",
          "a = [\"\"\"\"\"\"\", \"" + dots + "\"]",
          "a = ['''x'''', '" + dots + "']", "a = ['''x''''', '" + dots + "']",
          "a = [''''''', '" + dots + "']"})
    {
        const auto parsed = parse_settings(line, "s.toml");
        const auto* const found = std::get_if<findings>(&parsed);
        ASSERT_NE(found, nullptr);
        for (const auto& finding : *found)
        {
            EXPECT_EQ(finding.message.find("syntax error"), std::string::npos)
                << line.substr(0, 40) << ": " << finding.message;
        }
    }
}
