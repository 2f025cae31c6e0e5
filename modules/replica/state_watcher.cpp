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
    m_threads.emplace_back([this] { runWhileWatcher([this] { return watchConfiguration(); }); });
    m_threads.emplace_back([this] { runWhileWatcher([this] { return watchEndpoints(); }); });
    m_threads.emplace_back([this] { runWhileWatcher([this] { return watchNotices(); }); });
    m_threads.emplace_back([this] { runWhileWatcher([this] { return readInstanceList(); }); });
}

void StateWatcher::stop()
{
    {
        std::lock_guard lock(m_pauseMutex);
        m_stopping = true;
    }
    m_stopCondition.notify_all();
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
    unsigned higherRanked = 0;
    for (const auto& it : view->members) {
        bool isEligible = it.zone == view->self.zone && it.state == MemberState::Alive && !it.leaving;
        if (isEligible && rank(it) < own)
            ++higherRanked;
    }
    return higherRanked < m_options.watchersPerZone;
}

Milliseconds StateWatcher::addJitter(Milliseconds limit) const
{
    // Random delay between a quarter of `limit` and `limit`, so that nodes whose calls failed together don't retry together.
    thread_local std::mt19937_64 random { std::random_device {}() };
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(limit.count() / 4, limit.count())(random));
}

void StateWatcher::pause(Milliseconds duration)
{
    std::unique_lock lock(m_pauseMutex);
    m_stopCondition.wait_for(lock, duration, [this] { return m_stopping.load(); });
}

void StateWatcher::runWhileWatcher(const Step& step)
{
    auto backoff = m_options.initialBackoff;
    while (!m_stopping) {
        if (!isWatcher()) {
            pause(m_options.initialBackoff);
            continue;
        }
        auto result = step();
        m_metrics.increment("onyxnotch_platform_calls_total", { { "result", result ? "ok" : "error" } });
        if (result) {
            backoff = m_options.initialBackoff;
            continue;
        }
        logEvent(LogLevel::Warning, "platform_call_failed", { { "error", result.error().message } });
        pause(addJitter(backoff));
        backoff = std::min(backoff * 2, m_options.maximumBackoff);
    }
}

Status StateWatcher::watchConfiguration()
{
    auto version = m_replica.state()->configuration.version();
    if (!m_configurationRevision) {
        // The revision is read before the content, so that a change between the two reads is reported by the next watch.
        auto batch = m_objects.watch(std::string(ConfigurationStore::changePrefix), ~std::uint64_t(0), Milliseconds(0));
        m_isObjectServiceReachable = batch.has_value();
        if (!batch)
            return batch.error();
        BOOST_OUTCOME_TRY(configuration, ConfigurationStore(m_objects).load());
        if (m_replica.applyConfiguration(configuration))
            m_membership.announceDocuments();
        m_configurationRevision = batch.value().revision;
        return success();
    }
    auto batch = m_objects.watch(std::string(ConfigurationStore::changePrefix), *m_configurationRevision, m_options.watchWait);
    m_isObjectServiceReachable = batch.has_value();
    if (!batch)
        return batch.error();
    if (!batch.value().objects.empty()) {
        // Watch events only signal that there are changes; the changes are read in the order of their versions, so that none is missed.
        BOOST_OUTCOME_TRY(changes, ConfigurationStore(m_objects).changesAfter(version));
        bool hasAdvanced = false;
        for (const auto& it : changes)
            hasAdvanced |= m_replica.applyChange(it);
        if (hasAdvanced)
            m_membership.announceDocuments();
        // Changes in between are missing because the store was compacted: read the whole configuration again.
        if (!hasAdvanced && !changes.empty() && changes.front().version > m_replica.state()->configuration.version() + 1) {
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
    bool hasAdvanced = false;
    for (const auto& it : batch.value().objects) {
        auto endpoints = decodeEndpoints(it.value);
        if (endpoints && !it.removed)
            hasAdvanced |= m_replica.applyZone({ .zone = it.key.substr(endpointPrefix.size()), .version = it.version, .endpoints = endpoints.value() });
    }
    if (hasAdvanced)
        m_membership.announceDocuments();
    m_endpointRevision = batch.value().revision;
    return success();
}

Status StateWatcher::watchNotices()
{
    BOOST_OUTCOME_TRY(notices, m_cloud.notices(m_lastNoticeSequence, m_options.watchWait));
    for (const auto& it : notices) {
        m_lastNoticeSequence = std::max(m_lastNoticeSequence, it.sequence);
        auto deadline = wallMilliseconds() + static_cast<std::uint64_t>(it.timeLeft.count());
        m_membership.announceMark({ .endpoint = it.instance, .deadlineWallMilliseconds = deadline, .source = LeavingSource::CloudNotice });
    }
    return success();
}

Status StateWatcher::readInstanceList()
{
    BOOST_OUTCOME_TRY(instances, m_cloud.listedInstances());
    for (const auto& it : instances) {
        // Only the `leaving` flag is used: an instance that is missing from the list may have started after the list was made.
        if (it.leaving)
            m_membership.announceMark({ .endpoint = it.id, .deadlineWallMilliseconds = 0, .source = LeavingSource::InstanceList });
    }
    pause(m_options.instanceListPeriod);
    return success();
}

} // namespace Onyxnotch
