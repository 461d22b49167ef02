// Metrics registry and Prometheus text format.
#include "observe/metrics.hpp"

#include <locale>
#include <ostream>
#include <sstream>
#include <stdexcept>

#include "observe/utf8.hpp"

namespace hemlockdeal
{

namespace
{

std::string escaped(std::string_view text, bool in_label)
{
    std::string out;
    for (const char c : valid_utf8(text))
    {
        if (c == '\\' || (in_label && c == '"'))
        {
            out += '\\';
        }
        if (c == '\n')
        {
            out += "\\n";
            continue;
        }
        out += c;
    }
    return out;
}

std::string to_text(const metric_labels& labels)
{
    std::string out;
    for (const auto& [name, value] : labels)
    {
        out += out.empty() ? "" : ",";
        out += name + "=\"" + escaped(value, true) + '"';
    }
    return out.empty() ? out : '{' + out + '}';
}

void print(std::ostream& out, const std::string& name,
           const metric_labels& labels, const metric_counter& counter)
{
    out << name << to_text(labels) << ' ' << counter.value() << '\n';
}

void print(std::ostream& out, const std::string& name,
           const metric_labels& labels, const metric_gauge& gauge)
{
    out << name << to_text(labels) << ' ' << gauge.value() << '\n';
}

void print(std::ostream& out, const std::string& name,
           const metric_labels& labels, const latency_histogram& histogram)
{
    const auto summary = histogram.summarize();
    const auto print_bucket = [&](const std::string& bound,
                                  std::uint64_t count) {
        metric_labels with_bound = labels;
        with_bound.emplace_back("le", bound);
        out << name << "_bucket" << to_text(with_bound) << ' ' << count << '\n';
    };
    for (const auto& bucket : summary.buckets)
    {
        std::ostringstream bound;
        bound.imbue(std::locale::classic());
        bound << bucket.upper_seconds;
        print_bucket(bound.str(), bucket.count);
    }
    print_bucket("+Inf", summary.count);
    out << name << "_sum" << to_text(labels) << ' ' << summary.sum_seconds
        << '\n'
        << name << "_count" << to_text(labels) << ' ' << summary.count << '\n';
}

template <typename Metric>
constexpr std::string_view type_name = "histogram";
template <>
constexpr std::string_view type_name<metric_counter> = "counter";
template <>
constexpr std::string_view type_name<metric_gauge> = "gauge";

} // namespace

template <typename Metric, typename... Arguments>
Metric& metrics::find_or_create(const std::string& name, std::string_view help,
                                const metric_labels& labels,
                                Arguments... arguments)
{
    const std::scoped_lock lock(mutex_);
    family& metric_family = families_[name];
    if (std::holds_alternative<std::monostate>(metric_family.members))
    {
        metric_family.help = help;
        metric_family.members.emplace<series<Metric>>();
    }
    auto* const members = std::get_if<series<Metric>>(&metric_family.members);
    if (members == nullptr)
    {
        throw std::logic_error("the metric '" + name +
                               "' is used as two kinds of metric");
    }
    return members->try_emplace(labels, arguments...).first->second;
}

metric_counter& metrics::counter(const std::string& name, std::string_view help,
                                 const metric_labels& labels)
{
    return find_or_create<metric_counter>(name, help, labels);
}

metric_gauge& metrics::gauge(const std::string& name, std::string_view help,
                             const metric_labels& labels)
{
    return find_or_create<metric_gauge>(name, help, labels);
}

latency_histogram& metrics::latency(const std::string& name,
                                    std::string_view help,
                                    const metric_labels& labels,
                                    latency_scale scale)
{
    return find_or_create<latency_histogram>(name, help, labels, scale);
}

std::string metrics::to_prometheus() const
{
    std::ostringstream out;
    out.imbue(std::locale::classic());
    // The default of 6 digits would round gauges that hold byte counts.
    out.precision(15);
    const auto print_series = [&](const std::string& name,
                                  const auto& members) {
        using series_type = std::decay_t<decltype(members)>;
        if constexpr (!std::is_same_v<series_type, std::monostate>)
        {
            using metric_type = typename series_type::mapped_type;
            out << "# TYPE " << name << ' ' << type_name<metric_type> << '\n';
            for (const auto& [labels, metric] : members)
            {
                print(out, name, labels, metric);
            }
        }
    };
    const std::scoped_lock lock(mutex_);
    for (const auto& [name, entry] : families_)
    {
        out << "# HELP " << name << ' ' << escaped(entry.help, false) << '\n';
        const std::string& family_name = name;
        std::visit(
            [&](const auto& members) { print_series(family_name, members); },
            entry.members);
    }
    return std::move(out).str();
}

} // namespace hemlockdeal
