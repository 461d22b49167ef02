// Parses and validates the settings of a daemon.
#include <algorithm>

#include "settings/settings.hpp"
#include "settings/table_reader.hpp"

namespace hemlockdeal
{

namespace
{

void read_vm(table_reader& root, daemon_settings& settings)
{
    if (auto vm = root.table("vm", true))
    {
        settings.id = vm_id(vm->id("id"));
        settings.zone = availability_zone_id(vm->id("availability_zone"));
        settings.region = region_id(vm->id("region"));
        vm->check_keys();
    }
}

void read_operators(table_reader& root, operator_settings& operators)
{
    auto table = root.table("operators", true);
    if (!table)
    {
        return;
    }
    operators.listen = table->address("listen", true);
    operators.token = bearer_token(table->text("token"));
    const std::string& token = operators.token.value();
    if (std::ranges::any_of(token, [](char c) { return c == ' '; }))
    {
        table->add("token", "'operators.token' must not contain spaces");
    }
    table->check_keys();
}

void read_known_peers(table_reader& table, const vm_id& own_id,
                      std::vector<known_peer>& known)
{
    for (table_reader& entry : table.tables("known"))
    {
        known_peer peer;
        peer.id = vm_id(entry.id("id"));
        peer.address = entry.address("address", false);
        peer.operators = entry.address("operators", false);
        peer.public_key = curve_public_key(entry.curve_key("public_key"));
        entry.check_keys();
        if (!peer.id.empty() && peer.id == own_id)
        {
            entry.add("id", "the peer '" + peer.id.value() +
                                "' has the ID of this VM");
        }
        if (!peer.id.empty() &&
            std::ranges::find(known, peer.id, &known_peer::id) != known.end())
        {
            entry.add("id",
                      "the peer '" + peer.id.value() + "' is listed twice");
        }
        known.push_back(std::move(peer));
    }
}

void read_peers(table_reader& root, const vm_id& own_id, peer_settings& peers)
{
    if (auto table = root.table("peers", true))
    {
        peers.listen = table->address("listen", true);
        peers.public_key = curve_public_key(table->curve_key("public_key"));
        peers.secret_key = curve_secret_key(table->curve_key("secret_key"));
        read_known_peers(*table, own_id, peers.known);
        table->check_keys();
    }
}

void read_platform(table_reader& root, platform_settings& platform)
{
    if (auto table = root.table("platform", true))
    {
        platform.table = http_address(table->http_url("table"));
        platform.membership = http_address(table->http_url("membership"));
        table->check_keys();
    }
}

void read_callers(table_reader& root, socket_address& callers)
{
    if (auto table = root.table("callers", true))
    {
        callers = table->address("listen", true);
        table->check_keys();
    }
}

void read_optional_tables(table_reader& root, daemon_settings& settings)
{
    if (auto shards = root.table("shards", false))
    {
        settings.shards_per_zone = static_cast<std::uint32_t>(
            shards->integer("per_zone", {1, 64}, settings.shards_per_zone));
        shards->check_keys();
    }
    if (auto limits = root.table("limits", false))
    {
        settings.workers_fence =
            limits->boolean_value("workers_fence", settings.workers_fence);
        settings.request_buffers_mb = static_cast<std::uint32_t>(
            limits->integer("request_buffers_mb", {4, 65'536},
                            settings.request_buffers_mb));
        settings.operator_buffers_mb = static_cast<std::uint32_t>(
            limits->integer("operator_buffers_mb", {4, 4096},
                            settings.operator_buffers_mb));
        limits->check_keys();
    }
}

// Without this check, two listeners with one address would fail only when the
// daemon starts.
void check_listener_addresses(const toml::table& document,
                              const daemon_settings& settings,
                              finding_list& found)
{
    const auto check =
        [&](const socket_address& address, const socket_address& other,
            const std::string& table, const std::string& other_table) {
            if (address.port != 0 && address == other)
            {
                found.add(document[table]["listen"].node()->source().begin,
                          "'" + table + ".listen' has the same address as '" +
                              other_table + ".listen'");
            }
        };
    check(settings.operators.listen, settings.callers, "operators", "callers");
    check(settings.peers.listen, settings.callers, "peers", "callers");
    check(settings.peers.listen, settings.operators.listen, "peers",
          "operators");
}

} // namespace

settings_result parse_settings(std::string_view text, const std::string& file)
{
    finding_list found(file);
    const toml::table document = parse_document(text, found);
    table_reader root(document, "", found);
    daemon_settings settings;
    read_vm(root, settings);
    read_callers(root, settings.callers);
    read_operators(root, settings.operators);
    read_peers(root, settings.id, settings.peers);
    read_platform(root, settings.platform);
    read_optional_tables(root, settings);
    root.check_keys();
    check_listener_addresses(document, settings, found);
    if (!found.empty())
    {
        return found.take();
    }
    return settings;
}

settings_result load_settings(const std::filesystem::path& path)
{
    finding_list found(path.string());
    const auto text = read_file(path.string(), found);
    return text ? parse_settings(*text, path.string())
                : settings_result(found.take());
}

} // namespace hemlockdeal
