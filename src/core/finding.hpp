// Findings of a check. They are collected with their places and reported
// together, so that a user corrects a file once and not mistake by mistake.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockdeal
{

// Line and column count from 1; 0 means that the place is not known.
struct source_place
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
};

struct finding
{
    source_place place;
    std::string message;
};

using findings = std::vector<finding>;

// Formats a finding as "file:line:column: message".
std::string to_text(const finding& f);

} // namespace hemlockdeal
