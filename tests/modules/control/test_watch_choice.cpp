#include "modules/control/watch_choice.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>

using namespace Onyxnotch;

namespace {

// Nodes a0, a1, … of one zone and b0, b1, … of another.
struct Fleet {
    explicit Fleet(unsigned nodesOfEach)
    {
        for (unsigned n = 0; n < nodesOfEach; ++n) {
            for (const auto* zone : { "a", "b" })
                rows.push_back({ .node = zone + std::to_string(n), .zone = zone });
        }
    }

    std::vector<const PeerRow*> alive(const std::string& self) const
    {
        std::vector<const PeerRow*> others;
        for (const auto& it : rows) {
            if (it.node != self)
                others.push_back(&it);
        }
        return others;
    }

    bool watches(const PeerRow& row) const { return shouldWatchStore(row.node, row.zone, alive(row.node), {}); }

    // Every node hears of every other one's choice, until nothing changes.
    void settle()
    {
        for (int round = 0; round < 10; ++round) {
            std::vector<bool> next;
            for (const auto& it : rows)
                next.push_back(watches(it) && !it.leaving && !cut.contains(it.node));
            for (std::size_t n = 0; n < rows.size(); ++n)
                rows[n].watchesStore = next[n];
        }
    }

    unsigned watchers(const std::string& zone) const
    {
        return static_cast<unsigned>(std::count_if(rows.begin(), rows.end(), [&](const auto& it) { return it.zone == zone && it.watchesStore; }));
    }

    std::deque<PeerRow> rows {};
    std::set<std::string> cut {}; // From the store.
};

} // namespace

BOOST_AUTO_TEST_SUITE(WatchChoiceTests)

BOOST_AUTO_TEST_CASE(in_a_small_fleet_every_node_watches)
{
    Fleet fleet(8); // Sixteen nodes.
    fleet.settle();
    BOOST_TEST(fleet.watchers("a") == 8U);
}

BOOST_AUTO_TEST_CASE(in_a_large_one_two_of_each_zone_do)
{
    Fleet fleet(40);
    fleet.settle();
    BOOST_TEST(fleet.watchers("a") == 2U);
    BOOST_TEST(fleet.watchers("b") == 2U);
}

BOOST_AUTO_TEST_CASE(others_stand_in_for_those_that_are_cut_off_or_leave)
{
    Fleet fleet(40);
    fleet.settle();
    fleet.cut = { "a0", "a1" };
    fleet.rows[1].leaving = true;
    fleet.settle();
    BOOST_TEST(fleet.watchers("a") == 2U);
    BOOST_TEST(fleet.watchers("b") == 2U);
    fleet.cut.clear();
    fleet.settle();
    BOOST_TEST(fleet.watchers("a") == 2U);
    BOOST_TEST(fleet.rows[0].watchesStore);
}

BOOST_AUTO_TEST_CASE(a_node_that_knows_nobody_watches)
{
    BOOST_TEST(shouldWatchStore("z", "a", {}, {}));
}

// Found by the bench: while the store was away, all 77 nodes asked for it some three times a second.
BOOST_AUTO_TEST_CASE(an_outage_is_watched_by_few)
{
    Fleet fleet(40);
    double callsOfFirst = 0;
    double callsOfAll = 0;
    for (const auto& it : fleet.rows) {
        auto factor = watchPauseFactor(it.node, it.zone, fleet.alive(it.node), {});
        BOOST_TEST(factor >= 1);
        callsOfFirst += factor == 1 ? 1 : 0;
        callsOfAll += 1 / factor;
    }
    // Somebody in each zone asks as often as ever, and all together ask a quarter as often as if all did.
    BOOST_TEST(callsOfFirst >= 4);
    BOOST_TEST(callsOfAll < static_cast<double>(fleet.rows.size()) / 4);
    Fleet small(8);
    for (const auto& it : small.rows)
        BOOST_TEST(watchPauseFactor(it.node, it.zone, small.alive(it.node), {}) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
