#include "modules/entry/entry_requests.h"

#include "core/log.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

namespace Onyxnotch {

EntryNode::RequestSide::RequestSide(const EntryOptions& entryOptions, TrafficView& trafficView, NodeSummarySlot& summarySlot, Metrics& metrics, ControlState& stateOfControl, VersionShareSlot& sharesSlot)
    : options(entryOptions)
    , view(trafficView)
    , summary(summarySlot)
    , control(stateOfControl)
    , versionShares(sharesSlot)
    , forward(context, trafficView, metrics, entryOptions.forward, entryOptions.retries)
    , server(forward, entryOptions.callers)
    , peers(entryOptions.node)
    , relay(peers, { .node = entryOptions.node, .zone = entryOptions.zone, .everyNodeUpTo = entryOptions.watching.everyNodeUpTo, .period = entryOptions.gossipPeriod }, steadyNow())
    , exchange(
          context, peers, relay, { .listen = entryOptions.gossip, .seeds = entryOptions.seeds, .zone = entryOptions.zone },
          { .row = [this](const PeerRow& row, bool newLife) { onRow(row, newLife); },
              .prefill = [this](const PrefillNotice& notice) { forward.endpoints.notePeersPrefill(notice.endpoint, notice.tokens, steadyNow()); },
              .suspects = [this](const SuspectNews& news) { hearSuspects(news); },
              .limits = [this](const LimitNews& news) { limits.onNews(news); },
              .creditAsk = [this](const CreditAsk& ask, const Address& from) { limits.onAsk(ask, from); },
              .creditAnswer = [this](const CreditAnswer& answer, const Address& from) { limits.onAnswer(answer, from); },
              .creditReturn = [this](const CreditReturn& returned) { limits.onReturn(returned); } })
    , readiness(context, entryOptions.readiness, [this](const HttpHead&) { return answerReadiness(); })
    , lifetime(wallMilliseconds())
    , limits(context, forward, exchange, relay, { .node = entryOptions.node, .lifetime = lifetime })
    , ownClockDifference(static_cast<std::int64_t>(lifetime) - steadyMilliseconds())
{
    forward.clockDifference = ownClockDifference;
    forward.tellSuspects = [this] { tellSuspectsSoon(); };
    forward.tellLongPrefill = [this](const EndpointLife& endpoint, double tokens) { exchange.send(PrefillNotice { .endpoint = endpoint, .tokens = tokens }); };
}

Status EntryNode::RequestSide::start()
{
    auto started = server.start();
    if (started)
        started = exchange.start();
    if (started)
        started = readiness.start();
    if (!started)
        return started;
    asio::co_spawn(context, gossip(), asio::detached);
    return success();
}

void EntryNode::RequestSide::onRow(const PeerRow& row, bool newLife)
{
    forward.teams.onPeer(row.node, row.lifetime, Milliseconds(row.ageMilliseconds), row.teamTotals, steadyNow());
    // It may not have heard this node either, and until then counts on less of the teams' limits.
    if (newLife)
        forward.endpoints.tellMarksAgain(steadyNow());
    if (newLife && !usesRelays())
        exchange.sendTo(row.gossipAddress, ownRow());
    if (newLife && (!usesRelays() || relay.isRelay(steadyNow())))
        limits.greet(row.gossipAddress);
    for (const auto& it : row.leavingEndpoints)
        forward.endpoints.markLeaving(it, steadyNow());
    forward.suspects.onNews(row.suspects, steadyNow());
}

asio::awaitable<void> EntryNode::RequestSide::gossip()
{
    auto last = steadyNow();
    while (true) {
        co_await sleepFor(context, usesRelays() ? relay.period(steadyNow()) : options.gossipPeriod);
        auto now = steadyNow();
        tick(now, std::chrono::duration<double>(now - last).count());
        last = now;
    }
}

void EntryNode::RequestSide::tick(SteadyTime now, double seconds)
{
    auto configuration = view.configuration();
    if (configuration)
        forward.takeEndpoints(view.endpoints(), *configuration, now);
    forward.endpoints.setReadsStore(control.watchesStore);
    peers.forgetOld(now);
    expectNodes();
    forward.demand.tick(seconds);
    noteSuspension();
    noteBlocked();
    forward.metrics.set("onyxnotch_entry_resting_endpoints", static_cast<double>(forward.endpoints.resting(now)));
    forward.metrics.set("onyxnotch_entry_held_bytes", static_cast<double>(forward.heldBodies.held()));
    if (auto leftOut = forward.answeredLines.takeLeftOut() + forward.failedLines.takeLeftOut())
        logEvent(LogLevel::Info, "request_lines_left_out", { { "count", leftOut } });
    ++ticks;
    if (usesRelays())
        hearFleet(now);
    else
        hearPeers(now);
    if (ticks % usageEvery == usagePhase)
        tellUsage();
}

void EntryNode::RequestSide::hearPeers(SteadyTime now)
{
    adaptToFleet();
    auto alive = peers.alive(now);
    setNodes(static_cast<unsigned>(alive.size()) + 1);
    forward.clockDifference = peers.clockDifference(ownClockDifference, now);
    forward.endpoints.setPeerLoads(sumLoads(alive), now);
    exchange.send(ownRow());
    limits.tick(false, speakingPart(alive, now), now);
    summary.set(std::make_shared<const NodeSummary>(summarize(alive, now)));
}

double EntryNode::RequestSide::speakingPart(const std::vector<const PeerRow*>& alive, SteadyTime now) const
{
    constexpr Milliseconds silentFor { 20000 }; // Then a node has gone.
    auto speaking = static_cast<double>(alive.size() + 1);
    return speaking / (speaking + peers.silent(silentFor, now));
}

void EntryNode::RequestSide::setNodes(unsigned nodes)
{
    forward.nodes = nodes;
    forward.retries.setNodes(nodes);
}

void EntryNode::RequestSide::hearFleet(SteadyTime now)
{
    adaptToRelays();
    auto row = ownRow();
    relay.setOwnRow(row, now);
    exchange.sendToRelays(row);
    if (relay.isRelay(now)) {
        exchange.send(MessageType::ZoneSum, relay.zoneTelling(now));
        if (relay.isFleetTellingDue(now))
            exchange.send(MessageType::FleetSum, relay.fleetTelling(now));
    }
    auto heard = relay.others(now).value_or(FleetRelay::Others {});
    const auto& others = heard.sum;
    if (others.nodes > 0) {
        setNodes(others.nodes + 1);
        forward.teams.onFleet(others.nodes, others.silentNodes, others.teamTotals, heard.heardAt);
        forward.endpoints.setPeerLoads(namedLoads(others.loads), now);
    }
    limits.tick(true, (others.nodes + 1.0) / (others.nodes + others.silentNodes + 1.0), now);
    fleetHolders = others.dutyHolders;
    for (const auto& it : others.leavingEndpoints)
        forward.endpoints.markLeaving(it, steadyNow());
    forward.suspects.onNews(others.suspects, steadyNow());
    forward.clockDifference = relay.clockDifference(ownClockDifference, now);
    summary.set(std::make_shared<const NodeSummary>(summarize(others, now)));
}

void EntryNode::RequestSide::adaptToRelays()
{
    constexpr int periodsOld = 2;
    constexpr int periodsFresh = 4;
    constexpr int periodsUntilHeard = 10;
    constexpr int periodsUntilSilent = 6;
    peers.setSilentAfter(options.gossipPeriod * periodsUntilSilent);
    forward.endpoints.setPeersStaleFor(options.gossipPeriod * periodsOld);
    forward.teams.setFreshFor(options.gossipPeriod * periodsFresh);
    forward.teams.setCautiousFor(options.gossipPeriod * periodsUntilHeard);
}

std::map<EndpointLife, EndpointLoadReport> EntryNode::RequestSide::namedLoads(const std::map<ShortName, SummedLoad>& loads) const
{
    std::map<EndpointLife, EndpointLoadReport> named;
    auto list = view.endpoints();
    if (!list)
        return named;
    for (const auto& [id, endpoint] : list->endpoints) {
        auto life = endpoint.life();
        auto it = loads.find(shortNameOf(life));
        if (it != loads.end())
            named[life] = { .endpoint = life, .inFlight = static_cast<double>(it->second.inFlight), .waitingTokens = it->second.waitingUnits * SummedLoad::tokensPerUnit };
    }
    return named;
}

void EntryNode::RequestSide::meetNodes(const std::vector<PeerContact>& others)
{
    listedNodes = static_cast<unsigned>(others.size()) + 1;
    logEvent(LogLevel::Info, "nodes_expected", { { "nodes", listedNodes } });
    for (const auto& it : others)
        exchange.addContact(it);
    expectNodes();
    if (usesRelays())
        hearFleet(steadyNow());
    else
        exchange.greetAll(ownRow());
}

void EntryNode::RequestSide::expectNodes()
{
    auto named = static_cast<unsigned>(peers.contacts().size()) + 1;
    if (listedNodes > 0 || named > forward.teams.expectedNodes())
        forward.teams.setExpectedNodes(std::max(listedNodes, named));
}

void EntryNode::RequestSide::adaptToFleet()
{
    constexpr double rowsUntilSilent = 6;
    constexpr double rowsWhileFresh = 3;
    constexpr double rowsUntilHeard = 8; // By then a node has heard all others but some three in ten thousand.
    auto between = static_cast<double>(options.gossipPeriod.count()) / exchange.heardPart();
    peers.setSilentAfter(Milliseconds(static_cast<std::int64_t>(between * rowsUntilSilent)));
    forward.endpoints.setPeersStaleFor(Milliseconds(static_cast<std::int64_t>(between)));
    forward.teams.setFreshFor(Milliseconds(static_cast<std::int64_t>(between * rowsWhileFresh)));
    forward.teams.setCautiousFor(Milliseconds(static_cast<std::int64_t>(between * rowsUntilHeard)));
}

std::map<EndpointLife, EndpointLoadReport> EntryNode::RequestSide::sumLoads(const std::vector<const PeerRow*>& rows)
{
    std::map<EndpointLife, EndpointLoadReport> sums;
    for (const auto* row : rows) {
        for (const auto& it : row->loads) {
            auto& sum = sums[it.endpoint];
            sum.inFlight += it.inFlight;
            sum.waitingTokens += it.waitingTokens;
        }
    }
    return sums;
}

void EntryNode::RequestSide::tellUsage()
{
    auto holders = usesRelays() ? fleetHolders : peers.dutyHolders();
    auto holder = holders.empty() ? std::string() : holders.front().node;
    toldInFull = holder == usageHolder ? toldInFull + 1 : 0;
    usageHolder = holder;
    bool full = holder.empty() || toldInFull < fullTellings;
    auto windows = full ? forward.usage.windows() : forward.usage.openSince(forward.trueMilliseconds() - usageToldAgainMilliseconds);
    if (!windows.empty())
        exchange.send(UsageNotice { .node = options.node, .lifetime = lifetime, .windows = std::move(windows) }, holders);
}

PeerRow EntryNode::RequestSide::ownRow()
{
    auto configuration = view.configuration();
    ++sequence;
    return {
        .node = options.node,
        .lifetime = lifetime,
        .sequence = sequence,
        .ageMilliseconds = static_cast<std::uint32_t>(toMilliseconds(steadyNow() - startedAt).count()),
        .zone = options.zone,
        .gossipAddress = exchange.address(),
        .controlAddress = controlAddress,
        .processorPercent = options.processorPercent,
        .leaving = forward.stopping,
        .hasDuties = options.duties.reportsUsage || options.duties.ordersEndpoints,
        .holdsDuties = control.holdsDuties,
        .leftDutiesFence = control.leftDutiesFence,
        .trueMilliseconds = static_cast<std::uint64_t>(steadyMilliseconds() + ownClockDifference),
        .configurationVersion = configuration ? configuration->version() : 0,
        .watchesStore = control.watchesStore,
        .endpointsRevision = control.endpointsRevision,
        .teamTotals = forward.teams.ownTotals(),
        .loads = forward.endpoints.ownLoads(),
        .leavingEndpoints = usesRelays() ? forward.endpoints.ownLeavingMarks(steadyNow(), marksInRow) : forward.endpoints.recentLeavingMarks(steadyNow()),
        .demand = forward.demand.demand(),
        .versions = ownVersions(),
        .suspects = forward.suspects.news(steadyNow()),
    };
}

VersionNews EntryNode::RequestSide::ownVersions() const
{
    if (!options.rollouts.enabled)
        return {};
    return { .trials = forward.versions.ownTrials(), .shares = *versionShares.get(), .stopped = forward.versions.stopped() };
}

void EntryNode::RequestSide::hearVersions(VersionNews others)
{
    if (!options.rollouts.enabled)
        return;
    addNews(others, { .shares = *versionShares.get() });
    forward.versions.onNews(others);
    for (const auto& it : forward.versions.takeNewlyStopped())
        logEvent(LogLevel::Warning, "version_stopped", { { "service", it.service }, { "version", it.version }, { "ordered_at", it.orderedAt } });
}

void EntryNode::RequestSide::noteSuspension()
{
    constexpr Milliseconds worthTelling { 50 }; // The two clocks are read one after the other, with other threads between.
    auto now = InstanceClock::suspended();
    auto grown = toMilliseconds(now - suspended);
    suspended = now;
    if (grown < worthTelling)
        return;
    forward.metrics.increment("onyxnotch_entry_suspended_seconds_total", {}, static_cast<double>(grown.count()) / 1000);
    logEvent(LogLevel::Warning, "instance_suspended", { { "ms", grown.count() } });
}

void EntryNode::RequestSide::tellSuspectsSoon()
{
    if (tellsSuspects)
        return;
    tellsSuspects = true;
    asio::co_spawn(
        context, [this]() -> asio::awaitable<void> {
            co_await sleepFor(context, suspectsGathered);
            tellsSuspects = false;
            tellSuspects();
        },
        asio::detached);
}

void EntryNode::RequestSide::tellSuspects()
{
    auto now = steadyNow();
    if (!usesRelays())
        exchange.send(forward.suspects.news(now));
    else
        exchange.sendToRelays(relay.isRelay(now) ? forward.suspects.relayedNews(now) : forward.suspects.news(now));
}

void EntryNode::RequestSide::hearSuspects(const SuspectNews& news)
{
    auto now = steadyNow();
    forward.suspects.onNews(news, now);
    bool relays = forward.suspects.takeWorthRelaying() && usesRelays() && relay.isRelay(now);
    if (relays)
        tellSuspectsSoon();
}

void EntryNode::RequestSide::noteBlocked()
{
    forward.metrics.set("onyxnotch_entry_blocked_requests", static_cast<double>(forward.suspects.blockedRequests()));
    for (const auto& it : forward.suspects.takeNewlyBlocked()) {
        logEvent(LogLevel::Warning, "request_blocked", { { "digest", it.request.text() }, { "ended_endpoints", forward.suspects.endedLives(it.request) }, { "round", static_cast<unsigned>(it.round) } });
        if (keepBlocked)
            keepBlocked({ .request = it.request, .round = it.round, .blockedAt = forward.trueMilliseconds() });
    }
    for (const auto& it : forward.suspects.takeNewlyCleared()) {
        logEvent(LogLevel::Info, "request_cleared", { { "digest", it.text() } });
        if (dropBlocked)
            dropBlocked(it);
    }
}

void EntryNode::RequestSide::restoreBlocked(const std::vector<KeptRequest>& kept)
{
    SuspectNews news;
    auto now = forward.trueMilliseconds();
    for (const auto& it : kept) {
        auto age = now > it.blockedAt ? (now - it.blockedAt) / 1000 : 0;
        news.blocked.push_back({ .request = it.request, .round = it.round, .ageSeconds = static_cast<std::uint32_t>(age) });
    }
    forward.suspects.onNews(news, steadyNow());
    logEvent(LogLevel::Info, "blocked_requests_read", { { "count", news.blocked.size() } });
}

SummaryOwner EntryNode::RequestSide::summaryOwner() const
{
    return { .node = options.node, .zone = options.zone, .watchesStore = control.watchesStore, .leftDuties = control.leftDutiesFence > 0 };
}

NodeSummary EntryNode::RequestSide::summarize(const std::vector<const PeerRow*>& alive, SteadyTime now)
{
    auto result = summarizePeers(alive, summaryOwner());
    result.watchesStore = shouldWatchStore(options.node, options.zone, alive, options.watching);
    result.watchPauseFactor = watchPauseFactor(options.node, options.zone, alive, options.watching);
    addOwn(result, now);
    return result;
}

NodeSummary EntryNode::RequestSide::summarize(const GroupSum& others, SteadyTime now)
{
    auto result = summarizeGroup(others, summaryOwner());
    result.watchesStore = watching.decide(others.watchers, std::max(others.nodes + 1, listedNodes), others.nodes > 0, now);
    result.watchPauseFactor = watching.pauseFactor(others.nodes + 1);
    result.usageSettles = usageSettlesInFleet;
    result.candidatePatience = watching.pauseFactor(others.nodes + 1);
    // Who comes first is not known before most of the fleet has been heard.
    result.firstCandidate = result.firstCandidate && 2 * (others.nodes + 1) >= listedNodes;
    addOwn(result, now);
    return result;
}

WindowCounts EntryNode::RequestSide::usageOfAll() const
{
    auto sums = peers.usage();
    for (const auto& [window, counts] : forward.usage.windows()) {
        for (const auto& [team, count] : counts)
            sums[window][team] += count;
    }
    return sums;
}

void EntryNode::RequestSide::addOwn(NodeSummary& result, SteadyTime now)
{
    result.trueMilliseconds = forward.trueMilliseconds();
    result.madeAt = now;
    result.unlistedLeaving = forward.endpoints.unlistedLeavingMarks();
    hearVersions(result.versions);
    addTrials(result.versions.trials, forward.versions.ownTrials());
    result.versions.stopped = forward.versions.stopped();
    if (control.holdsDuties)
        result.usage = usageOfAll();
    for (const auto& [service, demand] : forward.demand.demand())
        result.demand[service] += demand;
}

asio::awaitable<void> EntryNode::RequestSide::drain()
{
    auto began = steadyNow();
    forward.stopping = true;
    logEvent(LogLevel::Info, "stopping", { { "connections", server.connections() }, { "busy", server.busy() } });
    auto noticed = began + options.noticedAfter;
    auto end = began + options.grace - options.graceMargin;
    while (steadyNow() < end) {
        co_await sleepFor(context, detail::drainStep);
        if (steadyNow() < noticed)
            continue;
        // A balancer that has too few others sends callers here all the same: they had better be refused than cut at the end.
        server.stopListening();
        server.closeIdle();
        if (server.busy() == 0)
            break;
    }
    logEvent(LogLevel::Info, "stopped", { { "cut", server.busy() } });
    context.stop();
}

} // namespace Onyxnotch
