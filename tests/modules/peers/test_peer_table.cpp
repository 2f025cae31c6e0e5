#include "modules/peers/peer_table.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace Onyxnotch;

namespace {

const SteadyTime start { std::chrono::hours(1) };

SteadyTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

PeerRow row(const std::string& node, std::uint64_t lifetime, std::uint32_t sequence)
{
    return { .node = node, .lifetime = lifetime, .sequence = sequence };
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTableTests)

BOOST_AUTO_TEST_CASE(only_newer_rows_are_applied_in_any_order_of_arrival)
{
    PeerTable table("self");
    BOOST_TEST(table.apply(row("a", 1, 2), at(0)));
    BOOST_TEST(!table.apply(row("a", 1, 1), at(1)));
    BOOST_TEST(!table.apply(row("a", 1, 2), at(1)));
    BOOST_TEST(table.apply(row("a", 2, 1), at(2)));
    BOOST_TEST(!table.apply(row("a", 1, 9), at(3)));
    BOOST_TEST(!table.apply(row("self", 1, 1), at(3)));
}

BOOST_AUTO_TEST_CASE(a_silent_node_is_not_alive_and_is_removed_later)
{
    PeerTable table("self");
    table.apply(row("a", 1, 1), at(0));
    table.addContact({ .node = "b", .lifetime = 1 }, at(0));
    BOOST_TEST(table.aliveCount(at(1000)) == 1U);
    BOOST_TEST(table.aliveCount(at(2000)) == 0U);
    BOOST_TEST(table.contacts().size() == 2U);
    table.purgeExpired(at(31000));
    BOOST_TEST(table.contacts().empty());
}

// Guards against a fleet of which nodes silently know only a part: from the 1,025th node on, rows and contacts were dropped.
BOOST_AUTO_TEST_CASE(the_table_has_room_for_twice_the_listed_nodes_and_counts_what_it_refuses)
{
    constexpr unsigned listed = 2000;
    PeerTable table("self", { .maximumNodes = 100 });
    table.setListedNodes(listed);
    for (unsigned n = 0; n < 2 * listed; ++n)
        BOOST_REQUIRE(table.apply(row("n" + std::to_string(n), 1, 1), at(0)));
    BOOST_TEST(table.aliveCount(at(100)) == 2 * listed);
    BOOST_TEST(table.refused() == 0U);
    BOOST_TEST(!table.apply(row("one more", 1, 1), at(0)));
    table.addContact({ .node = "another", .lifetime = 1 }, at(0));
    table.applyUsage({ .node = "a third", .lifetime = 1 }, at(0));
    BOOST_TEST(table.refused() == 3U);
    BOOST_TEST(table.apply(row("n1", 1, 2), at(0)));
    // A full table still learns the new address of a node that it knows.
    table.addContact({ .node = "n2", .lifetime = 2, .zone = "z" }, at(0));
    BOOST_TEST(table.contactsIn("z").size() == 1U);
}

BOOST_AUTO_TEST_CASE(usage_of_an_ended_incarnation_still_counts)
{
    PeerTable table("self");
    table.applyUsage({ .node = "a", .lifetime = 1, .windows = { { 7, { { "t", 3 } } } } }, at(0));
    table.applyUsage({ .node = "a", .lifetime = 2, .windows = { { 7, { { "t", 4 } } } } }, at(0));
    BOOST_TEST(table.usage()[7]["t"] == 7U);
}

// Usage notices may leave out windows: when each of 77 nodes sent all its windows every second, a lease holder of the singleton duties on a
// narrow link lost a third to a half of that data.
BOOST_AUTO_TEST_CASE(windows_left_out_or_outdated_in_a_notice_keep_their_counts)
{
    PeerTable table("self");
    table.applyUsage({ .node = "a", .lifetime = 1, .windows = { { 7, { { "t", 3 } } }, { 8, { { "t", 1 } } } } }, at(0));
    table.applyUsage({ .node = "a", .lifetime = 1, .windows = { { 8, { { "t", 5 } } } } }, at(0));
    table.applyUsage({ .node = "a", .lifetime = 1, .windows = { { 8, { { "t", 2 } } } } }, at(0));
    BOOST_TEST(table.usage()[7]["t"] == 3U);
    BOOST_TEST(table.usage()[8]["t"] == 5U);
}

BOOST_AUTO_TEST_CASE(one_clock_that_was_stepped_does_not_move_the_median)
{
    PeerTable table("self");
    auto steady = std::chrono::duration_cast<Milliseconds>(at(0).time_since_epoch()).count();
    for (const auto& [node, difference] : std::map<std::string, int> { { "a", 1000 }, { "b", 1002 }, { "c", 3400 } }) {
        auto it = row(node, 1, 1);
        it.sentAtMilliseconds = static_cast<std::uint64_t>(steady + difference);
        table.apply(it, at(0));
    }
    BOOST_TEST(table.clockDifference(1001, at(0)) == 1002);
    BOOST_TEST(PeerTable("alone").clockDifference(5, at(0)) == 5);
}

// Guards against token counts from a datagram for which no prefill time can be computed.
BOOST_AUTO_TEST_CASE(a_prefill_notice_with_an_impossible_token_count_is_not_sound)
{
    BOOST_TEST((PrefillNotice { .endpoint = { .id = "i" }, .tokens = 54600 }.isSound()));
    for (double tokens : { -1.0, 1e30, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN() })
        BOOST_TEST(!(PrefillNotice { .endpoint = { .id = "i" }, .tokens = tokens }.isSound()));
}

BOOST_AUTO_TEST_SUITE_END()
