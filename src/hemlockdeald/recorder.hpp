// Metrics of the daemon and the time line of its threads.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "core/core.hpp"
#include "observe/observe.hpp"

namespace hemlockdeal
{

// Thread-safe.
class recorder
{
public:
    explicit recorder(vm_id vm);

    // Stamps the event and stores it in the ring of `thread`, which must be the
    // calling thread.
    void record(const std::string& thread, timeline_event event);

    hybrid_timestamp stamp();
    void advance_clock(const hybrid_timestamp& remote);

    timeline_part collect(const timeline_filter& filter) const;

    metrics& registry() { return metrics_; }

private:
    vm_id vm_;
    mutable std::mutex clock_mutex_;
    hybrid_clock clock_;
    // Invariant: filled by the constructor and never changed, so that threads
    // look up their rings without a lock.
    std::map<std::string, timeline_ring> rings_;
    metrics metrics_;
};

} // namespace hemlockdeal
