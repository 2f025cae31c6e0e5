// Endpoints that name in their answers how many requests a second they take from all nodes together.
#include "tests/entry/notice_site.h"
#include <atomic>

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
    Callers(const std::vector<EntryProcess*>& nodes, unsigned count, Milliseconds pause)
    {
        for (unsigned n = 0; n < count; ++n)
            m_threads.emplace_back([this, &nodes, n, count, pause] { run(nodes, n, count, pause); });
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
    void run(const std::vector<EntryProcess*>& nodes, unsigned number, unsigned count, Milliseconds pause)
    {
        for (auto n = number; !m_stopping; n += count) {
            auto answer = EntrySite::ask(nodes[n % nodes.size()]->callers, request("GET", "/safe/a" + std::to_string(n), "load-" + std::to_string(n)));
            ++(answer.head.status == HttpStatus::ok ? m_good : m_refused);
            // The pace of a caller, not a wait for something.
            if (pause.count() > 0)
                std::this_thread::sleep_for(pause);
        }
    }

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

BOOST_AUTO_TEST_SUITE_END()
