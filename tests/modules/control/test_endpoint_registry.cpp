#include "modules/control/endpoint_registry.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

const SteadyTime start { std::chrono::hours(1) };

SteadyTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

std::map<std::string, ListedEndpoint> entries(std::initializer_list<const char*> ids)
{
    std::map<std::string, ListedEndpoint> result;
    for (const auto* it : ids)
        result[it] = { .id = it };
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointRegistryTests)

BOOST_AUTO_TEST_CASE(an_entry_that_vanishes_without_an_outage_is_removed)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b" }), {}, at(0));
    registry.update(entries({ "a" }), {}, at(10));
    BOOST_TEST(registry.list().endpoints.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_entry_missing_after_an_outage_stays_listed_for_the_renewal_time)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b" }), {}, at(0));
    registry.update(entries({ "a" }), at(1000), at(1100));
    BOOST_TEST(registry.list().endpoints.size() == 2U);
    BOOST_TEST(!registry.expire(at(1000), at(2900)));
    BOOST_TEST(registry.expire(at(1000), at(3000)));
    BOOST_TEST(registry.list().endpoints.size() == 1U);
}

// Guards against a fault where an entry that vanished 1.6 s after the store's return stayed listed for two more seconds.
BOOST_AUTO_TEST_CASE(the_renewal_time_starts_at_the_stores_return)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b" }), {}, at(0));
    registry.update(entries({ "a" }), at(1000), at(2600));
    BOOST_TEST(registry.expire(at(1000), at(3000)));
    BOOST_TEST(!registry.list().endpoints.contains("b"));
}

BOOST_AUTO_TEST_CASE(a_missing_entry_that_reappears_stays_listed)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b" }), {}, at(0));
    registry.update(entries({ "a" }), at(1000), at(1100));
    registry.update(entries({ "a", "b" }), at(1000), at(2000));
    BOOST_TEST(!registry.expire(at(1000), at(9000)));
    BOOST_TEST(registry.list().endpoints.size() == 2U);
}

BOOST_AUTO_TEST_CASE(another_outage_prolongs_the_renewal_time)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b" }), {}, at(0));
    registry.update(entries({ "a" }), at(1000), at(1100));
    BOOST_TEST(!registry.expire(at(2500), at(3100)));
    BOOST_TEST(registry.list().endpoints.contains("b"));
}

// Guards against a fault at 77 nodes: endpoints that vanished from a list received late from a peer stayed listed as long as after a recent
// list, so that a removal took effect after 3.09 s instead of within 3.0 s.
BOOST_AUTO_TEST_CASE(the_hold_of_a_mass_removal_counts_from_when_it_was_noticed)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b", "c", "d" }), {}, at(0));
    registry.update(entries({ "a" }), {}, at(1000), { .noticedAt = at(250) });
    BOOST_TEST(!registry.expire({}, at(1740)));
    BOOST_TEST(registry.expire({}, at(1750)));
    BOOST_TEST(registry.list().endpoints.size() == 1U);
}

// Guards against a fault where each node counted the hold of a removal anew, less an assumed age, so that a node that heard of it late used
// the endpoints for another 750 ms.
BOOST_AUTO_TEST_CASE(a_removal_takes_effect_when_the_node_that_noticed_it_says)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b", "c", "d", "e" }), {}, at(0));
    RemovalTimes removals { .effectiveAt = { { "b", at(2000) }, { "c", at(2000) }, { "d", at(500) } } };
    auto hold = registry.update(entries({ "a", "e" }), at(900), at(1000), removals);
    BOOST_REQUIRE(hold.has_value());
    BOOST_TEST(hold->endpoints == 2U);
    BOOST_TEST((hold->cause == HoldCause::OtherNode));
    BOOST_TEST((registry.heldUntil() == std::map<std::string, SteadyTime> { { "b", at(2000) }, { "c", at(2000) } }));
    BOOST_TEST(registry.list().endpoints.size() == 4U);
    BOOST_TEST(!registry.expire({}, at(1990)));
    BOOST_TEST(registry.expire({}, at(2000)));
    BOOST_TEST(registry.list().endpoints.size() == 2U);
}

// After a store outage that a pending watch call did not notice, its first response removed some thirty expired entries together.
BOOST_AUTO_TEST_CASE(a_mass_removal_is_held_for_a_limited_time)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b", "c", "d", "e" }), {}, at(0));
    registry.update(entries({ "a" }), {}, at(1000));
    BOOST_TEST(registry.list().endpoints.size() == 5U);
    registry.update(entries({ "a", "b" }), {}, at(1500));
    BOOST_TEST(registry.expire({}, at(2500)));
    BOOST_TEST(registry.list().endpoints.size() == 2U);
    // A removal must take effect within two seconds after the store reported it.
    BOOST_TEST(!registry.list().endpoints.contains("e"));
}

// Guards against a fault where each later update extended the time for which missing endpoints stayed listed.
BOOST_AUTO_TEST_CASE(later_updates_do_not_prolong_a_hold)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b", "c", "d", "e", "f" }), {}, at(0));
    registry.update(entries({ "a", "e", "f" }), {}, at(1000));
    registry.update(entries({ "a", "e" }), {}, at(2490));
    BOOST_TEST(registry.expire({}, at(2500)));
    BOOST_TEST(registry.list().endpoints.size() == 2U);
    registry.update(entries({ "a" }), {}, at(2510));
    BOOST_TEST(registry.list().endpoints.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_mass_removal_of_leaving_endpoints_takes_effect_immediately)
{
    EndpointRegistry registry;
    auto leaving = entries({ "a", "b", "c", "d" });
    for (auto& [id, it] : leaving)
        it.leaving = true;
    registry.update(leaving, {}, at(0));
    registry.update({}, {}, at(1000));
    BOOST_TEST(registry.list().endpoints.empty());
}

namespace {

std::map<std::string, ListedEndpoint> entryBornAt(std::uint64_t born, bool leaving = false) { return { { "a", { .id = "a", .born = born, .leaving = leaving } } }; }

} // namespace

// Guards against a delayed write of an endpoint's previous incarnation replacing the entry of the running one.
BOOST_AUTO_TEST_CASE(an_entry_of_an_earlier_incarnation_does_not_replace_a_later_one)
{
    EndpointRegistry registry;
    registry.update(entryBornAt(5), {}, at(0));
    registry.update(entryBornAt(9), {}, at(10));
    BOOST_TEST(registry.list().endpoints.at("a").born == 9U);
    registry.update(entryBornAt(5, true), {}, at(20));
    BOOST_TEST(registry.list().endpoints.at("a").born == 9U);
    BOOST_TEST(!registry.list().endpoints.at("a").leaving);
    registry.update(entryBornAt(9), {}, at(1000));
    BOOST_TEST(!registry.expire({}, at(9000)));
    BOOST_TEST(registry.list().endpoints.at("a").born == 9U);
    // The same after the later incarnation was removed.
    registry.update({}, {}, at(9100));
    registry.update(entryBornAt(5), {}, at(9200));
    BOOST_TEST(registry.list().endpoints.empty());
}

BOOST_AUTO_TEST_CASE(an_entry_of_an_earlier_incarnation_is_accepted_when_it_persists)
{
    EndpointRegistry registry;
    registry.update(entryBornAt(9), {}, at(0));
    registry.update(entryBornAt(5), {}, at(100));
    BOOST_TEST(!registry.expire({}, at(4000)));
    BOOST_TEST(registry.expire({}, at(4200)));
    BOOST_TEST(registry.list().endpoints.at("a").born == 5U);
}

// During an outage the running endpoint cannot overwrite a delayed write of an earlier incarnation.
BOOST_AUTO_TEST_CASE(an_entry_of_an_earlier_incarnation_is_not_accepted_during_an_outage)
{
    EndpointRegistry registry;
    registry.update(entryBornAt(9), {}, at(0));
    registry.update(entryBornAt(5), {}, at(100));
    BOOST_TEST(!registry.expire(at(4000), at(4200)));
    BOOST_TEST(registry.list().endpoints.at("a").born == 9U);
}

BOOST_AUTO_TEST_CASE(an_entry_without_a_start_time_is_the_oldest_incarnation)
{
    EndpointRegistry registry;
    registry.update(entryBornAt(0), {}, at(0));
    registry.update(entryBornAt(9), {}, at(10));
    registry.update(entryBornAt(0), {}, at(20));
    BOOST_TEST(registry.list().endpoints.at("a").born == 9U);
}

BOOST_AUTO_TEST_CASE(an_endpoint_whose_entry_becomes_unreadable_is_removed_immediately)
{
    EndpointRegistry registry;
    registry.update(entries({ "a", "b" }), {}, at(0));
    // It is removed even shortly after an outage, when vanished entries otherwise stay listed.
    registry.update(entries({ "a" }), at(1000), at(1100), {}, { "b" });
    BOOST_TEST(registry.list().endpoints.size() == 1U);
    BOOST_TEST(registry.list().endpoints.contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()
