#include "modules/control/watch_choice.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <set>

using namespace Onyxnotch;

namespace {

// Nodes a0, a1, … of one zone and b0, b1, … of another.
struct Fleet {
    explicit Fleet(unsigned nodesPerZone)
    {
        for (unsigned n = 0; n < nodesPerZone; ++n) {
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

    // Each node decides from the others' state of the previous round; ten rounds, enough to reach a stable state.
    void runToStableState()
    {
        for (int round = 0; round < 10; ++round) {
            std::vector<bool> next;
            for (const auto& it : rows)
                next.push_back(watches(it) && !it.leaving && !cutOff.contains(it.node));
            for (std::size_t n = 0; n < rows.size(); ++n)
                rows[n].watchesStore = next[n];
        }
    }

    unsigned watchers(const std::string& zone) const
    {
        return static_cast<unsigned>(std::count_if(rows.begin(), rows.end(), [&](const auto& it) { return it.zone == zone && it.watchesStore; }));
    }

    std::deque<PeerRow> rows {};
    std::set<std::string> cutOff {}; // Nodes that cannot reach the store.
};

struct ReplacedWatchers {
    std::size_t maxWatchers { 0 }; // Most nodes that watched at the same time.
    std::size_t watchersAtEnd { 0 };
    Milliseconds enoughAfter { 0 }; // Until three nodes watched.
};

// Simulates a fleet of which no node watches at first.
ReplacedWatchers replaceAllWatchers(unsigned nodes)
{
    const SteadyTime start { std::chrono::hours(1) };
    std::vector<WatchDecision> fleet;
    for (unsigned n = 0; n < nodes; ++n)
        fleet.emplace_back("n" + std::to_string(n), "z" + std::to_string(n % 6), WatchChoiceOptions {});
    std::vector<StoreWatcher> known;
    ReplacedWatchers result;
    for (int now = 0; now <= 20000; now += 250) {
        std::vector<StoreWatcher> watchers;
        for (unsigned n = 0; n < nodes; ++n) {
            StoreWatcher self { .zone = "z" + std::to_string(n % 6), .node = "n" + std::to_string(n) };
            auto others = known;
            std::erase(others, self);
            if (fleet[n].decide({ .others = others, .nodes = nodes, .receivesFromPeers = true }, start + Milliseconds(now)))
                watchers.push_back(self);
        }
        result.maxWatchers = std::max(result.maxWatchers, watchers.size());
        if (watchers.size() >= 3 && result.enoughAfter == Milliseconds(0))
            result.enoughAfter = Milliseconds(now);
        // Nodes learn of the watchers from aggregates, which are about this old on average.
        if (now % 750 == 0)
            known = watchers;
    }
    result.watchersAtEnd = known.size();
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WatchChoiceTests)

// Each change of an endpoint cost a store call of every watcher.
BOOST_AUTO_TEST_CASE(all_watchers_but_the_first_are_replacements)
{
    std::vector<StoreWatcher> watchers { { .zone = "a", .node = "a1" }, { .zone = "b", .node = "b1" }, { .zone = "c", .node = "c1" } };
    unsigned replacements = 0;
    for (const auto& self : watchers) {
        auto others = watchers;
        std::erase(others, self);
        replacements += WatchDecision(self.node, self.zone, {}).isReplacement(others) ? 1 : 0;
    }
    BOOST_TEST(replacements == 2U);
    BOOST_TEST(!WatchDecision("c1", "c", {}).isReplacement({}));
}

BOOST_AUTO_TEST_CASE(in_a_small_fleet_every_node_watches)
{
    Fleet fleet(8); // Sixteen nodes.
    fleet.runToStableState();
    BOOST_TEST(fleet.watchers("a") == 8U);
}

BOOST_AUTO_TEST_CASE(in_a_large_fleet_two_nodes_of_each_zone_watch)
{
    Fleet fleet(40);
    fleet.runToStableState();
    BOOST_TEST(fleet.watchers("a") == 2U);
    BOOST_TEST(fleet.watchers("b") == 2U);
}

BOOST_AUTO_TEST_CASE(watchers_that_are_cut_off_or_leaving_are_replaced)
{
    Fleet fleet(40);
    fleet.runToStableState();
    fleet.cutOff = { "a0", "a1" };
    fleet.rows[1].leaving = true;
    fleet.runToStableState();
    BOOST_TEST(fleet.watchers("a") == 2U);
    BOOST_TEST(fleet.watchers("b") == 2U);
    fleet.cutOff.clear();
    fleet.runToStableState();
    BOOST_TEST(fleet.watchers("a") == 2U);
    BOOST_TEST(fleet.rows[0].watchesStore);
}

BOOST_AUTO_TEST_CASE(a_node_without_peers_watches)
{
    BOOST_TEST(shouldWatchStore("z", "a", {}, {}));
}

// Guards against a fault where during a store outage all 77 nodes called the store some three times a second.
BOOST_AUTO_TEST_CASE(few_nodes_call_the_store_at_the_full_rate_in_an_outage)
{
    Fleet fleet(40);
    double nodesAtFullRate = 0;
    double relativeCalls = 0;
    for (const auto& it : fleet.rows) {
        auto factor = watchPauseFactor(it.node, it.zone, fleet.alive(it.node), {});
        BOOST_TEST(factor >= 1);
        nodesAtFullRate += factor == 1 ? 1 : 0;
        relativeCalls += 1 / factor;
    }
    // Two nodes of each zone call at the full rate, and all nodes together make less than a quarter of the calls they would make otherwise.
    BOOST_TEST(nodesAtFullRate >= 4);
    BOOST_TEST(relativeCalls < static_cast<double>(fleet.rows.size()) / 4);
    Fleet small(8);
    for (const auto& it : small.rows)
        BOOST_TEST(watchPauseFactor(it.node, it.zone, small.alive(it.node), {}) == 1);
}

BOOST_AUTO_TEST_CASE(the_watchers_of_a_fleet_are_in_different_zones)
{
    std::vector<StoreWatcher> all;
    for (const auto* zone : { "x", "y", "z" }) {
        for (const auto* node : { "0", "1" })
            all.push_back({ .zone = zone, .node = std::string(zone) + node });
    }
    std::set<std::string> zones;
    for (const auto& self : all) {
        auto others = all;
        std::erase(others, self);
        if (watcherRank(self, others) < 3)
            zones.insert(self.zone);
    }
    BOOST_TEST(zones.size() == 3U);
}

// Guards against a fault at 295 nodes: all nodes that knew of too few watchers started watching together, 10,484 calls in a quiet day.
BOOST_AUTO_TEST_CASE(lost_watchers_are_replaced_by_a_few_nodes)
{
    auto replaced = replaceAllWatchers(300);
    BOOST_TEST(replaced.maxWatchers <= 60U);
    BOOST_TEST(replaced.watchersAtEnd == 3U);
}

// Guards against delays that fit one size of the fleet: each node that starts watching lists all objects.
BOOST_AUTO_TEST_CASE(the_nodes_that_replace_watchers_do_not_grow_with_the_fleet)
{
    for (unsigned nodes : { 23U, 300U, 985U, 2000U }) {
        auto replaced = replaceAllWatchers(nodes);
        BOOST_TEST_CONTEXT(nodes << " nodes")
        {
            BOOST_TEST(replaced.maxWatchers <= 20U);
            BOOST_TEST(replaced.watchersAtEnd == 3U);
            BOOST_TEST((replaced.enoughAfter <= Milliseconds(1500)));
        }
    }
}

BOOST_AUTO_TEST_CASE(an_isolated_node_starts_watching_within_the_isolation_timeout)
{
    const SteadyTime start { std::chrono::hours(1) };
    WatchDecision decision("n", "z", {});
    decision.decide({ .nodes = 300 }, start);
    BOOST_TEST(decision.decide({ .nodes = 300 }, start + Milliseconds(1500)));
}

// Guards against a fault where no node watched for over two seconds after all watchers had been lost.
BOOST_AUTO_TEST_CASE(relay_nodes_watch_at_once_when_no_watcher_is_left)
{
    const SteadyTime start { std::chrono::hours(1) };
    unsigned watching = 0;
    unsigned watchingBesideOthers = 0;
    for (int n = 0; n < 8; ++n) {
        auto name = "node-" + std::to_string(n);
        WatchSituation situation { .nodes = 300, .receivesFromPeers = true, .isRelay = true };
        watching += WatchDecision(name, "z0", {}).decide(situation, start) ? 1 : 0;
        situation.others = { { .zone = "z1", .node = "node-a" } };
        watchingBesideOthers += WatchDecision(name, "z0", {}).decide(situation, start) ? 1 : 0;
    }
    BOOST_TEST(watching == 8U);
    BOOST_TEST(watchingBesideOthers == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
