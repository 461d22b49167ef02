// The active faults of the stand-ins for table, membership and workers.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include <boost/json.hpp>

#include "standin/transfer_rate.hpp"

namespace hemlockdeal
{

// A mode that does not apply to a target behaves like `none` there. For the
// effect of a mode on an endpoint see `endpoint_fault`.
enum class fault_mode
{
    none,
    down,        // the connection is closed, the request has no effect
    slow,        // delayed response; the request takes effect before or after
                 // the delay, at random
    lose_answer, // takes effect, the connection is closed without a response
    pause,       // requests are held until set_fault() is called for a
                 // target other than "endpoint"
    silent,      // connections that were opened before the fault was set never
                 // get a response again, new ones work
    truncate,    // takes effect, the response is truncated
    slow_path,   // takes effect, the response is sent at a limited rate
    fail_all,    // tasks that are started on the worker fail
    late,        // this and the following modes apply to endpoints only
    leaving,
    not_run,
    extra_bytes
};

struct fault
{
    fault_mode mode = fault_mode::none;
    double probability = 1.0; // per request or start of a task
    std::chrono::milliseconds delay{0};
    // Of slow_path. Responses have it together if they share the path, and
    // otherwise each on its own.
    double bytes_per_second = 0;
    std::shared_ptr<transfer_rate> shared_rate = nullptr;
    std::chrono::steady_clock::time_point since{}; // set by fault_set::set()
};

class fault_set
{
public:
    explicit fault_set(std::uint64_t seed) : random_(seed) {}

    // `target` is "table", "membership", "worker" or "endpoint"; an empty id
    // selects all of them and removes the faults that were set for single ids.
    // A new fault replaces the earlier one of the same target and id.
    void set(const std::string& target, const std::string& id, fault f);

    // The fault that affects this request, drawn by its probability; mode
    // `none` when there is none.
    fault draw(const std::string& target, const std::string& id);

    // True with probability one half.
    bool random_bool() { return (random_() & 1U) != 0; }

private:
    fault lookup(const std::string& target, const std::string& id) const;

    std::map<std::pair<std::string, std::string>, fault> faults_;
    std::mt19937_64 random_;
};

// Decodes the body of POST /faults. Throws std::exception when it is malformed.
fault decode_fault(const boost::json::object& message);

} // namespace hemlockdeal
