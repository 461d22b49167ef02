// In-memory stand-in for the transactional table service.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <boost/json.hpp>

#include "standin/http_server.hpp"

namespace hemlockdeal
{

class run_record;

class table_standin
{
public:
    explicit table_standin(run_record& record) : record_(record) {}

    // Throws std::exception on a malformed request.
    http_reply serve(const http_request& request);

private:
    struct stored_row
    {
        std::uint64_t version = 0;
        std::string value;
    };

    http_reply commit(const boost::json::object& message);
    http_reply read_row(const std::string& key) const;
    http_reply read_rows(const std::string& prefix, const std::string& after,
                         std::size_t limit) const;
    boost::json::array conflicts(const boost::json::object& message) const;
    std::uint64_t version_of(const std::string& key) const;
    std::uint64_t apply(const boost::json::object& write);

    std::map<std::string, stored_row> rows_;
    // Incremented by each write to any row, so that a row that is deleted and
    // created again never gets a version that it had before.
    std::uint64_t last_version_ = 0;
    run_record& record_;
};

} // namespace hemlockdeal
