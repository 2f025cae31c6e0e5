#include "modules/declaration/configuration.h"

#include "core/json_schema.h"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    // The names of all objects that the change inserts, replaces or removes.
    std::set<ObjectName> changedObjects(const ConfigurationChange& change)
    {
        std::set<ObjectName> names(change.removals.begin(), change.removals.end());
        for (const auto& it : change.upserts)
            names.insert(it.name);
        return names;
    }

    // Checks the objects of a declaration, and the services of the configuration that would result from it.
    class RuleChecker {
    public:
        RuleChecker(const Configuration& result, const Declaration& declaration)
            : m_result(result)
            , m_declaration(declaration)
        {
        }

        std::vector<DeclarationProblem> run()
        {
            checkDuplicates();
            checkKeys();
            for (std::size_t n = 0; n < m_declaration.objects.size(); ++n) {
                m_pointer = "/objects/" + std::to_string(n);
                std::visit([this](const auto& spec) { check(spec); }, m_declaration.objects[n].spec);
            }
            m_pointer.clear();
            checkServices();
            return m_problems;
        }

    private:
        void addProblem(const std::string& where, const std::string& reason)
        {
            m_problems.push_back({ .pointer = m_pointer + where, .reason = reason });
        }

        // Reports objects that the declaration contains more than once.
        void checkDuplicates()
        {
            std::set<ObjectName> seen;
            for (std::size_t n = 0; n < m_declaration.objects.size(); ++n) {
                m_pointer = "/objects/" + std::to_string(n);
                if (!seen.insert(m_declaration.objects[n].name).second)
                    addProblem("/name", m_declaration.objects[n].name.text() + " is declared twice");
            }
        }

        // Reports key digests that several teams of the resulting configuration share.
        void checkKeys()
        {
            std::map<std::string, std::string> owners;
            m_pointer.clear();
            m_result.forEach<TeamSpec>([&](const DeclaredObject& object, const TeamSpec& team) {
                for (const auto& digest : team.keyDigests) {
                    auto [it, added] = owners.emplace(digest, object.name.name);
                    if (!added && it->second != object.name.name)
                        addProblem("/objects", "teams " + it->second + " and " + object.name.name + " have the same key digest");
                }
            });
        }

        // Checks all services of the resulting configuration, because removing a model version or adapter can break a service that the file
        // does not contain.
        void checkServices()
        {
            m_result.forEach<ServiceSpec>([&](const DeclaredObject& object, const ServiceSpec& service) {
                if (service.type == ServiceType::Model && !m_result.modelVersionFor(service))
                    addProblem("/objects", "service " + object.name.name + " selects no model version");
                if (!service.adapter.empty() && !m_result.find({ .kind = ObjectKind::Adapter, .name = service.adapter }))
                    addProblem("/objects", "service " + object.name.name + " names the unknown adapter " + service.adapter);
            });
        }

        void check(const ServiceSpec& service)
        {
            if (service.type == ServiceType::Model && !service.repeatable)
                addProblem("/spec/repeatable", "a model service is always repeatable");
            if (service.type == ServiceType::Plain && service.endpoints.empty())
                addProblem("/spec/endpoints", "a plain service needs at least one endpoint");
            if (service.type == ServiceType::Model && !service.endpoints.empty())
                addProblem("/spec/endpoints", "the endpoints of a model service follow from placement rules");
        }

        void check(const PlacementRuleSpec& rule)
        {
            if (rule.minimumZones > rule.replicas)
                addProblem("/spec/minimumZones", "more zones than replicas");
        }

        void check(const AdapterSpec&) { }
        void check(const DrainSpec&) { }
        void check(const ModelVersionSpec&) { }
        void check(const TeamSpec&) { }

        const Configuration& m_result;
        const Declaration& m_declaration;
        std::string m_pointer;
        std::vector<DeclarationProblem> m_problems;
    };

} // namespace

bool ConfigurationChange::overlaps(const ConfigurationChange& other) const
{
    auto ownObjects = changedObjects(*this);
    auto otherObjects = changedObjects(other);
    return std::any_of(ownObjects.begin(), ownObjects.end(), [&](const ObjectName& it) { return otherObjects.contains(it); });
}

Result<ConfigurationChange> changeFromJson(const Json& document)
{
    try {
        ConfigurationChange change { .version = document.at("version"), .operationId = document.at("operationId") };
        for (const auto& it : document.at("upserts")) {
            BOOST_OUTCOME_TRY(object, objectFromJson(it));
            change.upserts.push_back(object);
        }
        for (const auto& it : document.at("removals")) {
            BOOST_OUTCOME_TRY(kind, parseObjectKind(it.at("kind").get<std::string>()));
            change.removals.push_back({ .kind = kind, .name = it.at("name") });
        }
        return change;
    } catch (const std::exception& exception) {
        return Error { ErrorCode::InvalidArgument, std::string("change not understood: ") + exception.what() };
    }
}

Json changeToJson(const ConfigurationChange& change)
{
    Json document { { "version", change.version }, { "operationId", change.operationId }, { "upserts", Json::array() }, { "removals", Json::array() } };
    for (const auto& it : change.upserts)
        document["upserts"].push_back(objectToJson(it));
    for (const auto& it : change.removals)
        document["removals"].push_back({ { "kind", toString(it.kind) }, { "name", it.name } });
    return document;
}

Configuration::Configuration(std::uint64_t version, std::map<ObjectName, DeclaredObject> objects)
    : m_version(version)
    , m_objects(std::move(objects))
{
    forEach<TeamSpec>([this](const DeclaredObject& object, const TeamSpec& team) {
        for (const auto& digest : team.keyDigests)
            m_teamsByKeyDigest.emplace(digest, object.name);
    });
    forEach<DrainSpec>([this](const DeclaredObject&, const DrainSpec& drain) { m_drainedInstances.insert(drain.instance); });
}

Result<Configuration> Configuration::with(const ConfigurationChange& change) const
{
    if (change.version != m_version + 1)
        return Error { ErrorCode::Conflict, "change " + std::to_string(change.version) + " does not follow version " + std::to_string(m_version) };
    auto objects = m_objects;
    for (const auto& it : change.removals)
        objects.erase(it);
    for (const auto& it : change.upserts) {
        auto object = it;
        object.lastChangedVersion = change.version;
        objects.insert_or_assign(object.name, std::move(object));
    }
    return Configuration(change.version, std::move(objects));
}

const DeclaredObject* Configuration::find(const ObjectName& name) const
{
    auto it = m_objects.find(name);
    return it == m_objects.end() ? nullptr : &it->second;
}

const ServiceSpec* Configuration::service(const std::string& name) const
{
    const auto* object = find({ .kind = ObjectKind::Service, .name = name });
    return object ? std::get_if<ServiceSpec>(&object->spec) : nullptr;
}

const DeclaredObject* Configuration::teamByKeyDigest(const std::string& digest) const
{
    auto it = m_teamsByKeyDigest.find(digest);
    return it == m_teamsByKeyDigest.end() ? nullptr : find(it->second);
}

const DeclaredObject* Configuration::modelVersionFor(const ServiceSpec& service) const
{
    const DeclaredObject* best = nullptr;
    unsigned bestVersion = 0;
    forEach<ModelVersionSpec>([&](const DeclaredObject& object, const ModelVersionSpec& version) {
        if (!service.models.matches(object.labels) || (best && version.version <= bestVersion))
            return;
        best = &object;
        bestVersion = version.version;
    });
    return best;
}

Result<Configuration> configurationFromJson(const Json& document)
{
    try {
        std::map<ObjectName, DeclaredObject> objects;
        for (const auto& it : document.at("objects")) {
            BOOST_OUTCOME_TRY(object, objectFromJson(it));
            objects.emplace(object.name, object);
        }
        return Configuration(document.at("version").get<std::uint64_t>(), std::move(objects));
    } catch (const std::exception& exception) {
        return Error { ErrorCode::InvalidArgument, std::string("configuration not understood: ") + exception.what() };
    }
}

Json configurationToJson(const Configuration& configuration)
{
    Json document { { "version", configuration.version() }, { "objects", Json::array() } };
    for (const auto& [name, object] : configuration.objects())
        document["objects"].push_back(objectToJson(object));
    return document;
}

Declaration readDeclaration(const Json& document, std::vector<DeclarationProblem>& problems)
{
    for (const auto& it : checkSchema(declarationSchema(), document))
        problems.push_back({ .pointer = it.pointer, .reason = it.reason });
    if (!problems.empty())
        return {};
    Declaration declaration;
    for (std::size_t n = 0; n < document["objects"].size(); ++n) {
        auto object = objectFromJson(document["objects"][n]);
        if (object)
            declaration.objects.push_back(object.value());
        else
            problems.push_back({ .pointer = "/objects/" + std::to_string(n), .reason = object.error().message });
    }
    return problems.empty() ? declaration : Declaration {};
}

std::vector<DeclarationProblem> checkRules(const Configuration& result, const Declaration& declaration)
{
    return RuleChecker(result, declaration).run();
}

} // namespace Onyxnotch
