// Implements reuse, probing and closing of endpoint connections.
#include "proxy/endpoint_pool.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "proxy/socket_options.hpp"

namespace hemlockdeal
{

endpoint_pool::endpoint_pool(const proxy_limits& limits, pool_handlers handlers,
                             endpoint_handlers exchange_handlers)
    : limits_(limits), owner_handlers_(std::move(handlers)),
      handlers_(std::move(exchange_handlers))
{
    handlers_.connected = [this](endpoint_connection& c) { on_connected(c); };
    handlers_.connection_lost = [this](endpoint_connection& c,
                                       const std::string& reason) {
        on_lost(c, reason);
    };
    handlers_.probed = [this](endpoint_connection& c, bool healthy) {
        on_probed(c, healthy);
    };
}

endpoint_pool::~endpoint_pool() = default;

void endpoint_pool::acquire(lease_number lease, const instance_id& instance,
                            const std::string& address, std::uint32_t limit,
                            bool must_probe)
{
    // Counted as open here, so that retiring the last connection does not erase
    // the state.
    instance_state& state = instances_[instance];
    ++state.open;
    endpoint_connection* reused = nullptr;
    while (reused == nullptr && !state.idle.empty())
    {
        endpoint_connection* c = state.idle.back();
        state.idle.pop_back();
        if (c->is_ready() && c->address() == address)
        {
            reused = c;
        }
        else
        {
            retire(*c);
        }
    }
    --state.open;
    if (reused != nullptr)
    {
        assign_idle_connection(lease, *reused, must_probe);
        return;
    }
    if (state.open >= limit)
    {
        owner_handlers_.failed(
            lease, "the proxy's share of the instance's connections is in use");
        return;
    }
    open(instance, address, purpose::lease, lease);
}

// Assigns an idle connection to the lease, after a probe if the connection may
// be unresponsive.
void endpoint_pool::assign_idle_connection(lease_number lease,
                                           endpoint_connection& connection,
                                           bool must_probe)
{
    entry& e = connections_.at(&connection);
    e.use = purpose::lease;
    e.reused = true;
    e.ready_reported = false;
    connection.set_lease(lease);
    const time_point idle_since = connection.phase_started();
    if (must_probe || idle_since <= e.instance->suspect_since ||
        monotonic_now() - idle_since > limits_.probe_after_idle)
    {
        connection.probe();
        return;
    }
    report_ready(connection);
}

void endpoint_pool::mark_suspect(const instance_id& instance)
{
    const auto found = instances_.find(instance);
    if (found != instances_.end())
    {
        found->second.suspect_since = monotonic_now();
    }
}

void endpoint_pool::open(const instance_id& instance,
                         const std::string& address, purpose use,
                         lease_number lease)
{
    entry e;
    e.instance = &instances_[instance];
    ++e.instance->open;
    e.connection = std::make_unique<endpoint_connection>(instance, address,
                                                         limits_, handlers_);
    e.use = use;
    e.connection->set_lease(lease);
    endpoint_connection* key = e.connection.get();
    connections_.emplace(key, std::move(e));
}

void endpoint_pool::report_ready(endpoint_connection& connection)
{
    connections_.at(&connection).ready_reported = true;
    owner_handlers_.ready(connection.lease(), connection);
}

void endpoint_pool::cancel(lease_number lease)
{
    const auto found = std::ranges::find_if(connections_, [&](const auto& c) {
        return c.second.use == purpose::lease && c.first->lease() == lease;
    });
    if (found != connections_.end())
    {
        retire(*found->first);
    }
}

void endpoint_pool::release(endpoint_connection& connection)
{
    if (!connection.is_reusable())
    {
        retire(connection);
        return;
    }
    connection.set_lease(0);
    entry& e = connections_.at(&connection);
    e.use = purpose::none;
    e.instance->idle.push_back(&connection);
}

void endpoint_pool::retire(endpoint_connection& connection)
{
    connection.close();
    remove(connection);
}

endpoint_pool::entry endpoint_pool::remove(endpoint_connection& connection)
{
    const auto found = connections_.find(&connection);
    if (found == connections_.end())
    {
        return {};
    }
    entry removed = std::move(found->second);
    connections_.erase(found);
    std::erase(removed.instance->idle, &connection);
    if (--removed.instance->open == 0)
    {
        instances_.erase(connection.instance());
    }
    ended_.push_back(std::move(removed.connection));
    return removed;
}

void endpoint_pool::on_connected(endpoint_connection& connection)
{
    if (connections_.at(&connection).use == purpose::probe)
    {
        connection.probe();
        return;
    }
    report_ready(connection);
}

void endpoint_pool::on_lost(endpoint_connection& connection,
                            const std::string& reason)
{
    const entry e = remove(connection);
    if (e.use == purpose::probe)
    {
        owner_handlers_.probed(connection.instance(), false);
        return;
    }
    if (e.use != purpose::lease)
    {
        return;
    }
    if (e.reused && !e.ready_reported)
    {
        open(connection.instance(), connection.address(), purpose::lease,
             connection.lease());
        return;
    }
    owner_handlers_.failed(connection.lease(), reason);
}

void endpoint_pool::on_probed(endpoint_connection& connection, bool healthy)
{
    if (connections_.at(&connection).use == purpose::probe)
    {
        retire(connection);
        owner_handlers_.probed(connection.instance(), healthy);
        return;
    }
    // Any response shows that the connection works, whatever its status.
    if (!connection.is_reusable())
    {
        connection.close();
        on_lost(connection, "connection not reusable after the probe");
        return;
    }
    report_ready(connection);
}

void endpoint_pool::probe(const instance_id& instance,
                          const std::string& address)
{
    open(instance, address, purpose::probe, 0);
}

void endpoint_pool::close_unlisted(const membership_list& list)
{
    std::unordered_set<std::string> listed;
    std::ranges::for_each(list.members, [&](const member& m) {
        if (m.kind == member_kind::endpoint)
        {
            listed.insert(m.id);
        }
    });
    std::vector<endpoint_connection*> unlisted;
    std::ranges::for_each(connections_, [&](const auto& c) {
        if (c.second.use == purpose::none &&
            !listed.contains(c.first->instance().value()))
        {
            unlisted.push_back(c.first);
        }
    });
    std::ranges::for_each(unlisted, [&](auto* c) { retire(*c); });
}

void endpoint_pool::check_time(time_point now)
{
    ended_.clear();
    std::vector<endpoint_connection*> expired;
    std::ranges::for_each(connections_, [&](const auto& c) {
        const duration age = now - c.first->phase_started();
        const bool unused = c.second.use == purpose::none;
        if ((c.first->is_connecting() && age > limits_.connect_time) ||
            (c.first->is_probing() && age > limits_.probe_time) ||
            (unused && age > limits_.endpoint_idle_time))
        {
            expired.push_back(c.first);
        }
    });
    std::ranges::for_each(expired, [this](endpoint_connection* c) {
        c->close();
        on_lost(*c, "endpoint connect or probe timed out");
    });
}

std::size_t endpoint_pool::connections(const instance_id& instance) const
{
    const auto found = instances_.find(instance);
    return found == instances_.end() ? 0 : found->second.open;
}

} // namespace hemlockdeal
