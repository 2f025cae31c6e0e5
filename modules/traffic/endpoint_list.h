// The endpoints as the platform's list tells them, as immutable values.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "modules/traffic/endpoint_life.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Onyxnotch {

// One life of an endpoint, as its entry tells.
struct ListedEndpoint {
    std::string id {};
    std::uint64_t born { 0 }; // See EndpointLife.
    std::string service {};
    Address address {};
    std::string zone {};
    std::string version {}; // Of its software.
    unsigned slots { 1 };
    bool leaving { false };
    bool reclaimable { false }; // It may be taken away with little notice.
    std::optional<Milliseconds> leavesIn {}; // From when the entry was read, where the platform said so.

    bool operator==(const ListedEndpoint&) const = default;
    EndpointLife life() const { return { .id = id, .born = born }; }
};

struct EndpointList {
    std::uint64_t revision { 0 }; // Of the platform's store.
    std::map<std::string, ListedEndpoint> endpoints {}; // By id; those that have gone are left out.

    bool operator==(const EndpointList&) const = default;
};

} // namespace Onyxnotch
