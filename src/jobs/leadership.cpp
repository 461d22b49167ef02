// Leader election by the lease row.
#include "jobs/leadership.hpp"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "jobs/json_value.hpp"

namespace hemlockdeal::jobs
{

namespace
{

// Empty if the member is absent or no time.
std::optional<store_time> store_time_in(const boost::json::object& in,
                                        std::string_view member)
{
    const auto* const value = in.if_contains(member);
    return value == nullptr ? std::nullopt : store_time_of(*value);
}

// A longer validity is taken for a malformed one: no VM would ever take the
// lease.
constexpr duration max_stored_validity = std::chrono::seconds(10);

// Empty if the member is absent or no validity.
std::optional<duration> validity_in(const boost::json::object& in,
                                    std::string_view member)
{
    const duration value(integer_in(in, member));
    const bool is_valid = value > duration{} && value <= max_stored_validity;
    return is_valid ? std::optional(value) : std::nullopt;
}

boost::json::object
encode_account_memory(const std::map<account_id, std::uint64_t>& bytes)
{
    boost::json::object out;
    for (const auto& [account, memory] : bytes)
    {
        out[account.value()] = memory;
    }
    return out;
}

// Members that are no numbers are left out.
std::map<account_id, std::uint64_t>
account_memory_in(const boost::json::object& in, std::string_view member)
{
    std::map<account_id, std::uint64_t> out;
    const auto* const found = in.if_contains(member);
    if (found == nullptr || !found->is_object())
    {
        return out;
    }
    for (const auto& entry : found->get_object())
    {
        boost::json::error_code error;
        const auto bytes = entry.value().to_number<std::uint64_t>(error);
        if (!error)
        {
            out.emplace(std::string(entry.key()), bytes);
        }
    }
    return out;
}

} // namespace

std::string encode_lease(const lease_row& row)
{
    boost::json::object out;
    out["e"] = row.epoch;
    out["c"] = row.count;
    out["h"] = row.holder.value();
    out["p"] = row.process;
    out["s"] = row.processor_share;
    out["a"] = row.is_recovery_complete ? 1 : 0;
    out["m"] = row.job_memory;
    if (row.bounds_since > 0)
    {
        out["b"] = row.bounds_since;
    }
    if (row.is_released)
    {
        out["r"] = 1;
    }
    if (row.worker_leases_end)
    {
        out["l"] = row.worker_leases_end->time_since_epoch().count();
    }
    if (row.validity)
    {
        out["v"] = row.validity->count();
    }
    if (row.configuration.value() > 0)
    {
        out["k"] = row.configuration.value();
    }
    if (!row.account_memory.empty())
    {
        out["n"] = encode_account_memory(row.account_memory);
    }
    return boost::json::serialize(out);
}

std::optional<lease_row> decode_lease(std::string_view text)
{
    boost::json::error_code error;
    const auto parsed = boost::json::parse({text.data(), text.size()}, error);
    const auto* const in = error ? nullptr : parsed.if_object();
    if (in == nullptr)
    {
        return std::nullopt;
    }
    lease_row row;
    row.epoch = static_cast<std::uint64_t>(integer_in(*in, "e"));
    row.count = static_cast<std::uint64_t>(integer_in(*in, "c"));
    row.holder = vm_id(text_in(*in, "h"));
    row.process = static_cast<std::uint64_t>(integer_in(*in, "p"));
    row.processor_share = real_in(*in, "s");
    row.is_recovery_complete = integer_in(*in, "a") != 0;
    row.job_memory = static_cast<std::uint64_t>(
        std::max<std::int64_t>(integer_in(*in, "m"), 0));
    row.bounds_since = static_cast<std::uint64_t>(
        std::max<std::int64_t>(integer_in(*in, "b"), 0));
    row.is_released = integer_in(*in, "r") != 0;
    row.worker_leases_end = store_time_in(*in, "l");
    row.validity = validity_in(*in, "v");
    row.configuration = configuration_version(static_cast<std::uint64_t>(
        std::max<std::int64_t>(integer_in(*in, "k"), 0)));
    row.account_memory = account_memory_in(*in, "n");
    return row;
}

leadership::leadership(vm_id self, std::uint64_t process,
                       leadership_options options)
    : self_(std::move(self)), process_(process), options_(options)
{}

void leadership::on_read(const std::optional<lease_row>& row,
                         row_version version, time_point now, duration elapsed)
{
    note_response_time(elapsed);
    if (leads_)
    {
        return;
    }
    const bool has_read_gap = now - last_read_ > options_.max_read_gap;
    if (!has_read_ || version != version_ || has_read_gap || !unchanged_since_)
    {
        unchanged_since_ = now;
    }
    has_read_ = true;
    last_read_ = now;
    version_ = version;
    row_ = row.value_or(lease_row{});
}

void leadership::note_response_time(duration elapsed)
{
    recent_response_time_ =
        std::max(std::min(elapsed, options_.max_response_time),
                 recent_response_time_ * 3 / 4);
}

duration leadership::current_validity() const
{
    return options_.validity + recent_response_time_ * options_.validity_factor;
}

duration leadership::longest_validity() const
{
    return options_.validity +
           options_.max_response_time * options_.validity_factor;
}

duration leadership::required_silence() const
{
    const auto validity = row_.validity.value_or(longest_validity());
    return std::max(options_.takeover_after +
                        recent_response_time_ * options_.takeover_factor,
                    validity + options_.validity_margin);
}

void leadership::on_read_failed()
{
    unchanged_since_.reset();
}

std::optional<lease_write> leadership::takeover(time_point now,
                                                duration extra_wait)
{
    if (leads_ || !has_read_ || !unchanged_since_ || now < abstains_until_)
    {
        return std::nullopt;
    }
    // An earlier process on this VM has ended, and so has its leadership.
    const bool is_own_earlier_process =
        row_.holder == self_ && row_.process != process_;
    const bool is_free =
        row_.epoch == 0 || row_.is_released || is_own_earlier_process;
    const auto required_wait =
        (is_free ? duration{} : required_silence()) + extra_wait;
    if (now - *unchanged_since_ < required_wait)
    {
        return std::nullopt;
    }
    predecessors_ = find_predecessors();
    lease_row next;
    next.epoch = row_.epoch + 1;
    next.count = 1;
    next.holder = self_;
    next.process = process_;
    next.processor_share = options_.processor_share;
    next.bounds_since = row_.bounds_since > 0 ? row_.bounds_since : next.epoch;
    // Holds until this leader has read the jobs.
    next.job_memory = row_.job_memory;
    next.account_memory = row_.account_memory;
    next.validity = current_validity();
    next.configuration = row_.configuration;
    return lease_write{version_, next};
}

earlier_leaders leadership::find_predecessors() const
{
    if (row_.is_released && row_.worker_leases_end)
    {
        return {true, row_.bounds_since, row_.worker_leases_end};
    }
    // An earlier process on this VM has ended. The leaders before it granted
    // no lease that is left if its recovery was complete.
    const bool is_own_earlier_process =
        row_.holder == self_ && row_.process != process_;
    return {is_own_earlier_process && row_.is_recovery_complete,
            row_.bounds_since,
            {}};
}

lease_write leadership::renewal() const
{
    auto next = row_;
    ++next.count;
    next.validity = current_validity();
    return {version_, next};
}

lease_write
leadership::release(std::optional<store_time> worker_leases_end) const
{
    auto write = renewal();
    write.row.is_released = true;
    write.row.worker_leases_end = worker_leases_end;
    return write;
}

void leadership::on_written(const lease_write& write, row_version version,
                            time_point sent_at, duration elapsed)
{
    note_response_time(elapsed);
    row_ = write.row;
    version_ = version;
    has_read_ = true;
    leads_ = !write.row.is_released;
    valid_until_ =
        leads_ ? sent_at + write.row.validity.value_or(options_.validity)
               : time_point{};
    if (!leads_)
    {
        unchanged_since_.reset();
        abstains_until_ = sent_at + options_.abstention;
    }
}

bool leadership::on_conflict(const lease_write& write,
                             const std::optional<lease_row>& row,
                             row_version version, time_point sent_at)
{
    if (row && *row == write.row)
    {
        on_written(write, version, sent_at);
        return true;
    }
    if (version == write.expected)
    {
        // The write has not taken effect; it may be sent again.
        return false;
    }
    leads_ = false;
    valid_until_ = {};
    has_read_ = true;
    row_ = row.value_or(lease_row{});
    version_ = version;
    unchanged_since_.reset();
    return false;
}

double leadership::processor_deficit() const
{
    return row_.processor_share <= 0.0
               ? 0.0
               : std::max(0.0, 1.0 - options_.processor_share /
                                         row_.processor_share);
}

bool leadership::is_valid(time_point now) const
{
    return leads_ && now < valid_until_;
}

void leadership::relinquish(time_point now)
{
    leads_ = false;
    valid_until_ = {};
    unchanged_since_.reset();
    abstains_until_ = now + options_.abstention;
}

} // namespace hemlockdeal::jobs
