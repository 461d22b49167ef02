// Drives the state machines of the batch thread with events and time, and
// passes their actions on.
#include "batch_duty.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "clock.hpp"

namespace hemlockdeal
{

namespace
{

constexpr std::size_t peer_ring = 4096;
constexpr std::size_t operator_ring = 256;
constexpr std::size_t proxy_ring = 1024;
constexpr std::size_t tails_ring = 16;
// Urgent work is flushed at most 100 ms after it arrived, well within its 1 s.
// A shorter interval costs processor time on an idle daemon.
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

} // namespace

result<declaration>
declaration_text_parser::operator()(const std::string& text) const
{
    auto parsed = parse_declaration(text, "declaration");
    if (auto* good = std::get_if<declaration>(&parsed))
    {
        return std::move(*good);
    }
    std::string message;
    std::ranges::for_each(std::get<findings>(parsed), [&](const finding& f) {
        message += (message.empty() ? "" : "; ") + to_text(f);
    });
    return error{error_code::invalid_input, message};
}

batch_duty::machines::machines(const daemon_settings& settings,
                               incarnation first)
    : lease(settings.id, first),
      configuration(settings.id, settings.zone, declaration_text_parser{}),
      batch(options_of(settings), configuration.state())
{}

batch_duty::batch_duty(const daemon_settings& settings, incarnation first,
                       batch_outputs outputs)
    : settings_(settings), first_(first), outputs_(std::move(outputs)),
      from_peer_(peer_ring), from_operators_(operator_ring),
      from_proxy_(proxy_ring), tails_(tails_ring), duty_("batch")
{
    from_peer_.connect(duty_.context(), [this](peer_message&& message) {
        if (!machines_)
        {
            return;
        }
        const auto now = lease_clock_now();
        machines_->configuration.on_peer(message, now, unix_ms_now());
        machines_->batch.on_peer(message.sender, message.sender_incarnation,
                                 message.body, now);
        after_event(now);
    });
    from_operators_.connect(
        duty_.context(),
        [this](operator_question&& question) { ask(std::move(question)); });
    from_proxy_.connect(duty_.context(), [this](send_to_peer&& message) {
        outputs_.to_peer(std::move(message));
    });
    tails_.connect(duty_.context(), [this](std::vector<class_tail>&& tails) {
        if (!machines_)
        {
            return;
        }
        std::vector<service_tail> shares;
        std::ranges::transform(
            tails, std::back_inserter(shares), [](const class_tail& tail) {
                return service_tail{tail.work_class, tail.share_of_target};
            });
        machines_->batch.on_service_tails(std::move(shares));
        latest_tails_ = std::move(tails);
    });
}

batch_duty::~batch_duty()
{
    stop(duration::zero());
}

void batch_duty::start()
{
    duty_.start();
    duty_.run_and_wait([this] {
        machines_.emplace(settings_, first_);
        QObject::connect(&machines_->timer, &QTimer::timeout, &duty_.context(),
                         [this] { tick(); });
        machines_->timer.setTimerType(Qt::PreciseTimer);
        machines_->timer.start(tick_interval_ms);
    });
}

void batch_duty::stop(duration limit)
{
    const auto stopped = [this] {
        bool done = true;
        duty_.run_and_wait(
            [&] { done = !machines_ || machines_->batch.stopped(); });
        return done;
    };
    duty_.run_and_wait([this] {
        if (machines_)
        {
            const auto now = lease_clock_now();
            machines_->batch.stop(now);
            after_event(now);
        }
    });
    const auto deadline = lease_clock_now() + limit;
    while (lease_clock_now() < deadline && !stopped())
    {
        QThread::msleep(tick_interval_ms);
    }
    duty_.run_and_wait([this] { machines_.reset(); });
    duty_.stop();
}

void batch_duty::tick()
{
    const auto now = lease_clock_now();
    machines_->configuration.on_tick(
        now, unix_ms_now(),
        {machines_->lease.valid(now), machines_->batch.digests(now)});
    machines_->batch.on_tick(now);
    after_event(now);
}

void batch_duty::after_event(time_point now)
{
    drive_lease(now);
    // The configuration's actions come first: the batch core reads its state.
    for (auto& action : machines_->configuration.take_actions())
    {
        carry_out_control(std::move(action));
    }
    for (auto& action : machines_->batch.take_actions())
    {
        carry_out_batch(std::move(action));
    }
}

void batch_duty::drive_lease(time_point now)
{
    auto& lease = machines_->lease;
    if (lease.valid_until() != told_valid_until_)
    {
        told_valid_until_ = lease.valid_until();
        machines_->batch.on_lease(told_valid_until_,
                                  lease.current_incarnation(), now);
    }
    if (machines_->batch.stopped())
    {
        return;
    }
    if (auto commit = lease.next_commit(now))
    {
        request_table(commit_request{table_user::lease, std::move(*commit)});
    }
}

void batch_duty::on_platform(platform_reply&& reply)
{
    if (!machines_)
    {
        return;
    }
    const auto now = lease_clock_now();
    auto& batch = machines_->batch;
    auto& configuration = machines_->configuration;
    if (const auto* commit = std::get_if<commit_reply>(&reply))
    {
        switch (commit->user)
        {
        case table_user::lease:
            machines_->lease.on_outcome(commit->id, commit->outcome, now);
            break;
        case table_user::configuration:
            configuration.on_outcome(commit->id, commit->outcome, now,
                                     unix_ms_now());
            break;
        default:
            batch.on_commit_outcome(commit->id, commit->outcome, now);
            break;
        }
    }
    else if (const auto* row = std::get_if<row_result>(&reply))
    {
        if (row->user == table_user::configuration)
        {
            configuration.on_row(row->number, row->row, now, unix_ms_now());
        }
        else
        {
            batch.on_row(row->number, row->row, now);
        }
    }
    else if (const auto* rows = std::get_if<rows_result>(&reply))
    {
        if (rows->user == table_user::configuration)
        {
            configuration.on_rows(rows->number, rows->page, now);
        }
        else
        {
            batch.on_rows(rows->number, rows->page, now);
        }
    }
    else if (const auto* report = std::get_if<report_result>(&reply))
    {
        batch.on_report(report->worker, report->reply, report->sent_at, now);
    }
    else if (const auto* commands = std::get_if<commands_result>(&reply))
    {
        batch.on_command_reply(commands->number, commands->reply, now);
    }
    else
    {
        take_membership(std::get<shared_membership>(reply), now);
    }
    after_event(now);
}

void batch_duty::take_membership(const shared_membership& list, time_point now)
{
    std::vector<std::pair<vm_id, availability_zone_id>> vms;
    std::ranges::for_each(list->members, [&](const member& m) {
        if (m.kind == member_kind::entry_vm)
        {
            vms.emplace_back(vm_id(m.id), m.zone);
        }
    });
    machines_->configuration.set_known_vms(vms);
    machines_->batch.on_membership(*list, now);
}

void batch_duty::request_table(platform_request&& request)
{
    if (outputs_.platform->post(std::move(request)))
    {
        return;
    }
    // Nothing was sent. The state machine hears of it as of any other call
    // that failed, and tries again at its own pace.
    const std::string reason = "the ring to the platform thread is full";
    // NOLINTNEXTLINE(bugprone-use-after-move): a failed post() moves nothing.
    const auto& kept = request;
    if (const auto* commit = std::get_if<commit_request>(&kept))
    {
        on_platform(commit_reply{commit->user, commit->commit.id,
                                 commit_unknown{reason}});
    }
    else if (const auto* row = std::get_if<row_request>(&kept))
    {
        on_platform(row_result{row->user, row->read.number,
                               error{error_code::unavailable, reason}});
    }
    else if (const auto* rows = std::get_if<rows_request>(&kept))
    {
        on_platform(rows_result{rows->user, rows->read.number,
                                error{error_code::unavailable, reason}});
    }
    else if (const auto* ask = std::get_if<ask_for_report>(&kept))
    {
        on_platform(report_result{ask->worker, worker_unreachable{reason},
                                  lease_clock_now()});
    }
    else if (const auto* send = std::get_if<send_commands>(&kept))
    {
        on_platform(commands_result{send->number, worker_unreachable{reason}});
    }
}

void batch_duty::carry_out_control(control_action&& action)
{
    if (auto* commit = std::get_if<send_commit>(&action))
    {
        request_table(commit_request{table_user::configuration,
                                     std::move(commit->commit)});
    }
    else if (auto* row = std::get_if<read_row>(&action))
    {
        request_table(row_request{table_user::configuration, std::move(*row)});
    }
    else if (auto* rows = std::get_if<read_rows>(&action))
    {
        request_table(
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
        answer(reply->number, std::move(reply->reply));
    }
    else
    {
        outputs_.to_proxy(std::make_shared<const configuration>(
            *machines_->configuration.state().current()));
    }
}

void batch_duty::carry_out_batch(batch_action&& action)
{
    if (auto* commit = std::get_if<send_commit>(&action))
    {
        request_table(
            commit_request{table_user::batch, std::move(commit->commit)});
    }
    else if (auto* row = std::get_if<read_row>(&action))
    {
        request_table(row_request{table_user::batch, std::move(*row)});
    }
    else if (auto* rows = std::get_if<read_rows>(&action))
    {
        request_table(rows_request{table_user::batch, std::move(*rows)});
    }
    else if (auto* ask_report = std::get_if<ask_for_report>(&action))
    {
        request_table(std::move(*ask_report));
    }
    else if (auto* commands = std::get_if<send_commands>(&action))
    {
        request_table(std::move(*commands));
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
        answer(reply.number, std::move(reply.reply));
    }
}

void batch_duty::ask(operator_question&& question)
{
    const auto now = lease_clock_now();
    if (!machines_)
    {
        question.reply(
            error{error_code::unavailable, "the daemon is stopping"});
        return;
    }
    if (std::holds_alternative<status_query>(question.request))
    {
        question.reply(status(now));
        return;
    }
    const auto number = ++last_question_;
    questions_[number] = std::move(question.reply);
    const auto for_batch =
        std::holds_alternative<job_submission>(question.request) ||
        std::holds_alternative<job_query>(question.request) ||
        std::holds_alternative<job_cancellation>(question.request);
    if (for_batch)
    {
        machines_->batch.on_operator(number, question.request, now);
    }
    else
    {
        machines_->configuration.on_operator(number, question.request, now,
                                             unix_ms_now());
    }
    after_event(now);
}

void batch_duty::answer(std::uint64_t number, operator_reply reply)
{
    const auto found = questions_.find(number);
    if (found == questions_.end())
    {
        return;
    }
    const auto reply_to = std::move(found->second);
    questions_.erase(found);
    reply_to(std::move(reply));
}

daemon_status batch_duty::summary()
{
    daemon_status s;
    duty_.run_and_wait([&] {
        if (machines_)
        {
            s = status(lease_clock_now());
        }
    });
    return s;
}

daemon_status batch_duty::status(time_point now) const
{
    daemon_status s;
    s.vm = settings_.id;
    s.zone = settings_.zone;
    s.lease_valid = machines_->lease.valid(now);
    const auto& state = machines_->configuration.state();
    s.version = state.version();
    if (const auto confirmed = state.confirmed_at())
    {
        s.configuration_age = now - *confirmed;
    }
    s.table_reachable = machines_->configuration.table_reachable(now);
    if (state.current() != nullptr)
    {
        std::ranges::transform(state.current()->content.classes,
                               std::back_inserter(s.classes),
                               [this](const work_class& c) {
                                   class_status line;
                                   line.id = c.id;
                                   line.kind = c.kind;
                                   line.target = c.target;
                                   line.percentile = c.percentile;
                                   add_tail(line);
                                   return line;
                               });
    }
    s.shards = machines_->batch.status(now);
    s.peers = machines_->configuration.peers(now);
    std::ranges::for_each(
        s.peers, [this](peer_status& peer) { add_operators_address(peer); });
    return s;
}

// The tool asks each daemon for its part of the time line at this address.
void batch_duty::add_operators_address(peer_status& peer) const
{
    const auto& known = settings_.peers.known;
    const auto found = std::ranges::find(known, peer.vm, &known_peer::id);
    if (found != known.end())
    {
        peer.operators = to_text(found->operators);
    }
}

void batch_duty::add_tail(class_status& line) const
{
    const auto tail =
        std::ranges::find(latest_tails_, line.id, &class_tail::work_class);
    if (tail == latest_tails_.end())
    {
        return;
    }
    line.measured = tail->measured;
    line.met = tail->share_of_target <= 1.0;
    if (!line.met)
    {
        line.reason = "the requests of the last 10 s through this daemon "
                      "took longer than the target";
    }
}

} // namespace hemlockdeal
