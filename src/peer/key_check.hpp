// Admits only clients whose public key is known (ZAP handler of ZeroMQ).
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <zmq.hpp>

#include "core/ids.hpp"

namespace hemlockdeal
{

// Serves the authentication requests that the server sockets of a context
// send. Used by one thread.
class key_check
{
public:
    using refused = std::function<void(const std::string& reason)>;

    // Only one handler may exist in a context. It must exist before the server
    // sockets: without a handler ZeroMQ admits every key.
    key_check(zmq::context_t& context, refused on_refusal);

    void admit(const std::string& public_key, const vm_id& owner);
    void withdraw(const std::string& public_key);

    // The owner of the key with which a message came; empty when the key is
    // not known any more, although its connection is still open.
    std::optional<vm_id> owner_of(zmq::message_t& message) const;

    // Readable when a request waits.
    zmq::socket_t& socket() { return socket_; }

    // Answers the requests that wait.
    void serve();

private:
    void answer(const std::vector<zmq::message_t>& request);

    zmq::socket_t socket_;
    refused on_refusal_;
    std::map<std::string, vm_id> owners_; // by public key
};

} // namespace hemlockdeal
