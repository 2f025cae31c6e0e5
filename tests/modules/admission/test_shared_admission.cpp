// Simulates loads against a service with a given capacity and several nodes, which decide on their own from sums that are 0.25 or 0.8 s old.
// Checks what callers get.
#include "modules/admission/shared_admission.h"

#include "core/digest.h"
#include "core/net/frame.h"
#include "modules/peers/relayed_sum.h"
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <random>

using namespace Onyxnotch;

namespace {

const SteadyTime start { std::chrono::hours(1) };
constexpr double period = 0.25; // Gossip period in seconds.
constexpr unsigned teamCount = 16;
constexpr unsigned priorityCount = 3;

SteadyTime at(double seconds) { return start + std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(seconds)); }

// What the requests of one kind got.
struct Counts {
    double arrived { 0 };
    double inTime { 0 };
    double refusedByLevel { 0 }; // Including repeats.

    double share() const { return arrived > 0 ? inTime / arrived : 1; }
};

struct Play {
    unsigned nodes { 1 };
    double age { 0.25 }; // Of the sums, in seconds.
    double seconds { 30 };
    std::function<double(double)> demand { [](double) { return 1.0; } }; // By time, as a factor of the capacity.
    std::function<double(double)> capacity { [](double) { return 1.0; } }; // By time, as a factor of the full capacity.
    unsigned surgingTeam { 0 }; // Number of the team that surges; 0 for none.
    double surge { 1 };
    double repeatingCallers { 0 }; // Share of callers that repeat a refused request three times a second, for up to two seconds.
    bool urgentSurgeOnly { false }; // The surging team sends more of the most urgent requests only.
    double countFrom { 10 }; // Results count from here on: the time until a fair state.
};

struct Result {
    std::array<Counts, priorityCount> priorities {};
    std::array<Counts, teamCount + 1> teams {}; // From 1.
    double arrivals { 0 };
    double refusedByLevel { 0 };
    double served { 0 }; // Work in time after `countFrom`, as a share of the capacity then.
    double variation { 0 }; // Standard deviation of admitted work by second, divided by its mean.
    double firstRefusalAt { 0 }; // Time of the first refusal by the level, in seconds.
    double firstShortageAt { 0 }; // Time of the first refusal by an endpoint, in seconds.
    Counts repeating {}; // Requests of callers that repeat; each request counts once.
    Counts waiting {}; // Requests of the others.
    bool isShortAtEnd { false };
    std::vector<double> servedBySecond {};
};

// One request, also when it is repeated.
struct Caller {
    AdmissionGroup group {};
    unsigned teamNumber { 0 };
    std::uint64_t content { 0 };
    bool repeats { false };
    double nextAt { 0 };
    double givesUpAt { 0 };
};

class Simulation {
public:
    explicit Simulation(const Play& play)
        : m_play(play)
        , m_admissions(play.nodes)
        , m_meters(play.nodes)
    {
        for (unsigned team = 1; team <= teamCount; ++team)
            m_view.teamWeights[team] = 1;
    }

    Result run()
    {
        auto ticks = static_cast<unsigned>(m_play.seconds / period);
        for (unsigned tick = 0; tick < ticks; ++tick) {
            runPeriod(tick * period);
            exchange((tick + 1) * period);
        }
        finish();
        return m_result;
    }

private:
    static constexpr double requestsPerSecond = 800; // Of the full capacity; each request takes one unit of work on average.
    static constexpr double objective = 1; // Seconds.

    double chanceOfTeam(unsigned team, unsigned priority, double now) const
    {
        bool surges = team == m_play.surgingTeam && now >= surgeFrom && (!m_play.urgentSurgeOnly || priority == 0);
        return surges ? m_play.surge : 1;
    }

    void runPeriod(double from)
    {
        constexpr unsigned steps = 25;
        for (unsigned step = 0; step < steps; ++step) {
            auto now = from + step * period / steps;
            auto capacity = requestsPerSecond * m_play.capacity(now);
            m_backlog = std::max(0.0, m_backlog - capacity * period / steps);
            addArrivals(now, period / steps);
            for (auto due = m_firstEvents.begin(); due != m_firstEvents.end() && due->first <= now; due = m_firstEvents.erase(due))
                m_meters[due->second.first].onServed("s", 1, due->second.second);
            for (auto due = m_repeats.begin(); due != m_repeats.end() && due->first <= now; due = m_repeats.erase(due))
                arrive(due->second, now, false);
        }
    }

    void addArrivals(double now, double seconds)
    {
        // Parts of the priorities as at the first customer.
        static const std::array<double, priorityCount> parts { 0.25, 0.18, 0.57 };
        for (unsigned team = 1; team <= teamCount; ++team) {
            for (unsigned priority = 0; priority < priorityCount; ++priority) {
                auto rate = requestsPerSecond * m_play.demand(now) * parts[priority] / teamCount * chanceOfTeam(team, priority, now);
                auto count = std::poisson_distribution<unsigned>(rate * seconds)(m_random);
                for (unsigned n = 0; n < count; ++n) {
                    bool repeats = std::bernoulli_distribution(m_play.repeatingCallers)(m_random);
                    Caller caller { .group = { .team = team, .priority = static_cast<std::uint8_t>(priority) }, .teamNumber = team, .content = m_random(), .repeats = repeats, .givesUpAt = now + 2 };
                    arrive(caller, now, true);
                }
            }
        }
    }

    void arrive(Caller caller, double now, bool isNew)
    {
        // The balancer sends each repeat to another node.
        auto node = std::uniform_int_distribution<unsigned>(0, m_play.nodes - 1)(m_random);
        auto fleetTime = static_cast<std::uint64_t>(1e12 + now * 1000);
        auto decision = m_admissions[node].decide("s", caller.group, caller.content, fleetTime, at(now));
        m_meters[node].onArrival("s", caller.group, 1, decision.chance);
        bool counts = now >= m_play.countFrom;
        m_result.arrivals += 1;
        bool served = false;
        if (decision.isAdmitted) {
            m_meters[node].onAdmitted("s", 1);
            served = serve(node, now);
            if (static_cast<std::size_t>(now) >= m_admittedBySecond.size())
                m_admittedBySecond.resize(static_cast<std::size_t>(now) + 1);
            m_admittedBySecond[static_cast<std::size_t>(now)] += 1;
        } else {
            m_result.refusedByLevel += 1;
            if (m_result.firstRefusalAt == 0)
                m_result.firstRefusalAt = now;
            BOOST_REQUIRE(!decision.reason.empty());
            BOOST_REQUIRE(decision.retryAfter.count() > 0);
        }
        if (counts) {
            for (auto* it : { &m_result.priorities[caller.group.priority], &m_result.teams[caller.teamNumber], caller.repeats ? &m_result.repeating : &m_result.waiting }) {
                it->arrived += isNew ? 1 : 0;
                it->inTime += served ? 1 : 0;
                it->refusedByLevel += decision.isAdmitted ? 0 : 1;
            }
            m_result.served += served ? 1 : 0;
        }
        if (static_cast<std::size_t>(now) >= m_result.servedBySecond.size())
            m_result.servedBySecond.resize(static_cast<std::size_t>(now) + 1);
        m_result.servedBySecond[static_cast<std::size_t>(now)] += served ? 1 : 0;
        if (!served)
            comeAgain(caller, now, decision);
    }

    void comeAgain(Caller caller, double now, const AdmissionDecision& decision)
    {
        if (m_play.repeatingCallers <= 0)
            return;
        auto wait = caller.repeats ? 1.0 / 3 : std::max(0.3, static_cast<double>(decision.retryAfter.count()) / 1000);
        if (now + wait < caller.givesUpAt)
            m_repeats.emplace(now + wait, caller);
    }

    // Endpoints take a request if they are expected to begin in time. Their estimate is wrong by some 10 %.
    bool serve(unsigned node, double now)
    {
        auto capacity = requestsPerSecond * m_play.capacity(now);
        auto wait = m_backlog / capacity;
        if (wait > objective * 0.9) {
            if (m_result.firstShortageAt == 0)
                m_result.firstShortageAt = now;
            m_meters[node].onRefused("s");
            return false;
        }
        m_backlog += 1;
        auto duration = wait * std::normal_distribution<double>(1, 0.1)(m_random);
        bool isOnTime = duration <= objective;
        m_firstEvents.emplace(now + duration, std::pair(node, isOnTime));
        return isOnTime;
    }

    void exchange(double now)
    {
        AdmissionLoad total;
        double shortNodes = 0;
        for (auto& it : m_admissions)
            shortNodes += it.isShort("s") ? 1 : 0;
        for (auto& it : m_meters) {
            it.tick(period);
            total += it.load();
        }
        if (total.services.contains("s"))
            total.services["s"].shortNodes = shortNodes;
        m_sums.emplace_back(now, std::move(total));
        while (m_sums.size() > 1 && m_sums[1].first <= now - m_play.age + 1e-9)
            m_sums.pop_front();
        if (m_sums.front().first > now - m_play.age + 1e-9)
            return;
        auto capacity = requestsPerSecond * m_play.capacity(now);
        m_view.services["s"] = { .slots = capacity, .busySlots = std::min(capacity, m_backlog + capacity * 0.8), .engineSeconds = capacity };
        for (auto& it : m_admissions)
            it.update(m_sums.front().second, m_play.nodes, m_view, at(now));
    }

    void finish()
    {
        double capacity = 0;
        for (double now = m_play.countFrom; now < m_play.seconds; now += period)
            capacity += requestsPerSecond * m_play.capacity(now) * period;
        m_result.served /= capacity;
        m_result.isShortAtEnd = m_admissions.front().isShort("s");
        double sum = 0;
        double squares = 0;
        auto first = static_cast<std::size_t>(m_play.countFrom);
        auto last = static_cast<std::size_t>(m_play.seconds);
        for (auto second = first; second < last; ++second) {
            sum += m_admittedBySecond[second];
            squares += m_admittedBySecond[second] * m_admittedBySecond[second];
        }
        auto mean = sum / static_cast<double>(last - first);
        m_result.variation = std::sqrt(std::max(0.0, squares / static_cast<double>(last - first) - mean * mean)) / mean;
    }

    static constexpr double surgeFrom = 5;

    Play m_play;
    std::vector<SharedAdmission> m_admissions;
    std::vector<AdmissionMeter> m_meters;
    AdmissionView m_view {};
    std::deque<std::pair<double, AdmissionLoad>> m_sums {};
    std::multimap<double, Caller> m_repeats {};
    std::multimap<double, std::pair<unsigned, bool>> m_firstEvents {}; // By time: node, and whether it is on time.
    std::vector<double> m_admittedBySecond {};
    double m_backlog { 0 }; // Work that endpoints have taken and not begun.
    std::mt19937_64 m_random { 11 };
    Result m_result {};
};

// Each fleet size and age of the sums that the design must work with.
std::vector<Play> fleets(const Play& base)
{
    std::vector<Play> plays;
    for (auto [nodes, age] : { std::pair(1U, 0.25), std::pair(9U, 0.25), std::pair(9U, 0.8), std::pair(85U, 0.8), std::pair(300U, 0.8) }) {
        plays.push_back(base);
        plays.back().nodes = nodes;
        plays.back().age = age;
    }
    return plays;
}

void printFigures(const char* name, const Play& play, const Result& result)
{
    double least = 1;
    double most = 0;
    for (unsigned team = 1; team <= teamCount; ++team) {
        if (team == play.surgingTeam)
            continue;
        least = std::min(least, result.teams[team].share());
        most = std::max(most, result.teams[team].share());
    }
    BOOST_TEST_MESSAGE(name << " nodes " << play.nodes << " age " << play.age << ": priorities " << result.priorities[0].share() << " " << result.priorities[1].share() << " " << result.priorities[2].share() << ", teams " << least << " to " << most
                            << ", surging " << (play.surgingTeam > 0 ? result.teams[play.surgingTeam].share() : 0) << ", used " << result.served << ", variation " << result.variation << ", refused " << result.refusedByLevel / result.arrivals << ", first refusal at " << result.firstRefusalAt << " after " << result.firstShortageAt
                            << ", repeating " << result.repeating.share() << " others " << result.waiting.share());
}

// The level must take effect before a burst of a few seconds is over.
void checkSoon(const Result& result)
{
    constexpr double mostSeconds = 2;
    BOOST_TEST(result.firstShortageAt > 0);
    BOOST_TEST(result.firstRefusalAt > 0);
    BOOST_TEST(result.firstRefusalAt - result.firstShortageAt < mostSeconds);
}

void checkUrgentFirst(const Result& result)
{
    // The tolerance is four standard deviations of a share of several thousand requests.
    constexpr double tolerance = 0.03;
    for (unsigned n = 1; n < priorityCount; ++n)
        BOOST_TEST(result.priorities[n - 1].share() >= result.priorities[n].share() - tolerance);
}

AdmissionLoad shortLoad()
{
    AdmissionLoad load;
    load.services["s"] = { .demand = { { { 1, 0 }, { 100, 100 } }, { { 1, 2 }, { 100, 100 } }, { { 2, 2 }, { 100, 100 } } }, .workInTime = 150, .onTime = 150, .refused = 150 };
    return load;
}

const AdmissionView fullView { .services = { { "s", { .slots = 100, .busySlots = 100 } } } };

// A node that knows a service to be short.
SharedAdmission shortNode(double until, unsigned nodes = 9)
{
    SharedAdmission admission;
    for (double now = 0; now < until; now += period)
        admission.update(shortLoad(), nodes, fullView, at(now));
    return admission;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SharedAdmissionTests)

// Guards against refusals by the level in deployments without a shortage.
BOOST_AUTO_TEST_CASE(nothing_is_refused_below_the_capacity)
{
    for (const auto& play : fleets({ .demand = [](double) { return 0.8; } })) {
        auto result = Simulation(play).run();
        printFigures("0.8", play, result);
        BOOST_TEST(result.refusedByLevel == 0);
        BOOST_TEST(result.priorities[2].share() > 0.99);
    }
}

// Guards against urgent requests that are late while others are served, against unused capacity, and against oscillation.
BOOST_AUTO_TEST_CASE(a_small_shortage_is_borne_by_the_least_urgent)
{
    for (const auto& play : fleets({ .demand = [](double) { return 1.2; } })) {
        auto result = Simulation(play).run();
        printFigures("1.2", play, result);
        checkUrgentFirst(result);
        BOOST_TEST(result.priorities[0].share() > 0.9);
        BOOST_TEST(result.served > 0.9);
        BOOST_TEST(result.variation < 0.1);
    }
}

// Guards against a collapse at a high overload: late answers, unused capacity, and priorities or teams that starve.
BOOST_AUTO_TEST_CASE(at_three_times_the_capacity_the_capacity_is_used)
{
    for (const auto& play : fleets({ .demand = [](double) { return 3.0; } })) {
        auto result = Simulation(play).run();
        printFigures("3", play, result);
        checkUrgentFirst(result);
        BOOST_TEST(result.priorities[0].share() > 0.9);
        BOOST_TEST(result.priorities[2].share() > 0.02); // Nobody starves: the floor is a twentieth.
        BOOST_TEST(result.served > 0.9);
        BOOST_TEST(result.variation < 0.1);
        checkSoon(result);
        for (unsigned team = 1; team <= teamCount; ++team)
            BOOST_TEST(std::abs(result.teams[team].share() - result.teams[1].share()) < 0.05);
    }
}

// Guards against a level that outlasts the shortage, or begins only when the burst is over.
BOOST_AUTO_TEST_CASE(a_burst_ends_without_an_aftermath)
{
    auto demand = [](double now) { return now >= 5 && now < 10 ? 2 * 0.8 : 0.8; };
    for (const auto& play : fleets({ .demand = demand, .countFrom = 13 })) {
        auto result = Simulation(play).run();
        printFigures("burst", play, result);
        checkSoon(result);
        BOOST_TEST(result.priorities[2].share() > 0.99);
        BOOST_TEST(!result.isShortAtEnd);
    }
}

// Guards against a team at several times its usual rate that takes capacity from the others.
BOOST_AUTO_TEST_CASE(a_surging_team_is_kept_to_its_share)
{
    for (const auto& play : fleets({ .demand = [](double) { return 0.9; }, .surgingTeam = 3, .surge = 7.5 })) {
        auto result = Simulation(play).run();
        printFigures("surge", play, result);
        checkUrgentFirst(result);
        // Among 16 teams at 0.9 and one of these at 7.5 times that, the demand is 1.27 times the capacity. The 15 others need 0.84.
        for (unsigned team = 1; team <= teamCount; ++team) {
            if (team == play.surgingTeam)
                continue;
            // Under its fair share, a team is admitted in full, but for moments in which the estimate is below what the 15 others need.
            // Endpoints refuse a few percent, of all teams alike.
            BOOST_TEST(result.teams[team].refusedByLevel <= 0.05 * result.teams[team].arrived);
            BOOST_TEST(result.teams[team].share() > 0.85);
        }
        BOOST_TEST(result.teams[3].share() > 0.2); // It gets what the others leave.
        BOOST_TEST(result.teams[3].share() < 0.6);
        BOOST_TEST(result.served > 0.9);
        BOOST_TEST(result.variation < 0.1);
    }
}

// Guards against team shares that serve a smaller share of the most urgent requests than of the least urgent.
BOOST_AUTO_TEST_CASE(a_team_surging_in_urgent_requests_does_not_invert_the_order_of_priorities)
{
    for (const auto& play : fleets({ .demand = [](double) { return 0.9; }, .surgingTeam = 3, .surge = 30, .urgentSurgeOnly = true })) {
        auto result = Simulation(play).run();
        printFigures("urgent surge", play, result);
        checkUrgentFirst(result);
        BOOST_TEST(result.priorities[2].share() > 0.02);
        for (unsigned team = 1; team <= teamCount; ++team)
            BOOST_TEST(result.teams[team].share() > 0.02);
    }
}

// Guards against repeats that are drawn more often, and against repeats that make the nodes admit less than the capacity.
BOOST_AUTO_TEST_CASE(a_repeat_gains_nothing)
{
    for (const auto& play : fleets({ .demand = [](double) { return 1.5; }, .repeatingCallers = 1.0 / 3 })) {
        auto result = Simulation(play).run();
        printFigures("repeats", play, result);
        checkUrgentFirst(result);
        BOOST_TEST(result.served > 0.9);
        // Higher than elsewhere: callers that were refused at the same time also return at the same time.
        BOOST_TEST(result.variation < 0.15);
    }
    auto admission = shortNode(5);
    unsigned refused = 0;
    for (std::uint64_t content = 0; content < 1000; ++content) {
        auto first = admission.decide("s", { 2, 2 }, content, 1000000, at(5));
        if (first.isAdmitted)
            continue;
        ++refused;
        // Before the next draw, no repeat is admitted, at any node.
        auto others = shortNode(5);
        auto untilNext = static_cast<std::uint64_t>(first.retryAfter.count()) % 1000;
        for (std::uint64_t later = 0; later + 1000 < static_cast<std::uint64_t>(first.retryAfter.count()) && later < untilNext; later += 50)
            BOOST_TEST(!others.decide("s", { 2, 2 }, content, 1000000 + later, at(5)).isAdmitted);
        if (refused > 50)
            break;
    }
    BOOST_TEST(refused > 10);
}

// Guards against urgent requests that are refused, and against unused capacity, after a quarter of the endpoints has left at once.
BOOST_AUTO_TEST_CASE(a_lost_quarter_of_the_capacity_is_shared_fairly_within_seconds)
{
    auto capacity = [](double now) { return now >= 10 ? 0.75 : 1.0; };
    for (const auto& play : fleets({ .demand = [](double) { return 0.95; }, .capacity = capacity, .countFrom = 14 })) {
        auto result = Simulation(play).run();
        printFigures("quarter gone", play, result);
        checkUrgentFirst(result);
        BOOST_TEST(result.priorities[0].share() > 0.9);
        BOOST_TEST(result.served > 0.9);
        BOOST_TEST(result.variation < 0.1);
        checkSoon(result);
    }
}

// Guards against a level that stays low: the estimate fell with the listed slots and did not rise when they were back, so half of the
// requests were still refused 40 s after the endpoints had returned.
BOOST_AUTO_TEST_CASE(the_estimate_returns_with_the_endpoints)
{
    auto admission = shortNode(5);
    auto capacity = admission.capacity("s");
    AdmissionView halfView { .services = { { "s", { .slots = 50, .busySlots = 50 } } } };
    admission.update(shortLoad(), 9, halfView, at(5));
    BOOST_TEST(admission.capacity("s") < 0.6 * capacity);
    admission.update(shortLoad(), 9, fullView, at(5.25));
    BOOST_TEST(admission.capacity("s") > 0.9 * capacity);
    AdmissionView emptyView { .services = { { "s", {} } } };
    admission.update(shortLoad(), 9, emptyView, at(5.5));
    admission.update(shortLoad(), 9, fullView, at(5.75));
    BOOST_TEST(admission.capacity("s") > 0.9 * capacity);
}

// Guards against refusals because endpoints fail while most slots are free: refusing callers would not help.
BOOST_AUTO_TEST_CASE(failing_endpoints_that_are_idle_are_no_shortage)
{
    SharedAdmission admission;
    AdmissionView idle { .services = { { "s", { .slots = 100, .busySlots = 10 } } } };
    for (double now = 0; now < 5; now += period)
        admission.update(shortLoad(), 9, idle, at(now));
    BOOST_TEST(!admission.isShort("s"));
    BOOST_TEST(admission.decide("s", { 2, 2 }, 1, 0, at(5)).isAdmitted);
    BOOST_TEST(shortNode(5).isShort("s"));
}

// Guards against a starting node that refuses without knowing the load, or that admits everything after the others apply a level.
BOOST_AUTO_TEST_CASE(a_node_that_starts_has_no_level)
{
    SharedAdmission admission;
    BOOST_TEST(admission.chance("s", { 2, 2 }, at(0)) == 1);
    admission.update(shortLoad(), 9, fullView, at(0));
    BOOST_TEST(admission.chance("s", { 2, 2 }, at(0)) == 1);
    // The others' level keeps the evidence small: the node follows them.
    auto load = shortLoad();
    load.services["s"].refused = 0;
    load.services["s"].shortNodes = 8;
    admission.update(load, 9, fullView, at(0.25));
    BOOST_TEST(admission.chance("s", { 2, 2 }, at(0.25)) < 1);
}

// Guards against a cut-off node that admits everything at once, or that applies an outdated level without end.
BOOST_AUTO_TEST_CASE(a_node_that_is_cut_off_keeps_its_level_and_lets_it_fade)
{
    auto admission = shortNode(5);
    AdmissionGroup group { .team = 2, .priority = 2 };
    auto before = admission.chance("s", group, at(5));
    BOOST_TEST(before < 0.9);
    AdmissionLoad own;
    own.services["s"] = { .demand = { { group, { 10, 10 } } }, .workInTime = 10, .onTime = 10 };
    std::vector<double> chances;
    for (double now = 5; now < 16; now += period) {
        admission.update(own, 1, fullView, at(now));
        chances.push_back(admission.chance("s", group, at(now)));
    }
    auto chanceAfter = [&](double seconds) { return chances[static_cast<std::size_t>(seconds / period)]; };
    BOOST_TEST(chanceAfter(0) == before, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(chanceAfter(4.5) == before, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(chanceAfter(7) > before);
    BOOST_TEST(chanceAfter(7) < 1);
    BOOST_TEST(chanceAfter(10) == 1);
    BOOST_TEST(!admission.isShort("s"));
}

// Guards against teams below their share that get less than they demand, and against ignored weights.
BOOST_AUTO_TEST_CASE(shares_are_max_min_fair_and_weighted)
{
    auto shares = fairShares({ 10, 100, 100 }, { 1, 1, 2 }, 100);
    BOOST_TEST(shares[0] == 10, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares[1] == 30, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(shares[2] == 60, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(fairShares({ 10, 10 }, { 1, 1 }, 100)[1] == 10);
}

// Guards against reports that do not fit into a datagram, and against values of a peer that would spoil the sum.
BOOST_AUTO_TEST_CASE(a_report_is_bounded_and_bad_values_are_refused)
{
    AdmissionLoad load;
    for (std::uint32_t team = 1; team <= 200; ++team) {
        for (std::uint8_t priority = 0; priority < 5; ++priority) {
            for (const auto* service : { "a", "b", "c", "d", "e", "f", "g", "h", "i", "j" })
                load.services[service].demand[{ .team = team, .priority = priority }] = { 1, static_cast<float>(team) };
        }
    }
    auto work = load.services["a"].demandedWork();
    BOOST_TEST(!load.isSound());
    load.limitSize();
    BOOST_TEST(load.isSound());
    BOOST_TEST(load.services["a"].demandedWork() == work, boost::test_tools::tolerance(1e-3));
    BOOST_TEST((load.services["a"].demand.contains({ .team = 200, .priority = 0 })));
    BOOST_TEST((!load.services["a"].demand.contains({ .team = 1, .priority = 0 })));
    SumUpdate<AdmissionLoad> update { .node = "n", .sum = load };
    auto frame = packMessage(MessageType::AdmissionLoad, update);
    constexpr std::size_t maximumDatagram = 65000;
    BOOST_TEST(encodeFrame(frame).size() < maximumDatagram);
    auto decoded = unpackMessage<SumUpdate<AdmissionLoad>>(MessageType::AdmissionLoad, frame);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded.value() == update));
    for (auto bad : { -1.0, std::nan(""), 1e300, HUGE_VAL }) {
        auto one = shortLoad();
        one.services["s"].late = bad;
        BOOST_TEST(!one.isSound());
        one = shortLoad();
        one.services["s"].demand.begin()->second.work = static_cast<float>(bad);
        BOOST_TEST(!one.isSound());
    }
    auto one = shortLoad();
    one.services["s"].demand[{ .team = 1, .priority = maximumAdmissionPriority + 1 }] = {};
    BOOST_TEST(!one.isSound());
}

// Guards against missing or repeated log lines about the level.
BOOST_AUTO_TEST_CASE(changes_are_reported_once)
{
    auto admission = shortNode(5);
    auto changes = admission.takeChanges();
    BOOST_REQUIRE(!changes.empty());
    BOOST_TEST(changes.front().isShort);
    BOOST_TEST(!changes.front().wasShort);
    BOOST_TEST(changes.front().level.chance < 1);
    BOOST_TEST(admission.takeChanges().empty());
    for (double now = 5; now < 10; now += period)
        admission.update({}, 9, fullView, at(now));
    changes = admission.takeChanges();
    BOOST_REQUIRE(!changes.empty());
    BOOST_TEST(!changes.back().isShort);
}

BOOST_AUTO_TEST_SUITE_END()
