// Counts runs, resource use and table operations of the stand-ins.
#include "standin/run_record.hpp"

#include <algorithm>
#include <numeric>

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::int64_t unix_s()
{
    return unix_ms() / 1000;
}

const char* member_name(run_outcome outcome)
{
    switch (outcome)
    {
    case run_outcome::finished:
        return "finishes";
    case run_outcome::failed:
        return "failures";
    case run_outcome::stopped:
        return "stops";
    case run_outcome::lease_expired:
        return "lease_expiries";
    case run_outcome::vm_lost:
        break;
    }
    return "losses";
}

} // namespace

void run_record::count_start(const run_key& run, const std::string& worker,
                             const std::string& zone)
{
    auto& task = tasks_[run.first];
    ++task.starts;
    if (!task.running.empty())
    {
        ++task.overlaps;
    }
    task.running.emplace(worker, run.second);
    starts_.push_back({unix_ms(), run, worker, zone});
}

void run_record::count_end(const run_key& run, const std::string& worker,
                           run_outcome outcome)
{
    auto& task = tasks_[run.first];
    task.running.erase({worker, run.second});
    ++task.outcomes[outcome];
}

void run_record::count_committed(const std::string& worker,
                                 const resources& committed,
                                 const resources& size)
{
    auto& count = workers_[worker];
    count.size = size;
    count.highest.processors =
        std::max(count.highest.processors, committed.processors);
    count.highest.memory = std::max(count.highest.memory, committed.memory);
    count.highest.accelerators =
        std::max(count.highest.accelerators, committed.accelerators);
    if (!committed.fits_in(size))
    {
        ++count.times_exceeded;
    }
}

void run_record::count_commit(std::size_t rows)
{
    auto& second = table_[unix_s()];
    ++second.commits;
    second.rows += rows;
}

void run_record::count_read()
{
    ++table_[unix_s()].reads;
}

std::uint64_t run_record::starts(const std::string& task) const
{
    const auto found = tasks_.find(task);
    return found == tasks_.end() ? 0 : found->second.starts;
}

std::uint64_t run_record::finishes(const std::string& task) const
{
    const auto found = tasks_.find(task);
    if (found == tasks_.end())
    {
        return 0;
    }
    const auto end = found->second.outcomes.find(run_outcome::finished);
    return end == found->second.outcomes.end() ? 0 : end->second;
}

std::uint64_t run_record::overlaps() const
{
    return std::accumulate(tasks_.begin(), tasks_.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& task) {
                               return sum + task.second.overlaps;
                           });
}

std::uint64_t run_record::commits() const
{
    return std::accumulate(table_.begin(), table_.end(), std::uint64_t{0},
                           [](std::uint64_t sum, const auto& second) {
                               return sum + second.second.commits;
                           });
}

json::object run_record::to_json() const
{
    json::object tasks;
    std::ranges::for_each(tasks_, [&](const auto& entry) {
        json::object task{{"starts", entry.second.starts},
                          {"overlaps", entry.second.overlaps},
                          {"running", entry.second.running.size()}};
        std::ranges::for_each(entry.second.outcomes, [&](const auto& end) {
            task[member_name(end.first)] = end.second;
        });
        tasks[entry.first] = std::move(task);
    });
    json::object workers;
    std::ranges::for_each(workers_, [&](const auto& entry) {
        const auto& count = entry.second;
        workers[entry.first] = {
            {"highest_processors_milli", count.highest.processors.value},
            {"highest_memory_mb", count.highest.memory.value},
            {"highest_accelerators", count.highest.accelerators.value},
            {"processors_milli", count.size.processors.value},
            {"memory_mb", count.size.memory.value},
            {"accelerators", count.size.accelerators.value},
            {"times_exceeded", count.times_exceeded}};
    });
    json::array seconds;
    std::ranges::for_each(table_, [&](const auto& entry) {
        seconds.push_back({{"at_ms", entry.first * 1000},
                           {"commits", entry.second.commits},
                           {"rows", entry.second.rows},
                           {"reads", entry.second.reads}});
    });
    json::array starts;
    std::ranges::for_each(starts_, [&](const start_entry& entry) {
        starts.push_back({{"at_ms", entry.at_ms},
                          {"task", entry.run.first},
                          {"attempt", entry.run.second},
                          {"worker", entry.worker},
                          {"zone", entry.zone}});
    });
    return {
        {"tasks", std::move(tasks)},     {"overlaps", overlaps()},
        {"workers", std::move(workers)}, {"table_seconds", std::move(seconds)},
        {"table_conflicts", conflicts_}, {"starts", std::move(starts)}};
}

} // namespace hemlockdeal
