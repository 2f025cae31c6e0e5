#include "modules/replica/state_replica.h"

#include "core/log.h"
#include <atomic>

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr std::string_view configurationDocument = "config";
    constexpr std::string_view zonePrefix = "endpoints/";

    std::uint64_t versionOf(const std::vector<DocumentVersion>& versions, const std::string& name)
    {
        for (const auto& it : versions) {
            if (it.name == name)
                return it.version;
        }
        return 0;
    }

} // namespace

StateReplica::StateReplica()
    : m_state(std::make_shared<SharedState>())
{
}

std::shared_ptr<const SharedState> StateReplica::state() const { return std::atomic_load(&m_state); }

void StateReplica::publishLocked(SharedState next)
{
    std::atomic_store(&m_state, std::shared_ptr<const SharedState>(std::make_shared<SharedState>(std::move(next))));
}

void StateReplica::notify()
{
    auto current = state();
    for (const auto& it : m_subscribers)
        it(*current);
}

bool StateReplica::applyConfiguration(const Configuration& configuration)
{
    {
        std::lock_guard lock(m_mutex);
        if (configuration.version() <= m_state->configuration.version())
            return false;
        SharedState next { .configuration = configuration, .zones = m_state->zones };
        m_recentChanges.clear();
        publishLocked(std::move(next));
    }
    logEvent(LogLevel::Info, "configuration_in_force", { { "version", configuration.version() } });
    notify();
    return true;
}

bool StateReplica::applyChange(const ConfigurationChange& change)
{
    {
        std::lock_guard lock(m_mutex);
        auto result = m_state->configuration.with(change);
        if (!result)
            return false;
        SharedState next { .configuration = result.value(), .zones = m_state->zones };
        m_recentChanges.push_back(change);
        if (m_recentChanges.size() > maximumRecentChanges)
            m_recentChanges.pop_front();
        publishLocked(std::move(next));
    }
    logEvent(LogLevel::Info, "configuration_in_force", { { "version", change.version } });
    notify();
    return true;
}

bool StateReplica::applyZone(const ZoneEndpoints& zone)
{
    {
        std::lock_guard lock(m_mutex);
        auto it = m_state->zones.find(zone.zone);
        if (it != m_state->zones.end() && it->second.version >= zone.version)
            return false;
        auto next = *m_state;
        next.zones[zone.zone] = zone;
        publishLocked(std::move(next));
    }
    notify();
    return true;
}

std::vector<DocumentVersion> StateReplica::versions() const
{
    auto current = state();
    std::vector<DocumentVersion> versions { { .name = std::string(configurationDocument), .version = current->configuration.version() } };
    for (const auto& [name, zone] : current->zones)
        versions.push_back({ .name = std::string(zonePrefix) + name, .version = zone.version });
    return versions;
}

DocumentUpdate StateReplica::configurationUpdate(std::uint64_t fromVersion, const Configuration& current) const
{
    DocumentUpdate update { .name = std::string(configurationDocument), .fromVersion = fromVersion, .version = current.version() };
    {
        std::lock_guard lock(m_mutex);
        bool isHistorySufficient = fromVersion != 0 && !m_recentChanges.empty() && m_recentChanges.front().version <= fromVersion + 1;
        if (isHistorySufficient) {
            auto changes = Json::array();
            for (const auto& it : m_recentChanges) {
                if (it.version > fromVersion)
                    changes.push_back(changeToJson(it));
            }
            update.payload = changes.dump();
            return update;
        }
    }
    update.fromVersion = 0;
    update.payload = configurationToJson(current).dump();
    return update;
}

std::vector<DocumentUpdate> StateReplica::updatesSince(const std::vector<DocumentVersion>& peerVersions) const
{
    auto current = state();
    std::vector<DocumentUpdate> updates;
    auto peerVersion = versionOf(peerVersions, std::string(configurationDocument));
    if (current->configuration.version() > peerVersion)
        updates.push_back(configurationUpdate(peerVersion, current->configuration));
    for (const auto& [name, zone] : current->zones) {
        auto document = std::string(zonePrefix) + name;
        if (zone.version > versionOf(peerVersions, document))
            updates.push_back({ .name = document, .fromVersion = 0, .version = zone.version, .payload = encodeEndpoints(zone.endpoints) });
    }
    return updates;
}

bool StateReplica::applyChanges(const std::string& payload)
{
    auto changes = decodeJson<std::vector<ConfigurationChange>>(payload, ErrorCode::InvalidArgument, "changes", [](const Json& document) {
        std::vector<ConfigurationChange> decoded;
        for (const auto& it : document) {
            auto change = changeFromJson(it);
            if (change)
                decoded.push_back(change.value());
        }
        return decoded;
    });
    if (!changes)
        return false;
    bool hasAdvanced = false;
    for (const auto& it : changes.value())
        hasAdvanced |= applyChange(it);
    return hasAdvanced;
}

bool StateReplica::applyUpdate(const DocumentUpdate& update)
{
    if (update.name == configurationDocument) {
        if (update.fromVersion != 0)
            return applyChanges(update.payload);
        auto document = decodeJson<Json>(update.payload, ErrorCode::InvalidArgument, "configuration", [](Json parsed) { return parsed; });
        auto configuration = document ? configurationFromJson(document.value()) : Result<Configuration>(document.error());
        return configuration && applyConfiguration(configuration.value());
    }
    if (update.name.rfind(zonePrefix, 0) != 0)
        return false;
    auto endpoints = decodeEndpoints(update.payload);
    if (!endpoints)
        return false;
    return applyZone({ .zone = update.name.substr(zonePrefix.size()), .version = update.version, .endpoints = endpoints.value() });
}

DocumentHooks StateReplica::hooks()
{
    return {
        .versions = [this] { return versions(); },
        .updatesSince = [this](const std::vector<DocumentVersion>& peerVersions) { return updatesSince(peerVersions); },
        .apply = [this](const DocumentUpdate& update) { return applyUpdate(update); },
    };
}

void StateReplica::subscribe(std::function<void(const SharedState&)> subscriber)
{
    m_subscribers.push_back(std::move(subscriber));
}

} // namespace Onyxnotch
