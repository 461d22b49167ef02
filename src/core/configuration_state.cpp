// Adoption and confirmation of configuration versions.
#include "core/configuration_state.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

configuration_state::configuration_state(freshness_limits limits)
    : limits_(limits)
{}

bool configuration_state::adopt(configuration candidate)
{
    if (candidate.version <= version())
    {
        return false;
    }
    newest_known_ = std::max(newest_known_, candidate.version);
    current_ = std::move(candidate);
    return true;
}

void configuration_state::confirm_from_table(configuration_version version,
                                             time_point sent_at)
{
    confirm(version, sent_at);
}

void configuration_state::confirm_from_peer(configuration_version version,
                                            duration age, time_point sent_at)
{
    confirm(version, sent_at - std::max(age, duration::zero()));
}

const configuration* configuration_state::current() const
{
    return current_ ? &*current_ : nullptr;
}

configuration_version configuration_state::version() const
{
    return current_ ? current_->version : configuration_version();
}

std::optional<configuration_version>
configuration_state::missing_version() const
{
    if (newest_known_ <= version())
    {
        return std::nullopt;
    }
    return newest_known_;
}

bool configuration_state::is_fresh(time_point now) const
{
    return current_ && confirmed_at_ && !missing_version() &&
           now - *confirmed_at_ <= limits_.max_confirmation_age;
}

bool configuration_state::may_start(const availability_zone_id& zone,
                                    time_point token_received_at,
                                    time_point now) const
{
    return is_fresh(now) && !is_out(*current_, zone) &&
           token_received_at - *confirmed_at_ <= limits_.max_token_delay;
}

void configuration_state::confirm(configuration_version version, time_point at)
{
    newest_known_ = std::max(newest_known_, version);
    // A version below the confirmed one comes from a delayed response, which
    // does not confirm the newer version.
    if (version < confirmed_version_)
    {
        return;
    }
    confirmed_version_ = version;
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, at) : at;
}

} // namespace hemlockdeal
