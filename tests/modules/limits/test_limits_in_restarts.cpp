#include "tests/modules/limits/surging_team.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;
using std::chrono::seconds;

namespace {

constexpr double surge = 5; // Demand, as a multiple of the team's limit.

// A team with its limit, what the platform tolerates above it, and its requests.
struct LimitedTeam {
    double ratePerSecond { 2e6 };
    double slackTokens { 140000 };
    double tokensPerRequest { 8000 };
};

const std::vector<LimitedTeam> limitedTeams {
    { .ratePerSecond = 60000, .slackTokens = 165000, .tokensPerRequest = 2000 },
    { .ratePerSecond = 282000, .slackTokens = 190000 },
    { .ratePerSecond = 282000, .slackTokens = 140000 },
    { .ratePerSecond = 2e6 },
};

const std::vector<FleetSize> fleets { { .nodes = 10, .usesRelays = false }, { .nodes = 60 } };

FleetSimulationOptions optionsOf(const FleetSize& size, const LimitedTeam& limited, std::uint64_t seed)
{
    auto options = fleetOptions({ .nodes = size.nodes, .ratePerSecond = limited.ratePerSecond, .usesRelays = size.usesRelays }, seed);
    options.tokensPerRequest = limited.tokensPerRequest;
    options.requestsPerSecond = limited.ratePerSecond * usualShare / limited.tokensPerRequest / size.nodes;
    options.limits.tolerance.slackTokens = limited.slackTokens;
    return options;
}

// The nodes that restart, and when, drawn from the seed.
class RestartDraw {
public:
    RestartDraw(unsigned nodes, std::uint64_t seed)
        : m_random(seed)
        , m_nodes(nodes)
    {
        std::iota(m_nodes.begin(), m_nodes.end(), 0U);
        std::shuffle(m_nodes.begin(), m_nodes.end(), m_random);
    }

    Milliseconds between(int least, int most) { return Milliseconds(std::uniform_int_distribution<int>(least, most)(m_random)); }
    const std::vector<unsigned>& allNodes() const { return m_nodes; }
    // Six to eight in ten nodes.
    std::vector<unsigned> mostNodes()
    {
        auto count = m_nodes.size() * static_cast<std::size_t>(between(60, 80).count()) / 100;
        return { m_nodes.begin(), m_nodes.begin() + static_cast<std::ptrdiff_t>(count) };
    }

private:
    std::mt19937_64 m_random;
    std::vector<unsigned> m_nodes;
};

void restartTogether(FleetSimulation& fleet, const std::vector<unsigned>& nodes, Milliseconds downtime)
{
    for (auto n : nodes)
        fleet.kill(n);
    fleet.run(downtime);
    for (auto n : nodes)
        fleet.restart(n);
}

void restartInTurn(FleetSimulation& fleet, const std::vector<unsigned>& nodes, Milliseconds duration)
{
    for (auto n : nodes) {
        fleet.kill(n);
        fleet.run(duration / static_cast<int>(nodes.size()));
        fleet.restart(n);
    }
}

using Restarts = std::function<void(FleetSimulation&, RestartDraw&)>;

// Checks that the team keeps its limit when its demand rises up to one window before these restarts.
void checkLimitAfterBurst(const Restarts& restarts)
{
    for (const auto& size : fleets) {
        for (std::size_t n = 0; n < limitedTeams.size() * 3; ++n) {
            const auto& limited = limitedTeams[n % limitedTeams.size()];
            auto seed = n + 1;
            auto options = optionsOf(size, limited, seed);
            RestartDraw draw(size.nodes, seed);
            FleetSimulation fleet(options);
            fleet.run(seconds(5));
            fleet.demandFactor = surge / usualShare;
            fleet.run(draw.between(500, 6500));
            restarts(fleet, draw);
            fleet.run(seconds(8));
            BOOST_TEST_CONTEXT(size.nodes << " nodes, limit of " << limited.ratePerSecond << ", slack of " << limited.slackTokens << ", seed " << seed)
            {
                BOOST_TEST(fleet.maximumAdmittedIn(tolerance.window) < maximumAllowed(options.team, options.limits.tolerance));
            }
        }
    }
}

} // namespace

// A suite and CTest test of its own, so that KNOWN-RED.txt can list it.
BOOST_AUTO_TEST_SUITE(LimitsInRestartsAfterABurst)

// Guards against starting nodes that spend again what their earlier incarnations spent within the same window.
BOOST_AUTO_TEST_CASE(limit_holds_when_all_nodes_restart_after_a_burst)
{
    checkLimitAfterBurst([](FleetSimulation& fleet, RestartDraw& draw) { restartTogether(fleet, draw.allNodes(), draw.between(300, 1000)); });
}

// Guards against starting nodes that ignore what the nodes that ran on know.
BOOST_AUTO_TEST_CASE(limit_holds_when_most_nodes_restart_after_a_burst)
{
    checkLimitAfterBurst([](FleetSimulation& fleet, RestartDraw& draw) { restartTogether(fleet, draw.mostNodes(), draw.between(300, 1000)); });
}

BOOST_AUTO_TEST_CASE(limit_holds_when_most_nodes_restart_twice_after_a_burst)
{
    checkLimitAfterBurst([](FleetSimulation& fleet, RestartDraw& draw) {
        auto nodes = draw.mostNodes();
        restartTogether(fleet, nodes, draw.between(300, 1000));
        fleet.run(seconds(3));
        restartTogether(fleet, nodes, draw.between(300, 1000));
    });
}

BOOST_AUTO_TEST_CASE(limit_holds_when_all_nodes_restart_in_turn_after_a_burst)
{
    checkLimitAfterBurst([](FleetSimulation& fleet, RestartDraw& draw) { restartInTurn(fleet, draw.allNodes(), seconds(3)); });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LevelsAtTheStart)

// Guards against a starting node that spends its reserve although others know that nothing is left.
BOOST_AUTO_TEST_CASE(a_node_that_has_just_started_uses_the_level_that_others_know)
{
    const SteadyTime start { std::chrono::hours(1) };
    auto limited = team(1e6);
    for (bool isTeamKnown : { false, true }) {
        TeamLimits limits(start, { .tolerance = tolerance, .randomSeed = 1 });
        limits.setExpectedNodes(10);
        if (isTeamKnown)
            BOOST_TEST(!limits.admit(limited, 1000, start).has_value());
        BOOST_TEST(limits.onPeerLevels({ { limited.name, -1e6 } }, start));
        BOOST_TEST(!limits.onPeerLevels({ { limited.name, -1e6 } }, start));
        BOOST_TEST(limits.admit(limited, 1000, start).has_value());
        auto other = limited;
        other.name = "other";
        BOOST_TEST(!limits.admit(other, 1000, start).has_value());
    }
}

// Guards against a starting node that passes on an assumed level as a known one.
BOOST_AUTO_TEST_CASE(a_node_tells_levels_only_once_it_knows_them)
{
    const SteadyTime start { std::chrono::hours(1) };
    auto limited = team(1e6);
    TeamLimits limits(start, { .tolerance = tolerance, .randomSeed = 1 });
    limits.setExpectedNodes(2);
    limits.onPeerTotals("other", 1, seconds(0), {}, start);
    limits.admit(limited, 1000, start);
    BOOST_TEST(limits.levels(start).empty());
    limits.onPeerLevels({ { limited.name, 5e5 } }, start);
    BOOST_TEST(limits.levels(start).at(limited.name) == 5e5);
    auto later = start + seconds(5);
    BOOST_TEST(!limits.onPeerLevels({ { limited.name, -1e6 } }, later));
    BOOST_TEST(limits.levels(later).at(limited.name) > 0);
}

// Guards against a level of the complete fleet that the connected nodes use without the share of the silent ones.
BOOST_AUTO_TEST_CASE(a_level_of_all_nodes_is_shared_with_the_silent_ones)
{
    const SteadyTime start { std::chrono::hours(1) };
    TeamBucket bucket(1000, start);
    bucket.setLimit(100, 1000);
    bucket.setSilentShare(0.25, Milliseconds(0), start);
    bucket.setLevelOfAll(400);
    BOOST_TEST(bucket.level() == 300);
    BOOST_TEST(bucket.levelOfAll() == 400);
}

// Nodes that have just started report more often; each report counted as the minimum period, so the others' demand seemed a quarter of it.
BOOST_AUTO_TEST_CASE(frequent_reports_do_not_lower_the_others_demand)
{
    const SteadyTime start { std::chrono::hours(1) };
    auto limited = team(1e6);
    TeamLimits limits(start, { .expectedNodes = 2, .tolerance = tolerance, .randomSeed = 1 });
    for (int n = 1; n <= 80; ++n) {
        auto now = start + Milliseconds(50 * n);
        limits.onPeerTotals("other", 1, Milliseconds(50 * n), { { limited.name, n * 1000.0 } }, now);
        limits.admit(limited, 1000, now);
    }
    auto state = limits.state(limited, start + seconds(4));
    BOOST_REQUIRE(state);
    BOOST_TEST(state->share > 0.48);
    BOOST_TEST(state->share < 0.52);
}

BOOST_AUTO_TEST_SUITE_END()
