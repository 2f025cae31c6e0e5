// Which life of an endpoint is meant: a restart under the same id knows and holds nothing of the life before.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace Onyxnotch {

struct EndpointLife {
    std::string id {};
    std::uint64_t born { 0 }; // When it started, in milliseconds since 1970 as it says itself; 0 where it says nothing: the oldest life.

    auto operator<=>(const EndpointLife&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(id, born); }
};

// The same in every process of a fleet. A life that names no start hashes as its id alone.
inline std::uint64_t hashOf(const EndpointLife& life) { return std::hash<std::string> {}(life.id) ^ life.born * 0x9e3779b97f4a7c15U; }

} // namespace Onyxnotch
