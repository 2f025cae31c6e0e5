// Counts the calls that this node makes to the platform's store, by kind of object and by call. Every call has a price and counts towards a
// rate that all nodes share, so what a node asks for, and how often, has to be visible.
#pragma once

#include "core/metrics.h"
#include "modules/control/object_store.h"
#include <map>
#include <memory>
#include <string>

namespace Onyxnotch {

enum class StoreCall {
    List, // One page.
    Watch,
    Read,
    Create,
    Replace,
    RecordStatus,
};

std::string_view nameOf(StoreCall);

// Passes all calls on to another store. Used on the control thread only, like the store that it wraps.
class CountedStore : public ObjectStore {
public:
    CountedStore(std::unique_ptr<ObjectStore>, Metrics&);

    asio::awaitable<Result<StorePage>> listPage(StoreKind, const std::string& afterName, ReadFreshness) override;
    asio::awaitable<Result<StoreObjects>> watch(StoreKind, std::uint64_t revision, Milliseconds wait) override;
    asio::awaitable<Result<std::optional<StoreObject>>> read(StoreKind, const std::string& name) override;
    asio::awaitable<Result<std::uint64_t>> create(StoreKind, const std::string& name, const nlohmann::json& value) override;
    asio::awaitable<Result<std::uint64_t>> replace(StoreKind, const std::string& name, std::uint64_t revision, const nlohmann::json& value) override;
    asio::awaitable<Result<std::uint64_t>> recordStatus(StoreKind, const std::string& name, std::uint64_t revision, const nlohmann::json& status) override;
    // Logs one line for each kind of object and call that was used since the last call of this function.
    void logCounts();

private:
    struct CallType {
        StoreKind kind {};
        StoreCall call {};
        ReadFreshness freshness { ReadFreshness::Latest };

        auto operator<=>(const CallType&) const = default;
    };

    void count(const CallType&);

    std::unique_ptr<ObjectStore> m_store;
    Metrics& m_metrics;
    std::map<CallType, unsigned> m_unlogged {}; // Calls since the last log lines.
};

} // namespace Onyxnotch
