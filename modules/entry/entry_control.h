// The control thread of an entry node: reads the configuration and the list of endpoints from the store or from other nodes, publishes them
// to the request thread, and runs the singleton duties and rollouts.
#pragma once

#include "core/log.h"
#include "core/net/async_http_server.h"
#include "modules/control/blocked_requests.h"
#include "modules/control/counted_store.h"
#include "modules/control/endpoint_history.h"
#include "modules/control/list_change.h"
#include "modules/control/peer_pages.h"
#include "modules/entry/entry_node.h"
#include <random>

namespace Onyxnotch {

namespace detail {

    constexpr unsigned refusedLinesPerSecond = 10; // Log lines for endpoint entries that cannot be decoded; a metric counts all of them.

} // namespace detail

// State and tasks of the control thread.
struct EntryNode::ControlSide {
    ControlSide(EntryNode& entryNode);
    // Functions that the rollout keeper calls on this node.
    RolloutManager::Ports rolloutPorts();

    // Duty options in which the lease names the incarnation of this node (its start time).
    static DutyOptions dutyOptions(const EntryNode& entryNode);
    Status start();
    // Answers requests to the control address: metrics for monitoring, configuration and endpoints for other nodes.
    HttpResponse answerPage(const HttpHead& head);
    // Passes blocked requests that were read from the store to the request thread.
    void passBlockedRequests(std::vector<StoredBlockedRequest> kept);
    void onConfigurations(const std::map<std::string, StoreObject>& objects);
    void applyConfiguration(const nlohmann::json& document, std::string_view source);
    // `listed` is true if the entries were listed anew, so that changes may have been missed.
    void onEndpoints(const std::map<std::string, StoreObject>& objects, bool listed);
    // Notes that the list of endpoints is the newest one, if it is.
    void noteCurrentList();
    // The last failure of the store that matters for endpoints without an entry, see EndpointRegistry.
    SteadyTime lastStoreFailure() const;
    // When the removals on a page of another node take effect.
    RemovalTimes removalTimes(const EndpointPage& page) const;

    // Decoded content of the entry with this hash; no endpoint if the entry cannot be decoded.
    struct DecodedEntry {
        std::uint64_t hash { 0 };
        std::optional<ListedEndpoint> endpoint {};
    };

    // Decodes an entry only if it has changed: decoding a list of 3,000 entries at each change of one would take milliseconds of a core.
    const std::optional<ListedEndpoint>& decodeEntry(const std::string& id, const EndpointHistory::Entry& entry);
    void reportRefusedEntry(const std::string& id, const Error& error);
    // Decodes the current entries, updates the registry and publishes the list. `source` is for the log.
    void applyEndpoints(std::string_view source, const RemovalTimes& removals);
    // Gives the registry's list to the request thread, logs what has changed and measures how old the changes are.
    void publishEndpoints(std::string_view source);
    // Adds the ages of the changes to the metric. Returns the age of the oldest one.
    Milliseconds measureChangeAges(const EndpointListChange& change, std::string_view source);
    // Acts on a summary of the request thread without waiting for the next check.
    void onSummaryNews();
    // Every 100 ms, or 250 ms at a node that gets its documents from others: flushes the log, publishes the control state and removes
    // endpoints whose entries have expired.
    asio::awaitable<void> runPeriodicChecks();

    // Fetch newer configurations and endpoints from peers. Two separate tasks, so that a configuration, which must be in force within
    // seconds, does not wait for the transfer of endpoints.
    asio::awaitable<void> followConfiguration();
    asio::awaitable<void> followEndpoints();

    // Fetches the configuration from a peer that has a newer one than this node. Returns false if this node has none afterwards, or if the
    // peer did not give its own.
    asio::awaitable<bool> fetchConfiguration();

    // Whether this node has just started and still expects its first list of endpoints from the store. Fetching the complete list from a
    // peer as well would double the traffic when the whole fleet starts.
    bool isAwaitingStoreList() const;

    // Fetches newer endpoints from a peer while this node has no connection to the store's watch. Returns false if a page was requested and
    // did not arrive or could not be applied.
    asio::awaitable<bool> fetchEndpoints();

    // This node's entry in the store: where and how other nodes reach it.
    nlohmann::json nodeEntry() const;

    // Registers this node in the store, and then reads the other nodes from it as long as no peer is alive.
    asio::awaitable<void> discoverNodes();
    // Starts to follow the endpoints, once the number of nodes in the store is known, or not available (0).
    void followStoredEndpoints(std::size_t nodesInStore);

    // Writes this node's entry if the store has none or another address. One list call returns both that entry and the other nodes.
    asio::awaitable<bool> registerNode(const nlohmann::json& value, const StoreObjects& nodes);
    // Reads the nodes in the store and passes them to the request thread. Empty if the store is not available.
    asio::awaitable<std::optional<StoreObjects>> readNodes();
    static Result<PeerContact> parseContact(const StoreObject& object);

    // Contacts of the listed nodes, without this node; entries that cannot be parsed are logged and left out.
    std::vector<PeerContact> parseContacts(const StoreObjects& nodes) const;

    EntryNode& node;
    asio::io_context context { 1 };
    std::unique_ptr<CountedStore> store;
    std::unique_ptr<CloudOrders> cloud;
    EndpointRegistry registry;
    StoreFollower configurations;
    StoreFollower endpoints;
    DutyRunner duties;
    RolloutManager rollouts;
    BlockedRequests blockedRequests;
    AsyncHttpServer controlServer;
    PeerPageServer pageServer {};
    PeerPageClient pageClient { context };
    EndpointHistory history {}; // Serves changes of endpoints to nodes that do not follow the store.
    std::map<std::string, DecodedEntry> decodedEntries {};
    LogRateLimiter refusedEntryLogBudget { detail::refusedLinesPerSecond };
    // Who holds the singleton duties or would take them, as of the last summary with news.
    struct DutyCandidates {
        bool isHeldByPeer { false };
        bool isThisNodeFirst { true };

        bool operator==(const DutyCandidates&) const = default;
    };

    DutyCandidates dutyCandidates {};
    Wakeup configurationNews { context };
    Wakeup endpointNews { context };
    SteadyTime currentAt {}; // When the list of endpoints was last known to be the newest one; SteadyTime {} if it never was.
    SteadyTime startedAt { steadyNow() };
    std::minstd_rand random { std::random_device {}() };
};

} // namespace Onyxnotch
