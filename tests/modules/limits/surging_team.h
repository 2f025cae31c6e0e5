// A fleet with one team whose demand rises far above its limit. For tests of team limits with FleetSimulation.
#pragma once

#include "tests/modules/peers/fleet_simulation.h"

namespace Onyxnotch::Tests {

inline constexpr double usualShare = 1 / 1.8; // The team's usual demand, as a share of its limit.
inline constexpr TeamLimitTolerance tolerance { .overshoot = 0.1, .slackTokens = 140000, .window = std::chrono::seconds(8) };

// A team with a limit in tokens a second over all nodes, and a burst of two seconds.
inline TrafficTeam team(double ratePerSecond)
{
    TrafficTeam result;
    result.name = "t";
    result.countsTokens = true;
    result.ratePerSecond = ratePerSecond;
    result.burst = 2 * ratePerSecond;
    return result;
}

// Tokens that may be admitted in any window: the limit with everything that the platform tolerates above it.
inline double maximumAllowed(const TrafficTeam& team, const TeamLimitTolerance& tolerated = tolerance)
{
    return (8 * team.ratePerSecond + team.burst) * (1 + tolerated.overshoot) + tolerated.slackTokens;
}

struct FleetSize {
    unsigned nodes { 60 };
    double ratePerSecond { 2e6 };
    bool usesRelays { true };
};

inline const std::vector<FleetSize> fleetSizes { { .nodes = 9 }, { .nodes = 60 }, { .nodes = 85 }, { .nodes = 300, .ratePerSecond = 1e7 } };

inline FleetSimulationOptions fleetOptions(const FleetSize& size, std::uint64_t seed)
{
    constexpr double tokensPerRequest = 8000;
    FleetSimulationOptions options { .nodes = size.nodes, .zones = 4, .seed = seed, .lossFraction = 0.03, .tokensPerRequest = tokensPerRequest, .team = team(size.ratePerSecond), .tokensSpread = 1, .usesRelays = size.usesRelays };
    options.requestsPerSecond = size.ratePerSecond * usualShare / tokensPerRequest / size.nodes;
    options.limits.tolerance = tolerance;
    return options;
}

} // namespace Onyxnotch::Tests
