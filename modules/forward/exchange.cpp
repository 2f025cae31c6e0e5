#include "modules/forward/exchange.h"

#include "core/net/http_status.h"
#include "modules/admission/deadline_admission.h"
#include "modules/forward/head_fields.h"
#include <algorithm>

namespace Onyxnotch {

const Exchange::LocalResponse Exchange::deadlineExceeded { .status = HttpStatus::gatewayTimeout, .reason = "out_of_time" };
const Exchange::LocalResponse Exchange::endedByStop { .status = HttpStatus::gatewayTimeout, .reason = "node_stopping" };
const Exchange::LocalResponse Exchange::endpointFailed { .status = HttpStatus::badGateway, .reason = "endpoint_broke" };

Exchange::Exchange(ForwardContext& context, std::shared_ptr<AsyncConnection> client, const ClientRequest& request, bool closeAfter)
    : m_context(context)
    , m_client(std::move(client))
    , m_request(request)
    , m_closeAfter(closeAfter)
    , m_requestId(request.head.value(context.options.names.requestId))
    , m_path(std::string_view(request.head.target).substr(0, request.head.target.find('?')))
{
}

Milliseconds Exchange::timeLeft() const { return toMilliseconds(m_deadline - steadyNow()); }

std::optional<Exchange::LocalResponse> Exchange::findRoute()
{
    m_configuration = m_context.view.configuration();
    if (!m_configuration)
        return LocalResponse { .status = HttpStatus::serviceUnavailable, .retryAfter = m_context.options.retryAfter, .reason = "no_configuration" };
    m_route = m_configuration->findRoute(m_request.head.value("host"), m_path);
    if (!m_route)
        return LocalResponse { .status = HttpStatus::notFound, .reason = "no_route" };
    auto hash = mixHash(std::hash<std::string> {}(m_requestId), 0);
    m_service = m_configuration->findService(chooseTarget(*m_route, hash));
    if (!m_service)
        return LocalResponse { .status = HttpStatus::serviceUnavailable, .retryAfter = m_context.options.retryAfter, .reason = "no_service" };
    return std::nullopt;
}

std::optional<Exchange::LocalResponse> Exchange::findTeam()
{
    if (!m_configuration->needsKeys())
        return std::nullopt;
    const auto* key = m_request.head.find(m_context.options.names.key);
    m_team = key ? m_configuration->findTeam(*key) : nullptr;
    if (!m_team && !m_route->isPublic)
        return LocalResponse { .status = HttpStatus::unauthorized, .reason = "unknown_key" };
    return std::nullopt;
}

void Exchange::readRequestFields()
{
    m_promptParts = parsePromptParts(m_request.head.value(m_context.options.names.promptParts));
    auto counts = m_request.head.value(m_context.options.names.tokenCounts);
    m_promptTokens = static_cast<double>(parseNumber<std::uint64_t>(counts.substr(0, counts.find(','))).value_or(0));
    if (m_team && !m_team->countsTokens) {
        m_teamCharge = 1;
    } else if (m_team) {
        auto comma = counts.find(',');
        auto out = comma == std::string_view::npos ? std::nullopt : parseNumber<std::uint64_t>(counts.substr(comma + 1));
        m_teamCharge = out ? m_promptTokens + static_cast<double>(*out) : m_team->defaultTokens;
    }
    m_requestedTokens = static_cast<long>(m_teamCharge);
    m_deadline = m_request.arrivedAt + requestTimeout(m_request.head.value(m_context.options.names.deadline), m_route->timeout);
    if (auto last = parseNumber<std::uint64_t>(m_request.head.value(m_context.options.names.lastEventId)))
        m_events = EventStream(last);
}

// Refuses a suspected request: endpoints failed while executing it, or one that is executing it now may be failing.
std::optional<Exchange::LocalResponse> Exchange::checkSuspects()
{
    if (m_context.suspects.maySend(digest(), steadyNow()))
        return std::nullopt;
    return withheldResponse();
}

// Refuses a request that was not executed. Retry-After is the time for which the request stays blocked, without an upper bound.
Exchange::LocalResponse Exchange::withheldResponse()
{
    auto left = m_context.suspects.remainingBlockTime(digest(), steadyNow());
    m_context.metrics.increment("onyxnotch_entry_withheld_requests_total", { { "reason", left.count() > 0 ? "blocked" : "one_at_a_time" } });
    return { .retryAfter = std::max(left, m_context.options.retryAfter), .reason = left.count() > 0 ? "blocked" : "one_at_a_time" };
}

std::optional<Exchange::LocalResponse> Exchange::admit()
{
    if (!m_team)
        return std::nullopt;
    auto wait = m_context.teams.admit(*m_team, m_teamCharge, steadyNow());
    if (!wait)
        return std::nullopt;
    logTeamLimit();
    m_teamCharge = 0;
    return LocalResponse { .status = HttpStatus::tooManyRequests, .retryAfter = wait, .reason = "team_limit" };
}

void Exchange::endForStop()
{
    m_isEndedByStop = true;
    if (m_call)
        m_call->cancel();
    if (m_waiter)
        m_waiter->timer.cancel();
}

bool Exchange::mayForward() const { return !m_isEndedByStop && (!m_attemptTracker.neverExecuted() || m_context.mayForward(m_deadline, steadyNow())); }

Exchange::LocalResponse Exchange::stoppingResponse() const { return { .retryAfter = m_context.options.retryAfter, .reason = "node_stopping" }; }

asio::awaitable<ExchangeResult> Exchange::run()
{
    while (true) {
        auto result = co_await runWithCurrentConfiguration();
        if (result)
            co_return *result;
        startOver();
    }
}

void Exchange::startOver()
{
    refundTeam();
    m_mustStartOver = false;
    m_team = nullptr;
    m_digest.reset();
    m_triedEndpoints.clear();
}

asio::awaitable<std::optional<ExchangeResult>> Exchange::runWithCurrentConfiguration()
{
    if (auto refusal = findRoute())
        co_return co_await respond(*refusal);
    if (auto refusal = findTeam())
        co_return co_await respond(*refusal);
    readRequestFields();
    m_attemptTracker = AttemptTracker({ .repeatable = m_route->repeatable(), .maximumExecutions = m_route->maximumAttempts });
    if (auto refusal = checkSuspects())
        co_return co_await respond(*refusal);
    if (auto refusal = admit())
        co_return co_await respond(*refusal);
    checkTurn();
    if (auto refusal = checkAdmissionLevel())
        co_return co_await respond(*refusal);
    auto endpoints = m_context.view.endpoints();
    m_endpointsRevision = endpoints ? endpoints->revision : 0;
    m_context.applyEndpointList(endpoints, *m_configuration, steadyNow());
    m_context.retries.onRequest(m_service->name, steadyNow());
    m_context.demand.onBegin(m_service->name);
    m_client->watch([this] {
        m_isClientDisconnected = true;
        if (m_call)
            m_call->cancel();
        if (m_waiter)
            m_waiter->timer.cancel();
    });
    auto result = co_await runAttempts();
    m_client->unwatch();
    m_context.demand.onEnd(m_service->name, m_firstEventMilliseconds >= 0);
    co_return m_isClientDisconnected ? std::optional(ExchangeResult::Close) : result;
}

double Exchange::objectiveSecondsLeft() const
{
    auto left = m_route->objective - (steadyNow() - m_request.arrivedAt);
    return std::max(0.0, std::chrono::duration<double>(left).count());
}

EndpointRequest Exchange::endpointRequest() const
{
    return { .service = m_service->name, .parts = m_promptParts, .promptTokens = m_promptTokens, .objectiveSeconds = objectiveSecondsLeft(), .pauseObjectiveSeconds = std::chrono::duration<double>(m_route->pauseObjective).count(), .excluded = m_triedEndpoints, .versions = versionLimits() };
}

VersionLimits Exchange::versionLimits() const
{
    if (!m_context.options.rollouts)
        return {};
    // The highest selector: a retry goes to the established version, unless the new version gets all requests.
    constexpr std::uint64_t last = ~std::uint64_t(0);
    auto selector = m_triedEndpoints.empty() ? mixHash(std::hash<std::string> {}(m_requestId), 1) : last;
    return m_context.versions.limitsFor(m_service->name, selector, steadyNow());
}

int Exchange::priority() const { return m_team && m_team->priority ? *m_team->priority : m_route->priority; }

bool Exchange::canMeetObjective(const ChosenEndpoint& chosen) const
{
    // While the expected prefill times are assumed, not measured, they may be wrong by a factor: no request is refused because of them.
    if (m_promptTokens > 0 && !m_context.endpoints.areTimesTrusted(steadyNow()))
        return true;
    auto moreUrgent = m_configuration->moreUrgent(m_service->name, priority());
    return canBeOnTime({
        .expectedSeconds = chosen.expectedSeconds,
        .unqueuedSeconds = chosen.unqueuedSeconds,
        .leastWaitSeconds = chosen.leastWaitSeconds,
        .objectiveSeconds = objectiveSecondsLeft(),
        .moreUrgent = m_isInTurn ? 0 : moreUrgent.priorities,
        .moreUrgentObjectiveSeconds = std::chrono::duration<double>(moreUrgent.shortestObjective).count(),
    });
}

void Exchange::checkTurn()
{
    auto now = m_context.fleetTimeMilliseconds();
    m_isInTurn = m_context.returnTurns.mayReturn(m_service->name, digest(), now);
    if (m_isInTurn || m_context.returnTurns.isEarly(digest(), now))
        m_context.metrics.increment("onyxnotch_entry_returned_requests_total", { { "kind", m_isInTurn ? "in_turn" : "early" } });
}

Milliseconds Exchange::delayUntilTurn(Milliseconds earliest, Milliseconds otherwise)
{
    // Clients honor a delay up to this part of the time that they have left.
    constexpr int honoredPart = 3;
    auto now = m_context.fleetTimeMilliseconds();
    auto latest = now + static_cast<std::uint64_t>(std::max(Milliseconds(0), timeLeft() / honoredPart).count());
    auto turn = m_context.returnTurns.nextTurn(m_service->name, digest(), now + static_cast<std::uint64_t>(earliest.count()), latest, now);
    if (!turn)
        return otherwise;
    auto delay = Milliseconds(turn->at - now);
    return turn->isTurn ? delay : std::max(delay, m_context.options.retryAfter);
}

// Refuses a request that cannot meet its objective. While the service is short over all nodes, Retry-After is the request's next turn
// after the time to clear the backlog: capacity becomes available continuously, without waiting for a new endpoint. Otherwise it
// estimates when there is capacity: the time to clear the backlog or, if the service scales, half the boot time of an endpoint (on average
// a starting endpoint is halfway through), whichever is longer, randomized so that clients do not all return at the same moment.
asio::awaitable<ExchangeResult> Exchange::refuseForCapacity(const ChosenEndpoint& chosen)
{
    constexpr double minimumSpread = 0.75;
    constexpr double maximumSpread = 1.25;
    refundTeam();
    recordChoice(chosen);
    m_context.demand.onRefused(m_service->name);
    recordRefusedByEndpoint();
    auto untilCapacity = std::chrono::duration<double>(chosen.leastWaitSeconds);
    if (m_service->scaling)
        untilCapacity = std::max<std::chrono::duration<double>>(untilCapacity, m_service->scaling->bootTime / 2);
    untilCapacity *= std::uniform_real_distribution<double>(minimumSpread, maximumSpread)(m_context.random);
    auto estimate = std::max(std::chrono::duration_cast<Milliseconds>(untilCapacity), m_context.options.retryAfter);
    auto untilBacklogCleared = std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(chosen.leastWaitSeconds));
    LocalResponse refusal { .retryAfter = delayUntilTurn(untilBacklogCleared, estimate), .reason = "no_room" };
    co_return co_await respond(refusal);
}

asio::awaitable<std::optional<ChosenEndpoint>> Exchange::selectEndpoint(EndpointRequest& request)
{
    // Endpoints in a row that may deny a credit before the request is refused with Retry-After, instead of asking every endpoint.
    constexpr std::size_t maximumCreditDenials = 4;
    m_creditDenials = 0;
    while (m_creditDenials < maximumCreditDenials && !m_isClientDisconnected) {
        auto chosen = m_context.endpoints.choose(request, steadyNow());
        if (!chosen)
            co_return std::nullopt;
        bool isAllowed = co_await ensureCredit(chosen->endpoint->listed.life());
        if (isAllowed) {
            m_creditDenials = 0;
            co_return chosen;
        }
        ++m_creditDenials;
        request.excluded.push_back(chosen->endpoint->listed.id);
        request.skipsEndpointsWithoutCredit = true;
    }
    co_return std::nullopt;
}

asio::awaitable<bool> Exchange::ensureCredit(EndpointIncarnation life)
{
    if (m_hasCredit || !m_context.endpoints.limits().isLimited(life))
        co_return true;
    m_hasCredit = co_await m_context.acquireCredit(life);
    m_context.metrics.increment("onyxnotch_entry_credits_total", { { "result", m_hasCredit ? "given" : "denied" } });
    co_return m_hasCredit;
}

void Exchange::releaseCredit(const EndpointIncarnation& life)
{
    if (m_hasCredit)
        m_context.returnUnusedCredit(life);
    m_hasCredit = false;
}

asio::awaitable<std::optional<ExchangeResult>> Exchange::runAttempts()
{
    bool first = true;
    bool wasRefused = false;
    while (true) {
        if (timeLeft() < m_context.options.minimumTimeToSend) {
            m_attemptTracker.onEnd(AttemptOutcome::OutOfTime);
            co_return co_await finishUndelivered(AttemptOutcome::OutOfTime);
        }
        if (!mayForward()) {
            m_attemptTracker.onEnd(AttemptOutcome::NodeStopping);
            co_return co_await finishUndelivered(AttemptOutcome::NodeStopping);
        }
        auto request = endpointRequest();
        if (m_context.options.queueing.enabled && (first || wasRefused) && m_attemptTracker.neverExecuted()) {
            auto refusal = co_await waitForPlace(request, first, wasRefused);
            if (m_mustStartOver && !m_isClientDisconnected)
                co_return std::nullopt;
            if (refusal && !m_isClientDisconnected) {
                if (first)
                    m_context.demand.onRequest(m_service->name, 0);
                co_return co_await refuseWaiting(*refusal);
            }
        }
        if (m_isClientDisconnected) {
            m_attemptTracker.onEnd(AttemptOutcome::CallerLeft);
            co_return co_await finishUndelivered(AttemptOutcome::CallerLeft);
        }
        auto chosen = co_await selectEndpoint(request);
        if (m_isClientDisconnected) {
            if (chosen)
                releaseCredit(chosen->endpoint->listed.life());
            m_attemptTracker.onEnd(AttemptOutcome::CallerLeft);
            co_return co_await finishUndelivered(AttemptOutcome::CallerLeft);
        }
        if (first)
            m_context.demand.onRequest(m_service->name, m_context.endpoints.prefillSeconds(chosen ? chosen->uncachedTokens : 0));
        if (!chosen)
            co_return co_await finishUndelivered(AttemptOutcome::NotSent);
        if (first && !canMeetObjective(*chosen)) {
            releaseCredit(chosen->endpoint->listed.life());
            co_return co_await refuseForCapacity(*chosen);
        }
        first = false;
        m_context.endpoints.noteSent(request, *chosen->endpoint, steadyNow());
        takePlace();
        auto outcome = co_await runAttempt(*chosen);
        releasePlace(request, *chosen);
        m_attemptTracker.onEnd(outcome);
        wasRefused = outcome == AttemptOutcome::NotRun && HttpStatus::isRefusalStatus(m_responseStatus);
        if (wasRefused)
            m_context.waiting.pacer(m_service->name).onRefused();
        updateHealth(*chosen->endpoint, outcome);
        recordVersionOutcome(*chosen, outcome);
        if (outcome == AttemptOutcome::Delivered) {
            recordSlotTime(*chosen);
            recordServed();
            co_return ExchangeResult::Answered;
        }
        auto acquireRetry = [this] { return m_context.suspects.isRetryAllowed(digest(), steadyNow()) && m_context.retries.take(m_service->name, steadyNow()); };
        if (!m_attemptTracker.mayRetry(acquireRetry))
            co_return co_await finishUndelivered(outcome);
    }
}

asio::awaitable<AttemptOutcome> Exchange::runAttempt(const ChosenEndpoint& chosen)
{
    // All nodes share the connections that an endpoint accepts; one is reserved for health checks.
    auto connections = std::max(1U, (m_service->maximumConnections - 1) / std::max(1U, m_context.nodes));
    EndpointBook::Flight flight(chosen.endpoint, chosen.uncachedTokens);
    EndpointCallOptions options {
        .maximumConnections = connections,
        .deadline = m_deadline,
        .onHead = [&](const HttpHead& head) { handleHead(chosen.endpoint->listed, head); },
        .onEndedForMemory = [this] { endWriteForMemory(); },
    };
    EndpointCall call(m_context, chosen.endpoint, m_sentConnections, std::move(options));
    m_triedEndpoints.push_back(chosen.endpoint->listed.id);
    recordVersionSent(chosen.endpoint->listed);
    recordChoice(chosen);
    if (m_context.notifyLongPrefill && m_context.endpoints.prefillSeconds(chosen.uncachedTokens) > std::chrono::duration<double>(m_context.options.longPrefillThreshold).count())
        m_context.notifyLongPrefill(chosen.endpoint->listed.life(), chosen.uncachedTokens);
    m_call = &call;
    m_flight = &flight;
    m_attemptStartedAt = steadyNow();
    m_isSent = false;
    m_responseStatus = 0;
    auto outcome = co_await callEndpoint(call, chosen);
    m_call = nullptr;
    m_flight = nullptr;
    if (!m_isSent)
        releaseCredit(chosen.endpoint->listed.life());
    m_hasCredit = false;
    if (m_isEndedByStop && (outcome == AttemptOutcome::MayHaveRun || outcome == AttemptOutcome::StreamBroken))
        outcome = AttemptOutcome::NodeStopping;
    if (m_isClientDisconnected)
        outcome = AttemptOutcome::CallerLeft;
    if (m_isSent)
        updateSuspects(call, chosen.endpoint->listed, outcome);
    co_return outcome;
}

asio::awaitable<AttemptOutcome> Exchange::callEndpoint(EndpointCall& call, const ChosenEndpoint& chosen)
{
    const auto& options = m_context.options;
    auto connectTimeout = Milliseconds(static_cast<std::int64_t>(static_cast<double>(m_route->objective.count()) * options.connectObjectiveFraction));
    auto status = co_await call.connect(std::clamp(connectTimeout, options.minimumConnectTimeout, options.maximumConnectTimeout));
    if (status != CallStatus::Success)
        co_return call.connectionLimitReached() ? AttemptOutcome::NoConnectionLeft : AttemptOutcome::NotSent;
    // The endpoint or the request may have become unusable while the connection was set up.
    if (!m_context.endpoints.mayStillSend(chosen.endpoint->listed.life(), steadyNow()))
        co_return AttemptOutcome::Unwanted;
    if (!m_context.suspects.maySend(digest(), steadyNow()))
        co_return AttemptOutcome::Withheld;
    bool isAllowed = co_await ensureCredit(chosen.endpoint->listed.life());
    if (!isAllowed)
        co_return AttemptOutcome::Unwanted;
    m_attemptTracker.onSend();
    m_isSent = true;
    m_context.suspects.onSent(digest(), hashOf(chosen.endpoint->listed.life()), zoneHash(chosen.endpoint->listed.zone));
    auto head = requestHead(chosen.endpoint->listed);
    status = co_await call.send(head, m_request.body);
    if (status == CallStatus::Success)
        status = co_await call.readHead(m_requestId, m_request.head.method != "HEAD");
    if (status != CallStatus::Success)
        co_return status == CallStatus::TimedOut ? AttemptOutcome::OutOfTime : AttemptOutcome::MayHaveRun;
    if (!m_responseHasLimit && call.head().status != HttpStatus::misdirected)
        applyLimit(chosen.endpoint->listed.life(), unlimitedPerSecond);
    if (call.head().status == HttpStatus::misdirected) {
        // Another endpoint has this address now, so the chosen one no longer exists.
        m_context.endpoints.markFoundLeaving(chosen.endpoint->listed.life(), steadyNow());
        co_return AttemptOutcome::NotRun;
    }
    if (call.head().find(options.names.notRun))
        co_return AttemptOutcome::NotRun;
    countUsage();
    if (isEndpointEventStream(call.head()))
        co_return co_await relayStream(call, chosen);
    co_return co_await relayBuffered(call, chosen);
}

asio::awaitable<ExchangeResult> Exchange::finishUndelivered(AttemptOutcome outcome)
{
    if (m_attemptTracker.neverExecuted())
        refundTeam();
    switch (m_attemptTracker.finalResponse(m_streamStarted)) {
    case FinalResponse::TruncatedStream:
        writeLog(HttpStatus::ok, outcome == AttemptOutcome::CallerLeft ? "caller_left" : "stream_cut");
        m_client->reset();
        co_return ExchangeResult::Close;
    case FinalResponse::None:
        writeLog(0, "caller_left");
        co_return ExchangeResult::Close;
    case FinalResponse::EndpointFailure:
        co_return co_await relayFailure();
    case FinalResponse::OutOfTime:
        co_return co_await respond(outcome == AttemptOutcome::NodeStopping ? endedByStop : deadlineExceeded);
    case FinalResponse::Unknown:
        co_return co_await respond(endpointFailed);
    case FinalResponse::Refusal:
        break;
    }
    if (outcome == AttemptOutcome::Withheld)
        co_return co_await respond(withheldResponse());
    if (outcome == AttemptOutcome::NodeStopping)
        co_return co_await respond(stoppingResponse());
    m_context.demand.onRefused(m_service->name);
    co_return co_await respond(noEndpointResponse());
}

// Refuses a request for which no endpoint was available. If all endpoints requested a backoff or have no credits, Retry-After is the time
// at which the first one can be used again: until then, this node has no endpoint to send the request to. While the service is short over
// all nodes, it is the request's next turn after that; not for limited endpoints, whose capacity is known.
Exchange::LocalResponse Exchange::noEndpointResponse()
{
    LocalResponse refusal { .retryAfter = m_context.options.retryAfter, .reason = m_attemptTracker.attempts() > 0 ? "endpoint_refused" : "no_endpoint" };
    auto now = steadyNow();
    auto request = endpointRequest();
    auto availableAt = m_context.endpoints.earliestAvailable(request, now);
    if (m_creditDenials > 0) {
        auto perSecond = m_context.endpoints.limitOf(request) / std::max(1U, m_context.nodes);
        auto wait = m_context.returnTimes.next(m_service->name, availableAt.value_or(now), perSecond, now);
        return { .retryAfter = std::max(wait, m_context.options.retryAfter), .reason = "endpoints_limited" };
    }
    if (!availableAt) {
        refusal.retryAfter = delayUntilTurn(Milliseconds(0), m_context.options.retryAfter);
        return refusal;
    }
    constexpr double maximumSpread = 1.25;
    auto wait = std::chrono::duration<double>(*availableAt - now) * std::uniform_real_distribution<double>(1, maximumSpread)(m_context.random);
    auto estimate = std::max(std::chrono::ceil<Milliseconds>(wait), m_context.options.retryAfter);
    return { .retryAfter = delayUntilTurn(std::chrono::ceil<Milliseconds>(*availableAt - now), estimate), .reason = "endpoints_rest" };
}

// Only requests that an endpoint may have executed count against the team's limit.
void Exchange::refundTeam()
{
    if (m_team && m_teamCharge > 0)
        m_context.teams.refund(m_team->name, m_teamCharge);
    m_teamCharge = 0;
}

const RequestDigest& Exchange::digest()
{
    if (!m_digest)
        m_digest = digestOf(m_team ? std::string_view(m_team->name) : std::string_view(), m_request.head.value("host"), m_request.head.target, m_request.body);
    return *m_digest;
}

} // namespace Onyxnotch
