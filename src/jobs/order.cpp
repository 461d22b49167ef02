// Fencing tokens of orders.
#include "jobs/order.hpp"

#include <algorithm>

namespace hemlockdeal::jobs
{

std::uint64_t order_fence(std::uint64_t epoch, std::uint32_t restarts)
{
    constexpr unsigned restart_bits = 16;
    constexpr std::uint32_t max_restarts = (1U << restart_bits) - 1;
    return (epoch << restart_bits) + std::min(restarts, max_restarts);
}

} // namespace hemlockdeal::jobs
