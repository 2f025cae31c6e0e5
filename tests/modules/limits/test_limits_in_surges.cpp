#include "tests/modules/limits/surging_team.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(LimitsInSurges)

// A team with eight times its limit exceeded it by a fifth, because all nodes admitted from the same level before they knew of each other.
BOOST_AUTO_TEST_CASE(limit_holds_when_a_teams_demand_rises_suddenly)
{
    for (const auto& size : fleetSizes) {
        for (double factor : { 5.0, 8.0 }) {
            auto options = fleetOptions(size, 1);
            FleetSimulation fleet(options);
            fleet.run(seconds(5));
            fleet.demandFactor = factor / usualShare;
            fleet.run(seconds(7));
            fleet.demandFactor = 1;
            fleet.run(seconds(3));
            BOOST_TEST_CONTEXT(size.nodes << " nodes, demand of " << factor << " times the limit")
            {
                BOOST_TEST(fleet.maximumAdmittedIn(tolerance.window) < maximumAllowed(options.team));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(at_most_one_in_a_hundred_requests_is_refused_below_the_limit)
{
    for (const auto& size : fleetSizes) {
        auto options = fleetOptions(size, 3);
        FleetSimulation fleet(options);
        fleet.demandFactor = 0.8 / usualShare;
        fleet.run(seconds(3));
        auto requestedBefore = fleet.requested;
        auto refusedBefore = fleet.refused;
        fleet.run(seconds(10));
        BOOST_TEST_CONTEXT(size.nodes << " nodes")
        {
            BOOST_TEST(fleet.refused - refusedBefore <= (fleet.requested - requestedBefore) / 100);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_node_admits_only_its_share_until_the_others_know)
{
    const SteadyTime start { std::chrono::hours(1) };
    auto at = [&](int milliseconds) { return start + Milliseconds(milliseconds); };
    TeamLimits limits(start - seconds(10), { .expectedNodes = 2, .tolerance = tolerance });
    auto limited = team(1e6);
    // Both nodes have the same demand.
    for (int n = -8000; n <= 0; n += 250) {
        limits.onPeerTotals("other", 1, Milliseconds(10000 + n), { { "t", (8000 + n) * 1e2 } }, at(n));
        limits.admit(limited, 25000, at(n));
    }
    double admitted = 0;
    for (int n = 1; n < 100; ++n) {
        if (!limits.admit(limited, 1e5, at(n)))
            admitted += 1e5;
    }
    // Half of the burst and of what the platform tolerates, and one more request.
    BOOST_TEST(admitted <= (2e6 + 1.14e6) / 2 + 1e5);
    BOOST_TEST(admitted >= 1e6);
    auto wait = limits.admit(limited, 1e5, at(100));
    BOOST_REQUIRE(wait.has_value());
    limits.onPeerTotals("other", 1, seconds(11), { { "t", 8e5 } }, at(1000));
    BOOST_TEST(!limits.admit(limited, 1e5, at(1001)).has_value());
}

// A late aggregate makes the nodes of a zone silent for one report. They were charged with their share of the burst each time, and a team at
// half its limit was refused.
BOOST_AUTO_TEST_CASE(nodes_that_are_silent_now_and_then_are_not_charged_again)
{
    const SteadyTime start { std::chrono::hours(1) };
    TeamLimits limits(start - seconds(10), { .expectedNodes = 60, .tolerance = tolerance, .randomSeed = 1 });
    auto limited = team(1e6);
    unsigned refused = 0;
    for (int period = 0; period < 80; ++period) {
        auto now = start + Milliseconds(250 * period);
        unsigned silent = period % 4 == 0 ? 15 : 0;
        limits.onFleetTotals(59 - silent, silent, { { "t", period * 1.2e5 } }, now);
        refused += limits.admit(limited, 2000, now) ? 1 : 0;
    }
    BOOST_TEST(refused == 0U);
}

// A refund was subtracted a second time when its admission became old, so that a node admitted more than its share.
BOOST_AUTO_TEST_CASE(a_refund_counts_once)
{
    const SteadyTime start { std::chrono::hours(1) };
    SpendingPace pace;
    pace.onAdmitted(100, start);
    pace.onAdmitted(100, start + Milliseconds(500));
    pace.onRefunded(100);
    pace.forgetOlderThan(Milliseconds(750), start + Milliseconds(600));
    BOOST_TEST(pace.recentAmount() == 100);
    pace.onAdmitted(20, start + Milliseconds(700));
    pace.forgetOlderThan(Milliseconds(750), start + Milliseconds(900));
    BOOST_TEST(pace.recentAmount() == 20);
    pace.updateAverage(start + Milliseconds(900));
    pace.onRefunded(1000);
    pace.updateAverage(start + Milliseconds(1000));
    BOOST_TEST(pace.perSecond() >= 0);
}

BOOST_AUTO_TEST_SUITE_END()

// A suite and CTest test of its own, so that KNOWN-RED.txt can list it.
BOOST_AUTO_TEST_SUITE(LimitsInSurgesAndFailures)

BOOST_AUTO_TEST_CASE(limit_holds_when_demand_rises_while_a_third_of_the_nodes_is_cut_off)
{
    for (const auto& size : fleetSizes) {
        auto options = fleetOptions(size, 2);
        FleetSimulation fleet(options);
        fleet.run(seconds(5));
        for (unsigned n = 0; n < size.nodes; n += 3)
            fleet.nodes()[n].isCutOff = true;
        fleet.demandFactor = 5 / usualShare;
        fleet.run(seconds(9));
        BOOST_TEST_CONTEXT(size.nodes << " nodes")
        {
            BOOST_TEST(fleet.maximumAdmittedIn(tolerance.window) < maximumAllowed(options.team));
        }
    }
}

// After all nodes had lost power, each refused requests of teams far below their limits until it had received the state of the others.
BOOST_AUTO_TEST_CASE(teams_below_their_limit_are_served_after_a_restart_of_all_nodes)
{
    for (const auto& size : fleetSizes) {
        auto options = fleetOptions(size, 4);
        FleetSimulation fleet(options);
        fleet.run(seconds(5));
        for (unsigned n = 0; n < size.nodes; ++n)
            fleet.kill(n);
        fleet.run(Milliseconds(1300));
        for (unsigned n = 0; n < size.nodes; ++n)
            fleet.restart(n);
        auto requestedBefore = fleet.requested;
        auto refusedBefore = fleet.refused;
        fleet.run(Milliseconds(2500));
        BOOST_TEST_CONTEXT(size.nodes << " nodes")
        {
            BOOST_TEST(fleet.refused - refusedBefore <= (fleet.requested - requestedBefore) / 100);
            BOOST_TEST(fleet.maximumAdmittedIn(tolerance.window) < maximumAllowed(options.team));
        }
    }
}

// Each restarted node starts with its share of what the platform tolerates, and without knowledge of what it admitted before.
BOOST_AUTO_TEST_CASE(limit_holds_while_nodes_restart_in_turn)
{
    auto options = fleetOptions({ .nodes = 60 }, 5);
    FleetSimulation fleet(options);
    fleet.run(seconds(5));
    fleet.demandFactor = 5 / usualShare;
    for (unsigned n = 0; n < 60; ++n) {
        fleet.kill(n);
        fleet.run(Milliseconds(150));
        fleet.restart(n);
    }
    BOOST_TEST(fleet.maximumAdmittedIn(tolerance.window) < maximumAllowed(options.team));
}

BOOST_AUTO_TEST_SUITE_END()
