// Hybrid logical clock of one process.
#pragma once

#include <cstdint>

#include "core/timeline_event.hpp"

namespace hemlockdeal
{

// Gives stamps that order causally related events of all processes. It reads
// no clock: wall time in microseconds since 1970 is passed in. Not safe for
// use from several threads at once.
class hybrid_clock
{
public:
    // Stamp of a local event, or of a message that is sent.
    hybrid_timestamp now(std::int64_t wall_us);

    // Stamp of the receipt of a message that was sent at `remote`.
    hybrid_timestamp receive(const hybrid_timestamp& remote,
                             std::int64_t wall_us);

    const hybrid_timestamp& last() const { return last_; }

private:
    // Invariant: each stamp given is higher than all given or received before.
    hybrid_timestamp last_;
};

} // namespace hemlockdeal
