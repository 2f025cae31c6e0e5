// What is noted of a request and its tries: for later choices, for versions on trial, for suspects, and in the log.
#include "modules/forward/exchange.h"

#include "core/log.h"
#include "core/net/http_status.h"
#include "modules/forward/answer_notice.h"

namespace Onyxnotch {

namespace {

    // Never shorter, and longer by up to a tenth.
    Milliseconds spread(Milliseconds time, std::mt19937_64& random)
    {
        constexpr double most = 1.1;
        return std::chrono::ceil<Milliseconds>(time * std::uniform_real_distribution<double>(1, most)(random));
    }

} // namespace

void Exchange::noteVersionSent(const ListedEndpoint& endpoint)
{
    m_firstEventAt = {};
    m_isTrial = m_context.options.rollouts && m_context.versions.isMixed(m_service->name);
    if (m_isTrial)
        m_context.versions.onSent({ .service = m_service->name, .version = endpoint.version, .route = m_route->name });
}

// Only answers are evidence of a version: an endpoint that crashed, a zone that was reclaimed or a caller that left says nothing of it.
void Exchange::noteVersionEnd(const ChosenEndpoint& chosen, TryEnd end)
{
    if (!m_context.options.rollouts)
        return;
    auto now = steadyNow();
    bool isStream = m_firstEventAt != SteadyTime {};
    AnswerTimes times {
        .firstSeconds = std::chrono::duration<double>((isStream ? m_firstEventAt : now) - m_sentAt).count(),
        .expectedSeconds = isStream ? chosen.expectedSeconds : 0,
        .restSeconds = isStream ? std::chrono::duration<double>(now - m_firstEventAt).count() : 0,
        .restEvents = isStream ? static_cast<unsigned>(m_events.events()) : 0,
    };
    bool isSlow = end == TryEnd::Delivered && m_context.pace.isSlow(m_route->name, times);
    if (m_isTrial) {
        bool isBad = end == TryEnd::FailedAnswer || isSlow;
        m_context.versions.onEnd({ .service = m_service->name, .version = chosen.endpoint->listed.version, .route = m_route->name }, end == TryEnd::Delivered && !isSlow, isBad);
    }
    bool isKnownVersion = !m_context.versions.isOnTrial(m_service->name, chosen.endpoint->listed.version);
    if (end == TryEnd::Delivered && isKnownVersion)
        m_context.pace.observe(m_route->name, times);
}

void Exchange::noteFirstEvent(const ChosenEndpoint& chosen)
{
    auto seconds = std::chrono::duration<double>(steadyNow() - m_sentAt).count();
    if (m_firstEventMilliseconds < 0)
        m_context.demand.onFirstEvent(m_service->name);
    m_firstEventMilliseconds = toMilliseconds(steadyNow() - m_request.arrivedAt).count();
    m_firstEventAt = steadyNow();
    m_flight->prefilled();
    // Only a request that found nothing waiting, and that nothing came beside, tells how fast a prompt is read.
    if (m_waitingTokens == 0 && m_context.endpoints.waitingTokens(*chosen.endpoint, steadyNow()) == 0)
        m_context.endpoints.observeFirstEvent(chosen.uncachedTokens, seconds);
}

void Exchange::noteChoice(const ChosenEndpoint& chosen)
{
    m_lastEndpoint = chosen.endpoint->listed.id;
    m_choiceReason = chosen.reason;
    m_expectedMilliseconds = static_cast<long>(chosen.expectedSeconds * 1000);
    m_unqueuedMilliseconds = static_cast<long>(chosen.unqueuedSeconds * 1000);
    m_uncachedTokens = static_cast<long>(chosen.uncachedTokens);
    m_waitingTokens = static_cast<long>(chosen.waitingTokens);
}

// What the end of a try says of the request. An endpoint that announced its leave, or is no longer listed, ends without anybody's fault.
void Exchange::noteLife(const EndpointCall& call, const ListedEndpoint& endpoint, TryEnd end)
{
    auto& suspects = m_context.suspects;
    auto life = hashOf(endpoint.life());
    auto now = steadyNow();
    bool isAnswered = (end == TryEnd::Delivered || end == TryEnd::CallerLeft) && call.whole() && call.head().status / 100 == 2;
    if (isAnswered)
        suspects.onAnswered(digest(), life, m_sentAt, now);
    else if (call.lost() && m_context.endpoints.isExpectedToLive(endpoint.life()))
        suspects.onLost(digest(), life, now);
    else if (end == TryEnd::OutOfTime || end == TryEnd::CallerLeft)
        suspects.onLeft(digest(), life, now);
    else
        suspects.onEnded(digest(), life);
    if (suspects.takeHasNews() && m_context.tellSuspects)
        m_context.tellSuspects();
}

// What an endpoint says of itself in an answer. An answer that says that another endpoint has the address says nothing of the one that
// was meant.
void Exchange::noteHead(const ListedEndpoint& endpoint, const HttpHead& head)
{
    m_answerStatus = head.status;
    m_answerNamesLimit = false;
    if (head.status == HttpStatus::misdirected)
        return;
    auto notice = readNotice(head, m_context.options.names);
    m_answerNamesLimit = notice.namesLimit;
    if (notice == AnswerNotice {})
        return;
    heedNotice(endpoint.life(), notice);
    countNotice(notice);
    writeNoticeLog(endpoint, notice);
}

// Its own word binds at once, while a stream's body still runs and whatever becomes of the answer. The store's list may be late by as long
// as the store is away. What others have told already is not told on.
void Exchange::heedNotice(const EndpointLife& life, const AnswerNotice& notice)
{
    auto now = steadyNow();
    if (notice.leaves && !m_context.endpoints.isLeaving(life))
        m_context.endpoints.foundLeaving(life, now);
    // Callers come from many nodes: they had better not all return to it in the same moment.
    if (notice.rest)
        m_context.endpoints.askedRest(life, spread(*notice.rest, m_context.random), now);
    if (notice.limitPerSecond)
        heedLimit(life, *notice.limitPerSecond);
}

// An answer that names none ends a limit, if its request was sent after the last answer that named it.
void Exchange::heedLimit(const EndpointLife& life, double perSecond)
{
    auto& limits = m_context.endpoints.limits();
    if (perSecond >= unlimitedPerSecond && !limits.knows(life))
        return;
    auto now = steadyNow();
    LimitWord word { .endpoint = life, .perSecond = std::min(perSecond, unlimitedPerSecond), .sentAt = m_context.trueMilliseconds(m_sentAt), .heardAt = m_context.trueMilliseconds(now) };
    if (!limits.hear(word, now))
        return;
    if (m_context.noticeLines.take(now))
        logEvent(LogLevel::Info, "endpoint_limit", { { "request_id", m_requestId }, { "endpoint", life.id }, { "born", life.born }, { "per_s", limits.perSecond(life).value_or(-1) } });
    if (m_context.tellLimits)
        m_context.tellLimits();
}

void Exchange::countNotice(const AnswerNotice& notice)
{
    auto count = [&](bool is, std::string_view kind) {
        if (is)
            m_context.metrics.increment("onyxnotch_entry_endpoint_notices_total", { { "kind", std::string(kind) } });
    };
    count(notice.leaves, "leaves");
    count(notice.rest.has_value(), "rest");
    count(notice.namesLimit, "limit");
    count(!notice.isUnderstood, "not_understood");
    count(!notice.unknownField.empty(), "unknown_field");
}

void Exchange::writeNoticeLog(const ListedEndpoint& endpoint, const AnswerNotice& notice)
{
    if (!m_context.noticeLines.take(steadyNow()))
        return;
    logEvent(LogLevel::Info, "endpoint_notice",
        { { "request_id", m_requestId }, { "endpoint", endpoint.id }, { "born", endpoint.born }, { "status", m_answerStatus }, { "leaves", notice.leaves ? 1 : 0 }, { "rest_ms", notice.rest ? notice.rest->count() : -1L }, { "limit_per_s", notice.limitPerSecond.value_or(-1) }, { "understood", notice.isUnderstood ? 1 : 0 }, { "unknown_field", notice.unknownField } });
}

// A request that waited for a slot does not tell how long it held it.
void Exchange::noteSlotTime(const ChosenEndpoint& chosen)
{
    if (chosen.slotFree)
        m_context.endpoints.observeSlot(m_service->name, std::chrono::duration<double>(steadyNow() - m_sentAt).count());
}

// A try that did not deliver: what the next decision follows from.
void Exchange::writeTryLog(const EndpointState& endpoint, TryEnd end)
{
    m_context.metrics.increment("onyxnotch_failed_tries_total", { { "end", std::string(nameOf(end)) } });
    if (!m_context.failedLines.take(steadyNow()))
        return;
    logEvent(LogLevel::Info, "try_failed",
        { { "request_id", m_requestId }, { "digest", digest().text() }, { "endpoint", endpoint.listed.id }, { "end", nameOf(end) }, { "status", m_answerStatus }, { "choice", m_choiceReason }, { "ended_endpoints", m_context.suspects.endedLives(digest()) }, { "try", m_fate.tries() }, { "expected_ms", m_expectedMilliseconds },
            { "ms", toMilliseconds(steadyNow() - m_sentAt).count() }, { "events", m_events.events() }, { "endpoints_revision", m_endpointsRevision } });
}

void Exchange::noteOutcome(EndpointState& endpoint, TryEnd end)
{
    if (end != TryEnd::Delivered)
        writeTryLog(endpoint, end);
    switch (end) {
    case TryEnd::Delivered:
        endpoint.health.onSuccess();
        return;
    case TryEnd::NotSent:
        endpoint.health.onUnreachable(steadyNow());
        return;
    case TryEnd::MayHaveRun:
    case TryEnd::StreamBroken:
    case TryEnd::FailedAnswer:
    case TryEnd::OutOfTime:
        endpoint.health.onFailure(steadyNow());
        return;
    case TryEnd::NotRun:
        if (HttpStatus::turnsAway(m_answerStatus))
            endpoint.health.onTurnedAway(steadyNow());
        return;
    case TryEnd::NoConnectionLeft:
    case TryEnd::Unwanted:
    case TryEnd::Withheld:
    case TryEnd::CallerLeft:
        return;
    }
}

void Exchange::countRun()
{
    if (m_team && m_events.events() == 0)
        m_context.usage.count(m_team->name, m_context.trueMilliseconds());
}

void Exchange::writeLog(int status, std::string_view outcome)
{
    auto now = steadyNow();
    m_context.metrics.increment("onyxnotch_entry_requests_total", { { "outcome", std::string(outcome) } });
    auto seconds = std::chrono::duration<double>(now - m_request.arrivedAt).count();
    m_context.metrics.observeSeconds("onyxnotch_entry_request_seconds", seconds, {});
    if (m_firstEventMilliseconds >= 0)
        m_context.metrics.observeSeconds("onyxnotch_entry_first_event_seconds", static_cast<double>(m_firstEventMilliseconds) / 1000, {});
    auto& budget = status / 100 == 2 && outcome != "stream_cut" ? m_context.answeredLines : m_context.failedLines;
    if (!budget.take(now))
        return;
    logEvent(LogLevel::Info, "request",
        { { "request_id", m_requestId }, { "digest", digest().text() }, { "route", m_route ? std::string_view(m_route->name) : std::string_view() },
            { "team", m_team ? std::string_view(m_team->name) : std::string_view() }, { "endpoint", m_lastEndpoint }, { "choice", m_choiceReason },
            { "expected_ms", m_expectedMilliseconds }, { "unqueued_ms", m_unqueuedMilliseconds }, { "uncached_tokens", m_uncachedTokens }, { "waiting_tokens", m_waitingTokens }, { "endpoints_revision", m_endpointsRevision },
            { "configuration", m_configuration ? m_configuration->version() : 0UL }, { "tokens", m_wantedTokens }, { "limit_per_s", m_team ? static_cast<long>(m_team->ratePerSecond) : 0L }, { "tries", m_fate.tries() }, { "status", status }, { "outcome", outcome }, { "objective_ms", m_route ? m_route->objective.count() : 0L },
            { "ms", toMilliseconds(now - m_request.arrivedAt).count() }, { "first_event_ms", m_firstEventMilliseconds }, { "events", m_events.events() }, { "left_ms", m_route ? timeLeft().count() : 0L } });
}

} // namespace Onyxnotch
