#include "modules/balance/first_event_model.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <rapidcheck.h>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(FirstEventModelTests)

BOOST_AUTO_TEST_CASE(fixed_time_and_rate_are_learnt_within_a_tenth)
{
    bool passed = rc::check("fixed time and rate of any engine", [] {
        auto fixed = *rc::gen::inRange(5, 100) / 1000.0;
        auto perToken = 1.0 / *rc::gen::inRange(5000, 200000);
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        std::uniform_real_distribution<double> prompt(100, 12000);
        std::uniform_real_distribution<double> jitter(0.95, 1.05);
        FirstEventModel model;
        for (int n = 0; n < 600; ++n) {
            auto tokens = prompt(random);
            model.observe(tokens, (fixed + tokens * perToken) * jitter(random));
        }
        RC_ASSERT(std::abs(model.secondsPerToken() / perToken - 1) < 0.1);
        RC_ASSERT(std::abs(model.seconds(6000) / (fixed + 6000 * perToken) - 1) < 0.1);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(a_single_outlier_changes_the_estimate_little)
{
    FirstEventModel model;
    for (int n = 0; n < 200; ++n)
        model.observe(1000 + 40 * n, 0.03 + (1000 + 40 * n) / 100000.0);
    auto before = model.seconds(5000);
    model.observe(5000, 30);
    BOOST_TEST(model.seconds(5000) < before * 1.1);
}

BOOST_AUTO_TEST_CASE(prompts_of_equal_length_do_not_change_the_rate)
{
    FirstEventModel model({ .initialSecondsPerToken = 0.0001, .initialWeight = 0.001 });
    for (int n = 0; n < 500; ++n)
        model.observe(1000, 0.2);
    BOOST_TEST(model.secondsPerToken() >= 0);
    BOOST_TEST(std::abs(model.seconds(1000) - 0.2) < 0.02);
}

BOOST_AUTO_TEST_CASE(the_model_is_trusted_after_20_observations)
{
    FirstEventModel model;
    unsigned observations = 0;
    while (!model.isTrusted()) {
        model.observe(1000 + 100 * (observations % 7), 0.03);
        ++observations;
    }
    BOOST_TEST(observations == 20U);
    BOOST_TEST(model.seconds(1300) < 0.04);
}

BOOST_AUTO_TEST_SUITE_END()
