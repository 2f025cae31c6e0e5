#include "modules/forward/waiting_requests.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

std::map<std::string, ServiceDemand> demandOf(double requestsPerSecond)
{
    return { { "s", { .requestsPerSecond = requestsPerSecond } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(WaitingRequestsTests)

BOOST_AUTO_TEST_CASE(the_share_of_places_follows_the_demand)
{
    asio::io_context context;
    WaitingRequests waiting(context, {});
    BOOST_TEST(waiting.share("s", 4) == 0.25);
    waiting.setDemand(demandOf(50), demandOf(100), 4);
    BOOST_TEST(waiting.share("s", 4) == 0.5);
    waiting.setDemand(demandOf(1), demandOf(1000), 4);
    BOOST_TEST(waiting.share("s", 4) == 0.0625);
    BOOST_TEST(waiting.share("other", 4) == 0.25);
}

// Guards against cut off nodes that each take all places, or a group of them the places of the others.
BOOST_AUTO_TEST_CASE(nodes_that_are_not_heard_keep_their_share_of_the_places)
{
    asio::io_context context;
    WaitingRequests waiting(context, {});
    waiting.setDemand(demandOf(50), demandOf(50), 1);
    BOOST_TEST(waiting.share("s", 7) == 1.0 / 7);
    waiting.setDemand(demandOf(50), demandOf(100), 3);
    BOOST_TEST(waiting.share("s", 6) == 0.25);
    waiting.setDemand(demandOf(50), demandOf(100), 9);
    BOOST_TEST(waiting.share("s", 6) == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
