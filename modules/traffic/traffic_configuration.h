// The configuration that operators declare for requests (routes, services, teams, limits), as one immutable value with indexes.
#pragma once

#include "core/clock.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Onyxnotch {

// Whether a request may be sent again after an attempt that may have executed it.
enum class RequestKind {
    Idempotent, // May be executed more than once.
    AtMostOnce, // May be executed once for each request id.
    Stream, // The response is a series of events. Executed at most once, unless the route is resumable.
};

// The share of a route's requests that goes to one service, proportional to `weight`.
struct SplitTarget {
    std::string service {};
    double weight { 1 };

    bool operator==(const SplitTarget&) const = default;
};

struct TrafficRoute {
    std::string name {};
    std::string host {}; // In lower case.
    std::string pathPrefix {};
    RequestKind kind { RequestKind::AtMostOnce };
    Milliseconds timeout { 15000 }; // Maximum time from a request's arrival to the end of its response.
    Milliseconds objective { 1000 }; // Target time to the response, or to a stream's first event.
    Milliseconds pauseObjective { 0 }; // Target time between two events of a stream; 0 for no target.
    int priority { 5 }; // 0 is the most urgent.
    std::vector<SplitTarget> targets {};
    unsigned maximumAttempts { 1 }; // Attempts per request, not counting those that endpoints did not execute.
    bool isPublic { false }; // Requests need no key.
    bool resumable { false }; // A failed stream may continue at another endpoint, after the last event that was passed on.

    bool operator==(const TrafficRoute&) const = default;
    // Whether a request may be sent again after an attempt that may have executed it.
    bool repeatable() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable); }
};

// Capacity of one inference engine of a service.
struct EngineProfile {
    unsigned slots { 64 }; // Requests that the engine executes at the same time.
    double memoryTokens { 0 }; // Size, in tokens, of the memory that running requests and cached prefixes share.

    bool operator==(const EngineProfile&) const = default;
};

// How many endpoints of a service the scaler may start, and their relative prices.
struct ScalingBounds {
    unsigned minimum { 1 }; // Endpoints in each availability zone.
    unsigned maximum { 1 };
    Milliseconds bootTime { 4000 }; // Time from the order of an endpoint until it is ready.
    // Price of a reclaimable instance as a fraction of the on-demand price; 1 if there are no reclaimable instances.
    double reclaimablePrice { 1 };
    std::map<std::string, double> zonePrices {};

    bool operator==(const ScalingBounds&) const = default;
};

struct TrafficService {
    std::string name {};
    std::string healthPath {};
    unsigned maximumConnections { 100 }; // Connections to one endpoint, from all nodes together.
    std::optional<EngineProfile> engine {};
    std::optional<ScalingBounds> scaling {};

    bool operator==(const TrafficService&) const = default;
};

struct TrafficTeam {
    std::string name {};
    std::vector<std::string> keys {};
    std::optional<int> priority {}; // Overrides the route's priority.
    bool countsTokens { false }; // The limit counts tokens instead of requests.
    double defaultTokens { 1 }; // Charged for a request that does not state its token counts.
    double ratePerSecond { 0 }; // Requests or tokens per second; 0 for no limit.
    double burst { 0 }; // Requests or tokens that the team may use at once (capacity of its token bucket).

    bool operator==(const TrafficTeam&) const = default;
};

// The more urgent requests that a request has to give way to.
struct MoreUrgentRequests {
    unsigned priorities { 0 }; // Number of different priorities among them.
    Milliseconds shortestObjective { Milliseconds::max() };

    bool operator==(const MoreUrgentRequests&) const = default;
};

struct ClientLimits {
    std::size_t maximumHeadBytes { 16384 };
    std::size_t maximumBodyBytes { 4U << 20U };
    Milliseconds headTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    bool operator==(const ClientLimits&) const = default;
};

// The declared values, as the configuration source delivers them.
struct TrafficDeclaration {
    std::uint64_t version { 0 };
    std::vector<TrafficRoute> routes {};
    std::vector<TrafficService> services {};
    std::vector<TrafficTeam> teams {};
    ClientLimits limits {};

    bool operator==(const TrafficDeclaration&) const = default;
};

// A declaration with indexes for looking up routes, teams and services. Immutable, shared between threads.
class TrafficConfiguration {
public:
    explicit TrafficConfiguration(TrafficDeclaration);

    std::uint64_t version() const { return m_declaration.version; }
    const TrafficDeclaration& declaration() const { return m_declaration; }
    // Returns the route of this host with the longest `pathPrefix` that the path begins with, or nullptr. A port in `host` is ignored.
    const TrafficRoute* findRoute(std::string_view host, std::string_view path) const;
    const TrafficTeam* findTeam(const std::string& key) const;
    const TrafficTeam* findTeamByName(const std::string& name) const;
    const TrafficService* findService(const std::string& name) const;
    // Summarizes the requests to this service that are more urgent than `priority`.
    MoreUrgentRequests moreUrgent(const std::string& service, int priority) const;
    bool needsKeys() const { return !m_declaration.teams.empty(); }

private:
    TrafficDeclaration m_declaration;
    std::unordered_map<std::string, std::vector<const TrafficRoute*>> m_routesByHost {}; // By normalized host; the longest prefix first.
    std::unordered_map<std::string, const TrafficTeam*> m_teamsByKey {};
    std::unordered_map<std::string, const TrafficService*> m_services {};
    // By service, then by priority: the shortest objective.
    std::unordered_map<std::string, std::map<int, Milliseconds>> m_objectivesByService {};
};

// Chooses one of the route's services by weight. `selector` must be uniformly distributed, e.g. a hash of the request's id. Returns an
// empty string if the route has no targets.
const std::string& chooseTarget(const TrafficRoute&, std::uint64_t selector);

} // namespace Onyxnotch
