// Keeps the configuration of one daemon up to date: polls the table, commits
// the operators' changes, confirms the newest version through peers while the
// table is unreachable, and pushes new versions to peers.
#pragma once

#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/control_action.hpp"
#include "control/peer_view.hpp"
#include "control/pending_changes.hpp"
#include "control/pending_reads.hpp"

namespace hemlockdeal
{

template <typename Parser>
concept declaration_parser = requires(const Parser& parser,
                                      const std::string& text)
{
    {
        parser(text)
        } -> std::same_as<result<declaration>>;
};

struct configuration_manager_settings
{
    duration poll_interval = std::chrono::milliseconds(500);
    duration heartbeat_interval = std::chrono::seconds(1);
    // Confirmation requests go to peers once the last confirmation is older
    // than this.
    duration confirmation_refresh_age = std::chrono::milliseconds(900);
    // A peer that reports an older version normally reads the new one from the
    // table itself, so the text is pushed only after this delay.
    duration push_delay = std::chrono::milliseconds(700);
    duration retry_interval = std::chrono::milliseconds(300);
    duration change_timeout = std::chrono::seconds(8);
    duration peer_timeout = std::chrono::seconds(3);
    // Requirement 4: once a version has been accepted for this long, no daemon
    // starts a task under an older one.
    duration start_bound = std::chrono::seconds(4);
};

// Heartbeat fields that other libraries provide.
struct heartbeat_fields
{
    bool lease_valid = false;
    std::vector<shard_digest> shards;
};

template <declaration_parser Parser>
class configuration_manager
{
public:
    configuration_manager(vm_id self, availability_zone_id zone, Parser parser,
                          freshness_limits limits = {},
                          configuration_manager_settings settings = {})
        : self_(std::move(self)), zone_(std::move(zone)),
          parser_(std::move(parser)), settings_(settings), state_(limits),
          peers_(self_, settings.peer_timeout, settings.push_delay),
          changes_(self_, {settings.change_timeout, settings.retry_interval},
                   reads_, actions_)
    {}

    const configuration_state& state() const { return state_; }

    // Sets the entry VMs of the membership list; this VM is skipped.
    void set_known_vms(
        const std::vector<std::pair<vm_id, availability_zone_id>>& vms)
    {
        peers_.set_peers(vms);
    }

    void on_tick(time_point now, std::int64_t unix_ms,
                 const heartbeat_fields& fields);
    void on_row(std::uint64_t number,
                const result<std::optional<table_row>>& row, time_point now,
                std::int64_t unix_ms);
    void on_rows(std::uint64_t number, const result<table_page>& page,
                 time_point now);
    void on_outcome(const commit_id& id, const commit_outcome& outcome,
                    time_point now, std::int64_t unix_ms);
    void on_peer(const peer_message& message, time_point now,
                 std::int64_t unix_ms);
    void on_operator(std::uint64_t number, const operator_request& request,
                     time_point now, std::int64_t unix_ms);

    // True when the table responded within the last 2 s.
    bool table_reachable(time_point now) const;
    std::vector<peer_status> peers(time_point now) const
    {
        return peers_.status(now);
    }

    std::vector<control_action> take_actions()
    {
        return std::exchange(actions_, {});
    }

private:
    void poll(time_point now);
    // Reads the newest version if it is known to exist and not held.
    void fetch_missing_version(time_point now);
    void request_confirmations(time_point now);
    void send_heartbeat(time_point now, const heartbeat_fields& fields);
    void on_head(const std::optional<table_row>& row, time_point sent_at,
                 time_point now);
    void on_version(const std::optional<table_row>& row, time_point now,
                    std::int64_t unix_ms);
    void on_heartbeat(const vm_id& sender, const peer_heartbeat& heartbeat,
                      time_point now);
    void on_confirm_request(const vm_id& sender, const confirm_request& request,
                            time_point now);
    void on_confirm_reply(const confirm_reply& reply);
    void adopt(const configuration_row& row, time_point now,
               std::int64_t unix_ms);
    void push_to(std::optional<vm_id> to);
    void begin_change(std::uint64_t number, const configuration_change& change,
                      time_point now);
    void complete_change(
        const std::optional<pending_changes::accepted_change>& change,
        time_point now, std::int64_t unix_ms);
    void read_history(std::uint64_t number, const history_query& query,
                      time_point now);
    void send_reply(std::uint64_t request, operator_reply reply);
    std::vector<daemon_confirmation> confirmations(time_point now,
                                                   std::int64_t unix_ms) const;
    void emit_event(std::string kind, std::string text);

    vm_id self_;
    availability_zone_id zone_;
    Parser parser_;
    configuration_manager_settings settings_;
    configuration_state state_;
    std::vector<control_action> actions_;
    peer_view peers_;
    pending_reads reads_;
    pending_changes changes_;
    std::map<std::uint64_t, time_point> confirm_requests_;
    std::uint64_t next_confirm_request_number_ = 1;
    time_point next_poll_{};
    time_point next_heartbeat_{};
    time_point next_confirm_request_{};
    std::optional<time_point> table_responded_at_;
    std::optional<time_point> adopted_at_;
    std::int64_t adopted_at_unix_ms_ = 0;
};

} // namespace hemlockdeal

#include "control/configuration_manager.ipp"
