#include "modules/limits/return_turns.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    // Selects the request's slot within each period. Periods are powers of two, so the turns of a period are also turns of all shorter ones.
    std::uint64_t phaseOf(const RequestDigest& digest)
    {
        // Finalizer of SplitMix64: spreads both parts over the low bits, which select the slot.
        auto value = digest.content + 0x9e3779b97f4a7c15U * (digest.team + 1ULL);
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31U);
    }

    // `period` is a power of two, so the result is also correct if the difference wraps around.
    std::uint64_t slotsSince(std::uint64_t phase, std::uint64_t slot, std::uint64_t period) { return (slot - phase) & (period - 1); }

} // namespace

void ReturnTurns::ExpiringRequests::purgeExpired(std::uint64_t now)
{
    while (!insertions.empty() && insertions.front().first <= now) {
        auto found = untilByRequest.find(insertions.front().second);
        if (found != untilByRequest.end() && found->second <= now)
            untilByRequest.erase(found);
        insertions.pop_front();
    }
}

void ReturnTurns::ExpiringRequests::insert(const RequestDigest& digest, std::uint64_t until)
{
    untilByRequest[digest] = until;
    insertions.emplace_back(until, digest);
}

bool ReturnTurns::ExpiringRequests::contains(const RequestDigest& digest, std::uint64_t now) const
{
    auto found = untilByRequest.find(digest);
    return found != untilByRequest.end() && found->second > now;
}

void ReturnTurns::setRates(const std::map<std::string, ServiceRates>& rates, std::uint64_t now)
{
    constexpr double minimumServedPerSecond = 0.01; // Keeps the ratio finite if nothing is served; the period is at its maximum then.
    if (!m_options.enabled)
        return;
    std::erase_if(m_services, [&](const auto& it) { return !rates.contains(it.first); });
    for (const auto& [service, rate] : rates) {
        auto& state = m_services[service];
        auto served = std::max(minimumServedPerSecond, rate.requestsPerSecond - rate.refusedPerSecond);
        state.refusedPerServed = rate.refusedPerSecond / served;
        state.isShort = rate.refusedPerSecond > m_options.shortageShare * rate.requestsPerSecond;
        auto& samples = state.shortageSamples;
        std::erase_if(samples, [&](const Sample& it) { return it.at + static_cast<std::uint64_t>(m_options.periodMemory.count()) < now || it.at > now; });
        // Nodes with slightly different sums do not detect a shortage at the same moment, so turns are accepted from half of `shortageShare` on.
        if (2 * rate.refusedPerSecond > m_options.shortageShare * rate.requestsPerSecond)
            samples.push_back({ .at = now, .refusedPerServed = state.refusedPerServed });
    }
}

// `refusedPerSecond * typicalDelay` callers wait at a time, and each has one turn in a period. In a period, `capacityShare` of the
// capacity has to serve them all.
std::uint64_t ReturnTurns::periodFor(double refusedPerServed) const
{
    auto slots = refusedPerServed / m_options.capacityShare * static_cast<double>(m_options.typicalDelay.count()) / static_cast<double>(m_options.slot.count());
    // To the nearest power of two: always rounding up would leave up to half of the intended capacity to newcomers.
    constexpr double roundedDown = 1.4142; // Square root of 2.
    auto period = m_options.minimumPeriod;
    while (period < m_options.maximumPeriod && static_cast<double>(period) * roundedDown < slots)
        period *= 2;
    return period;
}

std::uint64_t ReturnTurns::period(const std::string& service) const
{
    auto found = m_services.find(service);
    return found == m_services.end() || !found->second.isShort ? 0 : periodFor(found->second.refusedPerServed);
}

std::optional<ReturnTurns::ReturnTime> ReturnTurns::nextTurn(const std::string& service, const RequestDigest& digest, std::uint64_t earliest, std::uint64_t latest, std::uint64_t now)
{
    auto slots = period(service);
    if (slots == 0)
        return std::nullopt;
    auto first = (std::max(earliest, now) + slotMilliseconds() - 1) / slotMilliseconds();
    auto start = first + ((phaseOf(digest) - first) & (slots - 1));
    // Within the slot, callers are spread by other bits of the hash than those that select the slot.
    auto told = (start + 1) * slotMilliseconds() + (phaseOf(digest) >> 32U) % slotMilliseconds();
    auto result = told <= latest ? ReturnTime { .at = told, .isTurn = true } : ReturnTime { .at = std::max({ earliest, latest, now }), .isTurn = false };
    m_told.purgeExpired(now);
    if (m_told.insertions.size() < m_options.maximumTold)
        m_told.insert(digest, result.at);
    return result;
}

bool ReturnTurns::mayReturn(const std::string& service, const RequestDigest& digest, std::uint64_t now)
{
    auto found = m_services.find(service);
    if (found == m_services.end() || found->second.shortageSamples.empty())
        return false;
    const auto& samples = found->second.shortageSamples;
    auto least = std::min_element(samples.begin(), samples.end(), [](const Sample& left, const Sample& right) { return left.refusedPerServed < right.refusedPerServed; });
    auto slot = now / slotMilliseconds();
    auto sinceStart = slotsSince(phaseOf(digest), slot, periodFor(least->refusedPerServed / m_options.rateTolerance));
    if (sinceStart >= m_options.turnSlots)
        return false;
    m_accepted.purgeExpired(now);
    if (m_accepted.contains(digest, now) || m_accepted.insertions.size() >= m_options.maximumAccepted)
        return false;
    m_accepted.insert(digest, (slot - sinceStart + m_options.turnSlots) * slotMilliseconds());
    return true;
}

bool ReturnTurns::isEarly(const RequestDigest& digest, std::uint64_t now) const { return m_told.contains(digest, now); }

} // namespace Onyxnotch
