// Tests requests that wait for a place, with real entry processes: none of them may reach an endpoint before it is its turn, or after it has
// left the queue.
#include "tests/harness/entry_site.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>
#include <thread>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

// One node and one plain endpoint with one slot. While the endpoint is held, it answers nothing.
struct OneSlotSite {
    explicit OneSlotSite(bool isQueued = true)
        : endpoint([this](const auto& it) { return answer(it); })
    {
        site.declare(declaration(1, "key-a"));
        auto entry = EntrySite::entryOf(endpoint.address(), "ready");
        entry["slots"] = 1;
        site.platform().put("servers", "i-1", entry);
        node = &site.startNode("node-1", { { "queueing", { { "enabled", isQueued } } } });
        BOOST_REQUIRE(EntrySite::waitReady(*node));
    }
    ~OneSlotSite() { isHeld = false; }

    static Json declaration(std::uint64_t version, const std::string& key)
    {
        auto configuration = EntrySite::declaration(version);
        for (auto& it : configuration["routes"]) {
            it["goalMs"] = 3000;
            it["timeoutMs"] = 4000;
        }
        configuration["tenants"][0]["apiKeys"] = { key };
        return configuration;
    }

    Fakes::ScriptedResponse answer(const Fakes::ReceivedRequest& it)
    {
        std::this_thread::sleep_for(slotTime);
        while (isHeld)
            std::this_thread::sleep_for(Milliseconds(5));
        return { .bytes = answerTo(it, "hello") };
    }

    bool waitQueued(unsigned count)
    {
        auto line = "onyxnotch_entry_queued_requests{service=\"s\"} " + std::to_string(count) + "\n";
        return waitUntil([&] { return EntrySite::ask(node->control, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body.find(line) != std::string::npos; });
    }

    // Sends a request that occupies the slot and one that waits.
    void occupyAndWait(RawClient& first, RawClient& second)
    {
        isHeld = true;
        first.send(request("POST", "/once/a", "first"));
        // Its metrics do not tell when the first request is on its way.
        std::this_thread::sleep_for(Milliseconds(100));
        second.send(request("POST", "/once/a", "second"));
        BOOST_REQUIRE(waitQueued(1));
    }

    static int timeLeft(const Fakes::ReceivedRequest& it) { return std::stoi(std::string(it.head.value("deadline-ms"))); }

    std::set<std::string> received() const
    {
        std::set<std::string> ids;
        for (const auto& it : endpoint.requests())
            ids.insert(std::string(it.head.value("attempt-id")));
        return ids;
    }

    std::atomic<bool> isHeld { false };
    Milliseconds slotTime { 0 };
    EntrySite site {};
    Fakes::ScriptedEndpoint endpoint;
    EntryProcess* node { nullptr };
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestsThatWait)

// Guards against refusals while a slot becomes free in 100 ms, and against two requests at an endpoint with one slot.
BOOST_AUTO_TEST_CASE(requests_to_a_service_with_one_slot_are_served_in_turn)
{
    OneSlotSite one;
    one.slotTime = Milliseconds(100);
    std::vector<std::unique_ptr<RawClient>> callers;
    for (int n = 0; n < 5; ++n) {
        callers.push_back(std::make_unique<RawClient>(one.node->callers));
        callers.back()->send(request("POST", "/once/a", "id-" + std::to_string(n)));
    }
    for (auto& it : callers)
        BOOST_TEST(it->read().head.status == HttpStatus::ok);
    auto requests = one.endpoint.requests();
    BOOST_REQUIRE(requests.size() == 5U);
    // The time left when the node sent a request: the endpoint reads connections one by one, so arrival times would not show a request that
    // was sent too early.
    for (std::size_t n = 0; n < requests.size(); ++n)
        BOOST_TEST(OneSlotSite::timeLeft(requests[n]) <= 1500 - 100 * static_cast<int>(n));
}

// Guards against requests that wait although the setting is off.
BOOST_AUTO_TEST_CASE(without_the_setting_no_request_waits)
{
    OneSlotSite one(false);
    one.slotTime = Milliseconds(300);
    RawClient first(one.node->callers);
    RawClient second(one.node->callers);
    first.send(request("POST", "/once/a", "first"));
    std::this_thread::sleep_for(Milliseconds(50));
    second.send(request("POST", "/once/a", "second"));
    BOOST_TEST(first.read().head.status == HttpStatus::ok);
    BOOST_TEST(second.read().head.status == HttpStatus::ok);
    auto requests = one.endpoint.requests();
    BOOST_REQUIRE(requests.size() == 2U);
    BOOST_TEST(OneSlotSite::timeLeft(requests[1]) > 1300);
}

// Guards against a request that is sent, and occupies a slot, after its client has disconnected.
BOOST_AUTO_TEST_CASE(a_client_that_leaves_takes_its_request_out_of_the_queue)
{
    OneSlotSite one;
    RawClient first(one.node->callers);
    RawClient second(one.node->callers);
    one.occupyAndWait(first, second);
    second.close();
    BOOST_TEST(one.waitQueued(0));
    one.isHeld = false;
    BOOST_TEST(first.read().head.status == HttpStatus::ok);
    BOOST_TEST(EntrySite::ask(one.node->callers, request("POST", "/once/a", "third")).head.status == HttpStatus::ok);
    BOOST_TEST((one.received() == std::set<std::string> { "first", "third" }));
}

// Guards against 404 for a waiting request when a route with a longer prefix is added, or is removed again.
BOOST_AUTO_TEST_CASE(a_waiting_request_goes_on_when_another_route_matches_it)
{
    OneSlotSite one;
    auto longer = OneSlotSite::declaration(2, "key-a");
    longer["routes"].push_back(longer["routes"][0]);
    longer["routes"].back()["name"] = "longer";
    longer["routes"].back()["pathPrefix"] = "/once/a/";
    RawClient first(one.node->callers);
    RawClient second(one.node->callers);
    one.isHeld = true;
    first.send(request("POST", "/once/a/", "first"));
    std::this_thread::sleep_for(Milliseconds(100));
    second.send(request("POST", "/once/a/", "second"));
    BOOST_REQUIRE(one.waitQueued(1));
    for (const auto& it : { longer, OneSlotSite::declaration(3, "key-a") }) {
        one.site.declare(it);
        auto version = "\"version\":" + it["version"].dump();
        BOOST_REQUIRE(one.node->process->waitLine([&](const auto& line) { return line.find("configuration_in_force") != std::string::npos && line.find(version) != std::string::npos; }, Milliseconds(5000)));
        BOOST_TEST(one.waitQueued(1));
    }
    one.isHeld = false;
    BOOST_TEST(first.read().head.status == HttpStatus::ok);
    BOOST_TEST(second.read().head.status == HttpStatus::ok);
    BOOST_TEST(one.endpoint.requests().size() == 2U);
}

// Guards against 401 for a waiting request when its key passes to another team.
BOOST_AUTO_TEST_CASE(a_waiting_request_goes_on_under_the_team_that_has_its_key)
{
    OneSlotSite one;
    auto passedOn = OneSlotSite::declaration(2, "key-b");
    passedOn["tenants"].push_back({ { "name", "team-b" }, { "apiKeys", { "key-a" } }, { "ratePerS", 0 } });
    RawClient first(one.node->callers);
    RawClient second(one.node->callers);
    one.occupyAndWait(first, second);
    one.site.declare(passedOn);
    BOOST_REQUIRE(one.node->process->waitLine([](const auto& line) { return line.find("configuration_in_force") != std::string::npos && line.find("\"version\":2") != std::string::npos; }, Milliseconds(5000)));
    one.isHeld = false;
    BOOST_TEST(first.read().head.status == HttpStatus::ok);
    BOOST_TEST(second.read().head.status == HttpStatus::ok);
    auto requests = one.endpoint.requests();
    BOOST_REQUIRE(requests.size() == 2U);
    BOOST_TEST(requests[1].head.value("tenant") == "team-b");
}

// Guards against requests that run although no client can receive their answer.
BOOST_AUTO_TEST_CASE(requests_in_the_queue_of_a_killed_node_reach_no_endpoint)
{
    OneSlotSite one;
    RawClient first(one.node->callers);
    RawClient second(one.node->callers);
    one.occupyAndWait(first, second);
    one.node->process->kill();
    BOOST_TEST(!second.read().whole);
    one.isHeld = false;
    std::this_thread::sleep_for(Milliseconds(300));
    BOOST_TEST((one.received() == std::set<std::string> { "first" }));
}

// Guards against a request that runs after its key was removed from the configuration.
BOOST_AUTO_TEST_CASE(a_request_whose_key_is_removed_leaves_the_queue)
{
    OneSlotSite one;
    RawClient first(one.node->callers);
    RawClient second(one.node->callers);
    one.occupyAndWait(first, second);
    one.site.declare(OneSlotSite::declaration(2, "key-b"));
    BOOST_TEST(second.read().head.status == HttpStatus::unauthorized);
    one.isHeld = false;
    BOOST_TEST(first.read().head.status == HttpStatus::ok);
    std::this_thread::sleep_for(Milliseconds(300));
    BOOST_TEST((one.received() == std::set<std::string> { "first" }));
}

// Guards against a stop that refuses or drops waiting requests that can be served within the grace period.
BOOST_AUTO_TEST_CASE(a_stopping_node_serves_the_requests_in_its_queue)
{
    OneSlotSite one;
    RawClient first(one.node->callers);
    RawClient second(one.node->callers);
    one.occupyAndWait(first, second);
    one.node->process->signal(SIGTERM);
    BOOST_REQUIRE(one.node->process->waitEvent("stopping", Milliseconds(2000)));
    one.isHeld = false;
    BOOST_TEST(first.read().head.status == HttpStatus::ok);
    BOOST_TEST(second.read().head.status == HttpStatus::ok);
}

BOOST_AUTO_TEST_SUITE_END()
