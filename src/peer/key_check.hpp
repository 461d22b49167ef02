// Authenticates clients by their public key (ZAP handler of ZeroMQ).
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

// Handles the authentication requests of the server sockets of a context. Not
// thread-safe.
class key_check
{
public:
    using refusal_handler = std::function<void(const std::string& reason)>;

    // A context can have only one handler. It must be created before the
    // server sockets: without a handler ZeroMQ accepts every key.
    key_check(zmq::context_t& context, refusal_handler on_refusal);

    void add_key(const std::string& public_key, const vm_id& owner);
    void remove_key(const std::string& public_key);

    // The VM whose key authenticated the connection of a message. Empty if the
    // key was removed while its connection is still open.
    std::optional<vm_id> owner_of(zmq::message_t& message) const;

    // Readable when a request is pending.
    zmq::socket_t& socket() { return socket_; }

    // Replies to all pending requests.
    void handle_requests();

private:
    void reply_to(const std::vector<zmq::message_t>& request);

    zmq::socket_t socket_;
    refusal_handler on_refusal_;
    std::map<std::string, vm_id> owners_; // by public key
};

} // namespace hemlockdeal
