// Sends reads of table rows and calls the handler that waits for each answer.
// Each read is answered in the end, if only with an error, so that none has a
// time limit here: the rows of a large page may be on their way for long.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "batch/batch_action.hpp"
#include "core/core.hpp"

namespace hemlockdeal
{

class read_sender
{
public:
    using row_answer = result<std::optional<table_row>>;
    using page_answer = result<table_page>;
    using row_handler = std::function<void(const row_answer&, time_point)>;
    using page_handler = std::function<void(const page_answer&, time_point)>;
    using all_rows_handler =
        std::function<void(const result<std::vector<table_row>>&, time_point)>;

    explicit read_sender(std::vector<batch_action>& actions) : actions_(actions)
    {}

    void row(std::string key, row_handler handler);
    void rows(std::string prefix, std::string after, std::uint32_t limit,
              page_handler handler);
    // Reads all rows with the prefix, page by page.
    void all_rows(std::string prefix, all_rows_handler handler);

    void on_row(std::uint64_t number, const row_answer& answer, time_point now);
    void on_rows(std::uint64_t number, const page_answer& answer,
                 time_point now);

private:
    // A read of all rows with a prefix, and the rows of its pages so far.
    struct partial_read
    {
        std::string prefix;
        all_rows_handler handler;
        std::vector<table_row> rows;
    };

    void read_on(const std::shared_ptr<partial_read>& partial);
    void take_page(const std::shared_ptr<partial_read>& partial,
                   const page_answer& answer, time_point now);

    using any_handler = std::variant<row_handler, page_handler>;

    std::vector<batch_action>& actions_;
    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, any_handler> pending_;
};

} // namespace hemlockdeal
