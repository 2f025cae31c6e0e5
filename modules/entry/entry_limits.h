// How the nodes share what limited endpoints take (EndpointLimits): who gives credits, and what is told when. Belongs to the request thread.
//
// Up to the size at which each node tells every other one, each gives credits itself. In a larger fleet the relays do, for the nodes of their
// zones: an endpoint that takes one request a second leaves 300 nodes nothing to share out by news that are a quarter of a second old, and
// few nodes that hear of each other within moments can. A node asks the first of its relays, with one datagram, and only for an endpoint that
// named a limit.
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
    Milliseconds newsTime { 100 }; // Within which nodes that tell each other know what one has given,
    Milliseconds newsTimeOfRelays { 200 }; // and relays, which may be in other regions.
    Milliseconds apart { 20 }; // News that are told at once: what is given or heard meanwhile goes with the next.
    Milliseconds answersWithin { 60 }; // A relay of the own zone, even if it is busy.
    Milliseconds avoidedFor { 250 }; // An endpoint for which no relay answered.
    Milliseconds leastDenial { 20 };
    Milliseconds longestDenial { 2000 }; // Then a relay is asked again, however seldom there is a credit.
    unsigned wordsEvery { 4 }; // Gossip periods, in a fleet with relays: all nodes are told what changes at once.
};

class EntryLimits {
public:
    EntryLimits(asio::io_context&, ForwardContext&, PeerExchange&, FleetRelay&, const EntryLimitsOptions&);

    // Each gossip period. `speakingPart`: of the nodes that were there lately, those that speak.
    void tick(bool usesRelays, double speakingPart, SteadyTime now);
    // A node has started.
    void greet(const Address&);
    void tellSoon() { tellSoon(true); }
    void onNews(const LimitNews&);
    void onAsk(const CreditAsk&, const Address& from);
    void onAnswer(const CreditAnswer&, const Address& from);
    void onReturn(const CreditReturn&);
    asio::awaitable<bool> take(EndpointLife);
    void giveBack(const EndpointLife&);

private:
    // An ask that has not been answered.
    struct Pending {
        explicit Pending(asio::io_context& context)
            : timer(context)
        {
        }

        SteadyTimer timer;
        std::optional<CreditAnswer> answer {};
    };

    EndpointLimits& limits() { return m_forward.endpoints.limits(); }
    void tellSoon(bool words);
    void tell(bool words);
    LimitNews news(bool words, bool uses, SteadyTime now);
    asio::awaitable<bool> takeFromRelay(EndpointLife);
    Milliseconds denial(const EndpointLife&, SteadyTime now);

    asio::io_context& m_context;
    ForwardContext& m_forward;
    PeerExchange& m_exchange;
    FleetRelay& m_relay;
    EntryLimitsOptions m_options;
    bool m_usesRelays { false };
    bool m_isTelling { false };
    SteadyTime m_toldAt {};
    bool m_tellsWords { false };
    unsigned m_ticks { 0 };
    std::uint64_t m_lastAsk;
    std::size_t m_mute { 0 }; // Relays that did not answer so far: the next one is asked.
    std::map<EndpointLife, std::uint32_t> m_untoldAsks {}; // Since the relay was last asked for that endpoint.
    std::map<std::uint64_t, std::shared_ptr<Pending>> m_pending {};
};

} // namespace Onyxnotch
