// Tests that nodes together grant no more credits for a limited endpoint than it advertises, and use most of them: simulations of 9
// nodes, and of the relay nodes of fleets of 300 and of 420 nodes; then single steps of EndpointCredits and EndpointLimits.
#include "tests/modules/limits/limit_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds settleTime { 3000 }; // Time from the first advertised limit until all nodes are expected to enforce it.

struct Fleet {
    const char* name { "" };
    unsigned granters { 9 };
    Milliseconds delay { 1 };
    Milliseconds propagationTime { 100 }; // Same value as EntryLimits uses.
};

const Fleet fleets[] { { "9 nodes", 9, Milliseconds(1) }, { "300 nodes, relays of 6 zones", 12, Milliseconds(5), Milliseconds(200) }, { "420 nodes, relays of 11 zones in 3 regions", 22, Milliseconds(20), Milliseconds(200) } };

// Upper bound of the credits that may be granted within any four seconds.
double maxAllowed(double perSecond) { return 1.5 * perSecond * 4 + 5; }

struct Result {
    std::size_t maxGrantedIn4s { 0 };
    double usedShare { 0 };
};

Result simulate(const LimitSimulationOptions& options)
{
    constexpr Milliseconds counted { 40000 };
    LimitSimulation it(options);
    auto advertisedAt = it.now();
    it.advertise(0, options.perSecond);
    it.run(settleTime + counted);
    auto usedShare = static_cast<double>(it.grantedSince(advertisedAt + settleTime)) / (options.perSecond * std::chrono::duration<double>(counted).count());
    return { .maxGrantedIn4s = it.maxGranted(advertisedAt + settleTime), .usedShare = usedShare };
}

} // namespace

BOOST_AUTO_TEST_SUITE(LimitsOfEndpoints)

BOOST_AUTO_TEST_CASE(nodes_together_enforce_and_use_the_limit)
{
    constexpr double minUsedShare = 0.75;
    for (const auto& fleet : fleets) {
        for (double perSecond : { 0.5, 1.0, 5.0, 20.0, 200.0 }) {
            for (double overload : { 1.0, 3.0, 30.0 }) {
                for (bool isSkewed : { false, true }) {
                    auto result = simulate({ .granters = fleet.granters, .perSecond = perSecond, .creditRequestsPerSecond = overload * perSecond + 4, .isSkewed = isSkewed, .delay = fleet.delay, .propagationTime = fleet.propagationTime });
                    BOOST_TEST_CONTEXT(fleet.name << ", " << perSecond << " a second, asked for " << overload << " times as often" << (isSkewed ? " at one" : ""))
                    {
                        BOOST_TEST_MESSAGE(result.maxGrantedIn4s << " of " << maxAllowed(perSecond) << ", used " << result.usedShare);
                        BOOST_TEST(static_cast<double>(result.maxGrantedIn4s) <= maxAllowed(perSecond));
                        BOOST_TEST(result.usedShare >= minUsedShare);
                    }
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(burst_of_credit_requests_stays_within_limit)
{
    for (const auto& fleet : fleets) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            LimitSimulation it({ .granters = fleet.granters, .perSecond = 1, .creditRequestsPerSecond = 2, .delay = fleet.delay, .propagationTime = fleet.propagationTime, .seed = seed });
            auto advertisedAt = it.now();
            it.advertise(0, 1);
            it.run(Milliseconds(6000));
            it.setCreditRequests(100);
            it.run(Milliseconds(6000));
            it.setCreditRequests(2);
            it.run(Milliseconds(4000));
            it.setCreditRequests(400);
            it.run(Milliseconds(6000));
            BOOST_TEST_CONTEXT(fleet.name << ", seed " << seed)
            BOOST_TEST(static_cast<double>(it.maxGranted(advertisedAt + settleTime)) <= maxAllowed(1));
        }
    }
}

BOOST_AUTO_TEST_CASE(limit_holds_with_lost_messages_and_node_restarts)
{
    for (const auto& fleet : fleets) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            LimitSimulation it({ .granters = fleet.granters, .perSecond = 2, .creditRequestsPerSecond = 60, .lossShare = 0.25, .delay = fleet.delay, .propagationTime = fleet.propagationTime, .seed = seed });
            auto advertisedAt = it.now();
            it.advertise(0, 2);
            for (unsigned n = 0; n < fleet.granters; ++n) {
                it.run(Milliseconds(700));
                it.stop(n);
                it.run(Milliseconds(400));
                it.restart(n);
            }
            it.run(Milliseconds(3000));
            BOOST_TEST_CONTEXT(fleet.name << ", seed " << seed)
            BOOST_TEST(static_cast<double>(it.maxGranted(advertisedAt + settleTime)) <= maxAllowed(2));
        }
    }
}

BOOST_AUTO_TEST_CASE(lower_limit_is_enforced_quickly_on_all_nodes)
{
    for (const auto& fleet : fleets) {
        LimitSimulation it({ .granters = fleet.granters, .perSecond = 50, .creditRequestsPerSecond = 300, .delay = fleet.delay, .propagationTime = fleet.propagationTime });
        it.advertise(0, 50);
        it.run(Milliseconds(5000));
        auto loweredAt = it.now();
        it.advertise(1, 1);
        it.run(Milliseconds(500));
        for (unsigned n = 0; n < fleet.granters; ++n)
            BOOST_TEST((it.limits(n).perSecond({ .id = "i-1" }) == 1.0));
        auto propagatedAt = it.now();
        BOOST_TEST(it.grantedSince(loweredAt) < 50U);
        it.run(Milliseconds(10000));
        BOOST_TEST(static_cast<double>(it.grantedSince(propagatedAt)) <= 10 + 5);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CreditsOfEndpoints)

namespace {

const EndpointIncarnation endpoint { .id = "i-1" };
const SteadyTime start { std::chrono::seconds(1000) };

EndpointCredits limitedTo(double perSecond)
{
    EndpointCredits credits({}, 1);
    credits.setLimit(endpoint, perSecond, start);
    return credits;
}

} // namespace

BOOST_AUTO_TEST_CASE(endpoint_without_limit_needs_no_credits)
{
    EndpointCredits credits({}, 1);
    for (int n = 0; n < 100; ++n)
        BOOST_TEST(credits.take(endpoint, 1, start));
    credits.setLimit(endpoint, 1, start);
    BOOST_TEST(!credits.take(endpoint, 1, start));
    credits.setLimit(endpoint, std::nullopt, start);
    BOOST_TEST(credits.take(endpoint, 1, start));
}

BOOST_AUTO_TEST_CASE(idle_bucket_accumulates_few_credits)
{
    auto credits = limitedTo(2);
    auto later = start + std::chrono::seconds(3600);
    int grantedCount = 0;
    for (int n = 0; n < 1000; ++n)
        grantedCount += credits.take(endpoint, 0, later) ? 1 : 0;
    BOOST_TEST(grantedCount == 2);
}

BOOST_AUTO_TEST_CASE(returned_credit_is_granted_to_next_request)
{
    auto credits = limitedTo(1);
    auto later = start + std::chrono::milliseconds(1100);
    BOOST_TEST(credits.take(endpoint, 1, later));
    BOOST_TEST((credits.nextCreditAt(endpoint, later) > later));
    credits.refundCredit(endpoint, later);
    BOOST_TEST((credits.nextCreditAt(endpoint, later) == later));
    BOOST_TEST(credits.take(endpoint, 1, later));
    BOOST_TEST(!credits.take(endpoint, 1, later));
    credits.refundCredit(endpoint, later);
    BOOST_TEST(!credits.take(endpoint, 1, later + Milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(endpoint_with_limit_zero_gets_few_credits)
{
    auto credits = limitedTo(0);
    int grantedCount = 0;
    for (int n = 0; n < 60000; n += 10)
        grantedCount += credits.take(endpoint, 1, start + Milliseconds(n)) ? 1 : 0;
    BOOST_TEST(grantedCount >= 4);
    BOOST_TEST(grantedCount <= 8);
}

BOOST_AUTO_TEST_CASE(grants_of_peers_are_charged)
{
    auto credits = limitedTo(1);
    auto later = start + std::chrono::seconds(3);
    credits.onPeerUses("b", 7, { { .endpoint = hashOf(endpoint), .granted = 2 } }, later);
    BOOST_TEST(!credits.take(endpoint, 1, later));
    // Repeated and late reports charge nothing.
    credits.onPeerUses("b", 7, { { .endpoint = hashOf(endpoint), .granted = 2 } }, later);
    credits.onPeerUses("b", 6, { { .endpoint = hashOf(endpoint), .granted = 900 } }, later);
    BOOST_TEST(credits.take(endpoint, 0, later + std::chrono::milliseconds(1000)));
    // The counter of a new incarnation starts at 0.
    credits.onPeerUses("b", 8, { { .endpoint = hashOf(endpoint), .granted = 1 } }, later + std::chrono::milliseconds(2000));
    BOOST_TEST(!credits.take(endpoint, 0, later + std::chrono::milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(grants_before_the_bucket_existed_are_not_charged)
{
    auto credits = limitedTo(1);
    credits.onPeerUses("b", 7, { { .endpoint = hashOf(endpoint), .granted = 500 } }, start + Milliseconds(20));
    BOOST_TEST(credits.take(endpoint, 1, start + Milliseconds(1100)));
}

BOOST_AUTO_TEST_CASE(debt_is_capped_at_four_seconds_of_rate)
{
    auto credits = limitedTo(1);
    auto later = start + std::chrono::seconds(3);
    credits.onPeerUses("b", 7, { { .endpoint = hashOf(endpoint), .granted = 500 } }, later);
    BOOST_TEST(!credits.take(endpoint, 0, later + Milliseconds(4900)));
    BOOST_TEST(credits.take(endpoint, 0, later + Milliseconds(5100)));
}

BOOST_AUTO_TEST_CASE(share_of_unreachable_nodes_is_not_granted)
{
    auto credits = limitedTo(1);
    credits.setReachableShare(0.5);
    BOOST_TEST(!credits.take(endpoint, 1, start + Milliseconds(1900)));
    BOOST_TEST(credits.take(endpoint, 1, start + Milliseconds(2100)));
}

BOOST_AUTO_TEST_CASE(invalid_request_rates_are_ignored)
{
    auto credits = limitedTo(1);
    for (double asks : { -1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() })
        credits.onPeerUses("b", 7, { { .endpoint = hashOf(endpoint), .granted = 500, .creditRequestsPerSecond = asks } }, start + Milliseconds(1000));
    BOOST_TEST(credits.take(endpoint, 1, start + Milliseconds(1100)));
}

// Guards against a node whose clock is ahead: its answer without a limit overrode all limits advertised until the other clocks had caught
// up.
BOOST_AUTO_TEST_CASE(limit_with_future_timestamp_is_ignored)
{
    EndpointLimits limits({}, 1);
    limits.onAdvertisedLimit({ .endpoint = endpoint, .perSecond = 1, .sentAt = 1000, .receivedAt = 1010 }, start);
    LimitUpdate limitMessage { .node = "b", .lifetime = 1, .limits = { { .endpoint = endpoint, .perSecond = unlimitedPerSecond, .sentAt = 6000, .receivedAt = 6010 } } };
    BOOST_TEST(!limits.onPeerUpdate(limitMessage, 1020, start));
    BOOST_TEST(limits.isLimited(endpoint));
    BOOST_TEST(limits.onPeerUpdate(limitMessage, 6020, start));
    BOOST_TEST(!limits.isLimited(endpoint));
}

BOOST_AUTO_TEST_SUITE_END()
