// Verbs check and diff: validate a declaration, and compare it with the current
// one, before it is applied.
#include <algorithm>
#include <iostream>
#include <map>
#include <sstream>

#include <boost/json.hpp>

#include "hemlockdealctl/current_configuration.hpp"
#include "hemlockdealctl/report.hpp"
#include "hemlockdealctl/verb_line.hpp"
#include "hemlockdealctl/verbs.hpp"
#include "operators/operator_json.hpp"
#include "settings/settings.hpp"

namespace hemlockdeal
{

namespace json = boost::json;

namespace
{

// Values of a declaration by their path in it.
using flat_declaration = std::map<std::string, std::string>;

std::string number_text(double value)
{
    std::ostringstream out;
    out << value;
    return std::move(out).str();
}

flat_declaration flatten(const declaration& d)
{
    flat_declaration flat;
    for (const availability_zone& zone : d.zones)
    {
        flat["zone " + zone.id.value() + ": region"] = zone.region.value();
    }
    for (const work_class& c : d.classes)
    {
        const std::string name = "class " + c.id.value() + ": ";
        flat[name + "kind"] =
            c.kind == class_kind::batch ? "batch" : "latency_critical";
        flat[name + "target"] = to_text(c.target);
        flat[name + "percentile"] = number_text(c.percentile * 100.0);
        flat[name + "idempotent"] = c.idempotent ? "true" : "false";
        flat[name + "cross_region"] = c.cross_region ? "true" : "false";
        flat[name + "urgent"] = c.urgent ? "true" : "false";
    }
    for (const team& t : d.teams)
    {
        flat["team " + t.id.value() + ": quota_percent"] =
            number_text(t.quota_percent);
    }
    for (const service& s : d.services)
    {
        const std::string name = "service " + s.id.value() + ": ";
        flat[name + "instances"] = std::to_string(s.instances);
        flat[name + "slots"] = std::to_string(s.slots);
        flat[name + "connections"] = std::to_string(s.connections);
        flat[name + "size"] = to_text(s.size);
        for (const route& r : s.routes)
        {
            flat[name + "route " + r.path_prefix] = r.work_class.value();
        }
    }
    flat["link: bits_per_second"] = std::to_string(d.link.bits_per_second);
    return flat;
}

struct difference
{
    std::string name;
    std::string before; // empty when added
    std::string after;  // empty when removed
};

std::vector<difference> compare(const flat_declaration& before,
                                const flat_declaration& after)
{
    std::vector<difference> differences;
    for (const auto& [name, value] : before)
    {
        const auto found = after.find(name);
        const std::string now = found == after.end() ? "" : found->second;
        if (now != value)
        {
            differences.push_back({name, value, now});
        }
    }
    for (const auto& [name, value] : after)
    {
        if (!before.contains(name))
        {
            differences.push_back({name, "", value});
        }
    }
    std::ranges::sort(differences, {}, &difference::name);
    return differences;
}

void print(const difference& d)
{
    if (d.before.empty())
    {
        std::cout << "+ " << d.name << " = " << d.after << '\n';
    }
    else if (d.after.empty())
    {
        std::cout << "- " << d.name << " = " << d.before << '\n';
    }
    else
    {
        std::cout << "~ " << d.name << " = " << d.before << " -> " << d.after
                  << '\n';
    }
}

void print_json(configuration_version version,
                const std::vector<difference>& differences)
{
    json::array list;
    std::ranges::transform(
        differences, std::back_inserter(list),
        [](const difference& d) -> json::value {
            return {{"name", d.name}, {"before", d.before}, {"after", d.after}};
        });
    std::cout << json::object{{"version", version.value()},
                              {"differences", list}}
              << '\n';
}

void print_differences(const configuration& current, const declaration& next,
                       bool as_json)
{
    const auto before = current.version == configuration_version()
                            ? flat_declaration()
                            : flatten(current.content);
    const auto differences = compare(before, flatten(next));
    if (as_json)
    {
        print_json(current.version, differences);
        return;
    }
    std::cout << "compared with version " << current.version.value() << '\n';
    std::ranges::for_each(differences, print);
}

} // namespace

exit_code run_check(const arguments& args)
{
    verb_line line("check", "Validates a declaration file and reports all "
                            "errors. Contacts no daemon.");
    TCLAP::UnlabeledValueArg<std::string> file("file", "Declaration, TOML.",
                                               true, "", "FILE", line.line());
    line.parse(args);
    const auto parsed = load_declaration(file.getValue());
    const auto* const found = std::get_if<findings>(&parsed);
    if (line.json())
    {
        // Same format as the error responses of the operators' API.
        std::cout << (found == nullptr
                          ? R"({"findings":[]})"
                          : to_http(
                                request_refusal{400,
                                                {error_code::invalid_input,
                                                 "the declaration has errors"},
                                                *found})
                                .body)
                  << '\n';
    }
    else if (found != nullptr)
    {
        print_findings(*found);
    }
    else
    {
        const auto& d = std::get<declaration>(parsed);
        std::cout << "no errors: " << d.zones.size() << " zones, "
                  << d.classes.size() << " classes, " << d.teams.size()
                  << " teams, " << d.services.size() << " services\n";
    }
    return found == nullptr ? exit_code::done : exit_code::usage;
}

exit_code run_diff(const arguments& args)
{
    verb_line line("diff", "Shows what a declaration file would change. '+' "
                           "is added, '-' removed, '~' changed.");
    TCLAP::UnlabeledValueArg<std::string> file("file", "Declaration, TOML.",
                                               true, "", "FILE", line.line());
    line.parse(args);
    const auto parsed = load_declaration(file.getValue());
    if (const auto* const found = std::get_if<findings>(&parsed))
    {
        print_findings(*found);
        return exit_code::usage;
    }
    operator_client client = line.client();
    return with_current_configuration(
        client, [&](const configuration& current) {
            print_differences(current, std::get<declaration>(parsed),
                              line.json());
            return exit_code::done;
        });
}

} // namespace hemlockdeal
