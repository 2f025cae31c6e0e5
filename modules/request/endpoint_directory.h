// Lists the endpoints that can take requests of a service at the moment. Combines the replicated state (configuration and endpoint
// catalog), the leaving marks of the membership server and the load tracker.
#pragma once

#include "modules/replica/state_replica.h"
#include "modules/routing/load_tracker.h"
#include "servers/membership/membership_server.h"
#include <optional>
#include <set>

namespace Onyxnotch {

// Model version and adapter that serve a service, and the latency objective of the service.
struct ServedModel {
    std::string model {};
    std::string adapter {};
    Objective objective {};

    bool operator==(const ServedModel&) const = default;
};

struct EndpointDirectoryOptions {
    std::string node {};
    std::size_t subsetSize { 64 }; // Maximum number of endpoints of one model that this node routes to.
    RouteOptions routing {};
    RoutePolicy policy {};
};

class EndpointDirectory {
public:
    EndpointDirectory(const StateReplica&, const MembershipServer&, LoadTracker&, EndpointDirectoryOptions);

    // Endpoints of this node's subset that serve the service's model version, except those that are draining, that are in a backoff they
    // requested, that have no credit left, or that are in `excluded`. Endpoints that refused a request a moment ago are included only if
    // there are no others.
    std::vector<RouteCandidate> candidates(const std::string& service, std::uint64_t prefixHash, const std::set<std::string>& excluded) const;
    // How much later than `objectiveFraction` of the time-to-first-token objective the first token is expected at the best candidate. Empty
    // if a candidate can take the request in time, or if there is no candidate.
    std::optional<Milliseconds> delayUntilTimely(const std::string& service, const RouteRequest&, double objectiveFraction) const;
    // Chooses one of the candidates by the configured routing policy, with the reason.
    RouteDecision choose(const std::vector<RouteCandidate>&, const RouteRequest&) const;
    // Expected number of tokens that the candidate's engine has to prefill, because they are not in its cache.
    double expectedPrefill(const RouteCandidate& candidate, const RouteRequest& request) const { return uncachedTokens(candidate, request, m_options.routing); }
    // Time until the first endpoint of the service is available again, if all are in a backoff they requested or have no credit left for
    // this node. 0 if one is available now, or if there is none.
    Milliseconds earliestAvailable(const std::string& service) const;
    // Endpoints that the declaration of a plain service lists, filtered like those of candidates().
    std::vector<PlainEndpoint> plainEndpoints(const std::string& service, const std::set<std::string>& excluded) const;

    // Whether the endpoint is draining: it has a leaving mark from any source, or an operator declared a Drain object for it.
    bool isLeaving(const std::string& endpoint) const;
    // Time until a draining endpoint ends. Empty if no deadline is known.
    std::optional<Milliseconds> timeLeft(const std::string& endpoint) const;
    std::optional<Endpoint> find(const std::string& endpoint) const;
    // All engines in the endpoint catalog, over all zones.
    std::vector<Endpoint> all() const;
    // Engines that this node routes to, a part of all(). Computed again when the replicated state has changed.
    std::shared_ptr<const std::vector<Endpoint>> subset() const;
    // Empty if the service is not declared or has no model version.
    std::optional<ServedModel> servedModel(const std::string& service) const;

    LoadTracker& loads() const { return m_loads; }

    // Number of gateways that send requests to the same endpoints: alive and not shutting down. At least 1.
    unsigned gatewayCount() const;

private:
    // Endpoints that serve the service and are not draining, including temporarily unavailable ones: engines of this node's subset, and the
    // endpoints that a plain service lists.
    std::vector<Endpoint> nonDrainingEngines(const ServiceSpec&, const Configuration&) const;
    std::vector<PlainEndpoint> nonDrainingPlainEndpoints(const ServiceSpec&) const;
    // Whether the endpoint is in a backoff that it requested, or has no credit left for this node.
    bool isTemporarilyUnavailable(const std::string& endpoint) const;

    // The result of subset() for one version of the replicated state.
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
