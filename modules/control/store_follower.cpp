#include "modules/control/store_follower.h"

#include "core/steady_timer.h"
#include "modules/control/paged_list.h"
#include <algorithm>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Onyxnotch {

namespace {

    std::string_view nameOf(StoreKind kind)
    {
        switch (kind) {
        case StoreKind::Configuration:
            return "configuration";
        case StoreKind::Endpoints:
            return "endpoints";
        case StoreKind::Duties:
            return "duties";
        case StoreKind::Nodes:
            return "nodes";
        case StoreKind::Rollouts:
            return "rollouts";
        case StoreKind::BlockedRequests:
            return "blocked_requests";
        }
        return "";
    }

} // namespace

StoreFollower::StoreFollower(asio::io_context& context, ObjectStore& store, StoreKind kind, Receiver receiver, const StoreFollowerOptions& options)
    : m_context(context)
    , m_store(store)
    , m_kind(kind)
    , m_receiver(std::move(receiver))
    , m_options(options)
    , m_nextPause(options.firstPause)
    , m_nextWait(options.firstWait)
{
}

void StoreFollower::noteResult(const Error* error)
{
    bool connected = error == nullptr;
    if (connected) {
        m_nextPause = m_options.firstPause;
    } else {
        m_lastFailure = steadyNow();
        m_nextWait = m_options.firstWait;
    }
    if (connected == m_connected)
        return;
    m_connected = connected;
    if (connected)
        logEvent(LogLevel::Info, m_everConnected ? "store_regained" : "store_reached", { { "kind", nameOf(m_kind) } });
    else
        logEvent(LogLevel::Warning, "store_lost", { { "kind", nameOf(m_kind) }, { "error", error->message } });
    m_everConnected = m_everConnected || connected;
}

void StoreFollower::noteUnnamed(const StoreObjects& objects)
{
    if (objects.unnamed > 0 && m_unnamedLines.take(steadyNow()))
        logEvent(LogLevel::Warning, "store_objects_refused", { { "kind", nameOf(m_kind) }, { "count", objects.unnamed }, { "error", "no name can be read" } });
}

asio::awaitable<void> StoreFollower::run()
{
    while (true) {
        bool wanted = !m_wanted || m_wanted();
        // Every node lists once, however many follow the store: it has to serve at once.
        if (!wanted && m_everConnected) {
            co_await idle();
            continue;
        }
        bool good = false;
        if (m_listed)
            good = co_await watch();
        else
            good = co_await list();
        if (!good)
            co_await pause();
    }
}

asio::awaitable<bool> StoreFollower::list()
{
    auto page = co_await listAll(m_context, m_store, m_kind);
    noteResult(page ? nullptr : &page.error());
    if (!page)
        co_return false;
    noteUnnamed(page.value());
    m_objects.clear();
    for (auto& it : page.value().objects)
        m_objects[it.name] = std::move(it);
    m_revision = page.value().revision;
    m_listed = true;
    m_receiver(m_objects, true);
    co_return true;
}

asio::awaitable<bool> StoreFollower::watch()
{
    auto changes = co_await m_store.watch(m_kind, m_revision, m_nextWait);
    if (!changes && changes.error().code == ErrorCode::Exhausted) {
        logEvent(LogLevel::Info, "store_history_gone", { { "kind", nameOf(m_kind) }, { "revision", m_revision } });
        m_listed = false;
        co_return true;
    }
    noteResult(changes ? nullptr : &changes.error());
    if (!changes)
        co_return false;
    m_nextWait = std::min(m_nextWait * 2, m_options.watchWait);
    noteUnnamed(changes.value());
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
    // Changes come in bursts, and each call has a price: the next one fetches what comes meanwhile at once.
    co_await sleepFor(m_context, m_options.afterChange);
    co_return true;
}

// What has been missed meanwhile is listed anew.
asio::awaitable<void> StoreFollower::idle()
{
    m_listed = false;
    m_connected = false;
    co_await sleepFor(m_context, m_options.idleStep);
}

// Jittered, so that the nodes of a fleet do not come back in step.
asio::awaitable<void> StoreFollower::pause()
{
    std::uniform_int_distribution<std::int64_t> jitter(m_nextPause.count() / 2, m_nextPause.count());
    co_await sleepFor(m_context, Milliseconds(jitter(m_random)));
    auto factor = m_pauseFactor ? m_pauseFactor() : 1;
    auto longest = Milliseconds(static_cast<std::int64_t>(static_cast<double>(m_options.longestPause.count()) * factor));
    m_nextPause = std::min(m_nextPause * 2, longest);
}

} // namespace Onyxnotch
