// Path classifier: each request must get the target and the retry rule of its
// own class.
#include <gtest/gtest.h>

#include "request/request.hpp"

using namespace hemlockdeal;

namespace
{

declaration make_declaration()
{
    declaration d;
    for (const char* id : {"general", "receipt"})
    {
        work_class c;
        c.id = class_id(id);
        d.classes.push_back(c);
    }
    service s;
    s.id = service_id("orders");
    s.routes = {{"/", class_id("general")},
                {"/receipt", class_id("receipt")},
                {"/lost", class_id("undeclared")}};
    d.services = {s};
    return d;
}

} // namespace

// Guards against a choice by the order of the routes instead of the prefix
// length.
TEST(path_classifier, longest_prefix_wins)
{
    path_classifier c;
    c.adopt(make_declaration());
    EXPECT_EQ(c.classify("/receipt/7")->work_class, class_id("receipt"));
    EXPECT_EQ(c.classify("/rec")->work_class, class_id("general"));
    EXPECT_EQ(c.classify("receipt"), nullptr);
}

// Guards against requests in flight that lose their rule when the configuration
// changes.
TEST(path_classifier, rules_outlive_the_configuration)
{
    path_classifier c;
    c.adopt(make_declaration());
    const auto rule = c.classify("/receipt");
    c.adopt(declaration());
    EXPECT_EQ(c.classify("/receipt"), nullptr);
    EXPECT_EQ(rule->service, service_id("orders"));
}
