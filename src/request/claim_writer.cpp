// Claim writer: batches, resends and conflict resolution.
#include "request/claim_writer.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

namespace
{

// About 60 MB if every result has a stored body of the maximum size.
constexpr std::size_t max_queue = 4000;
// A batch is dropped after this many sends, which take a minute or more.
constexpr unsigned max_sends = 300;

table_write to_table_write(const claim_writer::write& w, const commit_id& id)
{
    table_write result{claim_row_key(w.key), w.expected, std::nullopt};
    if (w.row)
    {
        claim_row row = *w.row;
        row.commit = id;
        result.value = to_text(row);
    }
    return result;
}

// True when the row shows that an earlier send of the write took effect.
bool has_taken_effect(const claim_writer::write& w,
                      const commit_conflict::row& row)
{
    if (!w.row || !row.value)
    {
        return !w.row && !row.value;
    }
    const auto current = parse_claim_row(*row.value);
    return current && current->claim == w.row->claim && current->finished;
}

} // namespace

claim_writer::claim_writer(const request_settings& settings)
    : write_interval_(settings.result_interval),
      ids_(settings.vm, settings.process, "request-result")
{}

bool claim_writer::push(write w)
{
    if (queue_.size() >= max_queue)
    {
        return false;
    }
    queue_.push_back(std::move(w));
    return true;
}

void claim_writer::run(time_point now)
{
    if (now < next_send_)
    {
        return;
    }
    if (in_flight_ && resend_pending_)
    {
        resend_pending_ = false;
        ++in_flight_->send_count;
        next_send_ = now + write_interval_;
        commits_.push_back({in_flight_->commit});
        return;
    }
    if (in_flight_ || queue_.empty())
    {
        return;
    }
    batch b;
    b.commit.id = ids_.next();
    while (!queue_.empty() && b.writes.size() < max_writes_per_commit)
    {
        b.commit.writes.push_back(to_table_write(queue_.front(), b.commit.id));
        b.writes.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    commits_.push_back({b.commit});
    in_flight_ = std::move(b);
    next_send_ = now + write_interval_;
}

std::optional<time_point> claim_writer::next_run() const
{
    const bool has_work = in_flight_ ? resend_pending_ : !queue_.empty();
    return has_work ? std::optional(next_send_) : std::nullopt;
}

bool claim_writer::on_commit_outcome(const commit_id& id,
                                     const commit_outcome& outcome,
                                     time_point now)
{
    if (!in_flight_ || in_flight_->commit.id != id)
    {
        return false;
    }
    if (std::holds_alternative<commit_unknown>(outcome) &&
        in_flight_->send_count < max_sends)
    {
        resend_pending_ = true;
        next_send_ = now + write_interval_ * 2;
        return true;
    }
    if (const auto* conflict = std::get_if<commit_conflict>(&outcome))
    {
        resolve_conflict(*conflict);
        return true;
    }
    complete_all();
    return true;
}

void claim_writer::complete_all()
{
    for (const write& w : in_flight_->writes)
    {
        completed_.push_back(w.key);
    }
    in_flight_.reset();
}

// Writes without a conflict are sent again in another commit. That is safe even
// if the first commit took effect: the versions of their rows have then
// changed, and the next commit reports a conflict for them.
void claim_writer::resolve_conflict(const commit_conflict& conflict)
{
    batch b = std::move(*in_flight_);
    in_flight_.reset();
    const auto row_of = [&](const write& w) {
        return std::ranges::find(conflict.rows, claim_row_key(w.key),
                                 &commit_conflict::row::key);
    };
    const bool took_effect = std::ranges::any_of(b.writes, [&](const write& w) {
        const auto row = row_of(w);
        return w.row && row != conflict.rows.end() && has_taken_effect(w, *row);
    });
    for (write& w : b.writes)
    {
        if (took_effect || conflict.rows.empty() ||
            row_of(w) != conflict.rows.end())
        {
            completed_.push_back(w.key);
            continue;
        }
        queue_.push_front(std::move(w));
    }
}

std::vector<send_commit> claim_writer::take_commits()
{
    return std::exchange(commits_, {});
}

std::vector<request_key> claim_writer::take_completed()
{
    return std::exchange(completed_, {});
}

} // namespace hemlockdeal
