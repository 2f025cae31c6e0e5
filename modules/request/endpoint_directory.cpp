#include "modules/request/endpoint_directory.h"

#include <algorithm>

namespace Onyxnotch {

EndpointDirectory::EndpointDirectory(const StateReplica& replica, const MembershipServer& membership, LoadTracker& loads, const RouteOptions& options)
    : m_replica(replica)
    , m_membership(membership)
    , m_loads(loads)
    , m_options(options)
{
}

std::optional<ServedModel> EndpointDirectory::servedModel(const std::string& service) const
{
    auto state = m_replica.state();
    const auto* spec = state->configuration.service(service);
    const auto* model = spec ? state->configuration.modelVersionFor(*spec) : nullptr;
    if (!model)
        return std::nullopt;
    return ServedModel { .model = model->name.name, .adapter = spec->adapter, .objective = spec->objective };
}

std::vector<RouteCandidate> EndpointDirectory::candidates(const std::string& service, std::uint64_t prefixHash, const std::set<std::string>& excluded) const
{
    auto state = m_replica.state();
    const auto* spec = state->configuration.service(service);
    const auto* model = spec ? state->configuration.modelVersionFor(*spec) : nullptr;
    std::vector<RouteCandidate> chosen;
    if (!model)
        return chosen;
    auto serves = [&](const Endpoint& it) {
        bool hasAdapter = spec->adapter.empty() || std::find(it.adapters.begin(), it.adapters.end(), spec->adapter) != it.adapters.end();
        return it.model == model->name.name && hasAdapter && !excluded.contains(it.id) && !isLeaving(it.id);
    };
    for (const auto& [zone, endpoints] : state->zones) {
        for (const auto& it : endpoints.endpoints) {
            if (serves(it))
                chosen.push_back({ .endpoint = it, .load = m_loads.load(it.id, prefixHash) });
        }
    }
    return chosen;
}

RouteDecision EndpointDirectory::choose(const std::vector<RouteCandidate>& candidates, const RouteRequest& request) const
{
    return chooseEndpoint(candidates, request, m_options);
}

std::vector<PlainEndpoint> EndpointDirectory::plainEndpoints(const std::string& service) const
{
    auto state = m_replica.state();
    const auto* spec = state->configuration.service(service);
    if (!spec)
        return {};
    auto endpoints = spec->endpoints;
    std::erase_if(endpoints, [this](const PlainEndpoint& it) { return isLeaving(it.id); });
    return endpoints;
}

bool EndpointDirectory::isLeaving(const std::string& endpoint) const
{
    if (m_membership.view()->marks.contains(endpoint))
        return true;
    bool drained = false;
    m_replica.state()->configuration.forEach<DrainSpec>([&](const DeclaredObject&, const DrainSpec& drain) { drained |= drain.instance == endpoint; });
    return drained;
}

std::optional<Milliseconds> EndpointDirectory::timeLeft(const std::string& endpoint) const
{
    auto view = m_membership.view();
    auto it = view->marks.find(endpoint);
    if (it == view->marks.end() || it->second.deadlineWallMilliseconds == 0)
        return std::nullopt;
    auto now = wallMilliseconds();
    auto deadline = it->second.deadlineWallMilliseconds;
    return Milliseconds(deadline > now ? deadline - now : 0);
}

std::optional<Endpoint> EndpointDirectory::find(const std::string& endpoint) const
{
    for (const auto& it : all()) {
        if (it.id == endpoint)
            return it;
    }
    return std::nullopt;
}

std::vector<Endpoint> EndpointDirectory::all() const
{
    auto state = m_replica.state();
    std::vector<Endpoint> endpoints;
    for (const auto& [zone, it] : state->zones)
        endpoints.insert(endpoints.end(), it.endpoints.begin(), it.endpoints.end());
    return endpoints;
}

} // namespace Onyxnotch
