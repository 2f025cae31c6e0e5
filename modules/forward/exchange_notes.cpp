// The part of Exchange that records attempts and their outcomes: for later endpoint choices, the comparison of versions in a rollout,
// suspected requests, logs and metrics.
#include "modules/forward/exchange.h"

#include "core/log.h"
#include "core/net/http_status.h"
#include "modules/forward/endpoint_notice.h"
#include <cmath>

namespace Onyxnotch {

namespace {

    // Lengthens a duration by a random factor of up to 10 %; never shortens it.
    Milliseconds randomlyLengthened(Milliseconds time, std::mt19937_64& random)
    {
        constexpr double maximumFactor = 1.1;
        return std::chrono::ceil<Milliseconds>(time * std::uniform_real_distribution<double>(1, maximumFactor)(random));
    }

} // namespace

void Exchange::logTeamLimit()
{
    auto now = steadyNow();
    auto state = m_context.teams.state(*m_team, now);
    if (!state || !m_context.teamLimitLines.take(now))
        return;
    constexpr int permille = 1000;
    logEvent(LogLevel::Info, "team_limited",
        { { "request_id", m_requestId }, { "team", m_team->name }, { "tokens", m_teamCharge }, { "level", std::lround(state->level) }, { "unknown_to_others", std::lround(state->unknownToOthers) },
            { "unreported", std::lround(state->estimatedUnreported) }, { "share_permille", std::lround(state->share * permille) }, { "silent_permille", std::lround(state->silentShare * permille) }, { "report_age_ms", state->reportAge.count() } });
}

void Exchange::recordVersionSent(const ListedEndpoint& endpoint)
{
    m_firstEventAt = {};
    m_isVersionMixed = m_context.options.rollouts && m_context.versions.hasSeveralVersions(m_service->name);
    if (m_isVersionMixed)
        m_context.versions.onSent({ .service = m_service->name, .version = endpoint.version, .route = m_route->name });
}

// Only responses count as evidence about a version: a crashed endpoint, a reclaimed zone or a disconnected client shows nothing about it.
void Exchange::recordVersionOutcome(const ChosenEndpoint& chosen, AttemptOutcome attemptOutcome)
{
    if (!m_context.options.rollouts)
        return;
    auto now = steadyNow();
    bool isStream = m_firstEventAt != SteadyTime {};
    AnswerTimes times {
        .secondsToFirstEvent = std::chrono::duration<double>((isStream ? m_firstEventAt : now) - m_attemptStartedAt).count(),
        .expectedSeconds = isStream ? chosen.expectedSeconds : 0,
        .streamSeconds = isStream ? std::chrono::duration<double>(now - m_firstEventAt).count() : 0,
        .streamEventCount = isStream ? static_cast<unsigned>(m_events.events()) : 0,
    };
    bool isSlow = attemptOutcome == AttemptOutcome::Delivered && m_context.pace.isSlow(m_route->name, times);
    if (m_isVersionMixed) {
        bool isBad = attemptOutcome == AttemptOutcome::FailedAnswer || isSlow;
        m_context.versions.onEnd({ .service = m_service->name, .version = chosen.endpoint->listed.version, .route = m_route->name }, attemptOutcome == AttemptOutcome::Delivered && !isSlow, isBad);
    }
    bool isKnownVersion = !m_context.versions.isNotKnownGood(m_service->name, chosen.endpoint->listed.version);
    if (attemptOutcome == AttemptOutcome::Delivered && isKnownVersion)
        m_context.pace.observe(m_route->name, times);
}

void Exchange::recordFirstEvent(const ChosenEndpoint& chosen)
{
    auto seconds = std::chrono::duration<double>(steadyNow() - m_attemptStartedAt).count();
    if (m_firstEventMilliseconds < 0)
        m_context.demand.onFirstEvent(m_service->name);
    m_firstEventMilliseconds = toMilliseconds(steadyNow() - m_request.arrivedAt).count();
    m_firstEventAt = steadyNow();
    recordServed();
    m_flight->prefilled();
    m_context.waiting.wakeNext(m_service->name);
    // Prefill speed is measured only if no other prompt was waiting at the endpoint, neither when it was chosen nor at the first event.
    if (m_waitingTokens == 0 && m_context.endpoints.waitingTokens(*chosen.endpoint, steadyNow()) == 0)
        m_context.endpoints.observeFirstEvent(chosen, seconds, steadyNow());
}

void Exchange::recordPause(const ChosenEndpoint& chosen, std::uint64_t events, bool isWriteSlow, SteadyTime receivedAt)
{
    if (events == 0)
        return;
    // While an engine reads a prompt, its streams wait.
    bool isExplained = isWriteSlow || m_context.endpoints.waitingTokens(*chosen.endpoint, receivedAt) > 0;
    m_pauses.onEvents(events, isExplained, receivedAt);
    if (auto mean = m_pauses.takeMean())
        m_context.endpoints.observePause(*chosen.endpoint, *mean, receivedAt);
}

void Exchange::recordSpeedOutcome(const EndpointState& endpoint, AttemptOutcome attemptOutcome)
{
    auto& speeds = m_context.endpoints.speeds();
    switch (attemptOutcome) {
    case AttemptOutcome::Delivered:
        speeds.onEnd(endpoint.shortName, false, steadyNow());
        return;
    case AttemptOutcome::NotSent:
    case AttemptOutcome::MayHaveRun:
    case AttemptOutcome::StreamBroken:
    case AttemptOutcome::FailedAnswer:
    case AttemptOutcome::OutOfTime:
        speeds.onEnd(endpoint.shortName, true, steadyNow());
        return;
    case AttemptOutcome::NotRun:
        // An endpoint that drains or has asked for a backoff does what it should.
        if (HttpStatus::isRefusalStatus(m_responseStatus) && m_context.endpoints.mayStillSend(endpoint.listed.life(), steadyNow())) {
            speeds.onEnd(endpoint.shortName, true, steadyNow());
            return;
        }
        break;
    case AttemptOutcome::NoConnectionLeft:
    case AttemptOutcome::Unwanted:
    case AttemptOutcome::Withheld:
    case AttemptOutcome::CallerLeft:
    case AttemptOutcome::NodeStopping:
        break;
    }
    speeds.onEndWithoutEvidence(endpoint.shortName);
}

void Exchange::recordChoice(const ChosenEndpoint& chosen)
{
    m_lastEndpoint = chosen.endpoint->listed.id;
    m_choiceReason = chosen.reason;
    m_expectedMilliseconds = static_cast<long>(chosen.expectedSeconds * 1000);
    m_unqueuedMilliseconds = static_cast<long>(chosen.unqueuedSeconds * 1000);
    m_uncachedTokens = static_cast<long>(chosen.uncachedTokens);
    m_waitingTokens = static_cast<long>(chosen.waitingTokens);
    m_speedPercent = std::lround(chosen.slowness * 100);
}

// Updates the suspect records with the outcome of an attempt. A connection lost to an endpoint that is draining or no longer listed does
// not count against the request, because that endpoint was expected to stop.
void Exchange::updateSuspects(const EndpointCall& call, const ListedEndpoint& endpoint, AttemptOutcome attemptOutcome)
{
    auto& suspects = m_context.suspects;
    auto life = hashOf(endpoint.life());
    auto now = steadyNow();
    bool isAnswered = (attemptOutcome == AttemptOutcome::Delivered || attemptOutcome == AttemptOutcome::CallerLeft) && call.isComplete() && call.head().status / 100 == 2;
    if (isAnswered)
        suspects.onAnswered(digest(), life, m_attemptStartedAt, now);
    else if (call.connectionLost() && m_context.endpoints.isExpectedToServe(endpoint.life()))
        suspects.onLost(digest(), life, now);
    else if (attemptOutcome == AttemptOutcome::OutOfTime || attemptOutcome == AttemptOutcome::CallerLeft || attemptOutcome == AttemptOutcome::NodeStopping)
        suspects.onLeft(digest(), life, now);
    else
        suspects.onEnded(digest(), life);
    if (suspects.takeHasUpdate() && m_context.notifySuspects)
        m_context.notifySuspects();
}

// Processes a response head, final or interim. The notices in a 421 response are ignored: it comes from another endpoint that now has the
// address, and reports nothing about the chosen one.
void Exchange::handleHead(const ListedEndpoint& endpoint, const HttpHead& head)
{
    m_responseStatus = head.status;
    m_responseHasLimit = false;
    if (head.status == HttpStatus::misdirected)
        return;
    auto notice = parseNotice(head, m_context.options.names);
    m_responseHasLimit = notice.hasLimitField;
    if (notice == EndpointNotice {})
        return;
    applyNotice(endpoint.life(), notice);
    countNotice(notice);
    writeNoticeLog(endpoint, notice);
}

// Applies what an endpoint reports about itself as soon as the head is read, while a stream's body is still running and whatever the
// outcome of the attempt: the store's endpoint list may be out of date for as long as the store is unreachable. Draining that is already
// known, e.g. from a peer, is not recorded again.
void Exchange::applyNotice(const EndpointIncarnation& life, const EndpointNotice& notice)
{
    auto now = steadyNow();
    if (notice.isDraining && !m_context.endpoints.isLeaving(life))
        m_context.endpoints.markFoundLeaving(life, now);
    // The backoff is randomized so that requests from many nodes do not return to the endpoint at the same moment.
    if (notice.backoff)
        m_context.endpoints.onBackoffRequested(life, randomlyLengthened(*notice.backoff, m_context.random), now);
    if (notice.limitPerSecond)
        applyLimit(life, *notice.limitPerSecond);
}

// Applies an advertised limit; `unlimitedPerSecond` stands for a response without the limit field. Such a response ends a limit only if its
// request was sent after the last response that had the field.
void Exchange::applyLimit(const EndpointIncarnation& life, double perSecond)
{
    auto& limits = m_context.endpoints.limits();
    if (perSecond >= unlimitedPerSecond && !limits.knows(life))
        return;
    auto now = steadyNow();
    AdvertisedLimit limit { .endpoint = life, .perSecond = std::min(perSecond, unlimitedPerSecond), .sentAt = m_context.fleetTimeMilliseconds(m_attemptStartedAt), .receivedAt = m_context.fleetTimeMilliseconds(now) };
    if (!limits.onAdvertisedLimit(limit, now))
        return;
    if (m_context.noticeLines.take(now))
        logEvent(LogLevel::Info, "endpoint_limit", { { "request_id", m_requestId }, { "endpoint", life.id }, { "born", life.born }, { "per_s", limits.perSecond(life).value_or(-1) } });
    if (m_context.notifyLimits)
        m_context.notifyLimits();
}

void Exchange::countNotice(const EndpointNotice& notice)
{
    auto count = [&](bool applies, std::string_view kind) {
        if (applies)
            m_context.metrics.increment("onyxnotch_entry_endpoint_notices_total", { { "kind", std::string(kind) } });
    };
    count(notice.isDraining, "leaves");
    count(notice.backoff.has_value(), "rest");
    count(notice.hasLimitField, "limit");
    count(!notice.isWellFormed, "not_understood");
    count(!notice.unknownField.empty(), "unknown_field");
}

void Exchange::writeNoticeLog(const ListedEndpoint& endpoint, const EndpointNotice& notice)
{
    if (!m_context.noticeLines.take(steadyNow()))
        return;
    logEvent(LogLevel::Info, "endpoint_notice",
        { { "request_id", m_requestId }, { "endpoint", endpoint.id }, { "born", endpoint.born }, { "status", m_responseStatus }, { "leaves", notice.isDraining ? 1 : 0 }, { "rest_ms", notice.backoff ? notice.backoff->count() : -1L }, { "limit_per_s", notice.limitPerSecond.value_or(-1) }, { "understood", notice.isWellFormed ? 1 : 0 }, { "unknown_field", notice.unknownField } });
}

// Measured only if a slot was free when the request was sent: otherwise the time includes the wait for a slot.
void Exchange::recordSlotTime(const ChosenEndpoint& chosen)
{
    if (chosen.isSlotFree)
        m_context.endpoints.observeSlot(m_service->name, std::chrono::duration<double>(steadyNow() - m_attemptStartedAt).count());
}

// Logs an attempt that did not deliver a response, with the values that the decision about a retry depends on.
void Exchange::writeAttemptLog(const EndpointState& endpoint, AttemptOutcome attemptOutcome)
{
    m_context.metrics.increment("onyxnotch_failed_tries_total", { { "end", std::string(nameOf(attemptOutcome)) } });
    if (!m_context.failedRequestLines.take(steadyNow()))
        return;
    logEvent(LogLevel::Info, "try_failed",
        { { "request_id", m_requestId }, { "digest", digest().text() }, { "endpoint", endpoint.listed.id }, { "end", nameOf(attemptOutcome) }, { "status", m_responseStatus }, { "choice", m_choiceReason }, { "ended_endpoints", m_context.suspects.endedIncarnations(digest()) }, { "try", m_attemptTracker.attempts() }, { "expected_ms", m_expectedMilliseconds },
            { "ms", toMilliseconds(steadyNow() - m_attemptStartedAt).count() }, { "events", m_events.events() }, { "endpoints_revision", m_endpointsRevision } });
}

void Exchange::updateHealth(EndpointState& endpoint, AttemptOutcome attemptOutcome)
{
    if (attemptOutcome != AttemptOutcome::Delivered)
        writeAttemptLog(endpoint, attemptOutcome);
    recordSpeedOutcome(endpoint, attemptOutcome);
    switch (attemptOutcome) {
    case AttemptOutcome::Delivered:
        endpoint.health.onSuccess();
        return;
    case AttemptOutcome::NotSent:
        endpoint.health.onUnreachable(steadyNow());
        return;
    case AttemptOutcome::MayHaveRun:
    case AttemptOutcome::StreamBroken:
    case AttemptOutcome::FailedAnswer:
    case AttemptOutcome::OutOfTime:
        endpoint.health.onFailure(steadyNow());
        return;
    case AttemptOutcome::NotRun:
        if (HttpStatus::isRefusalStatus(m_responseStatus)) {
            endpoint.health.onRequestRefused(steadyNow());
            recordRefusedByEndpoint();
        }
        return;
    case AttemptOutcome::NoConnectionLeft:
    case AttemptOutcome::Unwanted:
    case AttemptOutcome::Withheld:
    case AttemptOutcome::CallerLeft:
    case AttemptOutcome::NodeStopping:
        return;
    }
}

void Exchange::countUsage()
{
    if (m_team && m_events.events() == 0)
        m_context.usage.count(m_team->name, m_context.fleetTimeMilliseconds());
}

void Exchange::writeLog(int status, std::string_view outcome)
{
    auto now = steadyNow();
    m_context.metrics.increment("onyxnotch_entry_requests_total", { { "outcome", std::string(outcome) } });
    auto seconds = std::chrono::duration<double>(now - m_request.arrivedAt).count();
    m_context.metrics.observeSeconds("onyxnotch_entry_request_seconds", seconds, {});
    if (m_firstEventMilliseconds >= 0)
        m_context.metrics.observeSeconds("onyxnotch_entry_first_event_seconds", static_cast<double>(m_firstEventMilliseconds) / 1000, {});
    bool isServed = status / 100 == 2 && outcome != "stream_cut";
    if (m_isInTurn && isServed)
        m_context.metrics.increment("onyxnotch_entry_returned_requests_total", { { "kind", "served" } });
    auto& budget = isServed ? m_context.succeededRequestLines : m_context.failedRequestLines;
    if (!budget.take(now))
        return;
    logEvent(LogLevel::Info, "request",
        { { "request_id", m_requestId }, { "digest", digest().text() }, { "route", m_route ? std::string_view(m_route->name) : std::string_view() },
            { "team", m_team ? std::string_view(m_team->name) : std::string_view() }, { "endpoint", m_lastEndpoint }, { "choice", m_choiceReason },
            { "expected_ms", m_expectedMilliseconds }, { "unqueued_ms", m_unqueuedMilliseconds }, { "uncached_tokens", m_uncachedTokens }, { "waiting_tokens", m_waitingTokens }, { "speed_percent", m_speedPercent }, { "endpoints_revision", m_endpointsRevision },
            { "configuration", m_configuration ? m_configuration->version() : 0UL }, { "tokens", m_requestedTokens }, { "limit_per_s", m_team ? static_cast<long>(m_team->ratePerSecond) : 0L }, { "priority", m_route ? priority() : -1 }, { "admission_chance", m_admission.chance }, { "level_priority", m_admission.level.priority }, { "level_chance", m_admission.level.chance }, { "tries", m_attemptTracker.attempts() }, { "status", status }, { "outcome", outcome }, { "objective_ms", m_route ? m_route->objective.count() : 0L },
            { "ms", toMilliseconds(now - m_request.arrivedAt).count() }, { "first_event_ms", m_firstEventMilliseconds }, { "events", m_events.events() }, { "longest_pause_ms", m_pauses.longest().count() }, { "queued_ms", m_queuedMilliseconds }, { "queue_place", m_queuePlace }, { "left_ms", m_route ? timeLeft().count() : 0L },
            { "retry_after_ms", m_retryAfterMilliseconds }, { "in_turn", m_isInTurn ? 1 : 0 } });
}

} // namespace Onyxnotch
