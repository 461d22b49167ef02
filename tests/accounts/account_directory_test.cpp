// Guards against callers that are taken for another account, and against keys
// that can be printed.
#include <ostream>
#include <string>
#include <type_traits>

#include <gtest/gtest.h>

#include "accounts/accounts.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::accounts;

namespace
{

account_directory::entry make_entry(const std::string& name,
                                    std::int64_t weight,
                                    const std::vector<std::string>& secrets)
{
    account_directory::entry out;
    out.policy.id = account_id(name);
    out.policy.weight = weight;
    for (const auto& secret : secrets)
    {
        out.keys.emplace_back(secret);
    }
    return out;
}

account_directory make_directory()
{
    return account_directory({make_entry("a", 3, {"ab", "second-of-a"}),
                              make_entry("b", 5, {"abab", "second-of-b"}),
                              make_entry("keyless", 1, {}),
                              make_entry("empty", 1, {""})});
}

std::string owner_name(std::string_view presented)
{
    const auto directory = make_directory();
    const auto* const owner = directory.owner_of(presented);
    return owner == nullptr ? "none" : owner->id.value();
}

template <typename T>
concept printable = requires(std::ostream& out, const T& value)
{
    out << value;
};

} // namespace

// Failure: an account has only the first of its keys, or the key of one account
// is accepted for another.
TEST(account_directory, every_key_shows_its_account)
{
    EXPECT_EQ(owner_name("ab"), "a");
    EXPECT_EQ(owner_name("second-of-a"), "a");
    EXPECT_EQ(owner_name("abab"), "b");
    EXPECT_EQ(owner_name("second-of-b"), "b");
}

// Failure: the comparison, which repeats the key up to the length of the
// presented text, accepts a part or a repetition of a key.
TEST(account_directory, texts_that_resemble_a_key_are_refused)
{
    for (const std::string presented :
         {"a", "b", "aba", "ababab", "abababab", "AB", " ab", "ab ", "bb",
          "second-of-", "second-of-a ", "xecond-of-a", "second-of-x"})
    {
        EXPECT_EQ(owner_name(presented), "none") << presented;
    }
    EXPECT_EQ(owner_name(std::string("ab\0", 3)), "none");
    EXPECT_EQ(owner_name(std::string("\0ab", 3)), "none");
    EXPECT_EQ(owner_name(std::string(100'000, 'a')), "none");
}

// Failure: a call without a key is taken for an account that has an empty one.
TEST(account_directory, no_key_is_no_account)
{
    EXPECT_EQ(owner_name(""), "none");
    EXPECT_EQ(account_directory().owner_of(""), nullptr);
    EXPECT_EQ(account_directory().owner_of("ab"), nullptr);
}

// Failure: shares are computed from a sum that misses accounts without keys.
TEST(account_directory, accounts_are_found_with_their_weights)
{
    const auto directory = make_directory();
    EXPECT_EQ(directory.total_weight(), 10);
    EXPECT_EQ(directory.size(), 4U);
    EXPECT_FALSE(directory.empty());
    ASSERT_NE(directory.find(account_id("b")), nullptr);
    EXPECT_EQ(directory.find(account_id("b"))->weight, 5);
    EXPECT_EQ(directory.find(account_id("c")), nullptr);
    EXPECT_TRUE(account_directory().empty());
    EXPECT_EQ(account_directory().total_weight(), 0);
}

// Failure: a key is added to a log line or an error message.
TEST(account_directory, keys_cannot_be_printed)
{
    EXPECT_FALSE(printable<api_key>);
    EXPECT_FALSE((std::is_convertible_v<api_key, std::string>));
    EXPECT_FALSE((std::is_convertible_v<api_key, std::string_view>));
}
