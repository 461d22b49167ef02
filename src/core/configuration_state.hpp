// The configuration that a daemon holds, and how recently it was confirmed to
// be the newest one. It decides whether the daemon may start new tasks.
#pragma once

#include <optional>

#include "core/declaration.hpp"
#include "core/ids.hpp"
#include "core/time.hpp"

namespace hemlockdeal
{

struct freshness_limits
{
    // New tasks start only within this time of a confirmation.
    duration start = std::chrono::milliseconds(2500);
    // A worker's start token is used only when it was received at most this
    // long after the newest confirmation. A token lives 2.5 s, so a start
    // happens at most 3.5 s after the confirmation; the stated bound is 4 s.
    duration token = std::chrono::milliseconds(1000);
};

class configuration_state
{
public:
    explicit configuration_state(freshness_limits limits = {});

    // Takes a configuration over when its version is higher than the one
    // held; returns whether it did.
    bool adopt(configuration candidate);

    // Records that the table's newest version was `version`, as answered to a
    // read that was sent at `sent_at`.
    void confirm_from_table(configuration_version version, time_point sent_at);

    // Records a peer's reply to a question sent at `sent_at`: the peer had
    // `version` confirmed `age` before it replied.
    void confirm_from_peer(configuration_version version, duration age,
                           time_point sent_at);

    const configuration* current() const;
    configuration_version version() const;

    // The version that should be fetched, when a newer one than the version
    // held is known to exist.
    std::optional<configuration_version> missing_version() const;

    // The highest version known to exist; at confirmed_at() no higher one did.
    configuration_version newest_known() const { return newest_known_; }

    std::optional<time_point> confirmed_at() const { return confirmed_at_; }

    // True when a task may start now in `zone` with a start token that was
    // received at `token_received_at`.
    bool may_start(const availability_zone_id& zone,
                   time_point token_received_at, time_point now) const;

    // True when the newest version was confirmed recently enough.
    bool is_fresh(time_point now) const;

private:
    void confirm(configuration_version version, time_point at);

    freshness_limits limits_;
    std::optional<configuration> current_;
    // Invariant: only rises. May be above the version held; then that version
    // has still to be fetched and nothing is fresh.
    configuration_version newest_known_;
    // Invariant: at this time no accepted version was higher than
    // confirmed_version_.
    std::optional<time_point> confirmed_at_;
    configuration_version confirmed_version_;
};

} // namespace hemlockdeal
