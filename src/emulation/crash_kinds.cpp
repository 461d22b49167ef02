// The kinds of the crash simulation.
#include "emulation/crash_kinds.hpp"

namespace hemlockdeal::emulation
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename Change>
crash_kind make_kind(const char* name, const Change& change)
{
    crash_options options;
    change(options);
    return {name, options};
}

void add_sound_faults(crash_options& o)
{
    o.worker_crashes = 6;
    o.rack_losses = 1;
    o.partitions = 4;
    o.planned_leaves = 3;
    o.leader_kills = 1;
    o.silent_share = 0.2;
    o.same_id_share = 0.2;
}

std::vector<crash_kind> make_kinds()
{
    using options = crash_options;
    return {
        make_kind("one_task", [](options&) {}),
        make_kind("delay_400_ms",
                  [](options& o) { o.crash_delay = milliseconds(400); }),
        make_kind("delay_3_s",
                  [](options& o) {
                      o.crash_delay = seconds(3);
                      o.target = crash_target::lasting_task;
                  }),
        make_kind("whole_step",
                  [](options& o) {
                      o.target = crash_target::whole_step;
                      o.crashing_jobs = 2;
                  }),
        make_kind("gang_member",
                  [](options& o) { o.target = crash_target::gang_member; }),
        make_kind("lasting_task",
                  [](options& o) { o.target = crash_target::lasting_task; }),
        make_kind("same_id", [](options& o) { o.same_id_share = 1.0; }),
        make_kind("silent", [](options& o) { o.silent_share = 1.0; }),
        make_kind("unnamed_vms", [](options& o) { o.names_vms = false; }),
        make_kind("worker_crashes", [](options& o) { o.worker_crashes = 12; }),
        make_kind("rack_and_zone",
                  [](options& o) {
                      o.rack_losses = 2;
                      o.zone_losses = 1;
                  }),
        make_kind("partitions", [](options& o) { o.partitions = 10; }),
        make_kind("planned_leaves", [](options& o) { o.planned_leaves = 8; }),
        make_kind("leader_kills", [](options& o) { o.leader_kills = 3; }),
        make_kind("leader_kills_after_order",
                  [](options& o) { o.leader_kills_after_order = 4; }),
        // Nothing but coincidence: no task crashes its worker.
        make_kind("sound",
                  [](options& o) {
                      add_sound_faults(o);
                      o.crashing_jobs = 0;
                      o.worker_crashes = 25;
                      o.zone_losses = 1;
                  }),
        make_kind("mixed", [](options& o) { add_sound_faults(o); }),
        // So many workers crash at once that each crash has other suspects.
        make_kind("crash_wave",
                  [](options& o) {
                      add_sound_faults(o);
                      o.crashing_jobs = 20;
                  }),
    };
}

} // namespace

const std::vector<crash_kind>& crash_kinds()
{
    static const std::vector<crash_kind> kinds = make_kinds();
    return kinds;
}

} // namespace hemlockdeal::emulation
