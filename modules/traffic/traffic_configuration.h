// What operators have declared about requests: routes, services, teams and limits, as one immutable value with an index.
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

// What may be done with a request that failed.
enum class RequestKind {
    Idempotent, // May run more than once.
    AtMostOnce, // May run once for each id.
    Stream, // A series of events; at most once unless the route is resumable.
};

// A part of a route's requests that goes to one service.
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
    Milliseconds timeout { 15000 }; // The longest time that a request is held.
    Milliseconds objective { 1000 }; // To the answer, or to a stream's first event.
    Milliseconds pauseObjective { 0 }; // Between two events of a stream; 0 where there is none.
    int priority { 5 }; // 0 is the most urgent.
    std::vector<SplitTarget> targets {};
    unsigned maximumAttempts { 1 }; // Endpoints that one request may be sent to.
    bool isPublic { false }; // Needs no key.
    bool resumable { false };

    bool operator==(const TrafficRoute&) const = default;
    // Whether it may run again after it may have run.
    bool repeatable() const { return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable); }
};

// Of one engine of a service that runs models.
struct EngineProfile {
    unsigned slots { 64 };
    double memoryTokens { 0 }; // Of the prefix memory that running requests and kept prefixes share.

    bool operator==(const EngineProfile&) const = default;
};

// How many endpoints of a service may be ordered, and what they cost.
struct ScalingBounds {
    unsigned minimum { 1 }; // In each availability zone.
    unsigned maximum { 1 };
    Milliseconds bootTime { 4000 };
    double reclaimablePrice { 1 }; // As a part of the on-demand price; 1 where there are none.
    std::map<std::string, double> zonePrices {};

    bool operator==(const ScalingBounds&) const = default;
};

struct TrafficService {
    std::string name {};
    std::string healthPath {};
    unsigned maximumConnections { 100 }; // To one endpoint, from all nodes together.
    std::optional<EngineProfile> engine {};
    std::optional<ScalingBounds> scaling {};

    bool operator==(const TrafficService&) const = default;
};

struct TrafficTeam {
    std::string name {};
    std::vector<std::string> keys {};
    std::optional<int> priority {}; // Goes before the route's.
    bool countsTokens { false }; // The limit is in tokens, not in requests.
    double defaultTokens { 1 }; // Of a request that names no token counts.
    double ratePerSecond { 0 }; // 0 for no limit.
    double burst { 0 };

    bool operator==(const TrafficTeam&) const = default;
};

// What a request has to let pass.
struct MoreUrgent {
    unsigned kinds { 0 }; // Different priorities.
    Milliseconds shortestObjective { Milliseconds::max() };

    bool operator==(const MoreUrgent&) const = default;
};

struct CallerLimits {
    std::size_t maximumHeadBytes { 16384 };
    std::size_t maximumBodyBytes { 4U << 20U };
    Milliseconds headTimeout { 3000 };
    Milliseconds idleTimeout { 15000 };

    bool operator==(const CallerLimits&) const = default;
};

// The declared values, as a source delivers them.
struct TrafficDeclaration {
    std::uint64_t version { 0 };
    std::vector<TrafficRoute> routes {};
    std::vector<TrafficService> services {};
    std::vector<TrafficTeam> teams {};
    CallerLimits limits {};

    bool operator==(const TrafficDeclaration&) const = default;
};

// The declaration with the indexes that a request needs. Immutable, shared between threads.
class TrafficConfiguration {
public:
    explicit TrafficConfiguration(TrafficDeclaration);

    std::uint64_t version() const { return m_declaration.version; }
    const TrafficDeclaration& declaration() const { return m_declaration; }
    // The route with the longest prefix that begins the path; nullptr where there is none. `host` may hold a port.
    const TrafficRoute* findRoute(std::string_view host, std::string_view path) const;
    const TrafficTeam* findTeam(const std::string& key) const;
    const TrafficTeam* teamNamed(const std::string& name) const;
    const TrafficService* findService(const std::string& name) const;
    // Of the requests that go to this service, those that are more urgent than this priority.
    MoreUrgent moreUrgent(const std::string& service, int priority) const;
    bool needsKeys() const { return !m_declaration.teams.empty(); }

private:
    TrafficDeclaration m_declaration;
    std::unordered_map<std::string, std::vector<const TrafficRoute*>> m_routesOfHost {}; // The longest prefix first.
    std::unordered_map<std::string, const TrafficTeam*> m_teamOfKey {};
    std::unordered_map<std::string, const TrafficService*> m_services {};
    std::unordered_map<std::string, std::map<int, Milliseconds>> m_objectivesOfService {}; // The shortest of each priority.
};

// Chooses a service by the weights: `selector` is spread evenly over all its values, for instance a hash of the request's id.
const std::string& chooseTarget(const TrafficRoute&, std::uint64_t selector);

} // namespace Onyxnotch
