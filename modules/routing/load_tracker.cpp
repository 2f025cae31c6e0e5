#include "modules/routing/load_tracker.h"

#include <algorithm>
#include <utility>

namespace Onyxnotch {

namespace {

    // Weight of the newest request in the moving average of tokens to prefill per request.
    constexpr double newestWeight = 0.1;

} // namespace

LoadTracker::InFlight::InFlight(LoadTracker& tracker, std::string endpoint)
    : m_tracker(&tracker)
    , m_endpoint(std::move(endpoint))
{
}

LoadTracker::InFlight::~InFlight() { release(); }

LoadTracker::InFlight::InFlight(InFlight&& other) noexcept
    : m_tracker(std::exchange(other.m_tracker, nullptr))
    , m_endpoint(std::move(other.m_endpoint))
{
}

LoadTracker::InFlight& LoadTracker::InFlight::operator=(InFlight&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_tracker = std::exchange(other.m_tracker, nullptr);
    m_endpoint = std::move(other.m_endpoint);
    return *this;
}

void LoadTracker::InFlight::release()
{
    if (m_tracker)
        m_tracker->end(m_endpoint);
    m_tracker = nullptr;
}

LoadTracker::LoadTracker(const LoadTrackerOptions& options)
    : m_options(options)
{
}

double LoadTracker::backlogLocked(const Entry& entry) const
{
    auto elapsed = std::chrono::duration<double>(steadyNow() - entry.backlogAt).count();
    return std::max(0.0, entry.load.backlogTokens - elapsed * m_options.prefillTokensPerSecond);
}

LoadTracker::InFlight LoadTracker::begin(const std::string& endpoint, std::uint64_t prefixHash, double tokens, unsigned nodes)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_entries[endpoint];
    ++entry.load.ownInFlight;
    entry.load.backlogTokens = backlogLocked(entry) + tokens * nodes;
    entry.backlogAt = steadyNow();
    bool isFirst = entry.averageTokens == 0;
    entry.averageTokens = isFirst ? tokens : entry.averageTokens + newestWeight * (tokens - entry.averageTokens);
    entry.prefixes.remove(prefixHash);
    entry.prefixes.push_front(prefixHash);
    if (entry.prefixes.size() > maximumPrefixes)
        entry.prefixes.pop_back();
    return { *this, endpoint };
}

void LoadTracker::end(const std::string& endpoint)
{
    std::lock_guard lock(m_mutex);
    auto it = m_entries.find(endpoint);
    if (it != m_entries.end() && it->second.load.ownInFlight > 0)
        --it->second.load.ownInFlight;
}

void LoadTracker::report(const std::string& endpoint, const EngineLoad& report)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_entries[endpoint];
    auto& load = entry.load;
    load.reportedRunning = report.running;
    load.reportedQueued = report.queued;
    entry.inFlightAtReport = load.ownInFlight;
    load.backlogTokens = report.queued * entry.averageTokens;
    entry.backlogAt = steadyNow();
}

EndpointLoad LoadTracker::load(const std::string& endpoint, std::uint64_t prefixHash) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_entries.find(endpoint);
    if (it == m_entries.end())
        return {};
    auto load = it->second.load;
    load.backlogTokens = backlogLocked(it->second);
    load.addedSinceReport = load.ownInFlight - std::min(load.ownInFlight, it->second.inFlightAtReport);
    const auto& prefixes = it->second.prefixes;
    load.prefixCached = std::find(prefixes.begin(), prefixes.end(), prefixHash) != prefixes.end();
    return load;
}

void LoadTracker::onBackoffRequested(const std::string& endpoint, Milliseconds backoff)
{
    std::lock_guard lock(m_mutex);
    m_backoffs.start({ .id = endpoint }, backoff, steadyNow());
}

Milliseconds LoadTracker::backoffLeft(const std::string& endpoint) const
{
    std::lock_guard lock(m_mutex);
    return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(m_backoffs.endOf({ .id = endpoint }) - steadyNow()));
}

void LoadTracker::onAdvertisedLimit(const std::string& endpoint, std::optional<double> perSecond, SteadyTime sentAt, unsigned gateways)
{
    std::lock_guard lock(m_mutex);
    EndpointIncarnation incarnation { .id = endpoint };
    if (!perSecond && !m_limits.knows(incarnation))
        return;
    auto now = steadyNow();
    auto toMilliseconds = [](SteadyTime at) { return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(at.time_since_epoch()).count()); };
    m_limits.setReachableShare(1.0 / std::max(1U, gateways));
    m_limits.onAdvertisedLimit({ .endpoint = incarnation, .perSecond = std::min(perSecond.value_or(unlimitedPerSecond), unlimitedPerSecond), .sentAt = toMilliseconds(sentAt), .receivedAt = toMilliseconds(now) }, now);
}

bool LoadTracker::takeCredit(const std::string& endpoint)
{
    std::lock_guard lock(m_mutex);
    return m_limits.take({ .id = endpoint }, 1, steadyNow());
}

void LoadTracker::returnGrantedCredit(const std::string& endpoint)
{
    std::lock_guard lock(m_mutex);
    m_limits.refundCredit({ .id = endpoint }, steadyNow());
}

Milliseconds LoadTracker::timeUntilReady(const std::string& endpoint) const
{
    std::lock_guard lock(m_mutex);
    EndpointIncarnation incarnation { .id = endpoint };
    auto now = steadyNow();
    auto ready = std::max(m_backoffs.endOf(incarnation), m_limits.creditAt(incarnation, now));
    return std::max(Milliseconds(0), std::chrono::ceil<Milliseconds>(ready - now));
}

void LoadTracker::onRequestRefused(const std::string& endpoint)
{
    std::lock_guard lock(m_mutex);
    m_entries[endpoint].health.onRequestRefused(steadyNow());
}

void LoadTracker::onRequestAccepted(const std::string& endpoint)
{
    std::lock_guard lock(m_mutex);
    m_entries[endpoint].health.onSuccess();
}

bool LoadTracker::isPaused(const std::string& endpoint) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_entries.find(endpoint);
    return it != m_entries.end() && !it->second.health.isUsable(steadyNow());
}

void LoadTracker::forget(const std::string& endpoint)
{
    std::lock_guard lock(m_mutex);
    auto it = m_entries.find(endpoint);
    if (it != m_entries.end() && it->second.load.ownInFlight == 0)
        m_entries.erase(it);
}

} // namespace Onyxnotch
