#include "modules/declaration/declared_object.h"

#include <array>
#include <nlohmann/json.hpp>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    struct KindNameEntry {
        ObjectKind kind;
        std::string_view name;
    };

    constexpr std::array<KindNameEntry, 6> kindNames { {
        { ObjectKind::Adapter, "Adapter" },
        { ObjectKind::Drain, "Drain" },
        { ObjectKind::ModelVersion, "ModelVersion" },
        { ObjectKind::PlacementRule, "PlacementRule" },
        { ObjectKind::Service, "Service" },
        { ObjectKind::Team, "Team" },
    } };

    struct OperatorNameEntry {
        SelectorOperator operation;
        std::string_view name;
    };

    constexpr std::array<OperatorNameEntry, 4> operatorNames { {
        { SelectorOperator::In, "In" },
        { SelectorOperator::NotIn, "NotIn" },
        { SelectorOperator::Exists, "Exists" },
        { SelectorOperator::DoesNotExist, "DoesNotExist" },
    } };

    Selector selectorFromJson(const Json& spec, const std::string& member)
    {
        Selector selector;
        if (!spec.contains(member))
            return selector;
        const auto& source = spec.at(member);
        selector.matchLabels = source.value("matchLabels", Labels());
        for (const auto& it : source.value("matchExpressions", Json::array())) {
            SelectorExpression expression { .key = it.at("key"), .values = it.value("values", std::vector<std::string>()) };
            for (const auto& known : operatorNames) {
                if (known.name == it.at("operator").get<std::string>())
                    expression.operation = known.operation;
            }
            selector.matchExpressions.push_back(expression);
        }
        return selector;
    }

    Json selectorToJson(const Selector& selector)
    {
        Json target = Json::object();
        if (!selector.matchLabels.empty())
            target["matchLabels"] = selector.matchLabels;
        for (const auto& it : selector.matchExpressions) {
            Json expression { { "key", it.key }, { "operator", operatorNames.at(static_cast<std::size_t>(it.operation)).name } };
            if (!it.values.empty())
                expression["values"] = it.values;
            target["matchExpressions"].push_back(expression);
        }
        return target;
    }

    PlainEndpoint plainEndpointFromJson(const Json& source)
    {
        auto address = parseAddress(source.at("address").get<std::string>());
        if (!address)
            throw std::invalid_argument(address.error().message);
        return PlainEndpoint { .id = source.at("id"), .address = address.value(), .zone = source.value("zone", "") };
    }

    ServiceSpec serviceFromJson(const Json& spec)
    {
        ServiceSpec service {
            .type = spec.at("type") == "plain" ? ServiceType::Plain : ServiceType::Model,
            .models = selectorFromJson(spec, "models"),
            .adapter = spec.value("adapter", ""),
            .endpoints = {},
            .repeatable = spec.value("repeatable", true),
            .objective = {},
        };
        for (const auto& it : spec.value("endpoints", Json::array()))
            service.endpoints.push_back(plainEndpointFromJson(it));
        auto objective = spec.value("objective", Json::object());
        service.objective.firstToken = Milliseconds(objective.value("firstTokenMs", service.objective.firstToken.count()));
        service.objective.betweenTokens = Milliseconds(objective.value("betweenTokensMs", service.objective.betweenTokens.count()));
        service.objective.requiredShare = objective.value("part", service.objective.requiredShare);
        return service;
    }

    Json serviceToJson(const ServiceSpec& service)
    {
        Json spec { { "type", service.type == ServiceType::Plain ? "plain" : "model" }, { "repeatable", service.repeatable } };
        spec["objective"] = { { "firstTokenMs", service.objective.firstToken.count() }, { "betweenTokensMs", service.objective.betweenTokens.count() }, { "part", service.objective.requiredShare } };
        if (service.type == ServiceType::Model)
            spec["models"] = selectorToJson(service.models);
        if (!service.adapter.empty())
            spec["adapter"] = service.adapter;
        for (const auto& it : service.endpoints)
            spec["endpoints"].push_back({ { "id", it.id }, { "address", it.address.text() }, { "zone", it.zone } });
        return spec;
    }

    ObjectSpec specFromJson(ObjectKind kind, const Json& spec)
    {
        switch (kind) {
        case ObjectKind::Adapter:
            return AdapterSpec { .model = spec.at("model"), .weights = spec.at("weights") };
        case ObjectKind::Drain:
            return DrainSpec { .instance = spec.at("instance") };
        case ObjectKind::ModelVersion:
            return ModelVersionSpec { .model = spec.at("model"), .version = spec.at("version"), .weights = spec.at("weights") };
        case ObjectKind::PlacementRule:
            return PlacementRuleSpec {
                .services = selectorFromJson(spec, "services"),
                .offers = selectorFromJson(spec, "offers"),
                .replicas = spec.at("replicas"),
                .minimumZones = spec.value("minimumZones", 1U),
                .checksFences = spec.value("checksFences", true),
            };
        case ObjectKind::Service:
            return serviceFromJson(spec);
        case ObjectKind::Team:
            return TeamSpec {
                .keyDigests = spec.at("keyDigests"),
                .services = selectorFromJson(spec, "services"),
                .requestsPerSecond = spec.value("requestsPerSecond", 0.0),
                .priority = spec.value("priority", 0),
            };
        }
        throw std::invalid_argument("unknown kind");
    }

    // Visitor that encodes each kind of spec as JSON.
    struct SpecWriter {
        Json operator()(const AdapterSpec& it) const { return { { "model", it.model }, { "weights", it.weights } }; }
        Json operator()(const DrainSpec& it) const { return { { "instance", it.instance } }; }
        Json operator()(const ModelVersionSpec& it) const { return { { "model", it.model }, { "version", it.version }, { "weights", it.weights } }; }
        Json operator()(const PlacementRuleSpec& it) const
        {
            return { { "services", selectorToJson(it.services) }, { "offers", selectorToJson(it.offers) }, { "replicas", it.replicas }, { "minimumZones", it.minimumZones }, { "checksFences", it.checksFences } };
        }
        Json operator()(const ServiceSpec& it) const { return serviceToJson(it); }
        Json operator()(const TeamSpec& it) const
        {
            return { { "keyDigests", it.keyDigests }, { "services", selectorToJson(it.services) }, { "requestsPerSecond", it.requestsPerSecond }, { "priority", it.priority } };
        }
    };

} // namespace

std::string toString(ObjectKind kind)
{
    return std::string(kindNames.at(static_cast<std::size_t>(kind)).name);
}

Result<ObjectKind> parseObjectKind(const std::string& text)
{
    for (const auto& it : kindNames) {
        if (it.name == text)
            return it.kind;
    }
    return Error { ErrorCode::InvalidArgument, "unknown kind '" + text + "'" };
}

Result<DeclaredObject> objectFromJson(const Json& document)
{
    try {
        BOOST_OUTCOME_TRY(kind, parseObjectKind(document.at("kind").get<std::string>()));
        return DeclaredObject {
            .name = { .kind = kind, .name = document.at("name") },
            .labels = document.value("labels", Labels()),
            .spec = specFromJson(kind, document.at("spec")),
            .lastChangedVersion = document.value("changedAt", std::uint64_t(0)),
        };
    } catch (const std::exception& exception) {
        return Error { ErrorCode::InvalidArgument, exception.what() };
    }
}

Json objectToJson(const DeclaredObject& object)
{
    Json document { { "kind", toString(object.name.kind) }, { "name", object.name.name }, { "spec", std::visit(SpecWriter {}, object.spec) } };
    if (!object.labels.empty())
        document["labels"] = object.labels;
    if (object.lastChangedVersion != 0)
        document["changedAt"] = object.lastChangedVersion;
    return document;
}

} // namespace Onyxnotch
