// A row store in memory whose answers the test gives, late or never.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "node/node.hpp"

namespace hemlockdeal::node::test
{

enum class store_mood
{
    answers,
    // Refuses everything with a word.
    refuses,
    // Carries writes out and loses the answers.
    loses_answers,
    // Carries nothing out and gives no answer.
    is_silent
};

class fake_store
{
public:
    store_mood mood = store_mood::answers;
    std::size_t calls = 0;

    void transact(const transaction& t, duration /*timeout*/,
                  const std::function<void(transaction_outcome)>& answer)
    {
        ++calls;
        if (mood == store_mood::refuses)
        {
            answer(not_done{"refused"});
            return;
        }
        if (mood == store_mood::is_silent)
        {
            answer(outcome_unknown{"no answer"});
            return;
        }
        auto outcome = apply(t);
        if (mood == store_mood::loses_answers)
        {
            answer(outcome_unknown{"no answer"});
            return;
        }
        answer(std::move(outcome));
    }

    void read(const row_range& range, duration /*timeout*/,
              const std::function<void(read_outcome)>& answer)
    {
        ++calls;
        if (mood != store_mood::answers)
        {
            answer(not_done{"refused"});
            return;
        }
        read_rows out;
        out.newest = newest_;
        for (const auto& [name, row] : rows_)
        {
            const bool fits = row.table == range.table &&
                              row.part == range.part && row.key >= range.from &&
                              (range.to.empty() || row.key < range.to);
            if (fits && out.rows.size() < range.limit)
            {
                out.rows.push_back(row);
            }
        }
        answer(std::move(out));
    }

    void feed(const std::string& /*table*/, row_version /*after*/,
              duration /*wait*/,
              const std::function<void(feed_outcome)>& answer)
    {
        ++calls;
        answer(not_done{"not used"});
    }

    const std::map<std::string, stored_row>& rows() const { return rows_; }

private:
    static std::string name_of(const std::string& table,
                               const std::string& part, const std::string& key)
    {
        return table + '/' + part + '/' + key;
    }

    transaction_outcome apply(const transaction& t)
    {
        for (const auto& condition : t.conditions)
        {
            const auto row =
                rows_.find(name_of(condition.table, t.part, condition.key));
            const auto version =
                row == rows_.end() ? row_version(0) : row->second.version;
            if (version != condition.version)
            {
                return conflict{};
            }
        }
        newest_ = newest_.next();
        for (const auto& write : t.writes)
        {
            rows_[name_of(write.table, t.part, write.key)] = {
                write.table, t.part, write.key, write.value, newest_, false};
        }
        return committed{newest_};
    }

    std::map<std::string, stored_row> rows_;
    row_version newest_{1};
};

// Runs calls when the test moves the clock on.
class test_clock
{
public:
    time_point now{std::chrono::seconds(100)};

    void later(duration delay, std::function<void()> call)
    {
        due_.emplace(now + delay, std::move(call));
    }

    void pass(duration time)
    {
        const auto end = now + time;
        while (!due_.empty() && due_.begin()->first <= end)
        {
            now = std::max(now, due_.begin()->first);
            const auto call = due_.begin()->second;
            due_.erase(due_.begin());
            call();
        }
        now = end;
    }

private:
    std::multimap<time_point, std::function<void()>> due_;
};

} // namespace hemlockdeal::node::test
