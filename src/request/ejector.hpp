// Outlier ejection: removes instances that fail or are much slower than the
// others from routing, and reinstates them after a successful probe.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.hpp"
#include "request/endpoint_directory.hpp"

namespace hemlockdeal
{

// Invariant: at most half of the instances of a service are ejected at a time,
// so that a fault that affects all instances does not stop the service.
// Instances that are leaving do not count.
class ejector
{
public:
    ejector(endpoint_directory& directory, bool enabled);

    void record_response(instance_index i, duration elapsed, time_point now);
    void record_failure(instance_index i, time_point now);
    // A status of 500 or more may be caused by the request itself, so more of
    // these than of other failures are needed for an ejection.
    void record_error_status(instance_index i, time_point now);
    // The instance reported that it did not run a request.
    void record_refusal(instance_index i, time_point now);
    void record_leaving(instance_index i, time_point now);
    void on_probe_result(instance_index i, bool healthy, time_point now);

    // Ejects slow instances and returns the instances that are due for a probe.
    std::vector<instance_index> run(time_point now);
    time_point next_run() const { return next_run_; }

    std::vector<record_event> take_events();

    static constexpr duration run_interval = std::chrono::milliseconds(250);

private:
    void eject(instance_index i, const std::string& reason, time_point now);
    bool may_eject(const endpoint_instance& e) const;
    void eject_slow_instances(service_index s, time_point now);
    void add_event(const endpoint_instance& e, const std::string& kind,
                   const std::string& text);

    endpoint_directory& directory_;
    bool enabled_;
    time_point next_run_{};
    std::vector<record_event> events_;
};

} // namespace hemlockdeal
