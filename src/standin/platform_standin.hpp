// Serves the stand-ins for table, membership and workers at one port and those
// for endpoints at ports of their own, with fault injection and a record.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QObject>
#include <QTimer>

#include <boost/json.hpp>

#include "standin/endpoint_farm.hpp"
#include "standin/fault_set.hpp"
#include "standin/http_server.hpp"
#include "standin/membership_standin.hpp"
#include "standin/run_record.hpp"
#include "standin/table_standin.hpp"
#include "standin/worker_standin.hpp"

namespace hemlockdeal
{

struct standin_settings
{
    std::uint16_t port = 0;
    std::uint64_t seed = 1;
    worker_settings workers;
    // Give each worker a port of its own instead of a path of the common port.
    bool worker_ports = false;
};

// The common port serves the paths of the design page, and POST /membership,
// POST /faults, GET /record and POST /record (runs of requests, see
// endpoint_farm), which faults do not affect. A worker or endpoint runs while
// it is in the current membership list, at the address given there.
class platform_standin
{
public:
    explicit platform_standin(standin_settings settings = {});

    // Address of the common port, "127.0.0.1:port".
    std::string address() const { return server_.address(); }
    const http_server& server() const { return server_; }

    run_record& record() { return record_; }

    // Same as POST /faults.
    void set_fault(const boost::json::object& message);
    void set_fault(const std::string& target, const std::string& id, fault f);

    // Same as POST /membership. Fills in the addresses of workers and
    // endpoints.
    void change_membership(boost::json::object message);
    // Same, but visible at once, whatever the lag is.
    void start_with_membership(boost::json::object message);

    // Advances the clock of membership list and workers, so that tests of
    // leases, tokens and lags need not wait.
    void skip(std::chrono::milliseconds time);

private:
    // A request to a service that is subject to faults.
    struct call
    {
        std::string target; // as in POST /faults
        std::string id;
        std::function<http_reply()> operation;
        http_exchange exchange;
    };
    struct worker_entry
    {
        worker_standin worker;
        std::unique_ptr<http_server> server; // null: common port
    };

    void serve(const http_request& request, const http_exchange& exchange);
    bool serve_control(const http_request& request,
                       const http_exchange& exchange);
    boost::json::object
    apply_control_message(const std::string& path,
                          const boost::json::object& message);
    void serve_worker(const std::string& id, const http_request& request,
                      const http_exchange& exchange);
    void dispatch(call c);
    void dispatch_slow(call c, std::chrono::milliseconds delay);
    void dispatch_held_calls();
    boost::json::object start_listed_vm(const boost::json::object& vm);
    void fill_addresses(boost::json::object& message, const char* member);
    void remove_unlisted_vms();
    void advance_workers();
    standin_time now() const { return standin_clock::now() + clock_offset_; }
    void apply_membership(boost::json::object message, standin_time when);

    standin_settings settings_;
    run_record record_;
    checkpoint_store checkpoints_;
    fault_set faults_;
    table_standin table_{record_};
    membership_standin membership_;
    worker_context worker_context_;
    std::map<std::string, worker_entry> workers_;
    endpoint_farm endpoints_;
    std::chrono::milliseconds clock_offset_{0};
    std::vector<call> held_calls_; // by the fault "pause"
    http_server server_;
    QTimer timer_;
    QObject context_; // receiver of the timers of delayed responses
};

} // namespace hemlockdeal
