// Guards recovery: records must survive their encoding, and records that are
// applied again must change nothing.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "batch/batch_codec.hpp"

using namespace hemlockdeal;

namespace
{

const time_point now{std::chrono::seconds(50)};

job_part new_part(std::uint32_t tasks)
{
    job_part part;
    part.job.id = job_id("job");
    part.job.tasks = tasks;
    part.submitted_at = now;
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        part.tasks.emplace_back().index = i;
    }
    return part;
}

// Records in an order in which an owner could write them.
std::vector<journal_record> some_records(std::uint32_t tasks)
{
    std::vector<journal_record> records{part_bound{new_part(tasks)}};
    std::vector<std::uint32_t> attempts(tasks, 0);
    std::vector<bool> active(tasks, false);
    const auto steps = *rc::gen::inRange(0, 30);
    for (int i = 0; i < steps; ++i)
    {
        const auto index = *rc::gen::inRange(0U, tasks);
        const job_id job("job");
        if (*rc::gen::inRange(0, 12) == 0)
        {
            records.emplace_back(part_cancelled{job});
        }
        else if (!active[index])
        {
            records.emplace_back(start_intended{job, index, ++attempts[index],
                                                worker_id("worker"), 7});
            active[index] = true;
        }
        else if (*rc::gen::arbitrary<bool>())
        {
            records.emplace_back(attempt_checkpointed{
                job, index, attempts[index], "c" + std::to_string(i), 0.5});
        }
        else
        {
            attempt_ended end{job, index, attempts[index], {}, "", 0, "", {}};
            end.how = static_cast<attempt_end>(*rc::gen::inRange(0, 5));
            end.for_good =
                end.how == attempt_end::failed && *rc::gen::inRange(0, 4) == 0;
            records.emplace_back(end);
            active[index] = false;
        }
    }
    return records;
}

std::string text_of(const std::optional<job_part>& part)
{
    return encode(*part, now, commit_id("commit"));
}

} // namespace

// Failure: a recovery that reads a row which a snapshot already contains
// changes the state.
RC_GTEST_PROP(records, applied_again_change_nothing, ())
{
    const auto records = some_records(*rc::gen::inRange(1U, 6U));
    std::optional<job_part> part;
    for (const journal_record& record : records)
    {
        apply_record(part, record);
    }
    const std::string once = text_of(part);
    for (const journal_record& record : records)
    {
        apply_record(part, record);
    }
    RC_ASSERT(text_of(part) == once);
}

// Failure: state is lost between owners because its encoding is not exact.
RC_GTEST_PROP(records, survive_their_encoding, ())
{
    const auto records = some_records(*rc::gen::inRange(1U, 6U));
    const journal_row row{3, records};
    const auto read =
        decode_journal(encode(row, now, commit_id("commit")), now);
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->records.size() == records.size());
    std::optional<job_part> direct;
    std::optional<job_part> decoded;
    for (std::size_t i = 0; i < records.size(); ++i)
    {
        apply_record(direct, records[i]);
        apply_record(decoded, read->records[i]);
    }
    RC_ASSERT(text_of(direct) == text_of(decoded));
    const auto snapshot = decode_part(text_of(direct), now);
    RC_ASSERT(text_of(snapshot) == text_of(direct));
}

// Failure: a malformed row ends the process.
RC_GTEST_PROP(records, malformed_rows_are_rejected, (const std::string& text))
{
    RC_ASSERT(!decode_journal(text, now));
    RC_ASSERT(!decode_part(text, now));
    RC_ASSERT(!decode_shard(text));
    std::string cut = text_of(new_part(3));
    cut.resize(*rc::gen::inRange<std::size_t>(0, cut.size()));
    RC_ASSERT(!decode_part(cut, now));
}

// Failure: a short row that lists more tasks than its job has exhausts the
// memory of each owner of the shard in turn.
TEST(records, rows_with_more_tasks_than_their_job_are_rejected)
{
    const auto with = [](const std::string& tasks, const std::string& ranges) {
        auto text = text_of(new_part(3));
        const auto replace = [&](const std::string& from,
                                 const std::string& to) {
            const auto at = text.find(from);
            ASSERT_NE(at, std::string::npos);
            text.replace(at, from.size(), to);
        };
        replace(R"("tasks":3)", R"("tasks":)" + tasks);
        replace(R"("ranges":[[0,3]])", R"("ranges":)" + ranges);
        return text;
    };
    EXPECT_TRUE(decode_part(with("3", "[[0,1],[2,1]]"), now));
    EXPECT_FALSE(decode_part(with("3", "[[0,4294967295]]"), now));
    EXPECT_FALSE(decode_part(with("3", "[[2,2]]"), now));
    EXPECT_FALSE(decode_part(with("3", "[[0,3],[0,3]]"), now));
    EXPECT_FALSE(decode_part(with("4294967295", "[[0,4294967295]]"), now));
}
