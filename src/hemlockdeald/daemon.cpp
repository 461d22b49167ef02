// Connects the threads of the daemon.
#include "daemon.hpp"

#include <algorithm>
#include <utility>

#include "clock.hpp"

namespace hemlockdeal
{

namespace
{

constexpr duration tails_interval = std::chrono::seconds(1);
constexpr duration release_limit = std::chrono::seconds(5);
constexpr int gauge_interval_ms = 1000;
constexpr std::int64_t bytes_per_mb = std::int64_t{1} << 20U;

std::string outcome_name(request_outcome outcome)
{
    switch (outcome)
    {
    case request_outcome::done:
        return "done";
    case request_outcome::not_run:
        return "not_run";
    case request_outcome::unknown:
        return "unknown";
    case request_outcome::caller_gone:
        return "caller_gone";
    }
    return "unknown";
}

} // namespace

daemon::daemon(const daemon_settings& settings, incarnation process)
    : settings_(settings), process_(process), recorder_(settings.id),
      platform_(settings.platform)
{
    const auto record_as = [this](const char* thread) {
        return [this, thread](timeline_event event) {
            recorder_.record(thread, std::move(event));
        };
    };
    batch_outputs batch;
    batch.platform = &platform_.from_batch();
    batch.to_peer = [this](send_to_peer message) {
        send_to_peers(std::move(message));
    };
    batch.to_proxy = [this](shared_configuration next) {
        proxy_->configurations().post(std::move(next));
    };
    batch.record = record_as("batch");
    batch_ = std::make_unique<batch_thread>(settings_, process_, batch);

    proxy_thread_outputs proxy;
    proxy.platform = &platform_.from_proxy();
    proxy.to_peer = &batch_->from_proxy();
    proxy.record = record_as("proxy");
    proxy.finished = [this](const finish_request& finished) {
        request_finished(finished);
    };
    proxy.configured = [this](const configuration& next) {
        tails_.on_configuration(next);
    };
    proxy_ = std::make_unique<proxy_thread>(settings_, process_, proxy);

    peers_ =
        std::make_unique<peer_link>(settings_, [this](peer_message&& message) {
            on_peer(std::move(message));
        });

    platform_.to_batch().connect(batch_->context(),
                                 [this](platform_reply&& reply) {
                                     batch_->on_platform(std::move(reply));
                                 });
    platform_.to_proxy().connect(proxy_->context(),
                                 [this](platform_reply&& reply) {
                                     proxy_->on_platform(std::move(reply));
                                 });
    operator_server_options options{settings_.operators.listen,
                                    settings_.operators.token};
    options.max_total_bytes =
        std::int64_t{settings_.operator_buffers_mb} * bytes_per_mb;
    operators_ =
        std::make_unique<operator_server>(std::move(options), make_callbacks());
}

daemon::~daemon()
{
    // Receiving threads stop last, since each running thread may still post
    // messages to the others.
    operators_->stop();
    peers_->stop();
    proxy_->stop();
    batch_->stop(duration::zero());
    platform_.stop();
}

result<std::monostate> daemon::start()
{
    platform_.start();
    batch_->start();
    if (!proxy_->start())
    {
        return error{error_code::unavailable, "cannot listen for callers on " +
                                                  to_text(settings_.callers)};
    }
    const auto peers = peers_->start();
    if (!is_ok(peers))
    {
        return error_of(peers);
    }
    const auto operators = operators_->start();
    if (!is_ok(operators))
    {
        return error_of(operators);
    }
    QObject::connect(&gauge_timer_, &QTimer::timeout,
                     [this] { update_gauges(); });
    gauge_timer_.start(gauge_interval_ms);
    return std::monostate{};
}

void daemon::stop(std::function<void()> stopped)
{
    log(log_level::info, "planned stop: finishing requests in flight");
    proxy_->drain([this, stopped = std::move(stopped)] {
        // Continues in the main thread, which joins the other threads.
        QMetaObject::invokeMethod(&gauge_timer_, [this, stopped] {
            log(log_level::info, "no requests in flight; releasing shards");
            batch_->stop(release_limit);
            stopped();
        });
    });
}

void daemon::on_peer(peer_message&& message)
{
    recorder_.advance_clock(message.stamp);
    const auto for_proxy = std::holds_alternative<slot_request>(message.body) ||
                           std::holds_alternative<slot_grant>(message.body);
    if (for_proxy)
    {
        proxy_->from_peer().post({message.sender, std::move(message.body)});
        return;
    }
    batch_->from_peer().post(std::move(message));
}

void daemon::send_to_peers(send_to_peer&& message)
{
    peers_->send(message.to, {settings_.id, process_, recorder_.stamp(),
                              std::move(message.body)});
}

void daemon::request_finished(const finish_request& finished)
{
    const auto now = lease_clock_now();
    const auto outcome = outcome_name(finished.outcome);
    recorder_.registry()
        .counter("hemlockdeal_requests_total", "Requests by class and outcome",
                 {{"class", finished.work_class.value()}, {"outcome", outcome}})
        .add();
    if (finished.attempts > 1)
    {
        recorder_.registry()
            .counter("hemlockdeal_request_retries_total",
                     "Attempts after the first one",
                     {{"class", finished.work_class.value()}})
            .add(finished.attempts - 1);
    }
    if (finished.endpoints_lost > 0)
    {
        recorder_.registry()
            .counter("hemlockdeal_request_endpoints_lost_total",
                     "Endpoints that stopped responding while they processed a "
                     "request",
                     {{"class", finished.work_class.value()}})
            .add(finished.endpoints_lost);
    }
    if (finished.outcome == request_outcome::done)
    {
        recorder_.registry()
            .latency("hemlockdeal_request_seconds",
                     "Time from the request to the end of its answer",
                     {{"class", finished.work_class.value()}})
            .record(finished.elapsed);
        tails_.record(finished.work_class, finished.elapsed, now);
    }
    if (now - tails_published_ >= tails_interval)
    {
        tails_published_ = now;
        publish_tails();
    }
}

void daemon::publish_tails()
{
    batch_->tails().post(tails_.tails(lease_clock_now()));
}

// Called once a second, so that refused callers cannot flood the log.
void daemon::log_refused_callers(const proxy_counts& counts)
{
    const auto before = std::exchange(last_counts_, counts);
    if (counts.refused_callers > before.refused_callers)
    {
        log(log_level::warning, "connections of callers refused",
            {{"count",
              std::to_string(counts.refused_callers - before.refused_callers)},
             {"open", std::to_string(counts.callers)}});
    }
    if (counts.refused_for_memory > before.refused_for_memory)
    {
        log(log_level::warning, "callers refused for want of memory",
            {{"count", std::to_string(counts.refused_for_memory -
                                      before.refused_for_memory)},
             {"buffered_bytes", std::to_string(counts.buffered_bytes)}});
    }
    if (counts.failed_accepts > before.failed_accepts)
    {
        log(log_level::warning, "cannot accept connections of callers",
            {{"count",
              std::to_string(counts.failed_accepts - before.failed_accepts)},
             {"open", std::to_string(counts.callers)}});
    }
}

void daemon::update_gauges()
{
    auto& registry = recorder_.registry();
    const auto counts = proxy_->counts();
    registry.gauge("hemlockdeal_callers", "Open connections of callers")
        .set(static_cast<double>(counts.callers));
    registry
        .gauge("hemlockdeal_endpoint_connections", "Open connections to "
                                                   "endpoints")
        .set(static_cast<double>(counts.endpoint_connections));
    registry.gauge("hemlockdeal_requests_in_progress", "Requests in progress")
        .set(static_cast<double>(counts.requests_in_progress));
    registry.gauge("hemlockdeal_requests_waiting", "Requests in the queue")
        .set(static_cast<double>(counts.waiting));
    registry
        .gauge("hemlockdeal_callers_refused",
               "Connections of callers closed because there are too many")
        .set(static_cast<double>(counts.refused_callers));
    registry
        .gauge("hemlockdeal_callers_failed_accepts",
               "Failed attempts to accept a connection of a caller")
        .set(static_cast<double>(counts.failed_accepts));
    registry
        .gauge("hemlockdeal_callers_refused_for_memory",
               "Requests refused, and callers closed that did not read their "
               "response, because the limit of buffered bytes was reached")
        .set(static_cast<double>(counts.refused_for_memory));
    registry
        .gauge("hemlockdeal_request_buffers_bytes",
               "Bytes of requests and responses that are buffered")
        .set(static_cast<double>(counts.buffered_bytes));
    log_refused_callers(counts);
    const auto ring = [&](const char* name, const auto& mail) {
        registry
            .gauge("hemlockdeal_ring_messages",
                   "Messages that wait in a ring between threads",
                   {{"ring", name}})
            .set(static_cast<double>(mail.ring().size()));
        registry
            .gauge("hemlockdeal_ring_rejected",
                   "Messages that found the ring full", {{"ring", name}})
            .set(static_cast<double>(mail.ring().rejected()));
    };
    ring("batch_to_platform", platform_.from_batch());
    ring("proxy_to_platform", platform_.from_proxy());
    ring("platform_to_batch", platform_.to_batch());
    ring("platform_to_proxy", platform_.to_proxy());
    ring("peer_to_batch", batch_->from_peer());
    ring("operator_to_batch", batch_->from_operators());
    const auto state = batch_->summary();
    registry.gauge("hemlockdeal_lease_valid", "1 while the VM's lease is valid")
        .set(state.lease_valid ? 1.0 : 0.0);
    registry
        .gauge("hemlockdeal_table_reachable",
               "1 while the table answered within 2 s")
        .set(state.table_reachable ? 1.0 : 0.0);
    registry.gauge("hemlockdeal_configuration_version", "Version held")
        .set(static_cast<double>(state.version.value()));
    registry
        .gauge("hemlockdeal_configuration_age_seconds",
               "Time since the newest version was confirmed")
        .set(state.configuration_age
                 ? static_cast<double>(state.configuration_age->count()) / 1e6
                 : -1.0);
    registry
        .gauge("hemlockdeal_membership_age_seconds",
               "Time since the last readable membership list")
        .set(static_cast<double>(
                 platform_.membership_age_at(lease_clock_now()).count()) /
             1e6);
    registry
        .gauge("hemlockdeal_membership_malformed_entries",
               "Malformed entries of the membership list, which are not used")
        .set(static_cast<double>(platform_.malformed_members()));
    const auto traffic = peers_->traffic();
    registry.gauge("hemlockdeal_peer_bytes_sent", "Bytes sent to other daemons")
        .set(static_cast<double>(traffic.bytes_sent));
    registry
        .gauge("hemlockdeal_peer_bytes_received",
               "Bytes received from other daemons")
        .set(static_cast<double>(traffic.bytes_received));
    registry
        .gauge("hemlockdeal_peer_refused",
               "Clients and messages refused on the peers' port")
        .set(static_cast<double>(peers_->refused()));
    registry.gauge("hemlockdeal_shards_owned", "Shards that this VM owns")
        .set(static_cast<double>(state.shards.size()));
}

operator_callbacks daemon::make_callbacks()
{
    operator_callbacks callbacks;
    callbacks.handle = [this](operator_request request,
                              operator_reply_function reply) {
        // Copied, since `reply` is moved into the message even when the ring is
        // full.
        const auto respond = reply;
        if (!batch_->from_operators().post(
                {std::move(request), std::move(reply)}))
        {
            respond(error{error_code::overloaded,
                          "too many operator requests are queued"});
        }
    };
    callbacks.timeline = [this](const timeline_filter& filter) {
        return to_json_text(recorder_.collect(filter));
    };
    callbacks.metrics = [this] { return recorder_.registry().to_prometheus(); };
    return callbacks;
}

} // namespace hemlockdeal
