// Message between nodes about requests that are suspected of crashing endpoints, and functions to merge and limit such messages.
#pragma once

#include "modules/suspects/request_digest.h"
#include <cereal/types/vector.hpp>
#include <vector>

namespace Onyxnotch {

// Compact id of an availability zone in messages about requests. Never 0, which stands for an unknown zone.
inline std::uint16_t zoneHash(std::string_view zone)
{
    constexpr std::uint64_t values = 0xffff;
    return static_cast<std::uint16_t>(1 + fastHash(zone) % values);
}

// Reports that a request was running at an endpoint when that incarnation of the endpoint ended unannounced.
struct EndReport {
    RequestDigest request {};
    std::uint64_t life { 0 }; // Hash of the endpoint's incarnation.
    std::uint16_t zone { 0 }; // Hash of the endpoint's availability zone; 0 if unknown.

    auto operator<=>(const EndReport&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(request, life, zone); }
};

// A request that no node sends to an endpoint.
struct BlockedRequest {
    RequestDigest request {};
    // Incremented each time the request is blocked again because a trial ended one more endpoint; 0 for the first block.
    std::uint16_t round { 0 };
    std::uint32_t ageSeconds { 0 }; // Time since the request was blocked in this round.
    // The request was answered well before it began to end endpoints: answers to copies sent before then don't lift the block.
    bool wasKnownGood { false };

    bool operator==(const BlockedRequest&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(request, round, ageSeconds, wasKnownGood); }
};

// A request that an endpoint answered well after it was suspected.
struct ClearedRequest {
    RequestDigest request {};
    std::uint32_t sentAgoMilliseconds { 0 }; // Time since the answered copy was sent: endpoint ends after that time aren't cleared.

    auto operator<=>(const ClearedRequest&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(request, sentAgoMilliseconds); }
};

// Everything that a node or a group of nodes reports about suspected requests. Empty while no endpoints end unannounced.
struct SuspectUpdate {
    std::vector<EndReport> reports {}; // Endpoint ends of the last seconds.
    std::vector<BlockedRequest> blocked {};
    std::vector<ClearedRequest> cleared {}; // Recently suspected requests that an endpoint has answered well since.
    std::vector<RequestDigest> knownGood {}; // Known good requests: suspected now, but an endpoint answered them well shortly before.

    bool operator==(const SuspectUpdate&) const = default;
    bool empty() const { return reports.empty() && blocked.empty() && cleared.empty() && knownGood.empty(); }

    template <class Archive>
    void serialize(Archive& archive) { archive(reports, blocked, cleared, knownGood); }
};

// Maximum entries of one message. They are the same for the message of a group as for that of one node, whatever the size of the fleet.
struct SuspectUpdateLimits {
    // 22 bytes each. The loss of a zone causes more reports than fit; reports of requests with the most ended incarnations are kept.
    std::size_t reports { 64 };
    // 19 bytes each; the newest are kept. The others are in the store, and known to the nodes that already received them.
    std::size_t blocked { 64 };
    std::size_t cleared { 32 }; // 16 bytes each.
    std::size_t knownGood { 32 }; // 12 bytes each.
};

// Appends the entries of `other` to `sum`. Duplicates remain until truncateUpdate() is called.
void mergeUpdate(SuspectUpdate& sum, const SuspectUpdate& other);
// Removes duplicates, and entries beyond the limits. The most important entries are kept.
void truncateUpdate(SuspectUpdate&, const SuspectUpdateLimits& limits = {});

} // namespace Onyxnotch
