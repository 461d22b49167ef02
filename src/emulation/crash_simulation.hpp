// Plays a load with tasks that crash their workers, and other faults, on an
// emulated fleet under leaders that are killed and replaced, in simulated time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "emulation/crash_ledger.hpp"
#include "emulation/crash_options.hpp"
#include "emulation/crash_workload.hpp"
#include "emulation/event_queue.hpp"
#include "emulation/fault_schedule.hpp"
#include "emulation/gang_clock.hpp"
#include "emulation/leased_worker.hpp"
#include "jobs/jobs.hpp"

namespace hemlockdeal::emulation
{

class crash_simulation
{
public:
    explicit crash_simulation(const crash_options& options);

    // Plays the faulty and the calm period.
    crash_result simulate();

private:
    struct simulated_vm
    {
        vm_id id;
        availability_zone_id zone;
        std::size_t rack = 0;
        jobs::task_size capacity;
        // The worker that it runs or ran last.
        worker_id worker;
        std::size_t lives = 0;
    };
    struct partition
    {
        time_point since{};
        time_point until{};
    };
    struct open_poll
    {
        jobs::poll_order order;
        std::uint64_t epoch = 0;
        std::weak_ptr<jobs::scheduler> sender;
        jobs::worker_incarnation incarnation = 0;
        time_point sent_at{};
        bool is_received = false;
    };
    // How a lost worker comes back.
    struct return_mode
    {
        duration restart{};
        bool keeps_id = false;
        bool is_silent = false;
    };

    void add_vm(std::size_t number);
    void start_worker(simulated_vm& vm);
    void restart_worker(simulated_vm& vm);
    void list(const jobs::worker_entry& entry);
    void unlist(const worker_id& id);

    void advance();
    void submit_jobs();
    void submit(simulated_job made);
    void record_ends();
    void trace(const std::string& line) const
    {
        if (options_.trace)
        {
            options_.trace(now_, line);
        }
    }
    void trace_decisions();
    void store_progress(const job_id& id, const std::string& text);
    void record_room(duration passed);
    bool is_usable(const leased_worker& worker) const;

    void inject(const scheduled_fault& fault);
    void crash_vms(const std::function<bool(const simulated_vm&)>& is_hit);
    void crash_worker(simulated_vm& vm, const return_mode& mode,
                      const std::optional<jobs::task_key>& cause);
    void leave(simulated_vm& vm);
    return_mode draw_return();
    simulated_vm* vm_of(const worker_id& id);

    void start_leader();
    void kill_leader();
    void flush();
    void execute(const jobs::start_order& order);
    void execute(const jobs::stop_order& order);
    void execute(const jobs::pace_order&) {}
    void execute(const jobs::poll_order& order);
    void execute(const jobs::advice_request&) {}
    void receive_start(const jobs::start_order& order, std::uint64_t epoch,
                       const std::weak_ptr<jobs::scheduler>& sender);
    // Time that a run of the task works unless it crashes its worker.
    duration work_of(const jobs::task_key& task,
                     const jobs::step& task_step) const;
    void plan_crash(const jobs::start_order& order);
    void kill_leader_after(const jobs::start_order& order);
    // True once the poll needs no more attention.
    bool advance_poll(open_poll& poll);
    bool fail_poll(const open_poll& poll);

    // Calls the function with the leader that sent an order, if it still
    // leads, after the way back.
    void respond(const std::weak_ptr<jobs::scheduler>& sender, duration delay,
                 std::function<void(jobs::scheduler&)> call);
    void schedule(duration delay, std::function<void()> call)
    {
        events_.add(now_ + delay, std::move(call));
    }
    bool is_cut_off(const worker_id& id) const;
    bool happens(double share)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(random_) <
               share;
    }

    const crash_options options_;
    std::mt19937 random_;
    time_point now_{std::chrono::seconds(100)};
    time_point end_{};
    event_queue events_;

    std::vector<simulated_vm> vms_;
    std::map<worker_id, leased_worker> workers_;
    std::map<worker_id, jobs::worker_entry> listed_;
    std::map<worker_id, partition> partitions_;
    std::vector<open_poll> polls_;
    gang_clock gangs_;

    crash_workload workload_;
    std::map<job_id, simulated_job> jobs_;
    std::vector<scheduled_fault> faults_;
    std::size_t next_fault_ = 0;
    std::size_t kills_after_order_ = 0;

    std::uint64_t epoch_ = 0;
    std::shared_ptr<jobs::scheduler> leader_;
    bool is_flushing_ = false;
    // Rows of the store.
    std::map<job_id, std::string> progress_rows_;
    std::map<job_id, std::string> first_rows_;
    std::map<std::uint32_t, std::string> fleet_rows_;

    crash_ledger ledger_;
};

} // namespace hemlockdeal::emulation
