// The table row `request/<key>`: a claim of a key, and later the response of
// the request that claimed it.
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
    // Commit that created the row. The claimer recognises its row by it when
    // the response to the commit was lost.
    commit_id claim;
    // Commit that wrote the row last.
    commit_id commit;
    // Tells requests apart that use one key by mistake.
    std::string fingerprint;
    bool finished = false;
    // Empty for a finished request whose response was too large.
    std::optional<stored_response> response;
};

std::string claim_row_key(const request_key& key);
std::string to_text(const claim_row& row);
std::optional<claim_row> parse_claim_row(std::string_view text);

} // namespace hemlockdeal
