// Lets the members of gangs work from the moment when all members of a run are
// present, and ends the others when one of them is lost.
#pragma once

#include <map>
#include <tuple>
#include <vector>

#include "emulation/leased_worker.hpp"

namespace hemlockdeal::emulation
{

class gang_clock
{
public:
    void advance(std::map<worker_id, leased_worker>& workers, time_point now);

private:
    struct gang_key
    {
        job_id job;
        std::uint32_t occurrence = 0;
        std::uint32_t step = 0;
        std::uint32_t run = 0;
        friend auto operator<=>(const gang_key&, const gang_key&) = default;
    };
    struct member
    {
        leased_worker* worker = nullptr;
        jobs::task_key task;
    };

    static void advance_gang(const std::vector<member>& members,
                             time_point now);
};

} // namespace hemlockdeal::emulation
