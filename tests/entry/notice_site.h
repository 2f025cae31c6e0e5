// Entry nodes before three endpoints of one service that say something of themselves in their answers.
#pragma once

#include "tests/harness/entry_site.h"
#include <boost/test/unit_test.hpp>

namespace Onyxnotch::Tests {

using Ending = Fakes::ScriptedAnswer::Ending;

inline constexpr int endpoints = 3;
inline constexpr Milliseconds spreadTime { 3000 }; // Within which the nodes of a fleet in touch have to know what one of them found.

inline std::string turnAway(const Fakes::ReceivedRequest& it, const std::string& fields, bool saysNotRun = true)
{
    return "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\n" + (saysNotRun ? "Not-Executed: 1\r\n" : "") + fields + "Content-Length: 0\r\n\r\n";
}

inline Fakes::ScriptedEndpoint::Script answering(const std::string& fields)
{
    return [fields](const Fakes::ReceivedRequest& it) { return Fakes::ScriptedAnswer { .bytes = answerTo(it, "hello", fields) }; };
}

inline Fakes::ScriptedEndpoint::Script turningAway(const std::string& fields)
{
    return [fields](const Fakes::ReceivedRequest& it) { return Fakes::ScriptedAnswer { .bytes = turnAway(it, fields) }; };
}

inline Fakes::ScriptedEndpoint::Script streamThatHangs(const std::string& fields)
{
    return [fields](const Fakes::ReceivedRequest& it) {
        auto head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\n" + fields + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        return Fakes::ScriptedAnswer { .bytes = head + "11\r\nid: 1\ndata: abc\n\n\r\n", .ending = Ending::Hang };
    };
}

// Nodes before endpoints of one service. Without other load the same one is chosen for every request.
struct NoticeSite {
    explicit NoticeSite(int nodeCount = 1, const Json& settings = Json::object())
    {
        site.declare(EntrySite::declaration(1));
        for (int n = 0; n < endpoints; ++n)
            stands.push_back(&site.addEndpoint(idOf(n), answering("")));
        for (int n = 0; n < nodeCount; ++n) {
            nodes.push_back(&site.startNode("node-" + std::to_string(n + 1), settings));
            BOOST_REQUIRE(EntrySite::waitReady(*nodes.back()));
        }
    }

    static std::string idOf(int n) { return "i-" + std::to_string(n); }

    RawCaller::Answer ask(std::size_t node = 0, const std::string& path = "/safe/a")
    {
        return EntrySite::ask(nodes.at(node)->callers, request("GET", path, "id-" + std::to_string(++ids)));
    }

    std::size_t reached(int endpoint) const { return stands[endpoint]->requests().size(); }

    // The endpoint that requests through that node go to.
    int favourite(std::size_t node = 0)
    {
        auto before = counts();
        BOOST_REQUIRE(ask(node).head.status == HttpStatus::ok);
        auto after = counts();
        for (int n = 0; n < endpoints; ++n) {
            if (after[n] > before[n])
                return n;
        }
        BOOST_FAIL("no endpoint was asked");
        return 0;
    }

    std::vector<std::size_t> counts() const
    {
        std::vector<std::size_t> all;
        all.reserve(endpoints);
        for (int n = 0; n < endpoints; ++n)
            all.push_back(reached(n));
        return all;
    }

    // Asks so often; how many of the answers were good.
    int askGood(int times, std::size_t node = 0)
    {
        int good = 0;
        for (int n = 0; n < times; ++n)
            good += ask(node).head.status == HttpStatus::ok ? 1 : 0;
        return good;
    }

    // Whether requests through that node stop reaching the endpoint within the time that news may take.
    bool leavesAlone(std::size_t node, int endpoint)
    {
        constexpr int times = 5;
        auto noneArrives = [&] {
            auto before = reached(endpoint);
            askGood(times, node);
            return reached(endpoint) == before;
        };
        return waitUntil(noneArrives, spreadTime);
    }

    // Lets the favourite say something once, to a request through that node, and returns which it is.
    int hear(const Fakes::ScriptedEndpoint::Script& script, const std::string& path = "/safe/a", std::size_t node = 0)
    {
        int chosen = favourite(node);
        stands[chosen]->setScript(script);
        ask(node, path);
        return chosen;
    }

    // What stands in the store before anybody says anything of himself, with the first node alone.
    void copyStore(Fakes::PlatformStandIn& store) const
    {
        store.put("config", "main", EntrySite::declaration(1));
        for (int n = 0; n < endpoints; ++n)
            store.put("servers", idOf(n), EntrySite::entryOf(stands[n]->address(), "ready"));
        store.put("onyxnotch-nodes", "node-1", { { "gossip", nodes[0]->gossip.text() }, { "lifetime", 1 } });
    }

    // Its entry goes and comes back, and the first node has read both.
    void lapse(int endpoint)
    {
        site.platform().remove("servers", idOf(endpoint));
        BOOST_REQUIRE(waitUntil([&] { return linesOf("endpoint_gone", endpoint) == 1; }));
        site.list(idOf(endpoint), stands[endpoint]->address(), "ready");
        BOOST_REQUIRE(waitUntil([&] { return linesOf("endpoint_listed", endpoint) == 2; }));
    }

    long linesOf(const std::string& event, int endpoint) const
    {
        auto lines = nodes.front()->process->lines();
        return std::count_if(lines.begin(), lines.end(), [&](const auto& it) { return it.find("\"" + event + "\"") != std::string::npos && it.find("\"" + idOf(endpoint) + "\"") != std::string::npos; });
    }

    EntrySite site;
    std::vector<Fakes::ScriptedEndpoint*> stands {};
    std::vector<EntryProcess*> nodes {};
    int ids { 0 };
};

inline constexpr auto leaves = "Server-Leaving: 1\r\n";

// Nothing more reaches it through the first node, and the callers are served.
inline void checkLeft(NoticeSite& it, int endpoint)
{
    constexpr int times = 10;
    auto before = it.reached(endpoint);
    BOOST_TEST(it.askGood(times) == times);
    BOOST_TEST(it.reached(endpoint) == before);
}

} // namespace Onyxnotch::Tests
