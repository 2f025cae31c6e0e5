// Tests that refused callers return one after the other over all nodes: simulated loads above the capacity at 1 to 300 nodes whose rates
// and clocks differ, with callers that obey and callers that repeat early; then single steps of ReturnTurns. Guards against returns that
// come together, callers that are refused again when they return as told, and callers that gain by repeating.
#include "modules/limits/return_turns.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <queue>
#include <random>

using namespace Onyxnotch;

namespace {

constexpr auto service = "s";
constexpr std::uint64_t startTime = 1'790'000'000'000; // A time of day, in milliseconds.

RequestDigest digestNumber(std::uint64_t n) { return digestOf("team", "host", "/path", std::to_string(n)); }

struct LoadOptions {
    double demand { 1.2 }; // Rate of new requests, relative to the capacity.
    unsigned nodes { 9 };
    bool enabled { true };
};

struct Group {
    double callers { 0 };
    double served { 0 };
    double servedInTurn { 0 };
    double servedShare() const { return callers > 0 ? served / callers : 0; }
    double servedInTurnShare() const { return callers > 0 ? servedInTurn / callers : 0; }
};

struct LoadResult {
    double peakReturns { 0 }; // Of the told turns of obeying callers, in 100 ms.
    double meanReturns { 0 };
    double returnsRefusedAgain { 0 }; // Part of the returns of obeying callers that were refused.
    double turnsRefusedAgain { 0 }; // The same, of the returns with a turn.
    double turnsNotRecognized { 0 }; // Part of the told turns that the node of the return did not accept.
    double refusalsPerCaller { 0 }; // Of obeying callers that were refused.
    double secondRefusals { 0 }; // Part of the refused obeying callers that were refused twice or more.
    Group obeying {};
    Group repeating {};
    double turnRate { 0 }; // Requests in turn at the end, relative to the capacity.
    std::size_t remembered { 0 }; // Highest number of entries of a node.
};

// Simulates 18 s of a load against endpoints that start a fixed number of requests a second. Requests in their turn may use all of the
// capacity that is free at the moment; others leave a reserve, as a request that yields to more urgent ones does. A third of
// the callers returns after a third of the told delay each time. There is no admission level.
class LoadSimulation {
public:
    explicit LoadSimulation(const LoadOptions& options)
        : m_options(options)
    {
        ReturnTurnsOptions turns;
        turns.enabled = options.enabled;
        std::uniform_real_distribution<double> factor(0.9, 1.1);
        std::uniform_int_distribution<int> offset(-25, 25);
        for (unsigned n = 0; n < options.nodes; ++n)
            m_nodes.push_back({ .turns = ReturnTurns(turns), .refusedFactor = factor(m_random), .servedFactor = factor(m_random), .clockOffset = offset(m_random) });
    }

    LoadResult run()
    {
        double newcomers = 0;
        for (; m_now < end; m_now += step) {
            if (m_now % ratePeriod == 0)
                updateRates();
            m_free = std::min(burst, m_free + capacity * step / 1000);
            newcomers += m_options.demand * capacity * step / 1000;
            std::vector<Arrival> arrivals;
            for (; newcomers >= 1; newcomers -= 1) {
                ++m_callers;
                arrivals.push_back({ .at = m_now, .caller = m_callers, .deadline = m_now + lifetime });
            }
            for (; !m_returns.empty() && m_returns.top().at <= m_now; m_returns.pop())
                arrivals.push_back(m_returns.top());
            std::shuffle(arrivals.begin(), arrivals.end(), m_random);
            for (auto& it : arrivals)
                arrive(it);
        }
        return result();
    }

private:
    // Times are in milliseconds.
    static constexpr std::uint64_t step = 10;
    static constexpr std::uint64_t end = startTime + 18000;
    static constexpr std::uint64_t countedFrom = startTime + 7000; // The rates are smoothed over 2 s.
    static constexpr std::uint64_t countedUntil = end - 6000; // Later callers may still be waiting at the end.
    static constexpr std::uint64_t ratePeriod = 250;
    static constexpr std::uint64_t lifetime = 6000; // Time that a caller has.
    static constexpr double capacity = 400; // Requests a second.
    static constexpr double burst = 20; // Capacity that is kept while it is not used.
    static constexpr double reserve = 8; // Part of `burst` that only requests in their turn may use.

    struct Node {
        ReturnTurns turns;
        double refusedFactor { 1 };
        double servedFactor { 1 };
        int clockOffset { 0 };
    };

    struct Arrival {
        std::uint64_t at { 0 };
        std::uint64_t caller { 0 };
        std::uint64_t deadline { 0 };
        unsigned refusals { 0 };
        bool wasToldTurn { false };

        bool repeats() const { return caller % 3 == 0; }
        bool operator<(const Arrival& other) const { return at > other.at; } // The earliest first.
    };

    void updateRates()
    {
        constexpr double weight = 0.125;
        m_requestRate += weight * (m_requests * 1000 / ratePeriod - m_requestRate);
        m_refusedRate += weight * (m_refused * 1000 / ratePeriod - m_refusedRate);
        m_requests = 0;
        m_refused = 0;
        m_turnRate += weight * (m_turns * 1000 / ratePeriod - m_turnRate);
        m_turns = 0;
        for (auto& it : m_nodes) {
            auto refused = m_refusedRate * it.refusedFactor;
            auto served = (m_requestRate - m_refusedRate) * it.servedFactor;
            it.turns.setRates({ { service, { .requestsPerSecond = served + refused, .refusedPerSecond = refused } } }, m_now + it.clockOffset);
            m_remembered = std::max(m_remembered, it.turns.rememberedRequests());
        }
    }

    void arrive(Arrival& it)
    {
        auto& node = m_nodes[m_random() % m_nodes.size()];
        auto digest = digestNumber(it.caller);
        ++m_requests;
        bool isInTurn = node.turns.mayReturn(service, digest, m_now + node.clockOffset);
        m_turns += isInTurn ? 1 : 0;
        bool isServed = m_free >= (isInTurn ? 1 : 1 + reserve);
        bool isCounted = it.deadline - lifetime >= countedFrom && it.deadline - lifetime < countedUntil;
        auto& group = it.repeats() ? m_result.repeating : m_result.obeying;
        if (isCounted && it.refusals == 0)
            ++group.callers;
        if (isCounted && it.refusals > 0 && !it.repeats())
            countReturn(it, isInTurn, isServed);
        if (isServed) {
            --m_free;
            group.served += isCounted ? 1 : 0;
            group.servedInTurn += isCounted && isInTurn ? 1 : 0;
            return;
        }
        ++m_refused;
        ++it.refusals;
        if (isCounted && !it.repeats()) {
            ++m_obeyingRefusals;
            m_refusedOnce += it.refusals == 1 ? 1 : 0;
            m_refusedTwice += it.refusals == 2 ? 1 : 0;
        }
        scheduleReturn(it, node);
    }

    void countReturn(const Arrival& it, bool isInTurn, bool isServed)
    {
        ++m_obeyingReturns;
        m_returnsRefused += isServed ? 0 : 1;
        if (!it.wasToldTurn)
            return;
        ++m_toldTurns;
        m_turnsRefused += isServed ? 0 : 1;
        m_turnsNotRecognized += isInTurn ? 0 : 1;
    }

    void scheduleReturn(Arrival& it, Node& node)
    {
        constexpr double retryAfter = 300; // Mean delay, in milliseconds, that a node without turns tells.
        constexpr std::uint64_t lastMoment = 10; // With less time left a caller gives up.
        auto left = it.deadline > m_now ? it.deadline - m_now : 0;
        auto localNow = m_now + node.clockOffset;
        auto turn = node.turns.nextTurn(service, digestNumber(it.caller), localNow, localNow + left / 3, localNow);
        auto delay = turn ? turn->at - localNow : static_cast<std::uint64_t>(std::uniform_real_distribution<double>(0.75, 1.25)(m_random) * retryAfter);
        it.wasToldTurn = turn && turn->isTurn;
        if (it.wasToldTurn && !it.repeats())
            ++m_told[(m_now + delay) / 100];
        delay = std::min(delay, left / 3);
        it.at = m_now + (it.repeats() ? delay / 3 : delay) + 1 + m_random() % 20; // Up to 20 ms on the network.
        if (it.at + lastMoment < it.deadline)
            m_returns.push(it);
    }

    LoadResult result()
    {
        double peak = 0;
        double sum = 0;
        for (auto at = countedFrom / 100; at < countedUntil / 100; ++at) {
            peak = std::max(peak, m_told[at]);
            sum += m_told[at];
        }
        auto share = [](double part, double all) { return all > 0 ? part / all : 0; };
        m_result.peakReturns = peak;
        m_result.meanReturns = sum * 100 / static_cast<double>(countedUntil - countedFrom);
        m_result.returnsRefusedAgain = share(m_returnsRefused, m_obeyingReturns);
        m_result.turnsRefusedAgain = share(m_turnsRefused, m_toldTurns);
        m_result.turnsNotRecognized = share(m_turnsNotRecognized, m_toldTurns);
        m_result.refusalsPerCaller = share(m_obeyingRefusals, m_refusedOnce);
        m_result.secondRefusals = share(m_refusedTwice, m_refusedOnce);
        m_result.remembered = m_remembered;
        m_result.turnRate = m_turnRate / capacity;
        return m_result;
    }

    LoadOptions m_options;
    std::mt19937_64 m_random { 7 };
    std::vector<Node> m_nodes {};
    std::priority_queue<Arrival> m_returns {};
    std::map<std::uint64_t, double> m_told {}; // Told turns by 100 ms.
    std::uint64_t m_now { startTime };
    std::uint64_t m_callers { 0 };
    double m_free { 0 };
    double m_requests { 0 };
    double m_refused { 0 };
    double m_requestRate { 0 };
    double m_turns { 0 };
    double m_turnRate { 0 };
    double m_refusedRate { 0 };
    double m_obeyingReturns { 0 };
    double m_returnsRefused { 0 };
    double m_toldTurns { 0 };
    double m_turnsRefused { 0 };
    double m_turnsNotRecognized { 0 };
    double m_obeyingRefusals { 0 };
    double m_refusedOnce { 0 };
    double m_refusedTwice { 0 };
    std::size_t m_remembered { 0 };
    LoadResult m_result {};
};

ReturnTurns turnsWith(double requestsPerSecond, double refusedPerSecond, std::uint64_t now = startTime)
{
    ReturnTurns turns;
    turns.setRates({ { service, { .requestsPerSecond = requestsPerSecond, .refusedPerSecond = refusedPerSecond } } }, now);
    return turns;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TurnsOfRefusedRequests)

BOOST_AUTO_TEST_CASE(returns_are_spread_and_served_and_repeating_gains_no_turns)
{
    for (double demand : { 1.2, 3.0 }) {
        auto without = LoadSimulation({ .demand = demand, .nodes = 9, .enabled = false }).run();
        for (unsigned nodes : { 1U, 9U, 85U, 300U }) {
            auto with = LoadSimulation({ .demand = demand, .nodes = nodes }).run();
            BOOST_TEST_MESSAGE("demand " << demand << ", " << nodes << " nodes: peak/mean " << with.peakReturns << "/" << with.meanReturns << ", returns refused again " << with.returnsRefusedAgain << " (" << without.returnsRefusedAgain
                                         << " without turns), turns refused " << with.turnsRefusedAgain << ", not recognized " << with.turnsNotRecognized << ", refused twice " << with.secondRefusals << " (" << without.secondRefusals
                                         << "), refusals " << with.refusalsPerCaller << " (" << without.refusalsPerCaller << "), served obeying " << with.obeying.servedShare() << " repeating " << with.repeating.servedShare() << " (" << without.obeying.servedShare()
                                         << " " << without.repeating.servedShare() << "), in turn " << with.obeying.servedInTurnShare() << " " << with.repeating.servedInTurnShare() << ", remembered " << with.remembered << ", turn rate " << with.turnRate);
            BOOST_TEST_CONTEXT("demand " << demand << ", " << nodes << " nodes")
            {
                // Twice the mean, and three standard deviations of a random count.
                BOOST_TEST(with.peakReturns <= 2 * with.meanReturns + 3 * std::sqrt(with.meanReturns));
                BOOST_TEST(with.turnsNotRecognized <= 0.02);
                BOOST_TEST(with.turnsRefusedAgain <= 0.25);
                // At most half of the refusals without turns.
                BOOST_TEST(with.refusalsPerCaller <= without.refusalsPerCaller / 2);
                BOOST_TEST(with.secondRefusals < without.secondRefusals);
                BOOST_TEST(with.obeying.servedShare() >= without.obeying.servedShare());
                BOOST_TEST(with.repeating.servedInTurnShare() <= with.obeying.servedInTurnShare() + 0.05);
                // Outside of their turns, early repeats compete with newcomers.
                BOOST_TEST(with.repeating.servedShare() - with.obeying.servedShare() <= (without.repeating.servedShare() - without.obeying.servedShare()) * 0.6);
                BOOST_TEST(with.remembered <= 8192U);
            }
        }
    }
}

// Guards against another Retry-After or order of requests while no service is short, or with the setting off.
BOOST_AUTO_TEST_CASE(a_service_that_is_not_short_has_no_turns)
{
    auto turns = turnsWith(1000, 10);
    BOOST_TEST(!turns.nextTurn(service, digestNumber(1), startTime, startTime + 9000, startTime).has_value());
    BOOST_TEST(!turns.nextTurn("other", digestNumber(1), startTime, startTime + 9000, startTime).has_value());
    for (auto now = startTime; now < startTime + 4000; now += 50)
        BOOST_TEST(!turns.mayReturn(service, digestNumber(1), now));
    ReturnTurnsOptions options;
    options.enabled = false;
    ReturnTurns disabled(options);
    disabled.setRates({ { service, { .requestsPerSecond = 1000, .refusedPerSecond = 500 } } }, startTime);
    BOOST_TEST(!disabled.nextTurn(service, digestNumber(1), startTime, startTime + 9000, startTime).has_value());
}

// A caller that comes as told must be accepted by every node, once, and one that comes early or again must not.
BOOST_AUTO_TEST_CASE(a_turn_is_accepted_once_by_each_node_and_never_early)
{
    for (std::uint64_t n = 0; n < 200; ++n) {
        auto digest = digestNumber(n);
        auto refusing = turnsWith(1000, 400);
        auto turn = refusing.nextTurn(service, digest, startTime + 300, startTime + 9000, startTime);
        BOOST_REQUIRE(turn);
        BOOST_TEST(turn->isTurn);
        BOOST_TEST(turn->at >= startTime + 300);
        BOOST_TEST(turn->at <= startTime + 9000);
        BOOST_TEST(refusing.isEarly(digest, turn->at - 1));
        BOOST_TEST(!refusing.isEarly(digest, turn->at));
        for (int clockOffset : { -50, 0, 50 }) {
            auto other = turnsWith(1000 * 1.1, 400 * 1.1 * 1.1);
            BOOST_TEST(!other.mayReturn(service, digest, turn->at - 100));
            BOOST_TEST(other.mayReturn(service, digest, turn->at + clockOffset));
            for (std::int64_t again = 0; again < 4; ++again)
                BOOST_TEST(!other.mayReturn(service, digest, turn->at + clockOffset + again * 50));
        }
    }
}

// Guards against return times that callers do not honor, and against returns before there is capacity.
BOOST_AUTO_TEST_CASE(without_a_turn_in_the_span_the_caller_is_told_its_end)
{
    auto turns = turnsWith(1000, 999);
    unsigned turnCount = 0;
    for (std::uint64_t n = 0; n < 100; ++n) {
        auto turn = turns.nextTurn(service, digestNumber(n), startTime + 300, startTime + 1000, startTime);
        BOOST_REQUIRE(turn);
        turnCount += turn->isTurn ? 1 : 0;
        if (!turn->isTurn)
            BOOST_TEST(turn->at == startTime + 1000);
    }
    BOOST_TEST(turnCount < 10U); // The period is 51 s.
    // A span that ends before there is capacity is empty.
    auto turn = turns.nextTurn(service, digestNumber(1), startTime + 2000, startTime + 1000, startTime);
    BOOST_REQUIRE(turn);
    BOOST_TEST(!turn->isTurn);
    BOOST_TEST(turn->at == startTime + 2000);
}

// Guards against callers that lose the turn they were told because the shortage grows.
BOOST_AUTO_TEST_CASE(turns_of_a_shorter_period_stay_valid_while_the_period_grows)
{
    for (std::uint64_t n = 0; n < 100; ++n) {
        auto digest = digestNumber(n);
        auto turns = turnsWith(1000, 400);
        auto turn = turns.nextTurn(service, digest, startTime, startTime + 2000, startTime);
        BOOST_REQUIRE(turn);
        turns.setRates({ { service, { .requestsPerSecond = 1000, .refusedPerSecond = 990 } } }, startTime + 250);
        BOOST_TEST(turns.mayReturn(service, digest, turn->at) == turn->isTurn);
    }
}

// A flood of different requests must not exhaust the memory; entries must expire.
BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    auto turns = turnsWith(1000, 500);
    for (std::uint64_t n = 0; n < 100000; ++n) {
        turns.nextTurn(service, digestNumber(n), startTime, startTime + 3000, startTime);
        turns.mayReturn(service, digestNumber(n), startTime);
    }
    BOOST_TEST(turns.rememberedRequests() <= 8192U);
    BOOST_TEST(turns.rememberedRequests() >= 4096U);
    turns.nextTurn(service, digestNumber(0), startTime + 4000, startTime + 5000, startTime + 4000);
    for (std::uint64_t n = 0; n < 100; ++n)
        turns.mayReturn(service, digestNumber(n), startTime + 1000);
    BOOST_TEST(turns.rememberedRequests() < 200U);
}

BOOST_AUTO_TEST_SUITE_END()
