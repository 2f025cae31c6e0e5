#include "modules/peers/growing_totals.h"

#include <algorithm>
#include <cmath>

namespace Onyxnotch {

void AggregatedTotals::update(const std::string& node, std::uint64_t lifetime, Milliseconds age, const TotalsByName& totals, SteadyTime now)
{
    auto [it, isNew] = m_nodes.try_emplace(node);
    auto& state = it->second;
    if (!isNew && lifetime < state.lifetime)
        return;
    bool isNewIncarnation = lifetime != state.lifetime;
    bool isFromBefore = isNew && age > now - m_startedAt;
    if (isNewIncarnation)
        state = { .lifetime = lifetime };
    for (const auto& [name, total] : totals) {
        auto& highest = state.highest.try_emplace(name, isFromBefore ? total : 0).first->second;
        // A node's total decreases when it subtracts requests that were not executed; growth below the highest value counted so far adds
        // nothing.
        m_totals[name] += std::max(0.0, total - highest);
        highest = std::max(highest, total);
    }
}

void MergedTotals::update(const std::string& source, std::uint64_t lifetime, bool realign, const TotalsByName& totals, SteadyTime now)
{
    auto [it, isNew] = m_sources.try_emplace(source);
    auto& state = it->second;
    bool isAligned = !isNew && state.lifetime == lifetime && !realign;
    if (!isAligned)
        state = { .lifetime = lifetime, .offsets = m_totals };
    for (const auto& [name, total] : totals) {
        auto& offset = state.offsets.try_emplace(name, 0).first->second; // A name that the source did not report before counts from 0.
        updateTotal(name, total, isAligned, offset, now);
    }
}

void MergedTotals::updateTotal(const std::string& name, double total, bool isAligned, double& offset, SteadyTime now)
{
    auto& merged = m_totals[name];
    auto& leader = m_leaders.try_emplace(name, Leader { .reportedAt = now }).first->second;
    constexpr double roundingError = 1e-9; // Relative.
    bool isBehind = total + offset < merged * (1 - roundingError);
    if (!isAligned || (isBehind && hasFailed(leader, now))) {
        merged += estimateLost(leader, now);
        offset = merged - total;
    } else if (isBehind)
        return;
    auto growth = std::max(0.0, total + offset - merged);
    auto seconds = std::chrono::duration<double>(now - leader.reportedAt).count();
    leader.perSecond = leader.perSecond * std::exp(-seconds / detail::growthAveragingSeconds) + growth / detail::growthAveragingSeconds;
    leader.reportedAt = now;
    merged += growth;
}

double MergedTotals::estimateLost(const Leader& leader, SteadyTime now)
{
    if (!hasFailed(leader, now))
        return 0;
    auto span = std::min<SteadyTime::duration>(now - leader.reportedAt, detail::maximumLostSpan);
    return leader.perSecond * std::chrono::duration<double>(span).count();
}

} // namespace Onyxnotch
