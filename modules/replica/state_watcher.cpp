#include "modules/replica/state_watcher.h"

#include "core/digest.h"
#include "core/log.h"
#include <algorithm>
#include <random>

namespace Onyxnotch {

namespace {

    constexpr std::string_view endpointPrefix = "status/endpoints/";

} // namespace

StateWatcher::StateWatcher(const StateWatcherOptions& options, const ObjectClient& objects, const CloudClient& cloud, StateReplica& replica, MembershipServer& membership, Metrics& metrics)
    : m_options(options)
    , m_objects(objects)
    , m_cloud(cloud)
    , m_replica(replica)
    , m_membership(membership)
    , m_metrics(metrics)
{
}

StateWatcher::~StateWatcher() { stop(); }

void StateWatcher::start()
{
    m_threads.emplace_back([this] { loop([this] { return watchConfiguration(); }); });
    m_threads.emplace_back([this] { loop([this] { return watchEndpoints(); }); });
    m_threads.emplace_back([this] { loop([this] { return watchNotices(); }); });
    m_threads.emplace_back([this] { loop([this] { return readInstanceList(); }); });
}

void StateWatcher::stop()
{
    {
        std::lock_guard lock(m_pauseMutex);
        m_stopping = true;
    }
    m_pauseEnded.notify_all();
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

bool StateWatcher::isWatcher() const
{
    auto view = m_membership.view();
    auto rank = [](const Member& member) { return fastHash(member.node + "|watcher"); };
    auto own = rank(view->self);
    unsigned before = 0;
    for (const auto& it : view->members) {
        bool counts = it.zone == view->self.zone && it.state == MemberState::Alive && !it.leaving;
        if (counts && rank(it) < own)
            ++before;
    }
    return before < m_options.watchersPerZone;
}

Milliseconds StateWatcher::jittered(Milliseconds limit) const
{
    // Full jitter: nodes that failed together do not come back together.
    thread_local std::mt19937_64 random { std::random_device {}() };
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(limit.count() / 4, limit.count())(random));
}

void StateWatcher::pause(Milliseconds duration)
{
    std::unique_lock lock(m_pauseMutex);
    m_pauseEnded.wait_for(lock, duration, [this] { return m_stopping.load(); });
}

void StateWatcher::loop(const Step& step)
{
    auto backoff = m_options.firstBackoff;
    while (!m_stopping) {
        if (!isWatcher()) {
            pause(m_options.firstBackoff);
            continue;
        }
        auto result = step();
        m_metrics.increment("onyxnotch_platform_calls_total", { { "result", result ? "ok" : "error" } });
        if (result) {
            backoff = m_options.firstBackoff;
            continue;
        }
        logEvent(LogLevel::Warning, "platform_call_failed", { { "error", result.error().message } });
        pause(jittered(backoff));
        backoff = std::min(backoff * 2, m_options.lastBackoff);
    }
}

Status StateWatcher::watchConfiguration()
{
    auto version = m_replica.state()->configuration.version();
    if (!m_configurationRevision) {
        // Revision first, then the content: what changes between the two is seen again.
        auto batch = m_objects.watch(std::string(ConfigurationStore::changePrefix), ~std::uint64_t(0), Milliseconds(0));
        m_reachable = batch.has_value();
        if (!batch)
            return batch.error();
        BOOST_OUTCOME_TRY(configuration, ConfigurationStore(m_objects).load());
        if (m_replica.applyConfiguration(configuration))
            m_membership.announceDocuments();
        m_configurationRevision = batch.value().revision;
        return success();
    }
    auto batch = m_objects.watch(std::string(ConfigurationStore::changePrefix), *m_configurationRevision, m_options.watchWait);
    m_reachable = batch.has_value();
    if (!batch)
        return batch.error();
    if (!batch.value().objects.empty()) {
        // The events only say that something is new; the versions are read in order, so that none is missed.
        BOOST_OUTCOME_TRY(changes, ConfigurationStore(m_objects).changesAfter(version));
        bool moved = false;
        for (const auto& it : changes)
            moved |= m_replica.applyChange(it);
        if (moved)
            m_membership.announceDocuments();
        // A gap: older changes have been compacted away.
        if (!moved && !changes.empty() && changes.front().version > m_replica.state()->configuration.version() + 1) {
            m_configurationRevision.reset();
            return success();
        }
    }
    m_configurationRevision = batch.value().revision;
    return success();
}

Status StateWatcher::watchEndpoints()
{
    Result<ObjectBatch> batch = !m_endpointRevision ? m_objects.list(std::string(endpointPrefix))
                                                    : m_objects.watch(std::string(endpointPrefix), *m_endpointRevision, m_options.watchWait);
    if (!batch)
        return batch.error();
    bool moved = false;
    for (const auto& it : batch.value().objects) {
        auto endpoints = decodeEndpoints(it.value);
        if (endpoints && !it.removed)
            moved |= m_replica.applyZone({ .zone = it.key.substr(endpointPrefix.size()), .version = it.version, .endpoints = endpoints.value() });
    }
    if (moved)
        m_membership.announceDocuments();
    m_endpointRevision = batch.value().revision;
    return success();
}

Status StateWatcher::watchNotices()
{
    BOOST_OUTCOME_TRY(notices, m_cloud.notices(m_lastNotice, m_options.watchWait));
    for (const auto& it : notices) {
        m_lastNotice = std::max(m_lastNotice, it.sequence);
        auto deadline = wallMilliseconds() + static_cast<std::uint64_t>(it.timeLeft.count());
        m_membership.announceMark({ .endpoint = it.instance, .deadlineWallMilliseconds = deadline, .source = LeavingSource::CloudNotice });
    }
    return success();
}

Status StateWatcher::readInstanceList()
{
    BOOST_OUTCOME_TRY(instances, m_cloud.listedInstances());
    for (const auto& it : instances) {
        // Only its word "leaving" counts: an instance that is not listed may be too new for the list.
        if (it.leaving)
            m_membership.announceMark({ .endpoint = it.id, .deadlineWallMilliseconds = 0, .source = LeavingSource::InstanceList });
    }
    pause(m_options.listPeriod);
    return success();
}

} // namespace Onyxnotch
