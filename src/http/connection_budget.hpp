// Bounds what the connections of all HTTP servers of a process occupy together.
// Has no sockets and reads no clock.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>
#include <unordered_map>

#include "core/core.hpp"
#include "http/refusal.hpp"

namespace hemlockdeal
{

enum class connection_id : std::uint64_t
{
};

// In the order in which connections are given up.
enum class connection_stage : std::uint8_t
{
    // Refused, and closed soon in any case.
    refused,
    // Has sent no complete request yet, or has begun another one.
    incomplete,
    // Its last request has been answered.
    idle,
    // A request is being served.
    serving
};

struct connection_budget_limits
{
    // Buffered bytes of requests and responses.
    std::size_t bytes = 64ULL * 1024 * 1024;
    std::size_t connections = 3000;
};

// Connections that send little and stay are given up first: by stage, and the
// oldest first within a stage. The caller's own connections to other machines
// are not part of the budget.
class connection_budget
{
public:
    // Refuses the connection or closes it.
    using refuse_action = std::function<void(refusal)>;

    explicit connection_budget(connection_budget_limits limits = {})
        : limits_(limits)
    {}

    connection_id add(time_point now, refuse_action refuse);
    void remove(connection_id id);
    void set_stage(connection_id id, connection_stage stage, time_point since);
    void set_bytes(connection_id id, std::size_t bytes);

    // Refuses connections until the others are within the limits.
    void enforce();

    // Gives up connections until one more is within the limit; false if there
    // are still too many, since all are being served.
    bool make_room();

    // Gives up to `count` connections up to free their descriptors.
    void give_up(std::size_t count);

    void set_max_connections(std::size_t count) { limits_.connections = count; }
    std::size_t bytes() const { return bytes_; }
    std::size_t connections() const { return entries_.size(); }

private:
    struct place
    {
        connection_stage stage = connection_stage::incomplete;
        time_point since;
        connection_id id{};

        auto operator<=>(const place&) const = default;
    };

    struct entry
    {
        place at;
        std::size_t bytes = 0;
        refuse_action refuse;
    };

    void refuse(connection_id id, refusal why);

    connection_budget_limits limits_;
    std::uint64_t last_id_ = 0;
    std::unordered_map<connection_id, entry> entries_;
    // Connections that are not being served.
    std::set<place> unserved_;
    // Connections with bytes.
    std::set<place> holders_;
    // Sum over all entries.
    std::size_t bytes_ = 0;
};

} // namespace hemlockdeal
