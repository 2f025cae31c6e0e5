#include "modules/entry/entry_requests.h"

#include "core/log.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <utility>

namespace Onyxnotch {

EntryNode::RequestSide::RequestSide(const EntryOptions& entryOptions, TrafficView& trafficView, NodeSummarySlot& summarySlot, Metrics& metrics, ControlState& controlState, VersionShareSlot& sharesSlot)
    : options(entryOptions)
    , view(trafficView)
    , summary(summarySlot)
    , control(controlState)
    , versionShares(sharesSlot)
    , forward(context, trafficView, metrics, entryOptions.forward, entryOptions.retries)
    , server(forward, entryOptions.callers)
    , peers(entryOptions.node)
    , relay(peers, { .node = entryOptions.node, .zone = entryOptions.zone, .everyNodeUpTo = entryOptions.watching.everyNodeUpTo, .period = entryOptions.gossipPeriod }, steadyNow())
    , exchange(
          context, peers, relay, { .listen = entryOptions.gossip, .seeds = entryOptions.seeds, .zone = entryOptions.zone },
          { .row = [this](const PeerRow& row, bool isNewIncarnation) { onRow(row, isNewIncarnation); },
              .prefill = [this](const PrefillNotice& notice) { forward.endpoints.onPeerPrefill(notice.endpoint, notice.tokens, steadyNow()); },
              .suspects = [this](const SuspectUpdate& update) { onSuspectUpdate(update); },
              .limits = [this](const LimitUpdate& update) { limits.onLimitUpdate(update); },
              .creditAsk = [this](const CreditRequest& creditRequest, const Address& from) { limits.onCreditRequest(creditRequest, from); },
              .creditAnswer = [this](const CreditAnswer& answer, const Address& from) { limits.onCreditAnswer(answer, from); },
              .creditReturn = [this](const CreditReturn& returned) { limits.onCreditReturn(returned); },
              .speeds = [this](const SumUpdate<EndpointSpeedReport>& update) { endpointSpeeds.onUpdate(update, steadyNow()); },
              .admissionLoad = [this](const SumUpdate<AdmissionLoad>& update) { admissionSum.onUpdate(update, steadyNow()); },
              .teamLevels = [this](const TeamLevels& message) { onTeamLevels(message); },
              .aggregate = [this](const GroupAggregate& sum) { onPeerEndpoints(sum.endpoints); },
              .restartedRelays = [this](const std::vector<Address>& relays) { sendTeamLevels(relays); } })
    , readiness(context, entryOptions.readiness, [this](const HttpHead&) { return answerReadiness(); })
    , lifetime(wallMilliseconds())
    , limits(context, forward, exchange, relay, { .node = entryOptions.node, .lifetime = lifetime })
    , endpointSpeeds({ .node = entryOptions.node, .lifetime = lifetime, .zone = entryOptions.zone })
    , admissionSum({ .node = entryOptions.node, .lifetime = lifetime, .zone = entryOptions.zone })
    , ownClockDifference(static_cast<std::int64_t>(lifetime) - steadyMilliseconds(steadyNow()))
{
    forward.clockDifference = ownClockDifference;
    forward.teams.setTolerance(entryOptions.teamLimitTolerance);
    forward.notifySuspects = [this] { scheduleSuspectUpdate(); };
    forward.notifyLongPrefill = [this](const EndpointIncarnation& endpoint, double tokens) { exchange.send(PrefillNotice { .endpoint = endpoint, .tokens = tokens }); };
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

void EntryNode::RequestSide::onRow(const PeerRow& row, bool isNewIncarnation)
{
    forward.teams.onPeerTotals(row.node, row.lifetime, Milliseconds(row.ageMilliseconds), row.teamTotals, steadyNow());
    // The started node may not have received this node's state yet, and uses a smaller share of the team limits until it has.
    if (isNewIncarnation)
        forward.endpoints.resendLeavingMarks(steadyNow());
    if (isNewIncarnation && !usesRelays())
        exchange.sendTo(row.gossipAddress, ownRow());
    if (isNewIncarnation && (!usesRelays() || relay.isRelay(steadyNow()))) {
        limits.sendInitialUpdate(row.gossipAddress);
        sendTeamLevels({ row.gossipAddress });
    }
    for (const auto& it : row.leavingEndpoints)
        forward.endpoints.markLeaving(it, steadyNow());
    if (row.watchesStore)
        onPeerEndpoints({ .version = row.endpointsRevision, .address = row.controlAddress, .zone = row.zone });
    forward.suspects.onPeerUpdate(row.suspects, steadyNow());
}

void EntryNode::RequestSide::sendTeamLevels(const std::vector<Address>& receivers)
{
    TeamLevels message { .levels = forward.teams.levels(steadyNow()) };
    if (!message.levels.empty())
        exchange.sendTo(receivers, MessageType::TeamLevels, message);
}

void EntryNode::RequestSide::onTeamLevels(const TeamLevels& message)
{
    auto now = steadyNow();
    if (!forward.teams.onPeerLevels(message.levels, now))
        return;
    logEvent(LogLevel::Info, "team_levels_received", { { "teams", message.levels.size() } });
    if (usesRelays() && relay.isRelay(now))
        sendTeamLevels(relay.urgentReceivers(now));
}

asio::awaitable<void> EntryNode::RequestSide::gossip()
{
    auto last = steadyNow();
    while (true) {
        co_await sleepFor(context, relay.period(steadyNow()));
        auto now = steadyNow();
        tick(now, std::chrono::duration<double>(now - last).count());
        last = now;
    }
}

void EntryNode::RequestSide::tick(SteadyTime now, double seconds)
{
    auto configuration = view.configuration();
    if (configuration)
        forward.applyEndpointList(view.endpoints(), *configuration, now);
    forward.endpoints.setReadsStore(control.watchesStore);
    peers.purgeExpired(now);
    forward.demand.tick(seconds);
    detectSuspension();
    reportBlockedRequests();
    reportRefusedPeers(now);
    if (ticks % retryReportTicks == 0)
        reportRetries(now);
    forward.metrics.set("onyxnotch_entry_resting_endpoints", static_cast<double>(forward.endpoints.endpointsInBackoff(now)));
    forward.metrics.set("onyxnotch_entry_held_bytes", static_cast<double>(forward.bodyMemory.reserved()));
    forward.metrics.set("onyxnotch_entry_held_response_bytes", static_cast<double>(forward.responseMemory.used()));
    if (auto leftOut = forward.succeededRequestLines.takeSuppressedCount() + forward.failedRequestLines.takeSuppressedCount())
        logEvent(LogLevel::Info, "request_lines_left_out", { { "count", leftOut } });
    ++ticks;
    if (usesRelays())
        exchangeThroughRelays(now);
    else
        exchangeDirectly(now);
    exchangeEndpointSpeeds(now);
    updateAdmission(now, seconds);
    if (ticks % usagePeriodTicks == usagePhase)
        sendUsage();
    // New loads of the peers and a new configuration count from now on; each request that waits checks whether it may stay.
    forward.waiting.wakeAll();
}

void EntryNode::RequestSide::exchangeEndpointSpeeds(SteadyTime now)
{
    // Nodes on which the setting is on send their reports to this one as well.
    endpointSpeeds.purgeExpired(now);
    if (!forward.endpoints.speeds().isEnabled())
        return;
    endpointSpeeds.setOwn(forward.endpoints.speeds().ownReport(now));
    if (ticks % speedPeriodTicks == usagePhase % speedPeriodTicks)
        sendSumUpdates(exchange, relay, usesRelays(), MessageType::EndpointSpeeds, endpointSpeeds, now);
    auto total = endpointSpeeds.total(now);
    forward.endpoints.setSpeedTotal(total.sum, total.nodes, now);
    forward.metrics.set("onyxnotch_entry_ejected_endpoints", static_cast<double>(forward.endpoints.speeds().ejected()));
    forward.metrics.set("onyxnotch_entry_speed_nodes", total.nodes);
    logEndpointSpeedChanges(now);
}

void EntryNode::RequestSide::exchangeDirectly(SteadyTime now)
{
    adaptDirectTimeouts();
    auto alive = peers.alive(now);
    fleetSize.onNamed(static_cast<unsigned>(peers.size()) + 1);
    fleetSize.onHeard(static_cast<unsigned>(alive.size()) + 1);
    applyFleetSize();
    forward.clockDifference = peers.clockDifference(ownClockDifference, now);
    forward.endpoints.setPeerLoads(sumLoads(alive), now);
    exchange.send(ownRow());
    limits.tick(false, aliveShare(alive, now), now);
    publish(summarize(alive, now));
}

double EntryNode::RequestSide::aliveShare(const std::vector<const PeerRow*>& alive, SteadyTime now) const
{
    constexpr Milliseconds removedAfter { 20000 }; // After this time without messages a node counts as removed.
    auto speaking = static_cast<double>(alive.size() + 1);
    return speaking / (speaking + peers.silent(removedAfter, now));
}

void EntryNode::RequestSide::exchangeThroughRelays(SteadyTime now)
{
    adaptRelayTimeouts();
    auto row = ownRow();
    relay.setOwnRow(row, now);
    exchange.sendToRelays(row);
    forward.metrics.set("onyxnotch_entry_relays", relay.isRelay(now) ? 1 : 0);
    if (relay.isRelay(now)) {
        exchange.send(MessageType::ZoneAggregate, relay.outgoingZoneAggregate(now));
        if (relay.isFleetAggregateDue(now) || std::exchange(isFleetAggregateWanted, false))
            exchange.send(MessageType::FleetAggregate, relay.outgoingFleetAggregate(now));
    }
    auto received = relay.others(now).value_or(FleetRelay::Others {});
    const auto& others = received.sum;
    fleetSize.onNamed(static_cast<unsigned>(peers.size()) + 1);
    if (others.nodes > 0)
        fleetSize.onHeard(others.nodes + 1);
    applyFleetSize();
    if (others.nodes > 0) {
        forward.teams.onFleetTotals(others.nodes, others.silentNodes, others.teamTotals, received.receivedAt);
        forward.endpoints.setPeerLoads(loadsByIncarnation(others.loads), now);
    }
    limits.tick(true, (others.nodes + 1.0) / (others.nodes + others.silentNodes + 1.0), now);
    fleetDutyHolders = others.dutyHolders;
    fleetWatchers = others.watchers;
    for (const auto& it : others.leavingEndpoints)
        forward.endpoints.markLeaving(it, steadyNow());
    forward.suspects.onPeerUpdate(others.suspects, steadyNow());
    forward.clockDifference = relay.clockDifference(ownClockDifference, now);
    publish(summarize(others, now));
}

void EntryNode::RequestSide::onEndpointsChanged()
{
    if (!usesRelays())
        return;
    auto now = steadyNow();
    isFleetAggregateWanted = true;
    if (now - earlyExchangeAt < options.gossipPeriod)
        return;
    earlyExchangeAt = now;
    exchangeThroughRelays(now);
}

void EntryNode::RequestSide::onPeerEndpoints(const DocumentSource& source)
{
    auto known = summary.get();
    if (!usesRelays() || source.version <= known->peerEndpointsRevision)
        return;
    auto updated = *known;
    updated.peerEndpointsRevision = source.version;
    updated.peerEndpointsAddress = source.address;
    publish(std::move(updated));
}

void EntryNode::RequestSide::adaptRelayTimeouts()
{
    constexpr int stalePeriods = 2;
    constexpr int freshPeriods = 4;
    constexpr int cautiousPeriods = 10;
    constexpr int silentPeriods = 6;
    constexpr int propagationPeriods = 3; // A row, a zone aggregate and a fleet aggregate, sent one after the other.
    peers.setSilentAfter(options.gossipPeriod * silentPeriods);
    forward.endpoints.setPeerLoadAge(options.gossipPeriod * stalePeriods);
    forward.teams.setFreshFor(options.gossipPeriod * freshPeriods);
    forward.teams.setStartupPhase(options.gossipPeriod * cautiousPeriods);
    forward.teams.setPropagationTime(options.gossipPeriod * propagationPeriods);
    forward.teams.setSilenceDetectedAfter(options.gossipPeriod * (silentPeriods + propagationPeriods));
}

std::map<EndpointIncarnation, EndpointLoadReport> EntryNode::RequestSide::loadsByIncarnation(const std::map<ShortName, AggregatedLoad>& loads) const
{
    std::map<EndpointIncarnation, EndpointLoadReport> listedLoads;
    for (const auto& [name, load] : loads) {
        const auto* endpoint = forward.endpoints.findByShortName(name);
        if (!endpoint)
            continue;
        auto incarnation = endpoint->listed.life();
        listedLoads[incarnation] = { .endpoint = incarnation, .inFlight = static_cast<double>(load.inFlight), .waitingTokens = load.waitingUnits * AggregatedLoad::tokensPerUnit };
    }
    return listedLoads;
}

void EntryNode::RequestSide::addListedNodes(const std::vector<PeerContact>& others)
{
    listedNodes = static_cast<unsigned>(others.size()) + 1;
    peers.setListedNodes(listedNodes);
    fleetSize.onListed(listedNodes);
    logEvent(LogLevel::Info, "nodes_expected", { { "nodes", listedNodes } });
    for (const auto& it : others)
        exchange.addContact(it);
    applyFleetSize();
    if (usesRelays())
        exchangeThroughRelays(steadyNow());
    else
        exchange.sendToAllKnown(ownRow());
}

void EntryNode::RequestSide::applyFleetSize()
{
    forward.nodes = fleetSize.current();
    if (!fleetSize.isKnown())
        return;
    forward.retries.setNodes(fleetSize.largest());
    forward.teams.setExpectedNodes(fleetSize.expected());
}

void EntryNode::RequestSide::adaptDirectTimeouts()
{
    constexpr double silentRows = 6;
    constexpr double freshRows = 3;
    // After this number of rows a node has received a row of all other nodes but about three in ten thousand.
    constexpr double cautiousRows = 8;
    constexpr double propagationRows = 2; // One of the two may be lost.
    auto receiveInterval = static_cast<double>(options.gossipPeriod.count()) / exchange.receivedFraction();
    peers.setSilentAfter(Milliseconds(static_cast<std::int64_t>(receiveInterval * silentRows)));
    forward.endpoints.setPeerLoadAge(Milliseconds(static_cast<std::int64_t>(receiveInterval)));
    forward.teams.setFreshFor(Milliseconds(static_cast<std::int64_t>(receiveInterval * freshRows)));
    forward.teams.setStartupPhase(Milliseconds(static_cast<std::int64_t>(receiveInterval * cautiousRows)));
    forward.teams.setPropagationTime(Milliseconds(static_cast<std::int64_t>(receiveInterval * propagationRows)));
}

std::map<EndpointIncarnation, EndpointLoadReport> EntryNode::RequestSide::sumLoads(const std::vector<const PeerRow*>& rows)
{
    std::map<EndpointIncarnation, EndpointLoadReport> sums;
    for (const auto* row : rows) {
        for (const auto& it : row->loads) {
            auto& sum = sums[it.endpoint];
            sum.inFlight += it.inFlight;
            sum.waitingTokens += it.waitingTokens;
        }
    }
    return sums;
}

void EntryNode::RequestSide::sendUsage()
{
    auto holders = usesRelays() ? fleetDutyHolders : peers.dutyHolders();
    auto holder = holders.empty() ? std::string() : holders.front().node;
    fullReportsSent = holder == lastUsageHolder ? fullReportsSent + 1 : 0;
    lastUsageHolder = holder;
    bool includeAllWindows = holder.empty() || fullReportsSent < fullUsageReports;
    auto windows = includeAllWindows ? forward.usage.windows() : forward.usage.openSince(forward.fleetTimeMilliseconds() - usageResendMilliseconds);
    if (windows.empty())
        return;
    UsageNotice notice { .node = options.node, .lifetime = lifetime, .windows = std::move(windows) };
    auto receivers = usageReceivers();
    if (receivers.empty())
        exchange.send(notice, holders);
    else
        exchange.sendTo(notice, receivers);
}

// A holder may fail and lose the counts that it received. In a large fleet hardly any of the nodes chosen at random is the next holder.
std::vector<PeerContact> EntryNode::RequestSide::usageReceivers() const
{
    if (!usesRelays() || fleetWatchers.empty())
        return {};
    auto receivers = fleetDutyHolders;
    for (const auto& watcher : fleetWatchers) {
        bool isIncluded = std::any_of(receivers.begin(), receivers.end(), [&](const auto& it) { return it.node == watcher.node; });
        auto contact = isIncluded ? std::nullopt : peers.contactOf(watcher.node);
        if (contact)
            receivers.push_back(*contact);
    }
    return receivers;
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
        .leaving = forward.isStopping(),
        .hasDuties = options.duties.reportsUsage || options.duties.ordersEndpoints,
        .holdsDuties = control.holdsDuties,
        .leftDutiesFence = control.leftDutiesFence,
        .sentAtMilliseconds = static_cast<std::uint64_t>(steadyMilliseconds(steadyNow()) + ownClockDifference),
        .configurationVersion = configuration ? configuration->version() : 0,
        .watchesStore = control.watchesStore,
        .endpointsRevision = control.endpointsRevision,
        .teamTotals = forward.teams.ownTotals(),
        .loads = forward.endpoints.ownLoads(),
        .leavingEndpoints = usesRelays() ? forward.endpoints.ownLeavingMarks(steadyNow(), maximumDrainingMarks) : forward.endpoints.recentLeavingMarks(steadyNow()),
        .demand = forward.demand.demand(),
        .versions = ownVersionUpdate(),
        .suspects = forward.suspects.news(steadyNow()),
    };
}

VersionUpdate EntryNode::RequestSide::ownVersionUpdate() const
{
    if (!options.rollouts.enabled)
        return {};
    return { .trials = forward.versions.ownTrials(), .shares = *versionShares.get(), .stopped = forward.versions.stopped() };
}

void EntryNode::RequestSide::applyVersionUpdate(VersionUpdate others)
{
    if (!options.rollouts.enabled)
        return;
    mergeUpdate(others, { .shares = *versionShares.get() });
    forward.versions.onPeerUpdate(others);
    for (const auto& it : forward.versions.takeNewlyStopped())
        logEvent(LogLevel::Warning, "version_stopped", { { "service", it.service }, { "version", it.version }, { "ordered_at", it.orderedAt } });
}

void EntryNode::RequestSide::scheduleSuspectUpdate()
{
    if (isSuspectUpdateScheduled)
        return;
    isSuspectUpdateScheduled = true;
    asio::co_spawn(
        context, [this]() -> asio::awaitable<void> {
            co_await sleepFor(context, suspectUpdateDelay);
            isSuspectUpdateScheduled = false;
            sendSuspectUpdate();
        },
        asio::detached);
}

void EntryNode::RequestSide::sendSuspectUpdate()
{
    auto now = steadyNow();
    if (!usesRelays())
        exchange.send(forward.suspects.news(now));
    else
        exchange.sendToRelays(relay.isRelay(now) ? forward.suspects.relayedUpdate(now) : forward.suspects.news(now));
}

void EntryNode::RequestSide::onSuspectUpdate(const SuspectUpdate& update)
{
    auto now = steadyNow();
    forward.suspects.onPeerUpdate(update, now);
    bool relays = forward.suspects.takeRelayDue() && usesRelays() && relay.isRelay(now);
    if (relays)
        scheduleSuspectUpdate();
}

void EntryNode::RequestSide::reportBlockedRequests()
{
    forward.metrics.set("onyxnotch_entry_blocked_requests", static_cast<double>(forward.suspects.blockedRequests()));
    for (const auto& it : forward.suspects.takeNewlyBlocked()) {
        logEvent(LogLevel::Warning, "request_blocked", { { "digest", it.request.text() }, { "ended_endpoints", forward.suspects.endedIncarnations(it.request) }, { "round", static_cast<unsigned>(it.round) } });
        if (saveBlockedRequest)
            saveBlockedRequest({ .request = it.request, .round = it.round, .blockedAt = forward.fleetTimeMilliseconds() });
    }
    for (const auto& it : forward.suspects.takeNewlyCleared()) {
        logEvent(LogLevel::Info, "request_cleared", { { "digest", it.text() } });
        if (deleteBlockedRequest)
            deleteBlockedRequest(it);
    }
}

void EntryNode::RequestSide::restoreBlockedRequests(const std::vector<StoredBlockedRequest>& kept)
{
    SuspectUpdate update;
    auto now = forward.fleetTimeMilliseconds();
    for (const auto& it : kept) {
        auto age = now > it.blockedAt ? (now - it.blockedAt) / 1000 : 0;
        update.blocked.push_back({ .request = it.request, .round = it.round, .ageSeconds = static_cast<std::uint32_t>(age) });
    }
    forward.suspects.onPeerUpdate(update, steadyNow());
    logEvent(LogLevel::Info, "blocked_requests_read", { { "count", update.blocked.size() } });
}

SummaryOwner EntryNode::RequestSide::summaryOwner() const
{
    return { .node = options.node, .zone = options.zone, .watchesStore = control.watchesStore, .relinquishedDuties = control.leftDutiesFence > 0 };
}

void EntryNode::RequestSide::publish(NodeSummary made)
{
    bool isNews = isNewsForControl(*summary.get(), made);
    summary.set(std::make_shared<const NodeSummary>(std::move(made)));
    if (isNews && notifyControl)
        notifyControl();
}

NodeSummary EntryNode::RequestSide::summarize(const std::vector<const PeerRow*>& alive, SteadyTime now)
{
    auto result = summarizePeers(alive, summaryOwner());
    result.watchesStore = shouldWatchStore(options.node, options.zone, alive, options.watching);
    result.watchPauseFactor = watchPauseFactor(options.node, options.zone, alive, options.watching);
    addOwnState(result, now);
    return result;
}

NodeSummary EntryNode::RequestSide::summarize(const GroupAggregate& others, SteadyTime now)
{
    auto result = summarizeGroup(others, summaryOwner());
    bool knowsMostNodes = 2 * (others.nodes + 1) >= listedNodes;
    WatchSituation situation {
        .others = others.watchers,
        .nodes = std::max(others.nodes + 1, listedNodes),
        .receivesFromPeers = others.nodes > 0,
        .isRelay = knowsMostNodes && !relay.members(now).empty(),
    };
    result.watchesStore = watchDecision.decide(situation, now);
    result.isReplacementWatcher = result.watchesStore && watchDecision.isReplacement(others.watchers);
    result.watchPauseFactor = watchDecision.pauseFactor(others.nodes + 1);
    result.usageSettleTime = relayedUsageSettleTime;
    result.takeoverDelayFactor = watchDecision.pauseFactor(others.nodes + 1);
    // The first candidate is not known before messages of most nodes were received.
    result.firstCandidate = result.firstCandidate && knowsMostNodes;
    addOwnState(result, now);
    return result;
}

WindowCounts EntryNode::RequestSide::fleetUsage(SteadyTime now)
{
    if (usesRelays() && now - usageSummedAt < usageSumInterval)
        return summedUsage;
    usageSummedAt = now;
    summedUsage = peers.usage();
    for (const auto& [window, counts] : forward.usage.windows()) {
        for (const auto& [team, count] : counts)
            summedUsage[window][team] += count;
    }
    return summedUsage;
}

void EntryNode::RequestSide::addOwnState(NodeSummary& result, SteadyTime now)
{
    result.fleetTimeMilliseconds = forward.fleetTimeMilliseconds();
    result.madeAt = now;
    result.unlistedLeavingEndpoints = forward.endpoints.leavingMarksMissingInList();
    applyVersionUpdate(result.versions);
    mergeTrials(result.versions.trials, forward.versions.ownTrials());
    result.versions.stopped = forward.versions.stopped();
    if (control.holdsDuties)
        result.usage = fleetUsage(now);
    for (const auto& [service, demand] : forward.demand.demand())
        result.demand[service] += demand;
    std::map<std::string, ServiceRates> rates;
    for (const auto& [service, demand] : result.demand)
        rates[service] = { .requestsPerSecond = demand.requestsPerSecond, .refusedPerSecond = demand.refusedPerSecond };
    forward.returnTurns.setRates(rates, result.fleetTimeMilliseconds);
    forward.waiting.setDemand(forward.demand.demand(), result.demand, result.alivePeers + 1);
}

Milliseconds EntryNode::RequestSide::graceMargin() const
{
    constexpr int maximumPart = 4; // Of a short grace.
    return std::min(options.graceMargin, options.grace / maximumPart);
}

DrainTimes EntryNode::RequestSide::drainTimes(SteadyTime began) const
{
    constexpr int noticePart = 2; // Of a short grace.
    auto untilEnd = options.grace - graceMargin();
    return { .refusesFrom = began + std::min(options.drainNoticeTime, untilEnd / noticePart), .endsAt = began + untilEnd };
}

asio::awaitable<void> EntryNode::RequestSide::drain()
{
    auto times = drainTimes(steadyNow());
    forward.drain = times;
    logEvent(LogLevel::Info, "stopping", { { "connections", server.connections() }, { "busy", server.busy() } });
    while (steadyNow() < times.endsAt) {
        co_await sleepFor(context, detail::drainPollInterval);
        if (steadyNow() < times.refusesFrom)
            continue;
        // A load balancer with too few other nodes still sends clients here. Refusing them is better than ending their requests later.
        server.stopListening();
        server.closeIdle();
        forward.waiting.wakeAll();
        if (server.busy() == 0)
            break;
    }
    auto ended = server.busy();
    co_await endRequests();
    logEvent(LogLevel::Info, "stopped", { { "ended", ended }, { "cut", server.busy() } });
    context.stop();
}

// Ends the requests that still run, and waits until their answers are written.
asio::awaitable<void> EntryNode::RequestSide::endRequests()
{
    constexpr int answerPart = 2; // Part of the margin before the kill for writing answers.
    auto until = steadyNow() + graceMargin() / answerPart;
    server.stopListening();
    server.endRequests();
    while (server.busy() > 0 && steadyNow() < until)
        co_await sleepFor(context, detail::drainPollInterval);
}

} // namespace Onyxnotch
