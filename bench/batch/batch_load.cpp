// Processor time, memory and table writes of one batch core at several sizes,
// up to a daemon that owns every worker of the design size. Only time inside
// the core is counted; table and workers answer at once.
#include <malloc.h>

#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "batch/batch.hpp"

using namespace hemlockdeal;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t shards = 64;
constexpr std::uint32_t full_workers = 1900;
constexpr std::uint32_t full_tasks = 35'900;
constexpr double full_starts_per_second = 120.0;
constexpr int teams = 240;

struct figures
{
    std::uint32_t workers = 0;
    std::uint32_t tasks = 0;
    double start_us = 0.0;
    double report_us = 0.0;
    double core_share = 0.0;
    double bytes_per_task = 0.0;
    double bytes_per_worker = 0.0;
    double starts_per_second = 0.0;
    double rows_per_start = 0.0;
    double commits_per_start = 0.0;
};

std::size_t heap_bytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

class load
{
public:
    explicit load(std::uint32_t workers)
        : workers_(workers),
          tasks_(static_cast<std::uint32_t>(
              static_cast<std::uint64_t>(full_tasks) * workers / full_workers)),
          core_(options(), configuration_)
    {
        configuration c;
        c.version = configuration_version(1);
        c.content.classes = {{class_id("batch"), class_kind::batch, 600s}};
        for (int i = 0; i < teams; ++i)
        {
            c.content.teams.push_back({team(i), 100.0 / teams});
        }
        configuration_.adopt(c);
    }

    figures run()
    {
        figures f;
        f.workers = workers_;
        f.tasks = tasks_;
        run_for(10s);
        const std::size_t empty = heap_bytes();
        join_workers();
        run_for(10s);
        const std::size_t joined = heap_bytes() - platform_bytes();
        f.bytes_per_worker = static_cast<double>(joined - empty) / workers_;
        const std::size_t before = heap_bytes() - platform_bytes();
        fill();
        f.bytes_per_task =
            static_cast<double>(heap_bytes() - platform_bytes() - before) /
            tasks_;
        measure(f);
        return f;
    }

private:
    struct running
    {
        time_point ends;
        shard_id shard;
    };
    struct stand_in
    {
        std::map<task_attempt, running> tasks;
    };

    static batch_options options()
    {
        batch_options o;
        o.vm = vm_id("entry-1");
        o.zone = availability_zone_id("zone");
        o.region = region_id("region");
        o.shards_per_zone = shards;
        return o;
    }

    static team_id team(int i) { return team_id("team-" + std::to_string(i)); }

    template <typename Call>
    void timed(std::chrono::nanoseconds& total, Call call)
    {
        const auto begin = std::chrono::steady_clock::now();
        call();
        total += std::chrono::steady_clock::now() - begin;
    }

    // Tables and workers of the bench itself are kept out of the figures.
    std::size_t platform_bytes() const { return platform_bytes_; }

    template <typename Call>
    void on_platform(Call call)
    {
        const std::size_t before = heap_bytes();
        call();
        platform_bytes_ += heap_bytes() - before;
    }

    void join_workers()
    {
        membership_list list;
        on_platform([&] {
            list.version = 1;
            for (std::uint32_t i = 0; i < workers_; ++i)
            {
                member m;
                m.id = "worker-" + std::to_string(i);
                m.zone = availability_zone_id("zone");
                m.region = region_id("region");
                m.rack = rack_id("rack-" + std::to_string(i / 8));
                m.address = "10.0.0." + std::to_string(i);
                m.size = {{21'000}, {100'000}, {1}};
                list.members.push_back(m);
                stand_ins_[worker_id(m.id)];
            }
        });
        timed(other_, [&] { core_.on_membership(list, now_); });
    }

    void submit(std::uint32_t tasks)
    {
        job_submission job;
        job.id = job_id("job-" + std::to_string(++jobs_));
        job.team = team(static_cast<int>(random_() % teams));
        job.work_class = class_id("batch");
        job.tasks = tasks;
        job.task_size = {{1000}, {2000}, {0}};
        job.payload = "run";
        timed(other_, [&] { core_.on_operator(jobs_, job, now_); });
    }

    void fill()
    {
        std::uint32_t submitted = 0;
        while (submitted < tasks_)
        {
            submit(100);
            submitted += 100;
            run_for(20ms);
        }
        run_for(20s);
    }

    void measure(figures& f)
    {
        const double rate = full_starts_per_second * workers_ / full_workers;
        starts_ = reports_ = rows_ = commits_ = 0;
        report_ = other_ = {};
        constexpr int seconds = 30;
        double owed = 0.0;
        for (int tick = 0; tick < seconds * 10; ++tick)
        {
            owed += rate / 10;
            while (owed >= 8.0)
            {
                submit(8);
                owed -= 8.0;
            }
            run_for(100ms);
        }
        const auto us = [](std::chrono::nanoseconds n) {
            return std::chrono::duration<double, std::micro>(n).count();
        };
        f.report_us = us(report_) / static_cast<double>(reports_);
        f.start_us = us(other_) / static_cast<double>(starts_);
        f.core_share = us(report_ + other_) / (seconds * 1e6);
        f.starts_per_second = static_cast<double>(starts_) / seconds;
        f.rows_per_start =
            static_cast<double>(rows_) / static_cast<double>(starts_);
        f.commits_per_start =
            static_cast<double>(commits_) / static_cast<double>(starts_);
    }

    void run_for(duration d)
    {
        const time_point end = now_ + d;
        while (now_ < end)
        {
            now_ += 5ms;
            if (now_ - lease_at_ >= 1s)
            {
                lease_at_ = now_;
                configuration_.confirm_from_table(configuration_version(1),
                                                  now_);
                timed(other_,
                      [&] { core_.on_lease(now_ + 5s, incarnation(1), now_); });
            }
            if (now_ >= wakeup_)
            {
                timed(other_, [&] { core_.on_tick(now_); });
            }
            answer_all();
            wakeup_ = core_.next_wakeup(now_);
        }
    }

    void answer_all()
    {
        std::vector<batch_action> actions = core_.take_actions();
        while (!actions.empty())
        {
            for (const batch_action& action : actions)
            {
                std::visit([this](const auto& a) { answer(a); }, action);
            }
            actions = core_.take_actions();
        }
    }

    void answer(const send_commit& a)
    {
        commit_done done;
        ++commits_;
        on_platform([&] {
            for (const table_write& w : a.commit.writes)
            {
                ++rows_;
                if (w.value)
                {
                    version_ = version_.next();
                    table_[w.key] = {w.key, version_, *w.value};
                    done.versions.push_back(version_);
                }
                else
                {
                    table_.erase(w.key);
                    done.versions.emplace_back();
                }
            }
        });
        timed(other_,
              [&] { core_.on_commit_outcome(a.commit.id, done, now_); });
    }

    void answer(const read_row& a)
    {
        std::optional<table_row> row;
        const auto found = table_.find(a.key);
        if (found != table_.end())
        {
            row = found->second;
        }
        timed(other_, [&] { core_.on_row(a.number, row, now_); });
    }

    void answer(const read_rows& a)
    {
        table_page page;
        for (auto i = table_.upper_bound(std::max(a.prefix, a.after));
             i != table_.end() && i->first.starts_with(a.prefix); ++i)
        {
            if (page.rows.size() == a.limit)
            {
                page.more = true;
                break;
            }
            page.rows.push_back(i->second);
        }
        timed(other_, [&] { core_.on_rows(a.number, page, now_); });
    }

    void answer(const ask_for_report& a)
    {
        worker_report report;
        on_platform([&] {
            stand_in& worker = stand_ins_[a.worker];
            for (const task_attempt& id : a.request.acknowledged)
            {
                worker.tasks.erase(id);
            }
            report.start_token = "token";
            for (const auto& [id, run] : worker.tasks)
            {
                task_status status;
                status.id = id;
                status.shard = run.shard;
                status.state = run.ends <= now_ ? task_state::finished
                                                : task_state::running;
                status.used = {{900}, {1500}, {0}};
                report.tasks.push_back(status);
                if (status.state == task_state::running)
                {
                    report.used += status.used;
                }
            }
        });
        ++reports_;
        timed(report_, [&] { core_.on_report(a.worker, report, now_, now_); });
    }

    void answer(const send_commands& a)
    {
        std::vector<worker_command_result> results;
        on_platform([&] {
            for (const worker_command& c : a.batch.commands)
            {
                if (c.verb == worker_verb::start)
                {
                    ++starts_;
                    // As many end a second as start a second.
                    const auto run_ms = static_cast<std::int64_t>(
                        2000.0 * full_tasks / full_starts_per_second *
                        (static_cast<double>(random_() % 1000) / 1000.0));
                    stand_ins_[a.worker].tasks[c.id] = {
                        now_ + std::chrono::milliseconds(run_ms),
                        a.batch.shard};
                }
                results.push_back({c.id, c.verb, command_outcome::done, {}});
            }
        });
        timed(other_, [&] { core_.on_command_reply(a.number, results, now_); });
    }

    void answer(const send_to_peer&) {}
    void answer(const record_event&) {}
    void answer(const operator_answer&) {}

    std::uint32_t workers_;
    std::uint32_t tasks_;
    configuration_state configuration_;
    batch_core<first_fit_policy> core_;
    time_point now_{1000s};
    time_point wakeup_;
    time_point lease_at_;
    row_version version_;
    std::map<std::string, table_row> table_;
    std::map<worker_id, stand_in> stand_ins_;
    std::mt19937 random_{1};
    std::uint64_t jobs_ = 0;
    std::size_t platform_bytes_ = 0;
    std::uint64_t starts_ = 0;
    std::uint64_t reports_ = 0;
    std::uint64_t rows_ = 0;
    std::uint64_t commits_ = 0;
    std::chrono::nanoseconds report_{};
    std::chrono::nanoseconds other_{};
};

// Exponent of the power law through the points.
template <typename Value>
double slope(const std::vector<figures>& all, Value value)
{
    double x = 0.0;
    double y = 0.0;
    double xx = 0.0;
    double xy = 0.0;
    for (const figures& f : all)
    {
        const double lx = std::log(f.workers);
        const double ly = std::log(value(f));
        x += lx;
        y += ly;
        xx += lx * lx;
        xy += lx * ly;
    }
    const auto n = static_cast<double>(all.size());
    return (n * xy - x * y) / (n * xx - x * x);
}

} // namespace

int main()
{
    std::vector<figures> all;
    std::printf("workers  tasks  starts/s  us/start  us/report  core share  "
                "bytes/task  bytes/worker  rows/start  commits/start\n");
    for (const std::uint32_t workers : {240U, 480U, 960U, 1900U})
    {
        const figures f = load(workers).run();
        std::printf("%7u %6u %9.1f %9.1f %10.1f %11.4f %11.0f %13.0f %11.2f "
                    "%14.2f\n",
                    f.workers, f.tasks, f.starts_per_second, f.start_us,
                    f.report_us, f.core_share, f.bytes_per_task,
                    f.bytes_per_worker, f.rows_per_start, f.commits_per_start);
        all.push_back(f);
    }
    std::printf("slopes (exponent over the number of workers): us/start %.2f, "
                "us/report %.2f, core share %.2f, bytes/task %.2f, "
                "rows/start %.2f\n",
                slope(all, [](const figures& f) { return f.start_us; }),
                slope(all, [](const figures& f) { return f.report_us; }),
                slope(all, [](const figures& f) { return f.core_share; }),
                slope(all, [](const figures& f) { return f.bytes_per_task; }),
                slope(all, [](const figures& f) { return f.rows_per_start; }));
    return 0;
}
