// Texts of the reasons in log events.
#include "jobs/wait_reason.hpp"

namespace hemlockdeal::jobs
{

std::string_view to_text(wait_reason reason)
{
    switch (reason)
    {
    case wait_reason::leases_not_expired:
        return "leases on a silent worker have not expired";
    case wait_reason::start_unanswered:
        return "start on a silent worker got no answer";
    case wait_reason::start_not_confirmed:
        return "start not confirmed by a worker that responds";
    case wait_reason::lead_not_valid:
        return "lead not valid";
    case wait_reason::starts_not_permitted:
        return "starts not permitted";
    case wait_reason::preceding_steps:
        return "preceding steps not done";
    case wait_reason::in_doubt_after_takeover:
        return "in doubt after a takeover";
    case wait_reason::bound_to_worker:
        return "bound to a worker that may execute an earlier start";
    case wait_reason::after_rejection:
        return "start rejected a moment ago";
    case wait_reason::account_cap:
        return "cap of the account reached";
    case wait_reason::no_suitable_worker:
        return "constraints not satisfied";
    case wait_reason::no_room:
        return "no room";
    case wait_reason::worker_leaves:
        return "worker leaves or is not listed";
    case wait_reason::zone_closed:
        return "zone closed";
    case wait_reason::worker_silent:
        return "worker silent";
    case wait_reason::worker_not_recorded:
        return "worker not recorded";
    case wait_reason::room_refused:
        return "start refused for lack of room";
    case wait_reason::worker_slow:
        return "worker slow";
    case wait_reason::worker_avoided:
        return "worker avoided";
    case wait_reason::beside_trial:
        return "suspect tried on the worker";
    case wait_reason::waits_for_trial:
        return "suspect waits for a trial alone";
    case wait_reason::no_ticket:
        return "no advice ticket";
    case wait_reason::worker_found:
        return "worker found";
    case wait_reason::not_stored:
        return "store does not list the task yet";
    case wait_reason::gang_incomplete:
        return "gang cannot start as a whole";
    case wait_reason::account_share:
        return "no room, and the account is above its share";
    case wait_reason::not_examined:
        break;
    }
    return "not examined";
}

} // namespace hemlockdeal::jobs
