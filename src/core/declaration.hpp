// The operators' declaration: classes of work with targets, teams with quotas,
// services, availability zones and the links between regions. It contains no
// weights and no VM names.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

enum class class_kind
{
    latency_critical,
    batch
};

// A class of work and its target.
struct work_class
{
    class_id id;
    class_kind kind = class_kind::batch;
    // Latency-critical: the share `percentile` of the requests is answered
    // within `target`. Batch: a job finishes within `target` of its submission.
    duration target{};
    double percentile = 0.99;
    bool idempotent = true;
    // Requests or tasks may be served in another region.
    bool cross_region = false;
    // Tasks start within 1 s, using headroom or evictions.
    bool urgent = false;
};

// Share of the batch capacity guaranteed to a team, in percent.
struct team
{
    team_id id;
    double quota_percent = 0.0;
};

// Maps request paths of a service to classes; the longest prefix wins.
struct route
{
    std::string path_prefix;
    class_id work_class;
};

struct service
{
    service_id id;
    std::uint32_t instances = 0;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    resources size;
    std::vector<route> routes;
};

struct availability_zone
{
    availability_zone_id id;
    region_id region;
};

// Bandwidth between regions: per direction, for all traffic together.
struct region_link
{
    std::uint64_t bits_per_second = 30'000'000;
};

struct declaration
{
    std::vector<work_class> classes;
    std::vector<team> teams;
    std::vector<service> services;
    std::vector<availability_zone> zones;
    region_link link;
};

// An accepted version of the configuration. The zones taken out of service are
// stored separately from the declaration, so that applying a new declaration
// does not put a zone back into service by accident.
struct configuration
{
    configuration_version version;
    std::string text; // TOML source of the declaration
    declaration content;
    std::vector<availability_zone_id> zones_out;
    std::string author;
    std::int64_t accepted_at_unix_ms = 0;
};

const work_class* find_class(const declaration& d, const class_id& id);
bool is_out(const configuration& c, const availability_zone_id& zone);
std::optional<region_id> region_of(const declaration& d,
                                   const availability_zone_id& zone);

} // namespace hemlockdeal
