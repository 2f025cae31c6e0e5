#include "modules/declaration/configuration_store.h"

#include "core/json_decode.h"
#include <cstdio>
#include <thread>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned maximumAttempts = 16;
    constexpr unsigned readBackAttempts = 5;
    constexpr Milliseconds firstRetryDelay { 50 }; // Before the next attempt; doubled for each further attempt to read a change back.

    // Decodes a stored change object.
    Result<ConfigurationChange> readChange(const StoredObject& object)
    {
        BOOST_OUTCOME_TRY(document, decodeJson<Json>(object.value, ErrorCode::InvalidArgument, object.key, [](Json parsed) { return parsed; }));
        return changeFromJson(document);
    }

} // namespace

ConfigurationStore::ConfigurationStore(const ObjectClient& objects)
    : m_objects(objects)
{
}

std::string ConfigurationStore::changeKey(std::uint64_t version)
{
    static constexpr std::size_t digits = 12;
    auto number = std::to_string(version);
    return std::string(changePrefix) + std::string(digits - number.size(), '0') + number;
}

Result<std::vector<ConfigurationChange>> ConfigurationStore::changesAfter(std::uint64_t version) const
{
    BOOST_OUTCOME_TRY(batch, m_objects.list(std::string(changePrefix), changeKey(version)));
    std::vector<ConfigurationChange> changes;
    for (const auto& it : batch.objects) {
        BOOST_OUTCOME_TRY(change, readChange(it));
        changes.push_back(change);
    }
    return changes;
}

Result<Configuration> ConfigurationStore::load() const
{
    Configuration configuration;
    BOOST_OUTCOME_TRY(snapshot, m_objects.get(std::string(snapshotKey)));
    if (snapshot) {
        BOOST_OUTCOME_TRY(document, decodeJson<Json>(snapshot->value, ErrorCode::InvalidArgument, "snapshot", [](Json parsed) { return parsed; }));
        BOOST_OUTCOME_TRY(read, configurationFromJson(document));
        configuration = read;
    }
    BOOST_OUTCOME_TRY(changes, changesAfter(configuration.version()));
    for (const auto& it : changes) {
        BOOST_OUTCOME_TRY(next, configuration.with(it));
        configuration = next;
    }
    return configuration;
}

Result<bool> ConfigurationStore::isOwnChange(std::uint64_t version, const std::string& operationId) const
{
    auto retryDelay = firstRetryDelay;
    for (unsigned n = 0; n < readBackAttempts; ++n) {
        auto object = m_objects.get(changeKey(version));
        if (object && !object.value())
            return false;
        if (object) {
            BOOST_OUTCOME_TRY(change, readChange(*object.value()));
            return change.operationId == operationId;
        }
        std::this_thread::sleep_for(retryDelay);
        retryDelay *= 2;
    }
    return Error { ErrorCode::Ambiguous, "no answer from the object API to the write, and reading the change back failed" };
}

Result<CommitResult> ConfigurationStore::commit(const std::string& operationId, std::uint64_t base, const ChangeBuilder& build) const
{
    BOOST_OUTCOME_TRY(loaded, load());
    auto configuration = loaded;
    auto baseVersion = base == 0 ? configuration.version() : base;
    for (unsigned attempt = 1; attempt <= maximumAttempts; ++attempt) {
        BOOST_OUTCOME_TRY(change, build(configuration));
        change.version = configuration.version() + 1;
        change.operationId = operationId;
        for (const auto& it : change.upserts) {
            const auto* existing = configuration.find(it.name);
            if (existing && existing->lastChangedVersion > baseVersion)
                return Error { ErrorCode::Conflict, it.name.text() + " was changed by another operator in version " + std::to_string(existing->lastChangedVersion) };
        }
        auto created = m_objects.create(changeKey(change.version), changeToJson(change).dump());
        if (created)
            return CommitResult { .version = change.version, .attempts = attempt };
        if (created.error().code == ErrorCode::Ambiguous || created.error().code == ErrorCode::Conflict) {
            // Either the answer was lost, or a retry below this layer found the object that the first attempt had created: read the change
            // object back to find out who created this version.
            BOOST_OUTCOME_TRY(isOwn, isOwnChange(change.version, operationId));
            if (isOwn)
                return CommitResult { .version = change.version, .attempts = attempt };
        } else if (created.error().code != ErrorCode::Exhausted) {
            return created.error();
        }
        std::this_thread::sleep_for(firstRetryDelay);
        BOOST_OUTCOME_TRY(laterChanges, changesAfter(configuration.version()));
        for (const auto& it : laterChanges) {
            if (it.operationId == operationId)
                return CommitResult { .version = it.version, .attempts = attempt };
            if (it.overlaps(change))
                return Error { ErrorCode::Conflict, "version " + std::to_string(it.version) + " of another operator changed the same objects" };
            BOOST_OUTCOME_TRY(next, configuration.with(it));
            configuration = next;
        }
        baseVersion = configuration.version();
    }
    return Error { ErrorCode::Conflict, "other operators committed first in every attempt" };
}

Status ConfigurationStore::compact(const Configuration& configuration, std::uint64_t retainedVersions) const
{
    BOOST_OUTCOME_TRY(snapshot, m_objects.get(std::string(snapshotKey)));
    auto text = configurationToJson(configuration).dump();
    if (!snapshot) {
        BOOST_OUTCOME_TRYV(m_objects.create(std::string(snapshotKey), text));
    } else {
        BOOST_OUTCOME_TRY(stored, decodeJson<std::uint64_t>(snapshot->value, ErrorCode::InvalidArgument, "snapshot", [](const Json& document) { return document.at("version").get<std::uint64_t>(); }));
        if (stored >= configuration.version())
            return success();
        BOOST_OUTCOME_TRYV(m_objects.update(std::string(snapshotKey), text, snapshot->version));
    }
    BOOST_OUTCOME_TRY(batch, m_objects.list(std::string(changePrefix)));
    auto firstRetainedKey = changeKey(configuration.version() > retainedVersions ? configuration.version() - retainedVersions : 0);
    for (const auto& it : batch.objects) {
        if (it.key >= firstRetainedKey)
            break;
        BOOST_OUTCOME_TRYV(m_objects.remove(it.key, it.version));
    }
    return success();
}

} // namespace Onyxnotch
