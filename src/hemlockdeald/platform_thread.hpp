// Thread of the clients of the table service, the membership list and the
// workers.
#pragma once

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <QTimer>

#include "event_loop_thread.hpp"
#include "mailbox.hpp"
#include "messages.hpp"
#include "platform/platform.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

class platform_thread
{
public:
    explicit platform_thread(const platform_settings& settings);
    ~platform_thread();

    // One request ring and one reply ring for each thread that sends requests.
    mailbox<platform_request>& from_batch() { return from_batch_; }
    mailbox<platform_request>& from_proxy() { return from_proxy_; }
    mailbox<platform_reply>& to_batch() { return to_batch_; }
    mailbox<platform_reply>& to_proxy() { return to_proxy_; }

    // Thread-safe. Time since the last readable membership list, or since the
    // start, and the number of malformed entries in it.
    duration membership_age_at(time_point now) const;
    std::size_t malformed_members() const { return malformed_members_; }

    void start();
    void stop();

private:
    // Queues replies while their ring is full. Their number is bounded by the
    // clients' limits on outstanding calls.
    struct reply_sender
    {
        mailbox<platform_reply>* destination = nullptr;
        std::deque<platform_reply> pending;
        std::function<void()> on_full;

        void post(platform_reply reply);
        void flush();
    };

    struct clients
    {
        explicit clients(const platform_settings& settings);
        table_client table;
        membership_client membership;
        worker_client workers;
        QTimer membership_timer;
        QTimer retry_timer;
    };

    void open();
    void execute(const platform_request& request, reply_sender& to);
    // Each calls the platform and replies once, if only with an error.
    void call(const commit_request& request, reply_sender& to);
    void call(const row_request& request, reply_sender& to);
    void call(const rows_request& request, reply_sender& to);
    void call(const ask_for_report& request, reply_sender& to);
    void call(const send_commands& request, reply_sender& to);
    void fetch_membership();
    void publish_membership(received_membership&& received);
    void log_malformed(const std::vector<malformed_member>& malformed);
    void log_membership_age();
    void schedule_retry();

    platform_settings settings_;
    mailbox<platform_request> from_batch_;
    mailbox<platform_request> from_proxy_;
    mailbox<platform_reply> to_batch_;
    mailbox<platform_reply> to_proxy_;
    reply_sender batch_replies_;
    reply_sender proxy_replies_;
    // Created and destroyed in the thread that uses it.
    std::optional<clients> clients_;
    bool is_fetching_ = false;
    membership_merge merge_;
    malformed_member_log malformed_member_log_;
    membership_age membership_age_;
    std::string membership_error_; // of the last call, empty if it succeeded
    std::atomic<time_point> membership_received_at_;
    std::atomic<std::size_t> malformed_members_ = 0;
    event_loop_thread thread_;
};

} // namespace hemlockdeal
