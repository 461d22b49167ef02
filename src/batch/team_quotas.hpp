// Shares of the shard's capacity that teams use and may use, during one pass.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "batch/placement_policy.hpp"

namespace hemlockdeal
{

// A team's share is that of the resource of which it uses the largest part.
class team_quotas
{
public:
    // Number of teams that have no quota.
    static constexpr std::uint16_t none = UINT16_MAX;

    void reset(std::span<const team_quota> quotas, const resources& capacity);

    std::uint16_t index(const team_id& team) const;
    // A team below its quota may start one more task of any size, so a team
    // whose quota is smaller than one task is served too.
    bool is_below(std::uint16_t team) const;
    // True when the team is at its quota even without `size`, so that a task
    // of this size runs on a borrowed share.
    bool is_borrowed(std::uint16_t team, const resources& size) const;
    void add(std::uint16_t team, const resources& size);
    void remove(std::uint16_t team, const resources& size);

private:
    double share(const resources& used) const;

    std::span<const team_quota> quotas_;
    std::vector<resources> used_; // as `quotas_`
    resources capacity_;
};

} // namespace hemlockdeal
