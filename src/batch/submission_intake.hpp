// Answers submitters and operators: submissions, queries and cancellations of
// jobs.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "batch/batch_context.hpp"
#include "batch/job_reader.hpp"

namespace hemlockdeal
{

class submission_intake
{
public:
    // Says why a job waits in a shard of this daemon; may be empty.
    using reason_source = std::function<std::string(const job_id&)>;

    explicit submission_intake(batch_context& context);

    void on_request(std::uint64_t number, const operator_request& request,
                    time_point now);
    void on_tick(time_point now);
    void set_reason_source(reason_source source)
    {
        reasons_ = std::move(source);
    }

private:
    struct cancellation
    {
        job_id job;
        time_point next_look;
        time_point until;
        duration wait{};
        bool looking = false;
    };

    void submit(std::uint64_t number, const job_submission& job,
                time_point now);
    void on_submitted(std::uint64_t number, const job_submission& job,
                      const std::vector<job_row_part>& parts,
                      const commit_result& outcome);
    void query(std::uint64_t number, const job_id& job);
    void cancel(std::uint64_t number, const job_id& job);
    void send_cancellation(std::uint64_t number, const job_id& job,
                           const job_state& state, time_point now);
    void look(std::uint64_t number);
    // Passes the job's state to `use`, or refuses the request with a message
    // that begins with `consequence`.
    void read_state(std::uint64_t number, const job_id& job,
                    const std::string& consequence,
                    std::function<void(const job_state&, time_point)> use);
    void record(std::string kind, const job_id& job, std::string text);
    void answer(std::uint64_t number, operator_reply reply);
    void refuse(std::uint64_t number, error_code code, std::string message);
    void notify(const std::vector<job_row_part>& parts);

    batch_context& context_;
    job_reader reader_;
    reason_source reasons_;
    std::size_t open_ = 0;
    std::map<std::uint64_t, cancellation> cancellations_;
};

} // namespace hemlockdeal
