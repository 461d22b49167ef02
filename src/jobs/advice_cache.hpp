// Which workers may run the steps of queues whose policy only the platform's
// advice service knows.
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

// Asks which of these workers may run a step.
struct advice_request
{
    step_key step;
    std::vector<worker_id> workers;
};

struct advice_answer
{
    // Workers that may run the step, each with the ticket for its starts.
    std::vector<std::pair<worker_id, std::string>> good;
    duration valid_for{};
};

// Invariant: at most one question about a step is open.
class advice_cache
{
public:
    // The ticket for starts of the step on this worker.
    std::optional<std::string>
    ticket(const step_key& step, const worker_id& worker, time_point now) const;

    // The next question about the step, if it is time for one: workers that
    // were not asked about yet, or whose tickets have expired.
    std::optional<advice_request> ask(const step_key& step,
                                      const std::vector<worker_id>& workers,
                                      time_point now);
    void on_answer(const advice_request& asked, const advice_answer& answer,
                   time_point now);
    void on_failure(const advice_request& asked, time_point now);
    // The worker has started again, or refused a ticket.
    void forget_worker(const worker_id& worker);
    void forget_job(const job_id& job);

private:
    struct verdict
    {
        // Empty for a worker that may not run the step; that does not change.
        std::string ticket;
        time_point expires{};
    };

    struct step_advice
    {
        std::map<worker_id, verdict> verdicts;
        bool is_asking = false;
        time_point next_question{};
    };

    std::map<step_key, step_advice> steps_;
};

} // namespace hemlockdeal::jobs
