// Faults, topology and configuration of the request simulation.
#pragma once

#include <cstdint>

#include "core/core.hpp"

namespace hemlockdeal
{

// Fault probabilities, each per attempt, commit or message, and the load.
struct simulation_faults
{
    double connect_fails = 0.0;
    double connect_hangs = 0.0;
    double connection_breaks = 0.0;
    double no_response = 0.0;
    double refuses = 0.0;
    double error_status = 0.0;
    double commit_lost = 0.0;
    double response_lost = 0.0;
    double message_lost = 0.0;
    double caller_disconnects = 0.0;
    double duplicate_keys = 0.5;
    // Time between two requests of one daemon.
    int request_interval_us = 10'000;
    int requests = 60;
    // One daemon crashes and restarts with an empty state.
    bool restarts = false;
    bool instance_leaves = false;
    bool announces_leaving = false;
};

struct simulation_topology
{
    int daemons = 2;
    int instances = 3;
    std::uint32_t slots = 8;
    // Adds a daemon in another zone of the region.
    bool far_daemon = false;
};

// One service with the class "once", which is not idempotent, the class "any",
// which is idempotent, and the batch class "later", which may be served by
// other regions.
inline configuration make_test_configuration()
{
    work_class once;
    once.id = class_id("once");
    once.kind = class_kind::latency_critical;
    once.target = std::chrono::milliseconds(400);
    once.idempotent = false;
    work_class any = once;
    any.id = class_id("any");
    any.idempotent = true;
    work_class later = any;
    later.id = class_id("later");
    later.kind = class_kind::batch;
    later.target = std::chrono::seconds(10);
    later.cross_region = true;
    service s;
    s.id = service_id("orders");
    s.routes = {{"/once", once.id}, {"/any", any.id}, {"/later", later.id}};
    configuration c;
    c.version = configuration_version(1);
    c.content.classes = {once, any, later};
    c.content.services = {s};
    return c;
}

} // namespace hemlockdeal
