// Endpoints that advertise a rate limit in their answers (Server-Limit): the maximum number of requests per second from all nodes together.
#include "tests/entry/notice_site.h"
#include <atomic>
#include <set>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds settlingTime { 3000 }; // After an endpoint first advertises its limit; from then on all nodes must keep to it.
// Length of the intervals in which arrivals are counted; each interval must be within the limit.
constexpr Milliseconds countedInterval { 4000 };
// Arrivals up to this long after the first advertisement are not counted, since other nodes may not know the limit yet.
constexpr Milliseconds uncountedTime { 500 };

std::string limitField(const std::string& perSecond) { return "Server-Limit: " + perSecond + "\r\n"; }

double secondsOf(SteadyTime::duration duration) { return std::chrono::duration<double>(duration).count(); }

// Maximum number of requests that an endpoint with this limit may receive in any interval of `countedInterval`.
double maximumArrivals(double perSecond) { return 1.5 * perSecond * secondsOf(countedInterval) + 5; }

// Clients that send requests in a loop, each request on a new connection and each client in its own thread.
class LoadClients {
public:
    LoadClients(std::vector<EntryProcess*> nodes, unsigned count, Milliseconds pause)
        : m_nodes(std::move(nodes))
    {
        for (unsigned n = 0; n < count; ++n)
            m_threads.emplace_back([this, n, count, pause] { run(n, count, pause); });
    }
    ~LoadClients() { stop(); }
    LoadClients(const LoadClients&) = delete;
    LoadClients& operator=(const LoadClients&) = delete;

    void stop()
    {
        m_stopping = true;
        for (auto& it : m_threads)
            it.join();
        m_threads.clear();
    }

    unsigned goodAnswers() const { return m_goodAnswers; }
    unsigned refusedAnswers() const { return m_refusedAnswers; }

private:
    void run(unsigned number, unsigned count, Milliseconds pause)
    {
        for (auto n = number; !m_stopping; n += count) {
            auto answer = EntrySite::ask(m_nodes[n % m_nodes.size()]->callers, request("GET", "/safe/a" + std::to_string(n), "load-" + std::to_string(n)));
            ++(answer.head.status == HttpStatus::ok ? m_goodAnswers : m_refusedAnswers);
            // Sets the rate of the client; this does not wait for a condition.
            if (pause.count() > 0)
                std::this_thread::sleep_for(pause);
        }
    }

    std::vector<EntryProcess*> m_nodes;
    std::atomic<bool> m_stopping { false };
    std::atomic<unsigned> m_goodAnswers { 0 };
    std::atomic<unsigned> m_refusedAnswers { 0 };
    std::vector<std::thread> m_threads {};
};

// Times at which requests arrived at the endpoint, from `since` on, in ascending order.
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

// Maximum number of arrivals in any interval of `countedInterval` that ends at `from` or later.
std::size_t mostInInterval(const std::vector<SteadyTime>& times, SteadyTime from)
{
    std::size_t mostArrivals = 0;
    auto first = times.begin();
    for (auto it = times.begin(); it != times.end(); ++it) {
        while (*it - *first > countedInterval)
            ++first;
        if (*it >= from)
            mostArrivals = std::max(mostArrivals, static_cast<std::size_t>(it - first) + 1);
    }
    return mostArrivals;
}

struct LimitedRun {
    std::size_t mostArrivals { 0 }; // Maximum number of arrivals in any counted interval.
    double usedShare { 0 }; // Arrivals as a share of the limit, after the settling time.
    unsigned goodAnswers { 0 };
    unsigned refusedAnswers { 0 };
};

struct LimitedRunOptions {
    std::string limit { "1" };
    double perSecond { 1 };
    Milliseconds runTime { 9000 };
    unsigned clients { 4 };
    Milliseconds pause { 5 };
    std::size_t usedNodes { 0 }; // Number of nodes, from the first one, that get requests; 0 for all.
};

// Lets the first endpoint advertise the limit while clients send requests, and returns what it received.
LimitedRun runLimited(NoticeSite& it, const LimitedRunOptions& options = {})
{
    auto sendingNodes = it.nodes;
    if (options.usedNodes > 0)
        sendingNodes.resize(options.usedNodes);
    LoadClients clients(sendingNodes, options.clients, options.pause);
    BOOST_REQUIRE(waitUntil([&] { return clients.goodAnswers() > 50; }));
    auto advertisedAt = steadyNow();
    it.endpointServers[0]->setScript(answerWith(limitField(options.limit)));
    waitUntil([&] { return steadyNow() - advertisedAt > options.runTime; }, options.runTime * 2);
    clients.stop();
    auto times = arrivals(*it.endpointServers[0], advertisedAt + uncountedTime);
    auto countedArrivals = arrivals(*it.endpointServers[0], advertisedAt + settlingTime);
    auto capacity = options.perSecond * secondsOf(options.runTime - settlingTime);
    return { .mostArrivals = mostInInterval(times, advertisedAt + settlingTime), .usedShare = static_cast<double>(countedArrivals.size()) / capacity, .goodAnswers = clients.goodAnswers(), .refusedAnswers = clients.refusedAnswers() };
}

void checkLimitKept(const LimitedRun& run, double perSecond)
{
    constexpr double minimumUsedShare = 0.6; // Minimum share of the limit that must be used.
    BOOST_TEST(static_cast<double>(run.mostArrivals) <= maximumArrivals(perSecond));
    BOOST_TEST(run.usedShare >= minimumUsedShare);
}

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointsThatNameALimit)

BOOST_AUTO_TEST_CASE(one_node_keeps_to_the_limit_and_uses_it)
{
    NoticeSite it;
    auto run = runLimited(it);
    checkLimitKept(run, 1);
    BOOST_TEST(run.refusedAnswers == 0U);
}

BOOST_AUTO_TEST_CASE(nine_nodes_keep_to_the_limit_together)
{
    NoticeSite it(9);
    for (auto [limit, perSecond] : { std::pair("1", 1.0), std::pair("7.5", 7.5) }) {
        it.endpointServers[0]->setScript(answerWith(""));
        BOOST_TEST_CONTEXT("limit " << limit)
        {
            auto run = runLimited(it, { .limit = limit, .perSecond = perSecond });
            checkLimitKept(run, perSecond);
            BOOST_TEST(run.refusedAnswers == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(one_of_five_nodes_may_use_the_limit_alone)
{
    NoticeSite it(5);
    checkLimitKept(runLimited(it, { .limit = "4", .perSecond = 4, .usedNodes = 1 }), 4);
}

BOOST_AUTO_TEST_CASE(the_limit_holds_while_the_store_does_not_answer)
{
    NoticeSite it(3);
    it.site.platform().setHeld(true);
    checkLimitKept(runLimited(it), 1);
    it.site.platform().setHeld(false);
}

BOOST_AUTO_TEST_CASE(a_fleet_with_relays_keeps_to_the_limit_and_uses_it)
{
    NoticeSite it;
    for (int n = 2; n <= 6; ++n)
        it.nodes.push_back(&it.site.startNode("node-" + std::to_string(n), { { "everyNodeUpTo", 2 }, { "zone", n % 2 == 0 ? "z" : "y" } }));
    // The first node is not used, because with its settings it would treat the six nodes as a small fleet without relay nodes.
    it.nodes.erase(it.nodes.begin());
    for (auto* node : it.nodes)
        BOOST_REQUIRE(EntrySite::waitReady(*node));
    checkLimitKept(runLimited(it, { .limit = "2", .perSecond = 2 }), 2);
}

BOOST_AUTO_TEST_CASE(a_node_without_requests_receives_the_limit_from_its_peer)
{
    NoticeSite it(2);
    it.endpointServers[0]->setScript(answerWith(limitField("0")));
    LoadClients clients({ it.nodes[0] }, 2, Milliseconds(2));
    BOOST_REQUIRE(waitUntil([&] { return it.requestCount(0) > 0; }));
    auto receivedAt = steadyNow();
    clients.stop();
    BOOST_REQUIRE(waitUntil([&] { return steadyNow() - receivedAt > propagationTime / 3; }));
    auto before = it.requestCount(0);
    BOOST_TEST(it.countGoodAnswers(100, 1) == 100);
    BOOST_TEST(it.requestCount(0) <= before + 1);
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_later_receives_the_limit)
{
    NoticeSite it;
    it.endpointServers[0]->setScript(answerWith(limitField("0")));
    BOOST_REQUIRE(waitUntil([&] {
        it.sendRequest(0, "/safe/a" + std::to_string(it.lastRequestNumber));
        return it.requestCount(0) > 0;
    }));
    it.nodes.push_back(&it.site.startNode("node-2"));
    BOOST_REQUIRE(EntrySite::waitReady(*it.nodes[1]));
    auto before = it.requestCount(0);
    BOOST_TEST(it.countGoodAnswers(100, 1) == 100);
    BOOST_TEST(it.requestCount(0) <= before + 2);
}

BOOST_AUTO_TEST_CASE(the_limit_ends_with_an_answer_without_one)
{
    NoticeSite it(2);
    it.endpointServers[0]->setScript(answerWith(limitField("2")));
    LoadClients clients(it.nodes, 4, Milliseconds(1));
    auto startedAt = steadyNow();
    waitUntil([&] { return steadyNow() - startedAt > settlingTime; });
    it.endpointServers[0]->setScript(answerWith(""));
    auto before = it.requestCount(0);
    constexpr std::size_t requiredRequests = 100;
    BOOST_TEST(waitUntil([&] { return it.requestCount(0) > before + requiredRequests; }, Milliseconds(5000)));
    clients.stop();
}

BOOST_AUTO_TEST_CASE(the_limit_is_read_from_refusals_failures_and_unfinished_streams)
{
    auto refusing = [](const Fakes::ReceivedRequest& received) { return Fakes::ScriptedResponse { .bytes = refusalAnswer(received, limitField("0")) }; };
    auto failing = [](const Fakes::ReceivedRequest& received) {
        return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + std::string(received.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\n" + limitField("0") + "Content-Length: 0\r\n\r\n" };
    };
    for (const auto& script : { Fakes::ScriptedEndpoint::Script(refusing), Fakes::ScriptedEndpoint::Script(failing) }) {
        NoticeSite it;
        int chosen = it.letPreferredAnswer(script);
        it.endpointServers[chosen]->setScript(answerWith(limitField("0")));
        auto before = it.requestCount(chosen);
        BOOST_TEST(it.countGoodAnswers(100) == 100);
        BOOST_TEST(it.requestCount(chosen) <= before + 1);
    }
    NoticeSite it;
    int chosen = it.preferredEndpoint();
    it.endpointServers[chosen]->setScript(hangingStreamWith(limitField("0")));
    RawClient streaming(it.nodes[0]->callers);
    streaming.send(request("GET", "/stream/a", "id-stream"));
    BOOST_REQUIRE(streaming.readUntil("data: abc"));
    auto before = it.requestCount(chosen);
    it.countGoodAnswers(100);
    BOOST_TEST(it.requestCount(chosen) <= before + 1);
}

BOOST_AUTO_TEST_CASE(the_limit_survives_a_restored_entry_but_not_a_new_incarnation)
{
    NoticeSite it;
    int chosen = it.letPreferredAnswer(answerWith(limitField("0")));
    it.removeAndRestoreEntry(chosen);
    auto before = it.requestCount(chosen);
    it.countGoodAnswers(50);
    BOOST_TEST(it.requestCount(chosen) <= before + 1);
    it.endpointServers[chosen]->setScript(answerWith(""));
    auto entry = EntrySite::entryOf(it.endpointServers[chosen]->address(), "ready");
    entry["born"] = 1;
    it.site.platform().put("servers", NoticeSite::idOf(chosen), entry);
    before = it.requestCount(chosen);
    BOOST_TEST(waitUntil([&] {
        it.sendRequest();
        return it.requestCount(chosen) > before + 10;
    }));
}

// The credit is taken right before the request is written to the endpoint, not when the endpoint is chosen, so a retry needs one as well.
BOOST_AUTO_TEST_CASE(retries_need_a_credit_too)
{
    NoticeSite it;
    auto failing = [](const Fakes::ReceivedRequest& received) {
        return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + std::string(received.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\nContent-Length: 0\r\n\r\n" };
    };
    int chosen = it.letPreferredAnswer(answerWith(limitField("0")));
    for (int n = 0; n < endpointCount; ++n) {
        if (n != chosen)
            it.endpointServers[n]->setScript(failing);
    }
    auto before = it.requestCount(chosen);
    for (int n = 0; n < 50; ++n)
        it.sendRequest();
    BOOST_TEST(it.requestCount(chosen) <= before + 2);
}

BOOST_AUTO_TEST_CASE(if_all_endpoints_are_limited_clients_get_retry_after_at_once)
{
    NoticeSite it(2);
    for (auto* endpointServer : it.endpointServers)
        endpointServer->setScript(answerWith(limitField("2")));
    LoadClients clients(it.nodes, 4, Milliseconds(2));
    auto startedAt = steadyNow();
    waitUntil([&] { return steadyNow() - startedAt > settlingTime; });
    std::set<std::string> retryAfterValues;
    unsigned refusals = 0;
    for (int n = 0; n < 40; ++n) {
        auto sentAt = steadyNow();
        auto answer = it.sendRequest();
        BOOST_TEST((steadyNow() - sentAt < Milliseconds(500)));
        if (answer.head.status == HttpStatus::ok)
            continue;
        ++refusals;
        BOOST_TEST(answer.head.status == HttpStatus::serviceUnavailable);
        retryAfterValues.insert(std::string(answer.head.value("retry-after")));
    }
    clients.stop();
    BOOST_TEST(refusals > 20U);
    // Clients must not all be told to come back at the same time.
    BOOST_TEST(retryAfterValues.size() > refusals / 2);
    for (const auto* endpointServer : it.endpointServers)
        BOOST_TEST(static_cast<double>(mostInInterval(arrivals(*endpointServer, startedAt + uncountedTime), startedAt + settlingTime)) <= maximumArrivals(2));
}

BOOST_AUTO_TEST_CASE(invalid_limits_do_not_stop_requests)
{
    for (const auto* value : { "-1", "many", "", "nan", "inf", "1e3", "99999999999999999999999999999999999999", "100000000" }) {
        NoticeSite it;
        int chosen = it.letPreferredAnswer(answerWith(limitField(value)));
        auto before = it.requestCount(chosen);
        BOOST_TEST(it.countGoodAnswers(20) == 20);
        BOOST_TEST(it.requestCount(chosen) > before);
    }
}

BOOST_AUTO_TEST_SUITE_END()
