// Parses and validates declarations.
#include <algorithm>
#include <cmath>
#include <optional>

#include "settings/settings.hpp"
#include "settings/table_reader.hpp"
#include "settings/text_checks.hpp"

namespace hemlockdeal
{

namespace
{

using namespace std::chrono_literals;

// A latency target below 1 ms is shorter than the network latency. Batch
// targets allow for jobs of several weeks.
constexpr duration min_latency_target = 1ms;
constexpr duration max_latency_target = 10min;
constexpr duration min_batch_target = 1s;
constexpr duration max_batch_target = 24h * 90;

// Reports `id` if an earlier entry has the same ID.
template <typename Entries, typename Id, typename Member>
void check_duplicate(table_reader& table, std::string_view entry_kind,
                     const Entries& entries, const Id& id, Member member)
{
    if (!id.empty() && std::ranges::find(entries, id, member) != entries.end())
    {
        table.add("id", "the " + std::string(entry_kind) + " '" + id.value() +
                            "' is declared twice");
    }
}

void read_zones(table_reader& root, declaration& d)
{
    for (table_reader& table : root.tables("zone", true))
    {
        availability_zone zone;
        zone.id = availability_zone_id(table.id("id"));
        zone.region = region_id(table.id("region"));
        table.check_keys();
        check_duplicate(table, "zone", d.zones, zone.id,
                        &availability_zone::id);
        d.zones.push_back(std::move(zone));
    }
}

std::optional<class_kind> read_kind(table_reader& table)
{
    const std::string kind = table.text("kind");
    if (kind == "latency_critical")
    {
        return class_kind::latency_critical;
    }
    if (kind == "batch")
    {
        return class_kind::batch;
    }
    if (!kind.empty())
    {
        std::string message =
            "'class.kind' is neither \"latency_critical\" nor \"batch\"";
        if (const auto nearest =
                nearest_name(kind, {"latency_critical", "batch"}))
        {
            message += "; did you mean \"" + *nearest + "\"?";
        }
        table.add("kind", std::move(message));
    }
    return std::nullopt;
}

work_class read_class(table_reader& table)
{
    work_class parsed;
    parsed.id = class_id(table.id("id"));
    const auto kind = read_kind(table);
    parsed.kind = kind.value_or(class_kind::batch);
    const bool is_latency_critical = kind == class_kind::latency_critical;
    parsed.target = table.time(
        "target", is_latency_critical ? min_latency_target : min_batch_target,
        is_latency_critical ? max_latency_target : max_batch_target);
    parsed.percentile = table.number("percentile", 1.0, 99.999, 99.0) / 100.0;
    // Required for requests: with a wrong default, requests that are not
    // idempotent would be retried and run twice.
    parsed.idempotent = table.boolean_value(
        "idempotent",
        is_latency_critical ? std::nullopt : std::optional<bool>(true));
    parsed.cross_region = table.boolean_value("cross_region", false);
    parsed.urgent = table.boolean_value("urgent", false);
    table.check_keys();
    return parsed;
}

void read_classes(table_reader& root, declaration& d)
{
    for (table_reader& table : root.tables("class", true))
    {
        work_class parsed = read_class(table);
        check_duplicate(table, "class", d.classes, parsed.id, &work_class::id);
        d.classes.push_back(std::move(parsed));
    }
}

void read_teams(table_reader& root, declaration& d)
{
    double sum = 0;
    for (table_reader& table : root.tables("team"))
    {
        team parsed;
        parsed.id = team_id(table.id("id"));
        parsed.quota_percent = table.number("quota_percent", 0.0, 100.0);
        table.check_keys();
        check_duplicate(table, "team", d.teams, parsed.id, &team::id);
        const double previous_sum = sum;
        sum += parsed.quota_percent;
        // The tolerance covers rounding errors in sums such as 3 x 33.3 + 0.1.
        if (previous_sum <= 100.0 + 1e-6 && sum > 100.0 + 1e-6)
        {
            table.add("quota_percent",
                      "the quotas of the teams sum up to more than 100% from "
                      "here on");
        }
        d.teams.push_back(std::move(parsed));
    }
}

bool is_prefix_routed(const declaration& d, const service& current,
                      const std::string& prefix)
{
    const auto has_prefix = [&](const service& s) {
        return std::ranges::find(s.routes, prefix, &route::path_prefix) !=
               s.routes.end();
    };
    return has_prefix(current) || std::ranges::any_of(d.services, has_prefix);
}

void check_route_class(table_reader& table, const declaration& d,
                       const class_id& id, bool incomplete)
{
    const work_class* const known = find_class(d, id);
    if (known != nullptr)
    {
        if (known->kind != class_kind::latency_critical)
        {
            table.add("class", "the class '" + id.value() +
                                   "' of the route is not latency_critical");
        }
        return;
    }
    // The class may be declared in a part that could not be parsed.
    if (id.empty() || incomplete || d.classes.empty())
    {
        return;
    }
    std::vector<std::string> class_names;
    std::ranges::transform(d.classes, std::back_inserter(class_names),
                           [](const work_class& c) { return c.id.value(); });
    std::string message =
        "the route names the unknown class '" + id.value() + "'";
    if (const auto nearest = nearest_name(id.value(), class_names))
    {
        message += "; did you mean '" + *nearest + "'?";
    }
    table.add("class", std::move(message));
}

void read_routes(table_reader& service_table, const declaration& d,
                 service& parsed, bool incomplete)
{
    for (table_reader& table : service_table.tables("routes"))
    {
        route r;
        r.path_prefix = table.text("path_prefix");
        r.work_class = class_id(table.id("class"));
        table.check_keys();
        if (!r.path_prefix.empty() && r.path_prefix.front() != '/')
        {
            table.add("path_prefix",
                      "'" + r.path_prefix + "' does not begin with '/'");
        }
        if (!r.path_prefix.empty() &&
            is_prefix_routed(d, parsed, r.path_prefix))
        {
            table.add("path_prefix", "the path prefix '" + r.path_prefix +
                                         "' is routed twice");
        }
        check_route_class(table, d, r.work_class, incomplete);
        parsed.routes.push_back(std::move(r));
    }
}

service read_service(table_reader& table, const declaration& d, bool incomplete)
{
    service parsed;
    parsed.id = service_id(table.id("id"));
    parsed.instances =
        static_cast<std::uint32_t>(table.integer("instances", {1, 100'000}));
    parsed.slots = static_cast<std::uint32_t>(
        table.integer("slots", {1, 10'000}, parsed.slots));
    parsed.connections = static_cast<std::uint32_t>(
        table.integer("connections", {1, 100'000}, parsed.connections));
    parsed.size.processors.value =
        table.integer("processors_milli", {1, 1'000'000});
    parsed.size.memory.value = table.integer("memory_mb", {1, 100'000'000});
    parsed.size.accelerators.value =
        table.integer("accelerators", {0, 1000}, 0);
    read_routes(table, d, parsed, incomplete);
    table.check_keys();
    if (parsed.connections < parsed.slots)
    {
        table.add("connections",
                  "'service.connections' is below 'service.slots'");
    }
    return parsed;
}

void read_services(table_reader& root, declaration& d, bool incomplete)
{
    for (table_reader& table : root.tables("service"))
    {
        service parsed = read_service(table, d, incomplete);
        check_duplicate(table, "service", d.services, parsed.id, &service::id);
        d.services.push_back(std::move(parsed));
    }
}

void read_link(table_reader& root, region_link& link)
{
    if (auto table = root.table("link", false))
    {
        const double megabits =
            table->number("megabits_per_second", 0.1, 1e6,
                          static_cast<double>(link.bits_per_second) / 1e6);
        link.bits_per_second =
            static_cast<std::uint64_t>(std::llround(megabits * 1e6));
        table->check_keys();
    }
}

} // namespace

declaration_result parse_declaration(std::string_view text,
                                     const std::string& file)
{
    finding_list found(file);
    const toml::table document = parse_document(text, found);
    table_reader root(document, "", found);
    declaration d;
    read_zones(root, d);
    read_classes(root, d);
    read_teams(root, d);
    read_services(root, d, found.incomplete());
    read_link(root, d.link);
    root.check_keys();
    if (!found.empty())
    {
        return found.take();
    }
    return d;
}

declaration_result load_declaration(const std::filesystem::path& path)
{
    finding_list found(path.string());
    const auto text = read_file(path.string(), found);
    return text ? parse_declaration(*text, path.string())
                : declaration_result(found.take());
}

} // namespace hemlockdeal
