#include "modules/balance/endpoint_backoffs.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

const SteadyTime start { std::chrono::hours(1) };
const EndpointIncarnation endpoint { .id = "one", .born = 1 };

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointRestsTests)

BOOST_AUTO_TEST_CASE(the_latest_end_of_a_backoff_applies)
{
    EndpointBackoffs backoffs;
    backoffs.start(endpoint, Milliseconds(3000), start);
    backoffs.start(endpoint, Milliseconds(500), start + Milliseconds(100));
    backoffs.start(endpoint, Milliseconds(0), start + Milliseconds(200));
    BOOST_TEST(backoffs.isInBackoff(endpoint, start + Milliseconds(2999)));
    BOOST_TEST(!backoffs.isInBackoff(endpoint, start + Milliseconds(3000)));
    backoffs.start(endpoint, Milliseconds(3000), start + Milliseconds(2000));
    BOOST_TEST(backoffs.isInBackoff(endpoint, start + Milliseconds(4999)));
}

BOOST_AUTO_TEST_CASE(a_backoff_does_not_apply_to_another_incarnation)
{
    EndpointBackoffs backoffs;
    backoffs.start(endpoint, Milliseconds(3000), start);
    BOOST_TEST(!backoffs.isInBackoff({ .id = "one", .born = 2 }, start));
    BOOST_TEST(backoffs.count(start) == 1U);
    BOOST_TEST(backoffs.count(start + Milliseconds(3000)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
