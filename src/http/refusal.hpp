// Reasons for which the HTTP server refuses requests, and how often it did.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hemlockdeal
{

enum class refusal : std::uint8_t
{
    malformed,
    header_too_large,
    body_too_large,
    // Chunk headers, chunk extensions or trailers are too large.
    framing_too_large,
    // Too many bytes wait behind a request without a complete response.
    pipelined,
    // All connections together occupy too much memory.
    memory,
    // There are too many connections.
    connections,
    // The system has no descriptor or memory for a new connection, which then
    // waits.
    descriptors
};

// As in metrics and log lines.
inline constexpr std::array<std::string_view, 8> refusal_names = {
    "malformed", "header_too_large", "body_too_large", "framing_too_large",
    "pipelined", "memory",           "connections",    "descriptors"};

class refusal_counts
{
public:
    void add(refusal why) { ++counts_[static_cast<std::size_t>(why)]; }

    std::uint64_t of(refusal why) const
    {
        return counts_[static_cast<std::size_t>(why)];
    }

    refusal_counts& operator+=(const refusal_counts& other)
    {
        for (std::size_t i = 0; i < counts_.size(); ++i)
        {
            counts_[i] += other.counts_[i];
        }
        return *this;
    }

    bool operator==(const refusal_counts&) const = default;

private:
    std::array<std::uint64_t, refusal_names.size()> counts_{};
};

} // namespace hemlockdeal
