// Decides which shards of the daemon's own zone it takes and releases, and
// carries out the transactions for it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "batch/batch_codec.hpp"
#include "batch/batch_context.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

struct shard_acquired
{
    shard_id shard;
    epoch owner_epoch;
    row_version version; // of the row `shard/<zone>/<n>`
};

class shard_ownership
{
public:
    explicit shard_ownership(batch_context& context);

    void on_tick(time_point now);

    // Forgets every shard; their rows still name this VM until the next owner
    // takes them.
    void drop_all();
    void drop(const shard_id& shard);

    // Writes "no owner" into the shard's row. The caller has stopped using
    // the shard.
    void release(const shard_id& shard, time_point now);

    // Takes no more shards from now on.
    void stop() { stopping_ = true; }

    std::vector<shard_acquired> take_acquired();
    // Shards whose rows name another owner with a higher epoch.
    std::vector<shard_id> take_lost();
    // A shard to release, when this VM owns too many.
    std::optional<shard_id> take_surplus(time_point now);

    std::size_t held() const { return held_.size(); }
    // The owner according to the newest read of the rows.
    std::optional<vm_id> owner_of(const shard_id& shard) const;

private:
    struct observed_lease
    {
        row_version version;
        time_point since;
        incarnation holder;
        time_point holder_since;
        bool revoked = false;
        std::string value;
    };

    struct observed_shard
    {
        shard_row row;
        row_version version;
    };

    struct held_shard
    {
        epoch owner_epoch;
        row_version version;
        bool releasing = false;
    };

    enum class availability
    {
        owned,
        free,
        lease_expired // free after its owner's lease is revoked
    };

    void poll(time_point now);
    void observe_leases(const std::vector<table_row>& rows, time_point now);
    void observe_shards(const std::vector<table_row>& rows, time_point now);
    availability availability_of(const shard_id& shard, time_point now) const;
    void consider(const shard_id& shard, time_point now);
    void take(const shard_id& shard, availability why, time_point now);
    void on_taken(const shard_id& shard, epoch taken_epoch,
                  const commit_result& outcome, time_point now);
    std::vector<vm_id> live_vms(time_point now) const;
    std::size_t rank(const shard_id& shard,
                     const std::vector<vm_id>& vms) const;
    std::size_t most_shards(time_point now) const;

    batch_context& context_;
    bool stopping_ = false;
    bool polling_ = false;
    bool take_in_flight_ = false;
    bool shards_known_ = false;
    // Answers that belong to takeovers before a drop are ignored.
    std::uint64_t life_ = 0;
    time_point next_poll_;
    time_point next_take_;
    time_point next_release_;
    std::map<vm_id, observed_lease> leases_;
    std::map<shard_id, observed_shard> rows_;
    std::map<shard_id, time_point> free_since_;
    std::map<shard_id, held_shard> held_;
    std::vector<shard_acquired> acquired_;
    std::vector<shard_id> lost_;
};

} // namespace hemlockdeal
