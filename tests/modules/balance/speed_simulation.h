// Simulates nodes that send streams to endpoints of uneven speed, and share what they measure. For tests of EndpointSpeeds and EndpointBook.
#pragma once

#include "modules/balance/endpoint_book.h"
#include "modules/balance/endpoint_speeds.h"
#include "modules/forward/pause_meter.h"
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <set>

namespace Onyxnotch::Tests {

inline const SteadyTime start { std::chrono::hours(1) };

inline SteadyTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

struct FleetLoad {
    unsigned nodes { 85 };
    unsigned endpoints { 90 };
    double requestsPerSecond { 605 };
    double fastFactor { 0.7 };
    double slowFactor { 1.7 }; // Of a third of the endpoints.
    double slowdownShare { 0.15 }; // Of the endpoints that are slower at a time, each for 0.6 s.
    double slowdownFactor { 2.5 };
    int seconds { 30 };
    Milliseconds viewAge { 800 };
    double pauseObjectiveSeconds { 0.05 };
    bool enabled { true };
    bool isUneven { true };
    std::uint64_t seed { 1 };
};

struct FleetResult {
    struct Share {
        double requests { 0 };
        double lateFirstEvents { 0 };
        double longPauses { 0 };
        double late { 0 }; // Either.
    };

    Share all {}; // From 15 s on.
    std::array<Share, 2> byKind {}; // At fast and at slow endpoints.
    std::vector<double> slowShareBySecond {};
    std::vector<std::size_t> choices {};
};

// Nodes with the classes of onyxnotch-entry send streams to simulated engines, which read one prompt after the other and make the events of
// all their streams. The nodes' reports reach all nodes after `viewAge`.
class SpeedSimulation {
public:
    explicit SpeedSimulation(const FleetLoad& load)
        : m_load(load)
        , m_random(load.seed)
        , m_engines(load.endpoints)
    {
        auto list = std::make_shared<EndpointList>();
        for (unsigned n = 0; n < load.endpoints; ++n) {
            auto id = "e" + std::to_string(100 + n);
            list->endpoints[id] = { .id = id, .born = 1, .service = "s", .address = { .host = "10.0.0.1", .port = static_cast<std::uint16_t>(80 + n) }, .zone = "z", .slots = 16 };
            m_indices[id] = n;
            m_engines[n].isSlow = n % 3 == 0;
        }
        TrafficConfiguration configuration({ .version = 1, .services = { { .name = "s", .engine = EngineProfile { .slots = 16, .memoryTokens = 400000 } } } });
        for (unsigned n = 0; n < load.nodes; ++n) {
            m_nodes.push_back(std::make_unique<EndpointBook>("z"));
            m_nodes.back()->speeds().setEnabled(load.enabled);
            m_nodes.back()->setPeerLoadAge(load.viewAge);
            m_nodes.back()->update(list, configuration, start);
        }
    }

    FleetResult run()
    {
        m_result.slowShareBySecond.resize(static_cast<std::size_t>(m_load.seconds));
        std::vector<double> sentBySecond(static_cast<std::size_t>(m_load.seconds));
        std::poisson_distribution<int> arrivals(m_load.requestsPerSecond * stepSeconds);
        for (m_now = 0; m_now < m_load.seconds * 1000; m_now += stepMilliseconds) {
            if (m_now % 250 == 0)
                exchange();
            for (int n = arrivals(m_random); n > 0; --n) {
                auto second = static_cast<std::size_t>(m_now / 1000);
                ++sentBySecond[second];
                m_result.slowShareBySecond[second] += send() ? 1 : 0;
            }
            for (std::size_t n = 0; n < m_engines.size(); ++n)
                advance(n);
        }
        for (std::size_t n = 0; n < sentBySecond.size(); ++n)
            m_result.slowShareBySecond[n] /= sentBySecond[n];
        return std::move(m_result);
    }

private:
    static constexpr int stepMilliseconds = 5;
    static constexpr double stepSeconds = 0.005;
    static constexpr double secondsPerToken = 1.0 / 40000;
    static constexpr double objectiveSeconds = 0.4;
    static constexpr int eventsPerStream = 60;
    static constexpr int measuredFrom = 15000; // Milliseconds: 10 s over which ratios are effective, and 5 s to learn expected times.

    struct Stream {
        std::size_t node { 0 };
        ChosenEndpoint chosen {};
        EndpointBook::Flight flight {};
        int sentAt { 0 };
        double promptWork { 0 }; // Seconds at a factor of 1.
        double eventWork { 0 }; // Finished part of the next event.
        int events { 0 };
        int firstEventAt { 0 };
        PauseMeter pauses {};
    };

    struct Engine {
        bool isSlow { false };
        std::set<std::uint64_t> cached {};
        std::deque<std::unique_ptr<Stream>> prompts {};
        std::vector<std::unique_ptr<Stream>> streams {};
    };

    struct View {
        int at { 0 };
        EndpointSpeedReport speeds {};
        std::map<EndpointIncarnation, EndpointLoadReport> loads {};
        std::vector<std::vector<EndpointLoadReport>> ownLoads {};
    };

    double factor(std::size_t endpoint) const
    {
        if (!m_load.isUneven)
            return 1;
        constexpr int slowdownMilliseconds = 600;
        // Slowdowns of different endpoints begin at different times.
        auto interval = static_cast<std::uint64_t>(m_now + static_cast<int>(endpoint * 37)) / slowdownMilliseconds;
        auto draw = static_cast<double>(mixHash(mixHash(endpoint, interval), m_load.seed) >> 11U) * 0x1p-53;
        return (m_engines[endpoint].isSlow ? m_load.slowFactor : m_load.fastFactor) * (draw < m_load.slowdownShare ? m_load.slowdownFactor : 1);
    }

    void exchange()
    {
        View view { .at = m_now };
        for (const auto& node : m_nodes) {
            view.speeds += node->speeds().ownReport(at(m_now));
            view.ownLoads.push_back(node->ownLoads());
            for (const auto& it : view.ownLoads.back()) {
                auto& sum = view.loads[it.endpoint];
                sum.inFlight += it.inFlight;
                sum.waitingTokens += it.waitingTokens;
            }
        }
        m_views.push_back(std::move(view));
        while (m_views.size() > 1 && m_views[1].at + m_load.viewAge.count() <= m_now)
            m_views.pop_front();
        const auto& seen = m_views.front();
        if (seen.at + m_load.viewAge.count() > m_now)
            return;
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            auto others = seen.loads;
            for (const auto& it : seen.ownLoads[n]) {
                others[it.endpoint].inFlight -= it.inFlight;
                others[it.endpoint].waitingTokens -= it.waitingTokens;
            }
            m_nodes[n]->setPeerLoads(others, at(m_now));
            m_nodes[n]->setSpeedTotal(seen.speeds, m_load.nodes, at(m_now));
        }
    }

    // Returns whether the request went to a slow endpoint.
    bool send()
    {
        auto node = m_random() % m_nodes.size();
        constexpr double sharedTokens = 3000;
        constexpr double ownTokens = 1000;
        auto session = 1 + m_random() % 200;
        EndpointRequest request { .service = "s",
            .parts = { { .id = session, .tokens = sharedTokens }, { .id = m_random(), .tokens = ownTokens } },
            .promptTokens = sharedTokens + ownTokens,
            .objectiveSeconds = objectiveSeconds,
            .pauseObjectiveSeconds = m_load.pauseObjectiveSeconds };
        auto chosen = m_nodes[node]->choose(request, at(m_now));
        BOOST_REQUIRE(chosen.has_value());
        auto endpoint = m_indices.at(chosen->endpoint->listed.id);
        auto& engine = m_engines[endpoint];
        m_nodes[node]->noteSent(request, *chosen->endpoint, at(m_now));
        bool isCached = !engine.cached.insert(session).second;
        auto stream = std::make_unique<Stream>();
        stream->node = node;
        stream->flight = EndpointBook::Flight(chosen->endpoint, chosen->uncachedTokens);
        stream->chosen = std::move(*chosen);
        stream->sentAt = m_now;
        stream->promptWork = 0.02 + (ownTokens + (isCached ? 0 : sharedTokens)) * secondsPerToken;
        engine.prompts.push_back(std::move(stream));
        m_result.choices.push_back(endpoint);
        return engine.isSlow;
    }

    void advance(std::size_t endpoint)
    {
        auto& engine = m_engines[endpoint];
        auto slowness = factor(endpoint);
        auto eventSeconds = (0.02 + 0.0005 * static_cast<double>(engine.streams.size())) * slowness;
        for (auto& it : engine.streams) {
            it->eventWork += stepSeconds / eventSeconds;
            if (it->eventWork < 1)
                continue;
            it->eventWork -= 1;
            onEvent(*it);
        }
        std::erase_if(engine.streams, [&](const auto& it) { return it->events >= eventsPerStream && (onEnd(*it, engine), true); });
        if (engine.prompts.empty())
            return;
        engine.prompts.front()->promptWork -= stepSeconds / slowness;
        if (engine.prompts.front()->promptWork > 0)
            return;
        auto stream = std::move(engine.prompts.front());
        engine.prompts.pop_front();
        onFirstEvent(*stream);
        engine.streams.push_back(std::move(stream));
    }

    // As Exchange::recordFirstEvent().
    void onFirstEvent(Stream& stream)
    {
        auto& book = *m_nodes[stream.node];
        stream.firstEventAt = m_now;
        stream.flight.prefilled();
        stream.pauses.onEvents(1, false, at(m_now));
        if (stream.chosen.waitingTokens == 0 && book.waitingTokens(*stream.chosen.endpoint, at(m_now)) == 0)
            book.observeFirstEvent(stream.chosen, (m_now - stream.sentAt) / 1000.0, at(m_now));
    }

    // As Exchange::recordPause().
    void onEvent(Stream& stream)
    {
        auto& book = *m_nodes[stream.node];
        ++stream.events;
        stream.pauses.onEvents(1, book.waitingTokens(*stream.chosen.endpoint, at(m_now)) > 0, at(m_now));
        if (auto mean = stream.pauses.takeMean())
            book.observePause(*stream.chosen.endpoint, *mean, at(m_now));
    }

    void onEnd(const Stream& stream, const Engine& engine)
    {
        if (stream.sentAt < measuredFrom)
            return;
        bool isFirstEventLate = (stream.firstEventAt - stream.sentAt) / 1000.0 > objectiveSeconds;
        bool isPauseLong = (m_now - stream.firstEventAt) / 1000.0 / eventsPerStream > m_load.pauseObjectiveSeconds && m_load.pauseObjectiveSeconds > 0;
        for (auto* it : { &m_result.all, &m_result.byKind[engine.isSlow ? 1 : 0] }) {
            ++it->requests;
            it->lateFirstEvents += isFirstEventLate ? 1 : 0;
            it->longPauses += isPauseLong ? 1 : 0;
            it->late += isFirstEventLate || isPauseLong ? 1 : 0;
        }
    }

    FleetLoad m_load;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    std::map<std::string, std::size_t> m_indices {};
    std::vector<std::unique_ptr<EndpointBook>> m_nodes {};
    std::deque<View> m_views {};
    FleetResult m_result {};
    int m_now { 0 };
};

inline void describe(const char* name, const FleetResult& result)
{
    auto part = [](double count, double all) { return std::to_string(100 * count / std::max(1.0, all)); };
    for (const auto& [kind, it] : { std::pair("all", result.all), std::pair("fast", result.byKind[0]), std::pair("slow", result.byKind[1]) })
        BOOST_TEST_MESSAGE(name << ", " << kind << ": of " << it.requests << " requests late " << part(it.late, it.requests) << "%, first event late " << part(it.lateFirstEvents, it.requests) << "%, long pauses " << part(it.longPauses, it.requests) << "%");
    std::string shares;
    for (auto it : result.slowShareBySecond)
        shares += " " + std::to_string(std::lround(100 * it));
    BOOST_TEST_MESSAGE(name << ": percent sent to slow endpoints by second:" << shares);
}

} // namespace Onyxnotch::Tests
