// What nodes give together of what a limited endpoint takes, by simulation of 9 nodes, and of the relays of 300 and of 420.
#include "tests/modules/limits/limit_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds settled { 3000 }; // After the first word, by when all nodes keep to it.

struct Fleet {
    const char* name { "" };
    unsigned givers { 9 };
    Milliseconds delay { 1 };
    Milliseconds newsTime { 100 }; // As EntryLimits sets it.
};

const Fleet fleets[] { { "9 nodes", 9, Milliseconds(1) }, { "300 nodes, relays of 6 zones", 12, Milliseconds(5), Milliseconds(200) }, { "420 nodes, relays of 11 zones in 3 regions", 22, Milliseconds(20), Milliseconds(200) } };

// What an endpoint may get in any four seconds.
double allowed(double perSecond) { return 1.5 * perSecond * 4 + 5; }

struct Figures {
    std::size_t most { 0 };
    double used { 0 };
};

Figures play(const LimitSimulationOptions& options)
{
    constexpr Milliseconds counted { 40000 };
    LimitSimulation it(options);
    auto namedAt = it.now();
    it.name(0, options.perSecond);
    it.run(settled + counted);
    auto used = static_cast<double>(it.givenSince(namedAt + settled)) / (options.perSecond * std::chrono::duration<double>(counted).count());
    return { .most = it.mostGiven(namedAt + settled), .used = used };
}

} // namespace

BOOST_AUTO_TEST_SUITE(LimitsOfEndpoints)

BOOST_AUTO_TEST_CASE(all_nodes_together_keep_to_it_and_use_it)
{
    constexpr double wellUsed = 0.75;
    for (const auto& fleet : fleets) {
        for (double perSecond : { 0.5, 1.0, 5.0, 20.0, 200.0 }) {
            for (double excess : { 1.0, 3.0, 30.0 }) {
                for (bool isSkewed : { false, true }) {
                    auto figures = play({ .givers = fleet.givers, .perSecond = perSecond, .asksPerSecond = excess * perSecond + 4, .isSkewed = isSkewed, .delay = fleet.delay, .newsTime = fleet.newsTime });
                    BOOST_TEST_CONTEXT(fleet.name << ", " << perSecond << " a second, asked for " << excess << " times as often" << (isSkewed ? " at one" : ""))
                    {
                        BOOST_TEST_MESSAGE(figures.most << " of " << allowed(perSecond) << ", used " << figures.used);
                        BOOST_TEST(static_cast<double>(figures.most) <= allowed(perSecond));
                        BOOST_TEST(figures.used >= wellUsed);
                    }
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_burst_of_asks_stays_within_it)
{
    for (const auto& fleet : fleets) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            LimitSimulation it({ .givers = fleet.givers, .perSecond = 1, .asksPerSecond = 2, .delay = fleet.delay, .newsTime = fleet.newsTime, .seed = seed });
            auto namedAt = it.now();
            it.name(0, 1);
            it.run(Milliseconds(6000));
            it.setAsks(100);
            it.run(Milliseconds(6000));
            it.setAsks(2);
            it.run(Milliseconds(4000));
            it.setAsks(400);
            it.run(Milliseconds(6000));
            BOOST_TEST_CONTEXT(fleet.name << ", seed " << seed)
            BOOST_TEST(static_cast<double>(it.mostGiven(namedAt + settled)) <= allowed(1));
        }
    }
}

BOOST_AUTO_TEST_CASE(lost_messages_and_nodes_that_start_anew_do_not_break_it)
{
    for (const auto& fleet : fleets) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            LimitSimulation it({ .givers = fleet.givers, .perSecond = 2, .asksPerSecond = 60, .lossPart = 0.25, .delay = fleet.delay, .newsTime = fleet.newsTime, .seed = seed });
            auto namedAt = it.now();
            it.name(0, 2);
            for (unsigned n = 0; n < fleet.givers; ++n) {
                it.run(Milliseconds(700));
                it.kill(n);
                it.run(Milliseconds(400));
                it.restart(n);
            }
            it.run(Milliseconds(3000));
            BOOST_TEST_CONTEXT(fleet.name << ", seed " << seed)
            BOOST_TEST(static_cast<double>(it.mostGiven(namedAt + settled)) <= allowed(2));
        }
    }
}

BOOST_AUTO_TEST_CASE(a_lower_word_holds_at_once_and_everywhere)
{
    for (const auto& fleet : fleets) {
        LimitSimulation it({ .givers = fleet.givers, .perSecond = 50, .asksPerSecond = 300, .delay = fleet.delay, .newsTime = fleet.newsTime });
        it.name(0, 50);
        it.run(Milliseconds(5000));
        auto loweredAt = it.now();
        it.name(1, 1);
        it.run(Milliseconds(500));
        for (unsigned n = 0; n < fleet.givers; ++n)
            BOOST_TEST((it.limits(n).perSecond({ .id = "i-1" }) == 1.0));
        auto toldAt = it.now();
        BOOST_TEST(it.givenSince(loweredAt) < 50U);
        it.run(Milliseconds(10000));
        BOOST_TEST(static_cast<double>(it.givenSince(toldAt)) <= 10 + 5);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CreditsOfEndpoints)

namespace {

const EndpointLife endpoint { .id = "i-1" };
const SteadyTime start { std::chrono::seconds(1000) };

EndpointCredits limitedTo(double perSecond)
{
    EndpointCredits credits({}, 1);
    credits.setLimit(endpoint, perSecond, start);
    return credits;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_endpoint_that_names_nothing_needs_none)
{
    EndpointCredits credits({}, 1);
    for (int n = 0; n < 100; ++n)
        BOOST_TEST(credits.take(endpoint, 1, start));
    credits.setLimit(endpoint, 1, start);
    BOOST_TEST(!credits.take(endpoint, 1, start));
    credits.setLimit(endpoint, std::nullopt, start);
    BOOST_TEST(credits.take(endpoint, 1, start));
}

BOOST_AUTO_TEST_CASE(little_is_saved_up)
{
    auto credits = limitedTo(2);
    auto later = start + std::chrono::seconds(3600);
    int given = 0;
    for (int n = 0; n < 1000; ++n)
        given += credits.take(endpoint, 0, later) ? 1 : 0;
    BOOST_TEST(given == 2);
}

BOOST_AUTO_TEST_CASE(a_credit_that_was_not_used_goes_to_the_next)
{
    auto credits = limitedTo(1);
    auto later = start + std::chrono::milliseconds(1100);
    BOOST_TEST(credits.take(endpoint, 1, later));
    BOOST_TEST((credits.nextAt(endpoint, later) > later));
    credits.giveBack(endpoint, later);
    BOOST_TEST((credits.nextAt(endpoint, later) == later));
    BOOST_TEST(credits.take(endpoint, 1, later));
    BOOST_TEST(!credits.take(endpoint, 1, later));
    credits.giveBack(endpoint, later);
    BOOST_TEST(!credits.take(endpoint, 1, later + Milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(one_that_takes_nothing_is_asked_seldom)
{
    auto credits = limitedTo(0);
    int given = 0;
    for (int n = 0; n < 60000; n += 10)
        given += credits.take(endpoint, 1, start + Milliseconds(n)) ? 1 : 0;
    BOOST_TEST(given >= 4);
    BOOST_TEST(given <= 8);
}

BOOST_AUTO_TEST_CASE(what_others_give_is_missing_here)
{
    auto credits = limitedTo(1);
    auto later = start + std::chrono::seconds(3);
    credits.onUses("b", 7, { { .endpoint = hashOf(endpoint), .given = 2 } }, later);
    BOOST_TEST(!credits.take(endpoint, 1, later));
    // The same told again, or late, is nothing new.
    credits.onUses("b", 7, { { .endpoint = hashOf(endpoint), .given = 2 } }, later);
    credits.onUses("b", 6, { { .endpoint = hashOf(endpoint), .given = 900 } }, later);
    BOOST_TEST(credits.take(endpoint, 0, later + std::chrono::milliseconds(1000)));
    // A new life begins to count anew.
    credits.onUses("b", 8, { { .endpoint = hashOf(endpoint), .given = 1 } }, later + std::chrono::milliseconds(2000));
    BOOST_TEST(!credits.take(endpoint, 0, later + std::chrono::milliseconds(2000)));
}

BOOST_AUTO_TEST_CASE(what_was_given_before_this_node_began_is_not_charged)
{
    auto credits = limitedTo(1);
    credits.onUses("b", 7, { { .endpoint = hashOf(endpoint), .given = 500 } }, start + Milliseconds(20));
    BOOST_TEST(credits.take(endpoint, 1, start + Milliseconds(1100)));
}

BOOST_AUTO_TEST_CASE(a_great_overshoot_is_paid_back_for_four_seconds)
{
    auto credits = limitedTo(1);
    auto later = start + std::chrono::seconds(3);
    credits.onUses("b", 7, { { .endpoint = hashOf(endpoint), .given = 500 } }, later);
    BOOST_TEST(!credits.take(endpoint, 0, later + Milliseconds(4900)));
    BOOST_TEST(credits.take(endpoint, 0, later + Milliseconds(5100)));
}

BOOST_AUTO_TEST_CASE(what_silent_nodes_may_give_is_left_to_them)
{
    auto credits = limitedTo(1);
    credits.setSpeakingPart(0.5);
    BOOST_TEST(!credits.take(endpoint, 1, start + Milliseconds(1900)));
    BOOST_TEST(credits.take(endpoint, 1, start + Milliseconds(2100)));
}

BOOST_AUTO_TEST_CASE(numbers_that_no_node_can_mean_change_nothing)
{
    auto credits = limitedTo(1);
    for (double asks : { -1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() })
        credits.onUses("b", 7, { { .endpoint = hashOf(endpoint), .given = 500, .asksPerSecond = asks } }, start + Milliseconds(1000));
    BOOST_TEST(credits.take(endpoint, 1, start + Milliseconds(1100)));
}

// A node whose clock was ahead ended a limit for as long as it was ahead, whatever the endpoint said meanwhile.
BOOST_AUTO_TEST_CASE(a_word_from_the_future_says_nothing)
{
    EndpointLimits limits({}, 1);
    limits.hear({ .endpoint = endpoint, .perSecond = 1, .sentAt = 1000, .heardAt = 1010 }, start);
    LimitNews news { .node = "b", .lifetime = 1, .words = { { .endpoint = endpoint, .perSecond = unlimitedPerSecond, .sentAt = 6000, .heardAt = 6010 } } };
    BOOST_TEST(!limits.onNews(news, 1020, start));
    BOOST_TEST(limits.isLimited(endpoint));
    BOOST_TEST(limits.onNews(news, 6020, start));
    BOOST_TEST(!limits.isLimited(endpoint));
}

BOOST_AUTO_TEST_SUITE_END()
