// Endpoints that name in their answers how many requests a second they take from all nodes together.
#include "tests/entry/notice_site.h"
#include <atomic>
#include <set>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds settled { 3000 }; // After the first word, by when all nodes keep to it.
constexpr Milliseconds span { 4000 }; // Any one of this length counts.
constexpr Milliseconds heardBefore { 500 }; // A node that heard of it later need not keep to it yet.

std::string limitField(const std::string& perSecond) { return "Server-Limit: " + perSecond + "\r\n"; }

double secondsOf(SteadyTime::duration duration) { return std::chrono::duration<double>(duration).count(); }

// What an endpoint may get in any such span.
double allowed(double perSecond) { return 1.5 * perSecond * secondsOf(span) + 5; }

// Callers that ask all the time, each on connections of its own.
class Callers {
public:
    Callers(std::vector<EntryProcess*> nodes, unsigned count, Milliseconds pause)
        : m_nodes(std::move(nodes))
    {
        for (unsigned n = 0; n < count; ++n)
            m_threads.emplace_back([this, n, count, pause] { run(n, count, pause); });
    }
    ~Callers() { stop(); }
    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    void stop()
    {
        m_stopping = true;
        for (auto& it : m_threads)
            it.join();
        m_threads.clear();
    }

    unsigned good() const { return m_good; }
    unsigned refused() const { return m_refused; }

private:
    void run(unsigned number, unsigned count, Milliseconds pause)
    {
        for (auto n = number; !m_stopping; n += count) {
            auto answer = EntrySite::ask(m_nodes[n % m_nodes.size()]->callers, request("GET", "/safe/a" + std::to_string(n), "load-" + std::to_string(n)));
            ++(answer.head.status == HttpStatus::ok ? m_good : m_refused);
            // The pace of a caller, not a wait for something.
            if (pause.count() > 0)
                std::this_thread::sleep_for(pause);
        }
    }

    std::vector<EntryProcess*> m_nodes;
    std::atomic<bool> m_stopping { false };
    std::atomic<unsigned> m_good { 0 };
    std::atomic<unsigned> m_refused { 0 };
    std::vector<std::thread> m_threads {};
};

// Arrivals at an endpoint since a moment.
std::vector<SteadyTime> arrivals(const Fakes::ScriptedEndpoint& endpoint, SteadyTime since)
{
    std::vector<SteadyTime> times;
    for (const auto& it : endpoint.requests()) {
        if (it.arrivedAt >= since)
            times.push_back(it.arrivedAt);
    }
    std::sort(times.begin(), times.end());
    return times;
}

// The most that arrived in any span which ends after `from`.
std::size_t mostInSpan(const std::vector<SteadyTime>& times, SteadyTime from)
{
    std::size_t most = 0;
    auto first = times.begin();
    for (auto it = times.begin(); it != times.end(); ++it) {
        while (*it - *first > span)
            ++first;
        if (*it >= from)
            most = std::max(most, static_cast<std::size_t>(it - first) + 1);
    }
    return most;
}

struct LimitedRun {
    std::size_t most { 0 }; // In any span that counts.
    double used { 0 }; // Part of what the endpoint takes.
    unsigned good { 0 };
    unsigned refused { 0 };
};

struct LimitedRunOptions {
    std::string limit { "1" };
    double perSecond { 1 };
    Milliseconds lasting { 9000 };
    unsigned callers { 4 };
    Milliseconds pause { 5 };
    std::size_t askedNodes { 0 }; // The first so many; 0 for all.
};

// The first endpoint names the limit while callers ask.
LimitedRun runLimited(NoticeSite& it, const LimitedRunOptions& options = {})
{
    auto asked = it.nodes;
    if (options.askedNodes > 0)
        asked.resize(options.askedNodes);
    Callers callers(asked, options.callers, options.pause);
    BOOST_REQUIRE(waitUntil([&] { return callers.good() > 50; }));
    auto namedAt = steadyNow();
    it.stands[0]->setScript(answering(limitField(options.limit)));
    waitUntil([&] { return steadyNow() - namedAt > options.lasting; }, options.lasting * 2);
    callers.stop();
    auto times = arrivals(*it.stands[0], namedAt + heardBefore);
    auto counted = arrivals(*it.stands[0], namedAt + settled);
    auto capacity = options.perSecond * secondsOf(options.lasting - settled);
    return { .most = mostInSpan(times, namedAt + settled), .used = static_cast<double>(counted.size()) / capacity, .good = callers.good(), .refused = callers.refused() };
}

void checkWithin(const LimitedRun& run, double perSecond)
{
    constexpr double wellUsed = 0.6; // Of what it takes.
    BOOST_TEST(static_cast<double>(run.most) <= allowed(perSecond));
    BOOST_TEST(run.used >= wellUsed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointsThatNameALimit)

BOOST_AUTO_TEST_CASE(one_node_keeps_to_it_and_uses_it)
{
    NoticeSite it;
    auto run = runLimited(it);
    checkWithin(run, 1);
    BOOST_TEST(run.refused == 0U);
}

BOOST_AUTO_TEST_CASE(nine_nodes_keep_to_it_together)
{
    NoticeSite it(9);
    for (auto [limit, perSecond] : { std::pair("1", 1.0), std::pair("7.5", 7.5) }) {
        it.stands[0]->setScript(answering(""));
        BOOST_TEST_CONTEXT("limit " << limit)
        {
            auto run = runLimited(it, { .limit = limit, .perSecond = perSecond });
            checkWithin(run, perSecond);
            BOOST_TEST(run.refused == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(what_callers_ask_of_one_node_may_use_all_of_it)
{
    NoticeSite it(5);
    checkWithin(runLimited(it, { .limit = "4", .perSecond = 4, .askedNodes = 1 }), 4);
}

BOOST_AUTO_TEST_CASE(the_store_takes_no_part)
{
    NoticeSite it(3);
    it.site.platform().setHeld(true);
    checkWithin(runLimited(it), 1);
    it.site.platform().setHeld(false);
}

BOOST_AUTO_TEST_CASE(a_fleet_with_relays_keeps_to_it_and_uses_it)
{
    NoticeSite it;
    for (int n = 2; n <= 6; ++n)
        it.nodes.push_back(&it.site.startNode("node-" + std::to_string(n), { { "everyNodeUpTo", 2 }, { "zone", n % 2 == 0 ? "z" : "y" } }));
    // The first one counts with the others as a small fleet.
    it.nodes.erase(it.nodes.begin());
    for (auto* node : it.nodes)
        BOOST_REQUIRE(EntrySite::waitReady(*node));
    checkWithin(runLimited(it, { .limit = "2", .perSecond = 2 }), 2);
}

BOOST_AUTO_TEST_CASE(a_node_that_has_not_heard_it_is_told)
{
    NoticeSite it(2);
    it.stands[0]->setScript(answering(limitField("0")));
    Callers callers({ it.nodes[0] }, 2, Milliseconds(2));
    BOOST_REQUIRE(waitUntil([&] { return it.reached(0) > 0; }));
    auto heardAt = steadyNow();
    callers.stop();
    BOOST_REQUIRE(waitUntil([&] { return steadyNow() - heardAt > spreadTime / 3; }));
    auto before = it.reached(0);
    BOOST_TEST(it.askGood(100, 1) == 100);
    BOOST_TEST(it.reached(0) <= before + 1);
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_later_is_told)
{
    NoticeSite it;
    it.stands[0]->setScript(answering(limitField("0")));
    BOOST_REQUIRE(waitUntil([&] {
        it.ask(0, "/safe/a" + std::to_string(it.ids));
        return it.reached(0) > 0;
    }));
    it.nodes.push_back(&it.site.startNode("node-2"));
    BOOST_REQUIRE(EntrySite::waitReady(*it.nodes[1]));
    auto before = it.reached(0);
    BOOST_TEST(it.askGood(100, 1) == 100);
    BOOST_TEST(it.reached(0) <= before + 2);
}

BOOST_AUTO_TEST_CASE(it_ends_with_an_answer_that_names_none)
{
    NoticeSite it(2);
    it.stands[0]->setScript(answering(limitField("2")));
    Callers callers(it.nodes, 4, Milliseconds(1));
    auto startedAt = steadyNow();
    waitUntil([&] { return steadyNow() - startedAt > settled; });
    it.stands[0]->setScript(answering(""));
    auto before = it.reached(0);
    constexpr std::size_t many = 100;
    BOOST_TEST(waitUntil([&] { return it.reached(0) > before + many; }, Milliseconds(5000)));
    callers.stop();
}

BOOST_AUTO_TEST_CASE(a_stream_that_hangs_and_a_refusal_and_a_failure_name_it_as_well)
{
    auto refusing = [](const Fakes::ReceivedRequest& got) { return Fakes::ScriptedAnswer { .bytes = turnAway(got, limitField("0")) }; };
    auto failing = [](const Fakes::ReceivedRequest& got) {
        return Fakes::ScriptedAnswer { .bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + std::string(got.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\n" + limitField("0") + "Content-Length: 0\r\n\r\n" };
    };
    for (const auto& script : { Fakes::ScriptedEndpoint::Script(refusing), Fakes::ScriptedEndpoint::Script(failing) }) {
        NoticeSite it;
        int chosen = it.hear(script);
        it.stands[chosen]->setScript(answering(limitField("0")));
        auto before = it.reached(chosen);
        BOOST_TEST(it.askGood(100) == 100);
        BOOST_TEST(it.reached(chosen) <= before + 1);
    }
    NoticeSite it;
    int chosen = it.favourite();
    it.stands[chosen]->setScript(streamThatHangs(limitField("0")));
    RawCaller streaming(it.nodes[0]->callers);
    streaming.send(request("GET", "/stream/a", "id-stream"));
    BOOST_REQUIRE(streaming.readUntil("data: abc"));
    auto before = it.reached(chosen);
    it.askGood(100);
    BOOST_TEST(it.reached(chosen) <= before + 1);
}

BOOST_AUTO_TEST_CASE(it_holds_over_a_lapse_of_the_entry_and_not_for_a_new_life)
{
    NoticeSite it;
    int chosen = it.hear(answering(limitField("0")));
    it.lapse(chosen);
    auto before = it.reached(chosen);
    it.askGood(50);
    BOOST_TEST(it.reached(chosen) <= before + 1);
    it.stands[chosen]->setScript(answering(""));
    auto entry = EntrySite::entryOf(it.stands[chosen]->address(), "ready");
    entry["born"] = 1;
    it.site.platform().put("servers", NoticeSite::idOf(chosen), entry);
    before = it.reached(chosen);
    BOOST_TEST(waitUntil([&] {
        it.ask();
        return it.reached(chosen) > before + 10;
    }));
}

// The last moment before the bytes leave counts, not the choice.
BOOST_AUTO_TEST_CASE(second_tries_need_a_credit_too)
{
    NoticeSite it;
    auto failing = [](const Fakes::ReceivedRequest& got) {
        return Fakes::ScriptedAnswer { .bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + std::string(got.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\nContent-Length: 0\r\n\r\n" };
    };
    int chosen = it.hear(answering(limitField("0")));
    for (int n = 0; n < endpoints; ++n) {
        if (n != chosen)
            it.stands[n]->setScript(failing);
    }
    auto before = it.reached(chosen);
    for (int n = 0; n < 50; ++n)
        it.ask();
    BOOST_TEST(it.reached(chosen) <= before + 2);
}

BOOST_AUTO_TEST_CASE(where_all_are_limited_callers_hear_at_once_when_to_come_back)
{
    NoticeSite it(2);
    for (auto* stand : it.stands)
        stand->setScript(answering(limitField("2")));
    Callers callers(it.nodes, 4, Milliseconds(2));
    auto startedAt = steadyNow();
    waitUntil([&] { return steadyNow() - startedAt > settled; });
    std::set<std::string> told;
    unsigned refusals = 0;
    for (int n = 0; n < 40; ++n) {
        auto askedAt = steadyNow();
        auto answer = it.ask();
        BOOST_TEST((steadyNow() - askedAt < Milliseconds(500)));
        if (answer.head.status == HttpStatus::ok)
            continue;
        ++refusals;
        BOOST_TEST(answer.head.status == HttpStatus::serviceUnavailable);
        told.insert(std::string(answer.head.value("retry-after")));
    }
    callers.stop();
    BOOST_TEST(refusals > 20U);
    // Not all in the same moment.
    BOOST_TEST(told.size() > refusals / 2);
    for (const auto* stand : it.stands)
        BOOST_TEST(static_cast<double>(mostInSpan(arrivals(*stand, startedAt + heardBefore), startedAt + settled)) <= allowed(2));
}

BOOST_AUTO_TEST_CASE(no_value_stops_the_node)
{
    for (const auto* value : { "-1", "many", "", "nan", "inf", "1e3", "99999999999999999999999999999999999999", "100000000" }) {
        NoticeSite it;
        int chosen = it.hear(answering(limitField(value)));
        auto before = it.reached(chosen);
        BOOST_TEST(it.askGood(20) == 20);
        BOOST_TEST(it.reached(chosen) > before);
    }
}

BOOST_AUTO_TEST_SUITE_END()
