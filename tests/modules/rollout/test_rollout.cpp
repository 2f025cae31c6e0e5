#include "modules/balance/prefix_cache.h"
#include "modules/rollout/answer_pace.h"
#include "modules/rollout/version_gate.h"
#include "tests/modules/rollout/rollout_simulation.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

struct Tally {
    unsigned completed { 0 };
    unsigned reverted { 0 };
    unsigned beyondAllowance { 0 };
    unsigned cut { 0 }; // Completed with requests running at the old version.
};

Tally playMany(RolloutSimulationOptions options, unsigned rollouts)
{
    Tally tally;
    for (unsigned seed = 1; seed <= rollouts; ++seed) {
        options.seed = seed;
        auto outcome = simulateRollout(options);
        tally.completed += outcome.stage == RolloutStage::Completed ? 1 : 0;
        tally.reverted += outcome.stage == RolloutStage::Reverted ? 1 : 0;
        tally.beyondAllowance += outcome.isWithin(options.plan) ? 0 : 1;
        tally.cut += outcome.runningAtCompletion > 0 ? 1 : 0;
    }
    return tally;
}

constexpr unsigned rollouts = 60; // Of each sort; by hand 300 of each were played.

} // namespace

BOOST_AUTO_TEST_SUITE(Rollouts)

// By hand, 300 of each: 1,199 of 1,200 good versions were completed, and of 2,400 bad ones with more than one request a second none was.
BOOST_AUTO_TEST_CASE(good_versions_are_completed)
{
    for (double perSecond : { 8.0, 30.0, 250.0, 2000.0 }) {
        BOOST_TEST_CONTEXT(perSecond << " requests a second")
        {
            auto tally = playMany({ .requestsPerSecond = perSecond }, rollouts);
            BOOST_TEST(tally.completed >= rollouts - 1);
            // The old endpoints stop at once then.
            BOOST_TEST(tally.cut == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(bad_versions_are_reverted_within_their_allowance)
{
    for (double perSecond : { 30.0, 250.0, 2000.0 }) {
        for (double failing : { 0.3, 1.0 }) {
            BOOST_TEST_CONTEXT(perSecond << " requests a second, failing " << failing)
            {
                auto tally = playMany({ .requestsPerSecond = perSecond, .failing = failing }, rollouts);
                BOOST_TEST(tally.reverted == rollouts);
                BOOST_TEST(tally.beyondAllowance == 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_version_that_turns_bad_or_fails_on_one_route_is_found)
{
    for (const auto& options : { RolloutSimulationOptions { .failing = 0.3, .failingFrom = Milliseconds(3000) }, RolloutSimulationOptions { .failing = 0.3, .failingFrom = Milliseconds(6000) }, RolloutSimulationOptions { .failing = 0.4, .oneRoute = true } }) {
        auto tally = playMany(options, rollouts);
        BOOST_TEST(tally.reverted == rollouts);
        BOOST_TEST(tally.beyondAllowance == 0U);
    }
}

// What a version gets that can hardly be judged is within its allowance.
BOOST_AUTO_TEST_CASE(little_traffic_completes_without_a_verdict)
{
    auto tally = playMany({ .requestsPerSecond = 1, .failing = 0.3 }, rollouts);
    BOOST_TEST(tally.completed == rollouts);
    BOOST_TEST(tally.beyondAllowance == 0U);
}

// Three ways to give a version its part, each with 60 versions that turn bad six seconds after they came. By hand, 300 of each: with all of
// the allowance used as soon as it may be, 11 got more than they may, since nothing was left to see them turn; with the others none.
BOOST_AUTO_TEST_CASE(an_allowance_spread_evenly_sees_versions_turn_bad)
{
    RolloutSimulationOptions turning { .failing = 0.3, .failingFrom = Milliseconds(6000) };
    BOOST_TEST(playMany(turning, rollouts).beyondAllowance == 0U);
    turning.plan.ramp = RampKind::Constant;
    BOOST_TEST(playMany(turning, rollouts).beyondAllowance == 0U);
    // A constant share is slower where there are few requests: by hand all 300 good versions came late at 30 a second, 146 with this.
    RolloutSimulationOptions few { .requestsPerSecond = 30 };
    auto isLate = [&](RampKind ramp) {
        few.plan.ramp = ramp;
        unsigned late = 0;
        for (few.seed = 1; few.seed <= rollouts; ++few.seed)
            late += simulateRollout(few).at > few.duration ? 1 : 0;
        return late;
    };
    BOOST_TEST(isLate(RampKind::Even) < isLate(RampKind::Constant));
}

BOOST_AUTO_TEST_CASE(only_answers_are_evidence)
{
    RolloutJudge judge;
    std::map<std::string, RouteEvidence> evidence;
    // Endpoints crashed under all of these: they ended, neither good nor bad.
    evidence["r"] = { .old = { .sent = 100, .ended = 100, .good = 100 }, .target = { .sent = 500, .ended = 500 } };
    BOOST_TEST((judge.update(evidence) == RolloutVerdict::Open));
    evidence["r"].target.good = 200;
    BOOST_TEST((judge.update(evidence) == RolloutVerdict::Good));
    // Totals fall where a node ends.
    evidence["r"].target.good = 20;
    BOOST_TEST((judge.update(evidence) == RolloutVerdict::Good));
    evidence["r"].target.bad = 20;
    BOOST_TEST((judge.update(evidence) == RolloutVerdict::Bad));
    evidence["r"].target.good = 5000;
    BOOST_TEST((judge.update(evidence) == RolloutVerdict::Bad));
}

BOOST_AUTO_TEST_CASE(a_route_that_fails_anyway_is_no_evidence)
{
    RolloutJudge judge;
    std::map<std::string, RouteEvidence> evidence;
    for (unsigned n = 1; n <= 50; ++n) {
        evidence["r"] = { .old = { .good = 86 * n, .bad = 14 * n }, .target = { .good = 9 * n, .bad = n } };
        BOOST_TEST((judge.update(evidence) != RolloutVerdict::Bad));
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

// Which part of requests may go to the version.
double partOf(const VersionGate& gate, const std::string& version, SteadyTime now)
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

VersionNews told(double share, std::uint64_t at, const std::string& version = "v2", std::uint64_t orderedAt = 1)
{
    return { .shares = { { .service = "s", .version = version, .share = share, .orderedAt = orderedAt, .toldAt = at } } };
}

} // namespace

BOOST_AUTO_TEST_CASE(a_version_that_nobody_has_spoken_of_gets_nothing)
{
    VersionGate gate;
    gate.onList(listOf(10, 0), start);
    BOOST_TEST(partOf(gate, "v1", start) == 1);
    gate.onList(listOf(10, 10), start + Milliseconds(100));
    BOOST_TEST(partOf(gate, "v2", start + Milliseconds(5000)) == 0);
    gate.onNews(told(0.1, 5));
    BOOST_TEST(std::abs(partOf(gate, "v2", start + Milliseconds(5000)) - 0.1) < 0.04);
    BOOST_TEST(gate.limitsFor("s", 0, start + Milliseconds(5000)).mostEndpoints == 1U);
    gate.onNews(told(1, 6));
    BOOST_TEST(partOf(gate, "v2", start + Milliseconds(6000)) == 1);
    BOOST_TEST(partOf(gate, "v1", start + Milliseconds(6000)) == 0);
    // Late news of an earlier word.
    gate.onNews(told(0.1, 5));
    BOOST_TEST(partOf(gate, "v2", start + Milliseconds(6000)) == 1);
}

BOOST_AUTO_TEST_CASE(versions_are_used_alike_where_no_roll_out_runs)
{
    VersionGate gate;
    gate.onList(listOf(10, 0), start);
    gate.onList(listOf(10, 10), start);
    gate.onNews(told(1, 5, ""));
    BOOST_TEST(partOf(gate, "v2", start) == 1);
    BOOST_TEST(partOf(gate, "v1", start) == 1);
    VersionGate silent;
    silent.onList(listOf(10, 0), start);
    silent.onList(listOf(10, 10), start);
    BOOST_TEST(partOf(silent, "v2", start + Milliseconds(10001)) == 1);
}

// After all nodes have died in the middle of a roll-out.
BOOST_AUTO_TEST_CASE(a_node_that_starts_takes_the_version_of_most_endpoints_for_the_known_one)
{
    VersionGate gate;
    gate.onList(listOf(10, 4), start);
    BOOST_TEST(partOf(gate, "v2", start) == 0);
    BOOST_TEST(partOf(gate, "v1", start) == 1);
}

BOOST_AUTO_TEST_CASE(a_node_stops_a_bad_version_before_the_holder_says_so)
{
    VersionGate gate;
    gate.onList(listOf(10, 0), start);
    gate.onList(listOf(10, 10), start);
    VersionNews others = told(0.1, 5);
    others.trials[{ .service = "s", .version = "v1", .route = "r" }] = { .sent = 500, .ended = 500, .good = 495, .bad = 5 };
    gate.onNews(others);
    BOOST_TEST(partOf(gate, "v2", start) > 0);
    VersionRoute route { .service = "s", .version = "v2", .route = "r" };
    for (int n = 0; n < 12; ++n) {
        gate.onSent(route);
        gate.onEnd(route, n % 2 == 0, n % 2 == 1);
    }
    gate.onNews(others);
    BOOST_TEST(partOf(gate, "v2", start) == 0);
    BOOST_TEST(gate.takeNewlyStopped().size() == 1U);
    BOOST_TEST(gate.takeNewlyStopped().empty());
    // An order that follows may bring a mended build under the same name.
    gate.onNews(told(0.1, 9, "v2", 2));
    BOOST_TEST(partOf(gate, "v2", start) > 0);
    // What another node has stopped is stopped here.
    gate.onNews({ .stopped = { { .service = "s", .version = "v2", .orderedAt = 2 } } });
    BOOST_TEST(partOf(gate, "v2", start) == 0);
}

BOOST_AUTO_TEST_CASE(answers_that_take_several_times_as_long_are_slow)
{
    AnswerPace pace;
    AnswerTimes usual { .firstSeconds = 0.3, .expectedSeconds = 0.25, .restSeconds = 1, .restEvents = 40 };
    BOOST_TEST(!pace.isSlow("r", { .firstSeconds = 9 }));
    for (int n = 0; n < 20; ++n)
        pace.observe("r", usual);
    BOOST_TEST(!pace.isSlow("r", usual));
    // A long prompt is expected to take long.
    BOOST_TEST(!pace.isSlow("r", { .firstSeconds = 1.2, .expectedSeconds = 1, .restSeconds = 1, .restEvents = 40 }));
    BOOST_TEST(pace.isSlow("r", { .firstSeconds = 1.2, .expectedSeconds = 0.25, .restSeconds = 1, .restEvents = 40 }));
    BOOST_TEST(pace.isSlow("r", { .firstSeconds = 0.3, .expectedSeconds = 0.25, .restSeconds = 4, .restEvents = 40 }));
    BOOST_TEST(!pace.isSlow("r", { .firstSeconds = 0.3, .expectedSeconds = 0.25, .restSeconds = 1, .restEvents = 2 }));
}

BOOST_AUTO_TEST_CASE(later_words_count_and_trials_add_up)
{
    VersionNews sum = told(0.1, 5);
    addNews(sum, told(0.5, 4));
    BOOST_TEST(sum.shares[0].share == 0.1);
    addNews(sum, told(1, 6));
    BOOST_TEST(sum.shares[0].share == 1);
    BOOST_TEST(sum.shares.size() == 1U);
    VersionNews trials;
    trials.trials[{ .service = "s", .version = "v", .route = "r" }] = { .sent = 3, .ended = 2, .good = 1, .bad = 1 };
    addNews(sum, trials);
    addNews(sum, trials);
    BOOST_TEST(sum.trials.begin()->second.sent == 6U);
    BOOST_TEST(sum.trials.begin()->second.running() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
