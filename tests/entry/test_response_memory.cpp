// Tests many endpoints' responses without end at the same time, with a real entry process: together they stay within the memory that its
// settings allow, and the responses to other requests are not ended for them.
#include "tests/entry/single_node_site.h"
#include "tests/entry/stream_answers.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr int memoryMegabytes = 96; // The node's setting.
constexpr std::size_t floodedRequests = 300; // Each may be buffered up to 1 MiB, or 256 KiB of an incomplete event.
constexpr std::size_t floodBytesPerSecond = 256U << 10U; // Of one response.
constexpr Milliseconds floodTime { 8000 };
constexpr Milliseconds observation { 6000 };
constexpr Milliseconds promptly { 1000 };
constexpr int timeoutMilliseconds = 10000; // Of all routes, longer than a flood.
constexpr std::size_t soundBodyBytes = 200000; // Of the responses to other requests.

std::string chunkOf(const std::string& bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

const std::string noise = chunkOf(std::string(16384, 'x'));

// The head of a success with a chunked body.
std::string chunkedHead(const Fakes::ReceivedRequest& it)
{
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\nTransfer-Encoding: chunked\r\n\r\n";
}

long memoryKilobytes(const EntryProcess& node, const std::string& field)
{
    std::ifstream status("/proc/" + std::to_string(node.process->pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":"))
            return std::stol(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

// One node with two endpoints: i-broken serves one service, whose responses never end, and i-sound another one.
struct FloodSite {
    using MakeHead = std::function<std::string(const Fakes::ReceivedRequest&)>;

    FloodSite(const MakeHead& head, const std::string& flood)
    {
        auto configuration = EntrySite::declaration(1);
        for (auto& it : configuration["routes"]) {
            it["timeoutMs"] = timeoutMilliseconds;
            it["goalMs"] = timeoutMilliseconds;
        }
        configuration["routes"][1]["service"] = "sound"; // Route /safe/.
        configuration["services"] = { service("s"), service("sound") };
        site.declare(configuration);
        broken = &addEndpoint("i-broken", "s", [=](const auto& it) { return Fakes::ScriptedResponse { .bytes = head(it), .ending = Ending::Flood, .flood = flood, .floodTime = floodTime, .floodBytesPerSecond = floodBytesPerSecond }; });
        sound = &addEndpoint("i-sound", "sound", [](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, std::string(soundBodyBytes, 'y')) }; });
        node = &site.startNode("node-1", { { "limits", { { "memoryMegabytes", memoryMegabytes } } } });
        BOOST_REQUIRE(EntrySite::waitReady(*node));
    }

    static Json service(const std::string& name) { return { { "name", name }, { "healthPath", "/healthz" }, { "maxConns", 1000 } }; }

    Fakes::ScriptedEndpoint& addEndpoint(const std::string& id, const std::string& service, Fakes::ScriptedEndpoint::Script script)
    {
        auto& endpoint = site.addEndpoint(id, std::move(script));
        auto entry = EntrySite::entryOf(endpoint.address(), "ready");
        entry["service"] = service;
        entry["slots"] = 1000;
        site.platform().put("servers", id, entry);
        return endpoint;
    }

    // Sends the requests whose responses never end, without reading what the node answers.
    void begin(const std::string& path)
    {
        for (std::size_t n = 0; n < floodedRequests; ++n) {
            flooded.push_back(std::make_unique<RawClient>(node->callers));
            flooded.back()->send("GET " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: flooded-" + std::to_string(n) + "\r\nCredential: key-a\r\nDeadline-Ms: 10000\r\n\r\n");
        }
        BOOST_REQUIRE(waitUntil([&] { return broken->requests().size() > floodedRequests / 2; }));
    }

    // Sends other requests one after the other, each of which must be answered as a whole and promptly.
    void expectSoundService()
    {
        unsigned failed = 0;
        unsigned sent = 0;
        for (auto until = steadyNow() + observation; steadyNow() < until; ++sent) {
            auto sentAt = steadyNow();
            auto answer = EntrySite::ask(node->callers, request("GET", "/safe/a", "other-" + std::to_string(sent)));
            failed += answer.head.status != HttpStatus::ok || answer.body.size() != soundBodyBytes || steadyNow() - sentAt > promptly ? 1 : 0;
        }
        BOOST_TEST(sent > 0U);
        BOOST_TEST(failed == 0U);
    }

    // Checks that the requests whose responses never end have got a truthful answer, or a stream that does not look complete.
    void expectNoSuccess()
    {
        for (auto& it : flooded) {
            auto answer = it->read();
            BOOST_TEST((answer.head.status >= 500 || !answer.whole));
            // The endpoint has begun to execute them.
            BOOST_TEST((!answer.whole || !HttpStatus::guaranteesNotExecuted(answer.head.status)));
        }
    }

    void expectBoundedMemory() const
    {
        constexpr long kilobytesInMegabyte = 1024;
        auto peak = memoryKilobytes(*node, "VmHWM");
        BOOST_TEST_MESSAGE("peak memory: " << peak << " KB");
        BOOST_TEST(peak < memoryMegabytes * kilobytesInMegabyte);
    }

    EntrySite site;
    Fakes::ScriptedEndpoint* broken { nullptr };
    Fakes::ScriptedEndpoint* sound { nullptr };
    EntryProcess* node { nullptr };
    std::vector<std::unique_ptr<RawClient>> flooded {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(ResponseMemory)

// Guards against a node that keeps hundreds of responses without end, each within its own limit, and runs out of memory.
BOOST_AUTO_TEST_CASE(many_bodies_without_end_stay_within_the_memory_of_the_node)
{
    FloodSite site(chunkedHead, noise);
    site.begin("/once/a");
    site.expectSoundService();
    site.expectNoSuccess();
    site.expectBoundedMemory();
}

BOOST_AUTO_TEST_CASE(many_events_without_end_stay_within_the_memory_of_the_node)
{
    FloodSite site(streamHead, noise);
    site.begin("/stream/a");
    site.expectSoundService();
    site.expectNoSuccess();
    site.expectBoundedMemory();
}

BOOST_AUTO_TEST_CASE(many_events_without_end_after_whole_ones_stay_within_the_memory_of_the_node)
{
    FloodSite site([](const auto& it) { return streamHead(it) + events(1, 3); }, noise);
    site.begin("/resume/a");
    site.expectSoundService();
    site.expectNoSuccess();
    site.expectBoundedMemory();
}

BOOST_AUTO_TEST_CASE(many_heads_without_end_stay_within_the_memory_of_the_node)
{
    FloodSite site([](const auto&) { return std::string("HTTP/1.1 200 OK\r\n"); }, "X-Field: " + std::string(8192, 'x') + "\r\n");
    site.begin("/once/a");
    site.expectSoundService();
    site.expectNoSuccess();
    site.expectBoundedMemory();
}

BOOST_AUTO_TEST_SUITE_END()
