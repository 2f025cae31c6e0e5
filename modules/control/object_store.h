// Interfaces to the platform: a store of versioned objects that can be watched for changes, and the cloud that starts and removes
// endpoints. All other modules use only these interfaces; an adapter implements them and decides on names and formats.
#pragma once

#include "core/clock.h"
#include "modules/control/store_objects.h"
#include "modules/limits/usage_ledger.h"
#include <asio/awaitable.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    // Returns a page of objects in the order of their names, beginning after the name `afterName`, or with the first one if it is empty.
    // listAll() reads all pages.
    virtual asio::awaitable<Result<StorePage>> listPage(StoreKind, const std::string& afterName, ReadFreshness) = 0;
    // Waits up to `wait` for changes after `revision` and returns them; an empty list if there were none. Errors: Exhausted if the store no
    // longer has the changes since `revision`, so that all objects must be listed again; Disconnected if the store ended the connection
    // before it responded, as it may do with any watch.
    virtual asio::awaitable<Result<StoreObjects>> watch(StoreKind, std::uint64_t revision, Milliseconds wait) = 0;
    // Returns nullopt if there is no such object.
    virtual asio::awaitable<Result<std::optional<StoreObject>>> read(StoreKind, const std::string& name) = 0;
    // create() and replace() return the object's new revision. Errors: Conflict if the object already exists, or does not have `revision`;
    // Ambiguous if the response was lost, so that the write may or may not have been executed.
    virtual asio::awaitable<Result<std::uint64_t>> create(StoreKind, const std::string& name, const nlohmann::json& value) = 0;
    virtual asio::awaitable<Result<std::uint64_t>> replace(StoreKind, const std::string& name, std::uint64_t revision, const nlohmann::json& value) = 0;
    // Sets the status of an object that is written by an operator, e.g. the progress of an order.
    virtual asio::awaitable<Result<std::uint64_t>> recordStatus(StoreKind, const std::string& name, std::uint64_t revision, const nlohmann::json& status) = 0;
};

// The number of endpoints that a service should have in an availability zone.
struct ScaleOrder {
    std::string service {};
    std::string zone {};
    bool reclaimable { false }; // Whether the order is for endpoints that the cloud may reclaim; they are counted separately.
    unsigned endpoints { 0 };

    auto operator<=>(const ScaleOrder&) const = default;
};

// Proves the right to perform a singleton duty. The platform may reject a fencing token that is lower than one it has already seen.
struct DutyAuthority {
    std::string holder {};
    std::uint64_t fence { 0 };
};

// Timeout of calls made for a singleton duty; short enough that a call ends before the lease of the duty expires.
constexpr Milliseconds dutyCallTimeout { 700 };

class CloudOrders {
public:
    virtual ~CloudOrders() = default;

    // Sets the number of endpoints. Errors: Exhausted if the cloud has no capacity at present, Ambiguous if the response was lost.
    virtual asio::awaitable<Status> order(const DutyAuthority&, const ScaleOrder&) = 0;
    // Reports the request counts by team of a usage window.
    virtual asio::awaitable<Status> reportUsage(const DutyAuthority&, std::uint64_t window, const TeamCounts&) = 0;
};

} // namespace Onyxnotch
