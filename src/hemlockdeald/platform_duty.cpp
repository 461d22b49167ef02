// Carries out the requests of the other threads by the platform's clients.
#include "platform_duty.hpp"

#include <utility>

#include "clock.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

namespace
{

constexpr std::size_t request_ring = 4096;
constexpr std::size_t reply_ring = 4096;
// The list is read every second, so that an endpoint that leaves gets nothing
// new within 3 s.
constexpr int membership_interval_ms = 1000;
constexpr int held_interval_ms = 20;

} // namespace

platform_duty::clients::clients(const platform_settings& settings)
    : table(settings.table.value()), membership(settings.membership.value())
{}

platform_duty::platform_duty(const platform_settings& settings)
    : settings_(settings), from_batch_(request_ring), from_proxy_(request_ring),
      to_batch_(reply_ring),
      to_proxy_(reply_ring), batch_outlet_{&to_batch_,
                                           {},
                                           [this] { retry_held(); }},
      proxy_outlet_{&to_proxy_, {}, [this] { retry_held(); }}, duty_("platform")
{
    from_batch_.connect(duty_.context(), [this](platform_request&& request) {
        carry_out(std::move(request), batch_outlet_);
    });
    from_proxy_.connect(duty_.context(), [this](platform_request&& request) {
        carry_out(std::move(request), proxy_outlet_);
    });
}

platform_duty::~platform_duty()
{
    stop();
}

void platform_duty::start()
{
    duty_.start();
    duty_.run_and_wait([this] { open(); });
}

void platform_duty::stop()
{
    duty_.run_and_wait([this] { clients_.reset(); });
    duty_.stop();
}

void platform_duty::open()
{
    clients_.emplace(settings_);
    QObject::connect(&clients_->membership_timer, &QTimer::timeout,
                     &duty_.context(), [this] { fetch_membership(); });
    clients_->membership_timer.start(membership_interval_ms);
    QObject::connect(&clients_->held_timer, &QTimer::timeout, &duty_.context(),
                     [this] {
                         batch_outlet_.post_held();
                         proxy_outlet_.post_held();
                         retry_held();
                     });
    clients_->held_timer.setSingleShot(true);
    fetch_membership();
}

void platform_duty::retry_held()
{
    const auto held =
        !batch_outlet_.held.empty() || !proxy_outlet_.held.empty();
    if (clients_ && held && !clients_->held_timer.isActive())
    {
        clients_->held_timer.start(held_interval_ms);
    }
}

void platform_duty::fetch_membership()
{
    if (fetching_)
    {
        return;
    }
    fetching_ = true;
    clients_->membership.fetch([this](result<membership_list> list) {
        fetching_ = false;
        if (!is_ok(list))
        {
            return;
        }
        const auto shared =
            std::make_shared<const membership_list>(value_of(std::move(list)));
        batch_outlet_.post(shared);
        proxy_outlet_.post(shared);
    });
}

void platform_duty::carry_out(platform_request&& request, outlet& to)
{
    if (!clients_)
    {
        return;
    }
    if (auto* commit = std::get_if<commit_request>(&request))
    {
        const auto user = commit->user;
        const auto id = commit->commit.id;
        const auto refused = clients_->table.commit(
            commit->commit, [&to, user, id](commit_outcome outcome) {
                to.post(commit_reply{user, id, std::move(outcome)});
            });
        if (refused)
        {
            to.post(commit_reply{user, id, commit_unknown{refused->message}});
        }
    }
    else if (auto* row = std::get_if<row_request>(&request))
    {
        const auto user = row->user;
        const auto number = row->read.number;
        clients_->table.read_row(
            row->read.key,
            [&to, user, number](result<std::optional<table_row>> found) {
                to.post(row_result{user, number, std::move(found)});
            });
    }
    else if (auto* rows = std::get_if<rows_request>(&request))
    {
        const auto user = rows->user;
        const auto number = rows->read.number;
        clients_->table.read_rows(
            rows->read.prefix, rows->read.after, rows->read.limit,
            [&to, user, number](result<table_page> page) {
                to.post(rows_result{user, number, std::move(page)});
            });
    }
    else if (auto* ask = std::get_if<ask_for_report>(&request))
    {
        const auto worker = ask->worker;
        const auto sent_at = lease_clock_now();
        clients_->workers.report(
            ask->address, ask->request,
            [&to, worker, sent_at](worker_report_reply reply) {
                to.post(report_result{worker, std::move(reply), sent_at});
            });
    }
    else if (auto* send = std::get_if<send_commands>(&request))
    {
        const auto number = send->number;
        clients_->workers.command(
            send->address, send->batch,
            [&to, number](worker_command_reply reply) {
                to.post(commands_result{number, std::move(reply)});
            });
    }
}

void platform_duty::outlet::post(platform_reply reply)
{
    held.push_back(std::move(reply));
    post_held();
    if (!held.empty())
    {
        on_held();
    }
}

void platform_duty::outlet::post_held()
{
    while (!held.empty() && mail->post(std::move(held.front())))
    {
        held.pop_front();
    }
}

} // namespace hemlockdeal
