#include "modules/declaration/configuration_store.h"

#include "core/json_decode.h"
#include <cstdio>
#include <thread>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned maximumAttempts = 16;
    constexpr unsigned readBackAttempts = 5;
    constexpr Milliseconds firstPause { 50 };

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

Result<bool> ConfigurationStore::isOurs(std::uint64_t version, const std::string& operationId) const
{
    auto pause = firstPause;
    for (unsigned n = 0; n < readBackAttempts; ++n) {
        auto object = m_objects.get(changeKey(version));
        if (object && !object.value())
            return false;
        if (object) {
            BOOST_OUTCOME_TRY(change, readChange(*object.value()));
            return change.operationId == operationId;
        }
        std::this_thread::sleep_for(pause);
        pause *= 2;
    }
    return Error { ErrorCode::Ambiguous, "the object service lost the answer and could not be asked again" };
}

Result<CommitResult> ConfigurationStore::commit(const std::string& operationId, std::uint64_t base, const ChangeBuilder& build) const
{
    BOOST_OUTCOME_TRY(loaded, load());
    auto configuration = loaded;
    auto basis = base == 0 ? configuration.version() : base;
    for (unsigned attempt = 1; attempt <= maximumAttempts; ++attempt) {
        BOOST_OUTCOME_TRY(change, build(configuration));
        change.version = configuration.version() + 1;
        change.operationId = operationId;
        for (const auto& it : change.upserts) {
            const auto* known = configuration.find(it.name);
            if (known && known->changedAt > basis)
                return Error { ErrorCode::Conflict, it.name.text() + " was changed by another operator in version " + std::to_string(known->changedAt) };
        }
        auto created = m_objects.create(changeKey(change.version), changeToJson(change).dump());
        if (created)
            return CommitResult { .version = change.version, .attempts = attempt };
        if (created.error().code == ErrorCode::Ambiguous || created.error().code == ErrorCode::Conflict) {
            // A lost answer, or our own first copy that a retry below us met: read back who made this version.
            BOOST_OUTCOME_TRY(ours, isOurs(change.version, operationId));
            if (ours)
                return CommitResult { .version = change.version, .attempts = attempt };
        } else if (created.error().code != ErrorCode::Exhausted) {
            return created.error();
        }
        std::this_thread::sleep_for(firstPause);
        BOOST_OUTCOME_TRY(later, changesAfter(configuration.version()));
        for (const auto& it : later) {
            if (it.operationId == operationId)
                return CommitResult { .version = it.version, .attempts = attempt };
            if (it.overlaps(change))
                return Error { ErrorCode::Conflict, "version " + std::to_string(it.version) + " of another operator changed the same objects" };
            BOOST_OUTCOME_TRY(next, configuration.with(it));
            configuration = next;
        }
        basis = configuration.version();
    }
    return Error { ErrorCode::Conflict, "other operators were always first" };
}

Status ConfigurationStore::compact(const Configuration& configuration, std::uint64_t kept) const
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
    auto limit = changeKey(configuration.version() > kept ? configuration.version() - kept : 0);
    for (const auto& it : batch.objects) {
        if (it.key >= limit)
            break;
        BOOST_OUTCOME_TRYV(m_objects.remove(it.key, it.version));
    }
    return success();
}

} // namespace Onyxnotch
