// Simulation of several request cores with a shared table and a few endpoints,
// in simulated time and with random faults. It tracks sent requests
// independently of the cores and records every violation of a guarantee.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fake_table.hpp"
#include "request/request.hpp"
#include "request_simulation_settings.hpp"

namespace hemlockdeal
{

template <typename Policy>
class request_simulation
{
public:
    using core = request_core<Policy>;

    request_simulation(std::uint64_t seed, simulation_topology topology,
                       simulation_faults faults)
        : random_(seed), topology_(topology), faults_(faults)
    {
        const int all = topology.daemons + (topology.far_daemon ? 1 : 0);
        for (int d = 0; d < all; ++d)
        {
            daemons_.push_back(make_daemon(d, 1));
        }
        for (std::size_t d = 0; d < daemons_.size(); ++d)
        {
            daemons_[d]->on_membership(list(), now_);
        }
    }

    // Runs until all requests should have an outcome. Returns false if some
    // have none.
    bool run()
    {
        // Coordinators lend nothing for the first seconds.
        advance_to(time_point(std::chrono::seconds(5)));
        for (std::size_t d = 0; d < daemons_.size(); ++d)
        {
            for (int i = 0; i < faults_.requests; ++i)
            {
                at(now_ + duration(i * faults_.request_interval_us),
                   [this, d] { send_request(d); });
            }
        }
        if (faults_.instance_leaves)
        {
            const auto span = faults_.requests * faults_.request_interval_us;
            at(now_ + duration(span / 3), [this] { leave_instance(); });
        }
        if (faults_.restarts)
        {
            const auto span = faults_.requests * faults_.request_interval_us;
            at(now_ + duration(span / 2), [this] { restart_daemon(); });
        }
        advance_to(now_ + std::chrono::seconds(40));
        return open_.empty();
    }

    const std::vector<std::string>& violations() const { return violations_; }
    // Number of requests by outcome, and "stored" for duplicates.
    const std::map<std::string, int>& outcomes() const { return outcomes_; }
    core& daemon(std::size_t d) { return *daemons_[d]; }

    void at(time_point when, std::function<void()> event)
    {
        events_.emplace(when, std::move(event));
    }

    void advance_to(time_point end)
    {
        while (now_ < end)
        {
            time_point next = end;
            if (!events_.empty())
            {
                next = std::min(next, events_.begin()->first);
            }
            for (const auto& d : daemons_)
            {
                next = std::min(next, d->next_wakeup().value_or(end));
            }
            now_ = std::max(now_, next);
            while (!events_.empty() && events_.begin()->first <= now_)
            {
                const auto event = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                event();
            }
            for (std::size_t d = 0; d < daemons_.size(); ++d)
            {
                daemons_[d]->on_tick(now_);
                run_actions(d);
            }
            check_shares();
        }
    }

private:
    struct running_attempt
    {
        std::size_t instance = 0;
        bool sent = false;
        bool keep = false;
    };
    struct open_request
    {
        std::size_t daemon = 0;
        std::string path;
        std::optional<request_key> key;
        int sent = 0;    // attempts that sent bytes
        int refused = 0; // of those, refused by the endpoint
        bool caller_gone = false;
    };
    using attempt_key = std::tuple<std::size_t, std::uint64_t, std::uint64_t>;

    availability_zone_id zone_of(int daemon) const
    {
        return availability_zone_id(daemon < topology_.daemons ? "near"
                                                               : "far");
    }

    bool draw(double probability)
    {
        return std::uniform_real_distribution<>(0.0, 1.0)(random_) <
               probability;
    }

    duration random_duration(int from_us, int to_us)
    {
        return duration(
            std::uniform_int_distribution<>(from_us, to_us)(random_));
    }

    membership_list list() const
    {
        membership_list l;
        for (std::size_t d = 0; d < daemons_.size(); ++d)
        {
            member m;
            m.id = "entry-" + std::to_string(d);
            m.kind = member_kind::entry_vm;
            m.zone = zone_of(static_cast<int>(d));
            m.region = region_id("region");
            l.members.push_back(m);
        }
        for (int i = 0; i < topology_.instances; ++i)
        {
            member m;
            m.id = "instance-" + std::to_string(i);
            m.kind = member_kind::endpoint;
            m.zone = zone_of(0);
            m.region = region_id("region");
            m.service = service_id("orders");
            m.slots = topology_.slots;
            m.connections = 64;
            m.state = i == 0 && listed_leaving_ ? member_state::leaving
                                                : member_state::live;
            l.members.push_back(m);
        }
        return l;
    }

    std::unique_ptr<core> make_daemon(int d, std::uint64_t process)
    {
        request_settings s;
        s.vm = vm_id("entry-" + std::to_string(d));
        s.zone = zone_of(d);
        s.region = region_id("region");
        s.process = incarnation(process);
        s.seed = random_();
        auto daemon = std::make_unique<core>(s);
        daemon->on_configuration(make_test_configuration());
        return daemon;
    }

    // Daemon 0 loses its state, its callers and its connections. Endpoints may
    // continue to process requests that were sent before.
    void restart_daemon()
    {
        daemons_[0] = make_daemon(0, 2);
        daemons_[0]->on_membership(list(), now_);
        std::erase_if(attempts_,
                      [](const auto& a) { return std::get<0>(a.first) == 0; });
        std::erase_if(open_,
                      [](const auto& r) { return r.second.daemon == 0; });
        ++restarts_;
        retries_[0] = 0;
        first_attempts_[0] = 0;
    }

    // Instance 0 leaves. Daemons learn of it from membership lists that lag by
    // up to 1.5 s, or from its responses.
    void leave_instance()
    {
        left_at_ = now_;
        if (faults_.announces_leaving)
        {
            return;
        }
        listed_leaving_ = true;
        for (std::size_t d = 0; d < daemons_.size(); ++d)
        {
            at(now_ + random_duration(0, 1'500'000), [this, d] {
                daemons_[d]->on_membership(list(), now_);
                run_actions(d);
            });
        }
    }

    void send_request(std::size_t d)
    {
        request_head head;
        head.id = request_id(++last_request_);
        head.method = "POST";
        head.path = draw(0.5) ? "/any" : "/once";
        if (head.path == "/once" && draw(0.8))
        {
            const bool duplicate =
                last_key_ > 0 && draw(faults_.duplicate_keys);
            last_key_ += duplicate ? 0 : 1;
            head.key = request_key("key-" + std::to_string(last_key_));
        }
        open_[head.id.value()] = {d, head.path, head.key, 0, 0, false};
        daemons_[d]->on_request(head, now_);
        if (draw(faults_.caller_disconnects))
        {
            at(now_ + random_duration(0, 50'000), [this, d, id = head.id] {
                const auto found = open_.find(id.value());
                if (found != open_.end())
                {
                    found->second.caller_gone = true;
                    daemons_[d]->on_caller_gone(id, now_);
                    run_actions(d);
                }
            });
        }
        run_actions(d);
    }

    void run_actions(std::size_t d)
    {
        auto actions = daemons_[d]->take_actions();
        while (!actions.empty())
        {
            for (auto& action : actions)
            {
                std::visit([&](auto& a) { perform(d, a); }, action);
            }
            actions = daemons_[d]->take_actions();
        }
    }

    void report(std::size_t d, std::uint64_t request, std::uint64_t number,
                const attempt_event& event)
    {
        daemons_[d]->on_attempt_event(request_id(request), attempt(number),
                                      event, now_);
        run_actions(d);
    }

    void perform(std::size_t d, const start_attempt& a)
    {
        const std::size_t instance = std::stoul(a.instance.value().substr(9));
        const attempt_key key{d, a.request.value(), a.number.value()};
        check_attempt(d, a, instance);
        attempts_[key] = {instance, false, a.keep_response};
        if (draw(faults_.connect_hangs))
        {
            return;
        }
        const bool fails = draw(faults_.connect_fails);
        at(now_ + random_duration(500, 2'000), [this, key, fails] {
            if (!attempts_.contains(key))
            {
                return;
            }
            if (fails)
            {
                attempts_.erase(key);
                report(std::get<0>(key), std::get<1>(key), std::get<2>(key),
                       attempt_failed_unsent{"refused"});
                return;
            }
            send_bytes(key);
        });
    }

    void check_attempt(std::size_t d, const start_attempt& a,
                       std::size_t instance)
    {
        std::uint32_t in_flight = 1;
        for (const auto& [key, running] : attempts_)
        {
            in_flight +=
                std::get<0>(key) == d && running.instance == instance ? 1 : 0;
        }
        const auto& directory = daemons_[d]->endpoints();
        const auto index = directory.find(a.instance);
        if (in_flight > directory.at(*index).share.usable(now_))
        {
            add_violation("requests in flight exceed the daemon's share");
        }
        const duration bound = std::chrono::milliseconds(1500);
        if (instance == 0 && left_at_ && now_ - *left_at_ > bound &&
            (!faults_.announces_leaving || announced_to_.contains(d)))
        {
            add_violation("request sent to a leaving instance");
        }
        retries_[d] += a.number.value() > 1 ? 1 : 0;
        first_attempts_[d] += a.number.value() == 1 ? 1 : 0;
        const double seconds =
            std::chrono::duration<double>(now_.time_since_epoch()).count();
        // The budget starts with one retry at the first request, after 5 s.
        if (retries_[d] >
            1.0 + 0.1 * first_attempts_[d] + 3.0 * (seconds - 5.0) + 0.01)
        {
            add_violation("retries exceed the budget");
        }
    }

    void send_bytes(const attempt_key& key)
    {
        const auto [d, request, number] = key;
        report(d, request, number, attempt_sending{});
        const auto running = attempts_.find(key);
        if (running == attempts_.end())
        {
            return;
        }
        running->second.sent = true;
        open_request& r = open_.at(request);
        ++r.sent;
        if (r.path == "/once" && r.sent > 1)
        {
            add_violation("a non-idempotent request was sent twice");
        }
        const bool refuses = draw(faults_.refuses);
        if (r.key && !refuses && ++run_counts_[r.key->value()] > 1)
        {
            add_violation("a key ran twice");
        }
        const duration work = random_duration(2'000, 30'000);
        if (draw(faults_.no_response))
        {
            return;
        }
        if (draw(faults_.connection_breaks) && !refuses)
        {
            at(now_ + work, [this, key] { end(key, attempt_broken{"reset"}); });
            return;
        }
        at(now_ + work, [this, key, refuses] { respond(key, refuses); });
    }

    void respond(const attempt_key& key, bool refuses)
    {
        const auto found = attempts_.find(key);
        if (found == attempts_.end())
        {
            return;
        }
        const auto [d, request, number] = key;
        attempt_head head{draw(faults_.error_status) ? 500U : 200U, false,
                          refuses};
        if (refuses)
        {
            head.status = 503;
            ++open_.at(request).refused;
        }
        if (found->second.instance == 0 && left_at_ &&
            faults_.announces_leaving)
        {
            head.leaving = true;
            announced_to_.insert(d);
        }
        const unsigned status = head.status;
        report(d, request, number, head);
        at(now_ + random_duration(0, 2'000), [this, key, status] {
            const auto running = attempts_.find(key);
            if (running == attempts_.end())
            {
                return;
            }
            attempt_done done;
            if (running->second.keep)
            {
                done.response = stored_response{
                    status, {}, std::to_string(std::get<1>(key))};
                stored_bodies_[open_.at(std::get<1>(key)).key->value()] =
                    done.response->body;
            }
            end(key, done);
        });
    }

    void end(const attempt_key& key, const attempt_event& event)
    {
        if (attempts_.erase(key) > 0)
        {
            report(std::get<0>(key), std::get<1>(key), std::get<2>(key), event);
        }
    }

    void perform(std::size_t d, const abandon_attempt& a)
    {
        attempts_.erase({d, a.request.value(), a.number.value()});
    }

    void perform(std::size_t, const forward_response&) {}
    void perform(std::size_t, const abort_response&) {}
    void perform(std::size_t, const respond_unknown&) {}
    void perform(std::size_t, const record_event&) {}

    void perform(std::size_t, const respond_not_run& a)
    {
        const open_request& r = open_.at(a.request.value());
        if (r.sent > r.refused)
        {
            add_violation("reported as not run after bytes were sent");
        }
    }

    void perform(std::size_t, const respond_stored& a)
    {
        ++outcomes_["stored"];
        const auto& key = open_.at(a.request.value()).key;
        if (stored_bodies_[key->value()] != a.response.body)
        {
            add_violation("stored response differs from the first response");
        }
    }

    void perform(std::size_t d, const probe_instance& a)
    {
        at(now_ + random_duration(500, 2'000),
           [this, d, instance = a.instance] {
               daemons_[d]->on_probe_result(instance, true, now_);
               run_actions(d);
           });
    }

    void perform(std::size_t, const finish_request& a)
    {
        if (open_.erase(a.request.value()) == 0)
        {
            add_violation("request finished twice");
        }
        const char* names[] = {"done", "not run", "unknown", "caller gone"};
        ++outcomes_[names[static_cast<std::size_t>(a.outcome)]];
    }

    void perform(std::size_t d, const send_commit& a)
    {
        const commit_id id = a.commit.id;
        if (draw(faults_.commit_lost))
        {
            // The commit may still take effect after the daemon has stopped
            // waiting.
            at(now_ + random_duration(1'000, 400'000),
               [this, commit = a.commit, late = draw(0.5)] {
                   if (late)
                   {
                       table_.apply(commit);
                   }
               });
            at(now_ + random_duration(5'000, 100'000), [this, d, id] {
                report_commit(d, id, commit_unknown{"timeout"});
            });
            return;
        }
        const bool lost = draw(faults_.response_lost);
        at(now_ + random_duration(1'000, 20'000),
           [this, d, lost, commit = a.commit] {
               commit_outcome outcome = table_.apply(commit);
               if (lost)
               {
                   outcome = commit_unknown{"lost"};
               }
               at(now_ + random_duration(1'000, 5'000),
                  [this, d, id = commit.id, outcome] {
                      report_commit(d, id, outcome);
                  });
           });
    }

    void report_commit(std::size_t d, const commit_id& id,
                       const commit_outcome& outcome)
    {
        daemons_[d]->on_commit_outcome(id, outcome, now_);
        run_actions(d);
    }

    void perform(std::size_t d, const read_row& a)
    {
        at(now_ + random_duration(1'000, 10'000),
           [this, d, a, process = restarts_] {
               if (d == 0 && process != restarts_)
               {
                   return;
               }
               row_reply reply = table_.read(a.key);
               if (draw(faults_.response_lost))
               {
                   reply = error{error_code::timeout, "timeout"};
               }
               daemons_[d]->on_row(a.number, reply, now_);
               run_actions(d);
           });
    }

    void perform(std::size_t d, const send_to_peer& a)
    {
        if (draw(faults_.message_lost))
        {
            return;
        }
        const std::size_t to = std::stoul(a.to->value().substr(6));
        at(now_ + random_duration(500, 300'000), [this, d, to, body = a.body] {
            daemons_[to]->on_peer(vm_id("entry-" + std::to_string(d)), body,
                                  now_);
            run_actions(to);
        });
    }

    // The membership list does not change here, so the sum must never exceed
    // the slots.
    void check_shares()
    {
        for (int i = 0; i < topology_.instances; ++i)
        {
            const instance_id id("instance-" + std::to_string(i));
            std::uint32_t sum = 0;
            for (const auto& d : daemons_)
            {
                const auto index = d->endpoints().find(id);
                sum += d->endpoints().at(*index).share.usable(now_);
            }
            if (sum > topology_.slots)
            {
                add_violation("the daemons' shares exceed the slots");
            }
        }
    }

    void add_violation(const std::string& what) { violations_.push_back(what); }

    std::mt19937_64 random_;
    simulation_topology topology_;
    simulation_faults faults_;
    time_point now_{};
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<core>> daemons_;
    fake_table table_;
    std::map<attempt_key, running_attempt> attempts_;
    std::map<std::uint64_t, open_request> open_;
    std::map<std::string, int> run_counts_;
    std::map<std::string, std::string> stored_bodies_;
    std::map<std::size_t, double> retries_;
    std::map<std::size_t, double> first_attempts_;
    std::optional<time_point> left_at_;
    bool listed_leaving_ = false;
    int restarts_ = 0;
    std::set<std::size_t> announced_to_;
    std::uint64_t last_request_ = 0;
    int last_key_ = 0;
    std::map<std::string, int> outcomes_;
    std::vector<std::string> violations_;
};

} // namespace hemlockdeal
