// The endpoint stand-ins of one process, by VM id.
#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/json.hpp>

#include "standin/endpoint_standin.hpp"
#include "standin/fault_set.hpp"

namespace hemlockdeal
{

class endpoint_farm
{
public:
    explicit endpoint_farm(std::uint64_t seed) : seed_(seed) {}

    // Starts the endpoint of a membership entry unless it is already running,
    // and returns its address. The entry's members "slots", "service_time_us"
    // and "response_bytes" configure it. Throws std::exception on a malformed
    // entry or when no port can be opened.
    std::string start(const boost::json::object& vm);

    // Stops the endpoints that are no longer in the membership list.
    void
    remove_unlisted(const std::map<std::string, boost::json::object>& listed);

    // An empty id selects all endpoints that are running at the time of the
    // call; endpoints started later are not affected.
    void set_fault(const std::string& id, const fault& f);

    // The member "endpoints" of the response to GET /record.
    boost::json::object to_json() const;

    // The response to POST /record. The message's members "keys" and
    // "requests" list idempotency keys and request ids; the result gives how
    // often each was executed, summed over running and stopped endpoints.
    boost::json::object runs(const boost::json::object& message) const;

private:
    std::uint64_t seed_;
    std::map<std::string, std::unique_ptr<endpoint_standin>> endpoints_;
    // Stopped and unreachable; kept because their runs still count.
    std::vector<std::unique_ptr<endpoint_standin>> stopped_;
};

} // namespace hemlockdeal
