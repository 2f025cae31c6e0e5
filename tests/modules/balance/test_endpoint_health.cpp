#include "modules/balance/endpoint_health.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

const SteadyTime start { std::chrono::hours(1) };

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointHealthTests)

// Guards against choosing an endpoint again at once that refused a request within a millisecond, without a backoff time, and therefore
// looked like the least busy one.
BOOST_AUTO_TEST_CASE(an_endpoint_that_refuses_requests_is_paused)
{
    EndpointHealth health({ .firstPause = Milliseconds(100), .longestPause = Milliseconds(300) });
    auto now = start;
    for (int pause : { 100, 200, 300, 300 }) {
        health.onRequestRefused(now);
        BOOST_TEST(!health.isUsable(now + Milliseconds(pause - 1)));
        now += Milliseconds(pause);
        BOOST_TEST(health.isUsable(now));
    }
    BOOST_TEST(health.failures() == 0);
    health.onSuccess();
    health.onRequestRefused(now);
    BOOST_TEST(health.isUsable(now + Milliseconds(100)));
}

BOOST_AUTO_TEST_SUITE_END()
