// Test fixture: entry nodes that forward to three endpoints of one service. The endpoints are scripted and announce their own state in
// header fields of their answers: that they drain (Server-Leaving), a rate limit (Server-Limit), a backoff (Retry-After).
#pragma once

#include "tests/harness/entry_site.h"
#include <boost/test/unit_test.hpp>

namespace Onyxnotch::Tests {

using Ending = Fakes::ScriptedResponse::Ending;

inline constexpr int endpointCount = 3;
// Maximum time until all nodes of a connected fleet know what one of them has received.
inline constexpr Milliseconds propagationTime { 3000 };

// A 503 answer with the given header fields, which may say that the request was not executed.
inline std::string refusalAnswer(const Fakes::ReceivedRequest& it, const std::string& fields, bool isNotExecuted = true)
{
    return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\n" + (isNotExecuted ? "Not-Executed: 1\r\n" : "") + fields + "Content-Length: 0\r\n\r\n";
}

inline Fakes::ScriptedEndpoint::Script answerWith(const std::string& fields)
{
    return [fields](const Fakes::ReceivedRequest& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello", fields) }; };
}

inline Fakes::ScriptedEndpoint::Script refuseWith(const std::string& fields)
{
    return [fields](const Fakes::ReceivedRequest& it) { return Fakes::ScriptedResponse { .bytes = refusalAnswer(it, fields) }; };
}

// An event stream that sends its head and one event, and then nothing more without ending.
inline Fakes::ScriptedEndpoint::Script hangingStreamWith(const std::string& fields)
{
    return [fields](const Fakes::ReceivedRequest& it) {
        auto head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\n" + fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        return Fakes::ScriptedResponse { .bytes = head + "11\r\nid: 1\ndata: abc\n\n\r\n", .ending = Ending::Hang };
    };
}

// Nodes that forward to the endpoints of one service. Without other load a node chooses the same endpoint for every request.
struct NoticeSite {
    explicit NoticeSite(int nodeCount = 1, const Json& settings = Json::object())
    {
        site.declare(EntrySite::declaration(1));
        for (int n = 0; n < endpointCount; ++n)
            endpointServers.push_back(&site.addEndpoint(idOf(n), answerWith("")));
        for (int n = 0; n < nodeCount; ++n) {
            nodes.push_back(&site.startNode("node-" + std::to_string(n + 1), settings));
            BOOST_REQUIRE(EntrySite::waitReady(*nodes.back()));
        }
    }

    static std::string idOf(int n) { return "i-" + std::to_string(n); }

    RawClient::Answer sendRequest(std::size_t node = 0, const std::string& path = "/safe/a")
    {
        return EntrySite::ask(nodes.at(node)->callers, request("GET", path, "id-" + std::to_string(++lastRequestNumber)));
    }

    std::size_t requestCount(int endpoint) const { return endpointServers[endpoint]->requests().size(); }

    // Sends a request through the node and returns the index of the endpoint that received it.
    int preferredEndpoint(std::size_t node = 0)
    {
        auto before = requestCounts();
        BOOST_REQUIRE(sendRequest(node).head.status == HttpStatus::ok);
        auto after = requestCounts();
        for (int n = 0; n < endpointCount; ++n) {
            if (after[n] > before[n])
                return n;
        }
        BOOST_FAIL("no endpoint was asked");
        return 0;
    }

    std::vector<std::size_t> requestCounts() const
    {
        std::vector<std::size_t> all;
        all.reserve(endpointCount);
        for (int n = 0; n < endpointCount; ++n)
            all.push_back(requestCount(n));
        return all;
    }

    // Sends `times` requests through the node and returns how many were answered with status 200.
    int countGoodAnswers(int times, std::size_t node = 0)
    {
        int good = 0;
        for (int n = 0; n < times; ++n)
            good += sendRequest(node).head.status == HttpStatus::ok ? 1 : 0;
        return good;
    }

    // Whether the node stops sending requests to the endpoint within the propagation time.
    bool stopsSendingTo(std::size_t node, int endpoint)
    {
        constexpr int times = 5;
        auto receivesNone = [&] {
            auto before = requestCount(endpoint);
            countGoodAnswers(times, node);
            return requestCount(endpoint) == before;
        };
        return waitUntil(receivesNone, propagationTime);
    }

    // Gives the endpoint that the node prefers a script, sends one request to it, and returns the index of the endpoint.
    int letPreferredAnswer(const Fakes::ScriptedEndpoint::Script& script, const std::string& path = "/safe/a", std::size_t node = 0)
    {
        int chosen = preferredEndpoint(node);
        endpointServers[chosen]->setScript(script);
        sendRequest(node, path);
        return chosen;
    }

    // Fills another store with the configuration, all endpoints as ready, and the first node only.
    void copyStoreTo(Fakes::FakePlatform& store) const
    {
        store.put("config", "main", EntrySite::declaration(1));
        for (int n = 0; n < endpointCount; ++n)
            store.put("servers", idOf(n), EntrySite::entryOf(endpointServers[n]->address(), "ready"));
        store.put("onyxnotch-nodes", "node-1", { { "gossip", nodes[0]->gossip.text() }, { "lifetime", 1 } });
    }

    // Removes the endpoint's entry from the store and restores it; waits until the first node has read both changes.
    void removeAndRestoreEntry(int endpoint)
    {
        site.platform().remove("servers", idOf(endpoint));
        BOOST_REQUIRE(waitUntil([&] { return countLogLines("endpoint_gone", endpoint) == 1; }));
        site.list(idOf(endpoint), endpointServers[endpoint]->address(), "ready");
        BOOST_REQUIRE(waitUntil([&] { return countLogLines("endpoint_listed", endpoint) == 2; }));
    }

    // Number of log lines of the first node with this event and this endpoint.
    long countLogLines(const std::string& event, int endpoint) const
    {
        auto lines = nodes.front()->process->lines();
        return std::count_if(lines.begin(), lines.end(), [&](const auto& it) { return it.find("\"" + event + "\"") != std::string::npos && it.find("\"" + idOf(endpoint) + "\"") != std::string::npos; });
    }

    EntrySite site;
    std::vector<Fakes::ScriptedEndpoint*> endpointServers {};
    std::vector<EntryProcess*> nodes {};
    int lastRequestNumber { 0 };
};

inline constexpr auto drainingField = "Server-Leaving: 1\r\n";

// Checks that the first node answers all requests and sends none of them to the endpoint.
inline void checkNotUsed(NoticeSite& it, int endpoint)
{
    constexpr int times = 10;
    auto before = it.requestCount(endpoint);
    BOOST_TEST(it.countGoodAnswers(times) == times);
    BOOST_TEST(it.requestCount(endpoint) == before);
}

} // namespace Onyxnotch::Tests
