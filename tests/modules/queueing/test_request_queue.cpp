// Order, bounds and pacing of RequestQueue, and a load of many nodes against fixed endpoints without a network.
#include "modules/queueing/request_queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace Onyxnotch;

namespace {

SteadyTime at(std::int64_t milliseconds) { return SteadyTime(Milliseconds(1000000 + milliseconds)); }

QueueEntry entryOf(std::uint64_t id, int priority, const std::string& team, std::int64_t enteredAt, std::int64_t leavesAt)
{
    return { .id = id, .service = "s", .team = team, .priority = priority, .enteredAt = at(enteredAt), .leavesAt = at(leavesAt) };
}

struct LoadOptions {
    unsigned nodes { 1 };
    std::int64_t viewAge { 250 }; // Milliseconds between two views; each is that old when it is replaced.
    double demand { 0.8 }; // As a multiple of the capacity.
    double burst { 1 }; // Factor on the demand from 10 s to 15 s.
    double loudTeam { 1 }; // Factor on the usual rate of team 0.
    unsigned endpoints { 6 };
    unsigned slots { 6 };
    std::int64_t slotTime { 100 }; // Mean of an exponential distribution, in milliseconds.
    std::int64_t allowedWait { 500 }; // Milliseconds.
    std::int64_t length { 20000 }; // Milliseconds of load.
    bool isQueued { true }; // Otherwise a request is sent or refused at once.
    bool isPaced { true };
};

struct Count {
    unsigned arrived { 0 };
    unsigned served { 0 };
    double share() const { return arrived > 0 ? static_cast<double>(served) / arrived : 1; }
};

struct LoadResult {
    std::map<int, Count> byPriority {};
    std::map<int, Count> byTeam {};
    std::map<unsigned, Count> byNode {};
    Count all {};
    unsigned sent { 0 };
    unsigned refusedByEndpoints { 0 };
    std::int64_t longestWait { 0 }; // Milliseconds.
    double used { 0 }; // Part of the slots that was in use after the first 5 s.
};

// Simulates the load of several nodes in steps of a millisecond. Places and order are decided as Exchange does; endpoints refuse a request when
// their slots are in use, and a node tries a refused request again up to three times.
class LoadRun {
public:
    explicit LoadRun(const LoadOptions& options)
        : m_options(options)
        , m_nodes(options.nodes)
        , m_inUse(options.endpoints)
    {
        for (auto& it : m_nodes) {
            it.own.resize(options.endpoints);
            it.peers.resize(options.endpoints);
            it.paused.resize(options.endpoints);
        }
    }

    LoadResult run()
    {
        constexpr int teams = 8;
        constexpr int priorities = 3;
        auto places = m_options.endpoints * m_options.slots;
        auto perMillisecond = m_options.demand * places / static_cast<double>(m_options.slotTime);
        std::uniform_real_distribution<double> uniform(0, 1);
        double inUse = 0;
        for (m_now = 0; m_now < m_options.length; ++m_now) {
            if (m_now % m_options.viewAge == 0)
                publishViews();
            endRequests();
            for (auto& it : m_nodes)
                serve(it);
            auto factor = m_now >= 10000 && m_now < 15000 ? m_options.burst : 1;
            for (int team = 0; team < teams; ++team) {
                auto rate = perMillisecond * factor / teams * (team == 0 ? m_options.loudTeam : 1);
                auto count = std::poisson_distribution<int>(rate)(m_random);
                for (int n = 0; n < count; ++n)
                    arrive(static_cast<unsigned>(uniform(m_random) * m_options.nodes), static_cast<int>(uniform(m_random) * priorities), team);
            }
            if (m_now >= 5000) {
                for (auto it : m_inUse)
                    inUse += it;
            }
        }
        m_result.used = inUse / static_cast<double>(m_options.length - 5000) / places;
        return m_result;
    }

private:
    struct Request {
        QueueEntry entry {};
        unsigned node { 0 };
        unsigned refusals { 0 };
        int team { 0 };
    };

    struct Node {
        RequestQueue queue {};
        PlacePacer pacer {};
        std::vector<unsigned> own {};
        std::vector<unsigned> peers {}; // Of the other nodes, in the last view.
        std::vector<std::int64_t> paused {}; // Until when an endpoint that refused a request is not used.
    };

    void publishViews()
    {
        for (auto& it : m_nodes) {
            for (unsigned n = 0; n < m_options.endpoints; ++n)
                it.peers[n] = m_inUse[n] - it.own[n];
        }
    }

    PacingInput input(const Node& node) const
    {
        PacingInput result { .share = 1.0 / m_options.nodes, .viewSeconds = static_cast<double>(m_options.viewAge) / 1000, .slotSeconds = static_cast<double>(m_options.slotTime) / 1000, .isAlone = m_options.nodes == 1 };
        for (unsigned n = 0; n < m_options.endpoints; ++n) {
            result.places.total += m_options.slots;
            result.places.own += node.own[n];
            result.places.free += std::max(0.0, static_cast<double>(m_options.slots) - node.own[n] - node.peers[n]);
        }
        return result;
    }

    // Chooses as EndpointBook does: the endpoint with the fewest requests in the view, or, if a shortage is likely, any endpoint by its
    // free slots. Also returns whether the view shows a free slot there.
    std::pair<unsigned, bool> choose(const Node& node, const PacingInput& pacing)
    {
        bool spreads = m_options.isQueued && !pacing.isAlone && pacing.places.free * 2 <= pacing.places.total;
        auto offset = static_cast<unsigned>(m_random() % m_options.endpoints);
        unsigned chosen = offset;
        double best = -1;
        for (unsigned n = 0; n < m_options.endpoints; ++n) {
            auto candidate = (n + offset) % m_options.endpoints;
            auto free = std::max(0.0, static_cast<double>(m_options.slots) - node.own[candidate] - node.peers[candidate]);
            if (spreads && PlacePacer::mayTakeUnseen(pacing))
                free = m_options.slots;
            auto weight = spreads ? (free + 0.01) * -1 / std::log(std::uniform_real_distribution<double>(1e-9, 1 - 1e-9)(m_random)) : free;
            if (node.paused[candidate] <= m_now && weight > best) {
                best = weight;
                chosen = candidate;
            }
        }
        return { chosen, node.own[chosen] + node.peers[chosen] < m_options.slots };
    }

    void arrive(unsigned node, int priority, int team)
    {
        Request it { .entry = entryOf(++m_lastId, priority, std::to_string(team), m_now, m_now + m_options.allowedWait), .node = node, .team = team };
        ++m_result.all.arrived;
        ++m_result.byPriority[priority].arrived;
        ++m_result.byTeam[team].arrived;
        ++m_result.byNode[node].arrived;
        enterOrSend(it);
    }

    void enterOrSend(const Request& request)
    {
        auto& node = m_nodes[request.node];
        auto pacing = input(node);
        auto [endpoint, isFree] = choose(node, pacing);
        if (!m_options.isQueued) {
            send(request, endpoint);
            return;
        }
        node.pacer.update(pacing, at(m_now));
        bool isQueueEmpty = node.queue.size() == 0;
        bool isScarce = m_options.isPaced && pacing.places.free * 4 <= pacing.places.total;
        bool canSend = (isFree || PlacePacer::mayTakeUnseen(pacing)) && node.queue.entriesBefore(request.entry, at(m_now)) == 0;
        if (canSend && (node.pacer.mayTake() || !m_options.isPaced || (isFree && isQueueEmpty && !isScarce))) {
            node.pacer.onTaken();
            send(request, endpoint);
            return;
        }
        auto before = static_cast<double>(node.queue.entriesBefore(request.entry, at(m_now)));
        auto expected = (before + 1) * pacing.slotSeconds / std::max(0.05, pacing.places.total * pacing.share);
        if (expected * 1000 > static_cast<double>((request.entry.leavesAt - at(m_now)) / Milliseconds(1))) {
            if (isFree && isQueueEmpty)
                send(request, endpoint);
            return;
        }
        auto displaced = node.queue.enter(request.entry, at(m_now));
        m_waiting[request.entry.id] = request;
        if (displaced)
            m_waiting.erase(*displaced);
    }

    void serve(Node& node)
    {
        for (auto id : node.queue.expired(at(m_now))) {
            node.queue.remove(id);
            m_waiting.erase(id);
        }
        while (auto id = node.queue.next("s", at(m_now))) {
            auto pacing = input(node);
            auto [endpoint, isFree] = choose(node, pacing);
            node.pacer.update(pacing, at(m_now));
            if ((!isFree && !PlacePacer::mayTakeUnseen(pacing)) || (m_options.isPaced && !node.pacer.mayTake()))
                return;
            node.pacer.onTaken();
            auto request = m_waiting[*id];
            m_waiting.erase(*id);
            node.queue.remove(*id);
            m_result.longestWait = std::max<std::int64_t>(m_result.longestWait, (at(m_now) - request.entry.enteredAt) / Milliseconds(1));
            send(request, endpoint);
        }
    }

    void send(Request request, unsigned endpoint)
    {
        constexpr unsigned maximumRefusals = 4;
        constexpr std::int64_t pause = 100;
        auto& node = m_nodes[request.node];
        ++m_result.sent;
        if (m_inUse[endpoint] >= m_options.slots) {
            ++m_result.refusedByEndpoints;
            node.paused[endpoint] = m_now + pause;
            node.pacer.onRefused();
            if (m_options.isQueued && ++request.refusals < maximumRefusals)
                enterOrSend(request);
            return;
        }
        ++m_inUse[endpoint];
        ++node.own[endpoint];
        node.queue.onPlaceTaken("s", request.entry.team);
        ++m_result.all.served;
        ++m_result.byPriority[request.entry.priority].served;
        ++m_result.byTeam[request.team].served;
        ++m_result.byNode[request.node].served;
        auto duration = std::exponential_distribution<double>(1.0 / static_cast<double>(m_options.slotTime))(m_random);
        m_ends.emplace(m_now + 1 + static_cast<std::int64_t>(duration), std::tuple(request.node, endpoint, request.entry.team));
    }

    void endRequests()
    {
        while (!m_ends.empty() && m_ends.begin()->first <= m_now) {
            auto [node, endpoint, team] = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            m_nodes[node].pacer.onReleased(input(m_nodes[node]));
            --m_inUse[endpoint];
            --m_nodes[node].own[endpoint];
            m_nodes[node].queue.onPlaceReleased("s", team);
        }
    }

    LoadOptions m_options;
    std::mt19937_64 m_random { 1 };
    std::vector<Node> m_nodes;
    std::vector<unsigned> m_inUse;
    std::map<std::uint64_t, Request> m_waiting {};
    std::multimap<std::int64_t, std::tuple<unsigned, unsigned, std::string>> m_ends {};
    std::uint64_t m_lastId { 0 };
    std::int64_t m_now { 0 };
    LoadResult m_result {};
};

LoadResult play(const LoadOptions& options)
{
    auto result = LoadRun(options).run();
    BOOST_TEST_MESSAGE("nodes " << options.nodes << " view " << options.viewAge << " slot time " << options.slotTime << " demand " << options.demand << " burst " << options.burst << " loud " << options.loudTeam << " queued " << options.isQueued << " paced " << options.isPaced
                                << ": served " << result.all.share() << " by priority " << result.byPriority[0].share() << " " << result.byPriority[1].share() << " " << result.byPriority[2].share()
                                << " team 0 " << result.byTeam[0].share() << " team 1 " << result.byTeam[1].share() << " used " << result.used
                                << " refused by endpoints " << result.refusedByEndpoints << " of " << result.sent << " longest wait " << result.longestWait);
    return result;
}

struct Fleet {
    unsigned nodes;
    std::int64_t viewAge;
};

constexpr double tolerance = 0.02; // Two shares of some thousand requests differ by less than this by chance.

// Numbers of nodes, and ages of their views in milliseconds, that the design must work with.
constexpr Fleet fleets[] { { 1, 250 }, { 9, 250 }, { 85, 250 }, { 85, 800 } };

} // namespace

BOOST_AUTO_TEST_SUITE(RequestQueues)

// Guards against a more urgent request that finds the place taken by one that was only earlier.
BOOST_AUTO_TEST_CASE(the_more_urgent_request_is_next)
{
    RequestQueue queue;
    queue.enter(entryOf(1, 2, "a", 0, 400), at(0));
    queue.enter(entryOf(2, 0, "a", 5, 405), at(5));
    BOOST_TEST(queue.next("s", at(5)).value() == 2U);
    BOOST_TEST(!queue.next("other", at(5)));
    BOOST_TEST(queue.entriesBefore(entryOf(3, 1, "a", 6, 400), at(6)) == 1U);
}

// Guards against a request of low urgency that never gets a place while more urgent ones keep arriving.
BOOST_AUTO_TEST_CASE(each_quarter_of_the_allowed_wait_raises_the_priority_by_one)
{
    RequestQueue queue;
    queue.enter(entryOf(1, 2, "a", 0, 400), at(0));
    queue.enter(entryOf(2, 0, "a", 199, 599), at(199));
    BOOST_TEST(queue.next("s", at(199)).value() == 2U);
    // Two quarters have passed: the priorities are equal, and less time is left for the first one.
    BOOST_TEST(queue.next("s", at(200)).value() == 1U);
}

// Guards against a team that gets the next place although it holds most of the node's places.
BOOST_AUTO_TEST_CASE(the_team_with_the_fewest_places_relative_to_its_share_is_next)
{
    RequestQueue queue;
    queue.onPlaceTaken("s", "a");
    queue.onPlaceTaken("s", "a");
    queue.onPlaceTaken("s", "b");
    queue.enter(entryOf(1, 1, "a", 0, 300), at(0));
    queue.enter(entryOf(2, 1, "b", 0, 400), at(0));
    BOOST_TEST(queue.next("s", at(1)).value() == 2U);
    auto large = entryOf(3, 1, "a", 0, 400);
    large.teamShare = 4;
    queue.enter(large, at(0));
    BOOST_TEST(queue.next("s", at(1)).value() == 3U);
    queue.remove(3);
    queue.onPlaceReleased("s", "a");
    // The teams hold as many places each, so the time left decides.
    BOOST_TEST(queue.next("s", at(1)).value() == 1U);
    BOOST_TEST(queue.placesHeld("s") == 2U);
}

// Guards against an urgent request that is refused because less urgent ones fill the queue, and against a queue over its bound.
BOOST_AUTO_TEST_CASE(a_full_queue_refuses_the_entry_that_would_be_served_last)
{
    RequestQueue queue({ .maximumEntries = 2 });
    BOOST_TEST(!queue.enter(entryOf(1, 1, "a", 0, 400), at(0)));
    BOOST_TEST(!queue.enter(entryOf(2, 2, "a", 0, 400), at(0)));
    BOOST_TEST(queue.enter(entryOf(3, 0, "a", 0, 400), at(0)).value() == 2U);
    BOOST_TEST(queue.enter(entryOf(4, 3, "a", 0, 400), at(0)).value() == 4U);
    BOOST_TEST(queue.size() == 2U);
    BOOST_TEST(!queue.find(4));
}

// Guards against entries that stay after their allowed wait.
BOOST_AUTO_TEST_CASE(entries_whose_allowed_wait_is_over_are_expired)
{
    RequestQueue queue;
    queue.enter(entryOf(1, 1, "a", 0, 100), at(0));
    queue.enter(entryOf(2, 1, "a", 0, 200), at(0));
    BOOST_TEST(queue.expired(at(99)).empty());
    BOOST_TEST((queue.expired(at(100)) == std::vector<std::uint64_t> { 1 }));
}

// Guards against a node whose share of the free places is always less than one, and which would never take one.
BOOST_AUTO_TEST_CASE(a_node_with_a_small_share_takes_a_place_now_and_then)
{
    PlacePacer pacer;
    PacingInput input { .places = { .total = 36, .free = 4 }, .share = 0.01, .viewSeconds = 0.25, .slotSeconds = 2 };
    unsigned taken = 0;
    for (int milliseconds = 0; milliseconds < 60000; milliseconds += 10) {
        pacer.update(input, at(milliseconds));
        if (pacer.mayTake()) {
            pacer.onTaken();
            ++taken;
        }
    }
    // Its share of 4 places in each of 240 periods is 9.6 places.
    BOOST_TEST(taken >= 9U);
    BOOST_TEST(taken <= 11U);
}

// Guards against refusals while only three tenths of the places are needed.
BOOST_AUTO_TEST_CASE(nearly_all_are_served_where_there_is_room)
{
    for (auto fleet : fleets) {
        auto result = play({ .nodes = fleet.nodes, .viewAge = fleet.viewAge, .demand = 0.3 });
        BOOST_TEST(result.all.share() >= 0.99);
    }
}

// Guards against refusals below the capacity: at most half as many as if no request waited.
BOOST_AUTO_TEST_CASE(below_the_capacity_refusals_are_at_least_halved_by_waiting)
{
    for (auto fleet : fleets) {
        auto queued = play({ .nodes = fleet.nodes, .viewAge = fleet.viewAge, .demand = 0.8 });
        auto unqueued = play({ .nodes = fleet.nodes, .viewAge = fleet.viewAge, .demand = 0.8, .isQueued = false });
        BOOST_TEST(1 - queued.all.share() <= (1 - unqueued.all.share()) / 2);
    }
}

// A kind of request must not have a smaller share served than a less urgent one, no kind and no node starves, and waiting requests must not
// leave slots unused.
BOOST_AUTO_TEST_CASE(in_a_shortage_urgent_requests_are_served_first_and_none_starves)
{
    for (auto fleet : fleets) {
        for (auto demand : { 1.2, 3.0 }) {
            auto result = play({ .nodes = fleet.nodes, .viewAge = fleet.viewAge, .demand = demand });
            auto unqueued = play({ .nodes = fleet.nodes, .viewAge = fleet.viewAge, .demand = demand, .isQueued = false });
            BOOST_TEST(result.byPriority[0].share() >= result.byPriority[1].share() - tolerance);
            BOOST_TEST(result.byPriority[1].share() >= result.byPriority[2].share() - tolerance);
            BOOST_TEST(result.byPriority[2].served > 0U);
            BOOST_TEST(result.byPriority[0].share() > unqueued.byPriority[0].share());
            // At three times the demand, requests that are sent at once fill each slot as soon as it is free, at the price of refusals.
            if (demand < 2)
                BOOST_TEST(result.used >= unqueued.used);
            else
                BOOST_TEST(result.refusedByEndpoints <= unqueued.refusedByEndpoints / 2);
            BOOST_TEST(result.longestWait <= 500);
            for (const auto& [node, count] : result.byNode)
                BOOST_TEST(count.served > 0U);
        }
    }
}

// Guards against refusals of urgent requests in a burst of 5 s: at most half as many as if no request waited.
BOOST_AUTO_TEST_CASE(in_a_burst_refusals_of_urgent_requests_are_at_least_halved_by_waiting)
{
    for (auto fleet : fleets) {
        auto queued = play({ .nodes = fleet.nodes, .viewAge = fleet.viewAge, .demand = 0.7, .burst = 2 });
        auto unqueued = play({ .nodes = fleet.nodes, .viewAge = fleet.viewAge, .demand = 0.7, .burst = 2, .isQueued = false });
        BOOST_TEST(1 - queued.byPriority[0].share() <= (1 - unqueued.byPriority[0].share()) / 2);
        BOOST_TEST(queued.all.share() >= unqueued.all.share());
    }
}

// Guards against a team that gets more of its requests served because it sends more of them. Where a node has less than one place, teams
// hold none when a place is granted, so the order by places has no effect there: the fair shares over all nodes are another decision.
BOOST_AUTO_TEST_CASE(a_loud_team_has_no_larger_share_served_than_the_others)
{
    for (auto fleet : fleets) {
        auto result = play({ .nodes = fleet.nodes, .viewAge = fleet.viewAge, .demand = 0.8, .loudTeam = 7.5 });
        BOOST_TEST(result.byTeam[1].share() >= result.byTeam[0].share() - tolerance);
        BOOST_TEST(result.byTeam[0].served > 0U);
    }
}

// Guards against all nodes taking the same free places at once, with requests that occupy a place for longer than a view is old.
BOOST_AUTO_TEST_CASE(pacing_keeps_nodes_from_overfilling_the_slots)
{
    for (auto fleet : fleets) {
        LoadOptions options { .nodes = fleet.nodes, .viewAge = fleet.viewAge, .demand = 1.2, .slotTime = 2000, .allowedWait = 2000, .length = 60000 };
        auto paced = play(options);
        options.isPaced = false;
        auto unpaced = play(options);
        BOOST_TEST(paced.refusedByEndpoints <= unpaced.refusedByEndpoints);
        // With less than one place a node, waiting takes too long, and a request is sent to a free place as if there were no pacing.
        if (fleet.nodes == 9)
            BOOST_TEST(paced.refusedByEndpoints * 2 <= unpaced.refusedByEndpoints);
    }
}

BOOST_AUTO_TEST_SUITE_END()
