// Instantiates the request core with the standard policy.
#include "request/request.hpp"

namespace hemlockdeal
{

template class request_core<standard_request_policy>;

} // namespace hemlockdeal
