// Bounds the rate at which responses are sent.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace hemlockdeal
{

// All transfers that share the object have the rate together.
class transfer_rate
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    // The rate must be positive.
    explicit transfer_rate(double bytes_per_second)
        : bytes_per_second_(bytes_per_second)
    {}

    // Number of bytes to send at once.
    std::size_t next_piece(std::size_t remaining) const
    {
        const auto piece = static_cast<std::size_t>(
            bytes_per_second_ * std::chrono::duration<double>(step).count());
        return std::min(remaining, std::max<std::size_t>(piece, 1));
    }

    // Counts bytes as sent now and returns how long the next ones must wait.
    std::chrono::milliseconds add(std::size_t bytes, time_point now)
    {
        const std::chrono::duration<double> takes(static_cast<double>(bytes) /
                                                  bytes_per_second_);
        free_at_ = std::max(free_at_, now) +
                   std::chrono::duration_cast<time_point::duration>(takes);
        return std::chrono::ceil<std::chrono::milliseconds>(free_at_ - now);
    }

private:
    static constexpr std::chrono::milliseconds step{10};

    double bytes_per_second_;
    time_point free_at_{};
};

} // namespace hemlockdeal
