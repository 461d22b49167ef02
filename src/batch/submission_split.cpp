// Chooses shards in an order that differs by job, so that many daemons that
// know the same digests do not choose the same shard.
#include "batch/submission_split.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlockdeal
{

namespace
{

// A commit holds the job row and a row per part.
constexpr std::size_t most_parts = max_writes_per_commit - 2;
constexpr std::uint32_t tasks_per_part_at_least = 4;
constexpr duration digest_too_old = std::chrono::seconds(10);

struct candidate
{
    shard_id shard;
    std::int64_t free_slots = 0;
    std::int64_t all_slots = 0;
    std::uint32_t tasks = 0;
};

std::vector<candidate> candidates_for(const batch_context& context,
                                      const job_submission& job, time_point now,
                                      bool with_zones_out)
{
    std::vector<candidate> found;
    for (const auto& [shard, capacity] : context.workers.shards())
    {
        if (!context.zone_is_allowed(job, shard.zone) ||
            (!with_zones_out && context.zone_is_out(shard.zone)) ||
            !context.workers.can_fit(shard, job.task_size))
        {
            continue;
        }
        candidate c{shard, 0, 0, 0};
        c.all_slots =
            std::max<std::int64_t>(slots_in(capacity.sum, job.task_size), 1);
        const auto known = context.digests.find(shard);
        if (known != context.digests.end() &&
            now - known->second.received_at < digest_too_old)
        {
            c.free_slots = slots_in(known->second.digest.free, job.task_size);
        }
        found.push_back(c);
    }
    return found;
}

// Weighted rendezvous: a shard comes early in proportion to its weight.
double order_of(const candidate& c, const job_id& job)
{
    const double weight =
        static_cast<double>(c.free_slots) +
        0.01 * static_cast<double>(std::min<std::int64_t>(c.all_slots, 1000));
    const std::uint64_t hash =
        stable_hash(job.value(), stable_hash(shard_key(c.shard)));
    const double uniform = (static_cast<double>(hash >> 11U) + 1.0) /
                           (static_cast<double>(1ULL << 53U) + 1.0);
    return -std::log(uniform) / weight;
}

void share_out(std::vector<candidate>& chosen, std::uint32_t tasks)
{
    const auto share = [&](auto slots_of, std::uint32_t amount) {
        std::int64_t sum = 0;
        for (const candidate& c : chosen)
        {
            sum += slots_of(c);
        }
        std::uint32_t given = 0;
        for (candidate& c : chosen)
        {
            if (sum > 0)
            {
                const auto part = static_cast<std::uint32_t>(
                    static_cast<std::int64_t>(amount) * slots_of(c) / sum);
                c.tasks += part;
                given += part;
            }
        }
        return given;
    };
    const auto free_slots = [](const candidate& c) { return c.free_slots; };
    const auto all_slots = [](const candidate& c) { return c.all_slots; };
    const std::int64_t free =
        std::accumulate(chosen.begin(), chosen.end(), std::int64_t{0},
                        [&](std::int64_t sum, const candidate& c) {
                            return sum + c.free_slots;
                        });
    const auto at_once =
        static_cast<std::uint32_t>(std::min<std::int64_t>(free, tasks));
    std::uint32_t given = share(free_slots, at_once);
    given += share(all_slots, tasks - at_once);
    // What rounding left over goes to the shards in order.
    for (std::size_t i = 0; given < tasks; ++i, ++given)
    {
        ++chosen[i % chosen.size()].tasks;
    }
}

} // namespace

std::string reason_never_to_run(const batch_context& context,
                                const job_submission& job)
{
    const bool fits =
        std::ranges::any_of(context.workers.shards(), [&](const auto& item) {
            return context.zone_is_allowed(job, item.first.zone) &&
                   context.workers.can_fit(item.first, job.task_size);
        });
    if (fits)
    {
        return {};
    }
    const resources& size = job.task_size;
    return "no worker in the allowed zones is large enough for a task of " +
           std::to_string(size.processors.value) + " millicores, " +
           std::to_string(size.memory.value) + " MB and " +
           std::to_string(size.accelerators.value) + " accelerators";
}

std::vector<job_row_part> split_job(batch_context& context,
                                    const job_submission& job, time_point now)
{
    std::vector<candidate> chosen = candidates_for(context, job, now, false);
    if (chosen.empty())
    {
        // Every allowed zone is out of service: the job waits there.
        chosen = candidates_for(context, job, now, true);
    }
    std::ranges::sort(chosen, {},
                      [&](const candidate& c) { return order_of(c, job.id); });
    const std::size_t parts = std::clamp<std::size_t>(
        job.tasks / tasks_per_part_at_least, 1, most_parts);
    chosen.resize(std::min(chosen.size(), parts));
    std::vector<job_row_part> split;
    if (chosen.empty())
    {
        return split;
    }
    share_out(chosen, job.tasks);
    std::uint32_t first = 0;
    for (const candidate& c : chosen)
    {
        if (c.tasks == 0)
        {
            continue;
        }
        split.push_back({c.shard, first, c.tasks});
        first += c.tasks;
        const auto known = context.digests.find(c.shard);
        for (std::uint32_t i = 0;
             known != context.digests.end() && i < c.tasks &&
             job.task_size.fits_in(known->second.digest.free);
             ++i)
        {
            known->second.digest.free -= job.task_size;
        }
    }
    return split;
}

} // namespace hemlockdeal
