// Matches answers of reads to their handlers.
#include "batch/read_sender.hpp"

#include <memory>

namespace hemlockdeal
{

namespace
{

constexpr std::uint32_t page_size = 500;

} // namespace

void read_sender::row(std::string key, row_handler handler)
{
    const std::uint64_t number = next_number_++;
    pending_.emplace(number, std::move(handler));
    actions_.emplace_back(read_row{number, std::move(key)});
}

void read_sender::rows(std::string prefix, std::string after,
                       std::uint32_t limit, page_handler handler)
{
    const std::uint64_t number = next_number_++;
    pending_.emplace(number, std::move(handler));
    actions_.emplace_back(
        read_rows{number, std::move(prefix), std::move(after), limit});
}

void read_sender::all_rows(std::string prefix, all_rows_handler handler)
{
    read_on(std::make_shared<partial_read>(
        partial_read{std::move(prefix), std::move(handler), {}}));
}

void read_sender::read_on(const std::shared_ptr<partial_read>& partial)
{
    const std::string after =
        partial->rows.empty() ? "" : partial->rows.back().key;
    rows(partial->prefix, after, page_size,
         [this, partial](const page_answer& answer, time_point now) {
             take_page(partial, answer, now);
         });
}

void read_sender::take_page(const std::shared_ptr<partial_read>& partial,
                            const page_answer& answer, time_point now)
{
    if (!is_ok(answer))
    {
        partial->handler(error_of(answer), now);
        return;
    }
    const table_page& page = value_of(answer);
    partial->rows.insert(partial->rows.end(), page.rows.begin(),
                         page.rows.end());
    if (page.more && !page.rows.empty())
    {
        read_on(partial);
        return;
    }
    partial->handler(std::move(partial->rows), now);
}

void read_sender::on_row(std::uint64_t number, const row_answer& answer,
                         time_point now)
{
    const auto found = pending_.find(number);
    if (found == pending_.end() ||
        !std::holds_alternative<row_handler>(found->second))
    {
        return;
    }
    const auto handler = std::get<row_handler>(found->second);
    pending_.erase(found);
    handler(answer, now);
}

void read_sender::on_rows(std::uint64_t number, const page_answer& answer,
                          time_point now)
{
    const auto found = pending_.find(number);
    if (found == pending_.end() ||
        !std::holds_alternative<page_handler>(found->second))
    {
        return;
    }
    const auto handler = std::get<page_handler>(found->second);
    pending_.erase(found);
    handler(answer, now);
}

} // namespace hemlockdeal
