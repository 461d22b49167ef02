// Queueing model of instances for the benchmarks of the request core. Each
// instance processes `workers` requests at a time and queues the rest. The
// network is modelled as a constant latency.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "request/request.hpp"

namespace hemlockdeal
{

struct model_parameters
{
    std::size_t daemons = 3;
    std::size_t instances = 50;
    std::uint32_t slots = 8;
    std::uint32_t workers = 8;
    double mean_ms = 20.0;
    // Offered load as a fraction of the capacity.
    double load = 0.5;
    // Fraction of requests in the batch class.
    double batch_share = 0.0;
    std::size_t slow_instances = 0;
    std::size_t failing_instances = 0;
    double seconds = 30.0;
    // Start of the faults and of the measurement; slot loans are stable by
    // then.
    double measure_from_second = 10.0;
};

// Results of the requests that arrived after the start of the measurement and
// have ended.
struct class_result
{
    std::uint64_t requests = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t within_target = 0;
    std::vector<duration> times;

    double percentile_ms(double p)
    {
        if (times.empty())
        {
            return 0.0;
        }
        const auto at =
            times.begin() + static_cast<std::ptrdiff_t>(
                                p * static_cast<double>(times.size() - 1));
        std::ranges::nth_element(times, at);
        return static_cast<double>(at->count()) / 1000.0;
    }
};

template <typename Policy>
class queue_model
{
public:
    static constexpr duration latency = std::chrono::microseconds(500);
    static constexpr std::array<duration, 2> targets = {
        std::chrono::milliseconds(200), std::chrono::seconds(5)};

    queue_model(const model_parameters& parameters, std::uint64_t seed)
        : parameters_(parameters), random_(seed),
          instances_(parameters.instances)
    {
        for (std::size_t d = 0; d < parameters.daemons; ++d)
        {
            request_settings s;
            s.vm = vm_id("entry-" + std::to_string(d));
            s.zone = availability_zone_id("zone");
            s.region = region_id("region");
            s.process = incarnation(1);
            s.seed = random_();
            daemons_.push_back(std::make_unique<request_core<Policy>>(s));
            daemons_.back()->on_configuration(make_configuration());
            daemons_.back()->on_membership(list(), now_);
            run_actions(d);
            schedule_arrival(d);
            schedule_tick(d);
        }
    }

    // Results of the interactive class and of the batch class.
    std::array<class_result, 2>& run()
    {
        const time_point end = at_second(parameters_.seconds);
        while (!events_.empty() && events_.top().at < end)
        {
            const auto e = events_.top();
            events_.pop();
            now_ = e.at;
            (this->*e.handler)(e.a, e.b);
        }
        return results_;
    }

private:
    using event_handler = void (queue_model::*)(std::size_t, std::uint64_t);
    struct event
    {
        time_point at;
        std::uint64_t order;
        event_handler handler;
        std::size_t a;
        std::uint64_t b;
        bool operator>(const event& o) const
        {
            return std::pair(at, order) > std::pair(o.at, o.order);
        }
    };
    struct instance
    {
        std::uint32_t busy = 0;
        std::deque<std::uint64_t> waiting; // attempts
    };
    struct running_attempt
    {
        std::size_t daemon;
        request_id request;
        attempt number;
        std::size_t instance;
        bool fails;
        bool abandoned = false;
    };
    struct open_request
    {
        time_point arrived;
        std::size_t work_class;
        unsigned status = 0;
    };

    static time_point at_second(double s)
    {
        return time_point(duration(static_cast<long>(s * 1e6)));
    }

    static configuration make_configuration()
    {
        configuration c;
        c.version = configuration_version(1);
        service s;
        s.id = service_id("orders");
        s.routes = {{"/0", class_id("interactive")}, {"/1", class_id("later")}};
        for (std::size_t i = 0; i < 2; ++i)
        {
            work_class w;
            w.id = s.routes[i].work_class;
            w.kind = i == 0 ? class_kind::latency_critical : class_kind::batch;
            w.target = targets[i];
            w.idempotent = true;
            c.content.classes.push_back(w);
        }
        c.content.services = {s};
        return c;
    }

    membership_list list() const
    {
        membership_list l;
        for (std::size_t i = 0; i < parameters_.daemons + parameters_.instances;
             ++i)
        {
            const bool is_entry = i < parameters_.daemons;
            member m;
            m.kind = is_entry ? member_kind::entry_vm : member_kind::endpoint;
            m.id = is_entry
                       ? "entry-" + std::to_string(i)
                       : "instance-" + std::to_string(i - parameters_.daemons);
            m.zone = availability_zone_id("zone");
            m.region = region_id("region");
            m.service = service_id(is_entry ? "" : "orders");
            m.slots = parameters_.slots;
            m.connections = 64;
            l.members.push_back(m);
        }
        return l;
    }

    void at(time_point when, event_handler h, std::size_t a, std::uint64_t b)
    {
        events_.push({when, ++order_, h, a, b});
    }

    bool is_measuring() const
    {
        return now_ >= at_second(parameters_.measure_from_second);
    }

    void schedule_arrival(std::size_t d)
    {
        const double capacity_per_second =
            static_cast<double>(parameters_.instances * parameters_.workers) /
            (parameters_.mean_ms / 1000.0);
        const double rate = capacity_per_second * parameters_.load /
                            static_cast<double>(parameters_.daemons);
        const double wait = std::exponential_distribution<>(rate)(random_);
        at(now_ + duration(static_cast<long>(wait * 1e6)), &queue_model::arrive,
           d, 0);
    }

    void schedule_tick(std::size_t d)
    {
        const auto next = daemons_[d]->next_wakeup();
        at(std::max(now_ + duration(1000), next.value_or(now_)),
           &queue_model::tick, d, 0);
    }

    void tick(std::size_t d, std::uint64_t)
    {
        daemons_[d]->on_tick(now_);
        run_actions(d);
        schedule_tick(d);
    }

    void arrive(std::size_t d, std::uint64_t)
    {
        schedule_arrival(d);
        request_head head;
        head.id = request_id(++last_request_);
        const bool is_batch = std::uniform_real_distribution<>()(random_) <
                              parameters_.batch_share;
        head.method = "GET";
        head.path = is_batch ? "/1" : "/0";
        open_[last_request_] = {now_, is_batch ? 1U : 0U, 0};
        daemons_[d]->on_request(head, now_);
        run_actions(d);
    }

    void run_actions(std::size_t d)
    {
        for (auto& action : daemons_[d]->take_actions())
        {
            std::visit([&](const auto& a) { perform(d, a); }, action);
        }
    }

    template <typename Ignored>
    void perform(std::size_t, const Ignored&)
    {}

    void perform(std::size_t d, const start_attempt& a)
    {
        const std::size_t i = std::stoul(a.instance.value().substr(9));
        const std::uint64_t id = ++last_attempt_;
        attempts_[id] = {d, a.request, a.number, i,
                         is_measuring() &&
                             i >= parameters_.instances -
                                      parameters_.failing_instances};
        by_request_[a.request.value()] = id;
        at(now_ + latency, &queue_model::reach_instance, i, id);
        // Deferred, since the core is still processing the previous event.
        at(now_, &queue_model::send, d, id);
    }

    void send(std::size_t d, std::uint64_t id)
    {
        report(d, id, attempt_sending{});
    }

    void report(std::size_t d, std::uint64_t id, const attempt_event& e)
    {
        const auto found = attempts_.find(id);
        if (found != attempts_.end() && !found->second.abandoned)
        {
            daemons_[d]->on_attempt_event(found->second.request,
                                          found->second.number, e, now_);
            run_actions(d);
        }
    }

    void perform(std::size_t, const abandon_attempt& a)
    {
        attempts_[by_request_[a.request.value()]].abandoned = true;
    }

    void perform(std::size_t d, const probe_instance& a)
    {
        const std::size_t i = std::stoul(a.instance.value().substr(9));
        at(now_ + 2 * latency, &queue_model::report_probe_result, d, i);
    }

    void report_probe_result(std::size_t d, std::uint64_t i)
    {
        daemons_[d]->on_probe_result(
            instance_id("instance-" + std::to_string(i)),
            i < parameters_.instances - parameters_.failing_instances, now_);
        run_actions(d);
    }

    void perform(std::size_t d, const send_to_peer& a)
    {
        messages_.push_back({d, a.body});
        at(now_ + latency, &queue_model::deliver,
           std::stoul(a.to->value().substr(6)), messages_.size() - 1);
    }

    void deliver(std::size_t d, std::uint64_t index)
    {
        const auto [from, body] = messages_[index];
        daemons_[d]->on_peer(vm_id("entry-" + std::to_string(from)), body,
                             now_);
        run_actions(d);
    }

    void perform(std::size_t, const finish_request& a)
    {
        const auto found = open_.find(a.request.value());
        const open_request r = found->second;
        open_.erase(found);
        if (r.arrived < at_second(parameters_.measure_from_second))
        {
            return;
        }
        class_result& result = results_[r.work_class];
        ++result.requests;
        const duration elapsed = now_ - r.arrived;
        if (a.outcome != request_outcome::done || a.status >= 500)
        {
            ++result.failed;
            return;
        }
        ++result.done;
        result.within_target += elapsed <= targets[r.work_class] ? 1 : 0;
        result.times.push_back(elapsed);
    }

    void reach_instance(std::size_t i, std::uint64_t id)
    {
        const running_attempt& r = attempts_[id];
        if (r.fails)
        {
            at(now_ + latency, &queue_model::respond, r.daemon, id);
            return;
        }
        instances_[i].waiting.push_back(id);
        start_queued(i);
    }

    // Drops queued attempts that were abandoned, since their connections are
    // closed.
    void start_queued(std::size_t i)
    {
        instance& e = instances_[i];
        while (e.busy < parameters_.workers && !e.waiting.empty())
        {
            const std::uint64_t id = e.waiting.front();
            e.waiting.pop_front();
            if (attempts_[id].abandoned)
            {
                attempts_.erase(id);
                continue;
            }
            ++e.busy;
            // Log-normal distribution with a standard deviation of 0.5 of the
            // logarithm.
            const double mu = std::log(parameters_.mean_ms) - 0.125;
            double ms = std::lognormal_distribution<>(mu, 0.5)(random_);
            ms *= is_measuring() && i < parameters_.slow_instances ? 10.0 : 1.0;
            at(now_ + duration(static_cast<long>(ms * 1000.0)),
               &queue_model::finish_work, i, id);
        }
    }

    void finish_work(std::size_t i, std::uint64_t id)
    {
        --instances_[i].busy;
        at(now_ + latency, &queue_model::respond, attempts_[id].daemon, id);
        start_queued(i);
    }

    void respond(std::size_t d, std::uint64_t id)
    {
        report(d, id, attempt_head{attempts_[id].fails ? 500U : 200U});
        report(d, id, attempt_done{});
        attempts_.erase(id);
    }

    model_parameters parameters_;
    std::mt19937_64 random_;
    time_point now_{};
    std::uint64_t order_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<std::unique_ptr<request_core<Policy>>> daemons_;
    std::vector<instance> instances_;
    std::unordered_map<std::uint64_t, running_attempt> attempts_;
    std::unordered_map<std::uint64_t, std::uint64_t> by_request_;
    std::unordered_map<std::uint64_t, open_request> open_;
    std::vector<std::pair<std::size_t, peer_body>> messages_;
    std::uint64_t last_request_ = 0;
    std::uint64_t last_attempt_ = 0;
    std::array<class_result, 2> results_;
};

} // namespace hemlockdeal
