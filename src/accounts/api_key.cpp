// Comparison of keys.
#include "accounts/api_key.hpp"

namespace hemlockdeal::accounts
{

bool api_key::matches(std::string_view presented) const
{
    // Reads as many bytes for a text that differs early as for an equal one.
    // `volatile` keeps the compiler from ending the loop at a difference.
    volatile unsigned char difference =
        presented.size() == secret_.size() ? 0 : 1;
    for (std::size_t i = 0; i < presented.size(); ++i)
    {
        const auto own = secret_.empty() ? '\0' : secret_[i % secret_.size()];
        difference = static_cast<unsigned char>(
            difference | static_cast<unsigned char>(presented[i] ^ own));
    }
    return !secret_.empty() && difference == 0;
}

} // namespace hemlockdeal::accounts
