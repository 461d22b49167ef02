// The configuration of a daemon and the time at which it was last confirmed to
// be the newest one. Determines whether the daemon may start new tasks.
#pragma once

#include <optional>

#include "core/declaration.hpp"
#include "core/ids.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

struct freshness_limits
{
    // Maximum age of the confirmation when a task starts.
    duration max_confirmation_age = std::chrono::milliseconds(2500);
    // A worker's start token is used only if it was received at most this long
    // after the newest confirmation. A token is valid for 2.5 s, so a task
    // starts at most 3.5 s after the confirmation; the required bound is 4 s.
    duration max_token_delay = std::chrono::milliseconds(1000);
};

class configuration_state
{
public:
    explicit configuration_state(freshness_limits limits = {});

    // Adopts a configuration if its version is higher than the current one.
    // Returns whether it was adopted.
    bool adopt(configuration candidate);

    // Records that a table read sent at `sent_at` returned `version` as the
    // newest version.
    void confirm_from_table(configuration_version version, time_point sent_at);

    // Records a peer's reply to a confirmation request sent at `sent_at`: the
    // peer last confirmed `version` a time of `age` before it replied.
    void confirm_from_peer(configuration_version version, duration age,
                           time_point sent_at);

    const configuration* current() const;
    configuration_version version() const;

    // The version to fetch if one newer than the current version is known to
    // exist.
    std::optional<configuration_version> missing_version() const;

    // The highest version known to exist; at confirmed_at() there was no higher
    // one.
    configuration_version newest_known() const { return newest_known_; }

    std::optional<time_point> confirmed_at() const { return confirmed_at_; }

    // Whether a task may start in `zone` at `now` with a start token that was
    // received at `token_received_at`.
    bool may_start(const availability_zone_id& zone,
                   time_point token_received_at, time_point now) const;

    // Whether the newest version is held and was confirmed recently enough.
    bool is_fresh(time_point now) const;

private:
    void confirm(configuration_version version, time_point at);

    freshness_limits limits_;
    std::optional<configuration> current_;
    // Invariant: never decreases. If it is above the current version, that
    // version has not been fetched yet and is_fresh() is false.
    configuration_version newest_known_;
    // Invariant: no version above confirmed_version_ had been accepted at this
    // time.
    std::optional<time_point> confirmed_at_;
    configuration_version confirmed_version_;
};

} // namespace hemlockdeal
