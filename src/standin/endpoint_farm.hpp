// The endpoint stand-ins of one process, by the id of their instance.
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

    // Starts the endpoint of the list's entry unless it runs and returns its
    // address. The entry's members "slots", "service_time_us" and
    // "response_bytes" describe its behaviour. Throws std::exception.
    std::string start(const boost::json::object& vm);

    // Ends the endpoints that the list does not name any more.
    void keep_only(const std::map<std::string, boost::json::object>& listed);

    // An empty id stands for all endpoints that run now.
    void set_fault(const std::string& id, const fault& f);

    // Counts of each endpoint for GET /record.
    boost::json::object to_json() const;

    // For the members "keys" and "requests" of the message, which list
    // idempotency keys and request ids: how often each was run, over all
    // endpoints, those that have ended included.
    boost::json::object runs(const boost::json::object& message) const;

private:
    std::uint64_t seed_;
    std::map<std::string, std::unique_ptr<endpoint_standin>> endpoints_;
    // Ended and not reachable, kept for their counts.
    std::vector<std::unique_ptr<endpoint_standin>> ended_;
};

} // namespace hemlockdeal
