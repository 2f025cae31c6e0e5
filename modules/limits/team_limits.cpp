#include "modules/limits/team_limits.h"

#include <algorithm>
#include <utility>

namespace Onyxnotch {

namespace {

    double seconds(SteadyTime::duration duration) { return std::chrono::duration<double>(duration).count(); }

    constexpr double latestReportWeight = 0.4; // Weight of the latest report in the rate of a peer: follows a change within a second.
    // Minimum time between two reports of a peer that its latest rate is calculated from; slightly less than the gossip period. Delayed
    // reports arrive in quick succession, which must not be mistaken for a burst of requests.
    constexpr double minReportPeriodSeconds = 0.2;
    constexpr Milliseconds maxRetryDelay { 2000 }; // Upper bound of the delay that a refusal returns.
    constexpr Milliseconds minRetryDelay { 100 };
    constexpr Milliseconds reportIntervalWindow { 1000 }; // Time in which the longest interval between reports counts.
    const std::string fleetPeerName; // Key in `m_peers` that stands for all other nodes of a large fleet. No node has an empty name.
    constexpr double maxSilentShare = 0.1; // If the share of silent nodes is larger, this node itself may be cut off from the fleet.

} // namespace

void TeamLimits::PeerUse::updateRate(double newTotal, double elapsedSeconds, bool isStartingUp)
{
    auto growth = std::max(0.0, newTotal - total);
    average.add(growth, elapsedSeconds);
    unratedAmount += growth;
    unratedSeconds += elapsedSeconds;
    // Nodes that have just started report more often.
    if (isStartingUp && unratedSeconds < minReportPeriodSeconds)
        return;
    auto latest = std::exchange(unratedAmount, 0) / std::max(std::exchange(unratedSeconds, 0), minReportPeriodSeconds);
    perSecond = perSecond ? *perSecond + latestReportWeight * (latest - *perSecond) : latest;
}

TeamLimits::TeamLimits(SteadyTime startedAt, const TeamLimitsOptions& options)
    : m_options(options)
    , m_startedAt(startedAt)
    , m_random(options.randomSeed)
{
}

// Of a silent peer nothing is estimated: its share is kept apart instead (see advance()).
double TeamLimits::estimateUnreported(const TrafficTeam& team, SteadyTime now) const
{
    double unreported = 0;
    auto evenRate = team.ratePerSecond / knownNodes();
    for (const auto& [node, peer] : m_peers) {
        auto use = peer.uses.find(team.name);
        if (isSilent(peer, now) || use == peer.uses.end())
            continue;
        unreported += use->second.perSecond.value_or(evenRate * peer.nodes) * seconds(std::min<SteadyTime::duration>(now - peer.receivedAt, m_options.freshFor));
    }
    return unreported;
}

double TeamLimits::knownNodes() const
{
    auto nodes = 1 + m_silentNodes;
    for (const auto& [name, peer] : m_peers)
        nodes += peer.nodes;
    return nodes;
}

TeamLimits::Silence TeamLimits::silence(SteadyTime now) const
{
    auto silentNodes = m_silentNodes;
    auto duration = m_options.silenceDetectedAfter;
    for (const auto& [name, peer] : m_peers) {
        if (!isSilent(peer, now))
            continue;
        silentNodes += peer.nodes;
        duration = std::min(duration, toMilliseconds(now - peer.receivedAt));
    }
    // Without any report, the last level that was kept is from the last report.
    bool isCutOff = m_usesFleetTotals && isSilent(m_peers.at(fleetPeerName), now);
    return { .share = silentNodes / knownNodes(), .duration = isCutOff ? Milliseconds(0) : duration };
}

void TeamLimits::setExpectedNodes(unsigned nodes)
{
    m_options.expectedNodes = nodes;
    m_isFleetSizeKnown = true;
}

bool TeamLimits::isStartingUp(SteadyTime now) const
{
    if (!m_isFleetSizeKnown || m_options.expectedNodes <= 1)
        return now - m_startedAt < m_options.startupPhase;
    // A node that has not received any report may be cut off from a fleet that uses the complete limit.
    if (m_peers.empty())
        return now - m_startedAt < m_options.forgetManyAfter;
    return now - m_firstReportAt < m_options.startupPhase;
}

double TeamLimits::spendableShare(SteadyTime now) const
{
    return isStartingUp(now) ? std::min(1.0, knownNodes() / std::max(1U, m_options.expectedNodes)) : 1;
}

// What an earlier incarnation of this node admitted is unknown. Shortly after the start, the initial level is therefore only what has
// accumulated since then.
double TeamLimits::initialLevel(const TrafficTeam& team, SteadyTime now) const
{
    if (!isStartingUp(now))
        return team.burst;
    auto reported = m_startLevels.find(team.name);
    if (reported != m_startLevels.end())
        return std::min(team.burst, reported->second.level + team.ratePerSecond * seconds(now - reported->second.at));
    auto accumulated = team.ratePerSecond * seconds(now - m_startedAt) * spendableShare(now);
    return std::min(team.burst, accumulated - toleratedAmount(team) * m_options.assumedDebt);
}

// The aggregate entry never expires: it is less likely that the complete fleet is down than that this node is cut off from it.
void TeamLimits::forgetSilentPeers(SteadyTime now)
{
    if (m_usesFleetTotals)
        return;
    auto silent = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& it) { return isSilent(it.second, now); });
    auto forgetAfter = isForgettable(static_cast<double>(silent), knownNodes()) ? m_options.forgetAfter : m_options.forgetManyAfter;
    std::erase_if(m_peers, [&](const auto& it) { return now - it.second.receivedAt > forgetAfter; });
}

double TeamLimits::takePeerSpending(const std::string& name, Team& team, SteadyTime now)
{
    double spent = 0;
    for (auto& [node, peer] : m_peers) {
        auto& use = peer.uses[name];
        // A bucket that starts with a full burst is charged only for what peers admit from now on. A bucket that starts with the amount
        // accumulated since this node's start is also charged for what peers admitted since then.
        if (team.isCharged || isStartingUp(now))
            spent += use.total - use.charged;
        use.charged = use.total;
    }
    team.isCharged = true;
    return spent;
}

// Nodes that do not report may be cut off and still admit requests, of which the others do not learn. Their share of the level and of the
// refill is kept apart for them. A node that is cut off itself does the same, so that all parts of the fleet together keep the limit.
void TeamLimits::advance(const std::string& name, Team& team, SteadyTime now)
{
    forgetSilentPeers(now);
    auto silent = silence(now);
    if (silent.share < team.bucket.silentShare())
        team.bucket.setSilentShare(silent.share, silent.duration, now);
    auto spent = takePeerSpending(name, team, now);
    auto spendable = spendableShare(now);
    team.bucket.setLimit(team.ratePerSecond * spendable, team.burst * spendable);
    team.bucket.advance(spent, now);
    if (silent.share > team.bucket.silentShare())
        team.bucket.setSilentShare(silent.share, silent.duration, now);
}

double TeamLimits::requiredLevel(const TrafficTeam& team, const Team& state, double amount, SteadyTime now) const
{
    // Each node may overdraw its level by one request. Nodes that don't know of each other yet would all do so at the same time. During
    // startup a node therefore needs a part of the amount in advance, equal to the share of the rate that it must not spend yet.
    auto unspendableShare = 1 - spendableShare(now);
    if (unspendableShare > 0)
        return amount * unspendableShare;
    if (amount >= team.ratePerSecond * m_options.smallRequestShare)
        return 0;
    constexpr double debtTolerance = 0.3; // Share of the tolerance.
    auto debt = team.ratePerSecond * m_options.smallDebtSeconds;
    if (hasTolerance())
        return -std::min(debt, toleratedAmount(team) * debtTolerance) * (1 - state.bucket.silentShare());
    // Nodes that are cut off from each other would each accumulate such a debt.
    return state.bucket.silentShare() <= maxSilentShare ? -debt : 0;
}

double TeamLimits::toleratedAmount(const TrafficTeam& team) const
{
    const auto& tolerance = m_options.tolerance;
    auto amount = tolerance.overshoot * (team.ratePerSecond * seconds(tolerance.window) + team.burst);
    return team.countsTokens ? amount + tolerance.slackTokens : amount;
}

double TeamLimits::usedTolerance(const TrafficTeam& team) const
{
    auto slack = team.countsTokens ? m_options.tolerance.slackTokens : 0;
    return (toleratedAmount(team) - slack) * m_options.usedOvershoot + slack * m_options.usedSlack;
}

double TeamLimits::evenShare(double silentShare) const
{
    auto nodes = std::max(knownNodes(), static_cast<double>(m_options.expectedNodes));
    return 1 / std::max(1.0, nodes - silentShare * knownNodes());
}

SteadyTime TeamLimits::latestReportAt() const
{
    SteadyTime latest {};
    for (const auto& [node, peer] : m_peers)
        latest = std::max(latest, peer.receivedAt);
    return latest;
}

// Nodes that have just started exchange their state more often: a row, a zone aggregate and a fleet aggregate, one after the other.
Milliseconds TeamLimits::propagationTime() const
{
    constexpr int messages = 3;
    return m_reportInterval ? std::min(m_options.propagationTime, *m_reportInterval * messages) : m_options.propagationTime;
}

void TeamLimits::updatePace(Team& team, SteadyTime now) const
{
    auto reportAt = latestReportAt();
    // Without reports this node may be cut off: then the others know of nothing that it has admitted since, and its share stays.
    if (reportAt != team.paceReportAt)
        team.pace.updateAverage(now);
    team.paceReportAt = reportAt;
    auto sinceReport = reportAt == SteadyTime {} ? Milliseconds(0) : std::max(Milliseconds(0), toMilliseconds(now - reportAt));
    team.pace.forgetOlderThan(propagationTime() + sinceReport, now);
}

double TeamLimits::paceShare(const std::string& name, const Team& team) const
{
    double othersPerSecond = 0;
    for (const auto& [node, peer] : m_peers) {
        auto use = peer.uses.find(name);
        if (use != peer.uses.end())
            othersPerSecond += use->second.average.perSecond();
    }
    auto even = evenShare(team.bucket.silentShare());
    auto demand = team.pace.perSecond() + othersPerSecond;
    auto demandShare = demand > 0 ? team.pace.perSecond() / demand : even;
    // A node that has just started does not know its demand yet, and would take it for zero.
    auto demandWeight = (1 - m_options.evenPaceShare) * team.pace.averageWeight();
    return even + demandWeight * (demandShare - even);
}

// When a team's demand rises suddenly, all nodes admit from the same level before they know of each other's admissions: at eight times the
// limit, they exceeded it by two seconds of the rate. Until the others know, each node therefore admits at most its share of what was
// available to all.
bool TeamLimits::isWithinPace(const TrafficTeam& team, const Team& state, SteadyTime now) const
{
    // A node that is cut off from all others has only its own share in the bucket.
    bool isAlone = std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& it) { return isSilent(it.second, now); });
    if (!hasTolerance() || isAlone)
        return true;
    auto unknownToOthers = state.pace.recentAmount();
    auto tolerance = state.tolerance * (1 - state.bucket.silentShare());
    auto available = paceShare(team.name, state) * (state.bucket.level() + unknownToOthers + tolerance);
    return unknownToOthers < available;
}

bool TeamLimits::isWithinStartReserve(const TrafficTeam& team, Team& state, double amount, SteadyTime now)
{
    if (!hasTolerance() || !isStartingUp(now) || m_startLevels.contains(team.name))
        return false;
    auto& reserve = state.startReserve;
    auto share = evenShare(0);
    auto refill = team.ratePerSecond * share * m_options.startRefill * seconds(now - reserve.updatedAt);
    reserve.level = std::min(reserve.level + refill, (startAmount(team) + team.burst) * share);
    reserve.updatedAt = now;
    auto available = reserve.level + team.burst * share * m_options.startOverdraw;
    if (reserve.level > 0 && amount <= available)
        return true;
    // A node's reserve may be less than one request. A draw then lets the starting nodes together use theirs on average.
    return reserve.level > 0 && std::uniform_real_distribution<double>(0, amount)(m_random) < available;
}

double TeamLimits::chargeStartReserve(Team& team, double amount) const
{
    auto lowest = -team.burst * evenShare(0) * m_options.startDebtLimit;
    auto covered = std::clamp(team.startReserve.level, 0.0, amount);
    team.startReserve.level = std::max(team.startReserve.level - amount, lowest);
    return covered;
}

double TeamLimits::maximumPaceAmount(const Team& team) const
{
    return team.burst * evenShare(team.bucket.silentShare()) * m_options.largeRequestShare;
}

TeamLimits::Team& TeamLimits::findOrAdd(const TrafficTeam& team, SteadyTime now)
{
    auto it = m_teams.find(team.name);
    if (it == m_teams.end()) {
        StartReserve reserve { .level = startAmount(team) * evenShare(0), .updatedAt = m_startedAt };
        it = m_teams.emplace(team.name, Team { .bucket = TeamBucket(initialLevel(team, now), now), .startReserve = reserve }).first;
    }
    auto& state = it->second;
    state.ratePerSecond = team.ratePerSecond;
    state.burst = team.burst;
    state.tolerance = usedTolerance(team);
    return state;
}

std::optional<Milliseconds> TeamLimits::admit(const TrafficTeam& team, double amount, SteadyTime now)
{
    if (team.ratePerSecond <= 0)
        return std::nullopt;
    auto& state = findOrAdd(team, now);
    advance(team.name, state, now);
    updatePace(state, now);
    auto required = requiredLevel(team, state, amount, now);
    auto level = state.bucket.level() - estimateUnreported(team, now);
    bool isWithinLimit = level > required;
    bool isWithinStart = isWithinStartReserve(team, state, amount, now);
    if (isWithinStart || (isWithinLimit && isWithinPace(team, state, now))) {
        state.bucket.charge(amount);
        auto reserved = chargeStartReserve(state, amount);
        state.pace.onAdmitted(amount, now, maximumPaceAmount(state), isWithinStart ? reserved : 0);
        m_ownTotals[team.name] += amount;
        return std::nullopt;
    }
    auto wait = propagationTime();
    if (!isWithinLimit)
        wait = Milliseconds(static_cast<std::int64_t>((required - level) / team.ratePerSecond * 1000));
    return std::clamp(wait, minRetryDelay, maxRetryDelay);
}

std::map<std::string, double> TeamLimits::levels(SteadyTime now) const
{
    std::map<std::string, double> levels;
    if (isStartingUp(now)) {
        for (const auto& [name, reported] : m_startLevels)
            levels[name] = reported.level;
        return levels;
    }
    for (const auto& [name, team] : m_teams)
        levels[name] = team.bucket.levelOfAll();
    return levels;
}

// The sender may not know what this node has admitted since its start.
bool TeamLimits::onPeerLevels(const std::map<std::string, double>& levels, SteadyTime now)
{
    if (!isStartingUp(now))
        return false;
    bool areFirst = m_startLevels.empty() && !levels.empty();
    for (const auto& [name, level] : levels) {
        auto [it, isFirst] = m_startLevels.try_emplace(name, ReportedLevel { .level = level, .at = now });
        if (!isFirst && level < it->second.level)
            it->second = { .level = level, .at = now };
        auto team = m_teams.find(name);
        if (team == m_teams.end())
            continue;
        auto& bucket = team->second.bucket;
        auto remaining = level - m_ownTotals[name];
        if (isFirst || remaining < bucket.levelOfAll())
            bucket.setLevelOfAll(remaining);
        team->second.startReserve.level = std::min(0.0, team->second.startReserve.level);
    }
    return areFirst;
}

std::optional<TeamLimitState> TeamLimits::state(const TrafficTeam& team, SteadyTime now) const
{
    auto it = m_teams.find(team.name);
    if (it == m_teams.end())
        return std::nullopt;
    const auto& known = it->second;
    auto reportAt = latestReportAt();
    return TeamLimitState {
        .level = known.bucket.level(),
        .unknownToOthers = known.pace.recentAmount(),
        .estimatedUnreported = estimateUnreported(team, now),
        .share = paceShare(team.name, known),
        .silentShare = known.bucket.silentShare(),
        .reportAge = reportAt == SteadyTime {} ? Milliseconds(0) : toMilliseconds(now - reportAt),
    };
}

void TeamLimits::refund(const std::string& team, double amount)
{
    auto it = m_teams.find(team);
    if (it == m_teams.end())
        return;
    it->second.bucket.charge(-amount);
    it->second.startReserve.level += amount;
    it->second.pace.onRefunded(amount);
    m_ownTotals[team] -= amount;
}

void TeamLimits::onPeerTotals(const std::string& node, std::uint64_t lifetime, Milliseconds age, const std::map<std::string, double>& totals, SteadyTime now)
{
    if (m_usesFleetTotals)
        return;
    recordFirstReport(now);
    bool isUnknown = !m_peers.contains(node);
    auto& peer = m_peers[node];
    bool isFirst = peer.lifetime != lifetime;
    auto overlapShare = age > SteadyTime::duration::zero() ? std::min(1.0, seconds(now - m_startedAt) / seconds(age)) : 1;
    if (isFirst)
        peer = { .lifetime = lifetime, .receivedAt = now };
    auto elapsed = seconds(now - peer.receivedAt);
    peer.receivedAt = now;
    for (const auto& [team, total] : totals) {
        auto& use = peer.uses[team];
        // What a peer admitted before this node's start is not charged. It is estimated by spreading the total evenly over the peer's
        // uptime.
        if (isUnknown)
            use.charged = total * (1 - overlapShare);
        if (!isFirst)
            use.updateRate(total, elapsed, isStartingUp(now));
        use.total = total;
    }
    chargeReports(now);
}

void TeamLimits::recordFirstReport(SteadyTime now)
{
    if (m_firstReportAt == SteadyTime {})
        m_firstReportAt = now;
}

void TeamLimits::chargeReports(SteadyTime now)
{
    if (!isStartingUp(now))
        m_startLevels.clear();
    for (auto& [name, team] : m_teams) {
        advance(name, team, now);
        team.bucket.keepLevel();
    }
}

// Relay nodes forget silent nodes after `forgetAfter`.
void TeamLimits::updateSilentNodes(unsigned reported, unsigned nodes, unsigned nodesBefore, SteadyTime now)
{
    double returned = nodes > nodesBefore ? nodes - nodesBefore : 0;
    auto stillSilent = std::max(0.0, m_silentNodes - returned);
    bool keepsSilent = !isForgettable(stillSilent, nodes + stillSilent + 1) && now - m_silentReportedAt <= m_options.forgetManyAfter;
    if (reported >= stillSilent)
        m_silentReportedAt = now;
    m_silentNodes = keepsSilent ? std::max<double>(reported, stillSilent) : reported;
}

void TeamLimits::onFleetTotals(unsigned nodes, unsigned silentNodes, const std::map<std::string, double>& totals, SteadyTime receivedAt)
{
    bool isFirst = !m_usesFleetTotals;
    if (isFirst)
        m_peers.clear();
    m_usesFleetTotals = true;
    recordFirstReport(receivedAt);
    auto& fleet = m_peers[fleetPeerName];
    updateSilentNodes(silentNodes, nodes, static_cast<unsigned>(fleet.nodes), receivedAt);
    fleet.nodes = nodes;
    if (!isFirst && receivedAt <= fleet.receivedAt)
        return;
    auto sinceReport = receivedAt - fleet.receivedAt;
    bool wasSilent = sinceReport > m_options.freshFor;
    fleet.receivedAt = receivedAt;
    if (!isFirst)
        m_reportInterval = Milliseconds(m_recentIntervals.take(static_cast<unsigned>(toMilliseconds(sinceReport).count()), receivedAt, reportIntervalWindow));
    for (const auto& [team, total] : totals) {
        if (isFirst) {
            fleet.uses[team] = { .total = total, .perSecond = std::nullopt, .charged = total };
            continue;
        }
        auto& use = fleet.uses[team];
        if (!wasSilent)
            use.updateRate(total, seconds(sinceReport), isStartingUp(receivedAt));
        use.total = total;
    }
    chargeReports(receivedAt);
}

} // namespace Onyxnotch
