// Passes events to the parts of the batch core.
#include "batch/batch_engine.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "batch/batch_codec.hpp"

namespace hemlockdeal
{

namespace
{

// Events that arrive together are followed by one pass over the shards.
constexpr duration run_gap = std::chrono::milliseconds(5);
constexpr duration drain_wait = std::chrono::milliseconds(25);
constexpr duration longest_sleep = std::chrono::milliseconds(100);
constexpr duration digest_interval = std::chrono::milliseconds(500);

} // namespace

batch_engine::batch_engine(batch_options options,
                           const configuration_state& configuration)
    : context_(std::move(options), configuration), ownership_(context_),
      submissions_(context_)
{}

void batch_engine::on_tick(time_point now)
{
    ran_at_ = time_point();
    context_.commits.on_tick(now);
    submissions_.on_tick(now);
}

void batch_engine::on_commit_outcome(const commit_id& id,
                                     const commit_outcome& outcome,
                                     time_point now)
{
    context_.commits.on_outcome(id, outcome, now);
}

void batch_engine::on_row(std::uint64_t number,
                          const result<std::optional<table_row>>& row,
                          time_point now)
{
    context_.reads.on_row(number, row, now);
}

void batch_engine::on_rows(std::uint64_t number, const result<table_page>& page,
                           time_point now)
{
    context_.reads.on_rows(number, page, now);
}

void batch_engine::on_report(const worker_id& worker,
                             const worker_report_reply& reply,
                             time_point sent_at, time_point now)
{
    owned_shard* shard = find(shard_of(worker, context_.options.zone,
                                       context_.options.shards_per_zone));
    if (shard != nullptr && !shard->state().lost)
    {
        shard->driver().on_report(worker, reply, sent_at, now);
    }
}

void batch_engine::on_command_reply(std::uint64_t number,
                                    const worker_command_reply& reply,
                                    time_point now)
{
    // The first driver that knows the number takes the reply.
    std::ranges::any_of(shards_, [&](const auto& item) {
        return item.second->driver().on_command_reply(number, reply, now);
    });
}

void batch_engine::on_membership(const membership_list& list, time_point now)
{
    if (list.version < context_.members.version)
    {
        return;
    }
    context_.members = list;
    context_.workers.update(list, context_.options.shards_per_zone);
    for (const auto& [id, shard] : shards_)
    {
        shard->on_membership(now);
    }
}

void batch_engine::on_lease(std::optional<time_point> valid_until,
                            incarnation current, time_point)
{
    if (!valid_until || current != context_.own_incarnation)
    {
        drop_all();
    }
    context_.valid_until = valid_until;
    context_.own_incarnation = current;
    context_.commits.set_incarnation(current);
}

void batch_engine::on_peer(const vm_id&, incarnation, const peer_body& body,
                           time_point now)
{
    if (const auto* heartbeat = std::get_if<peer_heartbeat>(&body))
    {
        for (const shard_digest& digest : heartbeat->shards)
        {
            const auto known = context_.digests.find(digest.shard);
            if (!shards_.contains(digest.shard) &&
                (known == context_.digests.end() ||
                 known->second.digest.owner_epoch <= digest.owner_epoch))
            {
                context_.digests[digest.shard] = {digest, now};
            }
        }
    }
    else if (const auto* notice = std::get_if<inbox_notice>(&body))
    {
        context_.noticed.push_back(notice->shard);
    }
}

void batch_engine::on_operator(std::uint64_t number,
                               const operator_request& request, time_point now)
{
    submissions_.on_request(number, request, now);
}

void batch_engine::stop(time_point now)
{
    stopping_ = true;
    ownership_.stop();
    for (const auto& [id, shard] : shards_)
    {
        shard->state().releasing = true;
    }
    on_tick(now);
}

bool batch_engine::stopped() const
{
    return stopping_ && shards_.empty() && ownership_.held() == 0;
}

std::vector<shard_digest> batch_engine::digests(time_point now) const
{
    std::vector<shard_digest> all;
    for (const auto& [id, shard] : shards_)
    {
        all.push_back(shard->digest(now));
    }
    return all;
}

std::vector<shard_status> batch_engine::status(time_point now) const
{
    std::vector<shard_status> all;
    for (const auto& [id, shard] : shards_)
    {
        all.push_back(shard->status(context_.options.vm, now));
    }
    return all;
}

std::vector<worker_id> batch_engine::workers_of(const shard_id& shard) const
{
    std::vector<worker_id> ids;
    const auto found = shards_.find(shard);
    if (found != shards_.end())
    {
        for (const auto& [id, worker] : found->second->state().ledger.workers())
        {
            ids.push_back(id);
        }
    }
    return ids;
}

bool batch_engine::has_job(const shard_id& shard, const job_id& job) const
{
    const auto found = shards_.find(shard);
    return found != shards_.end() && found->second->state().parts.contains(job);
}

time_point batch_engine::next_wakeup(time_point now) const
{
    time_point next = now + longest_sleep;
    const auto consider = [&next](const std::optional<time_point>& at) {
        if (at)
        {
            next = std::min(next, *at);
        }
    };
    consider(context_.commits.next_wakeup());
    for (const auto& [id, shard] : shards_)
    {
        consider(shard->next_wakeup());
    }
    // While the drain limit holds something back, it is overdue all the time.
    return std::max(next,
                    now + (context_.drain.draining() ? drain_wait : run_gap));
}

std::vector<batch_action> batch_engine::take_actions()
{
    std::vector<batch_action> taken;
    taken.swap(context_.actions);
    return taken;
}

std::vector<shard_id> batch_engine::take_dropped_shards()
{
    return std::exchange(dropped_, {});
}

std::optional<shard_id> batch_engine::next_shard_to_place(time_point now) const
{
    const auto found = std::ranges::find_if(shards_, [&](const auto& item) {
        return item.second->wants_placement(now);
    });
    if (found == shards_.end())
    {
        return std::nullopt;
    }
    return found->first;
}

placement_view batch_engine::view(const shard_id& shard, time_point now)
{
    return shards_.at(shard)->view(now);
}

void batch_engine::apply(const shard_id& shard, const placement_view& view,
                         const placement_output& output, time_point now)
{
    shards_.at(shard)->apply(view, output, now);
}

void batch_engine::deliver_observations(
    const std::function<void(const shard_id&, const policy_observation&)>&
        consume,
    time_point now)
{
    for (const auto& [id, shard] : shards_)
    {
        const std::vector<shard_observation> observations =
            std::exchange(shard->state().observations, {});
        for (const shard_observation& o : observations)
        {
            if (!o.how)
            {
                const worker_state* worker =
                    shard->state().ledger.find(o.worker);
                if (worker != nullptr)
                {
                    consume(id, worker_observed{shard->view_of(*worker, now)});
                }
            }
            else if (*o.how == attempt_end::finished)
            {
                consume(id, task_finished{o.job, o.index, o.worker, o.ran_for});
            }
            else
            {
                consume(id, task_failed{o.job, o.index, o.worker, o.error});
            }
        }
    }
}

void batch_engine::finish_event(time_point now)
{
    for (const shard_id& shard : std::exchange(context_.noticed, {}))
    {
        if (owned_shard* owned = find(shard))
        {
            owned->inbox().notice(now);
        }
    }
    if (now - ran_at_ >= run_gap)
    {
        ran_at_ = now;
        run_shards(now);
    }
}

void batch_engine::run_shards(time_point now)
{
    ownership_.on_tick(now);
    take_over(now);
    update_digests(now);
    std::vector<owned_shard*> order;
    for (const auto& [id, shard] : shards_)
    {
        order.push_back(shard.get());
    }
    if (context_.drain.draining())
    {
        // The shard with the oldest waiting change writes first.
        std::ranges::stable_sort(order, {}, [](const owned_shard* shard) {
            return shard->state().journal.oldest().value_or(time_point::max());
        });
    }
    for (owned_shard* shard : order)
    {
        shard->on_tick(now);
    }
    end_drain(now);
    release_shards(now);
    for (auto shard = shards_.begin(); shard != shards_.end();)
    {
        const auto next = std::next(shard);
        if (shard->second->state().lost)
        {
            ownership_.drop(shard->first);
            drop(shard, "lost");
        }
        shard = next;
    }
}

void batch_engine::take_over(time_point now)
{
    for (const shard_id& lost : ownership_.take_lost())
    {
        if (owned_shard* shard = find(lost))
        {
            shard->state().lost = true;
        }
    }
    for (const shard_acquired& taken : ownership_.take_acquired())
    {
        shards_[taken.shard] = std::make_shared<owned_shard>(
            context_, taken.shard, taken.owner_epoch, taken.version, now);
        shards_[taken.shard]->state().releasing = stopping_;
        context_.digests.erase(taken.shard);
    }
}

void batch_engine::release_shards(time_point now)
{
    if (!context_.may_act(now))
    {
        return;
    }
    if (!stopping_)
    {
        const std::optional<shard_id> surplus = ownership_.take_surplus(now);
        owned_shard* shard = surplus ? find(*surplus) : nullptr;
        if (shard != nullptr)
        {
            shard->state().releasing = true;
        }
    }
    for (auto shard = shards_.begin(); shard != shards_.end();)
    {
        const auto next = std::next(shard);
        if (shard->second->may_be_released(now))
        {
            ownership_.release(shard->first, now);
            drop(shard, "released");
        }
        shard = next;
    }
}

void batch_engine::update_digests(time_point now)
{
    if (now - digests_at_ < digest_interval)
    {
        return;
    }
    digests_at_ = now;
    for (const auto& [id, shard] : shards_)
    {
        context_.digests[id] = {shard->digest(now), now};
    }
}

void batch_engine::end_drain(time_point now)
{
    if (!context_.drain.draining())
    {
        return;
    }
    const bool behind = std::ranges::any_of(shards_, [&](const auto& item) {
        const auto oldest = item.second->state().journal.oldest();
        return oldest &&
               now - *oldest > 2 * context_.options.result_flush_interval;
    });
    if (!behind && !context_.commits.is_resending())
    {
        context_.drain.end();
    }
}

void batch_engine::drop(shard_map::iterator shard, std::string why)
{
    dropped_.push_back(shard->first);
    context_.digests.erase(shard->first);
    context_.event("shard.dropped", shard->first,
                   shard->second->state().owner_epoch, std::move(why));
    shards_.erase(shard);
}

void batch_engine::drop_all()
{
    while (!shards_.empty())
    {
        drop(shards_.begin(), "lease lost");
    }
    ownership_.drop_all();
}

owned_shard* batch_engine::find(const shard_id& shard)
{
    const auto found = shards_.find(shard);
    return found == shards_.end() ? nullptr : found->second.get();
}

} // namespace hemlockdeal
