// What limited endpoints take, shared by the nodes that give credits for it: a credit is one request. Each of them has a bucket for each
// such endpoint that fills at the whole rate and is drained by what all of them give, its own at once and the others' as they tell. What
// they have not told yet nobody can see: where many ask, each ask gets a credit by chance, so that all together are expected to give no more
// than there is until they hear of each other. A pure state machine, with the time passed in.
#pragma once

#include "core/clock.h"
#include "modules/traffic/endpoint_life.h"
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Onyxnotch {

struct EndpointCreditsOptions {
    // What is saved up while nobody asks.
    double savedRequests { 1.3 };
    double savedSeconds { 0.7 }; // Of the rate, beyond that.
    // Within which what one node gives is known to the others: they are told at once, and may be busy.
    Milliseconds newsTime { 100 };
    Milliseconds askMemory { 500 }; // Asks are counted over such a time.
    // At least so many a second are expected: those of endpoints that are lost or named a limit as well come in the same moment.
    double leastAsksPerSecond { 30 };
    double longestDebtSeconds { 4 }; // Of the rate, that an overshoot is paid back for.
    Milliseconds freshFor { 1500 }; // For so long a node's asks count as told.
    // A node that begins to count cannot tell what others gave before, from what they give now.
    Milliseconds startTime { 500 };
    Milliseconds spareFor { 500 }; // A credit that was given back may be used by another request for so long.
    // An endpoint that takes nothing is asked this often all the same: nobody would hear otherwise that it takes something again.
    double leastPerSecond { 0.1 };
};

// What a node tells of its credits for one endpoint.
struct CreditUse {
    std::uint64_t endpoint { 0 }; // The hash of its life.
    std::uint64_t given { 0 }; // In this life of the node; only grows.
    double asksPerSecond { 0 };

    bool operator==(const CreditUse&) const = default;

    bool isSound() const
    {
        constexpr double mostAsks = 1e9;
        return asksPerSecond >= 0 && asksPerSecond <= mostAsks;
    }

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint, given, asksPerSecond); }
};

class EndpointCredits {
public:
    explicit EndpointCredits(const EndpointCreditsOptions& options = {}, std::uint64_t seed = std::random_device {}())
        : m_options(options)
        , m_random(seed)
    {
    }

    // From now on; empty: it takes everything.
    void setLimit(const EndpointLife&, std::optional<double> perSecond, SteadyTime now);
    void forget(const EndpointLife&);
    // A request is to be sent there; `asks` have wanted it since the last call. Returns whether it may.
    bool take(const EndpointLife&, double asks, SteadyTime now);
    // It was not sent.
    void giveBack(const EndpointLife&, SteadyTime now);
    // When there should be a credit; not later than `now` where there is one.
    SteadyTime nextAt(const EndpointLife&, SteadyTime now) const;
    // For nodes that are farther apart, or nearer.
    void setNewsTime(Milliseconds newsTime) { m_options.newsTime = newsTime; }
    // Of the nodes that were there lately, those that speak. What the others give is not seen, and is left to them.
    void setSpeakingPart(double part) { m_speakingPart = part; }
    // Of the endpoints that are limited, at most so many: others each time.
    std::vector<CreditUse> takeUses(std::size_t most, SteadyTime now);
    void onUses(const std::string& node, std::uint64_t lifetime, const std::vector<CreditUse>&, SteadyTime now);

private:
    struct Bucket {
        double perSecond { 0 };
        bool isLimited { false };
        double level { 0 };
        SteadyTime updatedAt {};
        SteadyTime startedAt {};
        double asksPerSecond { 0 }; // Of this node, fading.
        SteadyTime askedAt {};
        std::uint64_t given { 0 };
        unsigned spare { 0 };
        SteadyTime spareUntil {};
    };

    struct PeerUse {
        std::uint64_t given { 0 };
        double asksPerSecond { 0 };
    };

    struct Peer {
        std::uint64_t lifetime { 0 };
        SteadyTime heardAt {};
        std::map<std::uint64_t, PeerUse> uses {};
    };

    double filled(const Bucket&) const; // A second.
    double mostSaved(const Bucket&) const;
    double levelAt(const Bucket&, SteadyTime now) const;
    double ownAsks(const Bucket&, SteadyTime now) const;
    double allAsks(std::uint64_t endpoint, const Bucket&, SteadyTime now) const;
    void drain(Bucket&, double credits, SteadyTime now) const;

    EndpointCreditsOptions m_options;
    std::mt19937_64 m_random;
    double m_speakingPart { 1 };
    std::map<std::uint64_t, Bucket> m_buckets {}; // By the hash of the life.
    std::map<std::string, Peer> m_peers {};
    std::uint64_t m_lastTold { 0 };
};

} // namespace Onyxnotch
