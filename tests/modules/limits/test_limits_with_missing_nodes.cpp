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
