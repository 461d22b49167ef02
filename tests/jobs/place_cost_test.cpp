// Guards against fill tasks that wait although a worker bears them, and against
// places that suit many images being taken by tasks that suit many places.
#include <gtest/gtest.h>

#include "jobs/place_cost.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::jobs;

namespace
{

constexpr std::int64_t worker_millis = 64000;
// As in the placer: a fill task waits above this cost.
constexpr double max_fill_cost = 1.3;

class place_cost_test : public testing::Test
{
protected:
    place_cost_test()
    {
        // "firm" bears only "light", "tolerant" bears both.
        restore("firm", "heavy", 7.0);
        restore("firm", "light", 0.2);
        restore("tolerant", "heavy", 0.2);
        restore("tolerant", "light", 0.2);
        state.interference.restore("{" + text + "}");
    }

    void restore(const std::string& serving, const std::string& fill,
                 double pressure)
    {
        const auto key = [](const std::string& image) {
            return "\"" +
                   std::to_string(
                       static_cast<std::uint64_t>(to_image_hash(image))) +
                   "\"";
        };
        rows[serving] += (rows[serving].empty() ? "" : ",") + key(fill) + ":" +
                         std::to_string(pressure);
        text.clear();
        for (const auto& [image, row] : rows)
        {
            text += (text.empty() ? "" : ",") + key(image) +
                    R"(:{"t":4.0,"p":{)" + row + "}}";
        }
    }

    static step make_step(const std::string& image, std::int64_t millis)
    {
        step s;
        s.image = image;
        s.size = {millis, 1000, 0};
        return s;
    }

    fleet_worker make_worker(const std::string& serving_image)
    {
        worker_entry entry;
        entry.id = worker_id("w");
        entry.capacity = {worker_millis, 256000, 0};
        fleet_worker worker(entry);
        for (std::uint32_t i = 0; i < 4; ++i)
        {
            auto s = make_step(serving_image, 13000);
            s.is_long_running = true;
            s.tail_target = std::chrono::milliseconds(18);
            worker.add_run({job_id("serve"), 0, 0, i}, make_run(s, 1, now));
        }
        return worker;
    }

    static step fill(const std::string& image)
    {
        auto s = make_step(image, 7000);
        s.fills = true;
        return s;
    }

    double cost(const fleet_worker& worker, const std::string& image)
    {
        return place_cost(state).fill_cost(worker, fill(image),
                                           to_image_hash(image), now);
    }

    std::map<std::string, std::string> rows;
    std::string text;
    scheduler_state state;
    time_point now{std::chrono::seconds(500)};
};

} // namespace

// Failure: one fill task with a high pressure keeps tasks without any off its
// worker, which stands empty beside hundreds of waiting tasks.
TEST_F(place_cost_test, harmless_fill_joins_one_that_uses_up_the_headroom)
{
    auto worker = make_worker("firm");
    worker.add_run({job_id("fill"), 0, 0, 0}, make_run(fill("heavy"), 1, now));
    EXPECT_LT(cost(worker, "light"), max_fill_cost);
}

// Failure: a fill task is placed where it moves all serving tasks above their
// targets.
TEST_F(place_cost_test, harmful_fill_waits)
{
    const auto worker = make_worker("firm");
    EXPECT_GT(cost(worker, "heavy"), max_fill_cost);
    state.options.policy.avoids_added_harm = false;
    EXPECT_LT(cost(worker, "heavy"), max_fill_cost);
}

// Failure: harm is counted once for a worker, however many serving tasks it
// has.
TEST_F(place_cost_test, harm_grows_with_the_serving_tasks)
{
    const auto many = make_worker("firm");
    auto few = make_worker("firm");
    few.erase_run({job_id("serve"), 0, 0, 3});
    few.erase_run({job_id("serve"), 0, 0, 2});
    EXPECT_GT(cost(many, "heavy"), cost(few, "heavy"));
}

// Failure: a task that runs anywhere takes the only worker that suits another.
TEST_F(place_cost_test, versatile_worker_costs_more)
{
    const place_cost costs(state);
    EXPECT_GT(costs.versatility_cost(make_worker("tolerant"), now),
              costs.versatility_cost(make_worker("firm"), now));
}
