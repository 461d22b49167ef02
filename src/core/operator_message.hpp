// Requests of operators and job submitters and the replies to them, independent
// of HTTP and JSON.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/declaration.hpp"
#include "core/finding.hpp"
#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/result.hpp"
#include "core/time.hpp"
#include "core/timeline_event.hpp"

namespace hemlockdeal
{

struct job_submission
{
    job_id id;
    team_id team;
    class_id work_class;
    std::uint32_t tasks = 1;
    resources task_size;
    duration declared_run_time{};
    std::string payload;
};

// Reply to a successful submission; rejected requests return an error.
struct submission_accepted
{
    job_id id;
};

struct job_query
{
    job_id id;
};

// State of a job, aggregated over all its parts.
struct job_status
{
    job_id id;
    std::map<std::string, std::uint32_t> tasks_by_state;
    std::string waiting_reason; // empty if no task waits
    std::vector<shard_id> shards;
    std::uint32_t evictions = 0;
};

struct job_cancellation
{
    job_id id;
};

enum class cancel_outcome
{
    never_ran,
    was_stopped,
    unknown_yet,
    already_finished
};

struct cancellation_recorded
{
    job_id id;
    cancel_outcome outcome = cancel_outcome::unknown_yet;
};

// Proposes a new version of the configuration that replaces `based_on`.
struct configuration_change
{
    // Idempotency key: a repeated change with the same ID is applied once.
    std::string id;
    configuration_version based_on;
    std::string author;
    std::string text;
    declaration content;
    std::vector<availability_zone_id> zones_out;
};

struct change_accepted
{
    configuration_version version;
};

// Another change based on the same version was accepted first.
struct change_lost_race
{
    configuration_version version;
    std::string author;
};

struct configuration_query
{};

struct history_query
{
    std::uint32_t limit = 20;
};

struct history_entry
{
    configuration_version version;
    std::string author;
    std::int64_t accepted_at_unix_ms = 0;
    std::vector<availability_zone_id> zones_out;
};

struct confirmations_query
{};

// What is known of a daemon's configuration. A daemon that is not reached
// starts nothing under an older version after `starts_nothing_after_unix_ms`.
struct daemon_confirmation
{
    vm_id vm;
    availability_zone_id zone;
    bool reached = false;
    configuration_version version;
    duration age{};
    std::int64_t starts_nothing_after_unix_ms = 0;
};

struct status_query
{};

struct class_status
{
    class_id id;
    class_kind kind = class_kind::batch;
    duration target{};
    double percentile = 0.0;
    std::optional<duration> measured;
    bool met = true;
    std::string reason; // why the target is not met
};

struct shard_status
{
    shard_id shard;
    vm_id owner;
    epoch owner_epoch;
    resources free;
    std::uint32_t workers = 0;
    std::uint32_t workers_quarantined = 0;
    std::uint32_t tasks_running = 0;
    std::uint32_t tasks_waiting = 0;
};

struct peer_status
{
    vm_id vm;
    availability_zone_id zone;
    bool reachable = false;
    duration last_heard{};
    // ip:port at which the peer serves operators; used by the command-line
    // tool.
    std::string operators;
};

struct daemon_status
{
    vm_id vm;
    availability_zone_id zone;
    bool lease_valid = false;
    configuration_version version;
    std::optional<duration> configuration_age;
    bool table_reachable = false;
    std::vector<class_status> classes;
    std::vector<shard_status> shards;
    std::vector<peer_status> peers;
};

using operator_request =
    std::variant<job_submission, job_query, job_cancellation,
                 configuration_change, configuration_query, history_query,
                 confirmations_query, status_query>;

using operator_reply =
    std::variant<error, submission_accepted, job_status, cancellation_recorded,
                 change_accepted, change_lost_race, configuration,
                 std::vector<history_entry>, std::vector<daemon_confirmation>,
                 daemon_status>;

} // namespace hemlockdeal
