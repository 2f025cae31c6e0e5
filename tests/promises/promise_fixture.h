// Helpers for the tests of the guarantees ("promises"): chat requests that run in the background, checks of their answers, and the reclaim
// or failure of an availability zone.
#pragma once

#include "tests/fakes/expected_answer.h"
#include "tests/harness/cluster.h"
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

namespace Onyxnotch::Tests {

constexpr Milliseconds longWait { 20000 };

// A streamed chat request that runs on its own thread.
struct BackgroundChat {
    std::string prompt {};
    unsigned tokens { 0 }; // Length of the complete answer.
    // Events that the client has received so far.
    std::shared_ptr<std::atomic<unsigned>> received { std::make_shared<std::atomic<unsigned>>(0) };
    std::future<ClientAnswer> answer {};

    // True if the request completed with exactly the expected text.
    bool whole(const ClientAnswer& it) const { return it.outcome == RequestOutcome::Completed && it.text == Fakes::expectedAnswer(Fakes::promptOf(prompt), tokens); }
};

// Starts a chat request for "planner". The client connects to `first` first and knows the addresses of all gateways.
inline BackgroundChat startChat(Cluster& cluster, const Address& first, const std::string& prompt, unsigned tokens)
{
    BackgroundChat chat { .prompt = prompt, .tokens = tokens };
    ClientOptions options { .addresses = { first }, .key = Cluster::teamKey };
    for (const auto& it : cluster.gateways())
        options.addresses.push_back(it->http);
    chat.answer = std::async(std::launch::async, [options, prompt, tokens, received = chat.received] {
        Client client(options);
        return client.chat({ .service = "planner", .prompt = prompt, .maximumTokens = tokens }, [received](const std::string&) { ++*received; });
    });
    return chat;
}

// Waits until each client has received at least 3 events; fails the test otherwise.
inline void waitStreaming(const std::vector<BackgroundChat>& chats)
{
    for (const auto& it : chats)
        BOOST_REQUIRE(waitUntil([&] { return *it.received >= 3; }));
}

// How often clients had to reconnect to receive their complete answers, over all requests.
struct ClientEffort {
    unsigned moves { 0 }; // The gateway named another gateway that continues the answer.
    unsigned reconnects { 0 }; // Other retries: the connection broke, or the client had to repeat the request.
};

// Waits for all answers and checks that each is complete.
inline ClientEffort requireComplete(std::vector<BackgroundChat>& chats)
{
    ClientEffort total;
    for (auto& it : chats) {
        auto answer = it.answer.get();
        BOOST_CHECK_MESSAGE(it.whole(answer), it.prompt << ": " << toString(answer.outcome) << ", " << answer.text.size() << " bytes, " << answer.reason);
        total.moves += answer.moves;
        total.reconnects += answer.tries - 1 - answer.moves;
    }
    return total;
}

// The cloud announces that it reclaims the zone's gateway instances in `timeLeft`.
inline void reclaimZone(Cluster& cluster, const std::string& zone, Milliseconds timeLeft)
{
    Json instances = Json::array();
    for (const auto& it : cluster.gateways()) {
        if (it->zone == zone)
            instances.push_back(it->instance);
    }
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", instances }, { "zone", zone }, { "time_left_ms", timeLeft.count() } });
}

// Kills all gateway and engine processes of the zone.
inline void killZone(Cluster& cluster, const std::string& zone)
{
    for (const auto& it : cluster.gateways()) {
        if (it->zone == zone)
            it->process->kill();
    }
    for (auto& it : cluster.engines()) {
        if (it.zone == zone)
            it.process->kill();
    }
}

} // namespace Onyxnotch::Tests
