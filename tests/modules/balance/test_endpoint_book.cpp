#include "modules/balance/endpoint_book.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(EndpointBooks)

// Found by trials on the bench: a node that had just started refused by times that it only assumed; and where there were too few
// endpoints from the start, nothing was ever seen unqueued, nobody was refused, and everything stayed late.
BOOST_AUTO_TEST_CASE(times_are_trusted_when_they_were_seen_or_nothing_can_be_seen)
{
    SteadyTime start { std::chrono::hours(1) };
    EndpointBook book("z");
    BOOST_TEST(!book.trustsTimes(start));
    EndpointState endpoint;
    book.noteSent({ .promptTokens = 1000 }, endpoint, start);
    BOOST_TEST(!book.trustsTimes(start + Milliseconds(1999)));
    BOOST_TEST(book.trustsTimes(start + Milliseconds(2000)));
    for (int n = 0; n < 20; ++n)
        book.observeFirstEvent(1000, 0.03);
    BOOST_TEST(book.trustsTimes(start + Milliseconds(500)));
}

BOOST_AUTO_TEST_SUITE_END()
