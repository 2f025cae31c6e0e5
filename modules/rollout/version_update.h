// Messages about the software versions of services that nodes exchange while several versions of a service run side by side.
#pragma once

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Onyxnotch {

// Identifies the requests of one route to one version of a service.
struct VersionRoute {
    std::string service {};
    std::string version {};
    std::string route {};

    auto operator<=>(const VersionRoute&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(service, version, route); }
};

// Numbers of requests since the versions began to run side by side.
struct TrialCounts {
    std::uint32_t sent { 0 };
    std::uint32_t ended { 0 }; // All ended requests, regardless of the outcome.
    std::uint32_t good { 0 }; // Ended requests that were answered successfully and in the usual time.
    // Ended requests that failed by the endpoint's fault or were several times slower than usual. Ended requests that are neither good nor
    // bad are no evidence.
    std::uint32_t bad { 0 };

    bool operator==(const TrialCounts&) const = default;

    TrialCounts& operator+=(const TrialCounts& other)
    {
        sent += other.sent;
        ended += other.ended;
        good += other.good;
        bad += other.bad;
        return *this;
    }

    // Subtracts, but not below 0.
    TrialCounts& operator-=(const TrialCounts& other)
    {
        auto lower = [](std::uint32_t& value, std::uint32_t by) { value -= by < value ? by : value; };
        lower(sent, other.sent);
        lower(ended, other.ended);
        lower(good, other.good);
        lower(bad, other.bad);
        return *this;
    }

    std::uint32_t running() const { return sent > ended ? sent - ended : 0; }

    template <class Archive>
    void serialize(Archive& archive) { archive(sent, ended, good, bad); }
};

using VersionTrials = std::map<VersionRoute, TrialCounts>;

// Share of a service's requests that may go to the target version of a rollout. Published by the node that holds the singleton duties.
struct VersionShare {
    std::string service {};
    std::string version {}; // Target version. Empty if no rollout is active; then all versions may be used alike.
    double share { 0 }; // 0 to 1; at 1 no requests go to any other version.
    // Time of the rollout order, in milliseconds since 1970 as agreed between the nodes. Distinguishes orders of the same version.
    std::uint64_t orderedAt { 0 };
    std::uint64_t publishedAt { 0 }; // When this share was published, in the same unit. The latest one is in force.

    bool operator==(const VersionShare&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(service, version, share, orderedAt, publishedAt); }
};

// A version that a node has found bad during a rollout. No more requests are sent to it.
struct StoppedVersion {
    std::string service {};
    std::string version {};
    std::uint64_t orderedAt { 0 };

    auto operator<=>(const StoppedVersion&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(service, version, orderedAt); }
};

// The complete version state that a node, or the aggregate of a group of nodes, sends. Empty while every service runs a single version.
struct VersionUpdate {
    VersionTrials trials {};
    std::vector<VersionShare> shares {};
    std::vector<StoppedVersion> stopped {};

    bool operator==(const VersionUpdate&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(trials, shares, stopped); }
};

inline void mergeTrials(VersionTrials& sum, const VersionTrials& other)
{
    for (const auto& [route, counts] : other)
        sum[route] += counts;
}

// Merges `other` into `sum`: counts are added, stopped versions united, and for each service the share published last is kept.
inline void mergeUpdate(VersionUpdate& sum, const VersionUpdate& other)
{
    mergeTrials(sum.trials, other.trials);
    for (const auto& share : other.shares) {
        auto known = sum.shares.begin();
        while (known != sum.shares.end() && known->service != share.service)
            ++known;
        if (known == sum.shares.end())
            sum.shares.push_back(share);
        else if (share.publishedAt > known->publishedAt)
            *known = share;
    }
    for (const auto& it : other.stopped) {
        bool isKnown = false;
        for (const auto& known : sum.stopped)
            isKnown = isKnown || known == it;
        if (!isKnown)
            sum.stopped.push_back(it);
    }
}

} // namespace Onyxnotch
