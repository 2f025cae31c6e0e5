#include "modules/peers/growing_totals.h"

#include <algorithm>

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

void MergedTotals::update(const std::string& source, std::uint64_t lifetime, bool realign, const TotalsByName& totals)
{
    auto [it, isNew] = m_sources.try_emplace(source);
    auto& state = it->second;
    if (isNew || state.lifetime != lifetime || realign) {
        state = { .lifetime = lifetime, .offsets = m_totals };
        for (const auto& [name, total] : totals)
            state.offsets[name] -= total;
    }
    for (const auto& [name, total] : totals) {
        auto offset = state.offsets.try_emplace(name, 0).first->second; // A name that the source did not report before counts from 0.
        auto& merged = m_totals[name];
        merged = std::max(merged, total + offset);
    }
}

} // namespace Onyxnotch
