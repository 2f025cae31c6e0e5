#include "modules/balance/prefix_cache.h"
#include "modules/rollout/answer_time_monitor.h"
#include "modules/rollout/version_gate.h"
#include "tests/modules/rollout/rollout_simulation.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

struct Tally {
    unsigned completed { 0 };
    unsigned reverted { 0 };
    unsigned beyondAllowance { 0 }; // Rollouts whose new version received more requests than a bad version may.
    unsigned cut { 0 }; // Rollouts completed while requests were running at the old version.
};

Tally simulateMany(RolloutSimulationOptions options, unsigned rolloutsPerCase)
{
    Tally tally;
    for (unsigned seed = 1; seed <= rolloutsPerCase; ++seed) {
        options.seed = seed;
        auto outcome = simulateRollout(options);
        tally.completed += outcome.stage == RolloutStage::Completed ? 1 : 0;
        tally.reverted += outcome.stage == RolloutStage::Reverted ? 1 : 0;
        tally.beyondAllowance += outcome.isWithin(options.plan) ? 0 : 1;
        tally.cut += outcome.runningAtCompletion > 0 ? 1 : 0;
    }
    return tally;
}

constexpr unsigned rolloutsPerCase = 60; // Simulated per case. Manual runs with 300 per case gave the figures in the comments below.

} // namespace

BOOST_AUTO_TEST_SUITE(Rollouts)

// In manual runs with 300 rollouts per case, 1,199 of 1,200 good versions were completed, and none of 2,400 bad versions with more than one
// request per second.
BOOST_AUTO_TEST_CASE(good_versions_are_completed)
{
    for (double requestRate : { 8.0, 30.0, 250.0, 2000.0 }) {
        BOOST_TEST_CONTEXT(requestRate << " requests a second")
        {
            auto tally = simulateMany({ .requestsPerSecond = requestRate }, rolloutsPerCase);
            BOOST_TEST(tally.completed >= rolloutsPerCase - 1);
            // The old endpoints are stopped immediately on completion, which would cut running requests.
            BOOST_TEST(tally.cut == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(bad_versions_are_reverted_within_their_allowance)
{
    for (double requestRate : { 30.0, 250.0, 2000.0 }) {
        for (double failing : { 0.3, 1.0 }) {
            BOOST_TEST_CONTEXT(requestRate << " requests a second, failing " << failing)
            {
                auto tally = simulateMany({ .requestsPerSecond = requestRate, .badShare = failing }, rolloutsPerCase);
                BOOST_TEST(tally.reverted == rolloutsPerCase);
                BOOST_TEST(tally.beyondAllowance == 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_version_that_turns_bad_or_fails_on_one_route_is_reverted)
{
    for (const auto& options : { RolloutSimulationOptions { .badShare = 0.3, .badFrom = Milliseconds(3000) }, RolloutSimulationOptions { .badShare = 0.3, .badFrom = Milliseconds(6000) }, RolloutSimulationOptions { .badShare = 0.4, .oneRoute = true } }) {
        auto tally = simulateMany(options, rolloutsPerCase);
        BOOST_TEST(tally.reverted == rolloutsPerCase);
        BOOST_TEST(tally.beyondAllowance == 0U);
    }
}

// With one request per second there are too few answers for a verdict. All requests fit within the allowance, so the rollout is completed.
BOOST_AUTO_TEST_CASE(little_traffic_completes_without_a_verdict)
{
    auto tally = simulateMany({ .requestsPerSecond = 1, .badShare = 0.3 }, rolloutsPerCase);
    BOOST_TEST(tally.completed == rolloutsPerCase);
    BOOST_TEST(tally.beyondAllowance == 0U);
}

// Compares ways to ramp up the share with 60 versions that turn bad six seconds after their boot. In manual runs with 300 versions for each
// of the three ramps, 11 exceeded the allowance with RampKind::Budget, because no allowance was left to detect the change; none did with
// the others.
BOOST_AUTO_TEST_CASE(an_even_ramp_leaves_allowance_to_detect_versions_that_turn_bad)
{
    RolloutSimulationOptions turningBad { .badShare = 0.3, .badFrom = Milliseconds(6000) };
    BOOST_TEST(simulateMany(turningBad, rolloutsPerCase).beyondAllowance == 0U);
    turningBad.plan.ramp = RampKind::Constant;
    BOOST_TEST(simulateMany(turningBad, rolloutsPerCase).beyondAllowance == 0U);
    // A constant share is slower with few requests: in manual runs at 30 requests per second, all 300 good versions missed the deadline
    // with RampKind::Constant, and 146 with RampKind::Even.
    RolloutSimulationOptions lowTraffic { .requestsPerSecond = 30 };
    auto countLate = [&](RampKind ramp) {
        lowTraffic.plan.ramp = ramp;
        unsigned late = 0;
        for (lowTraffic.seed = 1; lowTraffic.seed <= rolloutsPerCase; ++lowTraffic.seed)
            late += simulateRollout(lowTraffic).at > lowTraffic.duration ? 1 : 0;
        return late;
    };
    BOOST_TEST(countLate(RampKind::Even) < countLate(RampKind::Constant));
}

BOOST_AUTO_TEST_CASE(only_answers_are_evidence)
{
    RolloutEvaluator evaluator;
    std::map<std::string, RouteEvidence> evidence;
    // The endpoints crashed during all 500 requests to the target: these ended neither good nor bad.
    evidence["r"] = { .old = { .sent = 100, .ended = 100, .good = 100 }, .target = { .sent = 500, .ended = 500 } };
    BOOST_TEST((evaluator.update(evidence) == RolloutVerdict::Open));
    evidence["r"].target.good = 200;
    BOOST_TEST((evaluator.update(evidence) == RolloutVerdict::Good));
    // Totals decrease when a node shuts down.
    evidence["r"].target.good = 20;
    BOOST_TEST((evaluator.update(evidence) == RolloutVerdict::Good));
    evidence["r"].target.bad = 20;
    BOOST_TEST((evaluator.update(evidence) == RolloutVerdict::Bad));
    evidence["r"].target.good = 5000;
    BOOST_TEST((evaluator.update(evidence) == RolloutVerdict::Bad));
}

BOOST_AUTO_TEST_CASE(failures_that_the_old_version_shares_are_no_evidence)
{
    RolloutEvaluator evaluator;
    std::map<std::string, RouteEvidence> evidence;
    for (unsigned n = 1; n <= 50; ++n) {
        evidence["r"] = { .old = { .good = 86 * n, .bad = 14 * n }, .target = { .good = 9 * n, .bad = n } };
        BOOST_TEST((evaluator.update(evidence) != RolloutVerdict::Bad));
    }
}

namespace {

const SteadyTime start { std::chrono::hours(1) };

EndpointList listOf(unsigned oldEndpoints, unsigned newEndpoints)
{
    EndpointList list;
    for (unsigned n = 0; n < oldEndpoints + newEndpoints; ++n) {
        auto id = "i" + std::to_string(n);
        list.endpoints[id] = { .id = id, .service = "s", .version = n < oldEndpoints ? "v1" : "v2" };
    }
    return list;
}

// Share of requests that may go to the version.
double usableShare(const VersionGate& gate, const std::string& version, SteadyTime now)
{
    unsigned count = 0;
    constexpr unsigned requests = 1000;
    for (unsigned n = 0; n < requests; ++n) {
        auto limits = gate.limitsFor("s", mixHash(n, 7), now);
        bool isBarred = std::find(limits.barred.begin(), limits.barred.end(), version) != limits.barred.end();
        count += !isBarred && (limits.wanted.empty() || limits.wanted == version) ? 1 : 0;
    }
    return static_cast<double>(count) / requests;
}

VersionUpdate shareUpdate(double share, std::uint64_t at, const std::string& version = "v2", std::uint64_t orderedAt = 1)
{
    return { .shares = { { .service = "s", .version = version, .share = share, .orderedAt = orderedAt, .publishedAt = at } } };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_new_version_gets_no_requests_before_its_share_is_published)
{
    VersionGate gate;
    gate.onList(listOf(10, 0), start);
    BOOST_TEST(usableShare(gate, "v1", start) == 1);
    gate.onList(listOf(10, 10), start + Milliseconds(100));
    BOOST_TEST(usableShare(gate, "v2", start + Milliseconds(5000)) == 0);
    gate.onPeerUpdate(shareUpdate(0.1, 5));
    BOOST_TEST(std::abs(usableShare(gate, "v2", start + Milliseconds(5000)) - 0.1) < 0.04);
    BOOST_TEST(gate.limitsFor("s", 0, start + Milliseconds(5000)).mostEndpoints == 1U);
    gate.onPeerUpdate(shareUpdate(1, 6));
    BOOST_TEST(usableShare(gate, "v2", start + Milliseconds(6000)) == 1);
    BOOST_TEST(usableShare(gate, "v1", start + Milliseconds(6000)) == 0);
    // A late update with a share that was published earlier is ignored.
    gate.onPeerUpdate(shareUpdate(0.1, 5));
    BOOST_TEST(usableShare(gate, "v2", start + Milliseconds(6000)) == 1);
}

BOOST_AUTO_TEST_CASE(all_versions_are_used_alike_without_a_rollout)
{
    VersionGate gate;
    gate.onList(listOf(10, 0), start);
    gate.onList(listOf(10, 10), start);
    gate.onPeerUpdate(shareUpdate(1, 5, ""));
    BOOST_TEST(usableShare(gate, "v2", start) == 1);
    BOOST_TEST(usableShare(gate, "v1", start) == 1);
    VersionGate unannounced;
    unannounced.onList(listOf(10, 0), start);
    unannounced.onList(listOf(10, 10), start);
    BOOST_TEST(usableShare(unannounced, "v2", start + Milliseconds(10001)) == 1);
}

// Covers a restart of all nodes in the middle of a rollout.
BOOST_AUTO_TEST_CASE(a_starting_node_treats_the_version_of_most_endpoints_as_known_good)
{
    VersionGate gate;
    gate.onList(listOf(10, 4), start);
    BOOST_TEST(usableShare(gate, "v2", start) == 0);
    BOOST_TEST(usableShare(gate, "v1", start) == 1);
}

BOOST_AUTO_TEST_CASE(a_node_stops_a_bad_version_before_the_holder_publishes_it)
{
    VersionGate gate;
    gate.onList(listOf(10, 0), start);
    gate.onList(listOf(10, 10), start);
    VersionUpdate others = shareUpdate(0.1, 5);
    others.trials[{ .service = "s", .version = "v1", .route = "r" }] = { .sent = 500, .ended = 500, .good = 495, .bad = 5 };
    gate.onPeerUpdate(others);
    BOOST_TEST(usableShare(gate, "v2", start) > 0);
    VersionRoute route { .service = "s", .version = "v2", .route = "r" };
    for (int n = 0; n < 12; ++n) {
        gate.onSent(route);
        gate.onEnd(route, n % 2 == 0, n % 2 == 1);
    }
    gate.onPeerUpdate(others);
    BOOST_TEST(usableShare(gate, "v2", start) == 0);
    BOOST_TEST(gate.takeNewlyStopped().size() == 1U);
    BOOST_TEST(gate.takeNewlyStopped().empty());
    // A later order may roll out a fixed build under the same version name.
    gate.onPeerUpdate(shareUpdate(0.1, 9, "v2", 2));
    BOOST_TEST(usableShare(gate, "v2", start) > 0);
    // A version stopped by another node is stopped on this node, too.
    gate.onPeerUpdate({ .stopped = { { .service = "s", .version = "v2", .orderedAt = 2 } } });
    BOOST_TEST(usableShare(gate, "v2", start) == 0);
}

BOOST_AUTO_TEST_CASE(answers_that_take_several_times_as_long_are_slow)
{
    AnswerTimeMonitor pace;
    AnswerTimes usual { .secondsToFirstEvent = 0.3, .expectedSeconds = 0.25, .streamSeconds = 1, .streamEventCount = 40 };
    BOOST_TEST(!pace.isSlow("r", { .secondsToFirstEvent = 9 }));
    for (int n = 0; n < 20; ++n)
        pace.observe("r", usual);
    BOOST_TEST(!pace.isSlow("r", usual));
    // A long prompt has a longer expected time.
    BOOST_TEST(!pace.isSlow("r", { .secondsToFirstEvent = 1.2, .expectedSeconds = 1, .streamSeconds = 1, .streamEventCount = 40 }));
    BOOST_TEST(pace.isSlow("r", { .secondsToFirstEvent = 1.2, .expectedSeconds = 0.25, .streamSeconds = 1, .streamEventCount = 40 }));
    BOOST_TEST(pace.isSlow("r", { .secondsToFirstEvent = 0.3, .expectedSeconds = 0.25, .streamSeconds = 4, .streamEventCount = 40 }));
    BOOST_TEST(!pace.isSlow("r", { .secondsToFirstEvent = 0.3, .expectedSeconds = 0.25, .streamSeconds = 1, .streamEventCount = 2 }));
}

BOOST_AUTO_TEST_CASE(the_latest_share_is_kept_and_trials_add_up)
{
    VersionUpdate sum = shareUpdate(0.1, 5);
    mergeUpdate(sum, shareUpdate(0.5, 4));
    BOOST_TEST(sum.shares[0].share == 0.1);
    mergeUpdate(sum, shareUpdate(1, 6));
    BOOST_TEST(sum.shares[0].share == 1);
    BOOST_TEST(sum.shares.size() == 1U);
    VersionUpdate trials;
    trials.trials[{ .service = "s", .version = "v", .route = "r" }] = { .sent = 3, .ended = 2, .good = 1, .bad = 1 };
    mergeUpdate(sum, trials);
    mergeUpdate(sum, trials);
    BOOST_TEST(sum.trials.begin()->second.sent == 6U);
    BOOST_TEST(sum.trials.begin()->second.running() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
