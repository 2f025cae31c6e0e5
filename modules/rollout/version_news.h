// What nodes tell each other about the versions of a service's software while two of them run side by side.
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

// Requests of one route to one version.
struct VersionRoute {
    std::string service {};
    std::string version {};
    std::string route {};

    auto operator<=>(const VersionRoute&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(service, version, route); }
};

// Counted since the versions have run side by side.
struct TrialCounts {
    std::uint32_t sent { 0 };
    std::uint32_t ended { 0 }; // However it ended.
    std::uint32_t good { 0 }; // Of those, answered well and in a usual time,
    std::uint32_t bad { 0 }; // or with a failure of the endpoint's own, or several times slower. The others are no evidence.

    bool operator==(const TrialCounts&) const = default;

    TrialCounts& operator+=(const TrialCounts& other)
    {
        sent += other.sent;
        ended += other.ended;
        good += other.good;
        bad += other.bad;
        return *this;
    }

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

// What part of a service's requests may go to the version that a roll-out moves to. Told by the node that holds the duties.
struct VersionShare {
    std::string service {};
    std::string version {}; // Empty where no roll-out runs: then all versions may be used alike.
    double share { 0 }; // 0 to 1; at 1 nothing goes to any other version.
    std::uint64_t orderedAt { 0 }; // Milliseconds since 1970 as agreed between the nodes: which order of the version is meant.
    std::uint64_t toldAt { 0 }; // The same of this word: a later one counts.

    bool operator==(const VersionShare&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(service, version, share, orderedAt, toldAt); }
};

// A node has found the version to be bad and sends nothing more there.
struct StoppedVersion {
    std::string service {};
    std::string version {};
    std::uint64_t orderedAt { 0 };

    auto operator<=>(const StoppedVersion&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(service, version, orderedAt); }
};

// All of it, as a node or a group of nodes tells it. Empty while every service runs one version.
struct VersionNews {
    VersionTrials trials {};
    std::vector<VersionShare> shares {};
    std::vector<StoppedVersion> stopped {};

    bool operator==(const VersionNews&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(trials, shares, stopped); }
};

inline void addTrials(VersionTrials& sum, const VersionTrials& other)
{
    for (const auto& [route, counts] : other)
        sum[route] += counts;
}

// Of two shares of a service, the later word counts.
inline void addNews(VersionNews& sum, const VersionNews& other)
{
    addTrials(sum.trials, other.trials);
    for (const auto& share : other.shares) {
        auto known = sum.shares.begin();
        while (known != sum.shares.end() && known->service != share.service)
            ++known;
        if (known == sum.shares.end())
            sum.shares.push_back(share);
        else if (share.toldAt > known->toldAt)
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
