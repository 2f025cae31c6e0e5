#include "modules/control/blocked_requests.h"

#include "core/log.h"
#include "core/steady_timer.h"
#include "modules/control/paged_list.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds idleInterval { 10000 }; // Between checks for pending writes, which also notify.

    nlohmann::json encode(const StoredBlockedRequest& blocked)
    {
        return { { "team", blocked.request.team }, { "content", blocked.request.content }, { "round", blocked.round }, { "blockedAt", blocked.blockedAt } };
    }

    // Returns nullopt if the object is empty (its request was removed) or malformed.
    std::optional<StoredBlockedRequest> decode(const nlohmann::json& value)
    {
        auto isUnsignedNumber = [&](const char* member) { return value.is_object() && value.contains(member) && value[member].is_number_unsigned(); };
        if (!isUnsignedNumber("team") || !isUnsignedNumber("content") || !isUnsignedNumber("round") || !isUnsignedNumber("blockedAt"))
            return std::nullopt;
        return StoredBlockedRequest { .request = { .team = value["team"], .content = value["content"] }, .round = value["round"], .blockedAt = value["blockedAt"] };
    }

} // namespace

BlockedRequests::BlockedRequests(asio::io_context& context, ObjectStore& store, Receiver receiver, const BlockedRequestsOptions& options)
    : m_context(context)
    , m_store(store)
    , m_receiver(std::move(receiver))
    , m_options(options)
    , m_newWrite(context)
{
}

void BlockedRequests::keep(const StoredBlockedRequest& blocked) { enqueue({ .blocked = blocked }); }

void BlockedRequests::drop(const RequestDigest& request) { enqueue({ .blocked = { .request = request }, .isRemoval = true }); }

void BlockedRequests::enqueue(const PendingWrite& pending)
{
    m_pendingWrites.push_back(pending);
    if (m_pendingWrites.size() > m_options.maxPendingWrites)
        m_pendingWrites.pop_front();
    m_newWrite.notify();
}

std::string BlockedRequests::objectNameFor(const RequestDigest& request) const { return "slot-" + std::to_string(request.content % m_options.slotCount); }

asio::awaitable<void> BlockedRequests::run()
{
    auto retryDelay = m_options.initialRetryDelay;
    bool hasRead = false;
    while (true) {
        if (!hasRead) {
            auto page = co_await listAll(m_context, m_store, StoreKind::BlockedRequests);
            hasRead = bool(page);
            std::vector<StoredBlockedRequest> requests;
            if (page) {
                for (const auto& it : page.value().objects) {
                    if (auto request = decode(it.value))
                        requests.push_back(*request);
                }
            }
            if (!requests.empty())
                m_receiver(std::move(requests));
        }
        bool isStoreAvailable = hasRead;
        while (isStoreAvailable && !m_pendingWrites.empty()) {
            auto pending = m_pendingWrites.front();
            m_pendingWrites.pop_front();
            isStoreAvailable = co_await write(pending);
            if (!isStoreAvailable)
                m_pendingWrites.push_front(pending);
        }
        retryDelay = isStoreAvailable ? m_options.initialRetryDelay : std::min(retryDelay * 2, m_options.maxRetryDelay);
        if (isStoreAvailable)
            co_await m_newWrite.wait(idleInterval);
        else
            co_await sleepFor(m_context, retryDelay);
    }
}

asio::awaitable<Status> BlockedRequests::putObject(const std::string& name, const std::optional<StoreObject>& existing, const nlohmann::json& value)
{
    if (existing) {
        auto replaced = co_await m_store.replace(StoreKind::BlockedRequests, name, existing->revision, value);
        co_return replaced ? success() : Status(replaced.error());
    }
    auto created = co_await m_store.create(StoreKind::BlockedRequests, name, value);
    co_return created ? success() : Status(created.error());
}

// Returns false if the write must be retried. Several nodes may report the same request: nothing is written if the store already has it.
asio::awaitable<bool> BlockedRequests::write(const PendingWrite& pending)
{
    auto name = objectNameFor(pending.blocked.request);
    auto existing = co_await m_store.read(StoreKind::BlockedRequests, name);
    if (!existing)
        co_return false;
    auto stored = existing.value() ? decode(existing.value()->value) : std::nullopt;
    bool isStored = stored && stored->request == pending.blocked.request;
    if (pending.isRemoval ? !isStored : isStored && stored->round >= pending.blocked.round)
        co_return true;
    auto value = pending.isRemoval ? nlohmann::json::object() : encode(pending.blocked);
    auto written = co_await putObject(name, existing.value(), value);
    if (!written)
        logEvent(LogLevel::Warning, "blocked_request_not_kept", { { "digest", pending.blocked.request.text() }, { "error", written.error().message } });
    co_return bool(written);
}

} // namespace Onyxnotch
