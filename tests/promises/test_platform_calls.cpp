// The platform counts each call that it receives: idle gateways must make few calls, whatever the store contains.
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

BOOST_AUTO_TEST_SUITE(PlatformCalls)

// With an empty store, whose revision is 0, the watchers used to read the store again and again without a pause.
BOOST_AUTO_TEST_CASE(an_empty_store_is_not_read_in_a_loop)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .gatewaysPerZone = 2, .controllers = 0 });
    // By now each gateway has read both key prefixes and waits for changes in its two watches.
    BOOST_REQUIRE(waitUntil([&] { return cluster.get(cluster.objects(), "/control").value("read", 0) >= 8; }));
    auto before = cluster.get(cluster.objects(), "/control").value("read", 0);
    auto startedAt = steadyNow();
    waitUntil([&] { return steadyNow() - startedAt > Milliseconds(1500); });
    auto after = cluster.get(cluster.objects(), "/control").value("read", 0);
    BOOST_CHECK_LE(after - before, 8);
}

BOOST_AUTO_TEST_SUITE_END()
