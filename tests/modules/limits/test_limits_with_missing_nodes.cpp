#include "tests/modules/limits/surging_team.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;
using std::chrono::seconds;

namespace {

constexpr double surge = 5; // Demand, as a multiple of the team's limit.

const std::vector<FleetSize> smallFleets { { .nodes = 9, .usesRelays = false }, { .nodes = 9 }, { .nodes = 60 }, { .nodes = 85 } };

// The circumstances of a run, drawn from its seed: which nodes, how many, and when.
class Draw {
public:
    explicit Draw(std::uint64_t seed)
        : m_random(seed)
    {
    }

    int between(int least, int most) { return std::uniform_int_distribution<int>(least, most)(m_random); }
    Milliseconds duration(int least, int most) { return Milliseconds(between(least, most)); }
    // A fifth to two thirds of the nodes, which are chosen at random or belong to the same zones.
    std::vector<unsigned> part(unsigned nodes)
    {
        std::vector<unsigned> all(nodes);
        std::iota(all.begin(), all.end(), 0U);
        std::shuffle(all.begin(), all.end(), m_random);
        if (between(0, 1) == 1)
            std::stable_sort(all.begin(), all.end(), [](unsigned left, unsigned right) { return left % 4 < right % 4; });
        all.resize(nodes * static_cast<unsigned>(between(20, 67)) / 100);
        return all;
    }

private:
    std::mt19937_64 m_random;
};

void checkLimit(const FleetSimulation& fleet, const FleetSimulationOptions& options, std::uint64_t seed)
{
    BOOST_TEST_CONTEXT(options.nodes << " nodes, " << (options.usesRelays ? "relay nodes" : "direct") << ", seed " << seed)
    {
        BOOST_TEST(fleet.maximumAdmittedIn(tolerance.window) < maximumAllowed(options.team));
    }
}

// Highest part of what is allowed that a team with a small limit gets while all nodes restart, so many times, during a surge. The slack of
// the platform is then more than half a second of the team's rate.
double highestUseOfSmallTeam(const FleetSize& size, unsigned restarts, std::uint64_t seed)
{
    Draw draw(seed);
    auto options = fleetOptions(size, seed);
    options.limits.tolerance.slackTokens = 190000;
    FleetSimulation fleet(options);
    fleet.run(seconds(5));
    fleet.demandFactor = surge / usualShare;
    fleet.run(draw.duration(0, 3000));
    for (unsigned it = 0; it < restarts; ++it) {
        for (unsigned n = 0; n < size.nodes; ++n)
            fleet.kill(n);
        fleet.run(seconds(1));
        for (unsigned n = 0; n < size.nodes; ++n)
            fleet.restart(n);
        fleet.run(seconds(3));
    }
    fleet.run(seconds(4));
    return fleet.maximumAdmittedIn(tolerance.window) / maximumAllowed(options.team, options.limits.tolerance);
}

constexpr double smallLimit = 282000; // Tokens a second.

const std::vector<FleetSize> fleetsOfSmallTeams { { .nodes = 9, .ratePerSecond = smallLimit, .usesRelays = false }, { .nodes = 9, .ratePerSecond = smallLimit }, { .nodes = 60, .ratePerSecond = smallLimit } };

} // namespace

BOOST_AUTO_TEST_SUITE(LimitsWithMissingNodes)

// Guards against a team that gets more than its limit because the connected nodes and those that are cut off use the same tokens.
BOOST_AUTO_TEST_CASE(limit_holds_when_demand_rises_around_the_cut_of_any_part)
{
    for (const auto& size : smallFleets) {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            Draw draw(seed);
            auto options = fleetOptions(size, seed);
            FleetSimulation fleet(options);
            fleet.run(draw.duration(4000, 5000));
            for (auto n : draw.part(size.nodes))
                fleet.nodes()[n].isCutOff = true;
            fleet.run(draw.duration(0, 1000));
            fleet.demandFactor = surge / usualShare;
            fleet.run(seconds(9));
            checkLimit(fleet, options, seed);
        }
    }
}

// Guards against a double use of what was kept for nodes that were cut off, when they report again.
BOOST_AUTO_TEST_CASE(limit_holds_when_nodes_that_were_cut_off_return)
{
    for (const auto& size : smallFleets) {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            Draw draw(seed);
            auto options = fleetOptions(size, seed);
            FleetSimulation fleet(options);
            fleet.run(draw.duration(4000, 5000));
            auto cutOff = draw.part(size.nodes);
            for (auto n : cutOff)
                fleet.nodes()[n].isCutOff = true;
            fleet.demandFactor = surge / usualShare;
            fleet.run(draw.duration(1000, 5000));
            for (auto n : cutOff)
                fleet.nodes()[n].isCutOff = false;
            fleet.run(seconds(8));
            checkLimit(fleet, options, seed);
        }
    }
}

// Guards against two parts of a fleet that each use the complete limit, at once or after they have forgotten each other.
BOOST_AUTO_TEST_CASE(limit_holds_while_the_fleet_is_partitioned)
{
    for (const auto& size : smallFleets) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            auto options = fleetOptions(size, seed);
            FleetSimulation fleet(options);
            fleet.run(seconds(5));
            for (unsigned n = 0; n < size.nodes; ++n)
                fleet.nodes()[n].partition = n % 4 < 1 + seed % 2 ? 1 : 0;
            fleet.demandFactor = surge / usualShare;
            fleet.run(seconds(30));
            checkLimit(fleet, options, seed);
        }
    }
}

// Guards against starting nodes that spend as if nothing had been used, while the others use up the limit.
BOOST_AUTO_TEST_CASE(limit_holds_while_nodes_restart_in_turn_at_any_spacing)
{
    for (const auto& size : smallFleets) {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            Draw draw(seed);
            auto options = fleetOptions(size, seed);
            FleetSimulation fleet(options);
            fleet.run(seconds(5));
            fleet.demandFactor = surge / usualShare;
            auto spacing = draw.duration(40, 400);
            auto concurrent = static_cast<unsigned>(draw.between(1, 4));
            for (unsigned n = 0; n < size.nodes + concurrent; ++n) {
                if (n < size.nodes)
                    fleet.kill(n);
                fleet.run(spacing);
                if (n + 1 >= concurrent && n + 1 - concurrent < size.nodes)
                    fleet.restart(n + 1 - concurrent);
            }
            fleet.run(seconds(2));
            checkLimit(fleet, options, seed);
        }
    }
}

// Guards against a team that gets more than its limit because all nodes restart while its demand is far above it.
BOOST_AUTO_TEST_CASE(limit_holds_when_all_nodes_restart_in_a_surge)
{
    for (const auto& size : smallFleets) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            Draw draw(seed);
            auto options = fleetOptions(size, seed);
            FleetSimulation fleet(options);
            fleet.run(seconds(5));
            fleet.demandFactor = surge / usualShare;
            fleet.run(draw.duration(0, 3000));
            for (unsigned n = 0; n < size.nodes; ++n)
                fleet.kill(n);
            fleet.run(draw.duration(300, 1500));
            for (unsigned n = 0; n < size.nodes; ++n)
                fleet.restart(n);
            fleet.run(seconds(7));
            checkLimit(fleet, options, seed);
        }
    }
}

// Guards against a start reserve that is a multiple of the platform's tolerance: a small team got 1.07 of what is allowed.
BOOST_AUTO_TEST_CASE(limit_of_a_small_team_holds_when_all_nodes_restart_in_a_surge)
{
    for (const auto& size : fleetsOfSmallTeams) {
        for (std::uint64_t seed = 1; seed <= 8; ++seed) {
            BOOST_TEST_CONTEXT(size.nodes << " nodes, seed " << seed)
            {
                BOOST_TEST(highestUseOfSmallTeam(size, 1, seed) < 1);
            }
        }
    }
}

// A node that has not heard of any other after its startup phase used the complete limit.
BOOST_AUTO_TEST_CASE(a_node_without_any_report_uses_only_its_even_share)
{
    const SteadyTime start { std::chrono::hours(1) };
    TeamLimits limits(start, { .tolerance = tolerance, .randomSeed = 1 });
    limits.setExpectedNodes(10);
    auto limited = team(1e6);
    double admitted = 0;
    for (int n = 10000; n < 30000; n += 10)
        admitted += limits.admit(limited, 10000, start + Milliseconds(n)) ? 0 : 10000;
    // Tokens of 30 s, the burst of two seconds, and what the platform tolerates.
    BOOST_TEST(admitted < (32 * 1e6 + 1.14e6) / 10 + 10000);
    BOOST_TEST(admitted > 20 * 1e6 / 10);
}

// A single large request stopped a node's small ones until the others knew of it, although the team was far below its limit.
BOOST_AUTO_TEST_CASE(a_large_request_does_not_stop_the_small_ones)
{
    const SteadyTime start { std::chrono::hours(1) };
    SpendingPace pace;
    for (int n = 0; n < 10; ++n)
        pace.onAdmitted(100, start, 500);
    pace.onAdmitted(10000, start, 500);
    BOOST_TEST(pace.recentAmount() < 10 * 100 + 2000);
    // Where all requests are large, each one counts.
    SpendingPace large;
    for (int n = 0; n < 10; ++n)
        large.onAdmitted(10000, start, 500);
    BOOST_TEST(large.recentAmount() == 100000);
    large.onRefunded(10000);
    BOOST_TEST(large.recentAmount() == 90000);
}

// A node's first request, large by chance, stopped the following ones until the others knew of it.
BOOST_AUTO_TEST_CASE(a_first_large_request_does_not_stop_the_next_ones)
{
    const SteadyTime start { std::chrono::hours(1) };
    SpendingPace pace;
    pace.onAdmitted(40000, start, 5000);
    BOOST_TEST(pace.recentAmount() == 5000);
    pace.onAdmitted(100, start, 5000);
    BOOST_TEST(pace.recentAmount() == 5100);
    // What comes from the node's reserve leaves its share of the common level as it was.
    SpendingPace reserved;
    reserved.onAdmitted(4000, start, 5000, 3000);
    BOOST_TEST(reserved.recentAmount() == 1000);
    reserved.onRefunded(4000);
    BOOST_TEST(reserved.recentAmount() == 0);
    reserved.onAdmitted(100, start, 5000);
    BOOST_TEST(reserved.recentAmount() == 100);
}

// A starting node took its demand for zero, and so had half of its share.
BOOST_AUTO_TEST_CASE(a_node_that_has_just_started_has_its_even_share)
{
    const SteadyTime start { std::chrono::hours(1) };
    TeamLimits limits(start, { .tolerance = tolerance, .randomSeed = 1 });
    limits.setExpectedNodes(10);
    auto limited = team(1e6);
    limits.admit(limited, 1000, start);
    for (int n = 1; n <= 4; ++n)
        limits.onFleetTotals(9, 0, { { limited.name, n * 20000.0 } }, start + Milliseconds(100 * n));
    limits.admit(limited, 1000, start + Milliseconds(400));
    auto state = limits.state(limited, start + Milliseconds(400));
    BOOST_REQUIRE(state);
    BOOST_TEST(state->share > 0.09);
    BOOST_TEST(state->share < 0.11);
}

BOOST_AUTO_TEST_SUITE_END()

// A suite and CTest test of its own, so that KNOWN-RED.txt can list it.
BOOST_AUTO_TEST_SUITE(LimitsAfterRestarts)

// Guards against refusals below the limit before the restarted nodes know of each other.
BOOST_AUTO_TEST_CASE(teams_below_their_limit_are_served_after_any_restart_of_all_nodes)
{
    for (const auto& size : smallFleets) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Draw draw(seed);
            FleetSimulation fleet(fleetOptions(size, seed));
            fleet.run(draw.duration(4500, 5500));
            for (unsigned n = 0; n < size.nodes; ++n)
                fleet.kill(n);
            fleet.run(draw.duration(300, 4000));
            for (unsigned n = 0; n < size.nodes; ++n)
                fleet.restart(n);
            auto requestedBefore = fleet.requested;
            auto refusedBefore = fleet.refused;
            fleet.run(Milliseconds(2500));
            BOOST_TEST_CONTEXT(size.nodes << " nodes, seed " << seed)
            {
                BOOST_TEST((fleet.refused - refusedBefore) * 100 <= fleet.requested - requestedBefore);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

// A suite and CTest test of its own, so that KNOWN-RED.txt can list it.
BOOST_AUTO_TEST_SUITE(LimitsInRepeatedRestarts)

// Guards against a reserve that all nodes have again at each of several starts within one window.
BOOST_AUTO_TEST_CASE(limit_of_a_small_team_holds_when_all_nodes_restart_twice_in_a_surge)
{
    for (const auto& size : fleetsOfSmallTeams) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            BOOST_TEST_CONTEXT(size.nodes << " nodes, seed " << seed)
            {
                BOOST_TEST(highestUseOfSmallTeam(size, 2, seed) < 1);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TeamBucketTests)

// Guards against charging nodes that reported in between: a silent part that returns without having spent leaves the level as it was.
BOOST_AUTO_TEST_CASE(a_part_that_was_silent_for_a_while_gets_its_share_back)
{
    const SteadyTime start { std::chrono::hours(1) };
    TeamBucket bucket(1000, start);
    bucket.setLimit(100, 1000);
    bucket.advance(0, start);
    bucket.keepLevel();
    bucket.advance(200, start + seconds(1));
    BOOST_TEST(bucket.level() == 900);
    // Half of the nodes have been silent for one second: half of the level and of the refill is theirs.
    bucket.setSilentShare(0.5, seconds(1), start + seconds(1));
    BOOST_TEST(bucket.level() == 350);
    bucket.setSilentShare(0, Milliseconds(0), start + seconds(1));
    bucket.advance(0, start + seconds(1));
    BOOST_TEST(bucket.level() == 900);
}

// Guards against refusals below the limit: a bucket that was full all the time stays full for the part that is left.
BOOST_AUTO_TEST_CASE(a_full_bucket_stays_full_for_the_part_that_reports)
{
    const SteadyTime start { std::chrono::hours(1) };
    TeamBucket bucket(1000, start);
    bucket.setLimit(100, 1000);
    for (int n = 0; n <= 10; ++n) {
        bucket.advance(5, start + Milliseconds(250) * n);
        bucket.keepLevel();
    }
    bucket.setSilentShare(0.5, seconds(2), start + Milliseconds(2500));
    BOOST_TEST(bucket.level() >= 490);
    bucket.advance(0, start + seconds(10));
    BOOST_TEST(bucket.level() == 500);
}

BOOST_AUTO_TEST_SUITE_END()
