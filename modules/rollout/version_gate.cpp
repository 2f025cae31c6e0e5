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
        service.seenSince.try_emplace(endpoint.version, now);
        listed.insert({ endpoint.service, endpoint.version });
        if (!endpoint.leaving)
            ++service.ready[endpoint.version];
    }
    for (auto& [name, service] : m_services) {
        const auto& serviceName = name;
        std::erase_if(service.seenSince, [&](const auto& it) { return !listed.contains({ serviceName, it.first }); });
        chooseBase(service);
        if (service.ready.size() < 2)
            forgetTrials(name);
    }
}

// The version that was there before; at the start, the one that most endpoints run.
void VersionGate::chooseBase(ServiceState& service) const
{
    bool isMoved = service.told && service.told->share >= 1 && service.ready.contains(service.told->version);
    if (isMoved)
        service.base = service.told->version;
    if (service.ready.contains(service.base) || (service.ready.empty() && !service.base.empty()))
        return;
    bool isTrial = service.told && !service.told->version.empty() && !isMoved;
    auto most = std::max_element(service.ready.begin(), service.ready.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
    if (most != service.ready.end() && !(isTrial && most->first == service.told->version))
        service.base = most->first;
}

void VersionGate::forgetTrials(const std::string& service)
{
    // Requests that still run are counted to their end.
    bool isIdle = std::none_of(m_trials.begin(), m_trials.end(), [&](const auto& it) { return it.first.service == service && it.second.running() > 0; });
    if (isIdle)
        std::erase_if(m_trials, [&](const auto& it) { return it.first.service == service; });
    if (isIdle)
        m_services[service].judge = RolloutJudge(m_options.judge);
}

void VersionGate::onNews(const VersionNews& others)
{
    m_othersTrials = others.trials;
    for (const auto& share : others.shares) {
        auto& service = m_services[share.service];
        if (service.told && share.toldAt < service.told->toldAt)
            continue;
        bool isNewOrder = service.told && (share.orderedAt != service.told->orderedAt || share.version != service.told->version);
        if (isNewOrder)
            service.judge = RolloutJudge(m_options.judge);
        service.told = share;
    }
    for (const auto& it : others.stopped)
        stop(it);
    for (auto& [name, service] : m_services)
        judge(name, service);
}

void VersionGate::judge(const std::string& name, ServiceState& service)
{
    bool isTrial = service.told && !service.told->version.empty() && isMixed(name);
    if (!isTrial)
        return;
    auto trials = m_othersTrials;
    addTrials(trials, m_trials);
    if (service.judge.update(evidenceOf(trials, name, service.told->version)) == RolloutVerdict::Bad)
        stop({ .service = name, .version = service.told->version, .orderedAt = service.told->orderedAt });
}

void VersionGate::stop(const StoppedVersion& version)
{
    if (std::find(m_stopped.begin(), m_stopped.end(), version) != m_stopped.end())
        return;
    constexpr std::size_t mostStopped = 16; // Orders of the last hours; older ones have ended long ago.
    if (m_stopped.size() >= mostStopped)
        m_stopped.erase(m_stopped.begin());
    m_stopped.push_back(version);
    m_newlyStopped.push_back(version);
}

std::vector<StoppedVersion> VersionGate::takeNewlyStopped() { return std::exchange(m_newlyStopped, {}); }

bool VersionGate::isStopped(const std::string& service, const std::string& version) const
{
    auto state = m_services.find(service);
    auto ordered = state != m_services.end() && state->second.told && state->second.told->version == version ? state->second.told->orderedAt : 0;
    return std::any_of(m_stopped.begin(), m_stopped.end(), [&](const auto& it) { return it.service == service && it.version == version && it.orderedAt >= ordered; });
}

bool VersionGate::isMixed(const std::string& service) const
{
    auto it = m_services.find(service);
    return it != m_services.end() && it->second.ready.size() > 1;
}

bool VersionGate::isOnTrial(const std::string& service, const std::string& version) const
{
    auto it = m_services.find(service);
    return it != m_services.end() && it->second.ready.size() > 1 && it->second.base != version;
}

bool VersionGate::isUnknown(const ServiceState& service, const std::string& version, SteadyTime now) const
{
    if (version == service.base)
        return false;
    if (service.told && (service.told->version.empty() || service.told->version == version))
        return false;
    auto since = service.seenSince.find(version);
    return since != service.seenSince.end() && now - since->second < m_options.unknownFor;
}

VersionLimits VersionGate::limitsFor(const std::string& service, std::uint64_t selector, SteadyTime now) const
{
    VersionLimits limits;
    auto found = m_services.find(service);
    if (found == m_services.end())
        return limits;
    const auto& state = found->second;
    bool isTrial = state.told && !state.told->version.empty();
    if (state.ready.size() < 2 && !isTrial)
        return limits;
    for (const auto& [version, ready] : state.ready) {
        if (isStopped(service, version) || isUnknown(state, version, now))
            limits.barred.push_back(version);
    }
    bool isOpen = isTrial && std::find(limits.barred.begin(), limits.barred.end(), state.told->version) == limits.barred.end();
    if (!isOpen)
        return limits;
    constexpr std::uint64_t steps = 1U << 20U;
    auto point = static_cast<double>(selector % steps) / steps;
    if (point >= state.told->share) {
        limits.barred.push_back(state.told->version);
        return limits;
    }
    limits.wanted = state.told->version;
    auto ready = state.ready.find(limits.wanted);
    if (state.told->share < 1 && ready != state.ready.end())
        limits.mostEndpoints = std::max(1U, static_cast<unsigned>(std::ceil(state.told->share * ready->second)));
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
