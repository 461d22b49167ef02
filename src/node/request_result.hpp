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
    // Nothing was stored: memory is short, and the jobs of the account take
    // more than its share.
    no_account_memory,
    // Nothing was stored: a task or a gang of the job exceeds the cap of its
    // account, so that it could never start.
    over_account_cap,
    // Nothing was stored, and the job has not run: it was cancelled before it
    // was accepted.
    withdrawn,
    // No job has this id.
    no_such_job,
    // The outcome of the store call is not known; the rows may have been
    // stored.
    unknown
};

} // namespace hemlockdeal::node
