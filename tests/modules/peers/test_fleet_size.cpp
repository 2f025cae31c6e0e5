#include "modules/peers/fleet_size.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(FleetSizes)

BOOST_AUTO_TEST_CASE(a_node_that_hears_of_nobody_does_not_take_itself_for_the_only_one)
{
    FleetSize size;
    size.onHeard(1);
    BOOST_TEST(!size.isKnown());
    size.onNamed(30);
    size.onHeard(30);
    size.onHeard(1);
    BOOST_TEST(size.isKnown());
    BOOST_TEST(size.current() == 30U);
    size.onNamed(1);
    BOOST_TEST(size.current() == 1U);
    BOOST_TEST(size.largest() == 30U);
}

BOOST_AUTO_TEST_CASE(a_node_that_has_just_started_does_not_trust_the_few_nodes_that_it_has_heard_of)
{
    FleetSize size;
    size.onHeard(2);
    BOOST_TEST(size.largest() > 2U);
    size.onListed(7);
    BOOST_TEST(size.largest() == 7U);
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_while_the_store_is_away_counts_the_nodes_that_others_name)
{
    FleetSize size;
    size.onNamed(300);
    BOOST_TEST(size.isKnown());
    BOOST_TEST(size.largest() == 300U);
    BOOST_TEST(size.expected() == 300U);
}

BOOST_AUTO_TEST_CASE(a_single_listed_node_is_the_only_one)
{
    FleetSize size;
    size.onListed(1);
    size.onHeard(1);
    BOOST_TEST(size.isKnown());
    BOOST_TEST(size.largest() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
