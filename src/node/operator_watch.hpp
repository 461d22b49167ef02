// Watches the operators' declarations: the configuration and the availability
// zones that are out of service. Never reverts to an older configuration.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/jobs.hpp"
#include "node/declaration_budget.hpp"
#include "node/store_health.hpp"
#include "node/store_message.hpp"
#include "observe/logging.hpp"

namespace hemlockdeal::node
{

struct operator_changes
{
    std::optional<jobs::queue_directory::content> configuration;
    // Zones that were taken out of service (true) or put back into service
    // (false).
    std::vector<std::pair<availability_zone_id, bool>> zones;
    row_version newest;
    // True if this lists all declarations instead of only the changed ones.
    bool is_snapshot = false;
};

using operator_outcome = std::variant<operator_changes, history_lost, not_done>;

template <typename Source>
concept operator_source =
    requires(Source& source, row_version after, duration wait,
             std::function<void(operator_outcome)> on_changes)
{
    source.read_all(on_changes);
    source.read_changes(after, wait, on_changes);
};

struct operator_watch_options
{
    declaration_budget budget{std::chrono::milliseconds(4000)};
    duration retry_delay = std::chrono::milliseconds(150);
};

template <operator_source Source>
class operator_watch
{
public:
    struct listeners
    {
        std::function<void(const jobs::queue_directory&)> on_configuration;
        std::function<void(const std::set<availability_zone_id>&)> on_zones;
    };

    operator_watch(Source& source, std::function<time_point()> now,
                   store_health& health, operator_watch_options options,
                   listeners callbacks)
        : source_(source), now_(std::move(now)), health_(health),
          options_(options), callbacks_(std::move(callbacks))
    {}

    // Must be called every few milliseconds.
    void tick()
    {
        log_overdue();
        if (is_polling_ || now_() < next_poll_)
        {
            return;
        }
        is_polling_ = true;
        const auto on_outcome =
            [this, asked_at = now_()](const operator_outcome& outcome) {
                is_polling_ = false;
                handle_outcome(outcome, asked_at);
            };
        if (position_ == row_version(0))
        {
            source_.read_all(on_outcome);
            return;
        }
        // After a failure a change may be waiting already, and a response that
        // is not held back shows soonest whether the path works.
        const auto wait =
            has_failed_ ? duration{} : options_.budget.feed_wait();
        source_.read_changes(position_, wait, on_outcome);
    }

    const jobs::queue_directory& queues() const { return queues_; }

    // How old this VM's knowledge of the declarations is. Later changes may be
    // in the store, earlier ones are in force here.
    duration age() const { return now_() - known_at_; }
    // False while a declaration may be in force that this VM does not know.
    bool is_up_to_date() const
    {
        return age() <= options_.budget.apply_within();
    }

private:
    void handle_outcome(const operator_outcome& outcome, time_point asked_at)
    {
        if (const auto* const failed = std::get_if<not_done>(&outcome))
        {
            health_.on_failure(failed->reason);
            has_failed_ = true;
            next_poll_ = now_() + options_.retry_delay;
            return;
        }
        has_failed_ = false;
        health_.on_response(now_());
        if (std::holds_alternative<history_lost>(outcome))
        {
            log(log_level::warning,
                "declaration feed position is too old, reading all again");
            position_ = row_version(0);
            return;
        }
        const auto& changes = std::get<operator_changes>(outcome);
        position_ = std::max(position_, changes.newest);
        if (changes.configuration && queues_.adopt(*changes.configuration))
        {
            callbacks_.on_configuration(queues_);
            log_applied(asked_at);
        }
        apply_zones(changes);
        known_at_ = std::max(known_at_, asked_at);
        if (std::exchange(is_overdue_, false))
        {
            log(log_level::info, "declarations are up to date again",
                {{"version", std::to_string(queues_.version().value())}});
        }
    }

    // The last declarations stay in force: a VM that is cut off from the store
    // goes on serving.
    void log_overdue()
    {
        if (is_overdue_ || is_up_to_date())
        {
            return;
        }
        is_overdue_ = true;
        log(log_level::warning, "declarations may be out of date",
            {{"version", std::to_string(queues_.version().value())},
             {"known_ms_ago", to_milliseconds(age())}});
    }

    static std::string to_milliseconds(duration time)
    {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(time)
                .count());
    }

    void log_applied(time_point asked_at) const
    {
        log(log_level::info, "configuration applied",
            {{"version", std::to_string(queues_.version().value())},
             {"routes", std::to_string(queues_.all().routes.size())},
             {"asked_ms_ago", to_milliseconds(now_() - asked_at)},
             {"known_ms_ago", to_milliseconds(age())}});
    }

    void apply_zones(const operator_changes& changes)
    {
        auto closed_zones = changes.is_snapshot
                                ? std::set<availability_zone_id>{}
                                : closed_zones_;
        for (const auto& [zone, is_closed] : changes.zones)
        {
            if (is_closed)
            {
                closed_zones.insert(zone);
            }
            else
            {
                closed_zones.erase(zone);
            }
        }
        if (closed_zones != closed_zones_)
        {
            closed_zones_ = std::move(closed_zones);
            callbacks_.on_zones(closed_zones_);
        }
    }

    Source& source_;
    std::function<time_point()> now_;
    store_health& health_;
    operator_watch_options options_;
    listeners callbacks_;
    jobs::queue_directory queues_;
    std::set<availability_zone_id> closed_zones_;
    row_version position_;
    bool is_polling_ = false;
    bool has_failed_ = false;
    // The age was logged as beyond the budget.
    bool is_overdue_ = false;
    time_point next_poll_{};
    // When the last call with a complete answer was sent.
    time_point known_at_{now_()};
};

} // namespace hemlockdeal::node
