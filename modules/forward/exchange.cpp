#include "modules/forward/exchange.h"

#include "core/net/http_status.h"
#include "modules/admission/deadline_admission.h"
#include "modules/forward/head_fields.h"
#include <algorithm>
#include <charconv>

namespace Onyxnotch {

namespace {

    std::string chunk(std::string_view bytes)
    {
        char size[24];
        auto [end, ec] = std::to_chars(size, size + sizeof(size), bytes.size(), 16);
        std::string text(size, end);
        text += "\r\n";
        text += bytes;
        return text + "\r\n";
    }

    constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace

const Exchange::OwnAnswer Exchange::outOfTime { .status = HttpStatus::gatewayTimeout, .reason = "out_of_time" };
const Exchange::OwnAnswer Exchange::endpointBroke { .status = HttpStatus::badGateway, .reason = "endpoint_broke" };

Exchange::Exchange(ForwardContext& context, std::shared_ptr<AsyncConnection> caller, const CallerRequest& request, bool closeAfter)
    : m_context(context)
    , m_caller(std::move(caller))
    , m_request(request)
    , m_closeAfter(closeAfter)
    , m_requestId(request.head.value(context.options.names.requestId))
    , m_path(std::string_view(request.head.target).substr(0, request.head.target.find('?')))
{
}

Milliseconds Exchange::timeLeft() const { return toMilliseconds(m_deadline - steadyNow()); }

std::optional<Exchange::OwnAnswer> Exchange::findRoute()
{
    m_configuration = m_context.view.configuration();
    if (!m_configuration)
        return OwnAnswer { .status = HttpStatus::serviceUnavailable, .comeBackAfter = m_context.options.comeBackAfter, .reason = "no_configuration" };
    m_route = m_configuration->findRoute(m_request.head.value("host"), m_path);
    if (!m_route)
        return OwnAnswer { .status = HttpStatus::notFound, .reason = "no_route" };
    auto hash = mixHash(std::hash<std::string> {}(m_requestId), 0);
    m_service = m_configuration->findService(chooseTarget(*m_route, hash));
    if (!m_service)
        return OwnAnswer { .status = HttpStatus::serviceUnavailable, .comeBackAfter = m_context.options.comeBackAfter, .reason = "no_service" };
    return std::nullopt;
}

std::optional<Exchange::OwnAnswer> Exchange::findTeam()
{
    if (!m_configuration->needsKeys())
        return std::nullopt;
    const auto* key = m_request.head.find(m_context.options.names.key);
    m_team = key ? m_configuration->findTeam(*key) : nullptr;
    if (!m_team && !m_route->isPublic)
        return OwnAnswer { .status = HttpStatus::unauthorized, .reason = "unknown_key" };
    return std::nullopt;
}

void Exchange::readPrompt()
{
    m_parts = parsePromptParts(m_request.head.value(m_context.options.names.promptParts));
    auto counts = m_request.head.value(m_context.options.names.tokenCounts);
    m_promptTokens = static_cast<double>(parseNumber<std::uint64_t>(counts.substr(0, counts.find(','))).value_or(0));
    if (m_team && !m_team->countsTokens) {
        m_charged = 1;
    } else if (m_team) {
        auto comma = counts.find(',');
        auto out = comma == std::string_view::npos ? std::nullopt : parseNumber<std::uint64_t>(counts.substr(comma + 1));
        m_charged = out ? m_promptTokens + static_cast<double>(*out) : m_team->defaultTokens;
    }
    m_wantedTokens = static_cast<long>(m_charged);
    auto timeout = m_route->timeout;
    if (auto deadline = parseNumber<std::int64_t>(m_request.head.value(m_context.options.names.deadline)))
        timeout = std::min(timeout, Milliseconds(std::clamp<std::int64_t>(*deadline, 0, timeout.count())));
    m_deadline = m_request.arrivedAt + timeout;
    if (auto last = parseNumber<std::uint64_t>(m_request.head.value(m_context.options.names.lastEventId)))
        m_events = EventStream(last);
}

// Endpoints have ended under this request wherever it came before, or one may be ending now.
std::optional<Exchange::OwnAnswer> Exchange::withhold()
{
    if (m_context.suspects.maySend(digest(), steadyNow()))
        return std::nullopt;
    return withheldAnswer();
}

// It has not run, and the caller hears so at once; when it may come again is told as it is, however long that is.
Exchange::OwnAnswer Exchange::withheldAnswer()
{
    auto left = m_context.suspects.blockedLeft(digest(), steadyNow());
    m_context.metrics.increment("onyxnotch_entry_withheld_requests_total", { { "reason", left.count() > 0 ? "blocked" : "one_at_a_time" } });
    return { .comeBackAfter = std::max(left, m_context.options.comeBackAfter), .reason = left.count() > 0 ? "blocked" : "one_at_a_time" };
}

std::optional<Exchange::OwnAnswer> Exchange::admit()
{
    if (!m_team)
        return std::nullopt;
    auto wait = m_context.teams.admit(*m_team, m_charged, steadyNow());
    if (!wait)
        return std::nullopt;
    m_charged = 0;
    return OwnAnswer { .status = HttpStatus::tooManyRequests, .comeBackAfter = wait, .reason = "team_limit" };
}

asio::awaitable<ExchangeEnd> Exchange::run()
{
    if (auto refusal = findRoute())
        co_return co_await answer(*refusal);
    if (auto refusal = findTeam())
        co_return co_await answer(*refusal);
    readPrompt();
    m_fate = RequestFate({ .repeatable = m_route->repeatable(), .maximumTries = m_route->maximumAttempts });
    if (auto refusal = withhold())
        co_return co_await answer(*refusal);
    if (auto refusal = admit())
        co_return co_await answer(*refusal);
    auto endpoints = m_context.view.endpoints();
    m_endpointsRevision = endpoints ? endpoints->revision : 0;
    m_context.takeEndpoints(endpoints, *m_configuration, steadyNow());
    m_context.retries.onRequest(m_service->name);
    m_context.demand.onBegin(m_service->name);
    m_caller->watch([this] {
        m_callerLeft = true;
        if (m_call)
            m_call->cancel();
    });
    auto end = co_await tryEndpoints();
    m_caller->unwatch();
    m_context.demand.onEnd(m_service->name, m_firstEventMilliseconds >= 0);
    co_return m_callerLeft ? ExchangeEnd::Close : end;
}

double Exchange::objectiveLeft() const
{
    auto left = m_route->objective - (steadyNow() - m_request.arrivedAt);
    return std::max(0.0, std::chrono::duration<double>(left).count());
}

EndpointRequest Exchange::endpointRequest() const
{
    return { .service = m_service->name, .parts = m_parts, .promptTokens = m_promptTokens, .objectiveSeconds = objectiveLeft(), .excluded = m_tried, .versions = versionLimits() };
}

VersionLimits Exchange::versionLimits() const
{
    if (!m_context.options.rollouts)
        return {};
    // A further try goes to the version that callers know, unless all goes to the new one.
    constexpr std::uint64_t last = ~std::uint64_t(0);
    auto selector = m_tried.empty() ? mixHash(std::hash<std::string> {}(m_requestId), 1) : last;
    return m_context.versions.limitsFor(m_service->name, selector, steadyNow());
}

int Exchange::priority() const { return m_team && m_team->priority ? *m_team->priority : m_route->priority; }

bool Exchange::isOnTime(const ChosenEndpoint& chosen) const
{
    // What is assumed at the start may be wrong by a factor: nobody is sent away for it.
    if (m_promptTokens > 0 && !m_context.endpoints.trustsTimes(steadyNow()))
        return true;
    auto moreUrgent = m_configuration->moreUrgent(m_service->name, priority());
    return canBeOnTime({
        .expectedSeconds = chosen.expectedSeconds,
        .unqueuedSeconds = chosen.unqueuedSeconds,
        .leastWaitSeconds = chosen.leastWaitSeconds,
        .objectiveSeconds = objectiveLeft(),
        .moreUrgent = moreUrgent.kinds,
        .moreUrgentObjectiveSeconds = std::chrono::duration<double>(moreUrgent.shortestObjective).count(),
    });
}

// The caller hears at once that there is no room, and when there may be: on average half of the time that a new endpoint takes to start
// is over, and the backlog has to go as well. Spread, so that callers don't come back together.
asio::awaitable<ExchangeEnd> Exchange::refuseForWantOfRoom(const ChosenEndpoint& chosen)
{
    constexpr double leastSpread = 0.75;
    constexpr double mostSpread = 1.25;
    refundTeam();
    noteChoice(chosen);
    m_context.demand.onRefused(m_service->name);
    auto room = std::chrono::duration<double>(chosen.leastWaitSeconds);
    if (m_service->scaling)
        room = std::max<std::chrono::duration<double>>(room, m_service->scaling->bootTime / 2);
    room *= std::uniform_real_distribution<double>(leastSpread, mostSpread)(m_context.random);
    OwnAnswer refusal { .comeBackAfter = std::max(std::chrono::duration_cast<Milliseconds>(room), m_context.options.comeBackAfter), .reason = "no_room" };
    co_return co_await answer(refusal);
}

asio::awaitable<std::optional<ChosenEndpoint>> Exchange::nextEndpoint(EndpointRequest& request)
{
    // Endpoints that the request asks for a credit: where so many have none for it, it had better come back than ask them all.
    constexpr std::size_t mostAsked = 4;
    m_withoutCredit = 0;
    while (m_withoutCredit < mostAsked && !m_callerLeft) {
        auto chosen = m_context.endpoints.choose(request, steadyNow());
        if (!chosen)
            co_return std::nullopt;
        bool mayGo = co_await holdCredit(chosen->endpoint->listed.life());
        if (mayGo) {
            m_withoutCredit = 0;
            co_return chosen;
        }
        ++m_withoutCredit;
        request.excluded.push_back(chosen->endpoint->listed.id);
        request.skipsSpent = true;
    }
    co_return std::nullopt;
}

asio::awaitable<bool> Exchange::holdCredit(EndpointLife life)
{
    if (m_holdsCredit || !m_context.endpoints.limits().isLimited(life))
        co_return true;
    m_holdsCredit = co_await m_context.takeCredit(life);
    m_context.metrics.increment("onyxnotch_entry_credits_total", { { "result", m_holdsCredit ? "given" : "denied" } });
    co_return m_holdsCredit;
}

void Exchange::releaseCredit(const EndpointLife& life)
{
    if (m_holdsCredit)
        m_context.giveCreditBack(life);
    m_holdsCredit = false;
}

asio::awaitable<ExchangeEnd> Exchange::tryEndpoints()
{
    bool first = true;
    while (true) {
        if (timeLeft() < m_context.options.leastTimeToSend) {
            m_fate.onEnd(TryEnd::OutOfTime);
            co_return co_await giveUp(TryEnd::OutOfTime);
        }
        auto request = endpointRequest();
        auto chosen = co_await nextEndpoint(request);
        if (m_callerLeft) {
            if (chosen)
                releaseCredit(chosen->endpoint->listed.life());
            m_fate.onEnd(TryEnd::CallerLeft);
            co_return co_await giveUp(TryEnd::CallerLeft);
        }
        if (first)
            m_context.demand.onRequest(m_service->name, m_context.endpoints.prefillSeconds(chosen ? chosen->uncachedTokens : 0));
        if (!chosen)
            co_return co_await giveUp(TryEnd::NotSent);
        if (first && !isOnTime(*chosen)) {
            releaseCredit(chosen->endpoint->listed.life());
            co_return co_await refuseForWantOfRoom(*chosen);
        }
        first = false;
        m_context.endpoints.noteSent(request, *chosen->endpoint, steadyNow());
        auto end = co_await tryEndpoint(*chosen);
        m_fate.onEnd(end);
        noteOutcome(*chosen->endpoint, end);
        noteVersionEnd(*chosen, end);
        if (end == TryEnd::Delivered) {
            noteSlotTime(*chosen);
            co_return ExchangeEnd::Answered;
        }
        auto takeRetry = [this] { return m_context.suspects.maySendAgain(digest(), steadyNow()) && m_context.retries.take(m_service->name); };
        if (!m_fate.mayTryAgain(takeRetry))
            co_return co_await giveUp(end);
    }
}

asio::awaitable<TryEnd> Exchange::tryEndpoint(const ChosenEndpoint& chosen)
{
    // The connections that an endpoint takes are shared by all nodes; one is left out for health checks.
    auto connections = std::max(1U, (m_service->maximumConnections - 1) / std::max(1U, m_context.nodes));
    EndpointBook::Flight flight(chosen.endpoint, chosen.uncachedTokens);
    auto onHead = [&](const HttpHead& head) { noteHead(chosen.endpoint->listed, head); };
    EndpointCall call(m_context, chosen.endpoint, connections, m_deadline, onHead);
    m_tried.push_back(chosen.endpoint->listed.id);
    noteVersionSent(chosen.endpoint->listed);
    noteChoice(chosen);
    if (m_context.tellLongPrefill && m_context.endpoints.prefillSeconds(chosen.uncachedTokens) > std::chrono::duration<double>(m_context.options.longPrefill).count())
        m_context.tellLongPrefill(chosen.endpoint->listed.life(), chosen.uncachedTokens);
    m_call = &call;
    m_flight = &flight;
    m_sentAt = steadyNow();
    m_sent = false;
    m_answerStatus = 0;
    auto end = co_await callEndpoint(call, chosen);
    m_call = nullptr;
    m_flight = nullptr;
    if (!m_sent)
        releaseCredit(chosen.endpoint->listed.life());
    m_holdsCredit = false;
    if (m_callerLeft)
        end = TryEnd::CallerLeft;
    if (m_sent)
        noteLife(call, chosen.endpoint->listed, end);
    co_return end;
}

asio::awaitable<TryEnd> Exchange::callEndpoint(EndpointCall& call, const ChosenEndpoint& chosen)
{
    const auto& options = m_context.options;
    auto part = Milliseconds(static_cast<std::int64_t>(static_cast<double>(m_route->objective.count()) * options.connectObjectivePart));
    auto status = co_await call.connect(std::clamp(part, options.shortestConnect, options.longestConnect));
    if (status != CallStatus::Good)
        co_return call.noConnectionLeft() ? TryEnd::NoConnectionLeft : TryEnd::NotSent;
    // What was found out while the connection came up counts as well.
    if (!m_context.endpoints.mayStillSend(chosen.endpoint->listed.life(), steadyNow()))
        co_return TryEnd::Unwanted;
    if (!m_context.suspects.maySend(digest(), steadyNow()))
        co_return TryEnd::Withheld;
    bool mayGo = co_await holdCredit(chosen.endpoint->listed.life());
    if (!mayGo)
        co_return TryEnd::Unwanted;
    m_fate.onSend();
    m_sent = true;
    m_context.suspects.onSent(digest(), hashOf(chosen.endpoint->listed.life()), zoneHash(chosen.endpoint->listed.zone));
    auto head = requestHead(chosen.endpoint->listed);
    status = co_await call.send(head, m_request.body);
    if (status == CallStatus::Good)
        status = co_await call.readHead(m_requestId, m_request.head.method != "HEAD");
    if (status != CallStatus::Good)
        co_return status == CallStatus::TimedOut ? TryEnd::OutOfTime : TryEnd::MayHaveRun;
    if (!m_answerNamesLimit && call.head().status != HttpStatus::misdirected)
        heedLimit(chosen.endpoint->listed.life(), unlimitedPerSecond);
    if (call.head().status == HttpStatus::misdirected) {
        // Another endpoint has the address now: the one that we meant is gone.
        m_context.endpoints.foundLeaving(chosen.endpoint->listed.life(), steadyNow());
        co_return TryEnd::NotRun;
    }
    if (call.head().find(options.names.notRun))
        co_return TryEnd::NotRun;
    countRun();
    if (isOurStreamAnswer(call.head()))
        co_return co_await relayStream(call, chosen);
    co_return co_await relayWhole(call, chosen);
}

bool Exchange::isOurStreamAnswer(const HttpHead& head) const
{
    return m_route->kind == RequestKind::Stream && head.status / 100 == 2 && head.find(m_context.options.names.receipt) && !head.find("content-encoding");
}

asio::awaitable<TryEnd> Exchange::relayWhole(EndpointCall& call, const ChosenEndpoint&)
{
    auto status = co_await call.readWholeBody();
    if (status != CallStatus::Good)
        co_return status == CallStatus::TimedOut ? TryEnd::OutOfTime : TryEnd::MayHaveRun;
    bool genuine = call.head().find(m_context.options.names.receipt) && !call.head().find("content-encoding");
    if (!genuine)
        co_return TryEnd::MayHaveRun;
    if (m_streamBegun)
        co_return TryEnd::MayHaveRun;
    // To the caller this status would say that the request has not run; the endpoint has not said so.
    if (HttpStatus::promisesNotRun(call.head().status))
        co_return TryEnd::MayHaveRun;
    if (call.head().status / 100 == 5) {
        m_failure = call.head();
        m_failureBody = std::move(call.body());
        co_return TryEnd::FailedAnswer;
    }
    auto bytes = answerHead(call.head(), call.body().size());
    if (m_request.head.method != "HEAD")
        bytes += call.body();
    bool written = co_await toCaller(bytes);
    writeLog(call.head().status, "answered");
    co_return written ? TryEnd::Delivered : TryEnd::CallerLeft;
}

asio::awaitable<TryEnd> Exchange::relayStream(EndpointCall& call, const ChosenEndpoint& chosen)
{
    std::string pending;
    std::string ready;
    bool first = true;
    while (true) {
        pending += call.body();
        call.body().clear();
        ready.clear();
        auto check = m_events.take(pending, ready);
        bool last = call.whole();
        if (check != EventStreamCheck::Sound || (last && !pending.empty()))
            co_return m_streamBegun ? TryEnd::StreamBroken : TryEnd::MayHaveRun;
        std::string bytes;
        if (!ready.empty() || last) {
            if (first)
                noteFirstEvent(chosen);
            first = false;
            if (!m_streamBegun)
                bytes = answerHead(call.head(), std::nullopt);
            m_streamBegun = true;
            if (!ready.empty())
                bytes += chunk(ready);
        }
        if (last)
            bytes += lastChunk;
        if (!bytes.empty() && !co_await toCaller(bytes))
            co_return TryEnd::CallerLeft;
        if (last)
            break;
        auto status = co_await call.readBody();
        if (status != CallStatus::Good) {
            if (status == CallStatus::TimedOut)
                co_return TryEnd::OutOfTime;
            co_return m_streamBegun ? TryEnd::StreamBroken : TryEnd::MayHaveRun;
        }
    }
    writeLog(call.head().status, "streamed");
    co_return TryEnd::Delivered;
}

asio::awaitable<ExchangeEnd> Exchange::giveUp(TryEnd end)
{
    if (m_fate.ranNowhere())
        refundTeam();
    switch (m_fate.finalAnswer(m_streamBegun)) {
    case FinalAnswer::CutStream:
        writeLog(HttpStatus::ok, end == TryEnd::CallerLeft ? "caller_left" : "stream_cut");
        m_caller->reset();
        co_return ExchangeEnd::Close;
    case FinalAnswer::None:
        writeLog(0, "caller_left");
        co_return ExchangeEnd::Close;
    case FinalAnswer::EndpointsFailure:
        co_return co_await passFailure();
    case FinalAnswer::OutOfTime:
        co_return co_await answer(outOfTime);
    case FinalAnswer::Unknown:
        co_return co_await answer(endpointBroke);
    case FinalAnswer::Refusal:
        break;
    }
    if (end == TryEnd::Withheld)
        co_return co_await answer(withheldAnswer());
    m_context.demand.onRefused(m_service->name);
    co_return co_await answer(noEndpointAnswer());
}

// Where every endpoint has asked for rest, or takes no more for now, the caller hears when the first one is back: before, this node has nobody
// to ask for it.
Exchange::OwnAnswer Exchange::noEndpointAnswer()
{
    OwnAnswer refusal { .comeBackAfter = m_context.options.comeBackAfter, .reason = m_fate.tries() > 0 ? "endpoint_refused" : "no_endpoint" };
    auto now = steadyNow();
    auto request = endpointRequest();
    auto back = m_context.endpoints.firstBack(request, now);
    if (m_withoutCredit > 0) {
        auto perSecond = m_context.endpoints.limitOf(request) / std::max(1U, m_context.nodes);
        auto wait = m_context.returnTimes.next(m_service->name, back.value_or(now), perSecond, now);
        return { .comeBackAfter = std::max(wait, m_context.options.comeBackAfter), .reason = "endpoints_limited" };
    }
    if (!back)
        return refusal;
    constexpr double mostSpread = 1.25;
    auto wait = std::chrono::duration<double>(*back - now) * std::uniform_real_distribution<double>(1, mostSpread)(m_context.random);
    return { .comeBackAfter = std::max(std::chrono::ceil<Milliseconds>(wait), m_context.options.comeBackAfter), .reason = "endpoints_rest" };
}

asio::awaitable<ExchangeEnd> Exchange::passFailure()
{
    auto bytes = answerHead(*m_failure, m_failureBody.size()) + m_failureBody;
    auto written = co_await toCaller(bytes);
    writeLog(m_failure->status, "endpoint_failed");
    co_return written ? ExchangeEnd::Answered : ExchangeEnd::Close;
}

// Only what an endpoint runs counts against the limit.
void Exchange::refundTeam()
{
    if (m_team && m_charged > 0)
        m_context.teams.refund(m_team->name, m_charged);
    m_charged = 0;
}

const RequestDigest& Exchange::digest()
{
    if (!m_digest)
        m_digest = digestOf(m_team ? std::string_view(m_team->name) : std::string_view(), m_request.head.value("host"), m_request.head.target, m_request.body);
    return *m_digest;
}

std::string Exchange::requestHead(const ListedEndpoint& endpoint) const
{
    const auto& names = m_context.options.names;
    std::string text = m_request.head.method + " " + m_request.head.target + " HTTP/1.1\r\n";
    for (const auto& it : m_request.head.fields) {
        bool replaced = equalsIgnoringCase(it.name, names.key) || equalsIgnoringCase(it.name, names.deadline) || equalsIgnoringCase(it.name, names.lastEventId)
            || std::any_of(names.ours.begin(), names.ours.end(), [&](const auto& name) { return equalsIgnoringCase(name, it.name); });
        if (!replaced && !concernsConnection(m_request.head, it.name))
            text += it.name + ": " + it.value + "\r\n";
    }
    auto add = [&](const std::string& name, const std::string& value) { text += name + ": " + value + "\r\n"; };
    add(names.deadline, std::to_string(std::max<std::int64_t>(1, timeLeft().count())));
    add(names.expectedEndpoint, endpoint.id);
    if (m_team)
        add(names.team, m_team->name);
    if (m_events.lastId())
        add(names.lastEventId, std::to_string(*m_events.lastId()));
    if (m_route->kind == RequestKind::Stream) {
        constexpr int leastUrgent = 9;
        add(names.priority, std::to_string(std::clamp(priority(), 0, leastUrgent)));
    }
    if (!m_request.body.empty() || m_request.head.contentLength || m_request.head.chunked)
        add("Content-Length", std::to_string(m_request.body.size()));
    return text + "\r\n";
}

std::string Exchange::answerHead(const HttpHead& head, std::optional<std::size_t> length) const
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + std::string(reasonPhrase(head.status)) + "\r\n";
    for (const auto& it : head.fields) {
        if (!concernsConnection(head, it.name))
            text += it.name + ": " + it.value + "\r\n";
    }
    if (m_closeAfter || m_context.stopping)
        text += "Connection: close\r\n";
    bool bodiless = head.status == HttpStatus::noContent || head.status == HttpStatus::notModified;
    if (!length)
        text += "Transfer-Encoding: chunked\r\n";
    else if (m_request.head.method == "HEAD" && head.contentLength)
        text += "Content-Length: " + std::to_string(*head.contentLength) + "\r\n";
    else if (!bodiless)
        text += "Content-Length: " + std::to_string(*length) + "\r\n";
    return text + "\r\n";
}

asio::awaitable<ExchangeEnd> Exchange::answer(OwnAnswer own)
{
    std::string text = "HTTP/1.1 " + std::to_string(own.status) + " " + std::string(reasonPhrase(own.status)) + "\r\n";
    if (!m_requestId.empty())
        text += m_context.options.names.requestId + ": " + m_requestId + "\r\n";
    if (own.comeBackAfter)
        text += "Retry-After: " + secondsText(*own.comeBackAfter) + "\r\n";
    if (m_closeAfter || m_context.stopping)
        text += "Connection: close\r\n";
    text += "Content-Length: 0\r\n\r\n";
    writeLog(own.status, own.reason);
    co_return co_await toCaller(text) ? ExchangeEnd::Answered : ExchangeEnd::Close;
}

asio::awaitable<bool> Exchange::toCaller(std::string_view bytes)
{
    // A caller that reads slowly holds its own request up, until its time is over. Its last bytes get a little longer.
    constexpr Milliseconds lastBytes { 1000 };
    auto ec = co_await m_caller->write(bytes, std::max(m_deadline, steadyNow() + lastBytes));
    co_return !ec && !m_callerLeft;
}

} // namespace Onyxnotch
