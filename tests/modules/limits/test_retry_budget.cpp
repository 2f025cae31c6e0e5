// Tests that the retries of all nodes together stay within the budget of a service, which the platform counts in windows that slide.
#include "tests/modules/limits/retry_simulation.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;
using std::chrono::seconds;

namespace {

constexpr Milliseconds window { 10000 };
constexpr unsigned seeds = 8;

// Fleets of the users' deployments: nodes, requests per second of the service that has the most, and the reserve that all nodes share.
struct RetryFleet {
    unsigned nodes { 7 };
    double requestsPerSecond { 155 };
    double reserve { 54 };
};

const std::vector<RetryFleet> fleets { {}, { .nodes = 7, .requestsPerSecond = 55 }, { .nodes = 77, .requestsPerSecond = 1600, .reserve = 194 }, { .nodes = 306, .requestsPerSecond = 3000, .reserve = 630 }, { .nodes = 985, .requestsPerSecond = 400, .reserve = 1040 } };

// Runs `scenario` in each fleet with several seeds, and checks the budget of each run.
void checkBudget(const std::function<void(RetrySimulation&, unsigned nodes)>& scenario)
{
    for (const auto& it : fleets) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            RetrySimulation fleet({ .nodes = it.nodes, .requestsPerSecond = it.requestsPerSecond, .budget = { .perRequest = 0.2, .reserve = it.reserve }, .seed = seed });
            fleet.hearAll(it.nodes - 1);
            fleet.run(seconds(15));
            scenario(fleet, it.nodes);
            BOOST_TEST_CONTEXT(it.nodes << " nodes, " << it.requestsPerSecond << " requests a second, seed " << seed)
            {
                BOOST_TEST(fleet.highestUse(window) <= 1);
                BOOST_TEST(fleet.retries() > 0);
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetOfTheFleet)

BOOST_AUTO_TEST_CASE(connected_nodes_stay_within_the_budget)
{
    checkBudget([](RetrySimulation& fleet, unsigned) {
        fleet.failing = 1;
        fleet.run(seconds(12));
    });
}

BOOST_AUTO_TEST_CASE(nodes_that_hear_of_nobody_do_not_take_the_whole_reserve_each)
{
    checkBudget([](RetrySimulation& fleet, unsigned) {
        fleet.hearAll(0);
        fleet.run(seconds(6));
        fleet.failing = 1;
        fleet.run(seconds(12));
    });
}

BOOST_AUTO_TEST_CASE(parts_of_a_fleet_do_not_take_the_whole_reserve_each)
{
    checkBudget([](RetrySimulation& fleet, unsigned nodes) {
        fleet.hearAll(nodes / 4);
        fleet.run(seconds(6));
        fleet.failing = 1;
        fleet.run(seconds(12));
    });
}

BOOST_AUTO_TEST_CASE(restarts_bring_no_new_reserve)
{
    checkBudget([](RetrySimulation& fleet, unsigned nodes) {
        fleet.failing = 1;
        for (int n = 0; n < 4; ++n) {
            fleet.run(seconds(2));
            fleet.restartAll();
            fleet.run(Milliseconds(250));
            fleet.hearAll(nodes - 1);
        }
        fleet.run(seconds(6));
    });
}

BOOST_AUTO_TEST_CASE(restarted_nodes_that_hear_of_nobody_do_not_take_the_whole_reserve_each)
{
    checkBudget([](RetrySimulation& fleet, unsigned) {
        fleet.failing = 1;
        for (int n = 0; n < 3; ++n) {
            fleet.run(seconds(3));
            fleet.restartAll();
        }
        fleet.run(seconds(6));
    });
}

// The bound must not be kept by refusing retries for which there is room.
BOOST_AUTO_TEST_CASE(retries_of_a_few_failures_are_allowed)
{
    for (const auto& it : fleets) {
        RetrySimulation fleet({ .nodes = it.nodes, .requestsPerSecond = it.requestsPerSecond, .budget = { .perRequest = 0.2, .reserve = it.reserve } });
        fleet.hearAll(it.nodes - 1);
        fleet.run(seconds(15));
        fleet.refused = 0;
        fleet.failing = 0.05;
        fleet.run(seconds(20));
        BOOST_TEST_CONTEXT(it.nodes << " nodes, " << it.requestsPerSecond << " requests a second")
        {
            BOOST_TEST(fleet.refused <= 0.2 * static_cast<double>(fleet.retries()));
        }
    }
}

// A roll-out sends a tenth of the requests to a version that fails, several of them in a row by chance.
BOOST_AUTO_TEST_CASE(a_few_failures_in_a_row_are_retried_at_a_busy_node)
{
    constexpr int requestsPerSecond = 100;
    constexpr int failuresInARow = 6;
    SharedRetryBudget budget({ .perRequest = 0.2, .reserve = 10 });
    budget.setNodes(2);
    auto now = steadyNow();
    for (int n = 0; n < 2 * requestsPerSecond; ++n) {
        budget.onRequest("s", now);
        now += SteadyTime::duration(seconds(1)) / requestsPerSecond;
    }
    for (int n = 0; n < failuresInARow; ++n) {
        budget.onRequest("s", now);
        BOOST_TEST(budget.take("s", now));
    }
}

BOOST_AUTO_TEST_SUITE_END()
