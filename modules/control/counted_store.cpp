#include "modules/control/counted_store.h"

#include "core/log.h"
#include <utility>

namespace Onyxnotch {

namespace {

    std::string_view nameOf(ReadFreshness freshness) { return freshness == ReadFreshness::Latest ? "latest" : "may_be_old"; }

} // namespace

std::string_view nameOf(StoreCall call)
{
    switch (call) {
    case StoreCall::List:
        return "list";
    case StoreCall::Watch:
        return "watch";
    case StoreCall::Read:
        return "read";
    case StoreCall::Create:
        return "create";
    case StoreCall::Replace:
        return "replace";
    case StoreCall::RecordStatus:
        return "record_status";
    }
    return "";
}

CountedStore::CountedStore(std::unique_ptr<ObjectStore> store, Metrics& metrics)
    : m_store(std::move(store))
    , m_metrics(metrics)
{
}

void CountedStore::count(const CallType& type)
{
    m_metrics.increment("onyxnotch_entry_store_calls_total", { { "kind", std::string(nameOf(type.kind)) }, { "call", std::string(nameOf(type.call)) }, { "freshness", std::string(nameOf(type.freshness)) } });
    ++m_unlogged[type];
}

void CountedStore::logCounts()
{
    for (const auto& [type, calls] : std::exchange(m_unlogged, {}))
        logEvent(LogLevel::Info, "store_calls", { { "kind", nameOf(type.kind) }, { "call", nameOf(type.call) }, { "freshness", nameOf(type.freshness) }, { "count", calls } });
}

asio::awaitable<Result<StorePage>> CountedStore::listPage(StoreKind kind, const std::string& afterName, ReadFreshness freshness)
{
    count({ .kind = kind, .call = StoreCall::List, .freshness = freshness });
    return m_store->listPage(kind, afterName, freshness);
}

asio::awaitable<Result<StoreObjects>> CountedStore::watch(StoreKind kind, std::uint64_t revision, Milliseconds wait)
{
    count({ .kind = kind, .call = StoreCall::Watch });
    return m_store->watch(kind, revision, wait);
}

asio::awaitable<Result<std::optional<StoreObject>>> CountedStore::read(StoreKind kind, const std::string& name)
{
    count({ .kind = kind, .call = StoreCall::Read });
    return m_store->read(kind, name);
}

asio::awaitable<Result<std::uint64_t>> CountedStore::create(StoreKind kind, const std::string& name, const nlohmann::json& value)
{
    count({ .kind = kind, .call = StoreCall::Create });
    return m_store->create(kind, name, value);
}

asio::awaitable<Result<std::uint64_t>> CountedStore::replace(StoreKind kind, const std::string& name, std::uint64_t revision, const nlohmann::json& value)
{
    count({ .kind = kind, .call = StoreCall::Replace });
    return m_store->replace(kind, name, revision, value);
}

asio::awaitable<Result<std::uint64_t>> CountedStore::recordStatus(StoreKind kind, const std::string& name, std::uint64_t revision, const nlohmann::json& status)
{
    count({ .kind = kind, .call = StoreCall::RecordStatus });
    return m_store->recordStatus(kind, name, revision, status);
}

} // namespace Onyxnotch
