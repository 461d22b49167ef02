// Ten thousand requests while endpoints cut, delay, truncate and refuse at
// random: responses belong to their request and nothing runs twice.
#include <map>
#include <random>

#include "proxy/test_bed.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

constexpr int requests = 10'000;
constexpr std::size_t caller_count = 40;

struct sent_request
{
    bool idempotent = false;
    std::string body;
    // What the caller was told.
    enum class told
    {
        nothing,
        own_response,
        not_run,
        unknown,
        wrong_response
    };
    told verdict = told::nothing;
};

class random_load
{
public:
    explicit random_load(test_bed& bed) : bed_(bed)
    {
        std::ranges::generate(lanes_, [] { return lane{}; });
    }

    bool is_over() const { return finished_ == requests; }

    // Takes what arrived and sends what can be sent.
    void step()
    {
        std::ranges::for_each(lanes_, [this](lane& l) {
            if (l.waits_for >= 0)
            {
                take(l);
            }
            if (l.waits_for < 0 && sent_ < requests)
            {
                send(l);
            }
        });
    }

    std::map<int, sent_request> all;

private:
    struct lane
    {
        std::unique_ptr<test_caller> caller;
        int waits_for = -1;
    };

    void send(lane& l)
    {
        if (!l.caller || l.caller->closed())
        {
            l.caller = std::make_unique<test_caller>(bed_.port());
        }
        const int number = sent_++;
        sent_request& r = all[number];
        r.idempotent = random_() % 3 == 0;
        const std::size_t size =
            random_() % 100 == 0 ? 300'000 : random_() % 2000;
        r.body = std::string(size, static_cast<char>('a' + number % 26));
        const std::string id = std::to_string(number);
        l.waits_for = number;
        l.caller->send_request(
            r.idempotent ? "PUT" : "POST", r.idempotent ? "/read" : "/write",
            id, r.body,
            random_() % 4 == 0 ? "Idempotency-Key: k" + id + "\r\n" : "");
    }

    void take(lane& l)
    {
        sent_request& r = all.at(l.waits_for);
        if (l.caller->unread_responses() > 0)
        {
            r.verdict = judge(l.caller->next_response(), l.waits_for, r.body);
        }
        else if (l.caller->closed())
        {
            // The response broke after a part of it was forwarded.
            r.verdict = sent_request::told::unknown;
        }
        else
        {
            return;
        }
        l.waits_for = -1;
        ++finished_;
    }

    static sent_request::told
    judge(const std::optional<test_caller::response>& response, int number,
          const std::string& body)
    {
        if (is_own(response, std::to_string(number), body))
        {
            return sent_request::told::own_response;
        }
        const std::string outcome = outcome_of(response);
        if (outcome == "not-run")
        {
            return sent_request::told::not_run;
        }
        return outcome == "unknown" ? sent_request::told::unknown
                                    : sent_request::told::wrong_response;
    }

    test_bed& bed_;
    std::mt19937 random_{20261204};
    std::array<lane, caller_count> lanes_;
    int sent_ = 0;
    int finished_ = 0;
};

} // namespace

// Failure: a caller gets another's response or a part of its own as if it were
// whole, is told "not run" of a request that ran, or a non-idempotent request
// runs twice.
TEST(random_fault, ten_thousand_requests)
{
    test_bed::options options;
    options.endpoints = 4;
    options.target = 100ms;
    options.shortest_timeout = 150ms;
    test_bed bed(options);
    for (std::size_t i = 0; i < 4; ++i)
    {
        bed.endpoint(i).set_faults({{endpoint_fault::cut, 0.02, 0ms},
                                    {endpoint_fault::truncate, 0.02, 0ms},
                                    {endpoint_fault::late, 0.01, 1500ms},
                                    {endpoint_fault::late, 0.10, 15ms},
                                    {endpoint_fault::slow, 0.05, 10ms},
                                    {endpoint_fault::extra_bytes, 0.03, 0ms},
                                    {endpoint_fault::not_run, 0.02, 0ms}});
    }
    random_load load(bed);
    EXPECT_TRUE(run_until(
        [&] {
            load.step();
            return load.is_over();
        },
        100'000));
    // Late responses and results still under way.
    run_for(2000);

    std::map<sent_request::told, int> count;
    std::ranges::for_each(load.all, [&](const auto& entry) {
        const auto& [number, request] = entry;
        ++count[request.verdict];
        const std::uint32_t runs = bed.runs_of(std::to_string(number));
        EXPECT_TRUE(request.idempotent || runs <= 1)
            << "request " << number << " ran " << runs << " times";
        EXPECT_TRUE(request.verdict != sent_request::told::not_run || runs == 0)
            << "request " << number << " ran and was reported as not run";
        EXPECT_NE(request.verdict, sent_request::told::wrong_response)
            << "request " << number;
        EXPECT_NE(request.verdict, sent_request::told::nothing)
            << "request " << number;
    });
    std::printf("own response %d, not run %d, unknown %d\n",
                count[sent_request::told::own_response],
                count[sent_request::told::not_run],
                count[sent_request::told::unknown]);
    // The checks above would be empty if most requests were refused.
    EXPECT_GT(count[sent_request::told::own_response], requests / 2);
    EXPECT_EQ(bed.proxy().requests_in_progress(), 0U);
}
