// Hybrid logical clock of one process.
#pragma once

#include <cstdint>

#include "core/timeline_event.hpp"

namespace hemlockdeal
{

// Issues timestamps that order causally related events across processes. The
// caller passes the wall time in microseconds since the Unix epoch; no clock is
// read here. Not thread-safe.
class hybrid_clock
{
public:
    // Timestamp for a local event or for a message to be sent.
    hybrid_timestamp now(std::int64_t wall_us);

    // Timestamp for the receipt of a message with the timestamp `remote`.
    hybrid_timestamp receive(const hybrid_timestamp& remote,
                             std::int64_t wall_us);

    const hybrid_timestamp& last() const { return last_; }

private:
    // Invariant: each issued timestamp is higher than all that were issued or
    // received before.
    hybrid_timestamp last_;
};

} // namespace hemlockdeal
