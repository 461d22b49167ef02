// Tail latency of each request class over the last 5 to 10 s.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/core.hpp"
#include "observe/observe.hpp"

namespace hemlockdeal
{

// Measured latency of a class at the percentile that its declaration sets.
struct class_tail
{
    class_id work_class;
    duration measured{};
    double share_of_target = 0.0;
};

// Two windows of 5 s each: a tail covers the last 5 to 10 s, long enough for
// a percentile and short enough to follow a change of load.
class tail_tracker
{
public:
    void on_configuration(const configuration& c);
    void record(const class_id& work_class, duration elapsed, time_point now);
    std::vector<class_tail> tails(time_point now);

private:
    static constexpr duration window_length = std::chrono::seconds(5);

    struct windows
    {
        std::unique_ptr<latency_histogram> current;
        std::unique_ptr<latency_histogram> previous;
    };

    void rotate_windows(time_point now);

    std::map<class_id, work_class> classes_;
    std::map<class_id, windows> windows_;
    time_point window_start_{};
};

} // namespace hemlockdeal
