// The faults that are switched on in the stand-ins.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>

#include <boost/json.hpp>

namespace hemlockdeal
{

// Modes that do not apply to a target behave like `none` there. What a mode
// does at an endpoint is described at `endpoint_fault`.
enum class fault_mode
{
    none,
    down,        // connections are closed, nothing takes effect
    slow,        // answered after a delay, with the effect before or after it
    lose_answer, // takes effect, the connection is closed without an answer
    pause,       // nothing is answered; served when the fault is cleared
    silent,      // connections that were open before it began are ignored
                 // for good, new ones work
    truncate,    // takes effect, the answer breaks off
    fail_all,    // a worker fails everything that it starts
    late,        // these are known to endpoints only
    leaving,
    not_run,
    extra_bytes
};

struct fault
{
    fault_mode mode = fault_mode::none;
    double probability = 1.0; // for each call or start
    std::chrono::milliseconds delay{0};
    std::chrono::steady_clock::time_point since{}; // filled in by set()
};

class fault_set
{
public:
    explicit fault_set(std::uint64_t seed) : random_(seed) {}

    // `target` is "table", "membership", "worker" or "endpoint"; an empty id
    // stands for all of them. A new fault replaces the one before it.
    void set(const std::string& target, const std::string& id, fault f);

    // The fault that strikes this call, by its probability.
    fault draw(const std::string& target, const std::string& id);

    // True with probability one half.
    bool coin() { return (random_() & 1U) != 0; }

private:
    fault lookup(const std::string& target, const std::string& id) const;

    std::map<std::pair<std::string, std::string>, fault> faults_;
    std::mt19937_64 random_;
};

// The fault of a message of POST /faults; throws std::exception when it is
// malformed.
fault decode_fault(const boost::json::object& message);

} // namespace hemlockdeal
