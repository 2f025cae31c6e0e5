// The request thread of an entry node: serves client requests, exchanges state with the other nodes each gossip period, and publishes a
// summary of that state to the control thread.
#pragma once

#include "core/net/async_http_server.h"
#include "core/net/http_status.h"
#include "core/steady_timer.h"
#include "modules/control/blocked_requests.h"
#include "modules/entry/entry_limits.h"
#include "modules/entry/entry_node.h"
#include "modules/peers/fleet_size.h"
#include "modules/peers/sum_exchange.h"

namespace Onyxnotch {

namespace detail {

    constexpr Milliseconds drainPollInterval { 50 };

} // namespace detail

// State and tasks of the request thread.
struct EntryNode::RequestSide {
    RequestSide(const EntryOptions& entryOptions, TrafficView& trafficView, NodeSummarySlot& summarySlot, Metrics& metrics, ControlState& controlState, VersionShareSlot& sharesSlot);

    // Usage is sent once per this number of gossip periods, since the message is long and only the holder of the metering duty needs it.
    // Each node has its own phase: a holder on a slow link would lose datagrams if all nodes sent at once.
    static constexpr std::uint32_t usagePeriodTicks = 4;
    // Usage windows that ended longer ago than this have been sent several times and are not sent again.
    static constexpr std::uint64_t usageResendMilliseconds = 3000;
    // With relay nodes: maximum number of draining endpoints that this node's state message lists; a relay node forwards as many.
    static constexpr std::size_t maximumDrainingMarks = 64;
    // Requests at a crashed endpoint fail within milliseconds of each other; after this delay one message reports all of them.
    static constexpr Milliseconds suspectUpdateDelay { 20 };
    // Reports of all windows to a new duty holder, which may have received none of the earlier ones.
    static constexpr unsigned fullUsageReports = 3;
    // With relay nodes: time after the end of a usage window until its counts are final. The last counts of a window are sent three times
    // after its end, so that a lost datagram or a late node loses none. The usage report is due some seconds later.
    static constexpr Milliseconds relayedUsageSettleTime { 4000 };

    // With relay nodes: age of the sum of all nodes' usage, whose cost grows with nodes, windows and teams. Counts of a window are final only
    // some seconds after its end.
    static constexpr Milliseconds usageSumInterval { 1000 };

    // Endpoint speeds are sent once per this number of gossip periods: they change slowly.
    static constexpr std::uint32_t speedPeriodTicks = 2;
    // Retries are counted and logged once per this number of gossip periods.
    static constexpr std::uint32_t retryReportTicks = 4;

    Status start();

    // Whether requests can be forwarded: configuration and endpoints are known, and the node is not draining.
    bool isReady() const { return !forward.isStopping() && view.configuration() && view.endpoints(); }

    HttpResponse answerReadiness() const { return { .status = isReady() ? HttpStatus::ok : HttpStatus::serviceUnavailable }; }

    // Handles a row, the state that another node sends each gossip period. `isNewIncarnation`: the first row since that node's last start.
    void onRow(const PeerRow& row, bool isNewIncarnation);
    // Sends the levels of the teams' limits, as far as this node knows them, to nodes that have just started.
    void sendTeamLevels(const std::vector<Address>& receivers);
    // Applies the levels that another node knows. A relay node passes the first ones on, since most nodes that have just started hear only
    // of relay nodes, which may have started as well.
    void onTeamLevels(const TeamLevels&);
    asio::awaitable<void> gossip();
    // Once per gossip period; `seconds` have passed since the last call.
    void tick(SteadyTime now, double seconds);

    bool usesRelays() const { return options.relays && relay.isNeeded(listedNodes); }

    // One gossip period without relay nodes: evaluates the rows received from the other nodes and sends this node's row.
    void exchangeDirectly(SteadyTime now);
    // Number of nodes that currently send messages, divided by the number of nodes seen in the last 20 s (0 to 1), this node included.
    double aliveShare(const std::vector<const PeerRow*>& alive, SteadyTime now) const;

    // One gossip period with relay nodes, which aggregate the rows. A relay node builds and sends its aggregates in the same call, from
    // what it has received until then.
    void exchangeThroughRelays(SteadyTime now);
    // Called when this node has newer endpoints: in a fleet with relay nodes the others are told at once, at most once in a period besides
    // the regular messages, as several nodes pass the news on one after the other.
    void onEndpointsChanged();
    // Tells the control thread at once of a peer that has newer endpoints.
    void onPeerEndpoints(const DocumentSource&);

    // Sets the times after which peer data is stale, with relay nodes: rows and zone aggregates are sent each period, the fleet aggregate
    // every second period by each relay node of the zone, so received data may be that old.
    void adaptRelayTimeouts();
    // Looks up the short names in the list of endpoints; loads of unlisted endpoints are left out.
    std::map<EndpointIncarnation, EndpointLoadReport> loadsByIncarnation(const std::map<ShortName, AggregatedLoad>& loads) const;

    // Receives the other nodes that the store lists. Entries of nodes that were removed for good stay in the store, so more nodes may be
    // expected than exist.
    void addListedNodes(const std::vector<PeerContact>& others);

    // Sets by how many nodes this one divides what all share. While the number is unknown, the defaults of the parts stay.
    void applyFleetSize();

    // Sets the times after which peer data is stale, without relay nodes, from how often a node receives the rows of another one.
    void adaptDirectTimeouts();
    static std::map<EndpointIncarnation, EndpointLoadReport> sumLoads(const std::vector<const PeerRow*>& rows);
    void sendUsage();
    // With relay nodes: the holders of the singleton duties, and the nodes that may take them over.
    std::vector<PeerContact> usageReceivers() const;
    // Evaluates the measured speeds and failures of endpoints over all nodes, and sends this node's.
    void exchangeEndpointSpeeds(SteadyTime now);
    void logEndpointSpeedChanges(SteadyTime now);
    // Sends this node's admission load, and updates the admission level from that of all nodes. `seconds` have passed since the last call.
    void updateAdmission(SteadyTime now, double seconds);
    AdmissionView admissionView() const;
    void reportAdmission();
    PeerRow ownRow();
    VersionUpdate ownVersionUpdate() const;

    // Applies what the fleet knows of service versions that run side by side; it decides how many requests this node sends to each.
    void applyVersionUpdate(VersionUpdate others);

    // Counts and logs a suspension of the instance since the last tick. All stored times have aged by its duration; the log line explains
    // the effects.
    void detectSuspension();

    // Endpoints have crashed while they ran a request: sends the suspected requests within 20 ms instead of with the next row.
    void scheduleSuspectUpdate();
    void sendSuspectUpdate();
    void onSuspectUpdate(const SuspectUpdate& update);
    // Logs requests that were blocked or cleared since the last call, and passes them to the store.
    void reportBlockedRequests();
    // Counts and logs rows and contacts of nodes for which the peer table has no room.
    void reportRefusedPeers(SteadyTime now);
    // Counts and logs the retries of each service since the last call.
    void reportRetries(SteadyTime now);
    // Blocks the requests that were stored as blocked when this node started.
    void restoreBlockedRequests(const std::vector<StoredBlockedRequest>&);
    SummaryOwner summaryOwner() const;
    // Publishes the summary, and notifies the control thread of what it acts on.
    void publish(NodeSummary);
    NodeSummary summarize(const std::vector<const PeerRow*>& alive, SteadyTime now);
    NodeSummary summarize(const GroupAggregate& others, SteadyTime now);
    // Usage of all nodes, by window and team; with relay nodes as of `usageSumInterval` ago at most.
    WindowCounts fleetUsage(SteadyTime now);

    // Adds this node's own state, which messages of the other nodes do not contain.
    void addOwnState(NodeSummary& result, SteadyTime now);

    // Reports not ready at once, serves new connections until the load balancer has noticed, then waits until running requests have ended
    // or the grace time is nearly over.
    asio::awaitable<void> drain();
    asio::awaitable<void> endRequests();
    // When a node that was told to stop at `began` gives up requests.
    DrainTimes drainTimes(SteadyTime began) const;
    // How long before the kill the requests that still run are ended.
    Milliseconds graceMargin() const;

    const EntryOptions& options;
    TrafficView& view;
    NodeSummarySlot& summary;
    ControlState& control;
    VersionShareSlot& versionShares;
    asio::io_context context { 1 };
    ForwardContext forward;
    ForwardServer server;
    PeerTable peers;
    FleetRelay relay;
    SteadyTime earlyExchangeAt {}; // The last one outside the regular period.
    bool isFleetAggregateWanted { false }; // The next messages include the fleet aggregate, in whichever period.
    WatchDecision watchDecision { options.node, options.zone, options.watching };
    PeerExchange exchange;
    AsyncHttpServer readiness;
    std::uint64_t lifetime;
    EntryLimits limits;
    RelayedSum<EndpointSpeedReport> endpointSpeeds;
    LogRateLimiter endpointSpeedLines { 20 };
    RelayedSum<AdmissionLoad> admissionSum;
    // Wall clock minus steady clock in milliseconds, read at the start only, so that later clock steps have no effect.
    std::int64_t ownClockDifference;
    SteadyTime startedAt { steadyNow() };
    SteadyTime::duration suspended { InstanceClock::suspended() };
    std::uint32_t sequence { 0 };
    std::uint32_t ticks { 0 };
    std::uint32_t usagePhase { static_cast<std::uint32_t>(mixHash(std::hash<std::string> {}(options.node), 0) % usagePeriodTicks) };
    std::vector<PeerContact> fleetDutyHolders {}; // With relay nodes: the nodes that report to hold the singleton duties.
    std::vector<StoreWatcher> fleetWatchers {}; // With relay nodes: the other nodes that watch the store, one of which takes over the duties.
    std::string lastUsageHolder {}; // Name of the duty holder that usage was last sent to,
    unsigned fullReportsSent { 0 }; // and how many more times it was sent to the same one.
    bool isSuspectUpdateScheduled { false }; // An update of suspected requests will be sent after the delay.
    SteadyTime usageSummedAt {}; // When `summedUsage` was last computed; SteadyTime {} if never.
    WindowCounts summedUsage {}; // Of all nodes, by window and team. Only at the holder of the singleton duties.
    std::uint64_t refusedPeers { 0 }; // PeerTable::refused() as last reported.
    LogRateLimiter refusedPeerLines { 1 };
    LogRateLimiter retryLines { 20 };
    FleetSize fleetSize {};
    unsigned listedNodes { 0 }; // Nodes that the store lists, this one included; 0 before the list was read.
    Address controlAddress {};
    // Both post to the control thread, which writes to the store.
    std::function<void(const StoredBlockedRequest&)> saveBlockedRequest {};
    std::function<void(const RequestDigest&)> deleteBlockedRequest {};
    std::function<void()> notifyControl {}; // Tells the control thread that the published summary has news for it.
};

} // namespace Onyxnotch
