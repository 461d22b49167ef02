// Validation findings. All findings of a file are reported together with their
// positions, so that a user can correct all errors at once.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockdeal
{

// Lines and columns are counted from 1; 0 means that the position is unknown.
struct source_position
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

struct finding
{
    source_position place;
    std::string message;
};

using findings = std::vector<finding>;

// Formats a finding as "file:line:column: message".
std::string to_text(const finding& f);

} // namespace hemlockdeal
