#include "modules/duty/reclaim_outlook.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace Onyxnotch;

namespace {

SteadyTime at(int milliseconds) { return SteadyTime(std::chrono::hours(1)) + Milliseconds(milliseconds); }

} // namespace

BOOST_AUTO_TEST_SUITE(ReclaimOutlooks)

BOOST_AUTO_TEST_CASE(a_reclaim_raises_the_chance_of_another_for_a_while)
{
    ReclaimOutlook outlook;
    outlook.advance(4, at(0));
    auto calm = outlook.chanceWithin(4, at(0));
    outlook.onReclaim(at(100));
    BOOST_TEST(outlook.inWave(at(200)));
    BOOST_TEST(outlook.chanceWithin(4, at(200)) > 5 * calm);
    BOOST_TEST(!outlook.inWave(at(10000)));
    BOOST_TEST(outlook.chanceWithin(4, at(10000)) < 3 * calm);
}

BOOST_AUTO_TEST_CASE(a_long_calm_lowers_the_chance)
{
    ReclaimOutlook outlook;
    auto before = outlook.chanceWithin(4, at(0));
    for (int now = 0; now <= 600000; now += 1000)
        outlook.advance(4, at(now));
    BOOST_TEST(outlook.chanceWithin(4, at(600000)) < before / 10);
}

BOOST_AUTO_TEST_CASE(shortfalls_of_two_zones)
{
    // Four endpoints are needed. Two zones have three each, and each zone is lost with probability 0.1.
    auto chances = shortfallChances(4, { { .endpoints = 3, .chanceOfLoss = 0.1 }, { .endpoints = 3, .chanceOfLoss = 0.1 } });
    BOOST_REQUIRE(chances.size() == 4U);
    BOOST_TEST(std::abs(chances[0] - 0.19) < 1e-9); // At least one zone is lost.
    BOOST_TEST(std::abs(chances[1] - 0.01) < 1e-9); // Both zones are lost.
    BOOST_TEST(std::abs(chances[3] - 0.01) < 1e-9);
}

// With 2,000 endpoints the scaler computed the distribution of each of 976 targets, four times a second on the thread that renews the lease.
BOOST_AUTO_TEST_CASE(the_mean_shortfall_is_the_sum_of_its_chances)
{
    std::vector<std::vector<EndpointGroup>> fleets {
        { { .endpoints = 3, .chanceOfLoss = 0.1 }, { .endpoints = 5, .chanceOfLoss = 0.2 }, { .endpoints = 0, .chanceOfLoss = 0.5 } },
        std::vector<EndpointGroup>(6, { .endpoints = 400, .chanceOfLoss = 0.07 }),
    };
    for (const auto& groups : fleets) {
        for (unsigned needed : { 0U, 1U, 7U, 2000U, 4000U }) {
            auto chances = shortfallChances(needed, groups);
            auto sum = std::accumulate(chances.begin(), chances.end(), 0.0);
            BOOST_TEST(expectedShortfall(needed, groups) == sum, boost::test_tools::tolerance(1e-9));
        }
    }
}

BOOST_AUTO_TEST_CASE(no_shortfall_where_no_endpoint_is_needed) { BOOST_TEST(shortfallChances(0, { { .endpoints = 3, .chanceOfLoss = 0.5 } }).empty()); }

BOOST_AUTO_TEST_SUITE_END()
