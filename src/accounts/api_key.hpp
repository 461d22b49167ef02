// The secret with which a caller shows its account.
#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace hemlockdeal::accounts
{

// Has no way back to its text, so that it cannot get into a log or an error.
class api_key
{
public:
    explicit api_key(std::string secret) : secret_(std::move(secret)) {}

    // Takes equally long for all presented texts of one length.
    bool matches(std::string_view presented) const;

private:
    std::string secret_;
};

} // namespace hemlockdeal::accounts
