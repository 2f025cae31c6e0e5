#include "modules/entry/entry_control.h"

#include "core/json_numbers.h"
#include "core/utf8.h"
#include "modules/control/paged_list.h"
#include "modules/entry/entry_requests.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace Onyxnotch {

namespace {

    // Period of the control thread's checks of endpoints, and of the versions that peers have as long as this node has no document at all.
    constexpr Milliseconds controlPeriod { 100 };
    constexpr Milliseconds idleControlPeriod { 250 }; // Of the checks at a node that gets its documents from others.
    // Longest time between checks of the versions that peers have. The request thread notifies of newer ones.
    constexpr Milliseconds peerCheckInterval { 1000 };
    // Backoff after a failed fetch of endpoints, doubled up to the maximum and randomized, so that nodes do not retry at one peer at once.
    constexpr Milliseconds minimumFetchBackoff { 100 };
    constexpr Milliseconds maximumFetchBackoff { 800 };
    // Time after the start in which the store's list of endpoints is expected, before the complete list is fetched from a peer.
    constexpr Milliseconds storeListWait { 2000 };
    // Between attempts to register, and between reads of the other nodes while no peer is alive.
    constexpr Milliseconds nodeDiscoveryPeriod { 2000 };
    constexpr Milliseconds storeCallLogInterval { 10000 };
    constexpr auto configurationName = "main";
    // Holds that start with a new list count from this long before it at most: the store may have been away while no node watched it.
    constexpr Milliseconds maximumUnwatchedTime { 750 };
    // How long after its last sign of life a watcher is still taken for one that watches, and that sign's way to this node.
    constexpr Milliseconds watcherNewsAge { 1500 };
    // Values of the log field `source`.
    constexpr std::string_view storeSource = "store";
    constexpr std::string_view peerSource = "peer";

} // namespace

EntryNode::ControlSide::ControlSide(EntryNode& entryNode)
    : node(entryNode)
    , store(std::make_unique<CountedStore>(entryNode.m_ports.makeStore(context), entryNode.m_metrics))
    , cloud(entryNode.m_ports.makeCloud(context))
    , registry(entryNode.m_options.registry)
    , configurations(
          context, *store, StoreKind::Configuration, [this](const auto& objects, bool) { onConfigurations(objects); }, entryNode.m_options.follower)
    , endpoints(
          context, *store, StoreKind::Endpoints, [this](const auto& objects, bool listed) { onEndpoints(objects, listed); }, entryNode.m_options.follower)
    , duties(context, *store, *cloud, entryNode.m_view, entryNode.m_summary, dutyOptions(entryNode))
    , rollouts(context, *store, entryNode.m_view, entryNode.m_summary, entryNode.m_versionShares, rolloutPorts(), entryNode.m_options.rollouts)
    , blockedRequests(context, *store, [this](std::vector<StoredBlockedRequest> kept) { passBlockedRequests(std::move(kept)); })
    , controlServer(context, entryNode.m_options.control, [this](const HttpHead& head) { return answerPage(head); })
{
}

RolloutManager::Ports EntryNode::ControlSide::rolloutPorts()
{
    return { .decode = node.m_ports.decodeRollout, .encode = node.m_ports.encodeRolloutRecord, .holdsDuties = [this] { return duties.holds(); } };
}

DutyOptions EntryNode::ControlSide::dutyOptions(const EntryNode& entryNode)
{
    auto options = entryNode.m_options.duties;
    options.lease.life = entryNode.m_requests->lifetime;
    return options;
}

Status EntryNode::ControlSide::start()
{
    auto started = controlServer.start();
    if (!started)
        return started;
    auto isWatchWanted = [this]() -> std::optional<bool> {
        auto summary = node.m_summary.get();
        if (summary->madeAt == SteadyTime {})
            return std::nullopt;
        return summary->watchesStore;
    };
    configurations.setFollowCondition(isWatchWanted);
    endpoints.setFollowCondition(isWatchWanted);
    auto isReplacement = [this] { return node.m_summary.get()->isReplacementWatcher; };
    configurations.setIsReplacement(isReplacement);
    endpoints.setIsReplacement(isReplacement);
    auto pauseFactor = [this] { return node.m_summary.get()->watchPauseFactor; };
    configurations.setPauseFactor(pauseFactor);
    endpoints.setPauseFactor(pauseFactor);
    asio::co_spawn(context, configurations.run(), asio::detached);
    const auto& ownDuties = node.m_options.duties;
    if (ownDuties.reportsUsage || ownDuties.ordersEndpoints)
        asio::co_spawn(context, duties.run(), asio::detached);
    asio::co_spawn(context, rollouts.run(), asio::detached);
    auto& requests = *node.m_requests;
    requests.saveBlockedRequest = [this](const StoredBlockedRequest& kept) { asio::post(context, [this, kept] { blockedRequests.keep(kept); }); };
    requests.deleteBlockedRequest = [this](const RequestDigest& request) { asio::post(context, [this, request] { blockedRequests.drop(request); }); };
    requests.notifyControl = [this] { asio::post(context, [this] { onSummaryNews(); }); };
    asio::co_spawn(context, blockedRequests.run(), asio::detached);
    asio::co_spawn(context, runPeriodicChecks(), asio::detached);
    asio::co_spawn(context, followConfiguration(), asio::detached);
    asio::co_spawn(context, followEndpoints(), asio::detached);
    asio::co_spawn(context, discoverNodes(), asio::detached);
    return success();
}

void EntryNode::ControlSide::passBlockedRequests(std::vector<StoredBlockedRequest> kept)
{
    auto& requests = *node.m_requests;
    asio::post(requests.context, [&requests, kept = std::move(kept)] { requests.restoreBlockedRequests(kept); });
}

HttpResponse EntryNode::ControlSide::answerPage(const HttpHead& head)
{
    if (head.target == "/metrics")
        return { .contentType = "text/plain; version=0.0.4", .body = node.m_metrics.serialize() };
    return pageServer.answer(head.target, history, registry.heldUntil());
}

void EntryNode::ControlSide::onConfigurations(const std::map<std::string, StoreObject>& objects)
{
    auto it = objects.find(configurationName);
    if (it != objects.end())
        applyConfiguration(it->second.value, storeSource);
}

void EntryNode::ControlSide::applyConfiguration(const nlohmann::json& document, std::string_view source)
{
    auto declaration = node.m_ports.decodeDeclaration(document);
    if (!declaration) {
        logEvent(LogLevel::Error, "configuration_refused", { { "source", source }, { "error", declaration.error().message } });
        return;
    }
    auto version = declaration.value().version;
    auto routes = declaration.value().routes.size();
    if (!node.m_view.offer(std::make_shared<const TrafficConfiguration>(std::move(declaration.value()))))
        return;
    pageServer.setConfiguration(document.dump());
    logEvent(LogLevel::Info, "configuration_in_force", { { "version", version }, { "source", source }, { "routes", routes } });
}

void EntryNode::ControlSide::onEndpoints(const std::map<std::string, StoreObject>& objects, bool listed)
{
    // A list that may be old is of no use any more when a peer's list has arrived before.
    if (!endpoints.connected() && !history.isEmpty())
        return;
    // A peer's page may have been newer than the response to this node's watch.
    if (!listed && endpoints.revision() < history.revision())
        return;
    auto now = steadyNow();
    // What a new list lacks may have vanished at any time since the former one was known to be the newest.
    auto noticedAt = endpoints.changesSince();
    if (listed)
        noticedAt = currentAt == SteadyTime {} ? now : std::max(currentAt, now - maximumUnwatchedTime);
    currentAt = now;
    history.take(objects, endpoints.revision(), noticedAt);
    applyEndpoints(storeSource, { .noticedAt = noticedAt });
}

// The list is the newest if a node watches the store and no peer has a newer one.
void EntryNode::ControlSide::noteCurrentList()
{
    auto summary = node.m_summary.get();
    if (endpoints.connected())
        currentAt = std::max(currentAt, endpoints.lastResponse());
    else if (summary->doPeersWatchStore && summary->peerEndpointsRevision <= history.revision())
        currentAt = std::max(currentAt, summary->madeAt - watcherNewsAge);
}

// A node that hears of the store from watchers does not conclude from its own calls that the store is away.
SteadyTime EntryNode::ControlSide::lastStoreFailure() const
{
    bool isToldByOthers = !endpoints.connected() && node.m_summary.get()->doPeersWatchStore;
    return isToldByOthers ? SteadyTime {} : endpoints.lastFailure();
}

const std::optional<ListedEndpoint>& EntryNode::ControlSide::decodeEntry(const std::string& id, const EndpointHistory::Entry& entry)
{
    auto& decoded = decodedEntries[id];
    if (decoded.hash == entry.hash)
        return decoded.endpoint;
    decoded.hash = entry.hash;
    decoded.endpoint.reset();
    auto endpoint = node.m_ports.decodeEndpoint(id, nlohmann::json::parse(entry.text));
    if (endpoint)
        decoded.endpoint = std::move(endpoint.value());
    else
        reportRefusedEntry(id, endpoint.error());
    return decoded.endpoint;
}

void EntryNode::ControlSide::reportRefusedEntry(const std::string& id, const Error& error)
{
    node.m_metrics.increment("onyxnotch_entry_refused_entries_total", {});
    if (refusedEntryLogBudget.take(steadyNow()))
        logEvent(LogLevel::Warning, "endpoint_refused", { { "endpoint", sanitizeUtf8(id) }, { "error", sanitizeUtf8(error.message) } });
}

void EntryNode::ControlSide::applyEndpoints(std::string_view source, const RemovalTimes& removals)
{
    std::map<std::string, ListedEndpoint> entries;
    std::set<std::string> refused;
    for (const auto& [id, entry] : history.entries()) {
        if (const auto& endpoint = decodeEntry(id, entry))
            entries.emplace_hint(entries.end(), id, *endpoint);
        else
            refused.insert(id);
    }
    std::erase_if(decodedEntries, [&](const auto& it) { return !history.entries().contains(it.first); });
    if (node.m_controlState.endpointsRevision.exchange(history.revision()) != history.revision())
        asio::post(node.m_requests->context, [&requests = *node.m_requests] { requests.onEndpointsChanged(); });
    auto now = steadyNow();
    auto hold = registry.update(entries, lastStoreFailure(), now, removals, refused);
    if (hold)
        logEvent(LogLevel::Info, "endpoints_held", { { "source", source }, { "cause", nameOf(hold->cause) }, { "endpoints", hold->endpoints }, { "ms", toMilliseconds(hold->until - now).count() } });
    publishEndpoints(source);
}

Milliseconds EntryNode::ControlSide::measureChangeAges(const EndpointListChange& change, std::string_view source)
{
    auto now = steadyNow();
    Milliseconds oldest { 0 };
    auto measure = [&](std::string_view kind, SteadyTime readAt) {
        auto age = std::max(Milliseconds(0), toMilliseconds(now - readAt));
        node.m_metrics.observeSeconds("onyxnotch_entry_endpoint_change_age_seconds", std::chrono::duration<double>(age).count(), { { "change", std::string(kind) }, { "source", std::string(source) } });
        oldest = std::max(oldest, age);
    };
    for (const auto& it : change.updated) {
        auto entry = history.entries().find(it.id);
        if (entry != history.entries().end() && entry->second.readAt != SteadyTime {})
            measure(it.leaving ? "draining" : "added", entry->second.readAt);
    }
    for (const auto& it : change.removed) {
        if (auto readAt = history.removalReadAt(it.id))
            measure("removed", *readAt);
    }
    return oldest;
}

void EntryNode::ControlSide::publishEndpoints(std::string_view source)
{
    auto list = std::make_shared<const EndpointList>(registry.list());
    auto before = node.m_view.endpoints();
    auto change = endpointListChange(before.get(), *list);
    // The first list may be an old one.
    auto age = before ? measureChangeAges(change, source) : Milliseconds(0);
    logEndpointListChange(change, *list, { .source = source, .revision = history.revision(), .readsStore = source == storeSource, .age = age });
    node.m_view.setEndpoints(std::move(list));
}

void EntryNode::ControlSide::onSummaryNews()
{
    configurationNews.notify();
    endpointNews.notify();
    configurations.onConditionChanged();
    endpoints.onConditionChanged();
    auto summary = node.m_summary.get();
    auto before = std::exchange(dutyCandidates, { .isHeldByPeer = summary->peerHoldsDuties, .isThisNodeFirst = summary->firstCandidate });
    // Each step of the first candidate reads the lease.
    if (dutyCandidates != before)
        duties.onCandidatesChanged();
}

asio::awaitable<void> EntryNode::ControlSide::runPeriodicChecks()
{
    auto callsLoggedAt = steadyNow();
    while (true) {
        bool isIdle = !endpoints.connected() && !duties.holds() && !registry.hasMissing();
        co_await sleepFor(context, isIdle ? idleControlPeriod : controlPeriod);
        flushLog();
        if (steadyNow() - callsLoggedAt >= storeCallLogInterval) {
            callsLoggedAt = steadyNow();
            store->logCounts();
        }
        node.m_controlState.holdsDuties = duties.holds();
        node.m_controlState.leftDutiesFence = duties.lastHeldFence();
        node.m_controlState.watchesStore = configurations.connected() && endpoints.connected();
        node.m_metrics.set("onyxnotch_entry_watches_store", node.m_controlState.watchesStore ? 1 : 0);
        // While it is unknown whether the store is available, endpoints may be unable to renew their entries.
        noteCurrentList();
        if (!endpoints.availabilityUnknown() && registry.expire(lastStoreFailure(), steadyNow()))
            publishEndpoints(endpoints.connected() ? storeSource : peerSource);
    }
}

asio::awaitable<void> EntryNode::ControlSide::followConfiguration()
{
    bool isUpToDate = false;
    while (true) {
        co_await configurationNews.wait(isUpToDate ? peerCheckInterval : controlPeriod);
        isUpToDate = co_await fetchConfiguration();
    }
}

asio::awaitable<void> EntryNode::ControlSide::followEndpoints()
{
    auto pause = minimumFetchBackoff;
    while (true) {
        if (co_await fetchEndpoints()) {
            pause = minimumFetchBackoff;
            co_await endpointNews.wait(history.isEmpty() ? controlPeriod : peerCheckInterval);
            continue;
        }
        co_await sleepFor(context, Milliseconds(std::uniform_int_distribution<std::int64_t>(pause.count() / 2, pause.count())(random)));
        pause = std::min(pause * 2, maximumFetchBackoff);
    }
}

asio::awaitable<bool> EntryNode::ControlSide::fetchConfiguration()
{
    auto summary = node.m_summary.get();
    auto current = node.m_view.configuration();
    if (summary->peerConfigurationVersion <= (current ? current->version() : 0))
        co_return current != nullptr;
    auto document = co_await pageClient.configuration(summary->peerConfigurationAddress);
    if (document.is_null())
        co_return false;
    applyConfiguration(document, peerSource);
    co_return true;
}

bool EntryNode::ControlSide::isAwaitingStoreList() const
{
    return history.isEmpty() && endpoints.lastFailure() == SteadyTime {} && steadyNow() - startedAt < storeListWait;
}

asio::awaitable<bool> EntryNode::ControlSide::fetchEndpoints()
{
    auto summary = node.m_summary.get();
    // A watcher that only stands by for another one asks the store less often than that one.
    bool isFirstWatcher = endpoints.connected() && !summary->isReplacementWatcher;
    if (isFirstWatcher || summary->peerEndpointsRevision <= history.revision() || isAwaitingStoreList())
        co_return true;
    auto since = history.revisionToRequest();
    auto page = co_await pageClient.endpointsSince(summary->peerEndpointsAddress, since);
    if (page.document.is_null())
        co_return false;
    auto applied = history.apply(page.document, page.clock);
    if (!applied)
        logEvent(LogLevel::Warning, "peer_page_refused", { { "peer", summary->peerEndpointsAddress.text() }, { "error", applied.error().message } });
    else if (applied.value())
        applyEndpoints(peerSource, removalTimes(page));
    co_return applied.has_value();
}

// The removals that the other node knows of take effect at once, except those of endpoints that it holds.
RemovalTimes EntryNode::ControlSide::removalTimes(const EndpointPage& page) const
{
    RemovalTimes times { .effectiveAt = page.heldUntil() };
    auto current = node.m_view.endpoints();
    if (!current)
        return times;
    for (const auto& [id, endpoint] : current->endpoints) {
        if (auto readAt = history.removalReadAt(id))
            times.effectiveAt.try_emplace(id, *readAt);
    }
    return times;
}

nlohmann::json EntryNode::ControlSide::nodeEntry() const
{
    return {
        { "gossip", node.gossipAddress().text() },
        { "lifetime", node.m_requests->lifetime },
        { "zone", node.m_options.zone },
        { "processorPercent", node.m_options.processorPercent },
    };
}

asio::awaitable<void> EntryNode::ControlSide::discoverNodes()
{
    auto value = nodeEntry();
    auto nodes = co_await readNodes();
    followStoredEndpoints(nodes ? nodes->objects.size() : 0);
    bool registered = false;
    while (true) {
        if (!registered && nodes)
            registered = co_await registerNode(value, *nodes);
        nodes.reset();
        co_await sleepFor(context, nodeDiscoveryPeriod);
        if (!registered || node.m_summary.get()->alivePeers == 0)
            nodes = co_await readNodes();
    }
}

// In a large fleet the other nodes send the newest endpoints within a second, so the first list need not be the newest.
void EntryNode::ControlSide::followStoredEndpoints(std::size_t nodesInStore)
{
    if (node.m_options.relays && nodesInStore > node.m_options.watching.everyNodeUpTo)
        endpoints.acceptOldFirstList();
    asio::co_spawn(context, endpoints.run(), asio::detached);
}

asio::awaitable<bool> EntryNode::ControlSide::registerNode(const nlohmann::json& value, const StoreObjects& nodes)
{
    const auto& objects = nodes.objects;
    auto ownEntry = std::find_if(objects.begin(), objects.end(), [this](const auto& it) { return it.name == node.m_options.node; });
    if (ownEntry == objects.end()) {
        auto created = co_await store->create(StoreKind::Nodes, node.m_options.node, value);
        co_return created || created.error().code == ErrorCode::Conflict;
    }
    if (ownEntry->value.is_object() && ownEntry->value.value("gossip", nlohmann::json()) == value["gossip"])
        co_return true;
    auto replaced = co_await store->replace(StoreKind::Nodes, node.m_options.node, ownEntry->revision, value);
    co_return bool(replaced);
}

asio::awaitable<std::optional<StoreObjects>> EntryNode::ControlSide::readNodes()
{
    auto nodes = co_await listAll(context, *store, StoreKind::Nodes);
    if (!nodes)
        co_return std::nullopt;
    auto others = parseContacts(nodes.value());
    asio::post(node.m_requests->context, [this, others] { node.m_requests->addListedNodes(others); });
    co_return std::move(nodes.value());
}

Result<PeerContact> EntryNode::ControlSide::parseContact(const StoreObject& object)
{
    static const nlohmann::json zero = 0;
    auto member = [&](const char* name) { return object.value.contains(name) ? object.value[name] : zero; };
    try {
        BOOST_OUTCOME_TRY(address, parseAddress(object.value.value("gossip", std::string())));
        return PeerContact {
            .node = object.name,
            .lifetime = toInteger<std::uint64_t>(member("lifetime")),
            .gossipAddress = address,
            .zone = object.value.value("zone", std::string()),
            .processorPercent = toInteger<std::uint32_t>(member("processorPercent")),
        };
    } catch (const std::exception& exception) {
        return Error { ErrorCode::InvalidArgument, exception.what() };
    }
}

std::vector<PeerContact> EntryNode::ControlSide::parseContacts(const StoreObjects& nodes) const
{
    std::vector<PeerContact> contacts;
    for (const auto& it : nodes.objects) {
        if (it.name == node.m_options.node)
            continue;
        auto contact = parseContact(it);
        if (contact)
            contacts.push_back(contact.value());
        else
            logEvent(LogLevel::Error, "node_entry_refused", { { "node", it.name }, { "error", contact.error().message } });
    }
    return contacts;
}

} // namespace Onyxnotch
