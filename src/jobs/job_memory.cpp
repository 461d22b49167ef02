// Estimates from the sizes of the records.
#include "jobs/job_memory.hpp"

#include <algorithm>
#include <numeric>

namespace hemlockdeal::jobs
{

namespace
{

// Of a tree node and its allocation, beside the value.
constexpr std::size_t node_bytes = 64;
// Of the names and lists of a job, and of its entries in the registry.
constexpr std::size_t details_of_job_bytes = 400;
// Of the texts, lists and sets of a task in progress, and of its entry in the
// ledger of its worker.
constexpr std::size_t details_of_task_bytes = 600;
constexpr std::size_t bits_per_byte = 8;

std::size_t memory_of(const step& s)
{
    return sizeof(step) + sizeof(duration) + node_bytes +
           s.required_label.size() + s.preferred_rack.size() + s.image.size() +
           s.after.size() * sizeof(std::uint32_t);
}

std::size_t memory_of(const step_record& s)
{
    const auto per_task =
        sizeof(task_record) + node_bytes + details_of_task_bytes;
    return sizeof(step_record) + s.done / bits_per_byte +
           s.durations.size() * sizeof(task_duration) +
           s.outcomes.size() * sizeof(worker_id) + s.tasks.size() * per_task;
}

template <typename Range>
std::size_t sum_of_memory(const Range& range)
{
    return std::accumulate(range.begin(), range.end(), std::size_t{0},
                           [](std::size_t sum, const auto& part) {
                               return sum + memory_of(part);
                           });
}

} // namespace

std::size_t memory_of(const job& definition)
{
    return sizeof(live_job) + details_of_job_bytes + definition.payload.size() +
           definition.repeats_count() / bits_per_byte +
           sum_of_memory(definition.steps);
}

std::size_t memory_of(const live_job& owner)
{
    auto sum = memory_of(owner.definition());
    for (const auto& [k, occurrence] : owner.active())
    {
        sum += sizeof(occurrence_record) + node_bytes +
               sum_of_memory(occurrence.steps);
    }
    return sum;
}

} // namespace hemlockdeal::jobs
