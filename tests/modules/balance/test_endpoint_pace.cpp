#include "modules/balance/endpoint_pace.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

SteadyTime at(int milliseconds) { return SteadyTime(std::chrono::hours(1)) + Milliseconds(milliseconds); }

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointPaces)

BOOST_AUTO_TEST_CASE(usual_differences_do_not_count)
{
    EndpointPace pace;
    for (int n = 0; n < 100; ++n)
        pace.observe(n % 2 == 0 ? 0.5 : 1.6, at(n * 10));
    BOOST_TEST(pace.slowness(at(1000)) == 1);
}

BOOST_AUTO_TEST_CASE(one_slow_answer_tells_little_and_four_tell_enough)
{
    EndpointPace pace;
    pace.observe(4, at(0));
    BOOST_TEST(pace.slowness(at(0)) == 1);
    for (int n = 1; n < 4; ++n)
        pace.observe(4, at(n * 20));
    BOOST_TEST(pace.slowness(at(60)) > 3);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_tells_nothing_is_tried_again)
{
    EndpointPace pace;
    for (int n = 0; n < 20; ++n)
        pace.observe(5, at(n * 10));
    BOOST_TEST(pace.slowness(at(200)) > 4);
    BOOST_TEST(pace.slowness(at(200 + 6000)) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
