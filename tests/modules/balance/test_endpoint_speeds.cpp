#include "tests/modules/balance/speed_simulation.h"

#include "core/net/frame.h"
#include "modules/peers/relayed_sum.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

EndpointSpeeds::ServiceMembers members(unsigned count)
{
    EndpointSpeeds::ServiceMembers services;
    for (ShortName name = 1; name <= count; ++name)
        services["s"].push_back(name);
    return services;
}

// The sums of `nodes` nodes that each saw this many requests and failures of endpoint 1, and ten good requests of each other endpoint.
EndpointSpeedReport failures(unsigned nodes, std::uint16_t requests, std::uint16_t failed, unsigned endpoints = 9)
{
    EndpointSpeedReport total;
    for (ShortName name = 2; name <= endpoints; ++name)
        total.endpoints[name] = { .requests = 10 };
    for (unsigned node = 0; node < nodes; ++node)
        total += { .endpoints = { { 1, { .requests = requests, .failures = failed, .failingNodes = static_cast<std::uint16_t>(failed > 0 ? 1 : 0) } } } };
    return total;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointSpeedTests)

// Guards against a slow endpoint that gets its full share because each node has too few requests there.
BOOST_AUTO_TEST_CASE(ratios_follow_from_the_sums_over_all_nodes)
{
    EndpointSpeedReport total;
    EndpointSpeeds reader;
    for (int node = 0; node < 20; ++node) {
        EndpointSpeeds speeds;
        for (ShortName name = 1; name <= 4; ++name)
            speeds.observeFirstEvent(name, name == 1 ? 0.2 : 0.1, 0.1, start);
        total += speeds.ownReport(start);
    }
    reader.setTotal(total, 20, members(4), start);
    // Relative to the geometric mean of the service, and pulled towards 1 by a prior of four observations to twenty: 1.54 and 0.87, rounded
    // to powers of 1.4.
    BOOST_TEST(reader.firstEventRatio(1, start) == 1.4, boost::test_tools::tolerance(0.01));
    BOOST_TEST(reader.firstEventRatio(2, start) == 1);
    BOOST_TEST(reader.pauseRatio(1, start) == 1);
}

BOOST_AUTO_TEST_CASE(few_observations_change_little)
{
    EndpointSpeeds speeds;
    speeds.observeFirstEvent(1, 0.5, 0.1, start);
    speeds.setTotal(speeds.ownReport(start), 1, members(4), start);
    BOOST_TEST(speeds.firstEventRatio(1, start) < 1.4);
}

// Guards against requests that avoid a restarted endpoint because the one before it was slow.
BOOST_AUTO_TEST_CASE(a_new_incarnation_starts_with_ratio_1)
{
    auto older = shortNameOf(EndpointIncarnation { .id = "i", .born = 5 });
    auto newer = shortNameOf(EndpointIncarnation { .id = "i", .born = 9 });
    EndpointSpeeds speeds;
    for (int n = 0; n < 40; ++n) {
        speeds.observeFirstEvent(older, 0.4, 0.1, start);
        speeds.observeFirstEvent(1, 0.1, 0.1, start);
    }
    speeds.setTotal(speeds.ownReport(start), 1, { { "s", { older, 1 } } }, start);
    BOOST_TEST(speeds.firstEventRatio(older, start) > 1.5);
    speeds.setTotal(speeds.ownReport(start), 1, { { "s", { newer, 1 } } }, start);
    BOOST_TEST(speeds.firstEventRatio(newer, start) == 1);
    BOOST_TEST(!speeds.ownReport(start).endpoints.contains(older));
}

// Guards against avoiding an endpoint long after a slowdown of less than a second.
BOOST_AUTO_TEST_CASE(a_short_slowdown_counts_for_one_second)
{
    EndpointSpeeds speeds;
    speeds.observePause(1, 0.05, 0.02, at(0));
    BOOST_TEST(speeds.pauseRatio(1, at(0)) == 1);
    speeds.observePause(1, 0.05, 0.02, at(100));
    BOOST_TEST(speeds.pauseRatio(1, at(100)) > 2.4);
    BOOST_TEST(speeds.firstEventRatio(1, at(1100)) > 2.4);
    BOOST_TEST(speeds.firstEventRatio(1, at(1101)) == 1);
    // It ends at once when the endpoint is measured to be fast again.
    speeds.observePause(1, 0.05, 0.02, at(2000));
    speeds.observePause(1, 0.05, 0.02, at(2100));
    speeds.observePause(1, 0.02, 0.02, at(2200));
    speeds.observePause(1, 0.02, 0.02, at(2300));
    BOOST_TEST(speeds.pauseRatio(1, at(2300)) == 1);
}

// Guards against one observation with a huge time, or a service that is slow as a whole, changing choices.
BOOST_AUTO_TEST_CASE(ratios_are_bounded_and_relative_to_the_service)
{
    EndpointSpeeds speeds;
    for (int n = 0; n < 1000; ++n) {
        speeds.observeFirstEvent(1, 1e9, 0.1, start);
        speeds.observeFirstEvent(2, 1e-9, 0.1, start);
    }
    auto report = speeds.ownReport(start);
    BOOST_TEST(report.isSound());
    speeds.setTotal(report, 1, members(2), start);
    BOOST_TEST(speeds.firstEventRatio(1, start) == 5, boost::test_tools::tolerance(0.01));
    BOOST_TEST(speeds.firstEventRatio(2, start) == 0.2, boost::test_tools::tolerance(0.01));
    EndpointSpeeds slowService;
    for (ShortName name = 1; name <= 4; ++name) {
        for (int n = 0; n < 100; ++n)
            slowService.observeFirstEvent(name, 0.3, 0.1, start);
    }
    slowService.setTotal(slowService.ownReport(start), 1, members(4), start);
    BOOST_TEST(slowService.firstEventRatio(1, at(2000)) == 1);
}

BOOST_AUTO_TEST_CASE(bad_values_in_a_message_are_refused)
{
    auto isSound = [](const EndpointSpeedSums& sums) { return EndpointSpeedReport { .endpoints = { { 1, sums } } }.isSound(); };
    BOOST_TEST(isSound({ .firstEventWeight = 16, .firstEventLog = -1600, .pauseWeight = 1, .pauseLog = 1600, .requests = 2, .failures = 2, .failingNodes = 1 }));
    BOOST_TEST(!isSound({ .firstEventLog = 2001 }));
    BOOST_TEST(!isSound({ .pauseLog = -2001 }));
    BOOST_TEST(!isSound({ .pauseLog = std::numeric_limits<std::int16_t>::min() }));
    BOOST_TEST(!isSound({ .requests = 1, .failures = 2, .failingNodes = 1 }));
    BOOST_TEST(!isSound({ .requests = 2, .failures = 1, .failingNodes = 2 }));
    EndpointSpeedReport tooMany;
    for (ShortName name = 0; name <= EndpointSpeedReport::maximumEndpoints; ++name)
        tooMany.endpoints[name] = { .requests = 1 };
    BOOST_TEST(!tooMany.isSound());
}

// Guards against datagrams that grow with the number of endpoints, and against the loss of failures from the limited list.
BOOST_AUTO_TEST_CASE(a_sum_lists_at_most_256_endpoints)
{
    EndpointSpeedReport sum;
    EndpointSpeedReport other { .endpoints = { { 5, { .requests = 3, .failures = 1, .failingNodes = 1 } } } };
    for (ShortName name = 1000; name < 1256; ++name)
        sum.endpoints[name] = { .firstEventWeight = static_cast<std::uint16_t>(name) };
    sum += other;
    BOOST_TEST(sum.endpoints.size() == 256U);
    BOOST_TEST(sum.endpoints.contains(5));
    BOOST_TEST(!sum.endpoints.contains(1000));
    SumUpdate<EndpointSpeedReport> update { .node = "node-000", .lifetime = 1, .zone = "zone-a", .scope = SumScope::Fleet, .nodes = 85, .sum = sum };
    auto message = packMessage(MessageType::EndpointSpeeds, update);
    auto decoded = unpackMessage<SumUpdate<EndpointSpeedReport>>(MessageType::EndpointSpeeds, message);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value() == update));
    BOOST_TEST(encodeFrame(message).size() < 5000U);
}

// Guards against losing all ratios at once when the node's network fails, and against keeping outdated ratios forever.
BOOST_AUTO_TEST_CASE(a_node_that_is_cut_off_keeps_the_last_ratios_and_lets_them_fade)
{
    EndpointSpeedReport total;
    for (ShortName name = 1; name <= 4; ++name)
        total.endpoints[name] = { .firstEventWeight = 320, .firstEventLog = static_cast<std::int16_t>(name == 1 ? 700 : 0) };
    EndpointSpeeds speeds;
    speeds.setTotal(total, 85, members(4), at(0));
    auto connected = speeds.firstEventRatio(1, at(0));
    BOOST_TEST(connected == 1.4);
    auto last = connected;
    for (int time = 250; time <= 60000; time += 250) {
        speeds.setTotal({}, 1, members(4), at(time));
        auto ratio = speeds.firstEventRatio(1, at(time));
        BOOST_TEST(ratio <= last + 0.01);
        if (time <= 5000)
            BOOST_TEST(ratio > 1.3);
        last = ratio;
    }
    BOOST_TEST(last == 1);
}

BOOST_AUTO_TEST_CASE(an_endpoint_that_fails_at_several_nodes_is_ejected)
{
    EndpointSpeeds speeds;
    speeds.setTotal(failures(5, 2, 1), 85, members(9), at(0));
    BOOST_TEST(!speeds.isUsable(1, at(0)));
    BOOST_TEST(speeds.isUsable(2, at(0)));
    BOOST_TEST(speeds.ejected() == 1U);
    auto changes = speeds.takeChanges();
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST((changes[0].kind == EndpointSpeedChange::Kind::Ejected));
    BOOST_TEST(changes[0].requests == 10U);
    BOOST_TEST(changes[0].failures == 5U);
}

BOOST_AUTO_TEST_CASE(too_little_evidence_ejects_nothing)
{
    auto isUsableAfter = [](const EndpointSpeedReport& total) {
        EndpointSpeeds speeds;
        speeds.setTotal(total, 85, members(9), at(0));
        return speeds.isUsable(1, at(0));
    };
    BOOST_TEST(isUsableAfter(failures(1, 50, 50))); // One node may have lost its connection.
    BOOST_TEST(isUsableAfter(failures(2, 2, 2))); // Four requests.
    BOOST_TEST(isUsableAfter(failures(10, 10, 3))); // 30 percent.
    BOOST_TEST(!isUsableAfter(failures(10, 10, 4)));
    // All endpoints refuse requests because the service is overloaded.
    EndpointSpeedReport overload;
    for (ShortName name = 1; name <= 9; ++name)
        overload.endpoints[name] = { .requests = 100, .failures = static_cast<std::uint16_t>(name == 1 ? 70 : 50), .failingNodes = 20 };
    BOOST_TEST(isUsableAfter(overload));
}

// Guards against a fault of many endpoints that leaves the remaining ones overloaded.
BOOST_AUTO_TEST_CASE(at_most_a_third_of_a_service_is_ejected)
{
    EndpointSpeedReport total;
    for (ShortName name = 1; name <= 10; ++name)
        total.endpoints[name] = { .requests = 100, .failures = static_cast<std::uint16_t>(name <= 4 ? 90 + name : 0), .failingNodes = static_cast<std::uint16_t>(name <= 4 ? 20 : 0) };
    EndpointSpeeds speeds;
    speeds.setTotal(total, 85, members(10), at(0));
    BOOST_TEST(speeds.ejected() == 3U);
    BOOST_TEST(speeds.isUsable(1, at(0))); // The fewest failures of the four.
    // One of two endpoints is more than a third.
    EndpointSpeeds twoEndpoints;
    twoEndpoints.setTotal(failures(5, 2, 2, 2), 85, members(2), at(0));
    BOOST_TEST(twoEndpoints.isUsable(1, at(0)));
}

// Guards against an endpoint that stays ejected after it has recovered, and against all requests returning to one that has not.
BOOST_AUTO_TEST_CASE(an_ejected_endpoint_is_tried_by_single_requests)
{
    EndpointSpeeds speeds;
    speeds.setTotal(failures(5, 2, 2), 85, members(9), at(0));
    int now = 0;
    for (int seconds : { 1, 2, 4, 8, 8 }) {
        BOOST_TEST(!speeds.isUsable(1, at(now + seconds * 1000 - 1)));
        now += seconds * 1000;
        BOOST_TEST(speeds.isUsable(1, at(now)));
        speeds.onSent(1, at(now));
        BOOST_TEST(!speeds.isUsable(1, at(now)));
        // The end of a request to another endpoint must not end the trial.
        speeds.onEndWithoutEvidence(2);
        speeds.onEnd(1, true, at(now));
    }
    now += 8000;
    speeds.onSent(1, at(now));
    // A request whose client disconnected shows nothing, so another one may be sent.
    speeds.onEndWithoutEvidence(1);
    BOOST_TEST(speeds.isUsable(1, at(now)));
    speeds.onSent(1, at(now));
    speeds.onEnd(1, false, at(now));
    BOOST_TEST(speeds.isUsable(1, at(now)));
    // Sums that other nodes sent before they took the endpoint back.
    speeds.setTotal(failures(5, 2, 2), 85, members(9), at(now + 500));
    BOOST_TEST(speeds.isUsable(1, at(now + 500)));
    speeds.setTotal(failures(5, 2, 2), 85, members(9), at(now + 2000));
    BOOST_TEST(!speeds.isUsable(1, at(now + 2000)));
}

BOOST_AUTO_TEST_CASE(failures_count_for_two_seconds)
{
    EndpointSpeeds speeds;
    speeds.onEnd(1, true, at(0));
    speeds.onEnd(1, false, at(100));
    auto report = speeds.ownReport(at(1400));
    BOOST_TEST(report.endpoints.at(1).requests == 2U);
    BOOST_TEST(report.endpoints.at(1).failures == 1U);
    BOOST_TEST(report.endpoints.at(1).failingNodes == 1U);
    BOOST_TEST(speeds.ownReport(at(2500)).endpoints.empty());
}

BOOST_AUTO_TEST_CASE(switched_off_it_measures_and_changes_nothing)
{
    EndpointSpeeds speeds({ .enabled = false });
    speeds.observeFirstEvent(1, 1, 0.1, at(0));
    speeds.observeFirstEvent(1, 1, 0.1, at(1));
    speeds.onEnd(1, true, at(1));
    BOOST_TEST(speeds.ownReport(at(2)).endpoints.empty());
    speeds.setTotal(failures(5, 2, 2), 85, members(9), at(2));
    BOOST_TEST(speeds.isUsable(1, at(2)));
    BOOST_TEST(speeds.firstEventRatio(1, at(2)) == 1);
}

// Guards against streams with too long pauses at an endpoint that is the home of their prompt, and against late ones because of it.
BOOST_AUTO_TEST_CASE(an_endpoint_with_long_pauses_is_chosen_only_if_no_other_is_on_time)
{
    std::vector<ChoiceCandidate> candidates(3, { .slots = 16 });
    candidates[0].rank = 9;
    candidates[0].expectedPauseSeconds = 0.08;
    candidates[1].rank = 5;
    candidates[1].expectedPauseSeconds = 0.03;
    ChoiceRequest request { .promptTokens = 4000, .sharedTokens = 3000, .earlyEnoughSeconds = 0.2, .objectiveSeconds = 0.5, .pauseObjectiveSeconds = 0.05 };
    auto choice = chooseEndpoint(candidates, request, {});
    BOOST_REQUIRE(choice.has_value());
    BOOST_TEST(choice->candidate == 1U);
    BOOST_TEST(choice->reason == "home");
    // The others have long queues.
    candidates[1].waitingTokens = 100000;
    candidates[2].waitingTokens = 100000;
    BOOST_TEST(chooseEndpoint(candidates, request, {})->candidate == 0U);
    request.pauseObjectiveSeconds = 0;
    candidates[1].waitingTokens = 0;
    BOOST_TEST(chooseEndpoint(candidates, request, {})->candidate == 0U);
}

BOOST_AUTO_TEST_CASE(expected_times_scale_with_the_ratio)
{
    ChoiceRequest request { .promptTokens = 4000 };
    ChoiceOptions options;
    ChoiceCandidate candidate { .slots = 16, .inFlight = 3, .waitingTokens = 8000, .sameZone = true };
    auto usual = expectedSeconds(candidate, request, options);
    candidate.slowness = 1.7;
    BOOST_TEST(expectedSeconds(candidate, request, options) == 1.7 * usual, boost::test_tools::tolerance(1e-9));
}

// Guards against the loss described in docs/hard_load.md: a third of the endpoints is slow but gets a full share of the requests. Refused,
// failed and late requests must at most be half of today's, and the slow endpoints must get less within the 10 s over which ratios are
// effective.
BOOST_AUTO_TEST_CASE(uneven_endpoints_make_half_as_many_requests_late)
{
    for (std::uint64_t seed : { 1U, 7U, 11U }) {
        FleetLoad load { .enabled = false, .seed = seed };
        auto without = SpeedSimulation(load).run();
        describe("without", without);
        load.enabled = true;
        auto with = SpeedSimulation(load).run();
        describe("with", with);
        auto latePart = [](const FleetResult& it) { return it.all.late / it.all.requests; };
        BOOST_TEST(latePart(with) <= 0.5 * latePart(without));
        auto slowShare = [](const FleetResult& it, std::size_t second) { return (it.slowShareBySecond[second] + it.slowShareBySecond[second + 1]) / 2; };
        BOOST_TEST(slowShare(with, 10) < slowShare(without, 10));
    }
}

// Without a pause objective, only expected times count. Guards against requests that avoid slow endpoints and all go to the same fast ones:
// up to 16 percent of first events were late at 85 nodes, and 5 percent without measurements.
BOOST_AUTO_TEST_CASE(uneven_endpoints_make_half_as_many_first_events_late_without_a_pause_objective)
{
    for (auto [nodes, seed] : { std::pair(9U, 1U), { 85U, 1U }, { 85U, 7U }, { 85U, 11U } }) {
        FleetLoad load { .nodes = nodes, .viewAge = Milliseconds(nodes > 16 ? 800 : 250), .pauseObjectiveSeconds = 0, .enabled = false, .seed = seed };
        auto without = SpeedSimulation(load).run();
        describe("without", without);
        load.enabled = true;
        auto with = SpeedSimulation(load).run();
        describe("with", with);
        BOOST_TEST(with.all.lateFirstEvents / with.all.requests <= 0.5 * without.all.lateFirstEvents / without.all.requests);
    }
}

// Guards against measurements that change the choices of a deployment whose endpoints are alike.
BOOST_AUTO_TEST_CASE(alike_endpoints_are_chosen_as_without_measurements)
{
    FleetLoad load { .nodes = 9, .endpoints = 12, .requestsPerSecond = 20, .seconds = 20, .viewAge = Milliseconds(250), .enabled = false, .isUneven = false };
    auto without = SpeedSimulation(load).run();
    load.enabled = true;
    auto with = SpeedSimulation(load).run();
    BOOST_TEST(without.choices == with.choices, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
