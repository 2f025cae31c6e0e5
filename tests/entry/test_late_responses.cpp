// Tests responses that an endpoint sends again late, at the place of the next one, with real entry processes.
#include "tests/harness/entry_site.h"
#include <boost/test/unit_test.hpp>
#include <map>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

// One node and one endpoint with two slots. The endpoint refuses the first send of each request of /once/, and sends a copy of the refusal
// before its next response on the same connection. It does not answer requests of /safe/, and executes those of /public/ at once.
struct LateCopySite {
    explicit LateCopySite(unsigned connectionsPerEndpoint, bool refusalsHaveIds = true)
        : hasRefusalIds(refusalsHaveIds)
        , endpoint([this](const auto& it) { return answer(it); })
    {
        auto configuration = EntrySite::declaration(1);
        configuration["services"][0]["maxConns"] = connectionsPerEndpoint + 1; // One is reserved for health checks.
        for (auto& it : configuration["routes"])
            it["goalMs"] = 1000;
        site.declare(configuration);
        auto entry = EntrySite::entryOf(endpoint.address(), "ready");
        entry["slots"] = 2;
        site.platform().put("servers", "i-1", entry);
        node = &site.startNode("node-1", { { "queueing", { { "enabled", true } } } });
        BOOST_REQUIRE(EntrySite::waitReady(*node));
        earnRetries();
    }

    // Sends requests until the retry budget allows several retries.
    void earnRetries()
    {
        constexpr int requestCount = 30;
        for (int n = 0; n < requestCount; ++n)
            BOOST_REQUIRE(EntrySite::ask(node->callers, request("GET", "/public/a", "public-" + std::to_string(n))).head.status == HttpStatus::ok);
    }

    // Called by one thread at a time.
    Fakes::ScriptedResponse answer(const Fakes::ReceivedRequest& it)
    {
        if (it.head.target.starts_with("/safe/"))
            return { .ending = Fakes::ScriptedResponse::Ending::Hang };
        if (it.head.target.starts_with("/public/"))
            return { .bytes = answerTo(it, "hello") };
        auto id = std::string(it.head.value("attempt-id"));
        auto lateCopy = std::move(refusals[it.connection]);
        refusals[it.connection].clear();
        if (++sends[id] > 1)
            return { .bytes = lateCopy + answerTo(it, "hello") };
        auto refusal = "HTTP/1.1 503 Service Unavailable\r\n" + (hasRefusalIds ? "Attempt-Id: " + id + "\r\n" : "") + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        refusals[it.connection] = refusal;
        return { .bytes = lateCopy + refusal };
    }

    // Sends a request that occupies a slot until its deadline, so that a refusal counts as one of a full endpoint.
    void occupySlot(RawClient& client)
    {
        client.send(request("GET", "/safe/a", "long"));
        BOOST_REQUIRE(waitUntil([&] { return endpoint.requests().back().head.target.starts_with("/safe/"); }));
    }

    // Checks that each request is sent twice, and so executed once, and that its client gets the answer.
    void checkExecutedOnce(const std::string& id)
    {
        auto answer = EntrySite::ask(node->callers, request("POST", "/once/a", id, "", "x"));
        BOOST_TEST(answer.head.status == HttpStatus::ok);
        BOOST_TEST(answer.body == "hello");
        BOOST_TEST(sends[id] == 2U);
    }

    bool hasRefusalIds;
    std::map<std::string, unsigned> sends {}; // By request id.
    std::map<unsigned, std::string> refusals {}; // The last response on a connection if it was a refusal.
    EntrySite site {};
    Fakes::ScriptedEndpoint endpoint;
    EntryProcess* node { nullptr };
};

} // namespace

BOOST_AUTO_TEST_SUITE(LateResponses)

// Guards against a late copy of a refusal that is taken for the response to the second send: the request was executed twice.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_refusal_does_not_make_a_request_run_twice)
{
    LateCopySite one(10);
    RawClient client(one.node->callers);
    one.occupySlot(client);
    for (const auto* id : { "id-1", "id-2", "id-3" })
        one.checkExecutedOnce(id);
}

// Guards against a refusal of the second send for lack of a connection while one is idle.
BOOST_AUTO_TEST_CASE(a_second_send_at_the_connection_limit_replaces_the_idle_connection)
{
    LateCopySite one(2);
    RawClient client(one.node->callers);
    one.occupySlot(client);
    one.checkExecutedOnce("id-1");
    one.checkExecutedOnce("id-2");
}

// Guards against a late copy of a refusal without an id that is taken for the response to the next request on the connection: that request
// was executed twice.
BOOST_AUTO_TEST_CASE(a_late_copy_of_a_refusal_without_an_id_does_not_make_the_next_request_run_twice)
{
    LateCopySite one(10, false);
    RawClient client(one.node->callers);
    one.occupySlot(client);
    for (const auto* id : { "id-1", "id-2", "id-3" })
        one.checkExecutedOnce(id);
}

BOOST_AUTO_TEST_SUITE_END()
