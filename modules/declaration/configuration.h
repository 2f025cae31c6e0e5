// The complete set of declared objects at one version, as an immutable value; the changes that lead from one version to the next; and the
// validation of declaration files.
#pragma once

#include "modules/declaration/declared_object.h"
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace Onyxnotch {

// An atomic change of the configuration: objects to insert or replace, and objects to remove.
struct ConfigurationChange {
    std::uint64_t version { 0 }; // The version that results from the change. Versions are consecutive.
    std::string operationId {}; // Random id of the operator's command, by which it recognises its own change if the answer to its write was lost.
    std::vector<DeclaredObject> upserts {};
    std::vector<ObjectName> removals {};

    bool operator==(const ConfigurationChange&) const = default;
    // Whether both changes insert, replace or remove the same object.
    bool overlaps(const ConfigurationChange&) const;
};

// JSON encoding of a change. Errors of decoding: InvalidArgument.
Result<ConfigurationChange> changeFromJson(const nlohmann::json&);
nlohmann::json changeToJson(const ConfigurationChange&);

// Indexed, immutable set of declared objects at one version.
class Configuration {
public:
    Configuration() = default;
    Configuration(std::uint64_t version, std::map<ObjectName, DeclaredObject> objects);

    std::uint64_t version() const { return m_version; }
    const std::map<ObjectName, DeclaredObject>& objects() const { return m_objects; }
    // Returns the configuration after the change. Errors: Conflict if the change's version is not the next one.
    Result<Configuration> with(const ConfigurationChange&) const;

    // Return null if there is no such object.
    const DeclaredObject* find(const ObjectName&) const;
    const ServiceSpec* service(const std::string& name) const;
    // Returns the team that has a key with this SHA-256 digest, or null.
    const DeclaredObject* teamByKeyDigest(const std::string& digest) const;
    // Whether an operator has taken the instance out of service (declared a Drain object for it).
    bool isDrained(const std::string& instance) const { return m_drainedInstances.contains(instance); }
    // Returns the highest model version that the service's selector matches, or null.
    const DeclaredObject* modelVersionFor(const ServiceSpec&) const;

    // Calls `visit(object, spec)` for each object whose spec has the type `Spec`.
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

// JSON encoding of a configuration. Errors of decoding: InvalidArgument.
Result<Configuration> configurationFromJson(const nlohmann::json&);
nlohmann::json configurationToJson(const Configuration&);

// A violation of the schema or of a rule by a declaration, and its place.
struct DeclarationProblem {
    std::string pointer {}; // JSON pointer into the declaration file.
    std::string reason {};

    bool operator==(const DeclarationProblem&) const = default;
};

// The decoded content of an operator's declaration file.
struct Declaration {
    std::vector<DeclaredObject> objects {};

    bool operator==(const Declaration&) const = default;
};

// Validates the JSON of a declaration file against the schema and decodes it. If there are problems, they are appended to `problems` and an
// empty declaration is returned.
Declaration readDeclaration(const nlohmann::json& document, std::vector<DeclarationProblem>& problems);

// Checks the rules that a JSON Schema cannot express on `result`, the configuration that applying `declaration` would give.
// JSON pointers in the returned problems refer to the objects of `declaration`.
std::vector<DeclarationProblem> checkRules(const Configuration& result, const Declaration& declaration);

// The JSON Schema of a declaration file.
const std::string& declarationSchema();

} // namespace Onyxnotch
