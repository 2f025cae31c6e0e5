// The objects that operators declare. Immutable values, read from JSON that the schema has already passed.
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

// Names one object.
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

// A fine-tuned addition to a model.
struct AdapterSpec {
    std::string model {};
    std::string weights {};

    bool operator==(const AdapterSpec&) const = default;
};

// What a service promises its callers; the burn report measures against it.
struct Objective {
    Milliseconds firstToken { 720 };
    Milliseconds betweenTokens { 79 };
    double part { 0.95 }; // The part of answers that must hold to both.

    bool operator==(const Objective&) const = default;
};

// A fixed endpoint of a plain service.
struct PlainEndpoint {
    std::string id {};
    Address address {};
    std::string zone {};

    bool operator==(const PlainEndpoint&) const = default;
};

enum class ServiceType {
    Model,
    Plain,
};

struct ServiceSpec {
    ServiceType type { ServiceType::Model };
    Selector models {}; // Over labels of model versions; of those selected the highest version is served.
    std::string adapter {}; // Empty for none.
    std::vector<PlainEndpoint> endpoints {}; // Of a plain service.
    bool repeatable { true }; // False: each call runs at most once and needs a ticket.
    Objective objective {};

    bool operator==(const ServiceSpec&) const = default;
};

struct TeamSpec {
    std::vector<std::string> keyDigests {}; // SHA-256 of the bearer keys, lower-case hexadecimal.
    Selector services {}; // Which services the team may call.
    double requestsPerSecond { 0 }; // Over all nodes; 0 for no limit.
    int priority { 0 }; // Higher goes first.

    bool operator==(const TeamSpec&) const = default;
};

// How many endpoints serve the selected services, and on which offers of the cloud.
// Offers carry the labels "zone", "class" and "market".
struct PlacementRuleSpec {
    Selector services {};
    Selector offers {};
    unsigned replicas { 1 };
    unsigned minimumZones { 1 };
    bool checksFences { true }; // Whether the engines of these offers refuse orders with an old fence.

    bool operator==(const PlacementRuleSpec&) const = default;
};

// Takes an instance out of service on the operator's word.
struct DrainSpec {
    std::string instance {};

    bool operator==(const DrainSpec&) const = default;
};

using ObjectSpec = std::variant<AdapterSpec, DrainSpec, ModelVersionSpec, PlacementRuleSpec, ServiceSpec, TeamSpec>;

struct DeclaredObject {
    ObjectName name {};
    Labels labels {};
    ObjectSpec spec {};
    std::uint64_t changedAt { 0 }; // The configuration version that last changed it.

    bool operator==(const DeclaredObject&) const = default;
};

// Errors: InvalidArgument.
Result<DeclaredObject> objectFromJson(const nlohmann::json&);
nlohmann::json objectToJson(const DeclaredObject&);

} // namespace Onyxnotch
