// Watches leases, takes free shards in rendezvous order and releases surplus.
#include "batch/shard_ownership.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

namespace
{

// Highest weight first.
std::uint64_t rendezvous_weight(const shard_id& shard, const vm_id& vm)
{
    return stable_hash(vm.value(), stable_hash(shard_key(shard)));
}

} // namespace

shard_ownership::shard_ownership(batch_context& context) : context_(context)
{}

void shard_ownership::on_tick(time_point now)
{
    poll(now);
    if (stopping_ || !shards_known_ || !context_.may_act(now))
    {
        return;
    }
    for (std::uint32_t n = 0; n < context_.options.shards_per_zone; ++n)
    {
        consider({context_.options.zone, n}, now);
    }
}

void shard_ownership::poll(time_point now)
{
    if (polling_ || now < next_poll_)
    {
        return;
    }
    polling_ = true;
    next_poll_ = now + context_.options.table_poll;
    // Leases are read before the shards, so that the owner named by a shard's
    // row has been looked up at least as early as the row.
    context_.reads.all_rows(
        "lease/",
        [this](const result<std::vector<table_row>>& leases, time_point at) {
            if (!is_ok(leases))
            {
                polling_ = false;
                return;
            }
            observe_leases(value_of(leases), at);
            context_.reads.all_rows(
                "shard/" + context_.options.zone.value() + "/",
                [this](const result<std::vector<table_row>>& shards,
                       time_point read_at) {
                    polling_ = false;
                    if (is_ok(shards))
                    {
                        observe_shards(value_of(shards), read_at);
                    }
                });
        });
}

void shard_ownership::observe_leases(const std::vector<table_row>& rows,
                                     time_point now)
{
    for (const table_row& row : rows)
    {
        const std::optional<lease_content> lease = decode_lease(row.value);
        if (!lease)
        {
            continue;
        }
        const vm_id vm(row.key.substr(std::string("lease/").size()));
        observed_lease& seen = leases_[vm];
        if (seen.version != row.version)
        {
            seen.version = row.version;
            seen.since = now;
            seen.value = row.value;
            seen.revoked = !lease->revoked_by.empty();
        }
        if (seen.holder != lease->holder_incarnation ||
            seen.holder_since == time_point())
        {
            seen.holder = lease->holder_incarnation;
            seen.holder_since = now;
        }
    }
}

void shard_ownership::observe_shards(const std::vector<table_row>& rows,
                                     time_point)
{
    shards_known_ = true;
    const std::string prefix = "shard/" + context_.options.zone.value() + "/";
    for (const table_row& row : rows)
    {
        const std::optional<shard_row> content = decode_shard(row.value);
        const std::string digits = row.key.substr(prefix.size());
        if (!content || digits.empty() || digits.size() > 9 ||
            !std::ranges::all_of(digits,
                                 [](char c) { return c >= '0' && c <= '9'; }))
        {
            continue;
        }
        const shard_id shard{context_.options.zone,
                             static_cast<std::uint32_t>(std::stoul(digits))};
        observed_shard& seen = rows_[shard];
        if (row.version < seen.version)
        {
            continue;
        }
        seen = {*content, row.version};
        const auto held = held_.find(shard);
        if (held != held_.end() &&
            content->owner_epoch > held->second.owner_epoch)
        {
            lost_.push_back(shard);
        }
    }
}

shard_ownership::availability
shard_ownership::availability_of(const shard_id& shard, time_point now) const
{
    const auto row = rows_.find(shard);
    if (row == rows_.end() || row->second.row.owner.empty())
    {
        return availability::free;
    }
    const shard_row& owner = row->second.row;
    const auto lease = leases_.find(owner.owner);
    const duration wait = context_.options.lease_observation;
    if (owner.owner == context_.options.vm &&
        owner.owner_incarnation == context_.own_incarnation)
    {
        // This process dropped the shard, so nobody acts on it.
        return availability::free;
    }
    if (lease == leases_.end())
    {
        return availability::owned;
    }
    if (lease->second.holder < owner.owner_incarnation)
    {
        // The lease was read before the owner's restart.
        return availability::owned;
    }
    if (lease->second.holder > owner.owner_incarnation)
    {
        // The VM was restarted. The old process cannot renew, but its last
        // renewal may still be valid.
        return now - lease->second.holder_since >= wait ? availability::free
                                                        : availability::owned;
    }
    if (lease->second.revoked)
    {
        return availability::lease_revoked;
    }
    return now - lease->second.since >= wait ||
                   !context_.options.safeguards.observe_lease_before_takeover
               ? availability::lease_expired
               : availability::owned;
}

void shard_ownership::consider(const shard_id& shard, time_point now)
{
    const availability state = held_.contains(shard)
                                   ? availability::owned
                                   : availability_of(shard, now);
    if (state == availability::owned)
    {
        free_since_.erase(shard);
        return;
    }
    const time_point since = free_since_.try_emplace(shard, now).first->second;
    if (take_in_flight_ || now < next_take_)
    {
        return;
    }
    const std::vector<vm_id> vms = live_vms(now);
    const auto jitter = duration(
        stable_hash(context_.options.vm.value() + shard_key(shard)) % 200'000);
    const std::size_t place = rank(shard, vms);
    duration delay = place * context_.options.rank_delay;
    if (place > 0)
    {
        delay += jitter;
    }
    if (held_.size() >= most_shards(now))
    {
        // Others should take it; a shard without an owner is worse than a VM
        // with too many.
        delay += (vms.size() + 2) * context_.options.rank_delay;
    }
    if (now - since >= delay)
    {
        take(shard, state, now);
    }
}

void shard_ownership::take(const shard_id& shard, availability why,
                           time_point now)
{
    const commit_id id = context_.commits.next_id();
    const auto row = rows_.find(shard);
    shard_row next{context_.options.vm, context_.own_incarnation, epoch(1)};
    table_commit commit{id, {}, {}};
    if (row == rows_.end())
    {
        commit.writes.push_back({shard_key(shard), expect_absent{}, {}});
        commit.writes.push_back(
            {snapshot_head_key(shard), expect_absent{}, encode_head(0, id)});
    }
    else
    {
        next.owner_epoch = row->second.row.owner_epoch.next();
        commit.writes.push_back({shard_key(shard), row->second.version, {}});
        if (why == availability::lease_revoked)
        {
            const vm_id& owner = row->second.row.owner;
            commit.checks.push_back(
                {lease_key(owner), leases_.at(owner).version});
        }
        if (why == availability::lease_expired)
        {
            const vm_id& owner = row->second.row.owner;
            const observed_lease& lease = leases_.at(owner);
            commit.writes.push_back(
                {lease_key(owner), lease.version,
                 revoke(lease.value, context_.options.vm, id)});
        }
    }
    commit.writes.front().value = encode(next, id);
    take_in_flight_ = true;
    next_take_ = now + context_.options.takeover_interval;
    context_.commits.submit(
        std::move(commit), shard_key(shard),
        [this, shard, taken = next.owner_epoch,
         life = life_](const commit_result& outcome, time_point at) {
            if (life == life_)
            {
                on_taken(shard, taken, outcome, at);
            }
        },
        now);
}

void shard_ownership::on_taken(const shard_id& shard, epoch taken_epoch,
                               const commit_result& outcome, time_point now)
{
    take_in_flight_ = false;
    // Another VM was first, or the owner renewed: look at the rows again.
    next_poll_ = now;
    free_since_.erase(shard);
    if (outcome.outcome != commit_result::kind::done)
    {
        return;
    }
    const row_version version = outcome.versions.empty()
                                    ? outcome.probe->version
                                    : outcome.versions.front();
    rows_[shard] = {
        {context_.options.vm, context_.own_incarnation, taken_epoch}, version};
    held_[shard] = {taken_epoch, version};
    acquired_.push_back({shard, taken_epoch, version});
    context_.event("shard.taken", shard, taken_epoch);
}

void shard_ownership::release(const shard_id& shard, time_point now)
{
    const auto held = held_.find(shard);
    if (held == held_.end() || held->second.releasing)
    {
        return;
    }
    held->second.releasing = true;
    const commit_id id = context_.commits.next_id();
    const shard_row none{vm_id(), incarnation(), held->second.owner_epoch};
    table_commit commit{
        id, {}, {{shard_key(shard), held->second.version, encode(none, id)}}};
    context_.commits.submit(
        std::move(commit), shard_key(shard),
        [this, shard, none, life = life_](const commit_result& outcome,
                                          time_point) {
            if (life != life_)
            {
                return;
            }
            held_.erase(shard);
            if (outcome.outcome == commit_result::kind::done)
            {
                rows_[shard] = {none, outcome.versions.empty()
                                          ? outcome.probe->version
                                          : outcome.versions.front()};
                context_.event("shard.released", shard, none.owner_epoch);
            }
        },
        now);
}

void shard_ownership::drop_all()
{
    ++life_;
    take_in_flight_ = false;
    held_.clear();
    acquired_.clear();
    free_since_.clear();
    // What the rows say may be old; they are read again before any takeover.
    shards_known_ = false;
}

void shard_ownership::drop(const shard_id& shard)
{
    held_.erase(shard);
    // Until the row has been read again it is not known who owns the shard.
    shards_known_ = false;
    next_poll_ = time_point();
}

std::vector<shard_acquired> shard_ownership::take_acquired()
{
    return std::exchange(acquired_, {});
}

std::vector<shard_id> shard_ownership::take_lost()
{
    return std::exchange(lost_, {});
}

std::optional<shard_id> shard_ownership::take_surplus(time_point now)
{
    if (now < next_release_ || held_.size() <= most_shards(now) ||
        std::ranges::any_of(
            held_, [](const auto& held) { return held.second.releasing; }))
    {
        return std::nullopt;
    }
    next_release_ = now + context_.options.release_interval;
    const std::vector<vm_id> vms = live_vms(now);
    // The shard that this VM is the worst choice for.
    const auto worst = std::ranges::max_element(
        held_, {}, [&](const auto& held) { return rank(held.first, vms); });
    return worst->first;
}

std::optional<vm_id> shard_ownership::owner_of(const shard_id& shard) const
{
    const auto row = rows_.find(shard);
    if (row == rows_.end() || row->second.row.owner.empty())
    {
        return std::nullopt;
    }
    return row->second.row.owner;
}

std::vector<vm_id> shard_ownership::live_vms(time_point now) const
{
    std::vector<vm_id> vms{context_.options.vm};
    for (const member& m : context_.members.members)
    {
        const vm_id vm(m.id);
        const auto lease = leases_.find(vm);
        if (m.kind == member_kind::entry_vm && m.state == member_state::live &&
            m.zone == context_.options.zone && vm != context_.options.vm &&
            lease != leases_.end() && !lease->second.revoked &&
            now - lease->second.since < context_.options.lease_observation)
        {
            vms.push_back(vm);
        }
    }
    return vms;
}

std::size_t shard_ownership::rank(const shard_id& shard,
                                  const std::vector<vm_id>& vms) const
{
    const std::uint64_t own = rendezvous_weight(shard, context_.options.vm);
    return static_cast<std::size_t>(
        std::ranges::count_if(vms, [&](const vm_id& vm) {
            return rendezvous_weight(shard, vm) > own;
        }));
}

std::size_t shard_ownership::most_shards(time_point now) const
{
    const std::size_t vms = live_vms(now).size();
    return (context_.options.shards_per_zone + vms - 1) / vms + 1;
}

} // namespace hemlockdeal
