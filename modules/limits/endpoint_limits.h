// Rate limits that endpoints advertise, as known to one node, and the credits that requests to these endpoints need. A node grants
// credits itself or requests them from another node (in a large fleet, from a relay node of its availability zone). Used by the request
// thread only.
#pragma once

#include "modules/limits/advertised_limits.h"
#include "modules/limits/endpoint_credits.h"

namespace Onyxnotch {

// Message between nodes with advertised limits and granted credits.
struct LimitUpdate {
    std::string node {};
    std::uint64_t lifetime { 0 };
    std::vector<AdvertisedLimit> limits {};
    std::vector<CreditUse> uses {};

    bool operator==(const LimitUpdate&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(node, lifetime, limits, uses); }
};

struct EndpointLimitsOptions {
    AdvertisedLimitsOptions advertised {};
    EndpointCreditsOptions credits {};
    // Maximum entries of one message, about 4 kB and 3 kB. If there are more, successive messages rotate through them.
    std::size_t limitsPerMessage { 64 };
    std::size_t usesPerMessage { 128 };
    // An advertised limit whose timestamps lie further in the future than this comes from a node with a wrong clock, and is ignored: it
    // would override all limits that are advertised until then.
    std::uint64_t maxClockLeadMilliseconds { 500 };
};

class EndpointLimits {
public:
    explicit EndpointLimits(const EndpointLimitsOptions& options = {}, std::uint64_t seed = std::random_device {}())
        : m_options(options)
        , m_limits(options.advertised)
        , m_credits(options.credits, seed)
    {
    }

    // Records an advertised limit. Returns true if the limit in force changed.
    bool onAdvertisedLimit(const AdvertisedLimit&, SteadyTime now);
    // Records the advertised limits and the granted credits that another node reports. `fleetMilliseconds` is the current time on the
    // clock that the fleet agrees on. Returns true if a limit in force changed.
    bool onPeerUpdate(const LimitUpdate&, std::uint64_t fleetMilliseconds, SteadyTime now);
    bool knows(const EndpointIncarnation& life) const { return m_limits.hasEntry(life); }
    std::optional<AdvertisedLimit> advertisedLimit(const EndpointIncarnation& life) const { return m_limits.find(life); }
    std::optional<double> perSecond(const EndpointIncarnation& life) const { return m_limits.perSecond(life); }
    bool isLimited(const EndpointIncarnation& life) const { return m_limits.perSecond(life).has_value(); }
    std::size_t limited() const { return m_limits.limitedCount(); }
    bool isEmpty() const { return m_limits.isEmpty(); }

    // Whether this node grants credits itself instead of requesting them from another node.
    void setGrantsCredits(bool grantsCredits) { m_grantsCredits = grantsCredits; }
    bool grantsCredits() const { return m_grantsCredits; }
    void setPropagationTime(Milliseconds propagationTime) { m_credits.setPropagationTime(propagationTime); }
    void setReachableShare(double share) { m_credits.setReachableShare(share); }
    bool take(const EndpointIncarnation& life, double creditRequests, SteadyTime now) { return m_credits.take(life, creditRequests, now); }
    void refundCredit(const EndpointIncarnation& life, SteadyTime now) { m_credits.refundCredit(life, now); }
    // The node that grants credits has none for this endpoint before `until`.
    void onCreditDenied(const EndpointIncarnation& life, SteadyTime until) { m_deniedUntil[life] = until; }
    // Earliest time at which a request to the endpoint may get a credit; `now` if it may get one immediately or needs none.
    SteadyTime creditAt(const EndpointIncarnation&, SteadyTime now) const;
    // Expected time of the next credit in this node's own bucket, whether or not the node grants credits.
    SteadyTime nextCredit(const EndpointIncarnation& life, SteadyTime now) const { return m_credits.nextCreditAt(life, now); }

    std::vector<AdvertisedLimit> limitsToSend() { return m_limits.nextToSend(m_options.limitsPerMessage); }
    std::vector<CreditUse> creditUsesToSend(SteadyTime now) { return m_credits.nextUsesToSend(m_options.usesPerMessage, now); }
    void purgeExpired(std::uint64_t fleetMilliseconds, const std::function<bool(const EndpointIncarnation&)>& isUsed, SteadyTime now);

private:
    EndpointLimitsOptions m_options;
    AdvertisedLimits m_limits;
    EndpointCredits m_credits;
    std::map<EndpointIncarnation, SteadyTime> m_deniedUntil {};
    bool m_grantsCredits { true };
};

} // namespace Onyxnotch
