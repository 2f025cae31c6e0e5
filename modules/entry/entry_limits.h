// Shares the request rate limits that endpoints advertise among the nodes of the fleet: a request to a limited endpoint needs a credit
// (EndpointLimits). Sends and receives limit updates, credit requests, their answers and returned credits. Runs on the request thread.
//
// In a fleet small enough for every node to send to every other one, each node grants credits to its own requests. In a larger fleet only
// the relay nodes grant credits, to the nodes of their availability zone: 300 nodes cannot share a limit of one request per second on the
// basis of updates that are 250 ms old, but a few relay nodes that update each other within milliseconds can. A node requests a credit from
// one relay node of its zone, with one datagram, and only for an endpoint that advertised a limit.
#pragma once

#include "core/steady_timer.h"
#include "modules/forward/forward_context.h"
#include "modules/peers/limit_messages.h"
#include "modules/peers/peer_exchange.h"
#include <memory>

namespace Onyxnotch {

struct EntryLimitsOptions {
    std::string node {};
    std::uint64_t lifetime { 0 };
    Milliseconds directUpdateTime { 100 }; // Time until granted credits are known to the nodes that send to each other directly,
    Milliseconds relayUpdateTime { 200 }; // and to relay nodes, which may be in other regions.
    Milliseconds minimumUpdateInterval { 20 }; // Minimum time between two updates; changes in between go out with the next one.
    Milliseconds answerTimeout { 60 }; // Long enough for a busy relay node of the same zone.
    // No requests to an endpoint for this long after a relay node left a credit request for it unanswered.
    Milliseconds unansweredBackoff { 250 };
    Milliseconds minimumDenialTime { 20 }; // Shortest wait after a denied credit before the next credit request for the endpoint,
    Milliseconds maximumDenialTime { 2000 }; // and the longest one, however low the limit is.
    unsigned limitUpdatePeriods { 4 }; // With relay nodes: gossip periods between repeated limit updates; changes are sent immediately.
};

class EntryLimits {
public:
    EntryLimits(asio::io_context&, ForwardContext&, PeerExchange&, FleetRelay&, const EntryLimitsOptions&);

    // Called once per gossip period. `aliveShare`: number of nodes that currently send messages, divided by the number of nodes seen
    // recently (0 to 1).
    void tick(bool usesRelays, double aliveShare, SteadyTime now);
    // Sends the known limits to a node that has just started.
    void sendInitialUpdate(const Address&);
    // Sends the known limits to the other nodes, at once or when the minimum time since the last update is over.
    void scheduleUpdate() { scheduleUpdate(true); }
    void onLimitUpdate(const LimitUpdate&);
    void onCreditRequest(const CreditRequest&, const Address& from);
    void onCreditAnswer(const CreditAnswer&, const Address& from);
    void onCreditReturn(const CreditReturn&);
    // Returns whether one request may be sent to the endpoint; asks a relay node if this node does not grant credits.
    asio::awaitable<bool> acquireCredit(EndpointIncarnation);
    // Returns the credit of a request that was never sent.
    void releaseCredit(const EndpointIncarnation&);

private:
    // A credit request that was sent to a relay node and is not answered yet.
    struct PendingRequest {
        explicit PendingRequest(asio::io_context& context)
            : timer(context)
        {
        }

        SteadyTimer timer;
        std::optional<CreditAnswer> answer {};
    };

    EndpointLimits& limits() { return m_forward.endpoints.limits(); }
    void scheduleUpdate(bool includeLimits);
    void sendUpdate(bool includeLimits);
    // Builds an update with the limits known to this node, the credits that it granted, or both.
    LimitUpdate buildUpdate(bool includeLimits, bool includeUses, SteadyTime now);
    // Requests a credit from a relay node and waits for the answer; false if it is denied or not answered in time.
    asio::awaitable<bool> acquireFromRelay(EndpointIncarnation);
    // How long a node whose credit request is denied has to wait before the next one; randomized, so that nodes do not retry together.
    Milliseconds denialTime(const EndpointIncarnation&, SteadyTime now);

    asio::io_context& m_context;
    ForwardContext& m_forward;
    PeerExchange& m_exchange;
    FleetRelay& m_relay;
    EntryLimitsOptions m_options;
    bool m_usesRelays { false };
    bool m_isUpdateScheduled { false };
    SteadyTime m_lastUpdateAt {};
    bool m_nextUpdateHasLimits { false };
    unsigned m_ticks { 0 };
    std::uint64_t m_lastRequestNumber;
    // Credit requests that were not answered, so far. Selects the relay node to ask, so that each failure moves on to the next one.
    std::size_t m_unansweredCount { 0 };
    // By endpoint: requests that needed a credit since the last credit request was sent.
    std::map<EndpointIncarnation, std::uint32_t> m_unreportedRequests {};
    std::map<std::uint64_t, std::shared_ptr<PendingRequest>> m_pendingRequests {};
};

} // namespace Onyxnotch
