// Proxy with the real request core, stand-in endpoints and an in-memory table,
// all in the test's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <QTimer>
#include <gtest/gtest.h>

#include "proxy/proxy.hpp"
#include "proxy/test_caller.hpp"
#include "standin/endpoint_standin.hpp"

namespace hemlockdeal
{

// Requests below /read are idempotent, those below /write are not.
inline configuration test_configuration(duration target)
{
    configuration c;
    c.version = configuration_version(1);
    work_class read{class_id("read"), class_kind::latency_critical, target};
    work_class write = read;
    write.id = class_id("write");
    write.idempotent = false;
    c.content.classes = {read, write};
    service s;
    s.id = service_id("orders");
    s.routes = {{"/read", read.id}, {"/write", write.id}};
    c.content.services = {s};
    c.content.zones = {{availability_zone_id("zone-a"), region_id("region-1")}};
    return c;
}

inline request_settings test_settings()
{
    request_settings s;
    s.vm = vm_id("entry-1");
    s.zone = availability_zone_id("zone-a");
    s.region = region_id("region-1");
    s.process = incarnation(1);
    return s;
}

class test_bed
{
public:
    using server = proxy_server<request_core<>>;

    struct options
    {
        std::size_t endpoints = 1;
        duration target = std::chrono::seconds(2);
        duration shortest_timeout = std::chrono::seconds(2);
        double timeout_target_multiple =
            request_settings{}.timeout_target_multiple;
        proxy_limits limits;
        endpoint_options endpoint;
        // Addresses of endpoints that the test runs itself.
        std::vector<std::string> other_endpoints;
    };

    explicit test_bed(const options& o)
    {
        for (std::size_t i = 0; i < o.endpoints; ++i)
        {
            endpoint_options endpoint = o.endpoint;
            endpoint.seed += i;
            endpoints_.push_back(std::make_unique<endpoint_standin>(endpoint));
            EXPECT_TRUE(endpoints_.back()->listen("127.0.0.1", 0));
        }
        request_settings settings = test_settings();
        settings.shortest_timeout = o.shortest_timeout;
        settings.timeout_target_multiple = o.timeout_target_multiple;
        proxy_ = std::make_unique<server>(settings, outputs(), o.limits);
        EXPECT_TRUE(proxy_->listen("127.0.0.1", 0));
        proxy_->on_configuration(test_configuration(o.target));
        proxy_->on_membership(list(o.other_endpoints));
    }

    server& proxy() { return *proxy_; }
    std::uint16_t port() const { return proxy_->port(); }
    endpoint_standin& endpoint(std::size_t i = 0) { return *endpoints_[i]; }

    std::uint32_t runs_of(const std::string& id) const
    {
        std::uint32_t runs = 0;
        std::ranges::for_each(
            endpoints_, [&](const auto& e) { runs += e->runs_of_request(id); });
        return runs;
    }

    // Outcomes reported by the core, by request.
    std::map<request_id, request_outcome> outcomes;

private:
    membership_list list(std::vector<std::string> addresses) const
    {
        membership_list l;
        l.version = 1;
        member self;
        self.id = "entry-1";
        self.kind = member_kind::entry_vm;
        self.zone = availability_zone_id("zone-a");
        self.region = region_id("region-1");
        l.members.push_back(self);
        std::ranges::transform(endpoints_, std::back_inserter(addresses),
                               [](const auto& e) { return e->address(); });
        std::ranges::for_each(addresses, [&](const std::string& address) {
            member m = self;
            m.id = "instance-" + std::to_string(l.members.size());
            m.kind = member_kind::endpoint;
            m.address = address;
            m.service = service_id("orders");
            m.slots = 8;
            m.connections = 64;
            l.members.push_back(m);
        });
        return l;
    }

    proxy_outputs outputs()
    {
        proxy_outputs o;
        o.commit = [this](send_commit& action) {
            post([this, commit = std::move(action.commit)] {
                proxy_->on_commit_outcome(commit.id, apply(commit));
            });
            return true;
        };
        o.read = [this](read_row& action) {
            post([this, action] {
                const auto row = rows_.find(action.key);
                proxy_->on_row(action.number, row == rows_.end()
                                                  ? std::optional<table_row>()
                                                  : std::optional(row->second));
            });
            return true;
        };
        o.to_peer = [](send_to_peer&&) {};
        o.event = [](record_event&&) {};
        o.finished = [this](const finish_request& f) {
            outcomes[f.request] = f.outcome;
        };
        return o;
    }

    void post(std::function<void()> function)
    {
        QTimer::singleShot(1, &context_, std::move(function));
    }

    commit_outcome apply(const table_commit& commit)
    {
        commit_conflict conflict;
        std::ranges::for_each(commit.writes, [&](const table_write& w) {
            const auto row = rows_.find(w.key);
            const bool absent = row == rows_.end();
            const auto* version = std::get_if<row_version>(&w.expected);
            if ((std::holds_alternative<expect_absent>(w.expected) &&
                 !absent) ||
                (version != nullptr &&
                 (absent || row->second.version != *version)))
            {
                conflict.rows.push_back(
                    {w.key, absent ? row_version() : row->second.version,
                     absent ? std::nullopt : std::optional(row->second.value)});
            }
        });
        if (!conflict.rows.empty())
        {
            return conflict;
        }
        commit_done done;
        version_ = version_.next();
        std::ranges::for_each(commit.writes, [&](const table_write& w) {
            rows_.erase(w.key);
            if (w.value)
            {
                rows_[w.key] = {w.key, version_, *w.value};
            }
            done.versions.push_back(w.value ? version_ : row_version());
        });
        return done;
    }

    QObject context_;
    std::map<std::string, table_row> rows_;
    row_version version_;
    std::vector<std::unique_ptr<endpoint_standin>> endpoints_;
    std::unique_ptr<server> proxy_;
};

} // namespace hemlockdeal
