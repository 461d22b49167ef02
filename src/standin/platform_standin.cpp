// Dispatches requests to the stand-ins and applies the active faults.
#include "standin/platform_standin.hpp"

#include <algorithm>
#include <exception>
#include <utility>

#include "platform/json_fields.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

// Interval at which tasks advance without requests to their workers.
constexpr std::chrono::milliseconds advance_interval{50};
constexpr std::string_view worker_prefix = "/worker/";

http_reply bad_request(const std::exception& error)
{
    return {400, json::serialize(json::object{{"error", error.what()}})};
}

// Returns status 400 when `operation` throws.
http_reply reply_or_bad_request(const std::function<http_reply()>& operation)
{
    try
    {
        return operation();
    }
    catch (const std::exception& error)
    {
        return bad_request(error);
    }
}

} // namespace

platform_standin::platform_standin(standin_settings settings)
    : settings_(settings),
      faults_(settings.seed), worker_context_{settings.workers, record_,
                                              checkpoints_, faults_},
      endpoints_(settings.seed),
      server_(settings.port, [this](const http_request& request,
                                    const http_exchange& exchange) {
          serve(request, exchange);
      })
{
    QObject::connect(&timer_, &QTimer::timeout, &context_,
                     [this] { advance_workers(); });
    timer_.start(advance_interval);
}

void platform_standin::advance_workers()
{
    std::ranges::for_each(
        workers_, [&](auto& entry) { entry.second.worker.advance(now()); });
}

void platform_standin::skip(std::chrono::milliseconds time)
{
    clock_offset_ += time;
    advance_workers();
}

void platform_standin::set_fault(const json::object& message)
{
    set_fault(json_fields::text(message, "target"),
              json_fields::text_or_empty(message, "id"), decode_fault(message));
}

void platform_standin::set_fault(const std::string& target,
                                 const std::string& id, fault f)
{
    if (target == "endpoint")
    {
        endpoints_.set_fault(id, f);
        return;
    }
    faults_.set(target, id, std::move(f));
    dispatch_held_calls();
}

// Dispatches the calls held by a pause again, under the current faults.
void platform_standin::dispatch_held_calls()
{
    auto held = std::exchange(held_calls_, {});
    std::ranges::for_each(held, [&](call& c) { dispatch(std::move(c)); });
}

// Starts the worker or endpoint of a membership entry unless it is running, and
// returns the entry with its address.
json::object platform_standin::start_listed_vm(const json::object& vm)
{
    const auto kind = json_fields::text(vm, "kind");
    const auto id = json_fields::text(vm, "id");
    auto out = vm;
    if (kind == "endpoint")
    {
        out["address"] = endpoints_.start(vm);
    }
    if (kind != "worker")
    {
        return out;
    }
    const auto [position, added] =
        workers_.try_emplace(id, worker_entry{{vm, worker_context_}, nullptr});
    if (added && settings_.worker_ports)
    {
        position->second.server = std::make_unique<http_server>(
            std::uint16_t{0}, [this, id](const http_request& request,
                                         const http_exchange& exchange) {
                serve_worker(id, request, exchange);
            });
    }
    out["address"] = position->second.server
                         ? position->second.server->address()
                         : server_.address() + std::string(worker_prefix) + id;
    return out;
}

void platform_standin::fill_addresses(json::object& message, const char* member)
{
    if (json_fields::find(message, member) == nullptr)
    {
        return;
    }
    json::array out;
    const auto& vms = json_fields::array(message, member);
    std::ranges::for_each(vms, [&](const json::value& vm) {
        out.push_back(start_listed_vm(json_fields::object(vm, member)));
    });
    message[member] = std::move(out);
}

void platform_standin::apply_membership(json::object message, standin_time when)
{
    fill_addresses(message, "vms");
    fill_addresses(message, "set");
    membership_.change(message, when);
    remove_unlisted_vms();
}

void platform_standin::change_membership(json::object message)
{
    apply_membership(std::move(message), now());
}

void platform_standin::start_with_membership(json::object message)
{
    apply_membership(std::move(message), standin_time::min());
}

// M1: a VM that is not listed runs nothing. It stops at once, before the
// delayed list shows the removal.
void platform_standin::remove_unlisted_vms()
{
    const auto& listed = membership_.current();
    endpoints_.remove_unlisted(listed);
    for (auto position = workers_.begin(); position != workers_.end();)
    {
        if (listed.contains(position->first))
        {
            ++position;
            continue;
        }
        position->second.worker.terminate();
        position = workers_.erase(position);
    }
}

json::object
platform_standin::apply_control_message(const std::string& path,
                                        const json::object& message)
{
    if (path == "/record")
    {
        return endpoints_.runs(message);
    }
    if (path == "/faults")
    {
        set_fault(message);
    }
    else
    {
        change_membership(message);
    }
    return {};
}

bool platform_standin::serve_control(const http_request& request,
                                     const http_exchange& exchange)
{
    const auto path = path_of(request.target);
    if (request.method == "GET" && path == "/record")
    {
        auto record = record_.to_json();
        record["endpoints"] = endpoints_.to_json();
        exchange.answer({200, json::serialize(record)});
        return true;
    }
    if (request.method != "POST" ||
        (path != "/faults" && path != "/membership" && path != "/record"))
    {
        return false;
    }
    exchange.answer(reply_or_bad_request([&]() -> http_reply {
        const auto document = json_fields::parse(request.body);
        return {200, json::serialize(apply_control_message(
                         path, json_fields::object(document, "request")))};
    }));
    return true;
}

void platform_standin::serve(const http_request& request,
                             const http_exchange& exchange)
{
    if (serve_control(request, exchange))
    {
        return;
    }
    const auto path = path_of(request.target);
    if (path.starts_with("/table/"))
    {
        dispatch({"table",
                  {},
                  [this, request] { return table_.serve(request); },
                  exchange});
        return;
    }
    if (path == "/membership")
    {
        dispatch({"membership",
                  {},
                  [this]() -> http_reply {
                      return {200, membership_.delayed_list(now())};
                  },
                  exchange});
        return;
    }
    const auto end = path.find(worker_prefix, worker_prefix.size());
    if (path.starts_with(worker_prefix) && end != std::string::npos)
    {
        auto inner = request;
        inner.target = request.target.substr(end);
        serve_worker(
            path.substr(worker_prefix.size(), end - worker_prefix.size()),
            inner, exchange);
        return;
    }
    exchange.answer({404, R"({"error": "unknown path"})"});
}

void platform_standin::serve_worker(const std::string& id,
                                    const http_request& request,
                                    const http_exchange& exchange)
{
    if (!workers_.contains(id))
    {
        exchange.close();
        return;
    }
    // The worker may have been removed before a held or delayed call is
    // executed.
    dispatch({"worker", id,
              [this, id, request]() -> http_reply {
                  const auto found = workers_.find(id);
                  return found == workers_.end()
                             ? http_reply{503, "{}"}
                             : found->second.worker.serve(request, now());
              },
              exchange});
}

void platform_standin::dispatch(call c)
{
    const auto f = faults_.draw(c.target, c.id);
    switch (f.mode)
    {
    case fault_mode::down:
        c.exchange.close();
        return;
    case fault_mode::slow:
        dispatch_slow(std::move(c), f.delay);
        return;
    case fault_mode::lose_answer:
        reply_or_bad_request(c.operation);
        c.exchange.close();
        return;
    case fault_mode::pause:
        held_calls_.push_back(std::move(c));
        return;
    case fault_mode::silent:
        if (c.exchange.opened_before(f.since))
        {
            c.exchange.ignore_input();
            return;
        }
        break;
    case fault_mode::truncate:
        c.exchange.answer_truncated(reply_or_bad_request(c.operation));
        return;
    case fault_mode::slow_path:
        c.exchange.answer_slowly(
            reply_or_bad_request(c.operation),
            f.shared_rate
                ? f.shared_rate
                : std::make_shared<transfer_rate>(f.bytes_per_second));
        return;
    case fault_mode::none:
    case fault_mode::fail_all:
    case fault_mode::late:
    case fault_mode::leaving:
    case fault_mode::not_run:
    case fault_mode::extra_bytes:
        break;
    }
    c.exchange.answer(reply_or_bad_request(c.operation));
}

// A slow service may take effect before or after the delay; both cases occur.
void platform_standin::dispatch_slow(call c, std::chrono::milliseconds delay)
{
    if (faults_.random_bool())
    {
        const auto reply = reply_or_bad_request(c.operation);
        QTimer::singleShot(delay, &context_, [c = std::move(c), reply] {
            c.exchange.answer(reply);
        });
        return;
    }
    QTimer::singleShot(delay, &context_, [c = std::move(c)] {
        c.exchange.answer(reply_or_bad_request(c.operation));
    });
}

} // namespace hemlockdeal
