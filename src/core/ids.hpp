// Strong types for the IDs and counters that cross module boundaries, so that a
// task ID cannot be passed where a worker ID is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace hemlockdeal
{

// A text ID; Tag makes the types distinct.
template <typename Tag>
class text_id
{
public:
    text_id() = default;
    explicit text_id(std::string value) : value_(std::move(value)) {}

    const std::string& value() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend auto operator<=>(const text_id&, const text_id&) = default;
    friend bool operator==(const text_id&, const text_id&) = default;

private:
    std::string value_;
};

// A monotonically increasing number; Tag makes the types distinct.
template <typename Tag>
class counter
{
public:
    constexpr counter() = default;
    constexpr explicit counter(std::uint64_t value) : value_(value) {}

    constexpr std::uint64_t value() const { return value_; }
    constexpr counter next() const { return counter(value_ + 1); }

    friend constexpr auto operator<=>(const counter&, const counter&) = default;
    friend constexpr bool operator==(const counter&, const counter&) = default;

private:
    std::uint64_t value_ = 0;
};

using vm_id = text_id<struct vm_tag>;
using worker_id = text_id<struct worker_tag>;
using instance_id = text_id<struct instance_tag>;
using availability_zone_id = text_id<struct availability_zone_tag>;
using region_id = text_id<struct region_tag>;
using rack_id = text_id<struct rack_tag>;
using class_id = text_id<struct class_tag>;
using team_id = text_id<struct team_tag>;
using account_id = text_id<struct account_tag>;
using service_id = text_id<struct service_tag>;
using job_id = text_id<struct job_tag>;
using commit_id = text_id<struct commit_tag>;
using request_key = text_id<struct request_key_tag>;

using epoch = counter<struct epoch_tag>;
using incarnation = counter<struct incarnation_tag>;
using configuration_version = counter<struct configuration_tag>;
using row_version = counter<struct row_tag>;
using attempt = counter<struct attempt_tag>;
using request_id = counter<struct request_tag>;

// A shard of the workers of one availability zone.
struct shard_id
{
    availability_zone_id zone;
    std::uint32_t number = 0;

    friend auto operator<=>(const shard_id&, const shard_id&) = default;
};

// A task is identified by its job and its index within the job.
struct task_id
{
    job_id job;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_id&, const task_id&) = default;
};

// 64-bit FNV-1a with a final mix. All daemons must compute the same shards and
// rendezvous order, so std::hash, which may differ between builds, is not used.
constexpr std::uint64_t
stable_hash(std::string_view text, std::uint64_t seed = 14695981039346656037ULL)
{
    for (const char c : text)
    {
        seed ^= static_cast<unsigned char>(c);
        seed *= 1099511628211ULL;
    }
    // FNV-1a diffuses the last bytes poorly; the final mix compensates for it.
    seed ^= seed >> 32U;
    seed *= 0xd6e8feb86659fd93ULL;
    seed ^= seed >> 32U;
    return seed;
}

} // namespace hemlockdeal

template <typename Tag>
struct std::hash<hemlockdeal::text_id<Tag>>
{
    std::size_t operator()(const hemlockdeal::text_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};

template <>
struct std::hash<hemlockdeal::task_id>
{
    std::size_t operator()(const hemlockdeal::task_id& id) const noexcept
    {
        return std::hash<std::string>{}(id.job.value()) * 31U + id.index;
    }
};
