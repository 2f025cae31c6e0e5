#include "modules/duty/reclaim_outlook.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace Onyxnotch {

ReclaimOutlook::ReclaimOutlook(const ReclaimOutlookOptions& options)
    : m_options(options)
    , m_calm { .events = 1, .zoneSeconds = options.calmZoneSeconds }
    , m_wave { .events = 1, .zoneSeconds = options.waveZoneSeconds }
{
}

bool ReclaimOutlook::inWave(SteadyTime now) const { return m_lastSignAt != SteadyTime {} && now - m_lastSignAt < m_options.waveDuration; }

void ReclaimOutlook::advance(unsigned zones, SteadyTime now)
{
    if (m_advancedAt != SteadyTime {})
        (inWave(now) ? m_wave : m_calm).zoneSeconds += zones * std::chrono::duration<double>(now - m_advancedAt).count();
    m_advancedAt = now;
}

void ReclaimOutlook::onReclaim(SteadyTime now)
{
    ++(inWave(now) ? m_wave : m_calm).events;
    m_lastSignAt = now;
}

double ReclaimOutlook::chanceWithin(double seconds, SteadyTime now) const
{
    const auto& rate = inWave(now) ? m_wave : m_calm;
    return 1 - std::exp(-rate.events / rate.zoneSeconds * seconds);
}

double expectedShortfall(unsigned needed, const std::vector<EndpointGroup>& groups)
{
    // Probability of each number of endpoints that are left. Groups of equal size give few different numbers.
    std::map<unsigned, double> left { { 0, 1 } };
    for (const auto& group : groups) {
        std::map<unsigned, double> next;
        for (const auto& [endpoints, chance] : left) {
            next[endpoints] += chance * group.chanceOfLoss;
            next[std::min(needed, endpoints + group.endpoints)] += chance * (1 - group.chanceOfLoss);
        }
        left = std::move(next);
    }
    double missing = 0;
    for (const auto& [endpoints, chance] : left)
        missing += chance * (needed - endpoints);
    return missing;
}

std::vector<double> shortfallChances(unsigned needed, const std::vector<EndpointGroup>& groups)
{
    // left[n] is the probability that exactly n endpoints are left. More than `needed` counts as `needed`.
    std::vector<double> left(needed + 1, 0);
    left[0] = 1;
    for (const auto& group : groups) {
        std::vector<double> next(needed + 1, 0);
        for (unsigned n = 0; n <= needed; ++n) {
            next[n] += left[n] * group.chanceOfLoss;
            next[std::min(needed, n + group.endpoints)] += left[n] * (1 - group.chanceOfLoss);
        }
        left = std::move(next);
    }
    std::vector<double> chances(needed, 0);
    double sum = 0;
    for (unsigned missing = needed; missing > 0; --missing) {
        sum += left[needed - missing];
        chances[missing - 1] = sum;
    }
    return chances;
}

} // namespace Onyxnotch
