#include "modules/entry/entry_control.h"

#include "core/utf8.h"
#include "modules/control/list_change.h"
#include "modules/control/paged_list.h"
#include "modules/entry/entry_requests.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <nlohmann/json.hpp>
#include <set>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds controlStep { 100 }; // How often the control thread looks after endpoints and peers' versions.
    // After a page that did not come: nodes that ask the same peer are not to come back together.
    constexpr Milliseconds shortestFetchPause { 100 };
    constexpr Milliseconds longestFetchPause { 800 };
    // For how long after the start the store's own list is waited for, before a peer is asked for all endpoints.
    constexpr Milliseconds ownListFirst { 2000 };
    constexpr Milliseconds aloneAfter { 2000 }; // Without any peer, the store is asked where the others are.
    constexpr auto configurationName = "main";
    // How old a page of endpoints is on average when it comes from a peer: a row, and the fetching; with relays, two sums more.
    constexpr Milliseconds pageAge { 250 };
    constexpr Milliseconds pageAgeInFleet { 750 };
    // Where a node learnt something, in its log.
    constexpr std::string_view storeSource = "store";
    constexpr std::string_view peerSource = "peer";

} // namespace

EntryNode::ControlSide::ControlSide(EntryNode& entryNode)
    : node(entryNode)
    , store(entryNode.m_ports.makeStore(context))
    , cloud(entryNode.m_ports.makeCloud(context))
    , registry(entryNode.m_options.registry)
    , configurations(
          context, *store, StoreKind::Configuration, [this](const auto& objects, bool) { onConfigurations(objects); }, entryNode.m_options.follower)
    , endpoints(
          context, *store, StoreKind::Endpoints, [this](const auto& objects, bool) { onEndpoints(objects); }, entryNode.m_options.follower)
    , duties(context, *store, *cloud, entryNode.m_view, entryNode.m_summary, dutyOptions(entryNode))
    , rollouts(context, *store, entryNode.m_view, entryNode.m_summary, entryNode.m_versionShares, rolloutPorts(), entryNode.m_options.rollouts)
    , blocked(context, *store, [this](std::vector<KeptRequest> kept) { giveBlocked(std::move(kept)); })
    , pages(context, entryNode.m_options.control, [this](const HttpHead& head) { return answerPage(head); })
{
}

RolloutKeeper::Ports EntryNode::ControlSide::rolloutPorts()
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
    auto started = pages.start();
    if (!started)
        return started;
    auto wanted = [this] { return node.m_summary.get()->watchesStore; };
    configurations.setWanted(wanted);
    endpoints.setWanted(wanted);
    auto pauseFactor = [this] { return node.m_summary.get()->watchPauseFactor; };
    configurations.setPauseFactor(pauseFactor);
    endpoints.setPauseFactor(pauseFactor);
    asio::co_spawn(context, configurations.run(), asio::detached);
    asio::co_spawn(context, endpoints.run(), asio::detached);
    const auto& own = node.m_options.duties;
    if (own.reportsUsage || own.ordersEndpoints)
        asio::co_spawn(context, duties.run(), asio::detached);
    asio::co_spawn(context, rollouts.run(), asio::detached);
    auto& requests = *node.m_requests;
    requests.keepBlocked = [this](const KeptRequest& kept) { asio::post(context, [this, kept] { blocked.keep(kept); }); };
    requests.dropBlocked = [this](const RequestDigest& request) { asio::post(context, [this, request] { blocked.drop(request); }); };
    asio::co_spawn(context, blocked.run(), asio::detached);
    asio::co_spawn(context, lookAfter(), asio::detached);
    asio::co_spawn(context, followConfiguration(), asio::detached);
    asio::co_spawn(context, followEndpoints(), asio::detached);
    asio::co_spawn(context, findNodes(), asio::detached);
    return success();
}

void EntryNode::ControlSide::giveBlocked(std::vector<KeptRequest> kept)
{
    auto& requests = *node.m_requests;
    asio::post(requests.context, [&requests, kept = std::move(kept)] { requests.restoreBlocked(kept); });
}

HttpResponse EntryNode::ControlSide::answerPage(const HttpHead& head)
{
    if (head.target == "/metrics")
        return { .contentType = "text/plain; version=0.0.4", .body = node.m_metrics.serialize() };
    return givenPages.answer(head.target, history);
}

void EntryNode::ControlSide::onConfigurations(const std::map<std::string, StoreObject>& objects)
{
    auto it = objects.find(configurationName);
    if (it != objects.end())
        takeConfiguration(it->second.value, storeSource);
}

void EntryNode::ControlSide::takeConfiguration(const nlohmann::json& document, std::string_view source)
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
    givenPages.setConfiguration(document.dump());
    logEvent(LogLevel::Info, "configuration_in_force", { { "version", version }, { "source", source }, { "routes", routes } });
}

void EntryNode::ControlSide::onEndpoints(const std::map<std::string, StoreObject>& objects)
{
    history.take(objects, endpoints.revision());
    takeEndpoints(storeSource);
}

const std::optional<ListedEndpoint>& EntryNode::ControlSide::readEntry(const std::string& id, const EndpointHistory::Entry& entry)
{
    auto& known = readEntries[id];
    if (known.hash == entry.hash)
        return known.endpoint;
    known.hash = entry.hash;
    known.endpoint.reset();
    auto endpoint = node.m_ports.decodeEndpoint(id, entry.value);
    if (endpoint)
        known.endpoint = std::move(endpoint.value());
    else
        noteRefused(id, endpoint.error());
    return known.endpoint;
}

void EntryNode::ControlSide::noteRefused(const std::string& id, const Error& error)
{
    node.m_metrics.increment("onyxnotch_entry_refused_entries_total", {});
    if (refusedLines.take(steadyNow()))
        logEvent(LogLevel::Warning, "endpoint_refused", { { "endpoint", readableText(id) }, { "error", readableText(error.message) } });
}

void EntryNode::ControlSide::takeEndpoints(std::string_view source)
{
    std::map<std::string, ListedEndpoint> entries;
    std::set<std::string> refused;
    for (const auto& [id, entry] : history.entries()) {
        if (const auto& endpoint = readEntry(id, entry))
            entries.emplace_hint(entries.end(), id, *endpoint);
        else
            refused.insert(id);
    }
    std::erase_if(readEntries, [&](const auto& it) { return !history.entries().contains(it.first); });
    node.m_controlState.endpointsRevision = history.revision();
    auto age = source == peerSource ? (node.m_summary.get()->alivePeers >= node.m_options.watching.everyNodeUpTo ? pageAgeInFleet : pageAge) : Milliseconds(0);
    registry.update(entries, endpoints.lastFailure(), steadyNow(), age, refused);
    publishEndpoints(source);
}

void EntryNode::ControlSide::publishEndpoints(std::string_view source)
{
    auto list = std::make_shared<const EndpointList>(registry.list());
    auto before = node.m_view.endpoints();
    logListChange(listChange(before.get(), *list), *list, { .source = source, .revision = history.revision(), .readsStore = source == storeSource });
    node.m_view.setEndpoints(std::move(list));
}

asio::awaitable<void> EntryNode::ControlSide::lookAfter()
{
    while (true) {
        co_await sleepFor(context, controlStep);
        flushLog();
        node.m_controlState.holdsDuties = duties.holds();
        node.m_controlState.leftDutiesFence = duties.leftFence();
        node.m_controlState.watchesStore = configurations.connected() && endpoints.connected();
        if (registry.expire(endpoints.lastFailure(), steadyNow()))
            publishEndpoints(endpoints.connected() ? storeSource : peerSource);
    }
}

asio::awaitable<void> EntryNode::ControlSide::followConfiguration()
{
    while (true) {
        co_await sleepFor(context, controlStep);
        co_await fetchConfiguration();
    }
}

asio::awaitable<void> EntryNode::ControlSide::followEndpoints()
{
    auto pause = shortestFetchPause;
    while (true) {
        co_await sleepFor(context, controlStep);
        if (co_await fetchEndpoints()) {
            pause = shortestFetchPause;
            continue;
        }
        co_await sleepFor(context, Milliseconds(std::uniform_int_distribution<std::int64_t>(pause.count() / 2, pause.count())(random)));
        pause = std::min(pause * 2, longestFetchPause);
    }
}

asio::awaitable<void> EntryNode::ControlSide::fetchConfiguration()
{
    auto summary = node.m_summary.get();
    auto current = node.m_view.configuration();
    if (summary->peerConfigurationVersion <= (current ? current->version() : 0))
        co_return;
    auto document = co_await askedPages.configuration(summary->peerConfigurationAddress);
    if (!document.is_null())
        takeConfiguration(document, peerSource);
}

bool EntryNode::ControlSide::awaitsOwnList() const
{
    return history.isEmpty() && endpoints.lastFailure() == SteadyTime {} && steadyNow() - startedAt < ownListFirst;
}

asio::awaitable<bool> EntryNode::ControlSide::fetchEndpoints()
{
    auto summary = node.m_summary.get();
    if (endpoints.connected() || summary->peerEndpointsRevision <= history.revision() || awaitsOwnList())
        co_return true;
    auto since = history.revisionToAsk();
    auto page = co_await askedPages.endpointsSince(summary->peerEndpointsAddress, since);
    if (page.is_null())
        co_return false;
    auto applied = history.apply(page);
    if (!applied)
        logEvent(LogLevel::Warning, "peer_page_refused", { { "peer", summary->peerEndpointsAddress.text() }, { "error", applied.error().message } });
    else if (applied.value())
        takeEndpoints(peerSource);
    co_return applied.has_value();
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

asio::awaitable<void> EntryNode::ControlSide::findNodes()
{
    auto value = nodeEntry();
    bool registered = false;
    while (true) {
        if (!registered)
            registered = co_await registerNode(value);
        if (registered && node.m_summary.get()->alivePeers == 0)
            co_await readNodes();
        co_await sleepFor(context, aloneAfter);
    }
}

asio::awaitable<bool> EntryNode::ControlSide::registerNode(const nlohmann::json& value)
{
    auto nodes = co_await listAll(context, *store, StoreKind::Nodes);
    if (!nodes)
        co_return false;
    auto others = contactsOf(nodes.value());
    asio::post(node.m_requests->context, [this, others] { node.m_requests->meetNodes(others); });
    const auto& objects = nodes.value().objects;
    auto own = std::find_if(objects.begin(), objects.end(), [this](const auto& it) { return it.name == node.m_options.node; });
    if (own == objects.end()) {
        auto created = co_await store->create(StoreKind::Nodes, node.m_options.node, value);
        co_return created || created.error().code == ErrorCode::Conflict;
    }
    if (own->value.is_object() && own->value.value("gossip", nlohmann::json()) == value["gossip"])
        co_return true;
    auto replaced = co_await store->replace(StoreKind::Nodes, node.m_options.node, own->revision, value);
    co_return bool(replaced);
}

asio::awaitable<void> EntryNode::ControlSide::readNodes()
{
    auto nodes = co_await listAll(context, *store, StoreKind::Nodes);
    if (!nodes)
        co_return;
    auto others = contactsOf(nodes.value());
    asio::post(node.m_requests->context, [this, others] { node.m_requests->meetNodes(others); });
}

Result<PeerContact> EntryNode::ControlSide::contactOf(const StoreObject& object)
{
    try {
        BOOST_OUTCOME_TRY(address, parseAddress(object.value.value("gossip", std::string())));
        return PeerContact { .node = object.name, .lifetime = object.value.value("lifetime", std::uint64_t(0)), .gossipAddress = address, .zone = object.value.value("zone", std::string()), .processorPercent = object.value.value("processorPercent", 0U) };
    } catch (const nlohmann::json::exception& exception) {
        return Error { ErrorCode::InvalidArgument, exception.what() };
    }
}

std::vector<PeerContact> EntryNode::ControlSide::contactsOf(const StoreObjects& nodes) const
{
    std::vector<PeerContact> contacts;
    for (const auto& it : nodes.objects) {
        if (it.name == node.m_options.node)
            continue;
        auto contact = contactOf(it);
        if (contact)
            contacts.push_back(contact.value());
        else
            logEvent(LogLevel::Error, "node_entry_refused", { { "node", it.name }, { "error", contact.error().message } });
    }
    return contacts;
}

} // namespace Onyxnotch
