// Cache of the advice service's decisions on which workers may run the steps of
// queues whose policy only the service knows.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "jobs/job.hpp"
#include "jobs/worker_report.hpp"

namespace hemlockdeal::jobs
{

// A step of one occurrence.
struct step_key
{
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_key&, const step_key&) = default;
};

std::string to_text(const step_key& key);

// Request to the advice service: which of these workers may run a step.
struct advice_request
{
    step_key step;
    std::vector<worker_id> workers;
};

struct advice_answer
{
    // Workers that may run the step, each with the ticket for starts there.
    std::vector<std::pair<worker_id, std::string>> good;
    duration valid_for{};
};

// Invariant: at most one request per step is in progress.
class advice_cache
{
public:
    // The ticket for starts of the step on this worker, if it is still valid
    // for long enough.
    std::optional<std::string>
    ticket(const step_key& step, const worker_id& worker, time_point now) const;

    // The next request for the step if one is due. It contains workers without
    // a decision and workers whose tickets have expired.
    std::optional<advice_request>
    next_request(const step_key& step, const std::vector<worker_id>& workers,
                 time_point now);
    void on_answer(const advice_request& asked, const advice_answer& answer,
                   time_point now);
    void on_failure(const advice_request& asked, time_point now);
    // Called when the worker has restarted or refused a ticket.
    void forget_worker(const worker_id& worker);
    void forget_job(const job_id& job);

private:
    struct decision
    {
        // Empty if the worker may not run the step, which does not change
        // later.
        std::string ticket;
        time_point expires{};
    };

    struct step_advice
    {
        std::map<worker_id, decision> decisions;
        bool is_request_pending = false;
        time_point next_request_at{};
    };

    std::map<step_key, step_advice> steps_;
};

} // namespace hemlockdeal::jobs
