// Compares transcripts of complete sessions, as seen by an operator and a client, with golden files. Parts that differ between runs are
// replaced by placeholders. ONYXNOTCH_UPDATE_GOLDEN=1 rewrites the golden files.
#include "core/net/http_client.h"
#include "tests/promises/promise_fixture.h"
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

// Replaces request ids, attempt ids, addresses, times, prices, temporary paths and offsets, which differ between runs.
std::string normalized(std::string text)
{
    static const std::vector<std::pair<std::regex, std::string>> rules {
        { std::regex("([a-z-]+-[0-9]+\\.gateway)~[0-9]+~[0-9]+~[0-9]+~[0-9a-f]+"), "<request of $1>" },
        { std::regex("[a-z-]+-[0-9]+\\.gateway-[0-9a-f]+-[0-9a-f]+"), "<attempt>" },
        { std::regex("127\\.0\\.0\\.1:[0-9]+"), "<address>" },
        { std::regex("\"(time_ms|price_per_hour)\": ?[0-9.]+"), "\"$1\": <number>" },
        { std::regex("/tmp/onyxnotch-test-[A-Za-z0-9]+/"), "" },
        { std::regex("at offset [0-9]+"), "at offset <number>" },
    };
    for (const auto& [pattern, replacement] : rules)
        text = std::regex_replace(text, pattern, replacement);
    return text;
}

// Lists the events of a stream, one per line. Consecutive text events are joined, since their boundaries depend on timing.
std::string streamTranscript(const std::string& body)
{
    std::istringstream stream(body);
    std::string transcript;
    std::string text;
    auto flush = [&] {
        if (!text.empty())
            transcript += "text: " + text + "\n";
        text.clear();
    };
    for (std::string line; std::getline(stream, line);) {
        if (line.rfind("data: ", 0) != 0)
            continue;
        auto data = line.substr(6);
        auto chunk = Json::parse(data, nullptr, false);
        std::string content;
        if (chunk.is_object() && !chunk["choices"].empty())
            content = chunk["choices"][0]["delta"].value("content", "");
        if (!content.empty()) {
            text += content;
            continue;
        }
        flush();
        transcript += "event: " + data + "\n";
    }
    flush();
    return transcript;
}

class Transcript {
public:
    void add(const std::string& title, const std::string& sectionText) { m_text += "## " + title + "\n" + sectionText + (sectionText.empty() || sectionText.back() == '\n' ? "" : "\n") + "\n"; }

    void compare(const std::string& name) const
    {
        auto path = std::string(ONYXNOTCH_GOLDEN_FOLDER) + "/" + name;
        auto actual = normalized(m_text);
        if (std::getenv("ONYXNOTCH_UPDATE_GOLDEN"))
            std::ofstream(path) << actual;
        std::ifstream file(path);
        std::ostringstream expected;
        expected << file.rdbuf();
        BOOST_CHECK_MESSAGE(actual == expected.str(), name << " differs; this run gave:\n"
                                                           << actual);
    }

private:
    std::string m_text;
};

std::string authorization() { return std::string("Bearer ") + Cluster::teamKey; }

std::string chatBody(const std::string& prompt, unsigned tokens)
{
    Json message { { "role", "user" }, { "content", prompt } };
    return Json { { "model", "planner" }, { "stream", true }, { "max_tokens", tokens }, { "messages", Json::array({ message }) } }.dump();
}

std::string show(const HttpReply& reply, const std::vector<std::string>& headers = {})
{
    auto text = "HTTP " + std::to_string(reply.status) + "\n";
    for (const auto& it : headers)
        text += it + ": " + reply.header(it) + "\n";
    return text + reply.body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Golden)

BOOST_AUTO_TEST_CASE(from_the_declaration_to_the_answer)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 1, .engineArguments = { "--token-us", "2000" } });
    Transcript transcript;
    auto& gateway = cluster.gateway(0);
    auto runCommand = [&](const std::vector<std::string>& arguments) {
        auto result = runProgram("onyxnotch", arguments);
        transcript.add("onyxnotch " + arguments[0], "exit code " + std::to_string(result.exitCode) + "\n" + result.output);
    };
    auto call = [&](const std::string& title, const HttpCall& request, const std::vector<std::string>& headers = {}) {
        auto reply = sendHttp(gateway.http, request);
        BOOST_REQUIRE(reply);
        transcript.add(title, show(reply.value(), headers));
        return reply.value();
    };
    auto bad = cluster.declaration(1);
    bad["objects"][3]["spec"]["replicas"] = 1;
    runCommand({ "apply", cluster.writeFile("bad.json", bad.dump(2)), "--objects", cluster.objects().text() });
    runCommand({ "check", cluster.writeFile("good.json", cluster.declaration(1).dump(2)), "--objects", cluster.objects().text() });
    runCommand({ "apply", cluster.writeFile("good.json", cluster.declaration(1).dump(2)), "--objects", cluster.objects().text() });
    runCommand({ "get", "Service", "--objects", cluster.objects().text() });
    BOOST_REQUIRE(cluster.waitForEndpoints(1));
    call("GET /v1/addresses with an unknown key", { .path = "/v1/addresses", .headers = { { "Authorization", "Bearer nobody" } } }, { "onyxnotch-outcome" });
    auto addresses = call("GET /v1/addresses?tickets=1", { .path = "/v1/addresses?tickets=1", .headers = { { "Authorization", authorization() } } });
    auto ticket = Json::parse(addresses.body)["tickets"][0]["ticket"].get<std::string>();
    call("GET /v1/models", { .path = "/v1/models", .headers = { { "Authorization", authorization() } } });
    HttpCall chat { .method = "POST", .path = "/v1/chat/completions", .headers = { { "Authorization", authorization() } }, .body = chatBody("Confirm slot 14", 8), .readTimeout = longWait };
    auto reply = sendHttp(gateway.http, chat);
    BOOST_REQUIRE(reply);
    transcript.add("POST /v1/chat/completions", streamTranscript(reply.value().body));
    HttpCall release { .method = "POST", .path = "/v1/services/release/pallets/7", .headers = { { "Authorization", authorization() } }, .body = R"({"pallet":7})" };
    call("POST /v1/services/release without a ticket", release, { "onyxnotch-outcome" });
    release.headers.emplace("Onyxnotch-Ticket", ticket);
    call("POST /v1/services/release with a ticket", release, { "onyxnotch-outcome", "onyxnotch-request-id" });
    auto first = cluster.serviceRuns()[ticket];
    auto again = call("the same again", release, { "onyxnotch-outcome", "onyxnotch-request-id" });
    BOOST_CHECK_EQUAL(cluster.serviceRuns()[ticket], first);
    runCommand({ "explain", reply.value().header("onyxnotch-request-id"), "--gateway", gateway.http.text() });
    transcript.compare("session.golden");
}

// Checks the order of events: the request is accepted and routed by one gateway, taken over by another one, and completed there without a
// new attempt.
BOOST_AUTO_TEST_CASE(a_gateway_is_reclaimed_in_the_middle_of_an_answer)
{
    Cluster cluster({ .zones = { "kushiro-hall", "nemuro-hall" }, .controllers = 1, .engineArguments = { "--token-us", "10000" } });
    BOOST_REQUIRE(cluster.deploy(1));
    std::vector<BackgroundChat> chats;
    chats.push_back(startChat(cluster, cluster.gateway(0).http, "Rebuild the plan", 150));
    waitStreaming(chats);
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ cluster.gateway(0).instance }) }, { "time_left_ms", 2000 } });
    auto answer = chats[0].answer.get();
    BOOST_CHECK(chats[0].whole(answer));
    Transcript transcript;
    transcript.add("the caller", Json { { "outcome", toString(answer.outcome) }, { "moves", answer.moves }, { "bytes", answer.text.size() } }.dump());
    auto explained = runProgram("onyxnotch", { "explain", answer.requestId, "--gateway", cluster.gateway(1).http.text() });
    transcript.add("onyxnotch explain", explained.output);
    transcript.compare("reclaim.golden");
}

BOOST_AUTO_TEST_SUITE_END()
