// Authenticates clients by their public key (ZAP handler of ZeroMQ).
#include "peer/key_check.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include <zmq_addon.hpp>

namespace hemlockdeal
{

namespace
{

constexpr std::size_t key_bytes = 32;

// Frames of a request in the ZeroMQ Authentication Protocol (ZAP) 1.0.
enum frame : std::size_t
{
    version_frame,
    request_id_frame,
    domain_frame,
    address_frame,
    identity_frame,
    mechanism_frame,
    key_frame,
    frame_count
};

std::string to_z85(const zmq::message_t& key)
{
    std::array<char, 41> text{};
    zmq_z85_encode(text.data(), key.data<std::uint8_t>(), key_bytes);
    return text.data();
}

} // namespace

key_check::key_check(zmq::context_t& context, refusal_handler on_refusal)
    : socket_(context, zmq::socket_type::rep),
      on_refusal_(std::move(on_refusal))
{
    socket_.set(zmq::sockopt::linger, 0);
    socket_.bind("inproc://zeromq.zap.01");
}

void key_check::add_key(const std::string& public_key, const vm_id& owner)
{
    owners_[public_key] = owner;
}

void key_check::remove_key(const std::string& public_key)
{
    owners_.erase(public_key);
}

std::optional<vm_id> key_check::owner_of(zmq::message_t& message) const
{
    const auto owner = owners_.find(message.gets("User-Id"));
    return owner == owners_.end() ? std::nullopt : std::optional(owner->second);
}

void key_check::handle_requests()
{
    std::vector<zmq::message_t> request;
    while (zmq::recv_multipart(socket_, std::back_inserter(request),
                               zmq::recv_flags::dontwait))
    {
        reply_to(request);
        request.clear();
    }
}

void key_check::reply_to(const std::vector<zmq::message_t>& request)
{
    const auto text = [&](std::size_t number) {
        return number < request.size() ? request[number].to_string()
                                       : std::string();
    };
    const auto complete = request.size() == frame_count &&
                          text(mechanism_frame) == "CURVE" &&
                          request[key_frame].size() == key_bytes;
    const auto key = complete ? to_z85(request[key_frame]) : std::string();
    const auto known = complete && owners_.contains(key);
    if (!known)
    {
        auto reason = "connection from " + text(address_frame);
        on_refusal_(reason += " refused: unknown key " + key);
    }
    // Version, request id, status code, status text, user id and metadata.
    const std::array<std::string, 6> reply{
        "1.0", text(request_id_frame), known ? "200" : "400", {}, key, {}};
    std::array<zmq::const_buffer, reply.size()> frames;
    std::ranges::transform(reply, frames.begin(), [](const std::string& frame) {
        return zmq::buffer(frame);
    });
    zmq::send_multipart(socket_, frames);
}

} // namespace hemlockdeal
