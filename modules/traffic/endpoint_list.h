// The list of endpoints as the platform's store has it, as immutable values.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "modules/traffic/endpoint_incarnation.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Onyxnotch {

// One incarnation of an endpoint, as its entry in the store describes it.
struct ListedEndpoint {
    std::string id {};
    std::uint64_t born { 0 }; // Start time in milliseconds since 1970; see EndpointIncarnation.
    std::string service {};
    Address address {};
    std::string zone {};
    std::string version {}; // Version of the endpoint's software.
    unsigned slots { 1 }; // Requests that the endpoint executes at the same time.
    bool leaving { false }; // The endpoint is draining.
    bool reclaimable { false }; // The instance is preemptible: it may be reclaimed at short notice.
    // Time until the endpoint is removed, counted from when the entry was read; nullopt if the platform gives none.
    std::optional<Milliseconds> leavesIn {};

    bool operator==(const ListedEndpoint&) const = default;
    EndpointIncarnation life() const { return { .id = id, .born = born }; }
};

struct EndpointList {
    std::uint64_t revision { 0 }; // Revision of the platform's store.
    std::map<std::string, ListedEndpoint> endpoints {}; // By endpoint id; removed endpoints are not included.

    bool operator==(const EndpointList&) const = default;
};

} // namespace Onyxnotch
