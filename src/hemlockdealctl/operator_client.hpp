// Synchronous client of the daemons' operators' API.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <QNetworkAccessManager>

#include "operators/operator_json.hpp"
#include "settings/daemon_settings.hpp"

namespace hemlockdeal
{

// What became of one request.
struct client_answer
{
    // False when no daemon answered; then `reply` is an error that says why.
    bool reached = false;
    operator_reply reply;
    findings found;
    std::string body; // as it was received
};

class operator_client
{
public:
    operator_client(std::vector<socket_address> daemons, bearer_token token,
                    std::chrono::milliseconds timeout);

    // Asks the daemons in turn until one answers. This is safe, since every
    // request that changes something carries an id.
    client_answer ask(const operator_request& request);

    // Like ask(), and repeats the request while its outcome is not known.
    client_answer ask_until_known(const operator_request& request);

    // The body of a GET request to one daemon, or why there is none.
    result<std::string> fetch(const socket_address& daemon,
                              const std::string& target);

    const std::vector<socket_address>& daemons() const { return daemons_; }

private:
    struct exchange
    {
        int status = 0;       // 0 when no response came
        bool was_sent = true; // false when the request certainly was not
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
