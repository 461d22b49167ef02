// Why the jobs that wait did not start in the last pass.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlockdeal
{

// In the order in which workers are ruled out: a later cause means that the
// task was closer to a start.
enum class waiting_cause : std::uint8_t
{
    none,
    too_large,
    not_accepting,
    quarantined,
    failed_there,
    processors,
    memory,
    accelerators,
    measured_use,
    headroom,
    reserved,
    return_time,
    interference,
    quota,
    eviction_pending,
    start_limit
};

std::string to_text(waiting_cause cause);

// Open hash table from the stable hash of a job to its cause. A new pass
// makes old entries invalid without touching them.
class waiting_reasons
{
public:
    void start_pass();
    // Keeps the first cause of a job, which is that of its first task.
    void add(std::uint64_t job, waiting_cause cause);
    waiting_cause find(std::uint64_t job) const;

private:
    struct entry
    {
        std::uint64_t job = 0;
        std::uint32_t pass = 0;
        waiting_cause cause = waiting_cause::none;
    };

    std::size_t slot_of(std::uint64_t job) const;
    void grow();

    std::vector<entry> entries_; // a power of two, at most half in use
    std::size_t used_ = 0;
    std::uint32_t pass_ = 0;
};

} // namespace hemlockdeal
