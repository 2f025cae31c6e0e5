#include "modules/limits/team_bucket.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    double seconds(SteadyTime::duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

TeamBucket::TeamBucket(double level, SteadyTime now, const TeamBucketOptions& options)
    : m_options(options)
    , m_level(level)
    , m_updatedAt(now)
{
}

void TeamBucket::setLimit(double ratePerSecond, double burst)
{
    m_ratePerSecond = ratePerSecond;
    m_burst = burst;
}

void TeamBucket::advance(double spent, SteadyTime now)
{
    auto refill = m_ratePerSecond * std::max(0.0, seconds(now - m_updatedAt));
    m_updatedAt = std::max(m_updatedAt, now);
    m_reserve += refill * m_silentShare;
    m_level += refill * share() - spent;
    m_spent += spent;
    limitLevel();
}

void TeamBucket::charge(double amount)
{
    m_level -= amount;
    m_spent += amount;
}

void TeamBucket::setSilentShare(double share, Milliseconds silence, SteadyTime now)
{
    if (share > m_silentShare)
        reserveShare(1 - share, silence, now);
    else if (share < m_silentShare) {
        auto returned = m_reserve * (1 - share / m_silentShare);
        m_reserve -= returned;
        m_level += returned;
    }
    m_silentShare = share;
}

// Computes the level again from a past one, with a smaller share of level, burst and refill since then.
void TeamBucket::reserveShare(double newShare, Milliseconds silence, SteadyTime now)
{
    if (m_samples.empty())
        keepLevel();
    auto first = sampleBefore(now - silence);
    auto previous = m_samples[first];
    auto level = previous.level * newShare / previous.share;
    auto addUntil = [&](const Sample& next) {
        auto refill = m_ratePerSecond * newShare * seconds(next.at - previous.at);
        level = std::min(level + refill - (next.spent - previous.spent), m_burst * newShare);
        previous = next;
    };
    for (auto n = first + 1; n < m_samples.size(); ++n)
        addUntil(m_samples[n]);
    addUntil({ .at = now, .spent = m_spent });
    auto reservedLevel = m_samples[first].level / m_samples[first].share;
    auto reservedRefill = m_ratePerSecond * seconds(now - m_samples[first].at);
    m_reserve += (share() - newShare) * (reservedLevel + reservedRefill);
    m_level = std::min(m_level, level);
}

// Past levels were assumed ones, from which no present level may be recomputed.
void TeamBucket::setLevelOfAll(double level)
{
    m_level = level * share();
    m_reserve = level * m_silentShare;
    m_samples.clear();
    limitLevel();
    keepLevel();
}

void TeamBucket::limitLevel() { m_level = std::clamp(m_level, -m_ratePerSecond * m_options.maximumDebtSeconds, m_burst * share()); }

void TeamBucket::keepLevel()
{
    m_samples.push_back({ .at = m_updatedAt, .level = m_level, .share = share(), .spent = m_spent });
    while (m_samples.size() > 1 && m_updatedAt - m_samples[1].at > m_options.historySpan)
        m_samples.pop_front();
}

std::size_t TeamBucket::sampleBefore(SteadyTime time) const
{
    std::size_t n = 0;
    while (n + 1 < m_samples.size() && m_samples[n + 1].at <= time)
        ++n;
    return n;
}

} // namespace Onyxnotch
