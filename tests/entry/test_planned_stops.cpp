// Tests requests that a node reads, forwards or still serves while it stops as planned, with real entry processes: each is answered before
// the process ends, and one that is not forwarded is refused at once.
#include "tests/entry/single_node_site.h"
#include "tests/entry/stream_answers.h"
#include <csignal>
#include <thread>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds grace { 6000 }; // EntrySite's setting.
constexpr Milliseconds promptly { 500 };
constexpr auto longDeadline = "15000"; // In milliseconds, beyond the grace.
constexpr int timeoutMilliseconds = 15000; // Of all routes.
constexpr int objectiveMilliseconds = 12000; // Of all routes, so that none of the requests is late.

Json longConfiguration()
{
    auto configuration = EntrySite::declaration(1);
    configuration["limits"]["idleTimeoutMs"] = timeoutMilliseconds;
    for (auto& it : configuration["routes"]) {
        it["timeoutMs"] = timeoutMilliseconds;
        it["goalMs"] = objectiveMilliseconds;
    }
    return configuration;
}

// A request with a body of one byte, without that byte.
std::string headOf(const std::string& path, const std::string& id, const std::string& deadline)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nCredential: key-a\r\nDeadline-Ms: " + deadline + "\r\nContent-Length: 1\r\n\r\n";
}

// A request whose last byte is sent after the stop signal.
struct LateRequest {
    std::string id {};
    std::string path {};
    std::string deadline {};
    Milliseconds completedAfter { 0 }; // From the stop signal to the last byte.
    std::unique_ptr<RawClient> client {};
    RawClient::Answer answer {};
    Milliseconds took { 0 }; // From the last byte to the answer.
};

// One node, whose endpoint works on requests under a path with "/work" without answering, begins a stream under "/begun" and then sends
// nothing more, and answers all others at once.
struct StoppingSite {
    explicit StoppingSite(const Json& settings = Json::object(), int slots = 100)
    {
        site.declare(longConfiguration());
        endpoint = &site.addEndpoint("i-1", answer);
        auto entry = EntrySite::entryOf(endpoint->address(), "ready");
        entry["slots"] = slots;
        site.platform().put("servers", "i-1", entry);
        node = &site.startNode("node-1", settings);
        BOOST_REQUIRE(EntrySite::waitReady(*node));
    }

    static Fakes::ScriptedResponse answer(const Fakes::ReceivedRequest& it)
    {
        if (it.head.target.find("/work") != std::string::npos)
            return { .ending = Ending::Hang };
        if (it.head.target.find("/begun") != std::string::npos)
            return { .bytes = streamHead(it) + events(1, 2), .ending = Ending::Hang };
        return { .bytes = answerTo(it, "hello") };
    }

    std::unique_ptr<RawClient> begin(const std::string& bytes) const
    {
        auto client = std::make_unique<RawClient>(node->callers);
        client->send(bytes);
        return client;
    }

    // Sends the heads, then the stop signal, and each last byte at its time. Reads all answers.
    void stopWith(std::vector<LateRequest>& requests)
    {
        for (auto& it : requests)
            it.client = begin(headOf(it.path, it.id, it.deadline));
        // The node reads a request that is sent later, which has no route, after these heads.
        BOOST_REQUIRE(EntrySite::ask(node->callers, request("GET", "/none/", "none")).head.status == HttpStatus::notFound);
        stop();
        std::vector<std::thread> clients;
        clients.reserve(requests.size());
        for (auto& it : requests)
            clients.emplace_back([&] { complete(it); });
        for (auto& it : clients)
            it.join();
    }

    void stop()
    {
        stoppedAt = steadyNow();
        node->process->signal(SIGTERM);
    }

    void complete(LateRequest& it) const
    {
        std::this_thread::sleep_until(stoppedAt + it.completedAfter);
        auto completedAt = steadyNow();
        it.client->send("x");
        it.answer = it.client->read();
        it.took = toMilliseconds(steadyNow() - completedAt);
    }

    bool wasForwarded(const std::string& id) const
    {
        auto requests = endpoint->requests();
        return std::any_of(requests.begin(), requests.end(), [&](const auto& it) { return it.head.value("attempt-id") == id; });
    }

    EntrySite site;
    Fakes::ScriptedEndpoint* endpoint { nullptr };
    EntryProcess* node { nullptr };
    SteadyTime stoppedAt {};
};

std::vector<LateRequest> lateRequests(const std::vector<std::string>& paths, const std::string& deadline, Milliseconds from, Milliseconds to, Milliseconds step)
{
    std::vector<LateRequest> requests;
    for (const auto& path : paths) {
        for (auto at = from; at <= to; at += step) {
            auto id = "late-" + std::to_string(requests.size());
            requests.push_back({ .id = id, .path = path, .deadline = deadline, .completedAfter = at });
        }
    }
    return requests;
}

// Checks that a request which was not forwarded was refused at once and truthfully, on a connection that ends.
void expectRefused(const LateRequest& it)
{
    BOOST_TEST(it.answer.head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(it.answer.head.find("retry-after"));
    BOOST_TEST(!it.answer.head.keepAlive);
    BOOST_TEST(it.took.count() < promptly.count());
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannedStops)

// Guards against requests that are read late in the grace, forwarded, and cut without an answer when the process ends.
BOOST_AUTO_TEST_CASE(requests_late_in_the_grace_that_cannot_end_in_it_are_refused)
{
    StoppingSite site;
    auto requests = lateRequests({ "/once/work", "/safe/work", "/stream/work", "/resume/work" }, longDeadline, Milliseconds(3000), Milliseconds(5300), Milliseconds(100));
    site.stopWith(requests);
    for (const auto& it : requests) {
        BOOST_TEST_CONTEXT(it.path << " after " << it.completedAfter.count() << " ms")
        {
            BOOST_TEST(it.answer.whole);
            BOOST_TEST(!site.wasForwarded(it.id));
            expectRefused(it);
        }
    }
}

// Guards against late requests being refused although they will end in the grace.
BOOST_AUTO_TEST_CASE(requests_late_in_the_grace_whose_deadline_is_within_it_are_served)
{
    StoppingSite site;
    auto requests = lateRequests({ "/once/a", "/safe/a" }, "4500", Milliseconds(2800), Milliseconds(4000), Milliseconds(200));
    site.stopWith(requests);
    for (const auto& it : requests) {
        BOOST_TEST_CONTEXT(it.path << " after " << it.completedAfter.count() << " ms")
        BOOST_TEST(it.answer.head.status == HttpStatus::ok);
    }
}

// Guards against requests that are cut without an answer although they came early in the grace: their endpoint has not answered by its end.
BOOST_AUTO_TEST_CASE(requests_that_still_run_at_the_end_of_the_grace_are_answered)
{
    StoppingSite site;
    auto requests = lateRequests({ "/once/work", "/safe/work", "/stream/work", "/resume/work" }, longDeadline, Milliseconds(0), Milliseconds(1500), Milliseconds(500));
    site.stopWith(requests);
    for (const auto& it : requests) {
        BOOST_TEST_CONTEXT(it.path << " after " << it.completedAfter.count() << " ms")
        {
            BOOST_TEST(site.wasForwarded(it.id));
            BOOST_TEST(it.answer.whole);
            BOOST_TEST(it.answer.head.status == HttpStatus::gatewayTimeout);
            // No answer is ended long before the process has to.
            BOOST_TEST((it.took + it.completedAfter).count() > (grace - 2 * promptly).count());
            BOOST_TEST((it.took + it.completedAfter).count() < grace.count());
        }
    }
    BOOST_TEST(site.node->process->wait(grace).has_value());
    BOOST_TEST(toMilliseconds(steadyNow() - site.stoppedAt).count() < grace.count() + promptly.count());
}

// Guards against a stream that is cut and looks complete.
BOOST_AUTO_TEST_CASE(a_stream_that_runs_at_the_end_of_the_grace_does_not_look_complete)
{
    StoppingSite site;
    auto requests = lateRequests({ "/stream/begun", "/resume/begun" }, longDeadline, Milliseconds(0), Milliseconds(0), Milliseconds(1));
    site.stopWith(requests);
    for (const auto& it : requests) {
        BOOST_TEST(it.answer.head.status == HttpStatus::ok);
        BOOST_TEST(it.answer.body == plainEvents(1, 2));
        BOOST_TEST(!it.answer.whole);
        BOOST_TEST(it.took.count() > (grace - 2 * promptly).count());
    }
}

// Guards against requests that wait for a place and are forwarded so late that they cannot end in the grace.
BOOST_AUTO_TEST_CASE(requests_that_wait_are_refused_once_they_cannot_end_in_the_grace)
{
    StoppingSite site(Json::object(), 1);
    auto busy = site.begin(headOf("/once/work", "busy", longDeadline) + "x");
    BOOST_REQUIRE(waitUntil([&] { return site.wasForwarded("busy"); }));
    auto requests = lateRequests({ "/once/work", "/safe/work" }, longDeadline, Milliseconds(200), Milliseconds(1000), Milliseconds(400));
    site.stopWith(requests);
    for (const auto& it : requests) {
        BOOST_TEST_CONTEXT(it.path << " after " << it.completedAfter.count() << " ms")
        {
            BOOST_TEST(it.answer.head.status == HttpStatus::serviceUnavailable);
            BOOST_TEST(!site.wasForwarded(it.id));
            BOOST_TEST((it.took + it.completedAfter).count() < 4000);
        }
    }
}

// Guards against a node that takes requests until it ends because its grace is shorter than the time that it would take them for.
BOOST_AUTO_TEST_CASE(a_short_grace_leaves_time_to_refuse_late_requests)
{
    StoppingSite site(Json { { "graceSeconds", 2 } });
    auto early = lateRequests({ "/once/work", "/stream/work" }, longDeadline, Milliseconds(0), Milliseconds(200), Milliseconds(100));
    auto late = lateRequests({ "/once/work", "/stream/work" }, longDeadline, Milliseconds(1100), Milliseconds(1300), Milliseconds(100));
    auto earlyCount = early.size();
    for (auto& it : late) {
        it.id += "-late";
        early.push_back(std::move(it));
    }
    site.stopWith(early);
    for (std::size_t n = 0; n < early.size(); ++n) {
        BOOST_TEST_CONTEXT(early[n].path << " after " << early[n].completedAfter.count() << " ms")
        {
            BOOST_TEST(early[n].answer.whole);
            if (n < earlyCount)
                BOOST_TEST(early[n].answer.head.status == HttpStatus::gatewayTimeout);
            else
                expectRefused(early[n]);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
