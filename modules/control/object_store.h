// The ports to the outside: a store of objects with versions and watches, and the cloud that takes orders. The product's parts see only
// these; an adapter decides names and formats.
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

    // The first objects by name, or the first ones behind a name. listAll() reads all of them.
    virtual asio::awaitable<Result<StorePage>> listPage(StoreKind, const std::string& behind) = 0;
    // Waits for changes behind a revision; an empty list where none came in time. Errors: Exhausted where the history is gone, so
    // that the kind must be listed again.
    virtual asio::awaitable<Result<StoreObjects>> watch(StoreKind, std::uint64_t revision, Milliseconds wait) = 0;
    // Empty where there is no such object.
    virtual asio::awaitable<Result<std::optional<StoreObject>>> read(StoreKind, const std::string& name) = 0;
    // Returns the object's revision. Errors: Conflict where the condition does not hold, Ambiguous where the answer was lost.
    virtual asio::awaitable<Result<std::uint64_t>> create(StoreKind, const std::string& name, const nlohmann::json& value) = 0;
    virtual asio::awaitable<Result<std::uint64_t>> replace(StoreKind, const std::string& name, std::uint64_t revision, const nlohmann::json& value) = 0;
    // Records what has become of an object that an operator writes.
    virtual asio::awaitable<Result<std::uint64_t>> recordStatus(StoreKind, const std::string& name, std::uint64_t revision, const nlohmann::json& status) = 0;
};

// How many endpoints of a service an availability zone should hold.
struct ScaleOrder {
    std::string service {};
    std::string zone {};
    bool reclaimable { false }; // Counted apart from those that cannot be taken away.
    unsigned endpoints { 0 };

    auto operator<=>(const ScaleOrder&) const = default;
};

// Under which a duty is done: the platform may refuse a fence lower than one it has seen.
struct DutyAuthority {
    std::string holder {};
    std::uint64_t fence { 0 };
};

// No call of a duty lasts longer, so that it ends while its lease still counts.
constexpr Milliseconds dutyCallTimeout { 700 };

class CloudOrders {
public:
    virtual ~CloudOrders() = default;

    // Errors: Exhausted where there are none to be had now, Ambiguous where the answer was lost.
    virtual asio::awaitable<Status> order(const DutyAuthority&, const ScaleOrder&) = 0;
    virtual asio::awaitable<Status> reportUsage(const DutyAuthority&, std::uint64_t window, const TeamCounts&) = 0;
};

} // namespace Onyxnotch
