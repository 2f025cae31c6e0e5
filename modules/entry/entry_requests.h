// The request thread's side of an entry node: what requests share, and what nodes tell each other.
#pragma once

#include "core/net/async_http_server.h"
#include "core/net/http_status.h"
#include "core/steady_timer.h"
#include "modules/control/blocked_requests.h"
#include "modules/entry/entry_limits.h"
#include "modules/entry/entry_node.h"

namespace Onyxnotch {

namespace detail {

    constexpr Milliseconds drainStep { 50 };

} // namespace detail

// Everything on the thread that serves requests.
struct EntryNode::RequestSide {
    RequestSide(const EntryOptions& entryOptions, TrafficView& trafficView, NodeSummarySlot& summarySlot, Metrics& metrics, ControlState& stateOfControl, VersionShareSlot& sharesSlot);

    // Usage is long, and wanted by one node: it is told once in so many rows, by each node in its turn, since a holder on a narrow link
    // would lose what comes from all at once.
    static constexpr std::uint32_t usageEvery = 4;
    // Windows that ended longer ago have been told several times.
    static constexpr std::uint64_t usageToldAgainMilliseconds = 3000;
    static constexpr std::size_t marksInRow = 64; // As many as a relay tells on.
    // What ran at an endpoint breaks within moments of its end: one notice for all of it.
    static constexpr Milliseconds suspectsGathered { 20 };
    static constexpr unsigned fullTellings = 3; // To a new holder, which may have heard of no earlier window.
    // A window's last counts are told three times after its end, so that a lost datagram, or a node that is behind, costs none. The report
    // is due some seconds later.
    static constexpr Milliseconds usageSettlesInFleet { 4000 };

    static std::int64_t steadyMilliseconds() { return std::chrono::duration_cast<Milliseconds>(steadyNow().time_since_epoch()).count(); }

    Status start();

    // Ready as soon as requests can be answered.
    bool isReady() const { return !forward.stopping && view.configuration() && view.endpoints(); }

    HttpResponse answerReadiness() const { return { .status = isReady() ? HttpStatus::ok : HttpStatus::serviceUnavailable }; }

    void onRow(const PeerRow& row, bool newLife);
    asio::awaitable<void> gossip();
    void tick(SteadyTime now, double seconds);

    bool usesRelays() const { return options.relays && relay.isNeeded(listedNodes); }

    // In a fleet in which every node tells every other one.
    void hearPeers(SteadyTime now);
    // Of the nodes that were there lately, those that speak, this one included.
    double speakingPart(const std::vector<const PeerRow*>& alive, SteadyTime now) const;
    void setNodes(unsigned nodes);

    // In a larger one, where relays add up. What a relay tells others goes out right after what it heard itself.
    void hearFleet(SteadyTime now);

    // Rows each period, sums of zones each period, sums of the fleet each second one from either relay: what arrives is as old as that.
    void adaptToRelays();
    std::map<EndpointLife, EndpointLoadReport> namedLoads(const std::map<ShortName, SummedLoad>& loads) const;

    // The nodes that the store names. Entries of those that have gone for good stay there: then more are expected than there are, and
    // only the caution after a start costs.
    void meetNodes(const std::vector<PeerContact>& others);

    // While the store is away, other nodes' messages name some. Without either, as many as the limits take by themselves.
    void expectNodes();

    // How long a silence means nothing depends on how often a node hears another one.
    void adaptToFleet();
    static std::map<EndpointLife, EndpointLoadReport> sumLoads(const std::vector<const PeerRow*>& rows);
    void tellUsage();
    PeerRow ownRow();
    VersionNews ownVersions() const;

    // What the fleet knows of versions that run side by side decides what this node may send to them.
    void hearVersions(VersionNews others);

    // The instance was suspended since the last tick: everything that holds a time has aged by as much, and the log says why.
    void noteSuspension();

    // Endpoints end under some request: told within moments, not with the next row.
    void tellSuspectsSoon();
    void tellSuspects();
    void hearSuspects(const SuspectNews& news);
    // What was blocked or cleared since the last call, for the log and the store.
    void noteBlocked();
    // What the store held when this node started.
    void restoreBlocked(const std::vector<KeptRequest>&);
    SummaryOwner summaryOwner() const;
    NodeSummary summarize(const std::vector<const PeerRow*>& alive, SteadyTime now);
    NodeSummary summarize(const GroupSum& others, SteadyTime now);
    WindowCounts usageOfAll() const;

    // What is not in others' messages.
    void addOwn(NodeSummary& result, SteadyTime now);

    // Not ready at once; what comes until the balancer has noticed is still taken; then everything that runs may end.
    asio::awaitable<void> drain();

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
    WatchDecision watching { options.node, options.zone, options.watching };
    PeerExchange exchange;
    AsyncHttpServer readiness;
    std::uint64_t lifetime;
    EntryLimits limits;
    std::int64_t ownClockDifference; // As read at the start: a step of the clock later changes nothing.
    SteadyTime startedAt { steadyNow() };
    SteadyTime::duration suspended { InstanceClock::suspended() };
    std::uint32_t sequence { 0 };
    std::uint32_t ticks { 0 };
    std::uint32_t usagePhase { static_cast<std::uint32_t>(mixHash(std::hash<std::string> {}(options.node), 0) % usageEvery) };
    std::vector<PeerContact> fleetHolders {}; // Nodes of a large fleet that say that they hold the duties.
    std::string usageHolder {}; // To whom usage was told last,
    unsigned toldInFull { 0 }; // and how often.
    bool tellsSuspects { false }; // A notice is on its way.
    unsigned listedNodes { 0 }; // In the store's list, this one included; 0 before it was read.
    Address controlAddress {};
    // To the control thread.
    std::function<void(const KeptRequest&)> keepBlocked {};
    std::function<void(const RequestDigest&)> dropBlocked {};
};

} // namespace Onyxnotch
