#include "modules/queueing/request_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Onyxnotch {

// Lower by one for each part of the allowed wait that has passed. May become negative: otherwise new entries of priority 0 would go before
// old ones without end.
double RequestQueue::agedPriority(const QueueEntry& entry, SteadyTime now) const
{
    auto allowed = std::chrono::duration<double>(entry.leavesAt - entry.enteredAt).count();
    auto waited = std::chrono::duration<double>(now - entry.enteredAt).count();
    auto part = allowed > 0 ? std::clamp(waited / allowed, 0.0, 1.0) : 1.0;
    return entry.priority - std::floor(part * m_options.agingSteps);
}

double RequestQueue::relativePlaces(const QueueEntry& entry) const
{
    auto service = m_places.find(entry.service);
    if (service == m_places.end())
        return 0;
    auto team = service->second.find(entry.team);
    return team == service->second.end() ? 0 : team->second / std::max(entry.teamShare, 1e-9);
}

bool RequestQueue::goesBefore(const QueueEntry& entry, const QueueEntry& other, SteadyTime now) const
{
    auto key = [&](const QueueEntry& it) { return std::tuple(agedPriority(it, now), !it.isInTurn, relativePlaces(it), it.leavesAt, it.id); };
    return key(entry) < key(other);
}

std::optional<std::uint64_t> RequestQueue::enter(const QueueEntry& entry, SteadyTime now)
{
    m_entries[entry.id] = entry;
    if (m_entries.size() <= m_options.maximumEntries)
        return std::nullopt;
    auto last = std::max_element(m_entries.begin(), m_entries.end(), [&](const auto& left, const auto& right) { return goesBefore(left.second, right.second, now); });
    auto id = last->first;
    m_entries.erase(last);
    return id;
}

void RequestQueue::remove(std::uint64_t id) { m_entries.erase(id); }

std::optional<std::uint64_t> RequestQueue::next(const std::string& service, SteadyTime now) const
{
    const QueueEntry* first = nullptr;
    for (const auto& [id, entry] : m_entries) {
        if (entry.service == service && (!first || goesBefore(entry, *first, now)))
            first = &entry;
    }
    return first ? std::optional(first->id) : std::nullopt;
}

std::size_t RequestQueue::entriesBefore(const QueueEntry& entry, SteadyTime now) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& it) { return it.first != entry.id && it.second.service == entry.service && goesBefore(it.second, entry, now); }));
}

std::vector<std::uint64_t> RequestQueue::expired(SteadyTime now) const
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, entry] : m_entries) {
        if (entry.leavesAt <= now)
            ids.push_back(id);
    }
    return ids;
}

void RequestQueue::onPlaceTaken(const std::string& service, const std::string& team) { ++m_places[service][team]; }

void RequestQueue::onPlaceReleased(const std::string& service, const std::string& team)
{
    auto& teams = m_places[service];
    auto held = teams.find(team);
    if (held != teams.end() && --held->second == 0)
        teams.erase(held);
}

unsigned RequestQueue::placesHeld(const std::string& service) const
{
    unsigned sum = 0;
    auto teams = m_places.find(service);
    if (teams == m_places.end())
        return sum;
    for (const auto& [team, held] : teams->second)
        sum += held;
    return sum;
}

const QueueEntry* RequestQueue::find(std::uint64_t id) const
{
    auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second;
}

std::map<std::string, std::size_t> RequestQueue::sizeByService() const
{
    std::map<std::string, std::size_t> sizes;
    for (const auto& [id, entry] : m_entries)
        ++sizes[entry.service];
    return sizes;
}

bool PlacePacer::mayTakeUnseen(const PacingInput& input) { return !input.isAlone && input.slotSeconds > 0 && input.slotSeconds <= input.viewSeconds; }

void PlacePacer::update(const PacingInput& input, SteadyTime now)
{
    auto viewSeconds = std::max(input.viewSeconds, 0.01);
    m_isAlone = input.isAlone;
    m_perSecond = mayTakeUnseen(input) ? input.share * input.places.total / input.slotSeconds : input.share * input.places.free / viewSeconds;
    auto seconds = m_updatedAt == SteadyTime {} ? 0 : std::chrono::duration<double>(now - m_updatedAt).count();
    m_updatedAt = now;
    // What was not used in a period is not kept, except for one place: a node whose share is less than that gets one now and then.
    m_allowance = std::min(m_allowance + m_perSecond * seconds, std::max(1.0, m_perSecond * viewSeconds));
}

void PlacePacer::onTaken() { m_allowance = std::max(0.0, m_allowance - 1); }

// Half of the place is returned: if all slots are in use, a request sent instead would probably be refused as well. With the whole of it, at
// three times the demand that endpoints can serve, they refused nine of ten requests, and urgent ones were hardly served first.
void PlacePacer::onRefused()
{
    constexpr double returnedPart = 0.5;
    m_allowance += returnedPart;
}

void PlacePacer::onReleased(const PacingInput& input)
{
    if (!mayTakeUnseen(input))
        m_allowance += std::min(1.0, input.share * input.places.total / std::max(1.0, input.places.own));
}

std::optional<Milliseconds> PlacePacer::untilMayTake() const
{
    constexpr double longestSeconds = 60;
    if (mayTake())
        return Milliseconds(0);
    if (m_perSecond <= 0)
        return std::nullopt;
    return std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(std::min(longestSeconds, (1 - m_allowance) / m_perSecond)));
}

} // namespace Onyxnotch
