// Value types for the objects in the platform's store (ObjectStore).
#pragma once

#include "core/outcome.h"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Onyxnotch {

struct StoreObject {
    std::string name {};
    std::uint64_t revision { 0 }; // Of the object's last write.
    bool deleted { false };
    nlohmann::json value {};
    nlohmann::json status {}; // Set by ObjectStore::recordStatus(); null if never set.

    bool operator==(const StoreObject&) const = default;
};

// All objects of a kind, or the changed ones, as of a revision of the store.
struct StoreObjects {
    std::uint64_t revision { 0 };
    std::vector<StoreObject> objects {};
    unsigned unnamed { 0 }; // Number of objects that were left out because not even their name could be read.
};

struct StorePage {
    StoreObjects objects {};
    bool more { false }; // Whether more pages follow.
};

// Kinds of objects in the store. The adapter maps them to the names that the platform uses.
enum class StoreKind {
    Configuration, // The declared services, routes and teams.
    Endpoints, // One object for each endpoint.
    Duties, // Leases of the singleton duties, held by nodes.
    Nodes, // Addresses of the nodes.
    Rollouts, // Operators' orders to move a service to another version.
    BlockedRequests, // Requests that no node sends on, because endpoints ended while running them.
};

// The name of a kind in logs and metrics.
std::string_view nameOf(StoreKind);

// How current a list has to be.
enum class ReadFreshness {
    Latest, // As of the call.
    MayBeOld, // As of some seconds ago: a tenth of the price, and no part of the rate that all nodes share.
};

} // namespace Onyxnotch
