// Executes the requests of the other threads with the platform clients.
#include "platform_thread.hpp"

#include <utility>

#include "clock.hpp"
#include "core/core.hpp"
#include "observe/observe.hpp"

namespace hemlockdeal
{

namespace
{

constexpr std::size_t request_ring_capacity = 4096;
constexpr std::size_t reply_ring_capacity = 4096;
// Reading the list every second stops new requests to a leaving endpoint within
// 3 s.
constexpr int membership_interval_ms = 1000;
constexpr int retry_interval_ms = 20;

} // namespace

platform_thread::clients::clients(const platform_settings& settings)
    : table(settings.table.value()), membership(settings.membership.value())
{}

platform_thread::platform_thread(const platform_settings& settings)
    : settings_(settings), from_batch_(request_ring_capacity),
      from_proxy_(request_ring_capacity), to_batch_(reply_ring_capacity),
      to_proxy_(reply_ring_capacity),
      batch_replies_{&to_batch_, {}, [this] { schedule_retry(); }},
      proxy_replies_{&to_proxy_, {}, [this] { schedule_retry(); }},
      membership_age_(lease_clock_now()),
      membership_received_at_(lease_clock_now()), thread_("platform")
{
    from_batch_.connect(thread_.context(),
                        [this](const platform_request& request) {
                            execute(request, batch_replies_);
                        });
    from_proxy_.connect(thread_.context(),
                        [this](const platform_request& request) {
                            execute(request, proxy_replies_);
                        });
}

platform_thread::~platform_thread()
{
    stop();
}

void platform_thread::start()
{
    thread_.start();
    thread_.run_and_wait([this] { open(); });
}

void platform_thread::stop()
{
    thread_.run_and_wait([this] { clients_.reset(); });
    thread_.stop();
}

void platform_thread::open()
{
    clients_.emplace(settings_);
    QObject::connect(&clients_->membership_timer, &QTimer::timeout,
                     &thread_.context(), [this] {
                         log_membership_age();
                         fetch_membership();
                     });
    clients_->membership_timer.start(membership_interval_ms);
    QObject::connect(&clients_->retry_timer, &QTimer::timeout,
                     &thread_.context(), [this] {
                         batch_replies_.flush();
                         proxy_replies_.flush();
                         schedule_retry();
                     });
    clients_->retry_timer.setSingleShot(true);
    fetch_membership();
}

void platform_thread::schedule_retry()
{
    const auto pending =
        !batch_replies_.pending.empty() || !proxy_replies_.pending.empty();
    if (clients_ && pending && !clients_->retry_timer.isActive())
    {
        clients_->retry_timer.start(retry_interval_ms);
    }
}

void platform_thread::fetch_membership()
{
    if (is_fetching_)
    {
        return;
    }
    is_fetching_ = true;
    clients_->membership.fetch([this](result<received_membership> list) {
        is_fetching_ = false;
        if (!is_ok(list))
        {
            membership_error_ = error_of(list).message;
            return;
        }
        membership_error_.clear();
        publish_membership(value_of(std::move(list)));
    });
}

void platform_thread::publish_membership(received_membership&& received)
{
    const auto now = lease_clock_now();
    membership_age_.on_list(now);
    membership_received_at_ = now;
    auto merged = merge_.apply(std::move(received));
    malformed_members_ = merged.malformed.size();
    log_malformed(merged.malformed);
    const auto shared =
        std::make_shared<const membership_list>(std::move(merged.list));
    batch_replies_.post(shared);
    proxy_replies_.post(shared);
}

void platform_thread::log_malformed(
    const std::vector<malformed_member>& malformed)
{
    for (const auto& notice : malformed_member_log_.on_list(malformed))
    {
        const auto& entry = notice.entry;
        const auto id = valid_utf8(entry.id);
        const auto index = std::to_string(entry.index);
        if (notice.has_gone)
        {
            log(log_level::info,
                "entry of the membership list is no longer malformed",
                {{"index", index}, {"id", id}});
            continue;
        }
        log(log_level::warning,
            "malformed entry of the membership list is not used",
            {{"index", index}, {"id", id}, {"fault", entry.fault}});
    }
}

void platform_thread::log_membership_age()
{
    const auto now = lease_clock_now();
    const auto change = membership_age_.check(now);
    if (!change)
    {
        return;
    }
    if (*change == membership_age::change::is_fresh_again)
    {
        log(log_level::info, "the membership list is up to date again");
        return;
    }
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
        membership_age_.age(now));
    log(log_level::warning, "the membership list is old; the last one holds",
        {{"seconds", std::to_string(seconds.count())},
         {"reason",
          membership_error_.empty() ? "no response" : membership_error_}});
}

duration platform_thread::membership_age_at(time_point now) const
{
    return now - membership_received_at_.load();
}

void platform_thread::execute(const platform_request& request, reply_sender& to)
{
    if (clients_)
    {
        std::visit([this, &to](const auto& r) { call(r, to); }, request);
    }
}

void platform_thread::call(const commit_request& request, reply_sender& to)
{
    const auto user = request.user;
    const auto id = request.commit.id;
    const auto refused = clients_->table.commit(
        request.commit, [&to, user, id](commit_outcome outcome) {
            to.post(commit_reply{user, id, std::move(outcome)});
        });
    if (refused)
    {
        to.post(commit_reply{user, id, commit_unknown{refused->message}});
    }
}

void platform_thread::call(const row_request& request, reply_sender& to)
{
    const auto user = request.user;
    const auto number = request.read.number;
    clients_->table.read_row(
        request.read.key,
        [&to, user, number](result<std::optional<table_row>> found) {
            to.post(row_result{user, number, std::move(found)});
        });
}

void platform_thread::call(const rows_request& request, reply_sender& to)
{
    const auto user = request.user;
    const auto number = request.read.number;
    clients_->table.read_rows(
        request.read.prefix, request.read.after, request.read.limit,
        [&to, user, number](result<table_page> page) {
            to.post(rows_result{user, number, std::move(page)});
        });
}

void platform_thread::call(const ask_for_report& request, reply_sender& to)
{
    const auto worker = request.worker;
    const auto sent_at = lease_clock_now();
    clients_->workers.report(
        request.address, request.request,
        [&to, worker, sent_at](worker_report_reply reply) {
            to.post(report_result{worker, std::move(reply), sent_at});
        });
}

void platform_thread::call(const send_commands& request, reply_sender& to)
{
    const auto number = request.number;
    clients_->workers.command(
        request.address, request.batch,
        [&to, number](worker_command_reply reply) {
            to.post(commands_result{number, std::move(reply)});
        });
}

void platform_thread::reply_sender::post(platform_reply reply)
{
    pending.push_back(std::move(reply));
    flush();
    if (!pending.empty())
    {
        on_full();
    }
}

void platform_thread::reply_sender::flush()
{
    while (!pending.empty() && destination->post(std::move(pending.front())))
    {
        pending.pop_front();
    }
}

} // namespace hemlockdeal
