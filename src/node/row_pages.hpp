// Reads the rows of a range page by page.
#pragma once

#include <algorithm>
#include <utility>

#include "node/store_message.hpp"

namespace hemlockdeal::node
{

// The next page begins with the last row of the page before, which is removed
// from it. Keys of other programs may hold any characters, so that the key that
// follows directly would need a NUL character, or could be too long.
class row_pages
{
public:
    explicit row_pages(row_range range) : range_(std::move(range)) {}

    // The range to read next.
    const row_range& range() const { return range_; }

    // Returns the rows that are new. `has_more` is false for the last page.
    read_rows take(read_rows page)
    {
        if (is_continued_ && !page.rows.empty() &&
            page.rows.front().key == range_.from)
        {
            page.rows.erase(page.rows.begin());
        }
        page.has_more = page.has_more && !page.rows.empty();
        if (page.has_more)
        {
            range_.from = page.rows.back().key;
            // A smaller page would hold only the repeated row.
            range_.limit = std::max<std::size_t>(range_.limit, 2);
            is_continued_ = true;
        }
        return page;
    }

private:
    row_range range_;
    bool is_continued_ = false;
};

} // namespace hemlockdeal::node
