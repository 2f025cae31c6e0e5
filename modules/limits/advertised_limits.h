// Rate limits that endpoints advertise in their answers, in requests per second from all nodes together. A limit holds until a later
// answer replaces it. Limits are kept by endpoint incarnation, independent of the list of endpoints, and merged from the answers that all
// nodes received. A pure state machine. Not thread-safe.
#pragma once

#include "modules/traffic/endpoint_incarnation.h"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Onyxnotch {

// Rate of an endpoint that advertises no limit; a higher advertised limit counts as none.
constexpr double unlimitedPerSecond = 1e6;

// The limit that one answer advertised. Timestamps are milliseconds on the clock that the nodes of the fleet agree on.
struct AdvertisedLimit {
    EndpointIncarnation endpoint {};
    double perSecond { unlimitedPerSecond };
    std::uint64_t sentAt { 0 }; // Time at which the request was sent whose answer advertised the limit.
    std::uint64_t receivedAt { 0 }; // Time at which that answer was received.

    bool operator==(const AdvertisedLimit&) const = default;

    bool isLimited() const { return perSecond < unlimitedPerSecond; }
    // Returns whether the values are usable: times are calculated from the rate.
    bool isSound() const { return perSecond >= 0 && perSecond <= unlimitedPerSecond && !endpoint.id.empty(); }

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint, perSecond, sentAt, receivedAt); }
};

// Returns which of two advertised limits of the same incarnation is in force. Each was advertised at an unknown time between `sentAt` and
// `receivedAt`. If these intervals overlap, the order is unknown and the lower limit is in force; otherwise the later one.
AdvertisedLimit mergeLimits(const AdvertisedLimit&, const AdvertisedLimit&);

struct AdvertisedLimitsOptions {
    // How long an entry without a limit, or of an endpoint that is not in use, is kept: an older answer may arrive this late.
    std::uint64_t retentionMilliseconds { 60000 };
    std::size_t most { 4096 }; // Maximum number of endpoints. Limits of further endpoints are ignored.
};

class AdvertisedLimits {
public:
    explicit AdvertisedLimits(const AdvertisedLimitsOptions& options = {})
        : m_options(options)
    {
    }

    // Records an advertised limit. Returns true if the limit in force changed.
    bool update(const AdvertisedLimit&);
    // The limit in force; no value if the endpoint is unlimited.
    std::optional<double> perSecond(const EndpointIncarnation&) const;
    bool hasEntry(const EndpointIncarnation& life) const { return m_limits.contains(life); }
    bool isEmpty() const { return m_limits.empty(); }
    std::size_t limitedCount() const;
    // Returns at most `maxCount` entries to send to other nodes. Successive calls rotate through all of them.
    std::vector<AdvertisedLimit> nextToSend(std::size_t maxCount);
    // Returns the entry of one incarnation, also if it says that there is no limit.
    std::optional<AdvertisedLimit> find(const EndpointIncarnation&) const;
    // Removes expired entries and returns their incarnations.
    std::vector<EndpointIncarnation> removeExpired(std::uint64_t fleetMilliseconds, const std::function<bool(const EndpointIncarnation&)>& isUsed);

private:
    AdvertisedLimitsOptions m_options;
    std::map<EndpointIncarnation, AdvertisedLimit> m_limits {};
    EndpointIncarnation m_lastSent {};
};

} // namespace Onyxnotch
