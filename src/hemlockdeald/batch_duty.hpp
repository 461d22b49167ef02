// The thread of the batch core and of the control state machines: VM lease
// and configuration.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <QTimer>

#include "batch/batch.hpp"
#include "control/control.hpp"
#include "duty.hpp"
#include "mailbox.hpp"
#include "messages.hpp"
#include "settings/settings.hpp"
#include "tail_tracker.hpp"

namespace hemlockdeal
{

// Reads a declaration as part of a configuration row.
struct declaration_text_parser
{
    result<declaration> operator()(const std::string& text) const;
};

// Answers an operator's request; called in the batch thread.
using reply_function = std::function<void(operator_reply)>;

struct operator_question
{
    operator_request request;
    reply_function reply;
};

// Where the duty's outgoing messages go.
struct batch_outputs
{
    mailbox<platform_request>* platform = nullptr;
    std::function<void(send_to_peer)> to_peer;
    std::function<void(shared_configuration)> to_proxy;
    std::function<void(timeline_event)> record;
};

class batch_duty
{
public:
    batch_duty(const daemon_settings& settings, incarnation first,
               batch_outputs outputs);
    ~batch_duty();

    mailbox<peer_message>& from_peer() { return from_peer_; }
    mailbox<operator_question>& from_operators() { return from_operators_; }
    // Peer messages of the proxy's thread, to be sent.
    mailbox<send_to_peer>& from_proxy() { return from_proxy_; }
    mailbox<std::vector<class_tail>>& tails() { return tails_; }

    // Receives the replies of the platform's thread.
    QObject& context() { return duty_.context(); }
    void on_platform(platform_reply&& reply);

    // Asks the thread for its state.
    daemon_status summary();

    void start();

    // Releases the shards, waits until that is durable or `limit` has passed,
    // and stops the thread.
    void stop(duration limit);

private:
    using manager = configuration_manager<declaration_text_parser>;
    using core = batch_core<target_policy>;

    struct machines
    {
        machines(const daemon_settings& settings, incarnation first);
        vm_lease lease;
        manager configuration;
        core batch;
        QTimer timer;
    };

    void tick();
    void after_event(time_point now);
    void drive_lease(time_point now);
    void carry_out_control(control_action&& action);
    void carry_out_batch(batch_action&& action);
    void request_table(platform_request&& request);
    void ask(operator_question&& question);
    void answer(std::uint64_t number, operator_reply reply);
    daemon_status status(time_point now) const;
    void add_tail(class_status& line) const;
    void add_operators_address(peer_status& peer) const;
    void take_membership(const shared_membership& list, time_point now);

    daemon_settings settings_;
    incarnation first_;
    batch_outputs outputs_;
    mailbox<peer_message> from_peer_;
    mailbox<operator_question> from_operators_;
    mailbox<send_to_peer> from_proxy_;
    mailbox<std::vector<class_tail>> tails_;
    std::vector<class_tail> latest_tails_;
    // Created and destroyed in the thread.
    std::optional<machines> machines_;
    std::map<std::uint64_t, reply_function> questions_;
    std::uint64_t last_question_ = 0;
    std::optional<time_point> told_valid_until_;
    duty duty_;
};

} // namespace hemlockdeal
