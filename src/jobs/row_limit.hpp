// Size limit of row values in the store.
#pragma once

#include <cstddef>

namespace hemlockdeal::jobs
{

// Limit in bytes for platforms that state none. The store permanently rejects
// a larger value, and with it every transaction of the leader that contains
// it.
constexpr std::size_t default_row_limit = 45'000;

} // namespace hemlockdeal::jobs
