// Guards against invalid accounts in a configuration that take others with
// them, lift a limit or open the queues, and against findings with keys.
#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

#include "declaration_codec.hpp"
#include "store_codec.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;

namespace
{

const std::string good_account =
    R"({"name":"good","api_keys":["secret-good"],"weight":3,)"
    R"("cap":{"cpu":4000,"mem_mb":2000,"gpu":1}})";
const std::string last_account =
    R"({"name":"last","api_keys":["secret-last"]})";

std::string configuration_with(const std::string& accounts)
{
    return R"({"version":7,"routes":[{"name":"r","host":"h",)"
           R"("path_prefix":"/p/","service":"s"}],"tenants":)" +
           accounts + '}';
}

// The configuration with an entry between two valid ones.
decoded_configuration read_with(const std::string& account)
{
    auto decoded = decode_configuration(configuration_with(
        '[' + good_account + ',' + account + ',' + last_account + ']'));
    auto* const read = std::get_if<decoded_configuration>(&decoded);
    return read == nullptr ? decoded_configuration{} : std::move(*read);
}

std::string messages(const findings& found)
{
    std::string out;
    for (const auto& f : found)
    {
        out += to_text(f) + '\n';
    }
    return out;
}

std::string owner_name(const decoded_configuration& in, const std::string& key)
{
    const auto* const owner = in.content.accounts.owner_of(key);
    return owner == nullptr ? "none" : owner->id.value();
}

struct invalid_case
{
    std::string account;
    // Place and reason, as far as the finding must show them.
    std::string place;
    std::string reason;
    bool is_left_out = false;
};

const std::vector<invalid_case> invalid_cases = {
    {R"({"name":"x","api_keys":["secret-x","secret-good"]})",
     "tenants[1].api_keys[1] ", "repeats", false},
    {R"({"name":"x","api_keys":["secret-x","secret-x"]})",
     "tenants[1].api_keys[1] ", "repeats", false},
    {R"({"name":"x","api_keys":["secret-x",5]})", "tenants[1].api_keys[1] ",
     "not a text", false},
    {R"({"name":"x","api_keys":["secret-x",["secret-y"]]})",
     "tenants[1].api_keys[1] ", "not a text", false},
    {R"({"name":"x","api_keys":["","secret-x"]})", "tenants[1].api_keys[0] ",
     "empty", false},
    {R"({"name":"x","api_keys":"secret-y"})", "tenants[1].api_keys ",
     "not a list", false},
    {R"({"api_keys":["secret-x"]})", "tenants[1] ", "name", true},
    {R"({"name":"","api_keys":["secret-x"]})", "tenants[1] ", "name", true},
    {R"({"name":["secret-x"]})", "tenants[1] ", "name", true},
    {R"("secret-x")", "tenants[1] ", "name", true},
    {R"({"name":"good","api_keys":["secret-x"]})", "tenants[1].name ",
     "earlier", true},
    {R"({"name":"x","api_keys":["secret-x"],"cap":{"cpu":-1}})",
     "tenants[1].cap.cpu ", "-1", true},
    {R"({"name":"x","api_keys":["secret-x"],"cap":{"mem_mb":1.5}})",
     "tenants[1].cap.mem_mb ", "whole number", true},
    {R"({"name":"x","api_keys":["secret-x"],"cap":{"gpu":"secret-y"}})",
     "tenants[1].cap.gpu ", "whole number", true},
    {R"({"name":"x","api_keys":["secret-x"],"cap":{"cpu":1e300}})",
     "tenants[1].cap.cpu ", "whole number", true},
    {R"({"name":"x","api_keys":["secret-x"],"cap":"secret-y"})",
     "tenants[1].cap ", "not an object", true},
    {R"({"name":"x","api_keys":["secret-x"],"weight":0})", "tenants[1].weight ",
     "1 is used", false},
    {R"({"name":"x","api_keys":["secret-x"],"weight":1.5})",
     "tenants[1].weight ", "1 is used", false},
    {R"({"name":"x","api_keys":["secret-x"],"weight":"secret-y"})",
     "tenants[1].weight ", "1 is used", false},
    {R"({"name":"x","api_keys":["secret-x"],"weight":{"k":"secret-y"}})",
     "tenants[1].weight ", "1 is used", false}};

} // namespace

// Failure: nobody learns which member is wrong, or the finding shows a key.
TEST(account_codec, each_invalid_member_has_a_finding_with_its_place)
{
    for (const auto& c : invalid_cases)
    {
        const auto read = read_with(c.account);
        EXPECT_EQ(read.malformed.size(), 1U) << c.account;
        const auto text = messages(read.malformed);
        EXPECT_NE(text.find(c.place), std::string::npos) << text << c.account;
        EXPECT_NE(text.find(c.reason), std::string::npos) << text << c.account;
        EXPECT_EQ(text.find("secret"), std::string::npos) << text;
    }
}

// Failure: an invalid entry takes other accounts or the routes with it, or
// changes their limits.
TEST(account_codec, invalid_entries_leave_the_others_unharmed)
{
    for (const auto& c : invalid_cases)
    {
        const auto read = read_with(c.account);
        EXPECT_EQ(read.content.routes.size(), 1U) << c.account;
        EXPECT_EQ(owner_name(read, "secret-good"), "good") << c.account;
        EXPECT_EQ(owner_name(read, "secret-last"), "last") << c.account;
        EXPECT_EQ(read.content.accounts.size(), c.is_left_out ? 2U : 3U)
            << c.account;
        const auto* const good = read.content.accounts.find(account_id("good"));
        ASSERT_NE(good, nullptr) << c.account;
        EXPECT_EQ(good->weight, 3) << c.account;
        EXPECT_EQ(good->cap, (accounts::resource_cap{4000, 2000, 1}))
            << c.account;
    }
}

// Failure: an account with an unreadable limit runs without one, or an account
// loses its valid keys because of an invalid one.
TEST(account_codec, invalid_accounts_keep_only_what_is_valid)
{
    for (const auto& c : invalid_cases)
    {
        const auto read = read_with(c.account);
        const bool has_key =
            c.account.find(R"("api_keys":[)") != std::string::npos;
        EXPECT_EQ(owner_name(read, "secret-x"),
                  has_key && !c.is_left_out ? "x" : "none")
            << c.account;
        EXPECT_EQ(owner_name(read, "secret-y"), "none") << c.account;
        EXPECT_EQ(owner_name(read, ""), "none") << c.account;
        const auto* const x = read.content.accounts.find(account_id("x"));
        EXPECT_TRUE(x == nullptr || x->weight == 1) << c.account;
    }
}

// Failure: valid entries cause findings, or a missing member counts as a limit.
TEST(account_codec, members_may_be_missing_and_others_are_ignored)
{
    const auto read = read_with(
        R"({"name":"x","priority":"high","allowed_regions":7,"weight":2.0,)"
        R"("cap":{"cpu":0,"gpu":2,"disk":"none"}})");
    EXPECT_TRUE(read.malformed.empty()) << messages(read.malformed);
    const auto* const x = read.content.accounts.find(account_id("x"));
    ASSERT_NE(x, nullptr);
    EXPECT_EQ(x->weight, 2);
    EXPECT_EQ(x->cap, (accounts::resource_cap{0, 0, 2}));
    const auto* const last = read.content.accounts.find(account_id("last"));
    ASSERT_NE(last, nullptr);
    EXPECT_EQ(last->weight, 1);
    EXPECT_EQ(last->cap, accounts::resource_cap{});
}

// Failure: the keys of an account are refused because they are long.
TEST(account_codec, long_keys_are_valid)
{
    const std::string key(1000, 'k');
    const auto read =
        read_with(R"({"name":"x","api_keys":[")" + key + R"("]})");
    EXPECT_TRUE(read.malformed.empty()) << messages(read.malformed);
    EXPECT_EQ(owner_name(read, key), "x");
}

// Failure: a sum of weights or of caps overflows.
TEST(account_codec, large_numbers_are_bounded)
{
    const auto read = read_with(R"({"name":"x","weight":9223372036854775807,)"
                                R"("cap":{"cpu":9223372036854775807}})");
    EXPECT_TRUE(read.malformed.empty()) << messages(read.malformed);
    const auto* const x = read.content.accounts.find(account_id("x"));
    ASSERT_NE(x, nullptr);
    EXPECT_GT(x->cap.processor_millis, 1'000'000'000);
    EXPECT_GT(read.content.accounts.total_weight(), 1'000'000);
}

// Failure: a configuration whose accounts are not a list is adopted without
// them, and callers need no key; or its finding shows a key.
TEST(account_codec, accounts_that_are_not_a_list_are_not_adopted)
{
    for (const std::string accounts :
         {R"("secret")", R"({"name":"x","api_keys":["secret"]})", "null", "5"})
    {
        const auto decoded = decode_configuration(configuration_with(accounts));
        const auto* const found = std::get_if<findings>(&decoded);
        ASSERT_NE(found, nullptr) << accounts;
        const auto text = messages(*found);
        EXPECT_NE(text.find("tenants is not a list"), std::string::npos);
        EXPECT_EQ(text.find("secret"), std::string::npos) << text;
    }
}

// Failure: accounts that stand in the wrong section are shown with their keys.
TEST(account_codec, misplaced_accounts_are_not_shown)
{
    for (const std::string section : {"routes", "services"})
    {
        const auto decoded =
            decode_configuration(R"({"version":7,"routes":[],")" + section +
                                 R"(":{"api_keys":["secret"]}})");
        const auto* const found = std::get_if<findings>(&decoded);
        ASSERT_NE(found, nullptr) << section;
        const auto text = messages(*found);
        EXPECT_NE(text.find(section + " is "), std::string::npos) << text;
        EXPECT_EQ(text.find("secret"), std::string::npos) << text;
    }
}

// Failure: a configuration without accounts asks callers for a key.
TEST(account_codec, an_empty_list_is_no_accounts)
{
    const auto decoded = decode_configuration(configuration_with("[]"));
    const auto* const read = std::get_if<decoded_configuration>(&decoded);
    ASSERT_NE(read, nullptr);
    EXPECT_TRUE(read->content.accounts.empty());
    EXPECT_TRUE(read->malformed.empty());
}

// Failure: an invalid priority has no finding, or the finding names a value
// that is not the one in force.
TEST(account_codec, invalid_priorities_have_a_true_finding)
{
    for (const std::string priority :
         {"-1", "1000001", "1.5", R"("2")", "null", "1e300", "[]"})
    {
        const auto decoded = decode_configuration(
            R"({"version":7,"routes":[{"name":"r","host":"h",)"
            R"("path_prefix":"/p/","service":"s","priority":)" +
            priority + R"(},{"name":"q","host":"h","path_prefix":"/q/",)" +
            R"("service":"s","priority":1000000}]})");
        const auto* const read = std::get_if<decoded_configuration>(&decoded);
        ASSERT_NE(read, nullptr) << priority;
        ASSERT_EQ(read->content.routes.size(), 2U) << priority;
        EXPECT_EQ(read->content.routes.back().policy.priority, 1'000'000);
        ASSERT_EQ(read->malformed.size(), 1U) << priority;
        const auto text = messages(read->malformed);
        EXPECT_NE(text.find("routes[0]"), std::string::npos) << text;
        const auto used = read->content.routes.front().policy.priority;
        EXPECT_NE(text.find("; " + std::to_string(used) + " is used"),
                  std::string::npos)
            << text << priority;
    }
}

// Failure: the log shows the value of a row whose other members are malformed,
// and so the keys in a configuration.
TEST(account_codec, values_of_skipped_rows_are_not_shown)
{
    for (const std::string row :
         {R"({"value":"c2VjcmV0","key":"config","ver":"5"})",
          R"({"value":{"k":"c2VjcmV0"},"key":"config","ver":-1})",
          R"([{"value":"c2VjcmV0"}])"})
    {
        const auto read =
            decode_conflict(R"({"rows":[)" + row + R"(],"ver":9})");
        EXPECT_EQ(read.malformed.size(), 1U) << row;
        EXPECT_EQ(messages(read.malformed).find("c2VjcmV0"), std::string::npos)
            << row;
    }
}
