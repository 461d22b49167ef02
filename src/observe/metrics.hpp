// Metrics of a process and their export in Prometheus text format.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "observe/latency_histogram.hpp"

namespace hemlockdeal
{

// Label names and values, in output order.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

// Monotonic counter. Thread-safe.
class metric_counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        value_.fetch_add(amount, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_ = 0;
};

// Thread-safe.
class metric_gauge
{
public:
    void set(double value) { value_.store(value, std::memory_order_relaxed); }
    double value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<double> value_ = 0.0;
};

// Metrics registry, keyed by name and labels. A metric is created on first use
// and lives as long as the registry, so callers may keep the reference to avoid
// the look-up. Throws std::logic_error if a name is used for two metric types.
class metrics
{
public:
    metric_counter& counter(const std::string& name, std::string_view help,
                            const metric_labels& labels = {});
    metric_gauge& gauge(const std::string& name, std::string_view help,
                        const metric_labels& labels = {});
    latency_histogram& latency(const std::string& name, std::string_view help,
                               const metric_labels& labels = {},
                               latency_scale scale = latency_scale::requests);

    // All metrics in Prometheus text format, version 0.0.4.
    std::string to_prometheus() const;

private:
    // Metrics contain atomics and are not movable; map nodes have stable
    // addresses.
    template <typename Metric>
    using series = std::map<metric_labels, Metric>;

    struct family
    {
        std::string help;
        std::variant<std::monostate, series<metric_counter>,
                     series<metric_gauge>, series<latency_histogram>>
            members;
    };

    template <typename Metric, typename... Arguments>
    Metric& find_or_create(const std::string& name, std::string_view help,
                           const metric_labels& labels, Arguments... arguments);

    mutable std::mutex mutex_;
    std::map<std::string, family> families_;
};

} // namespace hemlockdeal
