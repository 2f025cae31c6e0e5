#include "modules/limits/endpoint_credits.h"

#include <algorithm>
#include <cmath>

namespace Onyxnotch {

namespace {

    double secondsOf(SteadyTime::duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

double EndpointCredits::creditsPerSecond(const Bucket& bucket) const { return std::max(bucket.perSecond, m_options.minCreditsPerSecond) * m_reachableShare; }

double EndpointCredits::maxLevel(const Bucket& bucket) const { return m_options.burstCredits + m_options.burstSeconds * creditsPerSecond(bucket); }

double EndpointCredits::levelAt(const Bucket& bucket, SteadyTime now) const
{
    return std::min(maxLevel(bucket), bucket.level + creditsPerSecond(bucket) * secondsOf(now - bucket.updatedAt));
}

void EndpointCredits::charge(Bucket& bucket, double credits, SteadyTime now) const
{
    auto minLevel = -std::max(1.0, m_options.maxDebtSeconds * creditsPerSecond(bucket));
    bucket.level = std::max(minLevel, levelAt(bucket, now) - credits);
    bucket.updatedAt = now;
}

double EndpointCredits::ownRequestRate(const Bucket& bucket, SteadyTime now) const
{
    return bucket.creditRequestsPerSecond * std::exp(-secondsOf(now - bucket.requestedAt) / secondsOf(m_options.requestRateDecay));
}

double EndpointCredits::totalRequestRate(std::uint64_t endpoint, const Bucket& bucket, SteadyTime now) const
{
    auto creditRequests = ownRequestRate(bucket, now);
    for (const auto& [node, peer] : m_peers) {
        auto it = peer.uses.find(endpoint);
        if (it != peer.uses.end() && now - peer.receivedAt <= m_options.freshFor)
            creditRequests += it->second.creditRequestsPerSecond;
    }
    return creditRequests;
}

void EndpointCredits::setLimit(const EndpointIncarnation& life, std::optional<double> perSecond, SteadyTime now)
{
    auto [it, isNew] = m_buckets.try_emplace(hashOf(life), Bucket { .updatedAt = now, .startedAt = now });
    auto& bucket = it->second;
    // Applies the previous rate up to now, before the new rate takes effect.
    charge(bucket, 0, now);
    bucket.isLimited = perSecond.has_value();
    bucket.perSecond = perSecond.value_or(bucket.perSecond);
}

void EndpointCredits::forget(const EndpointIncarnation& life)
{
    auto endpoint = hashOf(life);
    m_buckets.erase(endpoint);
    for (auto& [node, peer] : m_peers)
        peer.uses.erase(endpoint);
}

bool EndpointCredits::take(const EndpointIncarnation& life, double creditRequests, SteadyTime now)
{
    auto it = m_buckets.find(hashOf(life));
    if (it == m_buckets.end() || !it->second.isLimited)
        return true;
    auto& bucket = it->second;
    bucket.creditRequestsPerSecond = ownRequestRate(bucket, now) + creditRequests / secondsOf(m_options.requestRateDecay);
    bucket.requestedAt = now;
    if (bucket.returnedCredits > 0 && now < bucket.returnedCreditsExpireAt) {
        --bucket.returnedCredits;
        return true;
    }
    auto level = levelAt(bucket, now);
    if (level < 1)
        return false;
    auto requestsUntilReported = std::max(totalRequestRate(it->first, bucket, now), m_options.minCreditRequestsPerSecond) * secondsOf(m_options.propagationTime);
    if (std::uniform_real_distribution<double>(0, std::max(level, requestsUntilReported))(m_random) > level)
        return false;
    charge(bucket, 1, now);
    ++bucket.granted;
    return true;
}

void EndpointCredits::refundCredit(const EndpointIncarnation& life, SteadyTime now)
{
    auto it = m_buckets.find(hashOf(life));
    if (it == m_buckets.end())
        return;
    auto& bucket = it->second;
    bucket.returnedCredits = now < bucket.returnedCreditsExpireAt ? bucket.returnedCredits + 1 : 1;
    bucket.returnedCreditsExpireAt = now + m_options.returnedCreditLifetime;
}

SteadyTime EndpointCredits::nextCreditAt(const EndpointIncarnation& life, SteadyTime now) const
{
    auto it = m_buckets.find(hashOf(life));
    if (it == m_buckets.end() || !it->second.isLimited || (it->second.returnedCredits > 0 && now < it->second.returnedCreditsExpireAt))
        return now;
    auto missing = 1 - levelAt(it->second, now);
    if (missing <= 0)
        return now;
    return now + std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(missing / creditsPerSecond(it->second)));
}

std::vector<CreditUse> EndpointCredits::nextUsesToSend(std::size_t maxCount, SteadyTime now)
{
    std::vector<CreditUse> uses;
    auto it = m_buckets.upper_bound(m_lastSent);
    for (std::size_t n = 0; n < m_buckets.size() && uses.size() < maxCount; ++n, ++it) {
        if (it == m_buckets.end())
            it = m_buckets.begin();
        m_lastSent = it->first;
        if (it->second.isLimited)
            uses.push_back({ .endpoint = it->first, .granted = it->second.granted, .creditRequestsPerSecond = ownRequestRate(it->second, now) });
    }
    return uses;
}

void EndpointCredits::onPeerUses(const std::string& node, std::uint64_t lifetime, const std::vector<CreditUse>& uses, SteadyTime now)
{
    auto& peer = m_peers[node];
    if (lifetime < peer.lifetime)
        return;
    // The counters of a new incarnation start at 0, so its first report counts in full.
    bool isNewIncarnation = peer.lifetime != 0 && lifetime > peer.lifetime;
    if (isNewIncarnation)
        peer.uses.clear();
    peer.lifetime = lifetime;
    peer.receivedAt = now;
    for (const auto& it : uses) {
        auto found = m_buckets.find(it.endpoint);
        if (found == m_buckets.end() || !it.isSound())
            continue;
        auto [use, isFirst] = peer.uses.try_emplace(it.endpoint);
        bool predatesBucket = isFirst && !isNewIncarnation && now - found->second.startedAt < m_options.startupPeriod;
        if (!predatesBucket && it.granted > use->second.granted)
            charge(found->second, static_cast<double>(it.granted - use->second.granted), now);
        use->second = { .granted = std::max(it.granted, use->second.granted), .creditRequestsPerSecond = it.creditRequestsPerSecond };
    }
}

} // namespace Onyxnotch
