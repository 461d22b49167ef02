// Event loop, network and daemons of the test cluster.
#include "batch/cluster.hpp"

#include <algorithm>
#include <utility>

#include "batch/batch_codec.hpp"
#include "batch/cluster_daemon.hpp"

namespace hemlockdeal::test
{

using namespace std::chrono_literals;

cluster::cluster(const cluster_options& options)
    : options_(options), random_(options_.seed * 2 + 1)
{
    newest_.version = configuration_version(1);
    work_class batch{class_id("batch"), class_kind::batch, 60s};
    work_class urgent{class_id("urgent"), class_kind::batch, 5s};
    urgent.urgent = true;
    newest_.content.classes = {batch, urgent};
    table_.before_commit = [this](const table_commit& c) {
        check_takeover(c);
        note_intents(c);
    };
    for (std::uint32_t z = 0; z < options_.zones; ++z)
    {
        for (std::uint32_t w = 0; w < options_.workers_per_zone; ++w)
        {
            add_worker(z);
        }
        for (std::uint32_t d = 0; d < options_.daemons_per_zone; ++d)
        {
            auto created = std::make_unique<daemon>();
            created->vm = vm_id("entry-" + std::to_string(daemons_.size()));
            created->zone = zone_id(z);
            // Clocks of different VMs have nothing to do with each other.
            created->clock_offset = std::chrono::seconds(random() % 100'000);
            daemons_.push_back(std::move(created));
        }
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i)
    {
        start_daemon(i);
    }
}

cluster::~cluster() = default;

std::uint64_t cluster::random()
{
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = random_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

bool cluster::chance(double probability)
{
    return probability > 0.0 &&
           static_cast<double>(random() % 1'000'000) < probability * 1e6;
}

duration cluster::latency()
{
    return duration(500 + random() % 8'000);
}

void cluster::at(time_point t, std::function<void()> run)
{
    events_.push({std::max(t, now_), order_++, std::move(run)});
}

void cluster::run_for(duration d)
{
    const time_point end = now_ + d;
    while (!events_.empty() && events_.top().at <= end)
    {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = end;
}

bool cluster::run_until(const std::function<bool()>& done, duration limit)
{
    const time_point end = now_ + limit;
    while (now_ < end)
    {
        if (done())
        {
            return true;
        }
        run_for(2s);
    }
    return done();
}

void cluster::start_daemon(std::size_t index)
{
    daemon& d = *daemons_[index];
    ++d.life;
    d.alive = true;
    d.own_incarnation = d.own_incarnation.next();
    d.valid_until.reset();
    d.lease_version.reset();
    d.core.reset();
    d.merge = membership_merge();
    d.configuration = configuration_state();
    batch_options o;
    o.vm = d.vm;
    o.zone = d.zone;
    o.region = region_id("region");
    o.shards_per_zone = options_.shards_per_zone;
    o.safeguards = options_.safeguards;
    o.workers_fence = options_.workers_fence;
    d.core = std::make_unique<batch_core<first_fit_policy>>(o, d.configuration);
    on_daemon(index, [this, index](daemon& started) {
        started.core->on_lease(std::nullopt, started.own_incarnation,
                               started.local(now_));
        started.core->on_membership(members(started), started.local(now_));
        after_event(index);
    });
    tick(index);
    control(index);
}

void cluster::on_daemon(std::size_t index, std::function<void(daemon&)> run)
{
    const std::uint64_t life = daemons_[index]->life;
    at(now_, [this, index, life, run = std::move(run)] {
        daemon& d = *daemons_[index];
        if (!d.alive || d.life != life)
        {
            return;
        }
        if (d.paused_until > now_)
        {
            at(d.paused_until, [this, index, life, run] {
                if (daemons_[index]->life == life)
                {
                    on_daemon(index, run);
                }
            });
            return;
        }
        run(d);
    });
}

void cluster::tick(std::size_t index)
{
    on_daemon(index, [this, index](daemon& d) {
        d.core->on_tick(d.local(now_));
        after_event(index);
        const duration wait =
            d.core->next_wakeup(d.local(now_)) - d.local(now_);
        const std::uint64_t life = d.life;
        at(now_ + std::max(wait, duration(5'000)), [this, index, life] {
            if (daemons_[index]->life == life)
            {
                tick(index);
            }
        });
    });
}

void cluster::after_event(std::size_t index)
{
    daemon& d = *daemons_[index];
    for (batch_action& action : d.core->take_actions())
    {
        carry_out(index, std::move(action));
    }
}

void cluster::carry_out(std::size_t index, batch_action action)
{
    if (const auto* commit = std::get_if<send_commit>(&action))
    {
        send(index, *commit);
    }
    else if (const auto* row = std::get_if<read_row>(&action))
    {
        read(index, [this, index, row = *row] {
            return [this, index, number = row.number,
                    found = table_.row(row.key)](daemon& d, bool answered) {
                if (answered)
                {
                    d.core->on_row(number, found, d.local(now_));
                }
                else
                {
                    d.core->on_row(number, error{}, d.local(now_));
                }
                after_event(index);
            };
        });
    }
    else if (const auto* rows = std::get_if<read_rows>(&action))
    {
        const auto look = [this, index, rows = *rows] {
            return [this, index, number = rows.number,
                    page = table_.rows(rows)](daemon& d, bool answered) {
                if (answered)
                {
                    d.core->on_rows(number, page, d.local(now_));
                }
                else
                {
                    d.core->on_rows(number, error{}, d.local(now_));
                }
                after_event(index);
            };
        };
        read(index, look, faults.page_transfer);
    }
    else if (const auto* ask = std::get_if<ask_for_report>(&action))
    {
        check_lease(*daemons_[index], "asked for a report");
        send(index, *ask);
    }
    else if (const auto* commands = std::get_if<send_commands>(&action))
    {
        if (std::ranges::any_of(commands->batch.commands,
                                [](const worker_command& c) {
                                    return c.verb != worker_verb::renew;
                                }))
        {
            check_lease(*daemons_[index], "sent a command");
        }
        send(index, *commands);
    }
    else if (const auto* message = std::get_if<send_to_peer>(&action))
    {
        send(index, *message);
    }
    else if (const auto* record = std::get_if<record_event>(&action))
    {
        if (record->event.kind == "shard.dropped")
        {
            check_drop(*daemons_[index], record->event);
        }
    }
    else if (const auto* answer = std::get_if<operator_answer>(&action))
    {
        take_answer(*answer);
    }
}

void cluster::read(
    std::size_t index,
    const std::function<std::function<void(daemon&, bool)>()>& look,
    duration transfer)
{
    const duration there = latency() + faults.table_delay;
    const duration back = latency() + faults.table_delay;
    const bool lost = chance(faults.lose_answer);
    at(now_ + there, [this, index, look, transfer, there, back, lost] {
        const auto answer = look();
        const bool answered = !faults.table_down &&
                              !daemons_[index]->cut_from_table && !lost &&
                              there + back < table_timeout;
        at(now_ + (answered ? back + transfer : table_timeout - there),
           [this, index, answer, answered] {
               on_daemon(index, [answer, answered](daemon& d) {
                   answer(d, answered);
               });
           });
    });
}

void cluster::commit(
    std::size_t index, const table_commit& c,
    const std::function<void(daemon&, const commit_outcome&)>& done)
{
    const duration there = latency() + faults.table_delay;
    const duration back = latency() + faults.table_delay;
    const bool lost = chance(faults.lose_answer);
    at(now_ + there, [this, index, c, done, there, back, lost] {
        commit_outcome outcome = commit_unknown{"no answer"};
        if (!faults.table_down && !daemons_[index]->cut_from_table)
        {
            outcome = table_.commit(c);
        }
        if (lost || there + back >= table_timeout)
        {
            outcome = commit_unknown{"no answer"};
        }
        const bool answered = !std::holds_alternative<commit_unknown>(outcome);
        at(now_ +
               (answered ? back : std::max(table_timeout - there, duration())),
           [this, index, outcome, done] {
               on_daemon(index,
                         [outcome, done](daemon& d) { done(d, outcome); });
           });
        if (chance(faults.duplicate) && !faults.table_down)
        {
            // A copy of the message that arrives late.
            at(now_ + 20 * latency(), [this, c] { table_.commit(c); });
        }
    });
}

void cluster::send(std::size_t index, const send_commit& action)
{
    commit(index, action.commit,
           [this, index, id = action.commit.id](daemon& d,
                                                const commit_outcome& outcome) {
               d.core->on_commit_outcome(id, outcome, d.local(now_));
               after_event(index);
           });
}

void cluster::to_worker(
    std::size_t index, const worker_id& id,
    const std::function<std::function<void(daemon&)>(fake_worker*)>& exchange,
    const std::function<void(daemon&)>& unreachable)
{
    const duration there = latency() + faults.worker_delay;
    const bool lost = chance(faults.lose_worker_message);
    const bool answer_lost = chance(faults.lose_worker_message);
    at(now_ + there, [this, index, id, exchange, unreachable, lost,
                      answer_lost] {
        fake_worker* worker = find_worker(id);
        std::function<void(daemon&)> answer;
        if (worker != nullptr && !lost && !daemons_[index]->cut_from_workers)
        {
            answer = exchange(worker);
            note_ends(*worker);
            if (chance(faults.duplicate))
            {
                at(now_ + 20 * latency(), [this, id, exchange] {
                    if (fake_worker* again = find_worker(id))
                    {
                        exchange(again);
                        note_ends(*again);
                    }
                });
            }
        }
        const bool answered = answer && !answer_lost;
        at(now_ + (answered ? latency() + faults.worker_delay : worker_timeout),
           [this, index, run = answered ? answer : unreachable] {
               on_daemon(index, run);
           });
    });
}

void cluster::send(std::size_t index, const ask_for_report& action)
{
    const time_point sent_at = daemons_[index]->local(now_);
    const auto deliver = [this, index, id = action.worker,
                          sent_at](const worker_report_reply& reply) {
        return [this, index, id, sent_at, reply](daemon& d) {
            d.core->on_report(id, reply, sent_at, d.local(now_));
            after_event(index);
        };
    };
    to_worker(
        index, action.worker,
        [this, request = action.request, deliver](fake_worker* worker) {
            return deliver(worker->report(request, now_));
        },
        deliver(worker_unreachable{}));
}

void cluster::send(std::size_t index, const send_commands& action)
{
    const auto deliver = [this, index, number = action.number](
                             const worker_command_reply& reply) {
        return [this, index, number, reply](daemon& d) {
            d.core->on_command_reply(number, reply, d.local(now_));
            after_event(index);
        };
    };
    to_worker(
        index, action.worker,
        [this, batch = action.batch, deliver](fake_worker* worker) {
            return deliver(worker->command(
                batch, now_,
                [&](const worker_command& c, const run_of_task& run) {
                    on_started(*worker, c, run);
                }));
        },
        deliver(worker_unreachable{}));
}

void cluster::send(std::size_t index, const send_to_peer& action)
{
    for (std::size_t other = 0; other < daemons_.size(); ++other)
    {
        if (other == index || (action.to && daemons_[other]->vm != *action.to))
        {
            continue;
        }
        at(now_ + latency(), [this, index, other, body = action.body] {
            on_daemon(other, [this, index, other, body](daemon& d) {
                d.core->on_peer(daemons_[index]->vm,
                                daemons_[index]->own_incarnation, body,
                                d.local(now_));
                after_event(other);
            });
        });
    }
}

// Stands in for the control library: lease, configuration and heartbeats.
void cluster::control(std::size_t index)
{
    on_daemon(index, [this, index](daemon& d) {
        if (++d.control_rounds % 2 == 0)
        {
            renew_lease(index);
            send(index,
                 send_to_peer{std::nullopt,
                              peer_heartbeat{d.zone, d.configuration.version(),
                                             true, true,
                                             d.core->digests(d.local(now_))}});
        }
        const time_point sent_at = d.local(now_);
        read(index, [this, sent_at] {
            return [newest = newest_, sent_at](daemon& reader, bool answered) {
                if (answered)
                {
                    reader.configuration.adopt(newest);
                    reader.configuration.confirm_from_table(newest.version,
                                                            sent_at);
                }
            };
        });
        const std::uint64_t life = d.life;
        at(now_ + 500ms, [this, index, life] {
            if (daemons_[index]->life == life)
            {
                control(index);
            }
        });
    });
}

void cluster::renew_lease(std::size_t index)
{
    daemon& d = *daemons_[index];
    if (d.renewing)
    {
        return;
    }
    d.renewing = true;
    const std::string value =
        R"({"incarnation":)" + std::to_string(d.own_incarnation.value()) +
        R"(,"counter":)" + std::to_string(++d.lease_counter) + "}";
    table_write write{lease_key(d.vm), expect_absent{}, value};
    if (d.lease_version)
    {
        write.expected = *d.lease_version;
    }
    const time_point sent_at = d.local(now_);
    commit(index, {commit_id("lease"), {}, {write}},
           [this, index, value, sent_at](daemon& owner,
                                         const commit_outcome& outcome) {
               owner.renewing = false;
               if (const auto* done = std::get_if<commit_done>(&outcome))
               {
                   owner.lease_version = done->versions.front();
                   owner.valid_until = sent_at + 5s;
               }
               else if (const auto* c = std::get_if<commit_conflict>(&outcome))
               {
                   take_lease_conflict(owner, *c);
               }
               else
               {
                   return;
               }
               owner.core->on_lease(owner.valid_until, owner.own_incarnation,
                                    owner.local(now_));
               after_event(index);
           });
}

void cluster::take_lease_conflict(daemon& owner, const commit_conflict& c)
{
    const commit_conflict::row& row = c.rows.front();
    const std::optional<lease_content> present =
        row.value ? decode_lease(*row.value) : std::nullopt;
    owner.lease_version.reset();
    if (row.value)
    {
        owner.lease_version = row.version;
    }
    // An earlier renewal took effect unseen: renew again from there. Else the
    // lease was revoked, or belongs to an earlier process of this VM.
    if (!present || !present->revoked_by.empty() ||
        present->holder_incarnation != owner.own_incarnation)
    {
        owner.valid_until.reset();
    }
}

} // namespace hemlockdeal::test
