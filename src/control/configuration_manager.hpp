// Keeps the configuration of one daemon up to date: polls the table, commits
// the operators' changes, confirms the newest version through peers while the
// table is unreachable, and pushes new versions to peers.
#pragma once

#include <concepts>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "control/configuration_row.hpp"
#include "control/peer_view.hpp"
#include "core/core.hpp"

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

// The daemon adopted this version.
struct configuration_adopted
{
    configuration_version version;
};

using control_action =
    std::variant<send_commit, read_row, read_rows, send_to_peer, record_event,
                 operator_answer, configuration_adopted>;

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
          peers_(self_, settings.peer_timeout, settings.push_delay)
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
    enum class read_purpose
    {
        poll_head,
        fetch_version,
        change_head,
        change_resolve,
        history
    };

    struct pending_read
    {
        read_purpose purpose = read_purpose::poll_head;
        time_point sent_at;
        std::uint64_t request = 0; // operator request, for changes and history
    };

    struct pending_change
    {
        configuration_change change;
        time_point deadline;
        time_point next_attempt;
        std::optional<table_commit>
            commit; // set once it has been handed out for sending
        bool in_flight = false;
    };

    std::uint64_t start_read(read_purpose purpose, const std::string& key,
                             time_point now, std::uint64_t request = 0);
    void poll(time_point now);
    void request_confirmations(time_point now);
    void send_heartbeat(time_point now, const heartbeat_fields& fields);
    void retry_changes(time_point now);
    void expire_reads(time_point now);
    void adopt(const configuration_row& row, time_point now,
               std::int64_t unix_ms);
    void push_to(std::optional<vm_id> to);
    void begin_change(std::uint64_t number, const configuration_change& change,
                      time_point now);
    void on_change_head(std::uint64_t request,
                        const std::optional<table_row>& row, time_point now,
                        std::int64_t unix_ms);
    void on_change_row(std::uint64_t request,
                       const std::optional<table_row>& row, time_point now,
                       std::int64_t unix_ms);
    void complete_change(std::uint64_t request, const configuration_row& row,
                         time_point now, std::int64_t unix_ms);
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
    std::map<std::uint64_t, pending_read> reads_;
    std::map<std::uint64_t, pending_change> changes_;
    std::map<std::uint64_t, time_point> confirm_requests_;
    std::uint64_t next_number_ = 1;
    time_point next_poll_{};
    time_point next_heartbeat_{};
    time_point next_confirm_request_{};
    std::optional<time_point> table_responded_at_;
    std::optional<time_point> adopted_at_;
    std::int64_t adopted_at_unix_ms_ = 0;
};

} // namespace hemlockdeal

#include "control/configuration_manager.ipp"
