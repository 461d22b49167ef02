// What the daemon shows of itself: metrics, and the time line of its threads.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "core/core.hpp"
#include "observe/observe.hpp"

namespace hemlockdeal
{

// Any thread may use it.
class recorder
{
public:
    explicit recorder(vm_id vm);

    // Stamps the event and keeps it in the ring of `thread`. Only that thread
    // may name itself.
    void record(const std::string& thread, timeline_event event);

    hybrid_timestamp stamp();
    void received(const hybrid_timestamp& remote);

    timeline_part collect(const timeline_filter& filter) const;

    metrics& values() { return metrics_; }

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
