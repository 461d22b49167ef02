// Guards against one row that keeps the rows after it from being handled.
#include <stdexcept>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "node/node.hpp"

using namespace hemlockdeal;
using namespace hemlockdeal::node;

// Failure: the jobs that were stored after a row that cannot be handled are
// not scheduled until the next leader reads them, and it stops there too.
TEST(row_barrier, rows_after_a_failing_one_are_handled)
{
    std::vector<stored_row> rows(3);
    rows[0].key = "first";
    rows[1].key = "failing";
    rows[2].key = "last";
    std::vector<std::string> handled;
    handle_each_row(rows, [&](const stored_row& row) {
        if (row.key == "failing")
        {
            throw std::length_error("too long");
        }
        handled.push_back(row.key);
    });
    EXPECT_EQ(handled, (std::vector<std::string>{"first", "last"}));
}
