#include "modules/limits/team_limits.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    double seconds(SteadyTime::duration duration) { return std::chrono::duration<double>(duration).count(); }

    constexpr double learningPart = 0.4; // Of each report in a peer's rate: follows a change within a second.
    constexpr double shortestPeriod = 0.2; // Between two rows of a peer, in seconds: a little less than the gossip period.
    constexpr Milliseconds longestWait { 2000 }; // Nobody is told to come back later than this.
    constexpr Milliseconds shortestWait { 100 };

} // namespace

TeamLimits::TeamLimits(SteadyTime startedAt, const TeamLimitsOptions& options)
    : m_options(options)
    , m_startedAt(startedAt)
{
}

// What a peer has let through by now. One that went silent may be cut off and still serve: it is expected to use at least its even
// share, as it expects of us.
double TeamLimits::expectedTotal(const Peer& peer, const PeerUse& use, double ratePerSecond, SteadyTime now) const
{
    auto silence = now - peer.heardAt;
    auto fresh = std::min<SteadyTime::duration>(silence, m_options.freshFor);
    auto stale = silence - fresh;
    auto share = ratePerSecond / static_cast<double>(m_peers.size() + 1);
    return use.total + use.perSecond * seconds(fresh) + std::max(use.perSecond, share) * seconds(stale);
}

double TeamLimits::spendablePart(SteadyTime now) const
{
    auto heard = static_cast<double>(m_peers.size() + 1);
    return isCautious(now) ? std::min(1.0, heard / std::max(1U, m_options.expectedNodes)) : 1;
}

// Nobody knows what an earlier life of this node has let through: a new one has saved up no more than what came in since its start.
double TeamLimits::firstLevel(const TrafficTeam& team, SteadyTime now) const
{
    if (!isCautious(now))
        return team.burst;
    return std::min(team.burst, team.ratePerSecond * seconds(now - m_startedAt) * spendablePart(now));
}

void TeamLimits::advance(const std::string& team, Bucket& bucket, SteadyTime now)
{
    auto elapsed = seconds(now - bucket.updatedAt);
    bucket.updatedAt = now;
    auto level = bucket.level + bucket.ratePerSecond * elapsed * spendablePart(now);
    std::erase_if(m_peers, [&](const auto& it) { return now - it.second.heardAt > m_options.forgetAfter; });
    for (auto& [node, peer] : m_peers) {
        auto& use = peer.uses[team];
        auto total = expectedTotal(peer, use, bucket.ratePerSecond, now);
        // A bucket that begins with a whole burst begins with what happens from now on; one that begins with what has come in since this
        // node's start, with what has gone out since then.
        if (bucket.known || isCautious(now))
            level -= total - use.charged;
        use.charged = total;
    }
    bucket.known = true;
    // What came in and what went out belong to the same time: only their difference can overflow.
    bucket.level = std::clamp(level, -bucket.ratePerSecond * m_options.maximumDebtSeconds, bucket.burst);
}

bool TeamLimits::hearsAll(SteadyTime now) const
{
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& it) { return now - it.second.heardAt <= 2 * m_options.freshFor; });
}

double TeamLimits::neededLevel(const TrafficTeam& team, double amount, SteadyTime now) const
{
    // Each node may overdraw its level by one request. Nodes that do not know each other would all do so at once: until it has heard the
    // others, a node needs a part of the amount beforehand.
    auto unheard = 1 - spendablePart(now);
    if (unheard > 0)
        return amount * unheard;
    bool small = amount < team.ratePerSecond * m_options.smallPart;
    return small && hearsAll(now) ? -team.ratePerSecond * m_options.smallDebtSeconds : 0;
}

std::optional<Milliseconds> TeamLimits::admit(const TrafficTeam& team, double amount, SteadyTime now)
{
    if (team.ratePerSecond <= 0)
        return std::nullopt;
    auto& bucket = m_buckets[team.name];
    if (!bucket.known)
        bucket = { .level = firstLevel(team, now), .updatedAt = now };
    bucket.ratePerSecond = team.ratePerSecond;
    bucket.burst = team.burst;
    advance(team.name, bucket, now);
    auto needed = neededLevel(team, amount, now);
    if (bucket.level > needed) {
        bucket.level -= amount;
        m_ownTotals[team.name] += amount;
        return std::nullopt;
    }
    auto wait = Milliseconds(static_cast<std::int64_t>((needed - bucket.level) / team.ratePerSecond * 1000));
    return std::clamp(wait, shortestWait, longestWait);
}

void TeamLimits::refund(const std::string& team, double amount)
{
    auto it = m_buckets.find(team);
    if (it == m_buckets.end())
        return;
    it->second.level += amount;
    m_ownTotals[team] -= amount;
}

void TeamLimits::onPeer(const std::string& node, std::uint64_t lifetime, Milliseconds age, const std::map<std::string, double>& totals, SteadyTime now)
{
    bool unknown = !m_peers.contains(node);
    auto& peer = m_peers[node];
    bool first = peer.lifetime != lifetime;
    auto sharedPart = age > SteadyTime::duration::zero() ? std::min(1.0, seconds(now - m_startedAt) / seconds(age)) : 1;
    if (first)
        peer = { .lifetime = lifetime, .heardAt = now };
    // Rows that were held up come in a bunch: that is no burst.
    auto elapsed = std::max(seconds(now - peer.heardAt), shortestPeriod);
    peer.heardAt = now;
    for (const auto& [team, total] : totals) {
        auto& use = peer.uses[team];
        // What a peer let through before this node's own start is in the past: taken as the even part of its life.
        if (unknown)
            use.charged = total * (1 - sharedPart);
        if (!first)
            use.perSecond += learningPart * (std::max(0.0, total - use.total) / elapsed - use.perSecond);
        use.total = total;
    }
}

} // namespace Onyxnotch
