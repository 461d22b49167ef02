// Implements repeated attempts of idempotent calls.
#include "http/hedged_client.hpp"

#include <algorithm>
#include <utility>

#include "http/boot_clock.hpp"

namespace hemlockdeal
{

namespace
{

// The first attempt and the newest repeated one.
constexpr std::size_t max_connections = 2;

} // namespace

hedged_client::hedged_client(socket_address address, progress_limits progress,
                             hedge_limits hedging, call_observer observer)
    : hedging_(hedging),
      client_(std::move(address), {max_connections, 1, progress},
              std::move(observer))
{}

void hedged_client::send(http_request first, duration wait, http_request again,
                         call_handler handler)
{
    auto call = std::make_shared<hedged_call>(
        hedged_call{hedge_schedule(boot_now() + wait, hedging_),
                    std::move(again),
                    std::move(handler),
                    {}});
    calls_.push_back(call);
    attempt(call, std::move(first), wait + hedging_.give_up_after);
}

void hedged_client::attempt(const shared_call& call, http_request request,
                            duration timeout)
{
    auto id = std::make_shared<call_id>();
    *id = client_.send(std::move(request), timeout,
                       [this, call, id](call_result result) {
                           on_result(call, *id, std::move(result));
                       });
    call->attempts.push_back(*id);
}

void hedged_client::on_result(const shared_call& call, call_id attempt,
                              call_result result)
{
    if (std::erase(call->attempts, attempt) == 0)
    {
        return;
    }
    const bool is_answer = std::holds_alternative<http_response>(result);
    if (is_answer || call->attempts.empty())
    {
        finish(call, std::move(result));
    }
}

void hedged_client::finish(const shared_call& call, call_result result)
{
    for (const auto attempt : std::exchange(call->attempts, {}))
    {
        client_.cancel(attempt, "call ended without this attempt");
    }
    std::erase(calls_, call);
    call->handler(std::move(result));
}

void hedged_client::keep_only(hedged_call& call, call_id attempt)
{
    for (const auto other : std::exchange(call.attempts, {attempt}))
    {
        if (other != attempt)
        {
            client_.cancel(other, "answered by another attempt");
        }
    }
}

void hedged_client::expire(time_point now)
{
    client_.expire(now);
    // Handlers may send further calls.
    for (const auto& call : std::vector(calls_))
    {
        expire(call, now);
    }
}

void hedged_client::expire(const shared_call& call, time_point now)
{
    const auto begun =
        std::ranges::find_if(call->attempts, [this](call_id attempt) {
            return client_.has_response_begun(attempt);
        });
    if (begun != call->attempts.end())
    {
        keep_only(*call, *begun);
        return;
    }
    if (call->schedule.has_failed(now))
    {
        finish(call, call_failure{"no response in time"});
        return;
    }
    if (!call->schedule.take_attempt(now))
    {
        return;
    }
    if (call->attempts.size() > 1)
    {
        client_.cancel(call->attempts.back(), "no response in time");
        call->attempts.pop_back();
    }
    attempt(call, call->again, hedging_.give_up_after);
}

} // namespace hemlockdeal
