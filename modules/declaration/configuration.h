// The whole configuration at one version: an immutable value, and how one version follows from another.
#pragma once

#include "modules/declaration/declared_object.h"
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Onyxnotch {

// One accepted change: what it puts and what it removes, all or nothing.
struct ConfigurationChange {
    std::uint64_t version { 0 }; // The version that it makes; versions have no gaps.
    std::string operationId {}; // Chosen by the operator's command, to recognise its own change after a lost answer.
    std::vector<DeclaredObject> upserts {};
    std::vector<ObjectName> removals {};

    bool operator==(const ConfigurationChange&) const = default;
    // Whether both touch the same object.
    bool overlaps(const ConfigurationChange&) const;
};

Result<ConfigurationChange> changeFromJson(const nlohmann::json&);
nlohmann::json changeToJson(const ConfigurationChange&);

class Configuration {
public:
    Configuration() = default;
    Configuration(std::uint64_t version, std::map<ObjectName, DeclaredObject> objects);

    std::uint64_t version() const { return m_version; }
    const std::map<ObjectName, DeclaredObject>& objects() const { return m_objects; }
    // Errors: Conflict where the change is not the next version.
    Result<Configuration> with(const ConfigurationChange&) const;

    // Null where there is no such object.
    const DeclaredObject* find(const ObjectName&) const;
    const ServiceSpec* service(const std::string& name) const;
    // The team whose key has this SHA-256 digest.
    const DeclaredObject* teamByKeyDigest(const std::string& digest) const;
    // Whether an operator has taken the instance out of service.
    bool isDrained(const std::string& instance) const { return m_drainedInstances.contains(instance); }
    // The highest model version that the service's selector selects.
    const DeclaredObject* modelVersionFor(const ServiceSpec&) const;

    // Calls `visit(object, spec)` for each object of that kind of spec.
    template <typename Spec, typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto& [name, object] : m_objects) {
            if (const auto* spec = std::get_if<Spec>(&object.spec))
                visit(object, *spec);
        }
    }

    bool operator==(const Configuration&) const = default;

private:
    std::uint64_t m_version { 0 };
    std::map<ObjectName, DeclaredObject> m_objects {};
    std::map<std::string, ObjectName> m_teamsByKeyDigest {};
    std::set<std::string> m_drainedInstances {};
};

Result<Configuration> configurationFromJson(const nlohmann::json&);
nlohmann::json configurationToJson(const Configuration&);

// One rule that a declaration breaks, and where.
struct DeclarationProblem {
    std::string pointer {}; // JSON pointer into the file.
    std::string reason {};

    bool operator==(const DeclarationProblem&) const = default;
};

// A declaration as an operator's file holds it.
struct Declaration {
    std::vector<DeclaredObject> objects {};

    bool operator==(const Declaration&) const = default;
};

// Reads a file's JSON: the schema first. On problems the declaration is empty.
Declaration readDeclaration(const nlohmann::json& document, std::vector<DeclarationProblem>& problems);

// The rules that a schema cannot state, over the configuration as it would be. Pointers count the objects of `declaration`.
std::vector<DeclarationProblem> checkRules(const Configuration& result, const Declaration& declaration);

// The JSON Schema of a declaration file.
const std::string& declarationSchema();

} // namespace Onyxnotch
