// Generation of key pairs for CURVE, the encryption layer of ZeroMQ.
#include "peer/curve_key.hpp"

#include <array>
#include <stdexcept>

#include <zmq.h>

namespace hemlockdeal
{

curve_key_pair make_curve_key_pair()
{
    // 40 characters of Z85 and the terminating null byte.
    std::array<char, 41> public_key{};
    std::array<char, 41> secret_key{};
    if (zmq_curve_keypair(public_key.data(), secret_key.data()) != 0)
    {
        throw std::runtime_error("the ZeroMQ library has no CURVE");
    }
    return {public_key.data(), secret_key.data()};
}

} // namespace hemlockdeal
