// Workers that fell silent lately, and whether a common cause explains it.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "jobs/scheduler_state.hpp"

namespace hemlockdeal::jobs
{

// A worker that falls silent together with many others, or with most of its
// rack or availability zone, has hardly been crashed by one of its tasks.
class silence_history
{
public:
    explicit silence_history(const scheduler_state& state) : state_(state) {}

    // The worker has stopped responding. `suspects` are the jobs that may have
    // crashed it.
    void add(const fleet_worker& worker, std::set<job_id> suspects,
             time_point now);
    // The worker responds again.
    void forget(const worker_id& worker);

    // True if the job had suspects on a large part of the workers that fell
    // silent together, so that it may be their common cause.
    bool is_common_suspect(const fleet_worker& worker, const job_id& job) const;
    // True if many workers, or most of a rack or an availability zone, fell
    // silent together: no task is to blame for that.
    bool is_part_of_mass_failure(const fleet_worker& worker) const;

private:
    struct silence
    {
        worker_id worker;
        availability_zone_id zone;
        std::vector<std::string> labels;
        // Jobs with suspects on the worker.
        std::set<job_id> suspects;
        time_point since{};
    };

    // The workers that fell silent together with this one, which included.
    std::vector<const silence*> simultaneous(const fleet_worker& worker) const;
    template <typename IsInDomain>
    bool fails_with_most_of(const fleet_worker& worker,
                            IsInDomain is_in_domain) const;

    const scheduler_state& state_;
    // Oldest first.
    std::vector<silence> silences_;
};

} // namespace hemlockdeal::jobs
