#include "modules/control/store_follower.h"

#include "core/steady_timer.h"
#include "modules/control/paged_list.h"
#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Onyxnotch {

StoreFollower::StoreFollower(asio::io_context& context, ObjectStore& store, StoreKind kind, Receiver receiver, const StoreFollowerOptions& options)
    : m_context(context)
    , m_store(store)
    , m_kind(kind)
    , m_receiver(std::move(receiver))
    , m_options(options)
    , m_idle(context)
    , m_nextRetryDelay(options.initialRetryDelay)
    , m_nextWatchWait(options.initialWatchWait)
{
}

void StoreFollower::updateConnection(const Error* error)
{
    bool isConnected = error == nullptr;
    if (isConnected) {
        m_lastResponse = steadyNow();
        m_nextRetryDelay = m_options.initialRetryDelay;
    } else {
        m_lastFailure = steadyNow();
        m_nextWatchWait = m_options.initialWatchWait;
        if (!m_isConnected && m_failureLogBudget.take(steadyNow()))
            logEvent(LogLevel::Info, "store_not_reached", { { "kind", nameOf(m_kind) }, { "error", error->message } });
    }
    if (isConnected == m_isConnected)
        return;
    m_isConnected = isConnected;
    if (isConnected)
        logEvent(LogLevel::Info, m_hasEverConnected ? "store_regained" : "store_reached", { { "kind", nameOf(m_kind) } });
    else
        logEvent(LogLevel::Warning, "store_lost", { { "kind", nameOf(m_kind) }, { "error", error->message } });
    m_hasEverConnected = m_hasEverConnected || isConnected;
}

void StoreFollower::logUnnamed(const StoreObjects& objects)
{
    if (objects.unnamed > 0 && m_unnamedLogBudget.take(steadyNow()))
        logEvent(LogLevel::Warning, "store_objects_refused", { { "kind", nameOf(m_kind) }, { "count", objects.unnamed }, { "error", "objects without a readable name" } });
}

asio::awaitable<void> StoreFollower::run()
{
    while (true) {
        std::optional<bool> isWanted = m_isWanted ? m_isWanted() : true;
        // Every node lists the objects once even if it need not follow the store, since it has to serve requests immediately.
        if (m_hasEverConnected && isWanted == false) {
            co_await waitWhileIdle();
            continue;
        }
        if (m_hasListed && !isWanted) {
            co_await m_idle.wait(m_options.undecidedPollInterval);
            continue;
        }
        bool succeeded = false;
        if (m_hasListed)
            succeeded = co_await watch();
        else
            succeeded = co_await list(m_hasEverConnected ? ReadFreshness::Latest : m_firstListFreshness);
        if (!succeeded)
            co_await waitBeforeRetry();
    }
}

asio::awaitable<bool> StoreFollower::list(ReadFreshness freshness)
{
    auto page = co_await listAll(m_context, m_store, m_kind, { .freshness = freshness });
    updateConnection(page ? nullptr : &page.error());
    if (!page)
        co_return false;
    logUnnamed(page.value());
    m_objects.clear();
    for (auto& it : page.value().objects)
        m_objects[it.name] = std::move(it);
    m_revision = page.value().revision;
    m_hasListed = true;
    bool isLatest = freshness == ReadFreshness::Latest;
    m_isConnected = isLatest;
    m_receiver(m_objects, true);
    if (!isLatest)
        co_await waitWhileIdle();
    co_return true;
}

// A watch that the store cuts does not show whether the store is available, so it is repeated once without waiting for changes. The pause
// after it limits the calls to a store that cuts every watch.
asio::awaitable<Result<StoreObjects>> StoreFollower::watchOnce()
{
    auto changes = co_await m_store.watch(m_kind, m_revision, m_nextWatchWait);
    if (changes || changes.error().code != ErrorCode::Disconnected)
        co_return changes;
    if (m_cutLogBudget.take(steadyNow()))
        logEvent(LogLevel::Info, "store_watch_cut", { { "kind", nameOf(m_kind) }, { "error", changes.error().message } });
    m_wasWatchCut = true;
    changes = co_await m_store.watch(m_kind, m_revision, Milliseconds(0));
    m_wasWatchCut = false;
    if (changes && changes.value().objects.empty())
        co_await sleepFor(m_context, m_options.initialRetryDelay);
    co_return changes;
}

asio::awaitable<bool> StoreFollower::watch()
{
    auto calledAt = steadyNow();
    auto lastResponse = m_lastResponse;
    auto changes = co_await watchOnce();
    m_changesSince = steadyNow() - calledAt < m_options.promptResponseTime ? lastResponse : steadyNow();
    if (!changes && changes.error().code == ErrorCode::Exhausted) {
        logEvent(LogLevel::Info, "store_history_gone", { { "kind", nameOf(m_kind) }, { "revision", m_revision } });
        m_hasListed = false;
        co_return true;
    }
    updateConnection(changes ? nullptr : &changes.error());
    if (!changes)
        co_return false;
    bool isReplacement = m_isReplacement && m_isReplacement();
    m_nextWatchWait = std::min(m_nextWatchWait * 2, isReplacement ? m_options.replacementWatchWait : m_options.maxWatchWait);
    logUnnamed(changes.value());
    m_revision = std::max(m_revision, changes.value().revision);
    for (auto& it : changes.value().objects) {
        if (it.deleted)
            m_objects.erase(it.name);
        else
            m_objects[it.name] = std::move(it);
    }
    if (changes.value().objects.empty())
        co_return true;
    m_receiver(m_objects, false);
    // Changes come in bursts and each call has a cost: during this pause changes accumulate, and the next call fetches all of them.
    co_await sleepFor(m_context, isReplacement ? m_options.replacementPause : m_options.pauseAfterChange);
    co_return true;
}

// While idle the node misses changes, so it lists all objects again afterwards.
asio::awaitable<void> StoreFollower::waitWhileIdle()
{
    m_hasListed = false;
    m_isConnected = false;
    m_objects.clear();
    co_await m_idle.wait(m_options.idlePollInterval);
}

// The pause is randomized, so that the nodes of a fleet don't retry simultaneously.
asio::awaitable<void> StoreFollower::waitBeforeRetry()
{
    std::uniform_int_distribution<std::int64_t> jitter(m_nextRetryDelay.count() / 2, m_nextRetryDelay.count());
    co_await sleepFor(m_context, Milliseconds(jitter(m_random)));
    auto factor = m_pauseFactor ? m_pauseFactor() : 1;
    auto maxDelay = Milliseconds(static_cast<std::int64_t>(static_cast<double>(m_options.maxRetryDelay.count()) * factor));
    m_nextRetryDelay = std::min(m_nextRetryDelay * 2, maxDelay);
}

} // namespace Onyxnotch
