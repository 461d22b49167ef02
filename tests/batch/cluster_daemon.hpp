// One daemon of the test cluster.
#pragma once

#include <memory>
#include <optional>

#include "batch/cluster.hpp"

namespace hemlockdeal::test
{

constexpr duration table_timeout = std::chrono::seconds(1);
constexpr duration worker_timeout = std::chrono::seconds(1);

inline availability_zone_id zone_id(std::size_t zone)
{
    return availability_zone_id("zone-" + std::to_string(zone));
}

struct cluster::daemon
{
    vm_id vm;
    availability_zone_id zone;
    incarnation own_incarnation;
    std::uint64_t life = 0;
    bool alive = false;
    time_point paused_until;
    bool cut_from_table = false;
    bool cut_from_workers = false;
    duration clock_offset{};

    membership_merge merge;
    configuration_state configuration;
    std::unique_ptr<batch_core<first_fit_policy>> core;

    std::uint64_t control_rounds = 0;
    bool renewing = false;
    std::optional<row_version> lease_version;
    std::uint64_t lease_counter = 0;
    std::optional<time_point> valid_until; // local time

    time_point local(time_point t) const { return t + clock_offset; }
};

} // namespace hemlockdeal::test
