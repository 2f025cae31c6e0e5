// The platform counts each call: an idle site makes few of them, whatever the store holds.
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

BOOST_AUTO_TEST_SUITE(PlatformCalls)

// Found by the tests of leaving endpoints: with an empty store, whose revision is 0, the watchers read it again without a pause.
BOOST_AUTO_TEST_CASE(an_empty_store_is_not_read_in_a_loop)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .gatewaysPerZone = 2, .controllers = 0 });
    // Each gateway has read both prefixes and waits in its two watches.
    BOOST_REQUIRE(waitUntil([&] { return cluster.get(cluster.objects(), "/control").value("read", 0) >= 8; }));
    auto before = cluster.get(cluster.objects(), "/control").value("read", 0);
    auto began = steadyNow();
    waitUntil([&] { return steadyNow() - began > Milliseconds(1500); });
    auto after = cluster.get(cluster.objects(), "/control").value("read", 0);
    BOOST_CHECK_LE(after - before, 8);
}

BOOST_AUTO_TEST_SUITE_END()
