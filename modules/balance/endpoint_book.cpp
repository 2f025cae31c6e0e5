#include "modules/balance/endpoint_book.h"

#include "core/log.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds markSendTime { 5000 }; // Twice the time a row needs to reach a node in another zone in a fleet of 100 nodes.
    // A mark is kept this long after its endpoint left the list, since a node that was cut off may send outdated state that late.
    constexpr Milliseconds markRetention { 60000 };
    constexpr Milliseconds trustedAfter { 2000 }; // At ten requests a second a node has seen twenty by then, if any found nothing waiting.
    constexpr double earlyEnoughFraction = 0.4; // Of the objective: an estimate that is too low by half is still on time.
    constexpr double prefixMemoryFraction = 0.75; // Of an engine's memory, for cached prefixes; running requests use the remainder.

    std::uint64_t hashText(const std::string& text) { return mixHash(std::hash<std::string> {}(text), 0); }

} // namespace

EndpointBook::EndpointBook(std::string zone)
    : m_zone(std::move(zone))
{
}

std::vector<EndpointIncarnation> EndpointBook::update(const std::shared_ptr<const EndpointList>& list, const TrafficConfiguration& configuration, SteadyTime now)
{
    if (!list || list == m_list)
        return {};
    m_list = list;
    for (const auto& it : configuration.declaration().services)
        m_memoryTokens[it.name] = it.engine ? it.engine->memoryTokens * prefixMemoryFraction : 0;
    for (const auto& [id, listed] : list->endpoints) {
        auto& state = m_endpoints[listed.life()];
        // The state includes connections to the address, so a changed address starts with new state.
        if (!state || state->listed.address != listed.address)
            state = std::make_shared<EndpointState>();
        if (state->listed != listed)
            state->listed = listed;
        state->shortName = shortNameOf(listed.life());
        if (listed.leaving)
            mark(listed.life(), m_readsStore, now);
    }
    std::vector<EndpointIncarnation> disappeared;
    for (const auto& [life, state] : m_endpoints) {
        if (!isListed(life) && !m_leaving.contains(life))
            disappeared.push_back(life);
    }
    std::erase_if(m_endpoints, [&](const auto& it) { return !isListed(it.first); });
    removeExpiredMarks(now);
    m_endpointsByService.clear();
    m_shortNames.clear();
    m_endpointsByShortName.clear();
    for (const auto& [life, state] : m_endpoints) {
        m_endpointsByShortName.emplace(state->shortName, state);
        m_endpointsByService[state->listed.service].push_back(state);
        m_shortNames[state->listed.service].push_back(state->shortName);
    }
    return disappeared;
}

bool EndpointBook::isExpectedToServe(const EndpointIncarnation& life) const { return m_endpoints.contains(life) && !m_leaving.contains(life); }

// Whether the list contains this incarnation of the endpoint.
bool EndpointBook::isListed(const EndpointIncarnation& life) const
{
    if (!m_list)
        return false;
    auto it = m_list->endpoints.find(life.id);
    return it != m_list->endpoints.end() && it->second.born == life.born;
}

void EndpointBook::mark(const EndpointIncarnation& life, bool isFoundLocally, SteadyTime now)
{
    auto& known = m_leaving.try_emplace(life, LeavingMark { .since = now }).first->second;
    known.isFoundLocally = known.isFoundLocally || isFoundLocally;
}

void EndpointBook::removeExpiredMarks(SteadyTime now)
{
    std::erase_if(m_leaving, [&](const auto& it) { return now - it.second.since > markRetention && !isListed(it.first); });
}

void EndpointBook::markLeaving(const EndpointIncarnation& life, SteadyTime now) { mark(life, false, now); }

void EndpointBook::markFoundLeaving(const EndpointIncarnation& life, SteadyTime now) { mark(life, true, now); }

void EndpointBook::resendLeavingMarks(SteadyTime now) { m_resendMarksUntil = now + markSendTime; }

// Older marks have reached all nodes or are shown by the list, except while marks are sent again for a node that has just started.
bool EndpointBook::shouldSendMark(const EndpointIncarnation& life, const LeavingMark& mark, SteadyTime now) const
{
    if (now - mark.since < markSendTime)
        return true;
    return now < m_resendMarksUntil && isListedAndNotLeaving(life);
}

bool EndpointBook::isListedAndNotLeaving(const EndpointIncarnation& life) const { return isListed(life) && !m_list->endpoints.at(life.id).leaving; }

std::vector<EndpointIncarnation> EndpointBook::leavingMarksMissingInList() const
{
    std::vector<EndpointIncarnation> unlisted;
    for (const auto& [life, mark] : m_leaving) {
        if (isListedAndNotLeaving(life))
            unlisted.push_back(life);
    }
    return unlisted;
}

std::vector<EndpointIncarnation> EndpointBook::recentLeavingMarks(SteadyTime now) const
{
    std::vector<EndpointIncarnation> recent;
    for (const auto& [life, mark] : m_leaving) {
        if (shouldSendMark(life, mark, now))
            recent.push_back(life);
    }
    return recent;
}

std::vector<EndpointIncarnation> EndpointBook::ownLeavingMarks(SteadyTime now, std::size_t maximum) const
{
    std::vector<std::pair<SteadyTime, EndpointIncarnation>> found;
    for (const auto& [life, mark] : m_leaving) {
        bool isOwn = mark.isFoundLocally || now < m_resendMarksUntil;
        if (isOwn && shouldSendMark(life, mark, now))
            found.emplace_back(mark.since, life);
    }
    std::sort(found.rbegin(), found.rend());
    if (found.size() > maximum)
        found.resize(maximum);
    std::vector<EndpointIncarnation> lives;
    lives.reserve(found.size());
    for (auto& [since, life] : found)
        lives.push_back(std::move(life));
    return lives;
}

bool EndpointBook::isEligible(const EndpointState& state, const EndpointRequest& request) const
{
    const auto& barred = request.versions.barred;
    return !isLeaving(state.listed.life()) && std::find(barred.begin(), barred.end(), state.listed.version) == barred.end();
}

bool EndpointBook::isCandidate(const EndpointState& state, const EndpointRequest& request, SteadyTime now) const
{
    bool isExcluded = std::find(request.excluded.begin(), request.excluded.end(), state.listed.id) != request.excluded.end();
    if (isExcluded || !isEligible(state, request) || m_backoffs.isInBackoff(state.listed.life(), now))
        return false;
    return !request.skipsEndpointsWithoutCredit || m_limits.creditAt(state.listed.life(), now) <= now;
}

double EndpointBook::limitOf(const EndpointRequest& request) const
{
    double perSecond = 0;
    auto found = m_endpointsByService.find(request.service);
    if (found == m_endpointsByService.end())
        return perSecond;
    for (const auto& it : found->second) {
        if (isEligible(*it, request))
            perSecond += m_limits.perSecond(it->listed.life()).value_or(0);
    }
    return perSecond;
}

std::optional<SteadyTime> EndpointBook::earliestAvailable(const EndpointRequest& request, SteadyTime now) const
{
    auto found = m_endpointsByService.find(request.service);
    if (found == m_endpointsByService.end())
        return std::nullopt;
    std::optional<SteadyTime> first;
    for (const auto& it : found->second) {
        if (!isEligible(*it, request))
            continue;
        auto end = std::max(m_backoffs.endOf(it->listed.life()), m_limits.creditAt(it->listed.life(), now));
        if (end <= now)
            return std::nullopt;
        first = std::min(first.value_or(end), end);
    }
    return first;
}

void EndpointBook::keepOnlyWantedVersion(std::vector<std::shared_ptr<EndpointState>>& usable, const VersionLimits& limits)
{
    if (limits.wanted.empty())
        return;
    std::vector<std::shared_ptr<EndpointState>> wanted;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(wanted), [&](const auto& it) { return it->listed.version == limits.wanted; });
    if (wanted.empty())
        return;
    if (limits.mostEndpoints > 0 && wanted.size() > limits.mostEndpoints) {
        // Sorting by hash makes every node keep the same endpoints.
        std::sort(wanted.begin(), wanted.end(), [](const auto& left, const auto& right) { return hashOf(left->listed.life()) < hashOf(right->listed.life()); });
        wanted.resize(limits.mostEndpoints);
    }
    usable = std::move(wanted);
}

// Selects an endpoint with a probability proportional to its free slots or, without `needsFreeSlot`, to its slots.
void EndpointBook::keepOneBySlots(std::vector<std::shared_ptr<EndpointState>>& usable, const EndpointRequest& request)
{
    auto weight = [&](const EndpointState& it) { return std::max(0.0, it.listed.slots - (request.needsFreeSlot ? it.inFlight + it.peersInFlight : 0)); };
    double total = 0;
    for (const auto& it : usable)
        total += weight(*it);
    constexpr double selectors = 18446744073709551616.0; // Number of values of `spreadBy`.
    auto remaining = total * (static_cast<double>(request.spreadBy) / selectors);
    for (const auto& it : usable) {
        remaining -= weight(*it);
        if (remaining > 0)
            continue;
        auto kept = it;
        usable = { std::move(kept) };
        return;
    }
}

double EndpointBook::memoryTokens(const std::string& service) const
{
    auto it = m_memoryTokens.find(service);
    return it == m_memoryTokens.end() ? 0 : it->second;
}

double EndpointBook::slotSeconds(const std::string& service) const
{
    auto it = m_slotTimes.find(service);
    return it == m_slotTimes.end() ? 0 : it->second.seconds();
}

std::map<std::string, ServiceCapacity> EndpointBook::usableCapacity() const
{
    std::map<std::string, ServiceCapacity> capacities;
    for (const auto& [service, endpoints] : m_endpointsByService) {
        auto& sum = capacities[service];
        for (const auto& it : endpoints) {
            // A backoff concerns this node alone and ends soon: it is no loss of capacity.
            if (!isExpectedToServe(it->listed.life()))
                continue;
            ++sum.endpoints;
            sum.slots += it->listed.slots;
            sum.inFlight += it->inFlight + it->peersInFlight;
        }
    }
    return capacities;
}

std::optional<ChosenEndpoint> EndpointBook::choose(const EndpointRequest& request, SteadyTime now) const
{
    auto found = m_endpointsByService.find(request.service);
    if (found == m_endpointsByService.end())
        return std::nullopt;
    std::vector<std::shared_ptr<EndpointState>> usable;
    std::vector<std::shared_ptr<EndpointState>> excludedForFailures;
    for (const auto& it : found->second) {
        if (isCandidate(*it, request, now))
            (it->health.isUsable(now) && m_speeds.isUsable(it->shortName, now) ? usable : excludedForFailures).push_back(it);
    }
    // If every endpoint is excluded for failures, the cause is probably not the endpoints, so they are used anyway.
    if (usable.empty())
        usable = std::move(excludedForFailures);
    if (request.needsFreeSlot)
        std::erase_if(usable, [](const auto& it) { return it->inFlight + it->peersInFlight >= it->listed.slots; });
    keepOnlyWantedVersion(usable, request.versions);
    if (request.spreadBy != 0)
        keepOneBySlots(usable, request);
    auto chains = chainHashes(request.parts);
    // The last part belongs to the request itself or to its session; the parts before it may be shared with other requests.
    auto key = chains.size() > 1 ? chains[chains.size() - 2] : (chains.empty() ? 0 : chains.back());
    ChoiceRequest wanted { .promptTokens = request.promptTokens,
        .slotSeconds = slotSeconds(request.service),
        .earlyEnoughSeconds = request.objectiveSeconds * earlyEnoughFraction,
        .objectiveSeconds = request.objectiveSeconds,
        .pauseObjectiveSeconds = request.pauseObjectiveSeconds };
    for (std::size_t n = 0; n + 1 < request.parts.size(); ++n)
        wanted.sharedTokens += request.parts[n].tokens;
    std::vector<ChoiceCandidate> candidates;
    candidates.reserve(usable.size());
    for (const auto& it : usable) {
        candidates.push_back({
            .slots = it->listed.slots,
            .inFlight = it->inFlight + it->peersInFlight,
            .waitingTokens = waitingTokens(*it, now),
            .cachedTokens = it->prefixes.cachedTokens(request.parts),
            .rank = mixHash(hashText(it->listed.id), key),
            .sameZone = it->listed.zone == m_zone,
            .slowness = m_speeds.firstEventRatio(it->shortName, now),
            .lastingSlowness = m_speeds.lastingFirstEventRatio(it->shortName),
            .expectedPauseSeconds = request.pauseObjectiveSeconds > 0 ? expectedPauseSeconds(*it, now) : 0,
        });
    }
    auto choice = chooseEndpoint(candidates, wanted, m_options);
    if (!choice)
        return std::nullopt;
    return ChosenEndpoint { .endpoint = usable[choice->candidate],
        .expectedSeconds = choice->expectedSeconds,
        .unqueuedSeconds = choice->unqueuedSeconds,
        .leastWaitSeconds = choice->leastWaitSeconds,
        .uncachedTokens = choice->uncachedTokens,
        .isCacheKnown = candidates[choice->candidate].cachedTokens >= wanted.sharedTokens,
        .waitingTokens = candidates[choice->candidate].waitingTokens,
        .slowness = candidates[choice->candidate].slowness,
        .isSlotFree = candidates[choice->candidate].inFlight < candidates[choice->candidate].slots,
        .reason = choice->reason };
}

EndpointSlots EndpointBook::slots(const EndpointRequest& request, SteadyTime now) const
{
    auto found = m_endpointsByService.find(request.service);
    if (found == m_endpointsByService.end())
        return {};
    EndpointSlots usable;
    EndpointSlots excludedForFailures;
    for (const auto& it : found->second) {
        if (!isCandidate(*it, request, now))
            continue;
        auto& sum = it->health.isUsable(now) && m_speeds.isUsable(it->shortName, now) ? usable : excludedForFailures;
        ++sum.endpoints;
        sum.total += it->listed.slots;
        sum.own += it->inFlight;
        sum.free += std::max(0.0, it->listed.slots - it->inFlight - it->peersInFlight);
    }
    return usable.endpoints > 0 ? usable : excludedForFailures;
}

bool EndpointBook::areTimesTrusted(SteadyTime now) const
{
    return m_firstEvents.isTrusted() || (m_firstSentAt != SteadyTime {} && now - m_firstSentAt >= trustedAfter);
}

void EndpointBook::noteSent(const EndpointRequest& request, EndpointState& endpoint, SteadyTime now)
{
    if (m_firstSentAt == SteadyTime {} && request.promptTokens > 0)
        m_firstSentAt = now;
    m_speeds.onSent(endpoint.shortName, now);
    if (!request.parts.empty())
        endpoint.prefixes.touch(request.parts, memoryTokens(request.service));
}

std::vector<EndpointLoadReport> EndpointBook::ownLoads() const
{
    std::vector<EndpointLoadReport> loads;
    for (const auto& [life, state] : m_endpoints) {
        if (state->inFlight > 0)
            loads.push_back({ .endpoint = life, .inFlight = static_cast<double>(state->inFlight), .waitingTokens = state->waitingTokens });
    }
    return loads;
}

double EndpointBook::waitingTokens(const EndpointState& state, SteadyTime now) const
{
    auto rate = m_firstEvents.secondsPerToken();
    if (rate <= 0)
        return state.waitingTokens + state.peersWaitingTokens;
    auto tokensReadSince = std::chrono::duration<double>(now - state.peerLoadsAt).count() / rate;
    auto announcedTokens = std::chrono::duration<double>(state.peersPrefillEndsAt - now).count() / rate;
    // A prompt announced by a PrefillNotice is also counted in the sender's next row: take the larger value instead of adding both.
    return state.waitingTokens + std::max({ 0.0, state.peersWaitingTokens - tokensReadSince, announcedTokens });
}

void EndpointBook::onPeerPrefill(const EndpointIncarnation& life, double tokens, SteadyTime now)
{
    auto it = m_endpoints.find(life);
    if (it == m_endpoints.end())
        return;
    auto duration = std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(prefillSeconds(tokens)));
    it->second->peersPrefillEndsAt = std::max(it->second->peersPrefillEndsAt, now) + duration;
}

void EndpointBook::setPeerLoads(const std::map<EndpointIncarnation, EndpointLoadReport>& loads, SteadyTime now)
{
    for (const auto& it : m_loadedByPeers) {
        it->peersInFlight = 0;
        it->peersWaitingTokens = 0;
    }
    m_loadedByPeers.clear();
    for (const auto& [life, load] : loads) {
        auto it = m_endpoints.find(life);
        if (it == m_endpoints.end())
            continue;
        it->second->peersInFlight = load.inFlight;
        it->second->peersWaitingTokens = load.waitingTokens;
        it->second->peerLoadsAt = now;
        m_loadedByPeers.push_back(it->second);
    }
}

void EndpointBook::observeFirstEvent(double uncachedTokens, double seconds)
{
    m_firstEvents.observe(uncachedTokens, seconds);
    m_options.fixedSeconds = m_firstEvents.fixedSeconds();
    m_options.secondsPerToken = m_firstEvents.secondsPerToken();
}

void EndpointBook::observeFirstEvent(const ChosenEndpoint& chosen, double seconds, SteadyTime now)
{
    auto name = chosen.endpoint->shortName;
    auto ratio = m_speeds.firstEventRatio(name, now);
    if (chosen.isCacheKnown) {
        if (m_knownFirstEvents.isTrusted())
            m_speeds.observeFirstEvent(name, seconds, m_knownFirstEvents.seconds(chosen.uncachedTokens), now);
        m_knownFirstEvents.observe(chosen.uncachedTokens, seconds / ratio);
    }
    observeFirstEvent(chosen.uncachedTokens, seconds / ratio);
}

void EndpointBook::observePause(const EndpointState& endpoint, double seconds, SteadyTime now)
{
    if (!m_speeds.isEnabled())
        return;
    auto& model = m_pauses.try_emplace(endpoint.listed.service, pauseModelOptions()).first->second;
    auto streams = endpoint.inFlight + endpoint.peersInFlight;
    auto ratio = m_speeds.pauseRatio(endpoint.shortName, now);
    if (model.isTrusted())
        m_speeds.observePause(endpoint.shortName, seconds, model.seconds(streams), now);
    model.observe(streams, seconds / ratio);
}

double EndpointBook::expectedPauseSeconds(const EndpointState& endpoint, SteadyTime now) const
{
    auto it = m_pauses.find(endpoint.listed.service);
    if (it == m_pauses.end() || !it->second.isTrusted())
        return 0;
    return it->second.seconds(endpoint.inFlight + endpoint.peersInFlight + 1) * m_speeds.pauseRatio(endpoint.shortName, now);
}

const EndpointState* EndpointBook::findByShortName(ShortName name) const
{
    auto it = m_endpointsByShortName.find(name);
    return it == m_endpointsByShortName.end() ? nullptr : it->second.get();
}

EndpointBook::Flight::Flight(std::shared_ptr<EndpointState> endpoint, double waitingTokens)
    : m_endpoint(std::move(endpoint))
    , m_waitingTokens(waitingTokens)
{
    ++m_endpoint->inFlight;
    m_endpoint->waitingTokens += m_waitingTokens;
}

EndpointBook::Flight::~Flight() { release(); }

EndpointBook::Flight::Flight(Flight&& other) noexcept
    : m_endpoint(std::move(other.m_endpoint))
    , m_waitingTokens(other.m_waitingTokens)
{
    other.m_endpoint.reset();
}

EndpointBook::Flight& EndpointBook::Flight::operator=(Flight&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    m_endpoint = std::move(other.m_endpoint);
    m_waitingTokens = other.m_waitingTokens;
    other.m_endpoint.reset();
    return *this;
}

void EndpointBook::Flight::prefilled()
{
    if (m_endpoint)
        m_endpoint->waitingTokens = std::max(0.0, m_endpoint->waitingTokens - m_waitingTokens);
    m_waitingTokens = 0;
}

void EndpointBook::Flight::release()
{
    if (!m_endpoint)
        return;
    prefilled();
    --m_endpoint->inFlight;
    m_endpoint.reset();
}

} // namespace Onyxnotch
