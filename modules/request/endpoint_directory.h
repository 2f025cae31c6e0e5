// Which endpoints can be given work for a service now: the shared state, the leaving marks and the load, seen together.
#pragma once

#include "modules/replica/state_replica.h"
#include "modules/routing/load_tracker.h"
#include "servers/membership/membership_server.h"
#include <optional>
#include <set>

namespace Onyxnotch {

// The model version and adapter that serve a service, and what it promises.
struct ServedModel {
    std::string model {};
    std::string adapter {};
    Objective objective {};

    bool operator==(const ServedModel&) const = default;
};

struct EndpointDirectoryOptions {
    std::string node {};
    std::size_t subsetSize { 64 }; // Endpoints of one model that this node routes to.
    RouteOptions routing {};
    RoutePolicy policy {};
};

class EndpointDirectory {
public:
    EndpointDirectory(const StateReplica&, const MembershipServer&, LoadTracker&, EndpointDirectoryOptions);

    // The endpoints that serve the service's model version, without those that leave, rest or take no more for now, and those in `excluded`. Those that turned a
    // request away a moment ago only where there are no others.
    std::vector<RouteCandidate> candidates(const std::string& service, std::uint64_t prefixHash, const std::set<std::string>& excluded) const;
    // Empty where a candidate can take the request without being late, or there is none at all. Otherwise how late it would be.
    std::optional<Milliseconds> delayUntilTimely(const std::string& service, const RouteRequest&, double part) const;
    // Of those the one that routing chooses, with the reason.
    RouteDecision choose(const std::vector<RouteCandidate>&, const RouteRequest&) const;
    // Tokens that the engine will have to prefill.
    double expectedPrefill(const RouteCandidate& candidate, const RouteRequest& request) const { return uncachedTokens(candidate, request, m_options.routing); }
    // How long all endpoints of the service still rest, as they asked this node, or take no more from it; 0 where one does, or there is none.
    Milliseconds firstBack(const std::string& service) const;
    // Fixed endpoints of a plain service, chosen in the same way.
    std::vector<PlainEndpoint> plainEndpoints(const std::string& service, const std::set<std::string>& excluded) const;

    // By a mark of any source, or an operator's Drain object.
    bool isLeaving(const std::string& endpoint) const;
    // When it ends; empty where that is not known.
    std::optional<Milliseconds> timeLeft(const std::string& endpoint) const;
    std::optional<Endpoint> find(const std::string& endpoint) const;
    std::vector<Endpoint> all() const;
    // Those that this node routes to; made anew when the shared state has changed.
    std::shared_ptr<const std::vector<Endpoint>> subset() const;
    // What a model service is served by; empty for none.
    std::optional<ServedModel> servedModel(const std::string& service) const;

    LoadTracker& loads() const { return m_loads; }

    // Gateways that send requests to the same endpoints.
    unsigned gatewayCount() const;

private:
    // Those that serve the service and do not leave, resting ones included: engines of this node's part, and fixed endpoints.
    std::vector<Endpoint> stayingEngines(const ServiceSpec&, const Configuration&) const;
    std::vector<PlainEndpoint> stayingPlain(const ServiceSpec&) const;
    // Or takes no more for now.
    bool isResting(const std::string& endpoint) const;

    // The part of the endpoints that follows from one state.
    struct Subset {
        std::shared_ptr<const SharedState> state {};
        std::vector<Endpoint> endpoints {};
    };

    const StateReplica& m_replica;
    const MembershipServer& m_membership;
    LoadTracker& m_loads;
    EndpointDirectoryOptions m_options;
    mutable std::shared_ptr<const Subset> m_subset;
};

} // namespace Onyxnotch
