// The thread that talks to table, membership and workers.
#pragma once

#include <deque>
#include <functional>
#include <optional>

#include <QTimer>

#include "duty.hpp"
#include "mailbox.hpp"
#include "messages.hpp"
#include "platform/platform.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

class platform_duty
{
public:
    explicit platform_duty(const platform_settings& settings);
    ~platform_duty();

    // One ring for each thread that asks, and one for each that is answered.
    mailbox<platform_request>& from_batch() { return from_batch_; }
    mailbox<platform_request>& from_proxy() { return from_proxy_; }
    mailbox<platform_reply>& to_batch() { return to_batch_; }
    mailbox<platform_reply>& to_proxy() { return to_proxy_; }

    void start();
    void stop();

private:
    // Replies that found their ring full wait here. Their number is bounded
    // by the calls that the clients let out at a time.
    struct outlet
    {
        mailbox<platform_reply>* mail = nullptr;
        std::deque<platform_reply> held;
        std::function<void()> on_held;

        void post(platform_reply reply);
        void post_held();
    };

    struct clients
    {
        explicit clients(const platform_settings& settings);
        table_client table;
        membership_client membership;
        worker_client workers;
        QTimer membership_timer;
        QTimer held_timer;
    };

    void open();
    void carry_out(platform_request&& request, outlet& to);
    void fetch_membership();
    void retry_held();

    platform_settings settings_;
    mailbox<platform_request> from_batch_;
    mailbox<platform_request> from_proxy_;
    mailbox<platform_reply> to_batch_;
    mailbox<platform_reply> to_proxy_;
    outlet batch_outlet_;
    outlet proxy_outlet_;
    // Created and destroyed in the thread.
    std::optional<clients> clients_;
    bool fetching_ = false;
    duty duty_;
};

} // namespace hemlockdeal
