// Grants credits for endpoints that advertise a rate limit; one credit permits one request. Each node that grants credits has a token
// bucket per limited endpoint. The bucket fills at the endpoint's complete rate, and is charged for the node's own grants immediately and
// for those of the other nodes when their reports arrive. Grants that have not been reported yet are unknown. If the expected requests
// within the propagation time exceed the bucket's level, a request is granted a credit only with a probability, so that all nodes
// together are expected to grant no more than is available. A pure state machine; the current time is passed in. Not thread-safe.
#pragma once

#include "core/clock.h"
#include "modules/traffic/endpoint_incarnation.h"
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Onyxnotch {

struct EndpointCreditsOptions {
    // Bucket size: credits that accumulate while there are no requests.
    double burstCredits { 1.3 };
    double burstSeconds { 0.7 }; // Additional bucket size, in seconds of the rate.
    // Time within which the other nodes receive a report of a grant: it is sent immediately, but the nodes may be busy.
    Milliseconds propagationTime { 100 };
    Milliseconds requestRateDecay { 500 }; // Time constant of the exponential decay of the measured request rate.
    // Lower bound of the expected request rate over all nodes: when endpoints fail or advertise a limit as well, their requests all move
    // here at the same moment.
    double minCreditRequestsPerSecond { 30 };
    double maxDebtSeconds { 4 }; // Maximum debt after an overshoot, in seconds of the rate.
    Milliseconds freshFor { 1500 }; // The request rate that another node reported is used for this duration after its last report.
    // A new bucket isn't charged for the first report of another node within this period: the report doesn't say how many of its credits
    // were granted before the bucket existed.
    Milliseconds startupPeriod { 500 };
    Milliseconds returnedCreditLifetime { 500 }; // A returned credit may be used by another request for this duration.
    // Lower bound of the credit rate: without any request, no node would learn that an endpoint with a limit of 0 has raised it.
    double minCreditsPerSecond { 0.1 };
};

// What a node reports to the others about its credits for one endpoint.
struct CreditUse {
    std::uint64_t endpoint { 0 }; // Hash of the endpoint's incarnation.
    std::uint64_t granted { 0 }; // Credits granted by this incarnation of the node; never decreases.
    double creditRequestsPerSecond { 0 };

    bool operator==(const CreditUse&) const = default;

    bool isSound() const
    {
        constexpr double maxRequestsPerSecond = 1e9;
        return creditRequestsPerSecond >= 0 && creditRequestsPerSecond <= maxRequestsPerSecond;
    }

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint, granted, creditRequestsPerSecond); }
};

class EndpointCredits {
public:
    explicit EndpointCredits(const EndpointCreditsOptions& options = {}, std::uint64_t seed = std::random_device {}())
        : m_options(options)
        , m_random(seed)
    {
    }

    // Sets the endpoint's limit as of `now`; no value means unlimited.
    void setLimit(const EndpointIncarnation&, std::optional<double> perSecond, SteadyTime now);
    void forget(const EndpointIncarnation&);
    // Takes a credit for one request to the endpoint. `creditRequests` is the number of new credit requests since the last call, for the
    // measured rate. Returns true if the request may be sent.
    bool take(const EndpointIncarnation&, double creditRequests, SteadyTime now);
    // Returns a credit whose request was not sent.
    void refundCredit(const EndpointIncarnation&, SteadyTime now);
    // Expected time of the next credit; `now` if one is available or none is needed.
    SteadyTime nextCreditAt(const EndpointIncarnation&, SteadyTime now) const;
    // Sets the propagation time, which depends on the distance between the nodes.
    void setPropagationTime(Milliseconds propagationTime) { m_options.propagationTime = propagationTime; }
    // Sets the share of recently known nodes that are reachable, between 0 and 1. Grants of the unreachable nodes are unknown, so the
    // rate is reduced to this share.
    void setReachableShare(double share) { m_reachableShare = share; }
    // Returns the state of at most `maxCount` limited endpoints to send to other nodes. Successive calls rotate through all of them.
    std::vector<CreditUse> nextUsesToSend(std::size_t maxCount, SteadyTime now);
    void onPeerUses(const std::string& node, std::uint64_t lifetime, const std::vector<CreditUse>&, SteadyTime now);

private:
    struct Bucket {
        double perSecond { 0 };
        bool isLimited { false };
        double level { 0 };
        SteadyTime updatedAt {};
        SteadyTime startedAt {};
        double creditRequestsPerSecond { 0 }; // Requests at this node, decayed exponentially since `requestedAt`.
        SteadyTime requestedAt {};
        std::uint64_t granted { 0 };
        unsigned returnedCredits { 0 };
        SteadyTime returnedCreditsExpireAt {};
    };

    struct PeerUse {
        std::uint64_t granted { 0 };
        double creditRequestsPerSecond { 0 };
    };

    struct Peer {
        std::uint64_t lifetime { 0 };
        SteadyTime receivedAt {};
        std::map<std::uint64_t, PeerUse> uses {};
    };

    double creditsPerSecond(const Bucket&) const; // Credits per second.
    double maxLevel(const Bucket&) const;
    double levelAt(const Bucket&, SteadyTime now) const;
    double ownRequestRate(const Bucket&, SteadyTime now) const;
    double totalRequestRate(std::uint64_t endpoint, const Bucket&, SteadyTime now) const;
    void charge(Bucket&, double credits, SteadyTime now) const;

    EndpointCreditsOptions m_options;
    std::mt19937_64 m_random;
    double m_reachableShare { 1 };
    std::map<std::uint64_t, Bucket> m_buckets {}; // Keyed by the hash of the endpoint's incarnation.
    std::map<std::string, Peer> m_peers {};
    std::uint64_t m_lastSent { 0 };
};

} // namespace Onyxnotch
