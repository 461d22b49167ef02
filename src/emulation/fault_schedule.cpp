// Draws the faults of one kind after another, each at a uniform time.
#include "emulation/fault_schedule.hpp"

#include <algorithm>
#include <iterator>

namespace hemlockdeal::emulation
{

namespace
{

// No fault before the first tasks run.
constexpr duration quiet_time = std::chrono::seconds(3);

class fault_generator
{
public:
    fault_generator(const crash_options& options, time_point begin)
        : options_(options), begin_(begin + quiet_time),
          random_(options.seed ^ 0x5eedU)
    {}

    void add(fault_kind kind, std::size_t count, std::size_t targets)
    {
        std::generate_n(std::back_inserter(faults_), count,
                        [&] { return draw(kind, targets); });
    }

    std::vector<scheduled_fault> take()
    {
        std::ranges::stable_sort(faults_, {}, &scheduled_fault::at);
        return std::move(faults_);
    }

private:
    scheduled_fault draw(fault_kind kind, std::size_t targets)
    {
        const auto at =
            begin_ + between(duration{}, options_.faulty_time - quiet_time);
        const auto target = random_() % std::max<std::size_t>(1, targets);
        return {at, kind, target,
                between(options_.min_partition, options_.max_partition)};
    }

    duration between(duration from, duration to)
    {
        return duration(std::uniform_int_distribution<duration::rep>(
            from.count(), to.count())(random_));
    }

    const crash_options& options_;
    time_point begin_;
    std::mt19937 random_;
    std::vector<scheduled_fault> faults_;
};

} // namespace

std::vector<scheduled_fault> schedule_faults(const crash_options& options,
                                             time_point begin)
{
    fault_generator generator(options, begin);
    const auto racks =
        (options.vms + options.vms_per_rack - 1) / options.vms_per_rack;
    generator.add(fault_kind::worker_crash, options.worker_crashes,
                  options.vms);
    generator.add(fault_kind::rack_loss, options.rack_losses, racks);
    generator.add(fault_kind::zone_loss, options.zone_losses, options.zones);
    generator.add(fault_kind::partition, options.partitions, options.vms);
    generator.add(fault_kind::planned_leave, options.planned_leaves,
                  options.vms);
    generator.add(fault_kind::leader_kill, options.leader_kills, 1);
    return generator.take();
}

} // namespace hemlockdeal::emulation
