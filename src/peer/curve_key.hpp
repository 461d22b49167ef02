// Keys of CURVE, the encryption of ZeroMQ, as 40 characters of Z85.
#pragma once

#include <string>

namespace hemlockdeal
{

struct curve_key_pair
{
    std::string public_key;
    std::string secret_key;
};

// Throws std::runtime_error when the ZeroMQ library was built without CURVE.
curve_key_pair make_curve_key_pair();

} // namespace hemlockdeal
