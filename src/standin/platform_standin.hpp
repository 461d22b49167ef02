// The stand-ins of table, membership and workers behind one port, those of
// endpoints at their own ports, with the faults and the record.
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
    // A port for each worker instead of a path below the common port.
    bool worker_ports = false;
};

// Paths of the common port: those of the design page, and POST /membership,
// POST /faults, GET /record and POST /record (runs of requests, see
// endpoint_farm), which no fault affects. A worker or an endpoint runs as long
// as the current list names it; it is reached at the address in the list.
class platform_standin
{
public:
    explicit platform_standin(standin_settings settings = {});

    // "127.0.0.1:port" of the common port.
    std::string address() const { return server_.address(); }
    const http_server& server() const { return server_; }

    run_record& record() { return record_; }

    // As POST /faults.
    void set_fault(const boost::json::object& message);
    void set_fault(const std::string& target, const std::string& id, fault f);

    // As POST /membership. The addresses of workers and endpoints are filled
    // in.
    void change_membership(boost::json::object message);
    // The same, as if it had been so all along, whatever the lag is.
    void start_with_membership(boost::json::object message);

    // Moves the clock of list and workers forward, so that tests of leases,
    // tokens and lags need not wait.
    void skip(std::chrono::milliseconds time);

private:
    // One request to a service that faults can affect.
    struct call
    {
        std::string target; // as in POST /faults
        std::string id;
        std::function<http_reply()> effect;
        http_exchange exchange;
    };
    struct worker_place
    {
        worker_standin worker;
        std::unique_ptr<http_server> server; // null on the common port
    };

    void serve(const http_request& request, const http_exchange& exchange);
    bool serve_control(const http_request& request,
                       const http_exchange& exchange);
    boost::json::object change_by_message(const std::string& path,
                                          const boost::json::object& message);
    void serve_worker(const std::string& id, const http_request& request,
                      const http_exchange& exchange);
    void dispatch(call c);
    void dispatch_slow(call c, std::chrono::milliseconds delay);
    void release_held();
    boost::json::object with_address(const boost::json::object& vm);
    void fill_addresses(boost::json::object& message, const char* member);
    void drop_lost_vms();
    void advance_workers();
    standin_time now() const { return standin_clock::now() + skipped_; }
    void apply_membership(boost::json::object message, standin_time when);

    standin_settings settings_;
    run_record record_;
    checkpoint_store checkpoints_;
    fault_set faults_;
    table_standin table_{record_};
    membership_standin membership_;
    worker_surroundings surroundings_;
    std::map<std::string, worker_place> workers_;
    endpoint_farm endpoints_;
    std::chrono::milliseconds skipped_{0};
    std::vector<call> held_; // by the fault "pause"
    http_server server_;
    QTimer timer_;
    QObject context_; // of delayed answers
};

} // namespace hemlockdeal
