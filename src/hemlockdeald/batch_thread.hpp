// Thread that runs the batch core and the control state machines (VM lease and
// configuration).
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <QTimer>

#include "batch/batch.hpp"
#include "control/control.hpp"
#include "event_loop_thread.hpp"
#include "mailbox.hpp"
#include "messages.hpp"
#include "settings/settings.hpp"
#include "tail_tracker.hpp"

namespace hemlockdeal
{

// Parses the declaration stored in a configuration row.
struct declaration_text_parser
{
    result<declaration> operator()(const std::string& text) const;
};

// Passes the reply to an operator's request; called in the batch thread.
using reply_function = std::function<void(operator_reply)>;

struct pending_operator_request
{
    operator_request request;
    reply_function reply;
};

// Destinations of the messages that the batch thread sends.
struct batch_outputs
{
    mailbox<platform_request>* platform = nullptr;
    std::function<void(send_to_peer)> to_peer;
    std::function<void(shared_configuration)> to_proxy;
    std::function<void(timeline_event)> record;
};

class batch_thread
{
public:
    batch_thread(const daemon_settings& settings, incarnation process,
                 batch_outputs outputs);
    ~batch_thread();

    mailbox<peer_message>& from_peer() { return from_peer_; }
    mailbox<pending_operator_request>& from_operators()
    {
        return from_operators_;
    }
    // Outgoing peer messages of the proxy thread.
    mailbox<send_to_peer>& from_proxy() { return from_proxy_; }
    mailbox<std::vector<class_tail>>& tails() { return tails_; }

    // Handles a reply of the platform thread; must be called in the thread of
    // context().
    QObject& context() { return thread_.context(); }
    void on_platform(platform_reply&& reply);

    // Returns the status of the daemon; blocks until the batch thread has built
    // it.
    daemon_status summary();

    void start();

    // Releases the shards, waits until the release is durable or `limit` has
    // passed, and stops the thread.
    void stop(duration limit);

private:
    using manager = configuration_manager<declaration_text_parser>;
    using core = batch_core<target_policy>;

    struct state_machines
    {
        state_machines(const daemon_settings& settings, incarnation process);
        vm_lease lease;
        manager configuration;
        core batch;
        QTimer timer;
    };

    // Each passes a reply of the platform thread to its state machine.
    void take(const commit_reply& reply, time_point now);
    void take(const row_result& reply, time_point now);
    void take(const rows_result& reply, time_point now);
    void take(const report_result& reply, time_point now);
    void take(const commands_result& reply, time_point now);
    void take(const shared_membership& list, time_point now);
    void tick();
    void after_event(time_point now);
    void update_lease(time_point now);
    void execute_control_action(control_action&& action);
    void execute_batch_action(batch_action&& action);
    void send_to_platform(platform_request&& request);
    void handle_operator_request(pending_operator_request&& pending);
    void reply_to_operator(std::uint64_t number, operator_reply reply);
    daemon_status status(time_point now) const;
    void add_tail(class_status& entry) const;
    void add_operator_address(peer_status& peer) const;

    daemon_settings settings_;
    incarnation process_;
    batch_outputs outputs_;
    mailbox<peer_message> from_peer_;
    mailbox<pending_operator_request> from_operators_;
    mailbox<send_to_peer> from_proxy_;
    mailbox<std::vector<class_tail>> tails_;
    std::vector<class_tail> latest_tails_;
    // Created and destroyed in the thread that uses it.
    std::optional<state_machines> state_machines_;
    std::map<std::uint64_t, reply_function> pending_replies_;
    std::uint64_t last_request_number_ = 0;
    std::optional<time_point> reported_valid_until_;
    event_loop_thread thread_;
};

} // namespace hemlockdeal
