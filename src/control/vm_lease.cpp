// Renews the VM's lease. A commit whose response was lost is recognized by its
// ID in the stored row.
#include "control/vm_lease.hpp"

#include <utility>

#include <boost/json.hpp>

namespace hemlockdeal
{

std::string to_text(const lease_row& row)
{
    const boost::json::object object{{"incarnation", row.holder.value()},
                                     {"counter", row.counter},
                                     {"revoked_by", row.revoked_by},
                                     {"commit", row.commit.value()}};
    return boost::json::serialize(object);
}

result<lease_row> parse_lease_row(const std::string& text)
{
    boost::system::error_code failure;
    const auto parsed = boost::json::parse(text, failure);
    const auto* object = failure ? nullptr : parsed.if_object();
    if (object == nullptr)
    {
        return error{error_code::invalid_input,
                     "the lease row is not a JSON object"};
    }
    try
    {
        lease_row row;
        row.holder =
            incarnation(object->at("incarnation").to_number<std::uint64_t>());
        row.counter = object->at("counter").to_number<std::uint64_t>();
        row.revoked_by =
            boost::json::value_to<std::string>(object->at("revoked_by"));
        row.commit =
            commit_id(boost::json::value_to<std::string>(object->at("commit")));
        return row;
    }
    catch (const std::exception& e)
    {
        return error{error_code::invalid_input,
                     std::string("the lease row is not valid: ") + e.what()};
    }
}

vm_lease::vm_lease(vm_id vm, incarnation first, lease_settings settings)
    : vm_(std::move(vm)), incarnation_(first), settings_(settings)
{}

bool vm_lease::valid(time_point now) const
{
    return valid_until_ && now < *valid_until_;
}

std::optional<table_commit> vm_lease::next_commit(time_point now)
{
    if (superseded_ || now < next_action_ || (pending_ && pending_->in_flight))
    {
        return std::nullopt;
    }
    if (!pending_)
    {
        pending_ = pending{make_commit(), now, false};
    }
    pending_->in_flight = true;
    return pending_->commit;
}

table_commit vm_lease::make_commit()
{
    ++counter_;
    lease_row row;
    row.holder = incarnation_;
    row.counter = counter_;
    row.commit =
        commit_id(vm_.value() + ":" + std::to_string(incarnation_.value()) +
                  ":lease:" + std::to_string(counter_));
    // Never expect_any: a claim that is resent after its response was lost
    // would then undo a revocation made in the meantime.
    table_expectation expected = expect_absent{};
    if (expected_version_ != row_version())
    {
        expected = expected_version_;
    }
    return table_commit{
        row.commit, {}, {table_write{lease_key(vm_), expected, to_text(row)}}};
}

void vm_lease::on_outcome(const commit_id& id, const commit_outcome& outcome,
                          time_point now)
{
    if (!pending_ || pending_->commit.id != id)
    {
        return;
    }
    if (std::holds_alternative<commit_unknown>(outcome))
    {
        pending_->in_flight = false;
        next_action_ = now + settings_.retry_interval;
        return;
    }
    if (const auto* done = std::get_if<commit_done>(&outcome))
    {
        const auto version =
            done->versions.empty() ? row_version() : done->versions.front();
        on_renewed(version, pending_->first_sent, now);
        return;
    }
    const auto& rows = std::get<commit_conflict>(outcome).rows;
    if (rows.empty())
    {
        on_lost(std::nullopt, row_version(), now);
        return;
    }
    const auto& row = rows.front();
    if (row.value)
    {
        const auto parsed = parse_lease_row(*row.value);
        if (is_ok(parsed) && value_of(parsed).commit == id &&
            value_of(parsed).revoked_by.empty())
        {
            // An earlier attempt was committed and its response was lost.
            on_renewed(row.version, pending_->first_sent, now);
            return;
        }
    }
    on_lost(row.value, row.version, now);
}

void vm_lease::on_renewed(row_version version, time_point sent_at,
                          time_point now)
{
    expected_version_ = version;
    valid_until_ = sent_at + settings_.validity;
    pending_.reset();
    next_action_ = std::max(now, sent_at + settings_.renew_interval);
}

void vm_lease::on_lost(const std::optional<std::string>& row_value,
                       row_version version, time_point now)
{
    pending_.reset();
    const auto had_lease = valid_until_.has_value();
    valid_until_.reset();
    expected_version_ = row_value ? version : row_version();
    next_action_ = now;
    const auto parsed =
        row_value
            ? parse_lease_row(*row_value)
            : result<lease_row>(error{error_code::not_found, "no lease row"});
    const auto holder = is_ok(parsed) ? value_of(parsed).holder : incarnation();
    superseded_ = holder > incarnation_;
    // A row of an earlier process is replaced without a new incarnation. After
    // a lost lease the incarnation is incremented, so that shards held under
    // the old one do not count as still owned.
    if (had_lease || holder == incarnation_)
    {
        incarnation_ = incarnation_.next();
    }
}

} // namespace hemlockdeal
