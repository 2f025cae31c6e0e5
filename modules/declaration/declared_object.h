// The objects that operators declare, as value types, with their JSON encoding. The JSON is expected to have passed the schema.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/outcome.h"
#include "modules/declaration/selector.h"
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>
#include <vector>

namespace Onyxnotch {

enum class ObjectKind {
    Adapter,
    Drain,
    ModelVersion,
    PlacementRule,
    Service,
    Team,
};

std::string toString(ObjectKind);
Result<ObjectKind> parseObjectKind(const std::string&);

// Identifies an object by kind and name.
struct ObjectName {
    ObjectKind kind { ObjectKind::Service };
    std::string name {};

    auto operator<=>(const ObjectName&) const = default;
    std::string text() const { return toString(kind) + "/" + name; }
};

// One version of a model, as engines load it.
struct ModelVersionSpec {
    std::string model {};
    unsigned version { 1 };
    std::string weights {}; // Key in the weight store.

    bool operator==(const ModelVersionSpec&) const = default;
};

// A fine-tuned adapter of a model.
struct AdapterSpec {
    std::string model {};
    std::string weights {}; // Key in the weight store.

    bool operator==(const AdapterSpec&) const = default;
};

// Service level objective for the latency of answers. The error-budget burn report measures against it.
struct Objective {
    Milliseconds firstToken { 720 }; // Longest time from the request to the first token.
    Milliseconds betweenTokens { 79 }; // Longest time between two tokens.
    double requiredShare { 0.95 }; // Share of answers that must meet both limits.

    bool operator==(const Objective&) const = default;
};

// A statically declared endpoint of a plain (non-model) service.
struct PlainEndpoint {
    std::string id {};
    Address address {};
    std::string zone {};

    bool operator==(const PlainEndpoint&) const = default;
};

// What serves a service's requests.
enum class ServiceType {
    Model, // Model engines, which are placed by placement rules.
    Plain, // Fixed endpoints that the service lists.
};

// A service that teams can call.
struct ServiceSpec {
    ServiceType type { ServiceType::Model };
    Selector models {}; // Selects model versions by label. The highest selected version is served.
    std::string adapter {}; // Name of an Adapter object; empty if none is used.
    std::vector<PlainEndpoint> endpoints {}; // Used by plain services only.
    bool repeatable { true }; // If false, each call is executed at most once and requires a ticket.
    Objective objective {};

    bool operator==(const ServiceSpec&) const = default;
};

// A customer: its keys, the services that it may call, its rate limit and its priority.
struct TeamSpec {
    std::vector<std::string> keyDigests {}; // SHA-256 of the bearer keys, lower-case hexadecimal.
    Selector services {}; // Services that the team may call.
    double requestsPerSecond { 0 }; // Rate limit over all nodes together; 0 means no limit.
    int priority { 0 }; // Requests with a higher value are served first.

    bool operator==(const TeamSpec&) const = default;
};

// Defines how many endpoints serve the selected services, and on which cloud offers (instance types) they may run.
// Offers have the labels "zone", "class" and "market".
struct PlacementRuleSpec {
    Selector services {};
    Selector offers {};
    unsigned replicas { 1 }; // Number of endpoints.
    unsigned minimumZones { 1 }; // Number of availability zones over which the endpoints must at least be spread.
    bool checksFences { true }; // Whether the engines on these offers refuse orders with an outdated fencing token.

    bool operator==(const PlacementRuleSpec&) const = default;
};

// Takes an instance out of service as long as the object exists.
struct DrainSpec {
    std::string instance {};

    bool operator==(const DrainSpec&) const = default;
};

using ObjectSpec = std::variant<AdapterSpec, DrainSpec, ModelVersionSpec, PlacementRuleSpec, ServiceSpec, TeamSpec>;

// A declared object of any kind.
struct DeclaredObject {
    ObjectName name {};
    Labels labels {};
    ObjectSpec spec {};
    std::uint64_t lastChangedVersion { 0 }; // Configuration version that last changed the object.

    bool operator==(const DeclaredObject&) const = default;
};

// Errors: InvalidArgument if the kind is unknown or a member is missing or has the wrong type.
Result<DeclaredObject> objectFromJson(const nlohmann::json&);
nlohmann::json objectToJson(const DeclaredObject&);

} // namespace Onyxnotch
