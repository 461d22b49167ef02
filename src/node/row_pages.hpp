// Reads the rows of a range page by page.
#pragma once

#include <algorithm>
#include <utility>

#include "node/store_message.hpp"

namespace hemlockdeal::node
{

// The next page begins with the last key that the page before named, whose row
// is removed from it. Keys of other programs may hold any characters, so that
// the key that follows directly would need a NUL character, or could be too
// long.
class row_pages
{
public:
    explicit row_pages(row_range range) : range_(std::move(range)) {}

    // The range to read next.
    const row_range& range() const { return range_; }

    // Returns the rows that are new. `has_more` is false for the last page. A
    // page that names no key to go on from is an error and must be read again:
    // taken for the last one, it would hide the rows after it.
    read_outcome take(read_rows page)
    {
        const bool has_later_key = is_continued_ ? page.last_key > range_.from
                                                 : !page.last_key.empty();
        if (page.has_more && !has_later_key)
        {
            return not_done{"page of rows names no key to go on from"};
        }
        if (is_continued_ && !page.rows.empty() &&
            page.rows.front().key == range_.from)
        {
            page.rows.erase(page.rows.begin());
        }
        if (page.has_more)
        {
            range_.from = page.last_key;
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
