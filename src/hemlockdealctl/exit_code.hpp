// Exit codes of hemlockdealctl. The numbers are part of its interface, since
// scripts depend on them.
#pragma once

namespace hemlockdeal
{

enum class exit_code
{
    done = 0,
    refused = 1,
    usage = 2,
    not_reached = 3,
    outcome_unknown = 4,
    version_conflict = 5
};

inline constexpr const char* exit_code_help =
    "Exit codes: 0 done, 1 refused, 2 usage or bad file, 3 not reached, "
    "4 outcome unknown, 5 lost a race.";

} // namespace hemlockdeal
