// Stores the configuration in the platform's object API, as one object per change plus a snapshot. A version is accepted when its change
// object has been created. This is a conditional write whose key is the version, so two operators cannot create the same version.
#pragma once

#include "modules/declaration/configuration.h"
#include "servers/platform/object_client.h"
#include <functional>

namespace Onyxnotch {

// Result of a successful commit.
struct CommitResult {
    std::uint64_t version { 0 }; // The accepted version.
    unsigned attempts { 0 }; // Number of write attempts, the successful one included.

    bool operator==(const CommitResult&) const = default;
};

class ConfigurationStore {
public:
    static constexpr std::string_view changePrefix = "config/changes/";
    static constexpr std::string_view snapshotKey = "config/snapshot";

    explicit ConfigurationStore(const ObjectClient&);

    // Returns the key of a version's change object. Versions are zero-padded, so that keys sort like versions.
    static std::string changeKey(std::uint64_t version);

    // Loads the newest configuration: the snapshot with all later changes applied.
    Result<Configuration> load() const;
    // Returns the changes after a version, in order.
    Result<std::vector<ConfigurationChange>> changesAfter(std::uint64_t version) const;

    // Builds the change for the given configuration, or returns an error if it is not possible. Called again with the newer configuration
    // if another operator's change was accepted first.
    using ChangeBuilder = std::function<Result<ConfigurationChange>(const Configuration&)>;

    // Commits a change exactly once, even if answers of the object API are lost. Errors: those of the builder; Conflict if another operator
    // changed the same objects after version `base` (0: the version that this call loads first), or was faster in every attempt;
    // Unavailable; Ambiguous if an answer was lost and reading the change object back failed as well.
    Result<CommitResult> commit(const std::string& operationId, std::uint64_t base, const ChangeBuilder&) const;

    // Writes the snapshot of `configuration` and removes changes that are more than `retainedVersions` versions older.
    // The caller should hold a lease, so that there is one writer at a time; a concurrent writer does no harm.
    Status compact(const Configuration&, std::uint64_t retainedVersions) const;

private:
    // Reads the change object of a version and returns whether this operation created it. Retries failed reads.
    Result<bool> isOwnChange(std::uint64_t version, const std::string& operationId) const;

    const ObjectClient& m_objects;
};

} // namespace Onyxnotch
