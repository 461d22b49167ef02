// Guards against operators' declarations that one malformed part takes down, or
// that are read only in part.
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "declaration_feeds.hpp"
#include "log_capture.hpp"
#include "names.hpp"
#include "store_fixture.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::adapter;
using namespace hemlockdeal::adapter::test;

namespace
{

const std::string good_configuration =
    R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/p/",)"
    R"("service":"s"}],"services":[{"name":"s"}],"limits":{}})";

class operator_feed_test : public store_fixture
{
protected:
    operator_feed_test()
        : watch(feed, [] { return boot_now(); }, health, {},
                {[](const jobs::queue_directory&) {},
                 [this](const std::set<availability_zone_id>& zones) {
                     closed_zones = zones;
                 }})
    {}

    // The store holds this configuration until the watch has read it.
    void declare(const std::string& configuration)
    {
        rows[names::configuration_key] = configuration;
        versions[names::configuration_key] = ++newest;
        // The second call after the change was sent after it.
        const auto enough = calls + 3;
        run_until([&] {
            watch.tick();
            return calls >= enough;
        });
    }

    bool has_route() const
    {
        return watch.queues().match("h", "/p/1").has_value();
    }

    std::set<availability_zone_id> closed_zones;
    std::uint64_t newest = 10;
    node::store_health health;
    operator_feed feed{store};
    node::operator_watch<operator_feed> watch;
};

} // namespace

// Failure: a configuration whose routes are not a list is adopted without
// routes, and all callers get 404 until the next one.
TEST_F(operator_feed_test, malformed_sections_leave_the_last_configuration)
{
    for (const std::string malformed :
         {R"({"version":8,"routes":"x","services":[]})",
          R"({"version":8,"routes":null,"services":[]})",
          R"({"version":8,"routes":{},"services":[]})",
          R"({"version":8,"services":[]})",
          R"({"version":8,"routes":[],"services":"x"})"})
    {
        declare(good_configuration);
        ASSERT_TRUE(has_route());
        declare(malformed);
        EXPECT_TRUE(has_route()) << malformed;
        EXPECT_EQ(watch.queues().version(), configuration_version(7));
    }
}

// Failure: the last queue can't be removed, or a configuration that omits its
// empty services is not used.
TEST_F(operator_feed_test, empty_sections_are_adopted)
{
    declare(good_configuration);
    declare(R"({"version":8,"routes":[]})");
    EXPECT_FALSE(has_route());
    EXPECT_EQ(watch.queues().version(), configuration_version(8));
}

// Failure: nobody learns that a configuration is not in force or why, or the
// log grows while it stands.
TEST_F(operator_feed_test, malformed_sections_are_logged_once_with_their_place)
{
    log_capture capture;
    declare(good_configuration);
    for (int i = 0; i < 3; ++i)
    {
        declare(R"({"version":8,"routes":"x","services":[]})");
    }
    declare(good_configuration);
    const auto lines = capture.count(
        {"declaration is malformed", "routes is \\\"x\\\" instead of a list",
         "key=config", "declaration is valid again"});
    EXPECT_EQ(lines.at("declaration is malformed"), 1U);
    EXPECT_EQ(lines.size(), 4U);
}

// Failure: zones beyond the first page of declarations stay in service, since
// the rows after it are never read.
TEST_F(operator_feed_test, declarations_of_all_pages_are_read)
{
    constexpr std::size_t zone_count = 1200;
    for (std::size_t i = 0; i < zone_count; ++i)
    {
        rows["evacuate/z-" + std::to_string(i)] = "";
    }
    declare(good_configuration);
    EXPECT_TRUE(has_route());
    EXPECT_EQ(closed_zones.size(), zone_count);
}
