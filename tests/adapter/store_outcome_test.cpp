// Guards against a transaction that is repeated for good although the store
// never accepts it, or that is taken for refused although it may have been
// executed.
#include <optional>
#include <variant>

#include "store_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;
using namespace hemlockdeal::adapter::test;

namespace
{

class store_outcome_test : public store_fixture
{
protected:
    node::transaction_outcome outcome_of(unsigned with_status)
    {
        status = with_status;
        std::optional<node::transaction_outcome> outcome;
        store.transact(
            {"part", {}, {{"t", "key", "value"}}, {}}, std::chrono::seconds(2),
            [&](const node::transaction_outcome& o) { outcome = o; });
        run_until([&] { return outcome.has_value(); });
        return outcome.value_or(node::conflict{});
    }
};

} // namespace

TEST_F(store_outcome_test, client_errors_reject_a_transaction_for_good)
{
    for (const unsigned code : {400U, 403U, 404U, 413U})
    {
        EXPECT_TRUE(std::holds_alternative<node::rejected>(outcome_of(code)))
            << code;
    }
    EXPECT_EQ(store.counts().rejected, 4U);
}

TEST_F(store_outcome_test, overload_refuses_a_transaction_for_now)
{
    for (const unsigned code : {429U, 503U})
    {
        EXPECT_TRUE(std::holds_alternative<node::not_done>(outcome_of(code)))
            << code;
    }
}

TEST_F(store_outcome_test, other_errors_do_not_show_that_nothing_was_executed)
{
    for (const unsigned code : {408U, 500U, 502U, 504U})
    {
        EXPECT_TRUE(
            std::holds_alternative<node::outcome_unknown>(outcome_of(code)))
            << code;
    }
}
