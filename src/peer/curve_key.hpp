// Key pairs for CURVE, the encryption layer of ZeroMQ, encoded as 40 characters
// of Z85.
#pragma once

#include <string>

namespace hemlockdeal
{

struct curve_key_pair
{
    std::string public_key;
    std::string secret_key;
};

// Throws std::runtime_error if the ZeroMQ library was built without CURVE.
curve_key_pair make_curve_key_pair();

} // namespace hemlockdeal
