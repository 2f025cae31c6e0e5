// Simulates a fleet of nodes in one process and in simulated time, over a network with delays, losses and partitions. The nodes run the
// classes of onyxnotch-entry: PeerTable, FleetRelay, TeamLimits, SuspectTracker; only sockets and timers are replaced.
#pragma once

#include "core/net/frame.h"
#include "modules/limits/team_limits.h"
#include "modules/peers/fleet_relay.h"
#include "modules/peers/team_levels.h"
#include "modules/suspects/suspect_tracker.h"
#include <memory>
#include <queue>
#include <variant>

namespace Onyxnotch::Tests {

struct FleetSimulationOptions {
    unsigned nodes { 300 };
    unsigned zones { 6 };
    std::uint64_t seed { 1 };
    double lossFraction { 0.01 }; // Fraction of datagrams lost.
    Milliseconds period { 250 };
    double requestsPerSecond { 2 }; // At each node, all of one team.
    double tokensPerRequest { 1000 };
    TrafficTeam team {};
    unsigned endpointsUsed { 1 }; // Endpoints with load from one node,
    unsigned endpoints { 20 }; // out of this number in total.
    bool countsBytes { false }; // Count sent bytes, for which every message has to be encoded.
    TeamLimitsOptions limits {};
    // Standard deviation of the logarithm of a request's tokens; 0 if all requests have `tokensPerRequest`, which is their mean.
    double tokensSpread { 0 };
    unsigned endpointsLeaving { 0 }; // Number of endpoints that three nodes of the first zone report as leaving.
    bool usesRelays { true }; // Otherwise nodes send their rows to each other directly, as in a fleet of up to 16 nodes.
};

class FleetSimulation {
public:
    struct Node {
        std::string name {};
        std::string zone {};
        Address address {};
        std::uint64_t lifetime { 1 };
        SteadyTime startedAt {};
        std::uint32_t sequence { 0 };
        bool isUp { true };
        bool isCutOff { false }; // Cut off from every other node; clients still reach it.
        unsigned partition { 0 }; // Nodes of different partitions do not reach each other.
        std::unique_ptr<PeerTable> table {};
        std::unique_ptr<FleetRelay> relay {};
        std::unique_ptr<TeamLimits> limits {};
        std::unique_ptr<SuspectTracker> suspects {};
        std::optional<FleetRelay::Others> others {};
        std::uint64_t sent { 0 };
        std::uint64_t sentBytes { 0 };
        unsigned refused { 0 };
    };

    // One request that was admitted.
    struct Admission {
        SteadyTime at {};
        double tokens { 0 };
        unsigned node { 0 };
    };

    explicit FleetSimulation(const FleetSimulationOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (unsigned n = 0; n < options.nodes; ++n) {
            m_nodes.push_back(Node { .name = "n" + std::to_string(n), .zone = "z" + std::to_string(n % options.zones), .address = { .host = "10.0.0.1", .port = static_cast<std::uint16_t>(n + 1) } });
            start(n);
        }
    }

    void run(Milliseconds duration)
    {
        auto end = m_now + duration;
        while (!m_events.empty() && m_events.top().at <= end) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            handle(event);
        }
        m_now = end;
    }

    void kill(unsigned n) { m_nodes[n].isUp = false; }
    void restart(unsigned n)
    {
        ++m_nodes[n].lifetime;
        start(n);
    }

    // Simulates that the endpoint incarnation `life` ends while running the request, and that node `n`, which sent the request, detects it.
    void endEndpointDuring(unsigned n, const RequestDigest& request, std::uint64_t life)
    {
        m_nodes[n].suspects->onSent(request, life);
        m_nodes[n].suspects->onLost(request, life, m_now);
        sendSuspects(n);
    }

    std::vector<Node>& nodes() { return m_nodes; }
    SteadyTime now() const { return m_now; }
    const std::vector<Admission>& admissions() const { return m_admissions; }
    double admittedSince(SteadyTime since) const { return admittedBetween(since, m_now); }
    double admittedBetween(SteadyTime from, SteadyTime to) const
    {
        double tokens = 0;
        for (const auto& it : m_admissions)
            tokens += it.at >= from && it.at < to ? it.tokens : 0;
        return tokens;
    }
    // The most tokens admitted in any interval of this length.
    double maximumAdmittedIn(Milliseconds span) const
    {
        double most = 0;
        double inSpan = 0;
        auto first = m_admissions.begin();
        for (const auto& it : m_admissions) {
            inSpan += it.tokens;
            for (; it.at - first->at > span; ++first)
                inSpan -= first->tokens;
            most = std::max(most, inSpan);
        }
        return most;
    }
    unsigned requested { 0 };
    unsigned refused { 0 };
    double demandFactor { 1 };

private:
    struct Tick {
    };
    struct Arrival {
    };
    struct ZoneMessage {
        GroupAggregate sum {};
    };
    struct FleetMessage {
        GroupAggregate sum {};
    };
    using Message = std::variant<Tick, Arrival, std::shared_ptr<const SuspectUpdate>, std::shared_ptr<const PeerRow>, std::shared_ptr<const TeamLevels>, std::shared_ptr<const ZoneMessage>, std::shared_ptr<const FleetMessage>>;

    struct Event {
        SteadyTime at {};
        std::uint64_t order { 0 };
        unsigned node { 0 };
        std::uint64_t lifetime { 0 }; // The node's incarnation that the event is for; 0 for a message.
        Message message {};

        bool operator<(const Event& other) const { return std::pair(at, order) > std::pair(other.at, other.order); }
    };

    void start(unsigned n)
    {
        auto& node = m_nodes[n];
        node.isUp = true;
        node.startedAt = m_now;
        node.sequence = 0;
        node.others.reset();
        node.table = std::make_unique<PeerTable>(node.name);
        node.relay = std::make_unique<FleetRelay>(*node.table, FleetRelayOptions { .node = node.name, .zone = node.zone, .randomSeed = static_cast<std::uint32_t>(m_random()) }, m_now);
        auto limits = m_options.limits;
        limits.randomSeed = static_cast<std::uint32_t>(m_options.seed * m_options.nodes + n + 1);
        node.limits = std::make_unique<TeamLimits>(m_now, limits);
        node.suspects = std::make_unique<SuspectTracker>(SuspectOptions { .node = node.name });
        node.limits->setExpectedNodes(m_options.nodes);
        setTimeouts(node);
        // The initial contacts are those in the store's list of nodes.
        for (const auto& it : m_nodes)
            node.table->addContact({ .node = it.name, .lifetime = 0, .gossipAddress = it.address, .zone = it.zone }, m_now);
        push(n, Milliseconds(m_random() % 30), Tick {}, node.lifetime);
        push(n, nextArrival(), Arrival {}, node.lifetime);
    }

    // As EntryNode::RequestSide: adaptRelayTimeouts() or, for a fleet in which each row reaches all nodes, adaptDirectTimeouts().
    void setTimeouts(Node& node) const
    {
        node.limits->setFreshFor(m_options.period * (m_options.usesRelays ? 4 : 3));
        node.limits->setStartupPhase(m_options.period * (m_options.usesRelays ? 10 : 8));
        node.limits->setPropagationTime(m_options.period * (m_options.usesRelays ? 3 : 2));
    }

    Milliseconds nextArrival() { return Milliseconds(static_cast<std::int64_t>(std::exponential_distribution<double>(m_options.requestsPerSecond * demandFactor)(m_random) * 1000) + 1); }

    void push(unsigned n, Milliseconds delay, Message message, std::uint64_t lifetime = 0)
    {
        m_events.push({ .at = m_now + delay, .order = ++m_order, .node = n, .lifetime = lifetime, .message = std::move(message) });
    }

    void handle(const Event& event)
    {
        auto& node = m_nodes[event.node];
        if (!node.isUp || (event.lifetime != 0 && event.lifetime != node.lifetime))
            return;
        if (std::holds_alternative<Tick>(event.message))
            onTick(event.node);
        else if (std::holds_alternative<Arrival>(event.message))
            onArrival(event.node);
        else if (const auto* news = std::get_if<std::shared_ptr<const SuspectUpdate>>(&event.message)) {
            node.suspects->onPeerUpdate(**news, m_now);
            if (node.suspects->takeRelayDue() && node.relay->isRelay(m_now))
                sendSuspects(event.node);
        } else if (const auto* row = std::get_if<std::shared_ptr<const PeerRow>>(&event.message)) {
            onRow(event.node, **row);
        } else if (const auto* levels = std::get_if<std::shared_ptr<const TeamLevels>>(&event.message)) {
            if (node.limits->onPeerLevels((*levels)->levels, m_now) && m_options.usesRelays && node.relay->isRelay(m_now))
                sendLevels(event.node, node.relay->urgentReceivers(m_now));
        } else if (const auto* zone = std::get_if<std::shared_ptr<const ZoneMessage>>(&event.message))
            node.relay->onZoneAggregate((*zone)->sum, m_now);
        else if (const auto* fleet = std::get_if<std::shared_ptr<const FleetMessage>>(&event.message))
            node.relay->onFleetAggregate((*fleet)->sum, m_now);
        sendLevels(event.node, node.relay->takeRestartedRelays());
    }

    void onRow(unsigned n, const PeerRow& row)
    {
        auto& node = m_nodes[n];
        bool isNewIncarnation = !node.table->hasReceivedRow(row.node, row.lifetime);
        if (!node.table->apply(row, m_now))
            return;
        node.relay->onRow(row, m_now);
        node.suspects->onPeerUpdate(row.suspects, m_now);
        if (isNewIncarnation && (!m_options.usesRelays || node.relay->isRelay(m_now)))
            sendLevels(n, { row.gossipAddress });
        if (m_options.usesRelays)
            return;
        node.limits->onPeerTotals(row.node, row.lifetime, Milliseconds(row.ageMilliseconds), row.teamTotals, m_now);
        if (isNewIncarnation)
            send(n, { row.gossipAddress }, std::make_shared<const PeerRow>(nextRow(n)));
    }

    void sendLevels(unsigned n, const std::vector<Address>& receivers)
    {
        if (receivers.empty())
            return;
        TeamLevels message { .levels = m_nodes[n].limits->levels(m_now) };
        if (!message.levels.empty())
            send(n, receivers, std::make_shared<const TeamLevels>(std::move(message)));
    }

    void onArrival(unsigned n)
    {
        ++requested;
        auto& node = m_nodes[n];
        auto tokens = nextTokens();
        if (node.limits->admit(m_options.team, tokens, m_now)) {
            ++refused;
            ++node.refused;
        } else
            m_admissions.push_back({ .at = m_now, .tokens = tokens, .node = n });
        push(n, nextArrival(), Arrival {}, node.lifetime);
    }

    double nextTokens()
    {
        auto spread = m_options.tokensSpread;
        if (spread <= 0)
            return m_options.tokensPerRequest;
        return std::lognormal_distribution<double>(std::log(m_options.tokensPerRequest) - spread * spread / 2, spread)(m_random);
    }

    std::vector<EndpointLoadReport> loadsOf(unsigned n) const
    {
        std::vector<EndpointLoadReport> loads;
        for (unsigned it = 0; it < m_options.endpointsUsed; ++it)
            loads.push_back({ .endpoint = { .id = "e" + std::to_string((n * m_options.endpointsUsed + it) % m_options.endpoints) }, .inFlight = 1, .waitingTokens = 640 });
        return loads;
    }

    static std::size_t bytesOf(const std::shared_ptr<const PeerRow>& row) { return packMessage(MessageType::PeerRow, PeerMessage { .row = *row }).payload.size(); }
    static std::size_t bytesOf(const std::shared_ptr<const ZoneMessage>& message) { return packMessage(MessageType::ZoneAggregate, message->sum).payload.size(); }
    static std::size_t bytesOf(const std::shared_ptr<const FleetMessage>& message) { return packMessage(MessageType::FleetAggregate, message->sum).payload.size(); }
    static std::size_t bytesOf(const std::shared_ptr<const SuspectUpdate>& news) { return packMessage(MessageType::SuspectNotice, *news).payload.size(); }
    static std::size_t bytesOf(const std::shared_ptr<const TeamLevels>& message) { return packMessage(MessageType::TeamLevels, *message).payload.size(); }
    static std::size_t bytesOf(Tick) { return 0; }
    static std::size_t bytesOf(Arrival) { return 0; }

    PeerRow nextRow(unsigned n)
    {
        auto& node = m_nodes[n];
        PeerRow row { .node = node.name, .lifetime = node.lifetime, .sequence = ++node.sequence, .ageMilliseconds = static_cast<std::uint32_t>(toMilliseconds(m_now - node.startedAt).count()), .zone = node.zone, .gossipAddress = node.address, .teamTotals = node.limits->ownTotals(), .loads = loadsOf(n), .suspects = node.suspects->news(m_now) };
        if (n < 3 * m_options.zones && n % m_options.zones == 0) {
            for (unsigned it = 0; it < m_options.endpointsLeaving; ++it)
                row.leavingEndpoints.push_back({ .id = "e" + std::to_string(it), .born = 1 });
        }
        return row;
    }

    void onTick(unsigned n)
    {
        auto& node = m_nodes[n];
        node.table->purgeExpired(m_now);
        auto row = nextRow(n);
        if (m_options.usesRelays)
            exchangeThroughRelays(n, row);
        else
            exchangeDirectly(n, row);
        push(n, node.relay->period(m_now), Tick {}, node.lifetime);
    }

    void exchangeDirectly(unsigned n, const PeerRow& row)
    {
        std::vector<Address> receivers;
        for (const auto& it : m_nodes[n].table->contacts())
            receivers.push_back(it.gossipAddress);
        send(n, receivers, std::make_shared<const PeerRow>(row));
    }

    void exchangeThroughRelays(unsigned n, const PeerRow& row)
    {
        auto& node = m_nodes[n];
        node.relay->setOwnRow(row, m_now);
        send(n, node.relay->rowReceivers(), std::make_shared<const PeerRow>(row));
        if (node.relay->isRelay(m_now)) {
            auto zone = node.relay->outgoingZoneAggregate(m_now);
            send(n, zone.receivers, std::make_shared<const ZoneMessage>(ZoneMessage { .sum = std::move(zone.sum) }));
            if (node.relay->isFleetAggregateDue(m_now)) {
                auto fleet = node.relay->outgoingFleetAggregate(m_now);
                send(n, fleet.receivers, std::make_shared<const FleetMessage>(FleetMessage { .sum = std::move(fleet.sum) }));
            }
        }
        node.others = node.relay->others(m_now);
        if (node.others)
            node.suspects->onPeerUpdate(node.others->sum.suspects, m_now);
        if (node.others)
            node.limits->onFleetTotals(node.others->sum.nodes, node.others->sum.silentNodes, node.others->sum.teamTotals, node.others->receivedAt);
    }

    void sendSuspects(unsigned n)
    {
        auto& node = m_nodes[n];
        bool relays = node.relay->isRelay(m_now);
        auto news = relays ? node.suspects->relayedUpdate(m_now) : node.suspects->news(m_now);
        send(n, relays ? node.relay->urgentReceivers(m_now) : node.relay->rowReceivers(), std::make_shared<const SuspectUpdate>(std::move(news)));
    }

    void send(unsigned n, const std::vector<Address>& receivers, const Message& message)
    {
        if (m_options.countsBytes)
            m_nodes[n].sentBytes += receivers.size() * std::visit([](const auto& it) { return bytesOf(it); }, message);
        for (const auto& it : receivers) {
            ++m_nodes[n].sent;
            unsigned to = it.port - 1U;
            bool lost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_options.lossFraction;
            bool isReachable = !m_nodes[n].isCutOff && !m_nodes[to].isCutOff && m_nodes[n].partition == m_nodes[to].partition;
            if (!lost && isReachable)
                push(to, Milliseconds(1 + m_random() % 5), message);
        }
    }

    FleetSimulationOptions m_options;
    std::mt19937_64 m_random;
    SteadyTime m_now { std::chrono::hours(1) };
    std::vector<Node> m_nodes {};
    std::priority_queue<Event> m_events {};
    std::uint64_t m_order { 0 };
    std::vector<Admission> m_admissions {};
};

} // namespace Onyxnotch::Tests
