// The stand-ins of table, membership and workers behind one port.
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

// How often running tasks move forward when nobody asks for them.
constexpr std::chrono::milliseconds advance_interval{50};
constexpr std::string_view worker_prefix = "/worker/";

http_reply bad_request(const std::exception& fault)
{
    return {400, json::serialize(json::object{{"error", fault.what()}})};
}

// Answers 400 when `effect` throws.
http_reply guarded(const std::function<http_reply()>& effect)
{
    try
    {
        return effect();
    }
    catch (const std::exception& fault)
    {
        return bad_request(fault);
    }
}

} // namespace

platform_standin::platform_standin(standin_settings settings)
    : settings_(settings),
      faults_(settings.seed), surroundings_{settings.workers, record_,
                                            checkpoints_, faults_},
      server_(settings.port, [this](const http_request& request,
                                    const http_exchange& exchange) {
          serve(request, exchange);
      })
{
    QObject::connect(&timer_, &QTimer::timeout, &context_, [this] {
        const auto now = standin_clock::now();
        std::ranges::for_each(
            workers_, [&](auto& entry) { entry.second.worker.advance(now); });
    });
    timer_.start(advance_interval);
}

void platform_standin::set_fault(const json::object& message)
{
    faults_.set(message);
    release_held();
}

void platform_standin::set_fault(const std::string& target,
                                 const std::string& id, fault f)
{
    faults_.set(target, id, f);
    release_held();
}

// Serves what a pause has held, under the faults that are on now.
void platform_standin::release_held()
{
    auto held = std::exchange(held_, {});
    std::ranges::for_each(held, [&](call& c) { dispatch(std::move(c)); });
}

void platform_standin::start_endpoints_with(endpoint_starter starter)
{
    endpoint_starter_ = std::move(starter);
}

// Starts the worker or endpoint that the entry describes, unless it runs.
json::object platform_standin::with_address(const json::object& vm)
{
    const auto kind = json_fields::text(vm, "kind");
    const auto id = json_fields::text(vm, "id");
    const auto& known = membership_.current();
    if (kind == "endpoint" && endpoint_starter_ && !known.contains(id))
    {
        return endpoint_starter_(vm);
    }
    if (kind != "worker")
    {
        return vm;
    }
    const auto [place, added] =
        workers_.try_emplace(id, worker_place{{vm, surroundings_}, nullptr});
    if (added && settings_.worker_ports)
    {
        place->second.server = std::make_unique<http_server>(
            std::uint16_t{0}, [this, id](const http_request& request,
                                         const http_exchange& exchange) {
                serve_worker(id, request, exchange);
            });
    }
    auto out = vm;
    out["address"] = place->second.server
                         ? place->second.server->address()
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
        out.push_back(with_address(json_fields::object(vm, member)));
    });
    message[member] = std::move(out);
}

void platform_standin::change_membership(json::object message, standin_time now)
{
    fill_addresses(message, "vms");
    fill_addresses(message, "set");
    membership_.change(message, now);
    drop_lost_workers();
}

// M1: a VM that left the list runs nothing. It stops before the list, which
// lags, shows that.
void platform_standin::drop_lost_workers()
{
    const auto& listed = membership_.current();
    for (auto place = workers_.begin(); place != workers_.end();)
    {
        if (listed.contains(place->first))
        {
            ++place;
            continue;
        }
        place->second.worker.lose();
        place = workers_.erase(place);
    }
}

bool platform_standin::serve_control(const http_request& request,
                                     const http_exchange& exchange)
{
    const auto path = path_of(request.target);
    if (request.method == "GET" && path == "/record")
    {
        exchange.answer({200, json::serialize(record_.to_json())});
        return true;
    }
    if (request.method != "POST" ||
        (path != "/faults" && path != "/membership"))
    {
        return false;
    }
    exchange.answer(guarded([&]() -> http_reply {
        const auto document = json_fields::parse(request.body);
        const auto& message = json_fields::object(document, "request");
        if (path == "/faults")
        {
            set_fault(message);
        }
        else
        {
            change_membership(message);
        }
        return {200, "{}"};
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
                      return {200, membership_.shown(standin_clock::now())};
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
    exchange.answer({404, R"({"error": "no such path"})"});
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
    // The worker may be gone when a held or delayed call takes effect.
    dispatch({"worker", id,
              [this, id, request]() -> http_reply {
                  const auto found = workers_.find(id);
                  return found == workers_.end()
                             ? http_reply{503, "{}"}
                             : found->second.worker.serve(request,
                                                          standin_clock::now());
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
        guarded(c.effect);
        c.exchange.close();
        return;
    case fault_mode::pause:
        held_.push_back(std::move(c));
        return;
    case fault_mode::silent:
        c.exchange.silence();
        return;
    case fault_mode::truncate:
        c.exchange.answer_cut_off(guarded(c.effect));
        return;
    case fault_mode::none:
    case fault_mode::fail_all:
    case fault_mode::late:
    case fault_mode::leaving:
        break;
    }
    c.exchange.answer(guarded(c.effect));
}

// A slow service may have done its work early or late, so both occur.
void platform_standin::dispatch_slow(call c, std::chrono::milliseconds delay)
{
    if (faults_.coin())
    {
        const auto reply = guarded(c.effect);
        QTimer::singleShot(delay, &context_, [c = std::move(c), reply] {
            c.exchange.answer(reply);
        });
        return;
    }
    QTimer::singleShot(delay, &context_, [c = std::move(c)] {
        c.exchange.answer(guarded(c.effect));
    });
}

} // namespace hemlockdeal
