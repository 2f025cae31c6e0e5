#include "modules/rollout/version_gate.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Onyxnotch {

void VersionGate::onList(const EndpointList& list, SteadyTime now)
{
    std::set<std::pair<std::string, std::string>> listed;
    for (auto& [name, service] : m_services)
        service.ready.clear();
    for (const auto& [id, endpoint] : list.endpoints) {
        auto& service = m_services[endpoint.service];
        service.firstSeenAt.try_emplace(endpoint.version, now);
        listed.insert({ endpoint.service, endpoint.version });
        if (!endpoint.leaving)
            ++service.ready[endpoint.version];
    }
    for (auto& [name, service] : m_services) {
        const auto& serviceName = name;
        std::erase_if(service.firstSeenAt, [&](const auto& it) { return !listed.contains({ serviceName, it.first }); });
        chooseKnownGood(service);
        if (service.ready.size() < 2)
            clearTrials(name);
    }
}

// Chooses the known good version: the target of a rollout once it may receive all requests, else the previous choice while it has endpoints
// or no version has any, else the version with the most endpoints unless that is the target of a rollout.
void VersionGate::chooseKnownGood(ServiceState& service) const
{
    bool isShifted = service.publishedShare && service.publishedShare->share >= 1 && service.ready.contains(service.publishedShare->version);
    if (isShifted)
        service.knownGood = service.publishedShare->version;
    if (service.ready.contains(service.knownGood) || (service.ready.empty() && !service.knownGood.empty()))
        return;
    bool hasRollout = service.publishedShare && !service.publishedShare->version.empty() && !isShifted;
    auto most = std::max_element(service.ready.begin(), service.ready.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    if (most != service.ready.end() && !(hasRollout && most->first == service.publishedShare->version))
        service.knownGood = most->first;
}

void VersionGate::clearTrials(const std::string& service)
{
    // Counts are kept while requests are running, so that these are counted when they end.
    bool isIdle = std::none_of(m_trials.begin(), m_trials.end(), [&](const auto& it) { return it.first.service == service && it.second.running() > 0; });
    if (isIdle)
        std::erase_if(m_trials, [&](const auto& it) { return it.first.service == service; });
    if (isIdle)
        m_services[service].evaluator = RolloutEvaluator(m_options.evaluator);
}

void VersionGate::onPeerUpdate(const VersionUpdate& others)
{
    m_peerTrials = others.trials;
    for (const auto& share : others.shares) {
        auto& service = m_services[share.service];
        if (service.publishedShare && share.publishedAt < service.publishedShare->publishedAt)
            continue;
        bool isNewOrder = service.publishedShare && (share.orderedAt != service.publishedShare->orderedAt || share.version != service.publishedShare->version);
        if (isNewOrder)
            service.evaluator = RolloutEvaluator(m_options.evaluator);
        service.publishedShare = share;
    }
    for (const auto& it : others.stopped)
        markStopped(it);
    for (auto& [name, service] : m_services)
        evaluateRollout(name, service);
}

void VersionGate::evaluateRollout(const std::string& name, ServiceState& service)
{
    bool hasRollout = service.publishedShare && !service.publishedShare->version.empty() && hasSeveralVersions(name);
    if (!hasRollout)
        return;
    auto trials = m_peerTrials;
    mergeTrials(trials, m_trials);
    if (service.evaluator.update(evidenceOf(trials, name, service.publishedShare->version)) == RolloutVerdict::Bad)
        markStopped({ .service = name, .version = service.publishedShare->version, .orderedAt = service.publishedShare->orderedAt });
}

void VersionGate::markStopped(const StoppedVersion& version)
{
    if (std::find(m_stopped.begin(), m_stopped.end(), version) != m_stopped.end())
        return;
    constexpr std::size_t maximumStopped = 16; // Covers the orders of the last hours; older ones have ended.
    if (m_stopped.size() >= maximumStopped)
        m_stopped.erase(m_stopped.begin());
    m_stopped.push_back(version);
    m_newlyStopped.push_back(version);
}

std::vector<StoppedVersion> VersionGate::takeNewlyStopped() { return std::exchange(m_newlyStopped, {}); }

bool VersionGate::isStopped(const std::string& service, const std::string& version) const
{
    auto state = m_services.find(service);
    auto latestOrderedAt = state != m_services.end() && state->second.publishedShare && state->second.publishedShare->version == version ? state->second.publishedShare->orderedAt : 0;
    return std::any_of(m_stopped.begin(), m_stopped.end(), [&](const auto& it) { return it.service == service && it.version == version && it.orderedAt >= latestOrderedAt; });
}

bool VersionGate::hasSeveralVersions(const std::string& service) const
{
    auto it = m_services.find(service);
    return it != m_services.end() && it->second.ready.size() > 1;
}

bool VersionGate::isNotKnownGood(const std::string& service, const std::string& version) const
{
    auto it = m_services.find(service);
    return it != m_services.end() && it->second.ready.size() > 1 && it->second.knownGood != version;
}

bool VersionGate::isUnannounced(const ServiceState& service, const std::string& version, SteadyTime now) const
{
    if (version == service.knownGood)
        return false;
    if (service.publishedShare && (service.publishedShare->version.empty() || service.publishedShare->version == version))
        return false;
    auto since = service.firstSeenAt.find(version);
    return since != service.firstSeenAt.end() && now - since->second < m_options.unannouncedTime;
}

VersionLimits VersionGate::limitsFor(const std::string& service, std::uint64_t selector, SteadyTime now) const
{
    VersionLimits limits;
    auto found = m_services.find(service);
    if (found == m_services.end())
        return limits;
    const auto& state = found->second;
    bool hasRollout = state.publishedShare && !state.publishedShare->version.empty();
    if (state.ready.size() < 2 && !hasRollout)
        return limits;
    for (const auto& [version, ready] : state.ready) {
        if (isStopped(service, version) || isUnannounced(state, version, now))
            limits.barred.push_back(version);
    }
    bool mayUseTarget = hasRollout && std::find(limits.barred.begin(), limits.barred.end(), state.publishedShare->version) == limits.barred.end();
    if (!mayUseTarget)
        return limits;
    constexpr std::uint64_t selectorSteps = 1U << 20U;
    auto selectorFraction = static_cast<double>(selector % selectorSteps) / selectorSteps;
    if (selectorFraction >= state.publishedShare->share) {
        limits.barred.push_back(state.publishedShare->version);
        return limits;
    }
    limits.wanted = state.publishedShare->version;
    auto ready = state.ready.find(limits.wanted);
    if (state.publishedShare->share < 1 && ready != state.ready.end())
        limits.mostEndpoints = std::max(1U, static_cast<unsigned>(std::ceil(state.publishedShare->share * ready->second)));
    return limits;
}

void VersionGate::onSent(const VersionRoute& route) { ++m_trials[route].sent; }

void VersionGate::onEnd(const VersionRoute& route, bool good, bool bad)
{
    auto it = m_trials.find(route);
    if (it == m_trials.end())
        return;
    ++it->second.ended;
    it->second.good += good ? 1 : 0;
    it->second.bad += bad ? 1 : 0;
}

} // namespace Onyxnotch
