// Identifies one incarnation of an endpoint: its id plus its start time. An endpoint that restarts under the same id has no state from
// before the restart.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Onyxnotch {

struct EndpointIncarnation {
    std::string id {};
    // Start time in milliseconds since 1970, as the endpoint reports it; 0 if it does not, which counts as the oldest incarnation.
    std::uint64_t born { 0 };

    auto operator<=>(const EndpointIncarnation&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(id, born); }
};

// Returns the same hash in every process of a fleet. An incarnation without a start time has the hash of its id alone.
inline std::uint64_t hashOf(const EndpointIncarnation& life) { return std::hash<std::string> {}(life.id) ^ life.born * 0x9e3779b97f4a7c15U; }

} // namespace Onyxnotch
