// What the tests of the promises share: streams that run in the background, and the checks of their answers.
#pragma once

#include "tests/fakes/expected_answer.h"
#include "tests/harness/cluster.h"
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <future>

namespace Onyxnotch::Tests {

constexpr Milliseconds longWait { 20000 };

// A chat call that runs on a thread of its own.
struct BackgroundChat {
    std::string prompt {};
    unsigned tokens { 0 };
    std::shared_ptr<std::atomic<unsigned>> received { std::make_shared<std::atomic<unsigned>>(0) };
    std::future<ClientAnswer> answer {};

    bool whole(const ClientAnswer& it) const { return it.outcome == RequestOutcome::Completed && it.text == Fakes::expectedAnswer(Fakes::promptOf(prompt), tokens); }
};

// `first` is the address that is asked first.
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

inline void waitStreaming(const std::vector<BackgroundChat>& chats)
{
    for (const auto& it : chats)
        BOOST_REQUIRE(waitUntil([&] { return *it.received >= 3; }));
}

// What callers had to do for their whole answers.
struct CallerEffort {
    unsigned moves { 0 }; // The gateway said where the answer goes on.
    unsigned cuts { 0 }; // The connection broke, or the answer had to be asked for again.
};

// Checks that all are whole.
inline CallerEffort requireWhole(std::vector<BackgroundChat>& chats)
{
    CallerEffort effort;
    for (auto& it : chats) {
        auto answer = it.answer.get();
        BOOST_CHECK_MESSAGE(it.whole(answer), it.prompt << ": " << toString(answer.outcome) << ", " << answer.text.size() << " bytes, " << answer.reason);
        effort.moves += answer.moves;
        effort.cuts += answer.tries - 1 - answer.moves;
    }
    return effort;
}

inline void reclaimZone(Cluster& cluster, const std::string& zone, Milliseconds timeLeft)
{
    Json instances = Json::array();
    for (const auto& it : cluster.gateways()) {
        if (it->zone == zone)
            instances.push_back(it->instance);
    }
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", instances }, { "zone", zone }, { "time_left_ms", timeLeft.count() } });
}

// The zone's machines end.
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
