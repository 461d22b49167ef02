// Outcomes of callers' requests that write to the store.
#pragma once

namespace hemlockdeal::node
{

// Outcome of a submission or a cancellation.
enum class request_result
{
    done,
    // Nothing was stored, and nothing will be.
    refused,
    // The same, and the store will not accept the request later either.
    rejected,
    // Nothing was stored: the accepted jobs leave no memory for this one.
    no_memory,
    // No job has this id.
    no_such_job,
    // The outcome of the store call is not known; the rows may have been
    // stored.
    unknown
};

} // namespace hemlockdeal::node
