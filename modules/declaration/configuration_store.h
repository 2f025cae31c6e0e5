// Configuration in the platform's object service. A version is accepted when its change object has been created: one
// conditional write, whose key is the version, so that two operators cannot both make the same one.
#pragma once

#include "modules/declaration/configuration.h"
#include "servers/platform/object_client.h"
#include <functional>

namespace Onyxnotch {

// How a commit went.
struct CommitResult {
    std::uint64_t version { 0 };
    unsigned attempts { 0 };

    bool operator==(const CommitResult&) const = default;
};

class ConfigurationStore {
public:
    static constexpr std::string_view changePrefix = "config/changes/";
    static constexpr std::string_view snapshotKey = "config/snapshot";

    explicit ConfigurationStore(const ObjectClient&);

    // The key of a version's change; keys sort as versions do.
    static std::string changeKey(std::uint64_t version);

    // The newest configuration: the snapshot, then every later change.
    Result<Configuration> load() const;
    // The changes after a version, in order.
    Result<std::vector<ConfigurationChange>> changesAfter(std::uint64_t version) const;

    // Builds the change for a configuration and returns it, or the reason why it can't be made. It is called again with the newer
    // configuration where another operator's change came first.
    using ChangeBuilder = std::function<Result<ConfigurationChange>(const Configuration&)>;

    // Commits exactly once, also where answers are lost. Errors: what the builder returned; Conflict where another operator
    // changed the same objects after `base` (0: after the first load); Unavailable and Ambiguous from the object service, the
    // latter only where reading back failed as well.
    Result<CommitResult> commit(const std::string& operationId, std::uint64_t base, const ChangeBuilder&) const;

    // Writes the snapshot of `configuration` and removes changes older than `kept` versions before it. One writer at a time: the
    // caller holds a lease; a lost race is harmless.
    Status compact(const Configuration&, std::uint64_t kept) const;

private:
    // Whether the change of that version is the one of this operation.
    Result<bool> isOurs(std::uint64_t version, const std::string& operationId) const;

    const ObjectClient& m_objects;
};

} // namespace Onyxnotch
