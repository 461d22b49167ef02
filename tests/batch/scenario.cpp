// Scenarios of the fault tests.
#include "batch/scenario.hpp"

#include <algorithm>

namespace hemlockdeal::test
{

using namespace std::chrono_literals;

void showValue(const fault& f, std::ostream& os) // NOLINT
{
    os << "{kind " << static_cast<int>(f.kind) << ", at " << f.at_ms
       << " ms, for " << f.for_ms << " ms, target " << f.target << "}";
}

void apply_fault(cluster& c, const fault& f, bool begins)
{
    const std::size_t daemon = f.target % c.daemon_count();
    const std::size_t worker = f.target % c.worker_count();
    const duration length = std::chrono::milliseconds(f.for_ms);
    switch (f.kind)
    {
    case fault_kind::table_down:
        c.faults.table_down = begins;
        break;
    case fault_kind::table_slow:
        c.faults.table_delay = begins ? duration(100ms + length / 20) : 0ms;
        break;
    case fault_kind::lost_answers:
        c.faults.lose_answer = begins ? 0.3 : 0.0;
        break;
    case fault_kind::duplicates:
        c.faults.duplicate = begins ? 0.3 : 0.0;
        break;
    case fault_kind::pause:
        if (begins)
        {
            c.pause(daemon, length);
        }
        break;
    case fault_kind::cut_from_table:
        c.cut_from_table(daemon, begins);
        break;
    case fault_kind::cut_from_workers:
        c.cut_from_workers(daemon, begins);
        break;
    case fault_kind::replace:
        if (begins)
        {
            c.replace(daemon, length / 4);
        }
        break;
    case fault_kind::kill_worker:
        if (begins)
        {
            c.kill_worker(worker);
        }
        break;
    case fault_kind::lost_worker_messages:
        c.faults.lose_worker_message = begins ? 0.3 : 0.0;
        break;
    case fault_kind::slow_workers:
        c.faults.worker_delay = begins ? duration(length / 10) : 0ms;
        break;
    case fault_kind::failing_worker:
        // One at most, so that every job has workers on which it succeeds.
        c.worker(0).advance(c.now());
        c.worker(0).fails_everything = begins;
        break;
    case fault_kind::zone_out:
        c.set_zone_out(f.target % 2, begins);
        break;
    case fault_kind::cancel:
        if (begins)
        {
            c.cancel(daemon, "job-" + std::to_string(f.target % 4));
        }
        break;
    case fault_kind::submit:
        if (begins)
        {
            c.submit(daemon, "more-" + std::to_string(f.target % 8),
                     1 + f.target % 5, 2s, 900, "urgent");
        }
        break;
    case fault_kind::last:
        break;
    }
}

void run_scenario(cluster& c, const std::vector<fault>& faults)
{
    struct step
    {
        int at_ms = 0;
        bool begins = true;
        fault what;
    };
    std::vector<step> steps;
    for (const fault& f : faults)
    {
        steps.push_back({f.at_ms, true, f});
        steps.push_back({f.at_ms + f.for_ms, false, f});
    }
    std::ranges::stable_sort(steps, {}, &step::at_ms);
    c.run_for(3s);
    c.submit(0, "job-0", 12, 5s, 1000);
    c.submit(1, "job-1", 3, 12s, 2500);
    c.submit(2, "job-2", 1, 20s, 500);
    c.submit(3, "job-3", 20, 1s, 700);
    const time_point begin = c.now();
    for (const step& s : steps)
    {
        const time_point due = begin + std::chrono::milliseconds(s.at_ms);
        if (due > c.now())
        {
            c.run_for(due - c.now());
        }
        apply_fault(c, s.what, s.begins);
    }
    c.faults = {};
    // Longer than any answer to a submission takes.
    c.run_for(15s);
    if (!c.run_until([&] { return c.all_over(); }, 300s))
    {
        c.violations.emplace_back("not everything was over after 300 s");
    }
    c.cancel_again();
    c.run_for(4s);
    c.check_results();
}

} // namespace hemlockdeal::test
