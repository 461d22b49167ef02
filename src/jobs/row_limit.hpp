// The size of one row's value that every platform's store takes.
#pragma once

#include <cstddef>

namespace hemlockdeal::jobs
{

// Bytes of a value where the platform states no limit. A value beyond the
// store's limit is refused for ever, and with it the leader's transaction.
constexpr std::size_t default_row_limit = 45'000;

} // namespace hemlockdeal::jobs
