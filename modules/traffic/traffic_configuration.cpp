#include "modules/traffic/traffic_configuration.h"

#include <algorithm>
#include <cctype>

namespace Onyxnotch {

namespace {

    std::string normalizedHost(std::string_view host)
    {
        std::string name(host.substr(0, host.find(':')));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char it) { return std::tolower(it); });
        return name;
    }

} // namespace

TrafficConfiguration::TrafficConfiguration(TrafficDeclaration declaration)
    : m_declaration(std::move(declaration))
{
    for (const auto& it : m_declaration.routes)
        m_routesByHost[normalizedHost(it.host)].push_back(&it);
    for (auto& [host, routes] : m_routesByHost)
        std::stable_sort(routes.begin(), routes.end(), [](const auto* left, const auto* right) { return left->pathPrefix.size() > right->pathPrefix.size(); });
    for (const auto& team : m_declaration.teams) {
        for (const auto& key : team.keys)
            m_teamsByKey.emplace(key, &team);
    }
    for (const auto& it : m_declaration.services)
        m_services.emplace(it.name, &it);
    for (const auto& route : m_declaration.routes) {
        for (const auto& target : route.targets) {
            auto& shortest = m_objectivesByService[target.service].try_emplace(route.priority, route.objective).first->second;
            shortest = std::min(shortest, route.objective);
        }
    }
}

MoreUrgentRequests TrafficConfiguration::moreUrgent(const std::string& service, int priority) const
{
    MoreUrgentRequests result;
    auto found = m_objectivesByService.find(service);
    if (found == m_objectivesByService.end())
        return result;
    for (auto it = found->second.begin(); it != found->second.lower_bound(priority); ++it) {
        ++result.priorities;
        result.shortestObjective = std::min(result.shortestObjective, it->second);
    }
    return result;
}

const TrafficRoute* TrafficConfiguration::findRoute(std::string_view host, std::string_view path) const
{
    auto found = m_routesByHost.find(normalizedHost(host));
    if (found == m_routesByHost.end())
        return nullptr;
    auto it = std::find_if(found->second.begin(), found->second.end(), [&](const auto* route) { return path.substr(0, route->pathPrefix.size()) == route->pathPrefix; });
    return it == found->second.end() ? nullptr : *it;
}

const TrafficTeam* TrafficConfiguration::findTeam(const std::string& key) const
{
    auto it = m_teamsByKey.find(key);
    return it == m_teamsByKey.end() ? nullptr : it->second;
}

const TrafficTeam* TrafficConfiguration::findTeamByName(const std::string& name) const
{
    auto it = std::find_if(m_declaration.teams.begin(), m_declaration.teams.end(), [&](const auto& team) { return team.name == name; });
    return it == m_declaration.teams.end() ? nullptr : &*it;
}

const TrafficService* TrafficConfiguration::findService(const std::string& name) const
{
    auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

const std::string& chooseTarget(const TrafficRoute& route, std::uint64_t selector)
{
    static const std::string none;
    double total = 0;
    for (const auto& it : route.targets)
        total += it.weight;
    constexpr double selectorRange = 1U << 20U;
    auto position = static_cast<double>(selector % (1U << 20U)) / selectorRange * total;
    for (const auto& it : route.targets) {
        if (position < it.weight)
            return it.service;
        position -= it.weight;
    }
    return route.targets.empty() ? none : route.targets.back().service;
}

} // namespace Onyxnotch
