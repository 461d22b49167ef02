// The table row `request/<key>`: the claim of an idempotency key and, later,
// the response of the request that claimed it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/core.hpp"
#include "request/request_event.hpp"

namespace hemlockdeal
{

struct claim_row
{
    // Commit that created the row. It identifies the row as the claimer's own
    // when the response to the commit was lost.
    commit_id claim;
    // Commit that last wrote the row.
    commit_id commit;
    // Detects different requests that use the same key by mistake.
    std::string fingerprint;
    bool finished = false;
    // Empty for a finished request whose response was too large to store.
    std::optional<stored_response> response;
};

std::string claim_row_key(const request_key& key);
std::string to_text(const claim_row& row);
std::optional<claim_row> parse_claim_row(std::string_view text);

} // namespace hemlockdeal
