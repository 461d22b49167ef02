// Synchronous client for the operators' API of the daemons.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <QNetworkAccessManager>

#include "operators/operator_json.hpp"
#include "settings/daemon_settings.hpp"

namespace hemlockdeal
{

// Result of a request.
struct client_response
{
    // False if no daemon responded; `reply` is then an error with the reason.
    bool reached = false;
    operator_reply reply;
    findings found;
    std::string body; // as received
};

class operator_client
{
public:
    operator_client(std::vector<socket_address> daemons, bearer_token token,
                    std::chrono::milliseconds timeout);

    // Sends the request to the daemons in turn until one responds. This is safe
    // because every request that changes state carries an id.
    client_response send_request(const operator_request& request);

    // Like send_request(), but retries while the outcome is unknown.
    client_response send_with_retries(const operator_request& request);

    // Sends a GET request to one daemon. Returns the response body or an error.
    result<std::string> fetch(const socket_address& daemon,
                              const std::string& target);

    const std::vector<socket_address>& daemons() const { return daemons_; }

private:
    struct exchange
    {
        int status = 0;       // 0 if there was no complete response
        bool was_sent = true; // false only if certainly not sent
        std::string body;
        std::string failure;
    };

    exchange send(const socket_address& daemon,
                  const operator_http_request& request);

    std::vector<socket_address> daemons_;
    bearer_token token_;
    std::chrono::milliseconds timeout_;
    QNetworkAccessManager network_;
};

} // namespace hemlockdeal
