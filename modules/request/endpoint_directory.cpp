#include "modules/request/endpoint_directory.h"

#include "core/digest.h"
#include "modules/routing/endpoint_subset.h"
#include <algorithm>
#include <random>

namespace Onyxnotch {

EndpointDirectory::EndpointDirectory(const StateReplica& replica, const MembershipServer& membership, LoadTracker& loads, EndpointDirectoryOptions options)
    : m_replica(replica)
    , m_membership(membership)
    , m_loads(loads)
    , m_options(std::move(options))
{
}

namespace {

    // Marks one candidate as having the prompt prefix cached: the one with the highest hash of endpoint id and prefix (rendezvous hashing).
    // All gateways pick the same endpoint, so they share its cache without exchanging messages.
    void markPrefixCached(std::vector<RouteCandidate>& candidates, std::uint64_t prefixHash)
    {
        if (candidates.empty() || prefixHash == 0)
            return;
        auto weight = [&](const RouteCandidate& it) { return fastHash(it.endpoint.id + "|" + std::to_string(prefixHash)); };
        auto cachingCandidate = std::max_element(candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) { return weight(left) < weight(right); });
        cachingCandidate->load.prefixCached = true;
    }

    // Removes the endpoints that are paused after refusing a request, unless all of them are paused.
    template <typename Endpoints, typename Predicate>
    void removePausedUnlessAll(Endpoints& endpoints, Predicate isPaused)
    {
        if (!std::all_of(endpoints.begin(), endpoints.end(), isPaused))
            std::erase_if(endpoints, isPaused);
    }

} // namespace

std::optional<ServedModel> EndpointDirectory::servedModel(const std::string& service) const
{
    auto state = m_replica.state();
    const auto* spec = state->configuration.service(service);
    const auto* model = spec ? state->configuration.modelVersionFor(*spec) : nullptr;
    if (!model)
        return std::nullopt;
    return ServedModel { .model = model->name.name, .adapter = spec->adapter, .objective = spec->objective };
}

std::vector<Endpoint> EndpointDirectory::nonDrainingEngines(const ServiceSpec& service, const Configuration& configuration) const
{
    const auto* model = configuration.modelVersionFor(service);
    if (!model)
        return {};
    auto serves = [&](const Endpoint& it) {
        bool hasAdapter = service.adapter.empty() || std::find(it.adapters.begin(), it.adapters.end(), service.adapter) != it.adapters.end();
        return it.model == model->name.name && hasAdapter && !isLeaving(it.id);
    };
    auto reachable = subset();
    std::vector<Endpoint> engines;
    std::copy_if(reachable->begin(), reachable->end(), std::back_inserter(engines), serves);
    return engines;
}

std::vector<RouteCandidate> EndpointDirectory::candidates(const std::string& service, std::uint64_t prefixHash, const std::set<std::string>& excluded) const
{
    auto state = m_replica.state();
    const auto* spec = state->configuration.service(service);
    std::vector<RouteCandidate> chosen;
    if (!spec)
        return chosen;
    for (const auto& it : nonDrainingEngines(*spec, state->configuration)) {
        if (!excluded.contains(it.id) && !isTemporarilyUnavailable(it.id))
            chosen.push_back({ .endpoint = it, .load = m_loads.load(it.id, prefixHash) });
    }
    removePausedUnlessAll(chosen, [this](const auto& it) { return m_loads.isPaused(it.endpoint.id); });
    markPrefixCached(chosen, prefixHash);
    return chosen;
}

unsigned EndpointDirectory::gatewayCount() const
{
    auto view = m_membership.view();
    auto isActiveGateway = [](const Member& it) { return it.role == MemberRole::Gateway && it.state == MemberState::Alive && !it.leaving; };
    return static_cast<unsigned>(std::max<std::ptrdiff_t>(1, std::count_if(view->members.begin(), view->members.end(), isActiveGateway)));
}

std::optional<Milliseconds> EndpointDirectory::delayUntilTimely(const std::string& service, const RouteRequest& request, double objectiveFraction) const
{
    double allowedSeconds = objectiveFraction * std::chrono::duration<double>(request.objective.firstToken).count();
    std::optional<double> shortestDelay;
    for (const auto& it : candidates(service, request.prefixHash, {})) {
        if (isTimely(it, request, m_options.routing, objectiveFraction))
            return std::nullopt;
        auto delay = expectedFirstTokenSeconds(it, request, m_options.routing) - allowedSeconds;
        shortestDelay = std::min(shortestDelay.value_or(delay), delay);
    }
    if (!shortestDelay)
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(*shortestDelay));
}

RouteDecision EndpointDirectory::choose(const std::vector<RouteCandidate>& candidates, const RouteRequest& request) const
{
    thread_local std::mt19937_64 random { std::random_device {}() };
    return m_options.policy(candidates, request, m_options.routing, random());
}

std::vector<PlainEndpoint> EndpointDirectory::nonDrainingPlainEndpoints(const ServiceSpec& service) const
{
    auto endpoints = service.endpoints;
    std::erase_if(endpoints, [this](const PlainEndpoint& it) { return isLeaving(it.id); });
    return endpoints;
}

std::vector<PlainEndpoint> EndpointDirectory::plainEndpoints(const std::string& service, const std::set<std::string>& excluded) const
{
    auto state = m_replica.state();
    const auto* spec = state->configuration.service(service);
    if (!spec)
        return {};
    auto endpoints = nonDrainingPlainEndpoints(*spec);
    std::erase_if(endpoints, [&](const PlainEndpoint& it) { return excluded.contains(it.id) || isTemporarilyUnavailable(it.id); });
    removePausedUnlessAll(endpoints, [this](const auto& it) { return m_loads.isPaused(it.id); });
    return endpoints;
}

// Only considers endpoints that this node may route to, because this node cannot send requests to the others.
Milliseconds EndpointDirectory::earliestAvailable(const std::string& service) const
{
    auto state = m_replica.state();
    const auto* spec = state->configuration.service(service);
    if (!spec)
        return Milliseconds(0);
    std::optional<Milliseconds> earliest;
    auto consider = [&](const std::string& endpoint) {
        auto untilAvailable = m_loads.timeUntilReady(endpoint);
        earliest = std::min(earliest.value_or(untilAvailable), untilAvailable);
    };
    if (spec->type == ServiceType::Model) {
        for (const auto& it : nonDrainingEngines(*spec, state->configuration))
            consider(it.id);
    }
    for (const auto& it : nonDrainingPlainEndpoints(*spec))
        consider(it.id);
    return earliest.value_or(Milliseconds(0));
}

bool EndpointDirectory::isTemporarilyUnavailable(const std::string& endpoint) const { return m_loads.timeUntilReady(endpoint).count() > 0; }

bool EndpointDirectory::isLeaving(const std::string& endpoint) const
{
    if (m_membership.view()->marks.contains(endpoint))
        return true;
    return m_replica.state()->configuration.isDrained(endpoint);
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

std::shared_ptr<const std::vector<Endpoint>> EndpointDirectory::subset() const
{
    auto state = m_replica.state();
    auto cached = std::atomic_load(&m_subset);
    if (!cached || cached->state != state) {
        // Concurrent readers may both compute the subset; their results are equal.
        cached = std::make_shared<Subset>(Subset { .state = state, .endpoints = chooseSubset(all(), m_options.node, m_options.subsetSize) });
        std::atomic_store(&m_subset, cached);
    }
    return { cached, &cached->endpoints };
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
