// HTTP client for idempotent calls: a call whose answer is overdue is sent
// again on another connection, and the first answer counts.
#pragma once

#include <memory>
#include <vector>

#include "core/core.hpp"
#include "http/http_client.hpp"

namespace hemlockdeal
{

class hedged_client
{
public:
    hedged_client(socket_address address, progress_limits progress,
                  hedge_limits hedging, call_observer observer);

    // `wait` is how long the server may hold the response to `first` back;
    // `again` is answered at once. The handler is called once.
    void send(http_request first, duration wait, http_request again,
              call_handler handler);

    // Sends overdue calls again and fails those without an answer. To be called
    // several times a second.
    void expire(time_point now);

private:
    struct hedged_call
    {
        hedge_schedule schedule;
        http_request again;
        call_handler handler;
        // The attempts in flight, in the order in which they were sent.
        std::vector<call_id> attempts;
    };
    using shared_call = std::shared_ptr<hedged_call>;

    void attempt(const shared_call& call, http_request request,
                 duration timeout);
    void on_result(const shared_call& call, call_id attempt,
                   call_result result);
    // Cancels all attempts but one.
    void keep_only(hedged_call& call, call_id attempt);
    void expire(const shared_call& call, time_point now);
    void finish(const shared_call& call, call_result result);

    hedge_limits hedging_;
    http_client client_;
    std::vector<shared_call> calls_;
};

} // namespace hemlockdeal
