#include "modules/suspects/suspect_tracker.h"

#include <algorithm>
#include <utility>

namespace Onyxnotch {

namespace {

    std::uint64_t hashOf(const RequestDigest& request) { return request.content ^ (std::uint64_t(request.team) << 32U); }

    std::uint32_t secondsBetween(SteadyTime from, SteadyTime to)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::seconds>(to - from).count()));
    }

    std::uint32_t millisecondsBetween(SteadyTime from, SteadyTime to) { return static_cast<std::uint32_t>(std::max<std::int64_t>(0, toMilliseconds(to - from).count())); }

    // Evicts entries if there are more than `most`, down to 7/8 of `most` so that the cost per insertion stays low. Entries with the most
    // newer entries of the same team go first: a team with many entries loses its own oldest ones and evicts none of other teams.
    template <typename Entries, typename TimeOf>
    void dropOldest(Entries& entries, std::size_t most, TimeOf timeOf)
    {
        if (entries.size() <= most)
            return;
        std::map<std::uint32_t, std::vector<std::pair<SteadyTime, RequestDigest>>> ofTeams;
        for (const auto& [request, entry] : entries)
            ofTeams[request.team].emplace_back(timeOf(entry), request);
        // Ranked by the number of newer entries of the same team.
        std::vector<std::pair<std::size_t, RequestDigest>> ranked;
        for (auto& [team, requests] : ofTeams) {
            std::sort(requests.rbegin(), requests.rend());
            for (std::size_t n = 0; n < requests.size(); ++n)
                ranked.emplace_back(n, requests[n].second);
        }
        std::sort(ranked.rbegin(), ranked.rend());
        ranked.resize(entries.size() - most + most / 8);
        for (const auto& [newer, request] : ranked)
            entries.erase(request);
    }

} // namespace

SuspectTracker::SuspectTracker(SuspectOptions options)
    : m_options(std::move(options))
    , m_goodAnswers(m_options.goodAnswerSlots)
{
}

std::size_t SuspectTracker::slotOf(const RequestDigest& request) const { return hashOf(request) % m_goodAnswers.size(); }

bool SuspectTracker::wasAnsweredWell(const RequestDigest& request, SteadyTime now) const
{
    const auto& known = m_goodAnswers[slotOf(request)];
    return known.at != SteadyTime {} && known.request == request && now - known.at < m_options.goodAnswerValidity;
}

bool SuspectTracker::sawAnsweredWell(const RequestDigest& request, SteadyTime now) const { return wasAnsweredWell(request, now) && m_goodAnswers[slotOf(request)].seenHere; }

bool SuspectTracker::runs(const RequestDigest& request) const { return m_running.contains(request); }

Milliseconds SuspectTracker::blockDuration(const Blocked& blocked) const { return m_options.blockedFor * (1U << std::min<unsigned>(blocked.round, m_options.maxDoublings)); }

SteadyTime SuspectTracker::trialAt(const RequestDigest& request, const Blocked& blocked) const
{
    constexpr unsigned parts = 1000;
    auto wait = blockDuration(blocked);
    return blocked.since + wait + wait * (fastHash(m_options.node + request.text()) % parts) / parts;
}

// Earliest trial time of any node. One second is subtracted because nodes report the age of a block in whole seconds.
SteadyTime SuspectTracker::firstTrialAt(const Blocked& blocked) const { return blocked.since + blockDuration(blocked) - std::chrono::seconds(1); }

// By then every node could have tried the request, and no client sent it.
SteadyTime SuspectTracker::expiresAt(const Blocked& blocked) const { return blocked.since + blockDuration(blocked) * 3; }

bool SuspectTracker::isOnTrial(const RequestDigest& request, const Blocked& blocked, SteadyTime now) const { return now >= trialAt(request, blocked); }

SuspectVerdict SuspectTracker::verdict(const RequestDigest& request, SteadyTime now) const
{
    auto blocked = m_blocked.find(request);
    if (blocked != m_blocked.end())
        return isOnTrial(request, blocked->second, now) ? SuspectVerdict::OneAtATime : SuspectVerdict::Blocked;
    auto suspect = m_suspects.find(request);
    // A request that was answered well shortly before may come from many clients. It isn't restricted, as the endpoints may have ended
    // for other reasons.
    bool isFree = suspect == m_suspects.end() || suspect->second.isKnownGood || suspect->second.countedEnds.size() < m_options.livesUntilOneAtATime;
    return isFree ? SuspectVerdict::Free : SuspectVerdict::OneAtATime;
}

bool SuspectTracker::maySend(const RequestDigest& request, SteadyTime now) const
{
    switch (verdict(request, now)) {
    case SuspectVerdict::Free:
        return true;
    case SuspectVerdict::OneAtATime:
        return !runs(request);
    case SuspectVerdict::Blocked:
        return false;
    }
    return false;
}

bool SuspectTracker::isRetryAllowed(const RequestDigest& request, SteadyTime now) const
{
    if (!maySend(request, now) || m_blocked.contains(request))
        return false;
    auto suspect = m_suspects.find(request);
    return suspect == m_suspects.end() || suspect->second.countedEnds.size() < m_options.livesUntilOneTry;
}

unsigned SuspectTracker::endedIncarnations(const RequestDigest& request) const
{
    auto it = m_suspects.find(request);
    return it == m_suspects.end() ? 0 : static_cast<unsigned>(it->second.incarnations.size());
}

Milliseconds SuspectTracker::remainingBlockTime(const RequestDigest& request, SteadyTime now) const
{
    auto it = m_blocked.find(request);
    return it == m_blocked.end() ? Milliseconds(0) : std::max(Milliseconds(0), toMilliseconds(trialAt(request, it->second) - now));
}

void SuspectTracker::onSent(const RequestDigest& request, std::uint64_t life, std::uint16_t zone)
{
    ++m_running[request];
    m_sentRequests[life].push_back({ .request = request, .zone = zone });
}

// Removes one running copy of the request at that incarnation; it doesn't matter which. Does nothing if there is none, as the same end
// may be reported twice.
EndReport SuspectTracker::removeRunning(const RequestDigest& request, std::uint64_t life)
{
    EndReport report { .request = request, .life = life };
    auto sentRequests = m_sentRequests.find(life);
    if (sentRequests == m_sentRequests.end())
        return report;
    auto& all = sentRequests->second;
    auto it = std::find_if(all.begin(), all.end(), [&](const auto& one) { return !one.abandonedAt && one.request == request; });
    if (it == all.end())
        return report;
    report.zone = it->zone;
    all.erase(it);
    if (all.empty())
        m_sentRequests.erase(sentRequests);
    auto running = m_running.find(request);
    if (--running->second == 0)
        m_running.erase(running);
    return report;
}

void SuspectTracker::onAnswered(const RequestDigest& request, std::uint64_t life, SteadyTime sentAt, SteadyTime now)
{
    removeRunning(request, life);
    auto& known = m_goodAnswers[slotOf(request)];
    if (known.request != request || !known.seenHere || known.at < sentAt)
        known = { .request = request, .at = sentAt, .seenHere = true };
    auto suspect = m_suspects.find(request);
    bool isSuspected = suspect != m_suspects.end() || m_blocked.contains(request);
    // A known good request may continue to end endpoints. An answer then still counts against the ends before the answered copy was sent.
    bool countsAgainstEnds = suspect == m_suspects.end() || suspect->second.lastEndAt <= sentAt || (suspect->second.isKnownGood && suspect->second.hasEndsBefore(sentAt));
    if (isSuspected && countsAgainstEnds)
        clear(request, sentAt, true, now);
}

void SuspectTracker::onEnded(const RequestDigest& request, std::uint64_t life) { removeRunning(request, life); }

void SuspectTracker::onLeft(const RequestDigest& request, std::uint64_t life, SteadyTime now)
{
    auto report = removeRunning(request, life);
    if (m_removedIncarnations.contains(life))
        suspect(report, true, now);
    else
        m_sentRequests[life].push_back({ .request = request, .zone = report.zone, .abandonedAt = now });
}

void SuspectTracker::onLost(const RequestDigest& request, std::uint64_t life, SteadyTime now)
{
    suspect(removeRunning(request, life), true, now);
    // Copies that still run there will lose their own connections.
    suspectAbandoned(life, m_options.abandonedBlamePeriod, now);
}

void SuspectTracker::onIncarnationRemoved(std::uint64_t life, SteadyTime now)
{
    m_removedIncarnations[life] = now;
    suspectAbandoned(life, m_options.abandonedSuspectPeriod, now);
}

void SuspectTracker::suspectAbandoned(std::uint64_t life, Milliseconds within, SteadyTime now)
{
    auto sentRequests = m_sentRequests.find(life);
    if (sentRequests == m_sentRequests.end())
        return;
    for (const auto& it : sentRequests->second) {
        if (it.abandonedAt && now - *it.abandonedAt <= within)
            suspect({ .request = it.request, .life = life, .zone = it.zone }, true, now);
    }
}

void SuspectTracker::suspect(const EndReport& report, bool foundHere, SteadyTime now)
{
    const auto& [request, life, zone] = report;
    if (m_options.livesUntilBlocked == 0)
        return;
    if (sawAnsweredWell(request, now))
        markKnownGood(request, true, now);
    auto& suspect = m_suspects[request];
    updateKnownGood(request, suspect, now);
    bool isNew = suspect.incarnations.emplace(life, zone).second;
    if (foundHere && suspect.found.try_emplace(life, now).second)
        m_hasUpdate = true;
    // An end that wasn't counted while the request was known good is counted once it is found again and the request no longer is.
    bool counts = isNew ? !suspect.isKnownGood || isSeparateMoment(suspect, life, now) : foundHere && !suspect.isKnownGood;
    if (isNew)
        suspect.lastEndAt = now;
    if (!counts || !suspect.countedEnds.emplace(life, now).second)
        return;
    m_relayDue = m_relayDue || suspect.incarnations.size() >= m_options.livesUntilOneAtATime;
    auto blocked = m_blocked.find(request);
    bool trialFailed = blocked != m_blocked.end() && foundHere && isOnTrial(request, blocked->second, now);
    if (trialFailed || (blocked == m_blocked.end() && mustBlock(suspect)))
        block(request, suspect, now);
    evictOldest();
}

bool SuspectTracker::isSeparateMoment(const Suspect& suspect, std::uint64_t life, SteadyTime at) const
{
    auto zone = suspect.incarnations.at(life);
    return std::none_of(suspect.countedEnds.begin(), suspect.countedEnds.end(), [&](const auto& it) { return suspect.incarnations.at(it.first) == zone && at - it.second < m_options.momentDuration; });
}

void SuspectTracker::updateKnownGood(const RequestDigest& request, Suspect& suspect, SteadyTime now) const
{
    bool wasKnownGoodBefore = std::exchange(suspect.isKnownGood, wasAnsweredWell(request, now));
    if (wasKnownGoodBefore || !suspect.isKnownGood)
        return;
    std::vector<std::pair<SteadyTime, std::uint64_t>> all;
    for (const auto& [life, at] : std::exchange(suspect.countedEnds, {}))
        all.emplace_back(at, life);
    std::sort(all.begin(), all.end());
    for (const auto& [at, life] : all) {
        if (isSeparateMoment(suspect, life, at))
            suspect.countedEnds.emplace(life, at);
    }
}

bool SuspectTracker::mustBlock(const Suspect& suspect) const
{
    return suspect.countedEnds.size() >= (suspect.isKnownGood ? m_options.momentsUntilBlocked : m_options.livesUntilBlocked);
}

void SuspectTracker::block(const RequestDigest& request, Suspect& suspect, SteadyTime now)
{
    auto [it, isNew] = m_blocked.try_emplace(request);
    it->second.round = static_cast<std::uint16_t>(isNew ? 0 : it->second.round + 1);
    it->second.since = now;
    it->second.wasKnownGood = suspect.isKnownGood;
    m_hasUpdate = true;
    if (!suspect.found.empty())
        m_newlyBlocked.push_back({ .request = request, .round = it->second.round });
}

void SuspectTracker::onPeerBlocked(const BlockedRequest& update, SteadyTime now)
{
    // The reporting node doesn't know yet that the request was cleared, or that it was answered well shortly before.
    if (isCleared(update.request))
        return;
    if (!update.wasKnownGood && wasAnsweredWell(update.request, now)) {
        if (sawAnsweredWell(update.request, now))
            markKnownGood(update.request, true, now);
        return;
    }
    auto since = now - std::chrono::seconds(update.ageSeconds);
    auto [it, isNew] = m_blocked.try_emplace(update.request, Blocked { .round = update.round, .since = since, .wasKnownGood = update.wasKnownGood });
    m_relayDue = m_relayDue || isNew;
    it->second.wasKnownGood = it->second.wasKnownGood || update.wasKnownGood;
    if (isNew || update.round < it->second.round)
        return;
    if (update.round > it->second.round)
        it->second = { .round = update.round, .since = since, .wasKnownGood = update.wasKnownGood };
    else
        it->second.since = std::min(it->second.since, since);
}

void SuspectTracker::unblock(const RequestDigest& request, bool foundHere)
{
    auto suspect = m_suspects.find(request);
    bool wasBlockedHere = suspect != m_suspects.end() && !suspect->second.found.empty();
    if (m_blocked.erase(request) > 0 && (wasBlockedHere || foundHere))
        m_newlyCleared.push_back(request);
}

void SuspectTracker::rememberGoodAnswer(const RequestDigest& request, SteadyTime sentAt, SteadyTime now)
{
    if (!wasAnsweredWell(request, now))
        m_goodAnswers[slotOf(request)] = { .request = request, .at = sentAt };
}

bool SuspectTracker::isCleared(const RequestDigest& request) const
{
    auto it = m_cleared.find(request);
    return it != m_cleared.end() && it->second.isFullyCleared;
}

// If the request is known good, only its oldest ends are removed: one answer counts against a limited number of ends.
void SuspectTracker::removeEndsBefore(Suspect& suspect, SteadyTime sentAt) const
{
    std::vector<std::pair<SteadyTime, std::uint64_t>> removable;
    for (const auto& [life, at] : suspect.countedEnds) {
        if (at <= sentAt)
            removable.emplace_back(at, life);
    }
    std::sort(removable.begin(), removable.end());
    if (suspect.isKnownGood && removable.size() > m_options.endsClearedPerAnswer)
        removable.resize(m_options.endsClearedPerAnswer);
    for (const auto& [at, life] : removable)
        suspect.countedEnds.erase(life);
}

bool SuspectTracker::clearEndsBefore(const RequestDigest& request, SteadyTime sentAt, bool foundHere, SteadyTime now)
{
    auto suspect = m_suspects.find(request);
    auto blocked = m_blocked.find(request);
    // While the request is blocked only trials are sent, so one good answer to a trial clears all ends.
    bool wasTrial = blocked != m_blocked.end() && sentAt >= firstTrialAt(blocked->second);
    if (suspect != m_suspects.end() && !wasTrial) {
        updateKnownGood(request, suspect->second, now);
        removeEndsBefore(suspect->second, sentAt);
        if (suspect->second.isKnownGood && !suspect->second.countedEnds.empty())
            return false;
    }
    unblock(request, foundHere);
    m_suspects.erase(request);
    return true;
}

void SuspectTracker::clear(const RequestDigest& request, SteadyTime sentAt, bool foundHere, SteadyTime now)
{
    rememberGoodAnswer(request, sentAt, now);
    bool isFullyCleared = clearEndsBefore(request, sentAt, foundHere, now);
    auto& cleared = m_cleared[request];
    m_hasUpdate = m_hasUpdate || (foundHere && (!cleared.foundHere || sentAt > cleared.sentAt));
    m_relayDue = true;
    cleared = { .at = now, .sentAt = std::max(cleared.sentAt, sentAt), .foundHere = cleared.foundHere || foundHere, .isFullyCleared = isFullyCleared };
}

void SuspectTracker::onPeerCleared(const ClearedRequest& update, SteadyTime now)
{
    auto sentAt = now - Milliseconds(update.sentAgoMilliseconds);
    auto known = m_cleared.find(update.request);
    // The same report may arrive by several paths with different delays, which shifts the calculated time.
    if (known == m_cleared.end() || sentAt > known->second.sentAt + m_options.momentDuration)
        clear(update.request, sentAt, false, now);
}

void SuspectTracker::markKnownGood(const RequestDigest& request, bool foundHere, SteadyTime now)
{
    auto [knownGood, isNew] = m_knownGood.try_emplace(request, GoodReport { .at = now, .sentAt = now, .foundHere = foundHere });
    if (!isNew)
        return;
    m_hasUpdate = m_hasUpdate || foundHere;
    m_relayDue = true;
    rememberGoodAnswer(request, now, now);
    auto suspect = m_suspects.find(request);
    if (suspect != m_suspects.end())
        updateKnownGood(request, suspect->second, now);
    auto blocked = m_blocked.find(request);
    if (blocked != m_blocked.end() && !blocked->second.wasKnownGood && blocked->second.round == 0)
        unblock(request, foundHere);
}

void SuspectTracker::onPeerUpdate(const SuspectUpdate& news, SteadyTime now)
{
    for (const auto& it : news.cleared)
        onPeerCleared(it, now);
    for (const auto& it : news.knownGood) {
        if (!isCleared(it))
            markKnownGood(it, false, now);
    }
    for (const auto& it : news.reports) {
        if (!isCleared(it.request))
            suspect(it, false, now);
    }
    for (const auto& it : news.blocked)
        onPeerBlocked(it, now);
    evictOldest();
}

SuspectUpdate SuspectTracker::news(SteadyTime now) { return collectUpdate(false, now); }

SuspectUpdate SuspectTracker::relayedUpdate(SteadyTime now) { return collectUpdate(true, now); }

SuspectUpdate SuspectTracker::collectUpdate(bool includePeerFindings, SteadyTime now)
{
    purgeExpired(now);
    SuspectUpdate update;
    for (const auto& [request, suspect] : m_suspects) {
        bool all = includePeerFindings && suspect.incarnations.size() >= m_options.livesUntilOneAtATime && now - suspect.lastEndAt < m_options.reportSendPeriod;
        for (const auto& [life, zone] : suspect.incarnations) {
            auto found = suspect.found.find(life);
            if (all || (found != suspect.found.end() && now - found->second < m_options.reportSendPeriod))
                update.reports.push_back({ .request = request, .life = life, .zone = zone });
        }
    }
    for (const auto& [request, blocked] : m_blocked)
        update.blocked.push_back({ .request = request, .round = blocked.round, .ageSeconds = secondsBetween(blocked.since, now), .wasKnownGood = blocked.wasKnownGood });
    for (const auto& [request, goodReport] : m_cleared) {
        if (includePeerFindings || goodReport.foundHere)
            update.cleared.push_back({ .request = request, .sentAgoMilliseconds = millisecondsBetween(goodReport.sentAt, now) });
    }
    for (const auto& [request, goodReport] : m_knownGood) {
        if (includePeerFindings || goodReport.foundHere)
            update.knownGood.push_back(request);
    }
    truncateUpdate(update);
    return update;
}

void SuspectTracker::purgeExpired(SteadyTime now)
{
    std::erase_if(m_suspects, [&](const auto& it) { return now - it.second.lastEndAt > m_options.reportRetention; });
    for (auto* goodReports : { &m_cleared, &m_knownGood })
        std::erase_if(*goodReports, [&](const auto& it) { return now - it.second.at > m_options.clearedSendPeriod; });
    std::erase_if(m_blocked, [&](const auto& it) { return now > expiresAt(it.second); });
    std::erase_if(m_removedIncarnations, [&](const auto& it) { return now - it.second > m_options.removedRetention; });
    for (auto& [life, sentRequests] : m_sentRequests)
        std::erase_if(sentRequests, [&](const auto& it) { return it.abandonedAt && now - *it.abandonedAt > m_options.abandonedSuspectPeriod; });
    std::erase_if(m_sentRequests, [](const auto& it) { return it.second.empty(); });
}

void SuspectTracker::evictOldest()
{
    dropOldest(m_suspects, m_options.mostSuspects, [](const auto& it) { return it.lastEndAt; });
    dropOldest(m_blocked, m_options.mostBlocked, [](const auto& it) { return it.since; });
}

} // namespace Onyxnotch
