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

    // Every gateway expects a prefix at the same endpoint (the highest random weight), so that they share its cache without a word.
    void markPrefixHome(std::vector<RouteCandidate>& candidates, std::uint64_t prefixHash)
    {
        if (candidates.empty() || prefixHash == 0)
            return;
        auto weight = [&](const RouteCandidate& it) { return fastHash(it.endpoint.id + "|" + std::to_string(prefixHash)); };
        auto home = std::max_element(candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) { return weight(left) < weight(right); });
        home->load.prefixCached = true;
    }

    // Unless there are no others.
    template <typename Endpoints, typename Predicate>
    void leavePausedAlone(Endpoints& endpoints, Predicate isPaused)
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

std::vector<Endpoint> EndpointDirectory::stayingEngines(const ServiceSpec& service, const Configuration& configuration) const
{
    const auto* model = configuration.modelVersionFor(service);
    if (!model)
        return {};
    auto serves = [&](const Endpoint& it) {
        bool hasAdapter = service.adapter.empty() || std::find(it.adapters.begin(), it.adapters.end(), service.adapter) != it.adapters.end();
        return it.model == model->name.name && hasAdapter && !isLeaving(it.id);
    };
    auto routed = subset();
    std::vector<Endpoint> engines;
    std::copy_if(routed->begin(), routed->end(), std::back_inserter(engines), serves);
    return engines;
}

std::vector<RouteCandidate> EndpointDirectory::candidates(const std::string& service, std::uint64_t prefixHash, const std::set<std::string>& excluded) const
{
    auto state = m_replica.state();
    const auto* spec = state->configuration.service(service);
    std::vector<RouteCandidate> chosen;
    if (!spec)
        return chosen;
    for (const auto& it : stayingEngines(*spec, state->configuration)) {
        if (!excluded.contains(it.id) && !isResting(it.id))
            chosen.push_back({ .endpoint = it, .load = m_loads.load(it.id, prefixHash) });
    }
    leavePausedAlone(chosen, [this](const auto& it) { return m_loads.isPaused(it.endpoint.id); });
    markPrefixHome(chosen, prefixHash);
    return chosen;
}

unsigned EndpointDirectory::gatewayCount() const
{
    auto view = m_membership.view();
    auto counts = [](const Member& it) { return it.role == MemberRole::Gateway && it.state == MemberState::Alive && !it.leaving; };
    return static_cast<unsigned>(std::max<std::ptrdiff_t>(1, std::count_if(view->members.begin(), view->members.end(), counts)));
}

std::optional<Milliseconds> EndpointDirectory::delayUntilTimely(const std::string& service, const RouteRequest& request, double part) const
{
    double limit = part * std::chrono::duration<double>(request.objective.firstToken).count();
    std::optional<double> shortest;
    for (const auto& it : candidates(service, request.prefixHash, {})) {
        if (isTimely(it, request, m_options.routing, part))
            return std::nullopt;
        auto late = expectedFirstTokenSeconds(it, request, m_options.routing) - limit;
        shortest = std::min(shortest.value_or(late), late);
    }
    if (!shortest)
        return std::nullopt;
    return std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(*shortest));
}

RouteDecision EndpointDirectory::choose(const std::vector<RouteCandidate>& candidates, const RouteRequest& request) const
{
    thread_local std::mt19937_64 random { std::random_device {}() };
    return m_options.policy(candidates, request, m_options.routing, random());
}

std::vector<PlainEndpoint> EndpointDirectory::stayingPlain(const ServiceSpec& service) const
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
    auto endpoints = stayingPlain(*spec);
    std::erase_if(endpoints, [&](const PlainEndpoint& it) { return excluded.contains(it.id) || isResting(it.id); });
    leavePausedAlone(endpoints, [this](const auto& it) { return m_loads.isPaused(it.id); });
    return endpoints;
}

// Of those that this node may route to: what others take says nothing of when this node can serve.
Milliseconds EndpointDirectory::firstBack(const std::string& service) const
{
    auto state = m_replica.state();
    const auto* spec = state->configuration.service(service);
    if (!spec)
        return Milliseconds(0);
    std::optional<Milliseconds> first;
    auto consider = [&](const std::string& endpoint) {
        auto left = m_loads.untilReady(endpoint);
        first = std::min(first.value_or(left), left);
    };
    if (spec->type == ServiceType::Model) {
        for (const auto& it : stayingEngines(*spec, state->configuration))
            consider(it.id);
    }
    for (const auto& it : stayingPlain(*spec))
        consider(it.id);
    return first.value_or(Milliseconds(0));
}

bool EndpointDirectory::isResting(const std::string& endpoint) const { return m_loads.untilReady(endpoint).count() > 0; }

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
    auto known = std::atomic_load(&m_subset);
    if (!known || known->state != state) {
        // Two readers that do this at once make the same.
        known = std::make_shared<Subset>(Subset { .state = state, .endpoints = chooseSubset(all(), m_options.node, m_options.subsetSize) });
        std::atomic_store(&m_subset, known);
    }
    return { known, &known->endpoints };
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
