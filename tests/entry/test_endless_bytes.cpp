// Tests peers that send bytes without end, with a real entry process: it ends such a message at its size limit, and serves others meanwhile.
#include "tests/entry/single_node_site.h"
#include "tests/entry/stream_answers.h"
#include <atomic>
#include <fstream>
#include <thread>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds floodTime { 6000 };
constexpr Milliseconds longObservation { 5000 }; // Long enough for what is kept without a limit to grow.
constexpr Milliseconds shortObservation { 1000 };
constexpr std::size_t floodBytesPerSecond = 12500000; // Of one response; 100 Mbit/s.
constexpr std::size_t floodedRequests = 6;
constexpr Milliseconds promptly { 500 }; // Far less than the deadline of a request.
constexpr auto longDeadline = "10000"; // In milliseconds, longer than a flood.
constexpr auto shortDeadline = "1500";
// Of the process, far below what floods send in `floodTime`.
constexpr long maximumMemoryKilobytes = 100000;

std::string chunkOf(const std::string& bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

long peakMemoryKilobytes(const EntryProcess& node)
{
    std::ifstream status("/proc/" + std::to_string(node.process->pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stol(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

// Sends requests one after the other for `duration`, each of which must be answered promptly.
void expectPromptService(const EntryProcess& node, Milliseconds duration)
{
    unsigned late = 0;
    unsigned sent = 0;
    for (auto until = steadyNow() + duration; steadyNow() < until;) {
        auto sentAt = steadyNow();
        auto status = EntrySite::ask(node.callers, request("GET", "/safe/a", "other-" + std::to_string(++sent))).head.status;
        late += status != HttpStatus::ok || steadyNow() - sentAt > promptly ? 1 : 0;
    }
    BOOST_TEST(sent > 0U);
    BOOST_TEST(late == 0U);
    BOOST_TEST(peakMemoryKilobytes(node) < maximumMemoryKilobytes);
}

// Lets requests take as long as `longDeadline` says.
void allowLongRequests(SingleNodeSite& one)
{
    auto configuration = EntrySite::declaration(2);
    for (auto& it : configuration["routes"])
        it["timeoutMs"] = std::stoi(longDeadline);
    one.site.declare(configuration);
    BOOST_REQUIRE(one.node.process->waitLine([](const auto& it) { return it.find("\"configuration_in_force\"") != std::string::npos && it.find("\"version\":2") != std::string::npos; }, Milliseconds(10000)));
}

std::string requestWithDeadline(const std::string& path, const std::string& deadline)
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: flooded\r\nCredential: key-a\r\nDeadline-Ms: " + deadline + "\r\nContent-Length: 1\r\n\r\nx";
}

struct FloodedAnswer {
    RawClient::Answer answer {};
    Milliseconds took { 0 };
};

FloodedAnswer askForFlood(const EntryProcess& node, const std::string& path, const std::string& deadline)
{
    auto sentAt = steadyNow();
    auto answer = EntrySite::ask(node.callers, requestWithDeadline(path, deadline));
    return { .answer = std::move(answer), .took = toMilliseconds(steadyNow() - sentAt) };
}

struct Flood {
    std::string path {}; // The requests whose responses never end.
    std::function<std::string(const Fakes::ReceivedRequest&)> head {};
    std::string bytes {}; // Sent again and again after the head.
};

// Sends requests whose responses never end, and others for `observation`. Returns the responses to the former.
std::vector<FloodedAnswer> askForFloods(SingleNodeSite& one, const Flood& flood, const std::string& deadline, Milliseconds observation)
{
    allowLongRequests(one);
    one.endpoint.setScript([=](const auto& it) {
        if (it.head.target == flood.path)
            return Fakes::ScriptedResponse { .bytes = flood.head(it), .ending = Ending::Flood, .flood = flood.bytes, .floodTime = floodTime, .floodBytesPerSecond = floodBytesPerSecond };
        return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello") };
    });
    std::vector<FloodedAnswer> answers(floodedRequests);
    std::vector<std::thread> clients;
    clients.reserve(floodedRequests);
    for (auto& it : answers)
        clients.emplace_back([&] { it = askForFlood(one.node, flood.path, deadline); });
    expectPromptService(one.node, observation);
    for (auto& it : clients)
        it.join();
    return answers;
}

Fakes::ScriptedResponse hello(const Fakes::ReceivedRequest& it) { return { .bytes = answerTo(it, "hello") }; }

const std::string noise = chunkOf(std::string(65536, 'x'));

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessBytes)

// Guards against a fault where a stream without the end of an event kept the process from everything else until its endpoint stopped sending.
BOOST_AUTO_TEST_CASE(an_event_without_end_does_not_hold_up_other_requests)
{
    SingleNodeSite one(hello);
    for (const auto& it : askForFloods(one, { .path = "/stream/a", .head = streamHead, .bytes = noise }, longDeadline, longObservation)) {
        BOOST_TEST(it.answer.head.status == HttpStatus::badGateway);
        BOOST_TEST(it.took.count() < promptly.count());
    }
}

// Guards against an endpoint that keeps a stream going past its deadline by sending faster than the node reads.
BOOST_AUTO_TEST_CASE(a_stream_of_events_without_end_ends_at_its_deadline)
{
    std::string burst;
    for (int n = 0; n < 1000; ++n)
        burst += "data: token\n\n";
    SingleNodeSite one(hello);
    for (const auto& it : askForFloods(one, { .path = "/stream/a", .head = streamHead, .bytes = chunkOf(burst) }, shortDeadline, longObservation)) {
        BOOST_TEST(it.answer.head.status == HttpStatus::ok);
        BOOST_TEST(!it.answer.whole);
        BOOST_TEST(it.took.count() < std::stoi(shortDeadline) + promptly.count());
    }
}

// Guards against responses that are kept or skipped without a limit: a head, a body with and without a length, a response to another request,
// and interim responses.
BOOST_AUTO_TEST_CASE(a_response_without_end_fails_at_its_size_limit)
{
    using Head = std::function<std::string(const Fakes::ReceivedRequest&)>;
    auto ownHead = [](const Fakes::ReceivedRequest& it, const std::string& more) { return "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: stamp\r\n" + more; };
    const std::string plainNoise(65536, 'x');
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    struct Case {
        const char* name;
        Head head;
        std::string flood;
    };
    const std::vector<Case> cases {
        { "no status line", [](const auto&) { return std::string(); }, plainNoise },
        { "head", [=](const auto& it) { return ownHead(it, ""); }, "X-Field: " + std::string(1000, 'x') + "\r\n" },
        { "chunked body", [=](const auto& it) { return ownHead(it, chunked); }, noise },
        { "body of a length", [=](const auto& it) { return ownHead(it, "Content-Length: 900000000000\r\n\r\n"); }, plainNoise },
        { "body until the end of the connection", [=](const auto& it) { return ownHead(it, "Connection: close\r\n\r\n"); }, plainNoise },
        { "body of another response", [=](const auto&) { return "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n" + chunked; }, noise },
        { "interim responses", [](const auto&) { return std::string(); }, "HTTP/1.1 100 Continue\r\n\r\n" },
        { "chunk extension", [=](const auto& it) { return ownHead(it, chunked + "5;"); }, plainNoise },
    };
    for (const auto& it : cases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            SingleNodeSite one(hello);
            for (const auto& flooded : askForFloods(one, { .path = "/once/a", .head = it.head, .bytes = it.flood }, longDeadline, shortObservation)) {
                BOOST_TEST(flooded.answer.head.status == HttpStatus::badGateway);
                BOOST_TEST(flooded.took.count() < promptly.count());
            }
        }
    }
}

// Guards against a client that keeps the process busy, or holds memory, by never ending its request.
BOOST_AUTO_TEST_CASE(a_request_without_end_is_refused_at_its_size_limit)
{
    struct Case {
        const char* name;
        std::string head;
        std::string flood;
        int status;
    };
    const std::string post = "POST /once/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: endless\r\nCredential: key-a\r\n";
    const std::vector<Case> cases {
        { "head", post, "X-Field: " + std::string(1000, 'x') + "\r\n", HttpStatus::headTooLarge },
        { "body", post + "Transfer-Encoding: chunked\r\n\r\n", noise, HttpStatus::bodyTooLarge },
        { "chunk extension", post + "Transfer-Encoding: chunked\r\n\r\n5;", std::string(65536, 'x'), HttpStatus::badRequest },
    };
    SingleNodeSite one(hello);
    for (const auto& it : cases) {
        BOOST_TEST_CONTEXT(it.name)
        {
            std::thread client([&] {
                asio::io_context context;
                asio::ip::tcp::socket socket(context);
                socket.connect({ asio::ip::make_address(one.node.callers.host), one.node.callers.port });
                asio::error_code ec;
                asio::write(socket, asio::buffer(it.head), ec);
                for (auto until = steadyNow() + promptly; !ec && steadyNow() < until;)
                    asio::write(socket, asio::buffer(it.flood), ec);
                // The node closes the connection although the client still sends.
                waitUntil([&] {
                    if (!ec)
                        asio::write(socket, asio::buffer(it.flood), ec);
                    return bool(ec);
                });
                BOOST_TEST(bool(ec));
            });
            expectPromptService(one.node, Milliseconds(1000));
            client.join();
            auto refused = "\"status\":" + std::to_string(it.status);
            BOOST_TEST(one.node.process->waitLine([&](const auto& line) { return line.find("request_refused") != std::string::npos && line.find(refused) != std::string::npos; }, Milliseconds(2000)).has_value());
        }
    }
}

// Guards against a fault where a client that sent its body slowly kept a connection far beyond the request's deadline.
BOOST_AUTO_TEST_CASE(a_body_that_trickles_is_refused_at_the_deadline_of_its_request)
{
    constexpr Milliseconds deadline { 600 };
    constexpr Milliseconds pause { 50 };
    SingleNodeSite one(hello);
    RawClient client(one.node.callers);
    auto sentAt = steadyNow();
    client.send("POST /once/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: slow\r\nCredential: key-a\r\nDeadline-Ms: 600\r\nContent-Length: 100\r\n\r\n");
    std::atomic<bool> isAnswered { false };
    std::thread sender([&] {
        for (int n = 0; n < 99 && !isAnswered; ++n) {
            std::this_thread::sleep_for(pause);
            if (!isAnswered)
                client.send("x");
        }
    });
    auto answer = client.read();
    isAnswered = true;
    auto took = toMilliseconds(steadyNow() - sentAt);
    sender.join();
    BOOST_TEST(answer.head.status == HttpStatus::requestTimeout);
    BOOST_TEST(took.count() < (deadline + promptly).count());
    BOOST_TEST(one.endpoint.requests().empty());
}

BOOST_AUTO_TEST_SUITE_END()
