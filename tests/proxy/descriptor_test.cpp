// Tests of the callers' listener without free file descriptors.
#include <optional>

#include "proxy/test_bed.hpp"
#include "support/descriptor_hog.hpp"

using namespace hemlockdeal;

// Failure: after accepting failed once for want of descriptors, the listener
// never accepts again, or repeats the call without a wait.
TEST(caller_fault, accepting_goes_on_after_descriptors_ran_out)
{
    test_bed bed({});
    test_caller first(bed.port());
    ASSERT_TRUE(is_response_to(first.round_trip("GET", "/read", "r1"), "r1"));
    test_caller second(bed.port());
    {
        const descriptor_hog hog;
        second.send_request("GET", "/read", "r2");
        run_for(500);
        EXPECT_EQ(second.responses(), 0U);
        EXPECT_TRUE(
            is_response_to(first.round_trip("GET", "/read", "r3"), "r3"));
        EXPECT_GE(bed.proxy().failed_accepts(), 1U);
        EXPECT_LE(bed.proxy().failed_accepts(), 6U);
    }
    EXPECT_TRUE(is_response_to(second.next_response(), "r2"));
    test_caller third(bed.port());
    EXPECT_TRUE(is_response_to(third.round_trip("GET", "/read", "r4"), "r4"));
}

// Failure: if accepting fails for the first connection already, the listener
// never accepts any.
TEST(caller_fault, first_connection_without_descriptors_is_accepted_later)
{
    test_bed bed({});
    test_caller caller(bed.port());
    {
        const descriptor_hog hog;
        run_for(300);
    }
    EXPECT_TRUE(is_response_to(caller.round_trip("GET", "/read", "r1"), "r1"));
}
