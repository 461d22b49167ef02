// A request core for tests of the proxy alone: one instance, one attempt per
// request, no queue and no claims.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "request/request.hpp"

namespace hemlockdeal
{

class plain_core
{
public:
    explicit plain_core(const request_settings&) {}

    void on_configuration(const configuration&) {}
    void on_membership(const membership_list& list, time_point)
    {
        list_ = list;
    }
    void on_commit_outcome(const commit_id&, const commit_outcome&, time_point)
    {}
    void on_row(std::uint64_t, const row_reply&, time_point) {}
    void on_peer(const vm_id&, const peer_body&, time_point) {}
    void on_link_use(std::uint64_t, time_point) {}
    void on_probe_result(const instance_id&, bool, time_point) {}

    void on_request(const request_head& head, time_point now)
    {
        started_[head.id] = now;
        const member& m = list_.members.at(next_++ % list_.members.size());
        actions_.push_back(start_attempt{head.id, attempt(1), instance_id(m.id),
                                         m.address, now, false});
    }

    void on_caller_gone(request_id id, time_point now)
    {
        actions_.push_back(abandon_attempt{id, attempt(1)});
        finish(id, request_outcome::caller_gone, now);
    }

    void on_attempt_event(request_id id, attempt number,
                          const attempt_event& event, time_point now)
    {
        if (!started_.contains(id))
        {
            return;
        }
        if (std::holds_alternative<attempt_head>(event))
        {
            actions_.push_back(forward_answer{id, number});
            forwarded_[id] = true;
        }
        else if (std::holds_alternative<attempt_done>(event))
        {
            finish(id, request_outcome::done, now);
        }
        else if (const auto* unsent =
                     std::get_if<attempt_failed_unsent>(&event))
        {
            actions_.push_back(answer_not_run{id, 503, unsent->reason});
            finish(id, request_outcome::not_run, now);
        }
        else if (const auto* broken = std::get_if<attempt_broken>(&event))
        {
            give_up(id, broken->reason, now);
        }
    }

    void start_drain(time_point) { draining_ = true; }
    bool is_drained() const { return draining_ && started_.empty(); }
    void on_tick(time_point) {}
    std::optional<time_point> next_wakeup() const { return std::nullopt; }
    std::vector<request_action> take_actions()
    {
        return std::exchange(actions_, {});
    }
    std::uint32_t connection_share(const instance_id&, time_point) const
    {
        return 64;
    }

private:
    void give_up(request_id id, const std::string& reason, time_point now)
    {
        if (forwarded_.contains(id))
        {
            actions_.push_back(abort_answer{id, reason});
        }
        else
        {
            actions_.push_back(answer_unknown{id, 504, reason});
        }
        finish(id, request_outcome::unknown, now);
    }

    void finish(request_id id, request_outcome outcome, time_point now)
    {
        actions_.push_back(
            finish_request{id, {}, outcome, 0, now - started_[id], 1});
        started_.erase(id);
        forwarded_.erase(id);
    }

    membership_list list_;
    std::size_t next_ = 0;
    std::map<request_id, time_point> started_;
    std::map<request_id, bool> forwarded_;
    std::vector<request_action> actions_;
    bool draining_ = false;
};

} // namespace hemlockdeal
