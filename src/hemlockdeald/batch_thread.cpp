// Feeds events and clock ticks to the state machines of the batch thread and
// executes the actions that they return.
#include "batch_thread.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "clock.hpp"

namespace hemlockdeal
{

namespace
{

constexpr std::size_t peer_ring_capacity = 4096;
constexpr std::size_t operator_ring_capacity = 256;
constexpr std::size_t proxy_ring_capacity = 1024;
constexpr std::size_t tails_ring_capacity = 16;
// Bounds the delay until urgent work is flushed to 100 ms, well within its
// limit of 1 s. A shorter interval costs processor time on an idle daemon.
constexpr int tick_interval_ms = 50;

batch_options options_of(const daemon_settings& settings)
{
    batch_options options;
    options.vm = settings.id;
    options.zone = settings.zone;
    options.region = settings.region;
    options.shards_per_zone = settings.shards_per_zone;
    options.workers_fence = settings.workers_fence;
    return options;
}

// The reply to a request that could not be queued: the same as for any failed
// call, so that the state machine schedules the retry itself.
struct reply_to_unsent
{
    std::string reason =
        "the request ring of the platform thread is full; nothing was sent";

    platform_reply operator()(const commit_request& request) const
    {
        return commit_reply{request.user, request.commit.id,
                            commit_unknown{reason}};
    }
    platform_reply operator()(const row_request& request) const
    {
        return row_result{request.user, request.read.number,
                          error{error_code::unavailable, reason}};
    }
    platform_reply operator()(const rows_request& request) const
    {
        return rows_result{request.user, request.read.number,
                           error{error_code::unavailable, reason}};
    }
    platform_reply operator()(const ask_for_report& request) const
    {
        return report_result{request.worker, worker_unreachable{reason},
                             lease_clock_now()};
    }
    platform_reply operator()(const send_commands& request) const
    {
        return commands_result{request.number, worker_unreachable{reason}};
    }
};

} // namespace

result<declaration>
declaration_text_parser::operator()(const std::string& text) const
{
    auto parsed = parse_declaration(text, "declaration");
    if (auto* accepted = std::get_if<declaration>(&parsed))
    {
        return std::move(*accepted);
    }
    std::string message;
    std::ranges::for_each(std::get<findings>(parsed), [&](const finding& f) {
        message += (message.empty() ? "" : "; ") + to_text(f);
    });
    return error{error_code::invalid_input, message};
}

batch_thread::state_machines::state_machines(const daemon_settings& settings,
                                             incarnation process)
    : lease(settings.id, process),
      configuration(settings.id, settings.zone, declaration_text_parser{}),
      batch(options_of(settings), configuration.state())
{}

batch_thread::batch_thread(const daemon_settings& settings, incarnation process,
                           batch_outputs outputs)
    : settings_(settings), process_(process), outputs_(std::move(outputs)),
      from_peer_(peer_ring_capacity), from_operators_(operator_ring_capacity),
      from_proxy_(proxy_ring_capacity), tails_(tails_ring_capacity),
      thread_("batch")
{
    from_peer_.connect(thread_.context(), [this](peer_message&& message) {
        if (!state_machines_)
        {
            return;
        }
        const auto now = lease_clock_now();
        state_machines_->configuration.on_peer(message, now, unix_ms_now());
        state_machines_->batch.on_peer(
            message.sender, message.sender_incarnation, message.body, now);
        after_event(now);
    });
    from_operators_.connect(thread_.context(),
                            [this](pending_operator_request&& pending) {
                                handle_operator_request(std::move(pending));
                            });
    from_proxy_.connect(thread_.context(), [this](send_to_peer&& message) {
        outputs_.to_peer(std::move(message));
    });
    tails_.connect(thread_.context(), [this](std::vector<class_tail>&& tails) {
        if (!state_machines_)
        {
            return;
        }
        std::vector<service_tail> service_tails;
        std::ranges::transform(
            tails, std::back_inserter(service_tails),
            [](const class_tail& tail) {
                return service_tail{tail.work_class, tail.share_of_target};
            });
        state_machines_->batch.on_service_tails(std::move(service_tails));
        latest_tails_ = std::move(tails);
    });
}

batch_thread::~batch_thread()
{
    stop(duration::zero());
}

void batch_thread::start()
{
    thread_.start();
    thread_.run_and_wait([this] {
        state_machines_.emplace(settings_, process_);
        QObject::connect(&state_machines_->timer, &QTimer::timeout,
                         &thread_.context(), [this] { tick(); });
        state_machines_->timer.setTimerType(Qt::PreciseTimer);
        state_machines_->timer.start(tick_interval_ms);
    });
}

void batch_thread::stop(duration limit)
{
    const auto stopped = [this] {
        bool done = true;
        thread_.run_and_wait([&] {
            done = !state_machines_ || state_machines_->batch.stopped();
        });
        return done;
    };
    thread_.run_and_wait([this] {
        if (state_machines_)
        {
            const auto now = lease_clock_now();
            state_machines_->batch.stop(now);
            after_event(now);
        }
    });
    const auto deadline = lease_clock_now() + limit;
    while (lease_clock_now() < deadline && !stopped())
    {
        QThread::msleep(tick_interval_ms);
    }
    thread_.run_and_wait([this] { state_machines_.reset(); });
    thread_.stop();
}

void batch_thread::tick()
{
    const auto now = lease_clock_now();
    state_machines_->configuration.on_tick(
        now, unix_ms_now(),
        {state_machines_->lease.valid(now),
         state_machines_->batch.digests(now)});
    state_machines_->batch.on_tick(now);
    after_event(now);
}

void batch_thread::after_event(time_point now)
{
    update_lease(now);
    // Configuration actions are executed first, since the batch core reads the
    // configuration state.
    for (auto& action : state_machines_->configuration.take_actions())
    {
        execute_control_action(std::move(action));
    }
    for (auto& action : state_machines_->batch.take_actions())
    {
        execute_batch_action(std::move(action));
    }
}

void batch_thread::update_lease(time_point now)
{
    auto& lease = state_machines_->lease;
    if (lease.valid_until() != reported_valid_until_)
    {
        reported_valid_until_ = lease.valid_until();
        state_machines_->batch.on_lease(reported_valid_until_,
                                        lease.current_incarnation(), now);
    }
    if (state_machines_->batch.stopped())
    {
        return;
    }
    if (auto commit = lease.next_commit(now))
    {
        send_to_platform(commit_request{table_user::lease, std::move(*commit)});
    }
}

void batch_thread::on_platform(platform_reply&& reply)
{
    if (!state_machines_)
    {
        return;
    }
    const auto now = lease_clock_now();
    std::visit([this, now](const auto& r) { take(r, now); }, reply);
    after_event(now);
}

void batch_thread::take(const commit_reply& reply, time_point now)
{
    switch (reply.user)
    {
    case table_user::lease:
        state_machines_->lease.on_outcome(reply.id, reply.outcome, now);
        return;
    case table_user::configuration:
        state_machines_->configuration.on_outcome(reply.id, reply.outcome, now,
                                                  unix_ms_now());
        return;
    default:
        state_machines_->batch.on_commit_outcome(reply.id, reply.outcome, now);
    }
}

void batch_thread::take(const row_result& reply, time_point now)
{
    if (reply.user == table_user::configuration)
    {
        state_machines_->configuration.on_row(reply.number, reply.row, now,
                                              unix_ms_now());
        return;
    }
    state_machines_->batch.on_row(reply.number, reply.row, now);
}

void batch_thread::take(const rows_result& reply, time_point now)
{
    if (reply.user == table_user::configuration)
    {
        state_machines_->configuration.on_rows(reply.number, reply.page, now);
        return;
    }
    state_machines_->batch.on_rows(reply.number, reply.page, now);
}

void batch_thread::take(const report_result& reply, time_point now)
{
    state_machines_->batch.on_report(reply.worker, reply.reply, reply.sent_at,
                                     now);
}

void batch_thread::take(const commands_result& reply, time_point now)
{
    state_machines_->batch.on_command_reply(reply.number, reply.reply, now);
}

void batch_thread::take(const shared_membership& list, time_point now)
{
    std::vector<std::pair<vm_id, availability_zone_id>> vms;
    std::ranges::for_each(list->members, [&](const member& m) {
        if (m.kind == member_kind::entry_vm)
        {
            vms.emplace_back(vm_id(m.id), m.zone);
        }
    });
    state_machines_->configuration.set_known_vms(vms);
    state_machines_->batch.on_membership(*list, now);
}

void batch_thread::send_to_platform(platform_request&& request)
{
    if (outputs_.platform->post(std::move(request)))
    {
        return;
    }
    // NOLINTNEXTLINE(bugprone-use-after-move): a failed post() moves nothing.
    on_platform(std::visit(reply_to_unsent{}, request));
}

void batch_thread::execute_control_action(control_action&& action)
{
    if (auto* commit = std::get_if<send_commit>(&action))
    {
        send_to_platform(commit_request{table_user::configuration,
                                        std::move(commit->commit)});
    }
    else if (auto* row = std::get_if<read_row>(&action))
    {
        send_to_platform(
            row_request{table_user::configuration, std::move(*row)});
    }
    else if (auto* rows = std::get_if<read_rows>(&action))
    {
        send_to_platform(
            rows_request{table_user::configuration, std::move(*rows)});
    }
    else if (auto* peer = std::get_if<send_to_peer>(&action))
    {
        outputs_.to_peer(std::move(*peer));
    }
    else if (auto* record = std::get_if<record_event>(&action))
    {
        outputs_.record(std::move(record->event));
    }
    else if (auto* reply = std::get_if<operator_answer>(&action))
    {
        reply_to_operator(reply->number, std::move(reply->reply));
    }
    else
    {
        outputs_.to_proxy(std::make_shared<const configuration>(
            *state_machines_->configuration.state().current()));
    }
}

void batch_thread::execute_batch_action(batch_action&& action)
{
    if (auto* commit = std::get_if<send_commit>(&action))
    {
        send_to_platform(
            commit_request{table_user::batch, std::move(commit->commit)});
    }
    else if (auto* row = std::get_if<read_row>(&action))
    {
        send_to_platform(row_request{table_user::batch, std::move(*row)});
    }
    else if (auto* rows = std::get_if<read_rows>(&action))
    {
        send_to_platform(rows_request{table_user::batch, std::move(*rows)});
    }
    else if (auto* report_request = std::get_if<ask_for_report>(&action))
    {
        send_to_platform(std::move(*report_request));
    }
    else if (auto* commands = std::get_if<send_commands>(&action))
    {
        send_to_platform(std::move(*commands));
    }
    else if (auto* peer = std::get_if<send_to_peer>(&action))
    {
        outputs_.to_peer(std::move(*peer));
    }
    else if (auto* record = std::get_if<record_event>(&action))
    {
        outputs_.record(std::move(record->event));
    }
    else
    {
        auto& reply = std::get<operator_answer>(action);
        reply_to_operator(reply.number, std::move(reply.reply));
    }
}

void batch_thread::handle_operator_request(pending_operator_request&& pending)
{
    const auto now = lease_clock_now();
    if (!state_machines_)
    {
        pending.reply(error{error_code::unavailable, "the daemon is stopping"});
        return;
    }
    if (std::holds_alternative<status_query>(pending.request))
    {
        pending.reply(status(now));
        return;
    }
    const auto number = ++last_request_number_;
    pending_replies_[number] = std::move(pending.reply);
    const auto for_batch =
        std::holds_alternative<job_submission>(pending.request) ||
        std::holds_alternative<job_query>(pending.request) ||
        std::holds_alternative<job_cancellation>(pending.request);
    if (for_batch)
    {
        state_machines_->batch.on_operator(number, pending.request, now);
    }
    else
    {
        state_machines_->configuration.on_operator(number, pending.request, now,
                                                   unix_ms_now());
    }
    after_event(now);
}

void batch_thread::reply_to_operator(std::uint64_t number, operator_reply reply)
{
    const auto found = pending_replies_.find(number);
    if (found == pending_replies_.end())
    {
        return;
    }
    const auto reply_to = std::move(found->second);
    pending_replies_.erase(found);
    reply_to(std::move(reply));
}

daemon_status batch_thread::summary()
{
    daemon_status s;
    thread_.run_and_wait([&] {
        if (state_machines_)
        {
            s = status(lease_clock_now());
        }
    });
    return s;
}

daemon_status batch_thread::status(time_point now) const
{
    daemon_status s;
    s.vm = settings_.id;
    s.zone = settings_.zone;
    s.lease_valid = state_machines_->lease.valid(now);
    const auto& state = state_machines_->configuration.state();
    s.version = state.version();
    if (const auto confirmed = state.confirmed_at())
    {
        s.configuration_age = now - *confirmed;
    }
    s.table_reachable = state_machines_->configuration.table_reachable(now);
    if (state.current() != nullptr)
    {
        std::ranges::transform(state.current()->content.classes,
                               std::back_inserter(s.classes),
                               [this](const work_class& c) {
                                   class_status entry;
                                   entry.id = c.id;
                                   entry.kind = c.kind;
                                   entry.target = c.target;
                                   entry.percentile = c.percentile;
                                   add_tail(entry);
                                   return entry;
                               });
    }
    s.shards = state_machines_->batch.status(now);
    s.peers = state_machines_->configuration.peers(now);
    std::ranges::for_each(
        s.peers, [this](peer_status& peer) { add_operator_address(peer); });
    return s;
}

// hemlockdealctl requests each daemon's part of the time line at this address.
void batch_thread::add_operator_address(peer_status& peer) const
{
    const auto& known = settings_.peers.known;
    const auto found = std::ranges::find(known, peer.vm, &known_peer::id);
    if (found != known.end())
    {
        peer.operators = to_text(found->operators);
    }
}

void batch_thread::add_tail(class_status& entry) const
{
    const auto tail =
        std::ranges::find(latest_tails_, entry.id, &class_tail::work_class);
    if (tail == latest_tails_.end())
    {
        return;
    }
    entry.measured = tail->measured;
    entry.met = tail->share_of_target <= 1.0;
    if (!entry.met)
    {
        entry.reason = "requests through this daemon exceeded the target "
                       "latency in the last 10 s";
    }
}

} // namespace hemlockdeal
