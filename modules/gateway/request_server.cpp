#include "modules/gateway/request_server.h"

#include "core/log.h"
#include "core/net/http_status.h"
#include "modules/request/chat_protocol.h"
#include <algorithm>
#include <random>
#include <thread>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds drainingCheckPeriod { 100 };
    constexpr Milliseconds expirePeriod { 1000 };
    // Longest delay before new findings about suspected requests are sent. Each node relays findings that are new to it; nothing is
    // sent if there are none.
    constexpr Milliseconds suspectUpdatePeriod { 100 };
    constexpr std::size_t suspectUpdateFanOut { 4 }; // Three hops are enough for sixty gateways.
    constexpr Milliseconds suspectUpdateTimeout { 500 };
    // Interval at which blocked requests are sent again, for nodes that have just started or missed an update.
    constexpr Milliseconds blockedResendPeriod { 1000 };
    constexpr Milliseconds successorTimeout { 1500 };
    constexpr Milliseconds successorPoll { 20 };
    constexpr std::size_t maximumPlainTraces = 10000;
    constexpr Milliseconds minimumRetryAfter { 100 };
    constexpr Milliseconds maximumRetryAfter { 5000 };

    RequestError refusal(int status, std::string reason, Milliseconds retryAfter = Milliseconds(0))
    {
        return { .outcome = RequestOutcome::NotRun, .httpStatus = status, .reason = std::move(reason), .retryAfter = retryAfter };
    }

    RequestError unknownOutcome(std::string reason)
    {
        return { .outcome = RequestOutcome::Unknown, .httpStatus = HttpStatus::gatewayTimeout, .reason = std::move(reason) };
    }

} // namespace

RequestServer::RequestServer(const RequestServerOptions& options, const StateReplica& replica, MembershipServer& membership, const EndpointDirectory& directory, TimerService& timers, Metrics& metrics)
    : m_options(options)
    , m_replica(replica)
    , m_membership(membership)
    , m_directory(directory)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_admission(options.admission)
    , m_retries(options.retriesPerRequest, options.retryBurst)
    , m_suspects({ .node = options.node })
    , m_runner(options.runner, directory, m_retries, m_suspects, metrics)
    , m_ledgers(options.ledgers)
    , m_handover(options.handover, membership, m_ledgers, metrics)
{
}

RequestServer::~RequestServer()
{
    m_subscriptions.clear();
    for (const auto& it : m_table.all())
        it->interrupt(Interruption::Handover);
    abandonPlainCalls();
    std::unique_lock lock(m_mutex);
    m_idleCondition.wait(lock, [this] { return m_requestThreads == 0; });
}

void RequestServer::start()
{
    m_subscriptions.push_back(m_timers.every(drainingCheckPeriod, [this] { interruptOnDrainingEndpoints(); }));
    m_subscriptions.push_back(m_timers.every(expirePeriod, [this] { expire(); }));
    m_subscriptions.push_back(m_timers.every(suspectUpdatePeriod, [this] { sendSuspectUpdate(); }));
}

// --- Tickets ---

std::optional<Member> RequestServer::waitForSuccessor() const
{
    // The ledgers are being handed over, which takes a few messages. If the reply to them is lost, the successor still announces
    // through the membership that it has the ledgers.
    auto limit = steadyNow() + successorTimeout;
    while (steadyNow() < limit) {
        if (auto successor = m_handover.successor())
            return successor;
        auto announced = m_membership.view()->responsibleNode(m_options.node, m_options.incarnation);
        if (announced && announced->node != m_options.node)
            return announced;
        std::this_thread::sleep_for(successorPoll);
    }
    return std::nullopt;
}

void RequestServer::resolveHandedOverTicket(TicketDecision& decision, bool forwarded) const
{
    decision.forwardTo = forwarded ? std::nullopt : waitForSuccessor();
    if (!decision.forwardTo)
        decision.error = unknownOutcome("this node is leaving and its successor is not known");
}

RequestServer::TicketLocation RequestServer::locateTicket(const Ticket& ticket, bool forwarded) const
{
    if (m_ledgers.hostsLedgerOf(ticket)) {
        bool isHandedOver = m_ledgers.given();
        return { .isLocal = !isHandedOver, .isHandedOver = isHandedOver, .forwardTo = std::nullopt };
    }
    if (forwarded)
        return {};
    auto member = m_membership.view()->responsibleNode(ticket.node, ticket.incarnation);
    if (member && member->node == m_options.node)
        member.reset();
    return { .isLocal = false, .isHandedOver = false, .forwardTo = member };
}

RequestServer::TicketDecision RequestServer::decideTicket(const AuthenticatedClient& client, const std::string& text, bool repeatable, bool forwarded)
{
    auto ticket = parseTicket(text);
    if (!ticket)
        return { .error = refusal(HttpStatus::badRequest, ticket.error().message) };
    auto location = locateTicket(ticket.value(), forwarded);
    if (location.isLocal)
        return decideLocalTicket(client, ticket.value(), repeatable);
    if (location.isHandedOver)
        return { .isHandedOver = true };
    if (location.forwardTo)
        return { .forwardTo = location.forwardTo };
    if (repeatable)
        return { .runAsNew = true };
    return { .error = unknownOutcome("the node that answers for this ticket cannot be asked") };
}

RequestServer::TicketDecision RequestServer::decideLocalTicket(const AuthenticatedClient& client, const Ticket& ticket, bool repeatable)
{
    auto decision = m_ledgers.admit(ticket, client.team);
    if (!decision && decision.error().code == ErrorCode::Unauthorized)
        return { .error = refusal(HttpStatus::forbidden, decision.error().message) };
    if (!decision)
        return { .error = unknownOutcome(decision.error().message) };
    switch (decision.value().verdict) {
    case LedgerVerdict::Run:
        return { .requestId = ticket.text() };
    case LedgerVerdict::Known:
        return decideByLedgerEntry(*decision.value().entry, repeatable);
    case LedgerVerdict::Refused:
        return { .error = refusal(HttpStatus::serviceUnavailable, "this ticket was refused before", m_options.defaultRetryAfter) };
    case LedgerVerdict::Full:
        return { .error = refusal(HttpStatus::serviceUnavailable, "the request ledger of this node is full", m_options.defaultRetryAfter) };
    case LedgerVerdict::Expired:
        if (repeatable)
            return { .runAsNew = true };
        return { .error = unknownOutcome("the ticket has expired") };
    case LedgerVerdict::Given:
        return { .isHandedOver = true };
    }
    return { .error = unknownOutcome("not decided") };
}

RequestServer::TicketDecision RequestServer::decideByLedgerEntry(const LedgerEntry& entry, bool repeatable)
{
    bool isLocal = entry.holderNode == m_options.node && entry.holderIncarnation == m_options.incarnation;
    if (isLocal || entry.outcome != RequestOutcome::Running)
        return { .existing = entry };
    auto holder = m_membership.view()->responsibleNode(entry.holderNode, entry.holderIncarnation);
    if (holder && holder->node != m_options.node)
        return { .forwardTo = holder };
    if (repeatable)
        return { .runAsNew = true };
    return { .error = unknownOutcome("the node that ran it is gone") };
}

RequestServer::TicketDecision RequestServer::admitUnderNewTicket(const AuthenticatedClient& client, bool mayHaveRunElsewhere)
{
    auto refuse = [&](const std::string& reason) {
        return mayHaveRunElsewhere ? unknownOutcome(reason) : refusal(HttpStatus::serviceUnavailable, reason, m_options.defaultRetryAfter);
    };
    if (m_isShuttingDown) {
        auto error = refuse("this node is leaving");
        error.addresses = addresses(4);
        return { .error = error };
    }
    auto ticket = m_ledgers.issue(client.team);
    auto decision = m_ledgers.admit(ticket, client.team);
    if (!decision || decision.value().verdict != LedgerVerdict::Run)
        return { .error = refuse("the request ledger of this node is full") };
    return { .requestId = ticket.text() };
}

std::string RequestServer::issueTicket(const AuthenticatedClient& client) { return m_ledgers.issue(client.team).text(); }

std::vector<std::string> RequestServer::addresses(std::size_t count) const
{
    auto view = m_membership.view();
    auto members = view->usable(MemberRole::Gateway);
    thread_local std::mt19937_64 random { std::random_device {}() };
    std::shuffle(members.begin(), members.end(), random);
    // Orders gateways round-robin by zone, so that a client still knows a reachable gateway if a whole zone fails.
    std::map<std::string, unsigned> zoneCounts;
    std::vector<std::pair<unsigned, std::string>> ranked;
    ranked.reserve(members.size());
    for (const auto& it : members)
        ranked.emplace_back(zoneCounts[it.zone]++, it.httpAddress().text());
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<std::string> chosen;
    for (std::size_t n = 0; n < ranked.size() && n < count; ++n)
        chosen.push_back(ranked[n].second);
    return chosen;
}

// --- Acceptance ---

std::optional<RequestError> RequestServer::permissionError(const AuthenticatedClient& client, const std::string& service, ServiceType type) const
{
    auto state = m_replica.state();
    const auto* object = state->configuration.find({ .kind = ObjectKind::Service, .name = service });
    const auto* spec = object ? std::get_if<ServiceSpec>(&object->spec) : nullptr;
    if (!spec || spec->type != type)
        return refusal(HttpStatus::notFound, "no such service: " + service);
    if (!client.services.matches(object->labels))
        return refusal(HttpStatus::forbidden, "team " + client.team + " may not call " + service);
    return std::nullopt;
}

std::optional<RequestError> RequestServer::admissionError(const AuthenticatedClient& client)
{
    auto nodes = m_membership.view()->usable(MemberRole::Gateway).size();
    AdmissionRequest request {
        .team = client.team,
        .teamRatePerSecond = client.requestsPerSecond,
        .nodes = static_cast<unsigned>(std::max<std::size_t>(1, nodes)),
        .priority = client.priority,
        .active = static_cast<unsigned>(m_table.runningCount()),
    };
    auto refused = m_admission.admit(request, steadyNow());
    m_metrics.increment("onyxnotch_admissions_total", { { "team", client.team }, { "result", refused ? "refused" : "accepted" } });
    if (!refused)
        return std::nullopt;
    return refusal(HttpStatus::tooManyRequests, refused->reason, refused->retryAfter);
}

std::optional<RequestError> RequestServer::latenessError(const AuthenticatedClient& client, const ChatRequest& chat) const
{
    auto served = m_directory.servedModel(chat.service);
    if (m_options.timelyPart <= 0 || client.priority > 0 || !served)
        return std::nullopt;
    RouteRequest route { .promptTokens = estimateTokens(chat.prompt), .expectedTokens = chat.maximumTokens, .prefixHash = prefixHashOf(chat.prompt), .objective = served->objective };
    // Without any endpoint there is no delay, so the request is admitted: an endpoint may appear while it waits.
    auto delay = m_directory.delayUntilTimely(chat.service, route, m_options.timelyPart);
    if (!delay)
        return std::nullopt;
    auto retryAfter = std::clamp(*delay, minimumRetryAfter, maximumRetryAfter);
    m_metrics.increment("onyxnotch_admissions_total", { { "team", client.team }, { "result", "too_late" } });
    return refusal(HttpStatus::tooManyRequests, "every endpoint is too busy for the objective of " + chat.service, retryAfter);
}

Acceptance RequestServer::acceptModel(const AuthenticatedClient& client, const ChatRequest& chat, const std::string& ticket, bool forwarded)
{
    Acceptance acceptance;
    acceptance.error = permissionError(client, chat.service, ServiceType::Model);
    if (acceptance.error)
        return acceptance;
    if (!ticket.empty() && m_table.find(ticket))
        return find(client, ticket, forwarded);
    std::shared_lock acceptanceLock(m_acceptanceMutex);
    auto decision = ticket.empty() ? admitUnderNewTicket(client, false) : decideTicket(client, ticket, true, forwarded);
    if (decision.isHandedOver) {
        acceptanceLock.unlock();
        resolveHandedOverTicket(decision, forwarded);
    }
    bool runsAsNew = decision.runAsNew;
    if (runsAsNew)
        decision = admitUnderNewTicket(client, true);
    if (decision.existing) {
        acceptanceLock.unlock();
        return findOrLocate(ticket, forwarded);
    }
    acceptance.error = decision.error;
    acceptance.forwardTo = decision.forwardTo;
    acceptance.requestId = decision.requestId;
    if (acceptance.error || acceptance.forwardTo)
        return acceptance;
    auto refused = suspectedRequestError(digestOf(client.team, chat.service, {}, chat.prompt));
    if (!refused)
        refused = admissionError(client);
    if (!refused)
        refused = latenessError(client, chat);
    if (refused) {
        // Recorded in the ledger as not run, so that a copy of the request that arrives later isn't executed either.
        m_ledgers.finish(decision.requestId, RequestOutcome::NotRun);
        acceptance.error = runsAsNew ? unknownOutcome(refused->reason) : *refused;
        return acceptance;
    }
    m_retries.onRequest();
    RequestDescription description {
        .id = decision.requestId,
        .team = client.team,
        .service = chat.service,
        .prompt = chat.prompt,
        .promptTokens = estimateTokens(chat.prompt),
        .maximumTokens = chat.maximumTokens,
        .priority = client.priority,
    };
    acceptance.request = std::make_shared<ActiveRequest>(description, steadyNow() + m_options.requestDeadline);
    acceptance.request->trace(m_options.node, "accepted", "team " + client.team + ", service " + chat.service);
    m_table.add(acceptance.request);
    startThread(acceptance.request);
    return acceptance;
}

Acceptance RequestServer::findOrLocate(const std::string& requestId, bool forwarded)
{
    Acceptance acceptance;
    acceptance.requestId = requestId;
    acceptance.request = m_table.find(requestId);
    if (acceptance.request)
        return acceptance;
    auto ticket = parseTicket(requestId);
    if (!ticket) {
        acceptance.error = refusal(HttpStatus::notFound, "no such request");
        return acceptance;
    }
    auto location = locateTicket(ticket.value(), forwarded);
    acceptance.forwardTo = location.isHandedOver && !forwarded ? waitForSuccessor() : location.forwardTo;
    auto entry = location.isLocal ? m_ledgers.find(requestId) : std::nullopt;
    if (entry) {
        auto existing = decideByLedgerEntry(*entry, false);
        acceptance.forwardTo = forwarded ? std::nullopt : existing.forwardTo;
    }
    if (!acceptance.forwardTo) {
        acceptance.error = unknownOutcome("the request is not known here any more");
        if (location.isLocal && !entry)
            acceptance.error = RequestError { .outcome = RequestOutcome::Unknown, .httpStatus = HttpStatus::notFound, .reason = "no such request, or one too old to tell" };
        if (entry && entry->outcome == RequestOutcome::NotRun)
            acceptance.error = refusal(HttpStatus::serviceUnavailable, "the request was refused", m_options.defaultRetryAfter);
    }
    return acceptance;
}

Acceptance RequestServer::find(const AuthenticatedClient& client, const std::string& requestId, bool forwarded)
{
    auto acceptance = findOrLocate(requestId, forwarded);
    // A request of another team is reported as not found, so that its existence isn't revealed.
    if (acceptance.request && acceptance.request->description().team != client.team) {
        acceptance.request = nullptr;
        acceptance.error = refusal(HttpStatus::notFound, "no such request");
    }
    return acceptance;
}

Acceptance RequestServer::findForOperator(const std::string& requestId, bool forwarded) { return findOrLocate(requestId, forwarded); }

// --- Plain services ---

PlainAcceptance RequestServer::runPlain(const AuthenticatedClient& client, PlainRequest request, const std::string& ticket, bool forwarded)
{
    PlainAcceptance acceptance;
    acceptance.error = permissionError(client, request.service, ServiceType::Plain);
    if (acceptance.error)
        return acceptance;
    request.repeatable = m_replica.state()->configuration.service(request.service)->repeatable;
    if (ticket.empty() && !request.repeatable) {
        acceptance.error = refusal(HttpStatus::preconditionRequired, "a call that may not be repeated needs a ticket");
        acceptance.error->ticket = m_isShuttingDown ? std::string() : issueTicket(client);
        acceptance.error->addresses = m_isShuttingDown ? addresses(4) : std::vector<std::string>();
        return acceptance;
    }
    std::shared_lock acceptanceLock(m_acceptanceMutex);
    auto decision = ticket.empty() ? admitUnderNewTicket(client, false) : decideTicket(client, ticket, request.repeatable, forwarded);
    if (decision.isHandedOver) {
        acceptanceLock.unlock();
        resolveHandedOverTicket(decision, forwarded);
    }
    bool runsAsNew = decision.runAsNew;
    if (runsAsNew)
        decision = admitUnderNewTicket(client, true);
    acceptance.error = decision.error;
    acceptance.forwardTo = decision.forwardTo;
    acceptance.requestId = decision.existing ? decision.existing->requestId : decision.requestId;
    if (acceptance.error || acceptance.forwardTo)
        return acceptance;
    if (decision.existing) {
        acceptanceLock.unlock();
        return recordedPlainAnswer(*decision.existing);
    }
    auto refused = suspectedRequestError(digestOf(client.team, request.service, request.path, request.body));
    if (!refused)
        refused = admissionError(client);
    if (refused) {
        m_ledgers.finish(decision.requestId, RequestOutcome::NotRun);
        acceptance.error = runsAsNew ? unknownOutcome(refused->reason) : *refused;
        return acceptance;
    }
    m_retries.onRequest();
    request.team = client.team;
    auto call = std::make_shared<PlainCall>(m_options.plain, m_directory, m_retries, m_suspects, m_metrics);
    {
        std::lock_guard lock(m_mutex);
        m_plainCalls.emplace(decision.requestId, call);
        m_plainTraces.emplace_back(decision.requestId, TraceEntry { .wallTime = wallMilliseconds(), .node = m_options.node, .event = "accepted", .detail = "team " + client.team + ", service " + request.service });
    }
    acceptanceLock.unlock();
    request.id = decision.requestId;
    acceptance.answer = runPlainLocally(request, decision.requestId);
    return acceptance;
}

PlainAnswer RequestServer::runPlainLocally(PlainRequest request, const std::string& requestId)
{
    std::shared_ptr<PlainCall> call;
    {
        std::lock_guard lock(m_mutex);
        call = m_plainCalls.at(requestId);
    }
    m_table.incrementRunningCount();
    auto answer = call->run(request, steadyNow() + m_options.requestDeadline);
    m_ledgers.finish(requestId, answer.outcome, answer.httpStatus, answer.body);
    if (m_ledgers.given())
        m_handover.sendUpdate(requestId);
    m_table.decrementRunningCount();
    m_metrics.increment("onyxnotch_requests_total", { { "service", request.service }, { "outcome", toString(answer.outcome) } });
    logEvent(LogLevel::Info, "request_ended", { { "request_id", requestId }, { "service", request.service }, { "outcome", toString(answer.outcome) }, { "reason", answer.reason } });
    std::lock_guard lock(m_mutex);
    m_plainCalls.erase(requestId);
    m_plainTraces.emplace_back(requestId, TraceEntry { .wallTime = wallMilliseconds(), .node = m_options.node, .event = toString(answer.outcome), .detail = answer.reason });
    while (m_plainTraces.size() > maximumPlainTraces)
        m_plainTraces.pop_front();
    m_idleCondition.notify_all();
    return answer;
}

PlainAcceptance RequestServer::recordedPlainAnswer(const LedgerEntry& existing)
{
    PlainAcceptance acceptance;
    acceptance.requestId = existing.requestId;
    auto entry = m_ledgers.waitFinished(existing.requestId, m_options.requestDeadline);
    if (!entry || entry->outcome == RequestOutcome::Running || entry->outcome == RequestOutcome::Unknown) {
        acceptance.error = unknownOutcome("an earlier copy of the request may have run");
        return acceptance;
    }
    if (entry->outcome == RequestOutcome::NotRun) {
        acceptance.error = refusal(HttpStatus::serviceUnavailable, "the request was refused", m_options.defaultRetryAfter);
        return acceptance;
    }
    acceptance.answer = PlainAnswer { .outcome = entry->outcome, .httpStatus = entry->httpStatus, .contentType = "application/json", .body = entry->body };
    return acceptance;
}

std::vector<TraceEntry> RequestServer::plainTrace(const std::string& requestId) const
{
    std::lock_guard lock(m_mutex);
    std::vector<TraceEntry> entries;
    for (const auto& [id, entry] : m_plainTraces) {
        if (id == requestId)
            entries.push_back(entry);
    }
    return entries;
}

// --- Running ---

void RequestServer::startThread(const std::shared_ptr<ActiveRequest>& request)
{
    {
        std::lock_guard lock(m_mutex);
        ++m_requestThreads;
    }
    m_table.incrementRunningCount();
    request->setRunning(true);
    std::thread([this, request] {
        runRequest(request);
        request->setRunning(false);
        m_table.decrementRunningCount();
        std::lock_guard lock(m_mutex);
        --m_requestThreads;
        m_idleCondition.notify_all();
    }).detach();
}

void RequestServer::runRequest(const std::shared_ptr<ActiveRequest>& request)
{
    m_runner.run(*request);
    auto outcome = request->answer().outcome();
    if (outcome == RequestOutcome::Running)
        return; // Another node runs the request now.
    const auto& description = request->description();
    m_ledgers.finish(description.id, outcome);
    m_metrics.increment("onyxnotch_requests_total", { { "service", description.service }, { "outcome", toString(outcome) } });
    m_metrics.increment("onyxnotch_generated_tokens_total", { { "service", description.service } }, request->answer().tokens());
    logEvent(LogLevel::Info, "request_ended", { { "request_id", description.id }, { "service", description.service }, { "outcome", toString(outcome) }, { "tokens", request->answer().tokens() } });
}

void RequestServer::interruptOnDrainingEndpoints()
{
    std::map<std::string, double> transfers;
    for (const auto& it : m_table.all()) {
        auto place = it->place();
        if (place.empty() || it->answer().outcome() != RequestOutcome::Running || !m_directory.isLeaving(place.endpoint))
            continue;
        auto& transfersAhead = transfers[place.endpoint];
        if (m_runner.planForDrainingEndpoint(*it, transfersAhead).action == ReclaimAction::Stay)
            continue;
        ++transfersAhead;
        it->interrupt(Interruption::EndpointDraining);
    }
}

std::optional<RequestError> RequestServer::suspectedRequestError(const RequestDigest& digest)
{
    return m_suspects.use([&](SuspectTracker& tracker) -> std::optional<RequestError> {
        auto now = steadyNow();
        if (tracker.maySend(digest, now))
            return std::nullopt;
        return refusal(HttpStatus::serviceUnavailable, "endpoints end under this request", std::max(tracker.remainingBlockTime(digest, now), m_options.defaultRetryAfter));
    });
}

void RequestServer::sendSuspectUpdate()
{
    auto now = steadyNow();
    SuspectUpdate update;
    m_suspects.use([&](SuspectTracker& tracker) {
        for (const auto& it : tracker.takeNewlyBlocked())
            logEvent(LogLevel::Warning, "request_blocked", { { "digest", it.request.text() }, { "ended_endpoints", tracker.endedIncarnations(it.request) }, { "round", static_cast<unsigned>(it.round) } });
        for (const auto& it : tracker.takeNewlyCleared())
            logEvent(LogLevel::Info, "request_cleared", { { "digest", it.text() } });
        bool isNew = tracker.takeHasUpdate();
        isNew = tracker.takeRelayDue() || isNew;
        if (isNew || now - m_suspectsSentAt >= blockedResendPeriod)
            update = tracker.relayedUpdate(now);
    });
    if (update.empty())
        return;
    m_suspectsSentAt = now;
    auto view = m_membership.view();
    auto others = view->usable(MemberRole::Gateway);
    std::erase_if(others, [&](const Member& it) { return it.node == view->self.node; });
    thread_local std::mt19937_64 random { std::random_device {}() };
    std::shuffle(others.begin(), others.end(), random);
    others.resize(std::min(others.size(), suspectUpdateFanOut));
    // Errors are ignored: a gateway that can't be reached receives the update from another one.
    for (const auto& it : others)
        (void)callPeer(it.peerAddress(), packMessage(MessageType::SuspectNotice, update), suspectUpdateTimeout);
}

void RequestServer::applySuspectUpdate(const SuspectUpdate& update)
{
    m_suspects.use([&](SuspectTracker& tracker) { tracker.onPeerUpdate(update, steadyNow()); });
}

void RequestServer::expire()
{
    m_ledgers.expire();
    m_table.expire(steadyNow(), m_options.retention);
    for (const auto& it : m_table.all()) {
        if (it->answer().outcome() == RequestOutcome::Running && it->timeWithoutReader() > m_options.runner.unreadLimit)
            it->interrupt(Interruption::Cancelled);
    }
    m_metrics.set("onyxnotch_running_requests", static_cast<double>(m_table.runningCount()));
    m_metrics.set("onyxnotch_ledger_entries", static_cast<double>(m_ledgers.entryCount()));
}

} // namespace Onyxnotch
