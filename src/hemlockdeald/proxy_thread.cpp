// Connects the proxy server to the message rings of the other threads.
#include "proxy_thread.hpp"

#include <utility>

namespace hemlockdeal
{

namespace
{

constexpr std::size_t configuration_ring_capacity = 64;
constexpr std::size_t peer_ring_capacity = 4096;
constexpr std::size_t bytes_per_mb = std::size_t{1} << 20U;

} // namespace

proxy_thread::proxy_thread(const daemon_settings& settings, incarnation process,
                           proxy_thread_outputs outputs)
    : settings_(settings), process_(process), outputs_(std::move(outputs)),
      configurations_(configuration_ring_capacity),
      from_peer_(peer_ring_capacity), thread_("proxy")
{
    configurations_.connect(thread_.context(),
                            [this](shared_configuration&& next) {
                                if (server_)
                                {
                                    server_->on_configuration(*next);
                                    outputs_.configured(*next);
                                }
                            });
    from_peer_.connect(thread_.context(),
                       [this](addressed_peer_body&& message) {
                           if (server_)
                           {
                               server_->on_peer(message.sender, message.body);
                           }
                       });
}

proxy_thread::~proxy_thread()
{
    stop();
}

bool proxy_thread::start()
{
    thread_.start();
    bool listening = false;
    thread_.run_and_wait([&] {
        request_settings requests;
        requests.vm = settings_.id;
        requests.zone = settings_.zone;
        requests.region = settings_.region;
        requests.process = process_;
        requests.seed = stable_hash(settings_.id.value(), process_.value());
        proxy_limits limits;
        limits.buffered_bytes = settings_.request_buffers_mb * bytes_per_mb;
        server_.emplace(requests, make_outputs(), limits);
        listening =
            server_->listen(settings_.callers.host, settings_.callers.port);
    });
    return listening;
}

proxy_outputs proxy_thread::make_outputs()
{
    proxy_outputs outputs;
    outputs.commit = [this](send_commit& send) {
        // Copied, so that the caller still has the message when the ring is
        // full.
        return outputs_.platform->post(
            commit_request{table_user::requests, send.commit});
    };
    outputs.read = [this](read_row& read) {
        return outputs_.platform->post(row_request{table_user::requests, read});
    };
    outputs.to_peer = [this](send_to_peer&& message) {
        outputs_.to_peer->post(std::move(message));
    };
    outputs.event = [this](record_event&& record) {
        outputs_.record(std::move(record.event));
    };
    outputs.finished = outputs_.finished;
    return outputs;
}

void proxy_thread::on_platform(platform_reply&& reply)
{
    if (!server_)
    {
        return;
    }
    if (const auto* commit = std::get_if<commit_reply>(&reply))
    {
        server_->on_commit_outcome(commit->id, commit->outcome);
    }
    else if (const auto* row = std::get_if<row_result>(&reply))
    {
        server_->on_row(row->number, row->row);
    }
    else if (const auto* list = std::get_if<shared_membership>(&reply))
    {
        server_->on_membership(**list);
    }
}

void proxy_thread::drain(std::function<void()> drained)
{
    thread_.run_and_wait([&] {
        if (server_)
        {
            server_->drain(std::move(drained));
        }
    });
}

void proxy_thread::stop()
{
    thread_.run_and_wait([this] { server_.reset(); });
    thread_.stop();
}

proxy_counts proxy_thread::counts()
{
    proxy_counts counts;
    thread_.run_and_wait([&] {
        if (server_)
        {
            counts = {server_->callers(),
                      server_->refused_callers(),
                      server_->endpoint_connections(),
                      server_->requests_in_progress(),
                      server_->core().waiting(),
                      server_->failed_accepts(),
                      server_->refused_for_memory(),
                      server_->buffered_bytes()};
        }
    });
    return counts;
}

} // namespace hemlockdeal
