#include "modules/limits/endpoint_credits.h"

#include <algorithm>
#include <cmath>

namespace Onyxnotch {

namespace {

    double secondsOf(SteadyTime::duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

double EndpointCredits::filled(const Bucket& bucket) const { return std::max(bucket.perSecond, m_options.leastPerSecond) * m_speakingPart; }

double EndpointCredits::mostSaved(const Bucket& bucket) const { return m_options.savedRequests + m_options.savedSeconds * filled(bucket); }

double EndpointCredits::levelAt(const Bucket& bucket, SteadyTime now) const
{
    return std::min(mostSaved(bucket), bucket.level + filled(bucket) * secondsOf(now - bucket.updatedAt));
}

void EndpointCredits::drain(Bucket& bucket, double credits, SteadyTime now) const
{
    auto leastLevel = -std::max(1.0, m_options.longestDebtSeconds * filled(bucket));
    bucket.level = std::max(leastLevel, levelAt(bucket, now) - credits);
    bucket.updatedAt = now;
}

double EndpointCredits::ownAsks(const Bucket& bucket, SteadyTime now) const
{
    return bucket.asksPerSecond * std::exp(-secondsOf(now - bucket.askedAt) / secondsOf(m_options.askMemory));
}

double EndpointCredits::allAsks(std::uint64_t endpoint, const Bucket& bucket, SteadyTime now) const
{
    auto asks = ownAsks(bucket, now);
    for (const auto& [node, peer] : m_peers) {
        auto it = peer.uses.find(endpoint);
        if (it != peer.uses.end() && now - peer.heardAt <= m_options.freshFor)
            asks += it->second.asksPerSecond;
    }
    return asks;
}

void EndpointCredits::setLimit(const EndpointLife& life, std::optional<double> perSecond, SteadyTime now)
{
    auto [it, isNew] = m_buckets.try_emplace(hashOf(life), Bucket { .updatedAt = now, .startedAt = now });
    auto& bucket = it->second;
    // What was filled at the rate before stays.
    drain(bucket, 0, now);
    bucket.isLimited = perSecond.has_value();
    bucket.perSecond = perSecond.value_or(bucket.perSecond);
}

void EndpointCredits::forget(const EndpointLife& life)
{
    auto endpoint = hashOf(life);
    m_buckets.erase(endpoint);
    for (auto& [node, peer] : m_peers)
        peer.uses.erase(endpoint);
}

bool EndpointCredits::take(const EndpointLife& life, double asks, SteadyTime now)
{
    auto it = m_buckets.find(hashOf(life));
    if (it == m_buckets.end() || !it->second.isLimited)
        return true;
    auto& bucket = it->second;
    bucket.asksPerSecond = ownAsks(bucket, now) + asks / secondsOf(m_options.askMemory);
    bucket.askedAt = now;
    if (bucket.spare > 0 && now < bucket.spareUntil) {
        --bucket.spare;
        return true;
    }
    auto level = levelAt(bucket, now);
    if (level < 1)
        return false;
    auto asksUntilNews = std::max(allAsks(it->first, bucket, now), m_options.leastAsksPerSecond) * secondsOf(m_options.newsTime);
    if (std::uniform_real_distribution<double>(0, std::max(level, asksUntilNews))(m_random) > level)
        return false;
    drain(bucket, 1, now);
    ++bucket.given;
    return true;
}

void EndpointCredits::giveBack(const EndpointLife& life, SteadyTime now)
{
    auto it = m_buckets.find(hashOf(life));
    if (it == m_buckets.end())
        return;
    auto& bucket = it->second;
    bucket.spare = now < bucket.spareUntil ? bucket.spare + 1 : 1;
    bucket.spareUntil = now + m_options.spareFor;
}

SteadyTime EndpointCredits::nextAt(const EndpointLife& life, SteadyTime now) const
{
    auto it = m_buckets.find(hashOf(life));
    if (it == m_buckets.end() || !it->second.isLimited || (it->second.spare > 0 && now < it->second.spareUntil))
        return now;
    auto missing = 1 - levelAt(it->second, now);
    if (missing <= 0)
        return now;
    return now + std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(missing / filled(it->second)));
}

std::vector<CreditUse> EndpointCredits::takeUses(std::size_t most, SteadyTime now)
{
    std::vector<CreditUse> uses;
    auto it = m_buckets.upper_bound(m_lastTold);
    for (std::size_t n = 0; n < m_buckets.size() && uses.size() < most; ++n, ++it) {
        if (it == m_buckets.end())
            it = m_buckets.begin();
        m_lastTold = it->first;
        if (it->second.isLimited)
            uses.push_back({ .endpoint = it->first, .given = it->second.given, .asksPerSecond = ownAsks(it->second, now) });
    }
    return uses;
}

void EndpointCredits::onUses(const std::string& node, std::uint64_t lifetime, const std::vector<CreditUse>& uses, SteadyTime now)
{
    auto& peer = m_peers[node];
    if (lifetime < peer.lifetime)
        return;
    // What a new life has given is all new.
    bool isNewLife = peer.lifetime != 0 && lifetime > peer.lifetime;
    if (isNewLife)
        peer.uses.clear();
    peer.lifetime = lifetime;
    peer.heardAt = now;
    for (const auto& it : uses) {
        auto found = m_buckets.find(it.endpoint);
        if (found == m_buckets.end() || !it.isSound())
            continue;
        auto [known, isFirst] = peer.uses.try_emplace(it.endpoint);
        bool isOfBefore = isFirst && !isNewLife && now - found->second.startedAt < m_options.startTime;
        if (!isOfBefore && it.given > known->second.given)
            drain(found->second, static_cast<double>(it.given - known->second.given), now);
        known->second = { .given = std::max(it.given, known->second.given), .asksPerSecond = it.asksPerSecond };
    }
}

} // namespace Onyxnotch
