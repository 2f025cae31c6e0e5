#include "modules/suspects/suspect_book.h"

#include <algorithm>
#include <utility>

namespace Onyxnotch {

namespace {

    std::uint64_t hashOf(const RequestDigest& request) { return request.content ^ (std::uint64_t(request.team) << 32U); }

    std::uint32_t secondsBetween(SteadyTime from, SteadyTime to)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::seconds>(to - from).count()));
    }

    // Where there are too many, an eighth goes, so that making room costs little for each. A team that has many loses its own oldest ones
    // first, and so pushes out no other team's.
    template <typename Entries, typename TimeOf>
    void dropOldest(Entries& entries, std::size_t most, TimeOf timeOf)
    {
        if (entries.size() <= most)
            return;
        std::map<std::uint32_t, std::vector<std::pair<SteadyTime, RequestDigest>>> ofTeams;
        for (const auto& [request, entry] : entries)
            ofTeams[request.team].emplace_back(timeOf(entry), request);
        // By how many newer ones the team has.
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

SuspectBook::SuspectBook(SuspectOptions options)
    : m_options(std::move(options))
    , m_goodAnswers(m_options.goodAnswersKept)
{
}

std::size_t SuspectBook::slotOf(const RequestDigest& request) const { return hashOf(request) % m_goodAnswers.size(); }

bool SuspectBook::wasAnsweredWell(const RequestDigest& request, SteadyTime now) const
{
    const auto& known = m_goodAnswers[slotOf(request)];
    return known.at != SteadyTime {} && known.request == request && now - known.at < m_options.goodAnswerCounts;
}

bool SuspectBook::sawAnsweredWell(const RequestDigest& request, SteadyTime now) const { return wasAnsweredWell(request, now) && m_goodAnswers[slotOf(request)].seenHere; }

bool SuspectBook::runs(const RequestDigest& request) const { return m_running.contains(request); }

Milliseconds SuspectBook::blockedTime(const Blocked& blocked) const { return m_options.blockedFor * (1U << std::min<unsigned>(blocked.round, m_options.mostDoublings)); }

SteadyTime SuspectBook::trialAt(const RequestDigest& request, const Blocked& blocked) const
{
    constexpr unsigned parts = 1000;
    auto wait = blockedTime(blocked);
    return blocked.since + wait + wait * (fastHash(m_options.node + request.text()) % parts) / parts;
}

// Every node could have tried it, and it did not come.
SteadyTime SuspectBook::forgottenAt(const Blocked& blocked) const { return blocked.since + blockedTime(blocked) * 3; }

bool SuspectBook::isOnTrial(const RequestDigest& request, const Blocked& blocked, SteadyTime now) const { return now >= trialAt(request, blocked); }

SuspectVerdict SuspectBook::verdict(const RequestDigest& request, SteadyTime now) const
{
    auto blocked = m_blocked.find(request);
    if (blocked != m_blocked.end())
        return isOnTrial(request, blocked->second, now) ? SuspectVerdict::OneAtATime : SuspectVerdict::Blocked;
    return endedLives(request) >= m_options.livesUntilOneAtATime ? SuspectVerdict::OneAtATime : SuspectVerdict::Free;
}

bool SuspectBook::maySend(const RequestDigest& request, SteadyTime now) const
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

bool SuspectBook::maySendAgain(const RequestDigest& request, SteadyTime now) const
{
    return maySend(request, now) && !m_blocked.contains(request) && endedLives(request) < m_options.livesUntilOneTry;
}

unsigned SuspectBook::endedLives(const RequestDigest& request) const
{
    auto it = m_suspects.find(request);
    return it == m_suspects.end() ? 0 : static_cast<unsigned>(it->second.lives.size());
}

Milliseconds SuspectBook::blockedLeft(const RequestDigest& request, SteadyTime now) const
{
    auto it = m_blocked.find(request);
    return it == m_blocked.end() ? Milliseconds(0) : std::max(Milliseconds(0), toMilliseconds(trialAt(request, it->second) - now));
}

void SuspectBook::onSent(const RequestDigest& request, std::uint64_t life)
{
    ++m_running[request];
    m_present[life].push_back({ .request = request });
}

// One of those that run there; which one makes no difference. Nothing where none does: an end may be told twice.
void SuspectBook::leave(const RequestDigest& request, std::uint64_t life)
{
    auto present = m_present.find(life);
    if (present == m_present.end())
        return;
    auto& all = present->second;
    auto it = std::find_if(all.begin(), all.end(), [&](const auto& one) { return !one.leftAt && one.request == request; });
    if (it == all.end())
        return;
    all.erase(it);
    if (all.empty())
        m_present.erase(present);
    auto running = m_running.find(request);
    if (--running->second == 0)
        m_running.erase(running);
}

void SuspectBook::onAnswered(const RequestDigest& request, std::uint64_t life, SteadyTime sentAt, SteadyTime now)
{
    leave(request, life);
    auto& known = m_goodAnswers[slotOf(request)];
    if (known.request != request || !known.seenHere || known.at < sentAt)
        known = { .request = request, .at = sentAt, .seenHere = true };
    auto suspect = m_suspects.find(request);
    bool wasBefore = suspect == m_suspects.end() || suspect->second.lastAt <= sentAt;
    if (wasBefore && (suspect != m_suspects.end() || m_blocked.contains(request)))
        clear(request, true, now);
}

void SuspectBook::onEnded(const RequestDigest& request, std::uint64_t life) { leave(request, life); }

void SuspectBook::onLeft(const RequestDigest& request, std::uint64_t life, SteadyTime now)
{
    leave(request, life);
    if (m_goneLives.contains(life))
        suspect(request, life, true, now);
    else
        m_present[life].push_back({ .request = request, .leftAt = now });
}

void SuspectBook::onLost(const RequestDigest& request, std::uint64_t life, SteadyTime now)
{
    leave(request, life);
    suspect(request, life, true, now);
    // Those that still run there lose their own connections.
    suspectGivenUp(life, m_options.blamedAfter, now);
}

void SuspectBook::onLifeGone(std::uint64_t life, SteadyTime now)
{
    m_goneLives[life] = now;
    suspectGivenUp(life, m_options.presentAfter, now);
}

void SuspectBook::suspectGivenUp(std::uint64_t life, Milliseconds within, SteadyTime now)
{
    auto present = m_present.find(life);
    if (present == m_present.end())
        return;
    for (const auto& it : present->second) {
        if (it.leftAt && now - *it.leftAt <= within)
            suspect(it.request, life, true, now);
    }
}

void SuspectBook::suspect(const RequestDigest& request, std::uint64_t life, bool foundHere, SteadyTime now)
{
    if (m_options.livesUntilBlocked == 0)
        return;
    if (wasAnsweredWell(request, now)) {
        // Others may not have seen it answered.
        if (!foundHere && sawAnsweredWell(request, now))
            clear(request, true, now);
        return;
    }
    auto& suspect = m_suspects[request];
    bool isNew = suspect.lives.insert(life).second;
    if (foundHere && suspect.found.try_emplace(life, now).second)
        m_hasNews = true;
    if (!isNew)
        return;
    suspect.lastAt = now;
    m_worthRelaying = m_worthRelaying || suspect.lives.size() >= m_options.livesUntilOneAtATime;
    auto blocked = m_blocked.find(request);
    bool trialFailed = blocked != m_blocked.end() && foundHere && isOnTrial(request, blocked->second, now);
    if (trialFailed || (blocked == m_blocked.end() && suspect.lives.size() >= m_options.livesUntilBlocked))
        block(request, suspect, now);
    makeRoom();
}

void SuspectBook::block(const RequestDigest& request, Suspect& suspect, SteadyTime now)
{
    auto [it, isNew] = m_blocked.try_emplace(request);
    it->second.round = static_cast<std::uint16_t>(isNew ? 0 : it->second.round + 1);
    it->second.since = now;
    m_hasNews = true;
    if (!suspect.found.empty())
        m_newlyBlocked.push_back({ .request = request, .round = it->second.round });
}

void SuspectBook::takeBlocked(const BlockedRequest& told, SteadyTime now)
{
    if (sawAnsweredWell(told.request, now)) {
        clear(told.request, true, now);
        return;
    }
    // Told on by a node that has not heard yet that it was cleared.
    if (m_cleared.contains(told.request))
        return;
    auto since = now - std::chrono::seconds(told.ageSeconds);
    auto [it, isNew] = m_blocked.try_emplace(told.request, Blocked { .round = told.round, .since = since });
    m_worthRelaying = m_worthRelaying || isNew;
    if (isNew || told.round < it->second.round)
        return;
    if (told.round > it->second.round)
        it->second = { .round = told.round, .since = since };
    else
        it->second.since = std::min(it->second.since, since);
}

void SuspectBook::clear(const RequestDigest& request, bool foundHere, SteadyTime now)
{
    auto suspect = m_suspects.find(request);
    bool wasWrittenHere = suspect != m_suspects.end() && !suspect->second.found.empty();
    bool wasBlocked = m_blocked.erase(request) > 0;
    if (wasBlocked && (wasWrittenHere || foundHere))
        m_newlyCleared.push_back(request);
    if (suspect != m_suspects.end())
        m_suspects.erase(suspect);
    // As good as an answer seen here: this node need not suspect it again at the next end.
    if (!wasAnsweredWell(request, now))
        m_goodAnswers[slotOf(request)] = { .request = request, .at = now };
    auto& cleared = m_cleared[request];
    m_hasNews = m_hasNews || (foundHere && !cleared.foundHere);
    m_worthRelaying = true;
    cleared = { .at = now, .foundHere = cleared.foundHere || foundHere };
}

void SuspectBook::onNews(const SuspectNews& news, SteadyTime now)
{
    for (const auto& it : news.cleared) {
        if (!m_cleared.contains(it))
            clear(it, false, now);
    }
    for (const auto& it : news.reports) {
        if (!m_cleared.contains(it.request))
            suspect(it.request, it.life, false, now);
    }
    for (const auto& it : news.blocked)
        takeBlocked(it, now);
    makeRoom();
}

SuspectNews SuspectBook::news(SteadyTime now) { return gather(false, now); }

SuspectNews SuspectBook::relayedNews(SteadyTime now) { return gather(true, now); }

SuspectNews SuspectBook::gather(bool withHeard, SteadyTime now)
{
    forgetOld(now);
    SuspectNews told;
    for (const auto& [request, suspect] : m_suspects) {
        bool all = withHeard && suspect.lives.size() >= m_options.livesUntilOneAtATime && now - suspect.lastAt < m_options.reportTold;
        for (const auto& life : suspect.lives) {
            auto found = suspect.found.find(life);
            if (all || (found != suspect.found.end() && now - found->second < m_options.reportTold))
                told.reports.push_back({ .request = request, .life = life });
        }
    }
    for (const auto& [request, blocked] : m_blocked)
        told.blocked.push_back({ .request = request, .round = blocked.round, .ageSeconds = secondsBetween(blocked.since, now) });
    for (const auto& [request, cleared] : m_cleared) {
        if (withHeard || cleared.foundHere)
            told.cleared.push_back(request);
    }
    limitNews(told);
    return told;
}

void SuspectBook::forgetOld(SteadyTime now)
{
    std::erase_if(m_suspects, [&](const auto& it) { return now - it.second.lastAt > m_options.reportKept; });
    std::erase_if(m_cleared, [&](const auto& it) { return now - it.second.at > m_options.clearedTold; });
    std::erase_if(m_blocked, [&](const auto& it) { return now > forgottenAt(it.second); });
    std::erase_if(m_goneLives, [&](const auto& it) { return now - it.second > m_options.goneKept; });
    for (auto& [life, present] : m_present)
        std::erase_if(present, [&](const auto& it) { return it.leftAt && now - *it.leftAt > m_options.presentAfter; });
    std::erase_if(m_present, [](const auto& it) { return it.second.empty(); });
}

void SuspectBook::makeRoom()
{
    dropOldest(m_suspects, m_options.mostSuspects, [](const auto& it) { return it.lastAt; });
    dropOldest(m_blocked, m_options.mostBlocked, [](const auto& it) { return it.since; });
}

} // namespace Onyxnotch
