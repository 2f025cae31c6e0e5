// Measures how soon all nodes of a simulated fleet block a request that ends endpoints, with relay nodes, datagram losses and restarts.
#include "tests/modules/peers/fleet_simulation.h"
#include <boost/test/unit_test.hpp>
#include <iostream>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr RequestDigest request { .team = 1, .content = 17 };
// Nodes that are connected to the others have to block the request within this time, which the platform allows for updates to spread.
constexpr Milliseconds spreadTime { 3000 };

unsigned nodesBlocking(FleetSimulation& fleet)
{
    return static_cast<unsigned>(std::count_if(fleet.nodes().begin(), fleet.nodes().end(),
        [&](const auto& it) { return it.isUp && it.suspects->verdict(request, fleet.now()) == SuspectVerdict::Blocked; }));
}

// Simulated time until `nodes` nodes block the request, in steps of 10 ms; `spreadTime` if they do not by then.
Milliseconds timeUntilBlocked(FleetSimulation& fleet, unsigned nodes)
{
    constexpr Milliseconds step { 10 };
    Milliseconds waited { 0 };
    while (nodesBlocking(fleet) < nodes && waited < spreadTime) {
        fleet.run(step);
        waited += step;
    }
    return waited;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SuspectsInFleet)

// With periodic aggregates alone, without urgent notices, it took up to 0.9 s, during which clients that repeat the request end more
// endpoints.
BOOST_AUTO_TEST_CASE(three_hundred_nodes_block_the_request_soon)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        FleetSimulation fleet({ .nodes = 300, .seed = seed, .lossFraction = 0.02 });
        fleet.run(Milliseconds(5000));
        fleet.endEndpointDuring(1, request, 11);
        fleet.run(Milliseconds(300));
        fleet.endEndpointDuring(44, request, 12);
        fleet.run(Milliseconds(300));
        fleet.endEndpointDuring(299, request, 13);
        auto most = timeUntilBlocked(fleet, 270);
        auto all = most + timeUntilBlocked(fleet, 300);
        std::cout << "300 nodes, seed " << seed << ": nine in ten know after " << most.count() << " ms, all after " << all.count() << " ms" << std::endl;
        BOOST_TEST(most.count() <= 250);
        BOOST_TEST(all.count() < spreadTime.count());
    }
}

// Three nodes of different zones each detect one ended endpoint at the same moment, without knowing of the others.
BOOST_AUTO_TEST_CASE(endpoint_failures_at_the_same_moment_add_up)
{
    FleetSimulation fleet({ .nodes = 300 });
    fleet.run(Milliseconds(5000));
    for (unsigned n : { 1U, 44U, 299U })
        fleet.endEndpointDuring(n, request, n);
    BOOST_TEST(timeUntilBlocked(fleet, 300).count() < spreadTime.count());
}

BOOST_AUTO_TEST_CASE(a_node_that_was_cut_off_or_restarts_is_informed)
{
    FleetSimulation fleet({ .nodes = 300 });
    fleet.run(Milliseconds(5000));
    fleet.nodes()[7].isCutOff = true;
    fleet.kill(8);
    for (unsigned n : { 1U, 44U, 299U })
        fleet.endEndpointDuring(n, request, n);
    fleet.run(Milliseconds(20000));
    BOOST_TEST(nodesBlocking(fleet) == 298U);
    fleet.nodes()[7].isCutOff = false;
    fleet.restart(8);
    BOOST_TEST(timeUntilBlocked(fleet, 300).count() < spreadTime.count());
}

// 1,300 endpoints that end at once, with two requests each, must not hide the one request that ended three endpoints.
BOOST_AUTO_TEST_CASE(the_loss_of_many_endpoints_hides_no_blocked_request)
{
    FleetSimulation fleet({ .nodes = 300 });
    fleet.run(Milliseconds(5000));
    for (std::uint64_t n = 0; n < 2600; ++n)
        fleet.endEndpointDuring(static_cast<unsigned>(n % 300), { .team = 2, .content = 1000 + n }, 100000 + n / 2);
    for (unsigned n : { 1U, 44U, 299U })
        fleet.endEndpointDuring(n, request, n);
    BOOST_TEST(timeUntilBlocked(fleet, 300).count() < spreadTime.count());
}

BOOST_AUTO_TEST_SUITE_END()
