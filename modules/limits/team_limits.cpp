#include "modules/limits/team_limits.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    double seconds(SteadyTime::duration duration) { return std::chrono::duration<double>(duration).count(); }

    constexpr double latestReportWeight = 0.4; // Weight of the latest report in the rate of a peer: follows a change within a second.
    // Minimum time between two reports of a peer that a rate is calculated from; slightly less than the gossip period.
    constexpr double minReportPeriodSeconds = 0.2;
    constexpr Milliseconds maxRetryDelay { 2000 }; // Upper bound of the delay that a refusal returns.
    constexpr Milliseconds minRetryDelay { 100 };
    const std::string fleetPeerName; // Key in `m_peers` that stands for all other nodes of a large fleet. No node has an empty name.
    constexpr double maxSilentShare = 0.1; // If the share of silent nodes is larger, this node itself may be cut off from the fleet.

} // namespace

void TeamLimits::PeerUse::updateRate(double newTotal, double elapsedSeconds)
{
    auto latest = std::max(0.0, newTotal - total) / elapsedSeconds;
    perSecond = perSecond ? *perSecond + latestReportWeight * (latest - *perSecond) : latest;
    average.add(std::max(0.0, newTotal - total), elapsedSeconds);
}

TeamLimits::TeamLimits(SteadyTime startedAt, const TeamLimitsOptions& options)
    : m_options(options)
    , m_startedAt(startedAt)
    , m_random(options.randomSeed)
{
}

// Estimates the current total of a peer. A peer that stopped reporting may be cut off and still admit requests: after `freshFor` it is
// assumed to use at least its even share, just as it assumes that of this node.
double TeamLimits::expectedTotal(const Peer& peer, const PeerUse& use, double ratePerSecond, SteadyTime now) const
{
    auto sinceReport = now - peer.receivedAt;
    auto freshTime = std::min<SteadyTime::duration>(sinceReport, m_options.freshFor);
    auto staleTime = sinceReport - freshTime;
    auto share = ratePerSecond * peer.nodes / reportingNodes();
    auto perSecond = use.perSecond.value_or(share);
    // The estimate is capped at the team's complete rate: no peer exceeds it for long, and a large debt from an estimate alone would
    // refuse the team for seconds.
    return use.total + perSecond * seconds(freshTime) + std::min(std::max(perSecond, share), ratePerSecond) * seconds(staleTime);
}

double TeamLimits::reportingNodes() const
{
    double nodes = 1;
    for (const auto& [name, peer] : m_peers)
        nodes += peer.nodes;
    return nodes;
}

double TeamLimits::spendableShare(SteadyTime now) const
{
    return isStartingUp(now) ? std::min(1.0, reportingNodes() / std::max(1U, m_options.expectedNodes)) : 1;
}

// What an earlier incarnation of this node admitted is unknown. Shortly after the start, the initial level is therefore only what has
// accumulated since then, and this node's share of what the platform tolerates above the limit.
double TeamLimits::initialLevel(const TrafficTeam& team, SteadyTime now) const
{
    if (!isStartingUp(now))
        return team.burst;
    auto accumulated = team.ratePerSecond * seconds(now - m_startedAt) * spendableShare(now);
    return std::min(team.burst, accumulated + usableTolerance(team) * evenShare());
}

void TeamLimits::advance(const std::string& team, Bucket& bucket, SteadyTime now)
{
    auto elapsed = seconds(now - bucket.updatedAt);
    bucket.updatedAt = now;
    auto level = bucket.level + bucket.ratePerSecond * elapsed * std::min(spendableShare(now), reportingShare());
    // The aggregate entry never expires: it is less likely that the complete fleet is down than that this node is cut off from it.
    std::erase_if(m_peers, [&](const auto& it) { return it.first != fleetPeerName && now - it.second.receivedAt > m_options.forgetAfter; });
    for (auto& [node, peer] : m_peers) {
        auto& use = peer.uses[team];
        auto total = expectedTotal(peer, use, bucket.ratePerSecond, now);
        // A bucket that starts with a full burst is charged only for what peers admit from now on. A bucket that starts with the amount
        // accumulated since this node's start is also charged for what peers admitted since then.
        if (bucket.isInitialized || isStartingUp(now))
            level -= total - use.charged;
        use.charged = total;
    }
    bucket.isInitialized = true;
    // The refill and the charges cover the same period, so only their difference is clamped.
    bucket.level = std::clamp(level, -bucket.ratePerSecond * m_options.maximumDebtSeconds, bucket.burst);
}

bool TeamLimits::allPeersReport(SteadyTime now) const
{
    if (m_silentNodes > reportingNodes() * maxSilentShare)
        return false;
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& it) { return now - it.second.receivedAt <= 2 * m_options.freshFor; });
}

double TeamLimits::requiredLevel(const TrafficTeam& team, double amount, SteadyTime now) const
{
    // Each node may overdraw its level by one request. Nodes that don't know of each other yet would all do so at the same time. During
    // startup a node therefore needs a part of the amount in advance, equal to the share of the rate that it must not spend yet.
    auto unspendableShare = 1 - spendableShare(now);
    if (unspendableShare > 0)
        return amount * unspendableShare;
    bool isSmall = amount < team.ratePerSecond * m_options.smallRequestShare;
    return isSmall && allPeersReport(now) ? -team.ratePerSecond * m_options.smallDebtSeconds : 0;
}

double TeamLimits::usableTolerance(const TrafficTeam& team) const
{
    const auto& tolerance = m_options.tolerance;
    auto amount = tolerance.overshoot * (team.ratePerSecond * seconds(tolerance.window) + team.burst);
    if (team.countsTokens)
        amount += tolerance.slackTokens;
    return amount * m_options.usedTolerance;
}

double TeamLimits::evenShare() const { return 1 / std::max(reportingNodes(), static_cast<double>(m_options.expectedNodes)); }

SteadyTime TeamLimits::latestReportAt() const
{
    SteadyTime latest {};
    for (const auto& [node, peer] : m_peers)
        latest = std::max(latest, peer.receivedAt);
    return latest;
}

void TeamLimits::updatePace(Bucket& bucket, SteadyTime now) const
{
    auto reportAt = latestReportAt();
    // Without reports this node may be cut off: then the others know of nothing that it has admitted since, and its share stays.
    if (reportAt != bucket.paceReportAt)
        bucket.pace.updateAverage(now);
    bucket.paceReportAt = reportAt;
    auto sinceReport = reportAt == SteadyTime {} ? Milliseconds(0) : std::max(Milliseconds(0), toMilliseconds(now - reportAt));
    bucket.pace.forgetOlderThan(m_options.propagationTime + sinceReport, now);
}

double TeamLimits::paceShare(const std::string& team, const Bucket& bucket) const
{
    double othersPerSecond = 0;
    for (const auto& [node, peer] : m_peers) {
        auto use = peer.uses.find(team);
        if (use != peer.uses.end())
            othersPerSecond += use->second.average.perSecond();
    }
    auto demand = bucket.pace.perSecond() + othersPerSecond;
    auto demandShare = demand > 0 ? bucket.pace.perSecond() / demand : evenShare();
    return m_options.evenPaceShare * evenShare() + (1 - m_options.evenPaceShare) * demandShare;
}

// When a team's demand rises suddenly, all nodes admit from the same level before they know of each other's admissions: at eight times the
// limit, they exceeded it by two seconds of the rate. Until the others know, each node therefore admits at most its share of what was
// available to all.
bool TeamLimits::isWithinPace(const TrafficTeam& team, const Bucket& bucket, double amount, SteadyTime now)
{
    // At the start the level is low, and neither this node's share of the demand nor that of the others is known.
    if (!hasTolerance() || m_peers.empty() || isStartingUp(now))
        return true;
    auto unknownToOthers = bucket.pace.recentAmount();
    double othersUnreported = 0; // Charged to the bucket by estimate.
    for (const auto& [node, peer] : m_peers) {
        auto use = peer.uses.find(team.name);
        if (use != peer.uses.end())
            othersUnreported += expectedTotal(peer, use->second, bucket.ratePerSecond, now) - use->second.total;
    }
    // A node that is cut off leaves the tolerance to the others.
    auto tolerance = now - latestReportAt() <= m_options.freshFor ? bucket.tolerance : 0;
    auto available = paceShare(team.name, bucket) * (bucket.level + unknownToOthers + othersUnreported + tolerance);
    if (unknownToOthers < available)
        return true;
    // With many nodes, a node's share may be less than one request. A draw then lets the nodes together admit about what is available.
    return unknownToOthers <= 0 && std::uniform_real_distribution<double>(0, amount)(m_random) < available * m_options.firstRequestFactor;
}

// A node that starts has only its share of the tolerance, which may be less than one request. A draw then lets the starting nodes together
// use it on average.
bool TeamLimits::isLevelSufficient(const Bucket& bucket, double required, SteadyTime now)
{
    if (bucket.level > required)
        return true;
    bool mayDraw = hasTolerance() && isStartingUp(now) && bucket.level > 0;
    return mayDraw && std::uniform_real_distribution<double>(0, required)(m_random) < bucket.level;
}

std::optional<Milliseconds> TeamLimits::admit(const TrafficTeam& team, double amount, SteadyTime now)
{
    if (team.ratePerSecond <= 0)
        return std::nullopt;
    auto& bucket = m_buckets[team.name];
    if (!bucket.isInitialized)
        bucket = { .level = initialLevel(team, now), .updatedAt = now };
    bucket.ratePerSecond = team.ratePerSecond;
    bucket.burst = team.burst;
    bucket.tolerance = usableTolerance(team);
    advance(team.name, bucket, now);
    updatePace(bucket, now);
    auto required = requiredLevel(team, amount, now);
    bool isWithinLimit = isLevelSufficient(bucket, required, now);
    if (isWithinLimit && isWithinPace(team, bucket, amount, now)) {
        bucket.level -= amount;
        bucket.pace.onAdmitted(amount, now);
        m_ownTotals[team.name] += amount;
        return std::nullopt;
    }
    auto wait = m_options.propagationTime;
    if (!isWithinLimit)
        wait = Milliseconds(static_cast<std::int64_t>((required - bucket.level) / team.ratePerSecond * 1000));
    return std::clamp(wait, minRetryDelay, maxRetryDelay);
}

void TeamLimits::refund(const std::string& team, double amount)
{
    auto it = m_buckets.find(team);
    if (it == m_buckets.end())
        return;
    it->second.level += amount;
    it->second.pace.onRefunded(amount);
    m_ownTotals[team] -= amount;
}

void TeamLimits::onPeerTotals(const std::string& node, std::uint64_t lifetime, Milliseconds age, const std::map<std::string, double>& totals, SteadyTime now)
{
    if (m_usesFleetTotals)
        return;
    bool isUnknown = !m_peers.contains(node);
    auto& peer = m_peers[node];
    bool isFirst = peer.lifetime != lifetime;
    auto overlapShare = age > SteadyTime::duration::zero() ? std::min(1.0, seconds(now - m_startedAt) / seconds(age)) : 1;
    if (isFirst)
        peer = { .lifetime = lifetime, .receivedAt = now };
    // Delayed reports arrive in quick succession, which must not be mistaken for a burst of requests.
    auto elapsed = std::max(seconds(now - peer.receivedAt), minReportPeriodSeconds);
    peer.receivedAt = now;
    for (const auto& [team, total] : totals) {
        auto& use = peer.uses[team];
        // What a peer admitted before this node's start is not charged. It is estimated by spreading the total evenly over the peer's
        // uptime.
        if (isUnknown)
            use.charged = total * (1 - overlapShare);
        if (!isFirst)
            use.updateRate(total, elapsed);
        use.total = total;
    }
}

// Nodes that have become silent may be cut off and still admit their part of the burst and of the tolerance, of which the others do not
// learn.
void TeamLimits::chargeSilentNodes(double silentNodes, double allNodes, SteadyTime now)
{
    if (now - m_silentChargedAt > m_options.forgetAfter)
        m_chargedSilentNodes = 0;
    auto newlySilent = silentNodes - m_chargedSilentNodes;
    if (!hasTolerance() || newlySilent <= 0)
        return;
    m_chargedSilentNodes = silentNodes;
    m_silentChargedAt = now;
    for (auto& [team, bucket] : m_buckets)
        bucket.level -= newlySilent / allNodes * (bucket.burst + bucket.tolerance);
}

void TeamLimits::onFleetTotals(unsigned nodes, unsigned silentNodes, const std::map<std::string, double>& totals, SteadyTime receivedAt)
{
    bool isFirst = !m_usesFleetTotals;
    if (isFirst)
        m_peers.clear();
    m_usesFleetTotals = true;
    // A single late aggregate makes nodes silent for one report only.
    chargeSilentNodes(std::min<double>(silentNodes, m_silentNodes), nodes + silentNodes + 1.0, receivedAt);
    m_silentNodes = silentNodes;
    auto& fleet = m_peers[fleetPeerName];
    fleet.nodes = nodes;
    if (!isFirst && receivedAt <= fleet.receivedAt)
        return;
    auto elapsed = std::max(seconds(receivedAt - fleet.receivedAt), minReportPeriodSeconds);
    // When relay nodes fail, the latest reports sent to them are lost, and their replacements don't know of that period. The estimate for
    // it therefore stays charged. Without this, the loss of all relay nodes at once admitted two seconds of a team's rate a second time.
    bool wasSilent = receivedAt - fleet.receivedAt > m_options.freshFor;
    fleet.receivedAt = receivedAt;
    for (const auto& [team, total] : totals) {
        if (isFirst) {
            fleet.uses[team] = { .total = total, .perSecond = std::nullopt, .charged = total };
            continue;
        }
        auto& use = fleet.uses[team];
        if (wasSilent)
            use.unreported += std::max(0.0, use.charged - total - use.unreported);
        else
            use.updateRate(total + use.unreported, elapsed);
        use.total = total + use.unreported;
    }
}

} // namespace Onyxnotch
