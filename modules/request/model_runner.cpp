#include "modules/request/model_runner.h"

#include "core/digest.h"
#include "core/log.h"
#include <random>
#include <sstream>
#include <thread>

namespace Onyxnotch {

namespace {

    constexpr std::size_t hashedPrefixBytes = 512;
    constexpr std::size_t bytesPerToken = 4;
    constexpr Milliseconds pollInterval { 50 };
    constexpr Milliseconds maximumBackoff { 500 };

    Milliseconds jittered(Milliseconds limit)
    {
        thread_local std::mt19937_64 random { std::random_device {}() };
        return Milliseconds(std::uniform_int_distribution<std::int64_t>(limit.count() / 2, limit.count())(random));
    }

} // namespace

unsigned estimateTokens(std::string_view text)
{
    return static_cast<unsigned>(text.size() / bytesPerToken + 1);
}

RequestDigest digestOf(const RequestDescription& description) { return digestOf(description.team, description.service, {}, description.prompt); }

std::uint64_t prefixHashOf(std::string_view prompt) { return fastHash(prompt.substr(0, hashedPrefixBytes)); }

// State of one call of run().
struct ModelRunner::Progress {
    unsigned attempts { 0 };
    unsigned resumes { 0 };
    std::uint64_t sizeAtResume { 0 };
    std::set<std::string> excluded; // Endpoints that refused this request or failed.
    Milliseconds backoff { 0 };
    std::optional<SteadyTime> waitingSince; // Since when no endpoint can be chosen.
    LoadTracker::InFlight inFlight;
    SteadyTime sentAt {}; // When the current attempt was sent.
};

ModelRunner::ModelRunner(const ModelRunnerOptions& options, const EndpointDirectory& directory, RetryBudget& retries, SharedSuspects& suspects, Metrics& metrics)
    : m_options(options)
    , m_directory(directory)
    , m_retries(retries)
    , m_suspects(suspects)
    , m_metrics(metrics)
{
}

std::string ModelRunner::newAttemptId() const
{
    std::ostringstream stream;
    stream << m_options.node << '-' << std::hex << m_options.incarnation << '-' << m_nextAttempt++;
    return stream.str();
}

void ModelRunner::run(ActiveRequest& request) const
{
    Progress progress;
    progress.backoff = m_options.firstBackoff;
    while (attemptOnce(request, progress) == Step::Continue) { }
}

ModelRunner::Step ModelRunner::attemptOnce(ActiveRequest& request, Progress& progress) const
{
    auto interruption = request.consumeInterruption();
    if (interruption == Interruption::Handover) {
        reportAttemptEnded(request);
        return Step::Stop;
    }
    if (interruption == Interruption::Cancelled)
        return finish(request, RequestOutcome::Failed, "cancelled: nobody read the answer");
    if (steadyNow() >= request.deadline())
        return finish(request, request.mayHaveRun() ? RequestOutcome::Failed : RequestOutcome::NotRun, "deadline passed");
    auto location = request.place();
    if (location.empty())
        return startAttempt(request, progress);
    if (interruption == Interruption::EndpointDraining || m_directory.isLeaving(location.endpoint))
        return moveOffEndpoint(request, progress);
    return resumeAttempt(request, progress);
}

bool ModelRunner::isSendingAllowed(const ActiveRequest& request) const
{
    auto digest = digestOf(request.description());
    return m_suspects.use([&](SuspectTracker& tracker) { return tracker.maySend(digest, steadyNow()); });
}

ModelRunner::Step ModelRunner::startAttempt(ActiveRequest& request, Progress& progress) const
{
    const auto& description = request.description();
    if (progress.attempts >= m_options.maximumAttempts)
        return finish(request, request.mayHaveRun() ? RequestOutcome::Failed : RequestOutcome::NotRun, "no endpoint served it after several attempts");
    if (!isSendingAllowed(request))
        return finish(request, request.mayHaveRun() ? RequestOutcome::Failed : RequestOutcome::NotRun, "endpoints end under this request");
    auto prefixHash = prefixHashOf(description.prompt);
    auto served = m_directory.servedModel(description.service);
    if (!served)
        return finish(request, request.mayHaveRun() ? RequestOutcome::Failed : RequestOutcome::NotRun, "the service is no longer declared");
    auto candidates = m_directory.candidates(description.service, prefixHash, progress.excluded);
    auto generated = request.answer().tokens();
    RouteRequest route {
        .promptTokens = description.promptTokens + generated,
        .expectedTokens = description.maximumTokens - std::min(generated, description.maximumTokens),
        .prefixHash = prefixHash,
        .objective = served->objective,
    };
    auto decision = m_directory.choose(candidates, route);
    if (!decision.candidate) {
        // Allow endpoints that failed before to be chosen again, before the request fails for lack of an endpoint.
        progress.excluded.clear();
        if (!progress.waitingSince)
            progress.waitingSince = steadyNow();
        if (steadyNow() - *progress.waitingSince > m_options.endpointWait)
            return finish(request, request.mayHaveRun() ? RequestOutcome::Failed : RequestOutcome::NotRun, decision.reason);
        std::this_thread::sleep_for(pollInterval);
        return Step::Continue;
    }
    progress.waitingSince.reset();
    const auto& endpoint = candidates[*decision.candidate].endpoint;
    if (!m_directory.loads().takeCredit(endpoint.id)) {
        progress.excluded.insert(endpoint.id);
        return Step::Continue;
    }
    if (progress.attempts > 0 && !request.mayHaveRun() && !m_retries.takeRetry())
        return finish(request, RequestOutcome::NotRun, "the retry budget of this node is used up");
    ++progress.attempts;

    EngineStreamRequest streamRequest {
        .streamId = newAttemptId(),
        .model = served->model,
        .adapter = served->adapter,
        .prompt = description.prompt,
        .prior = request.answer().text(),
        .maximumTokens = description.maximumTokens,
        .priority = description.priority,
    };
    request.trace(m_options.node, "route", endpoint.id + " in " + endpoint.zone + ": " + decision.reason);
    if (request.mayHaveRun()) {
        auto recomputedTokens = description.promptTokens + generated;
        m_metrics.increment("onyxnotch_recomputed_tokens_total", { { "service", description.service } }, recomputedTokens);
        request.trace(m_options.node, "prefill_again", std::to_string(recomputedTokens) + " tokens");
    }
    request.answer().beginAttempt(streamRequest.streamId);
    request.setLocation({ .attempt = streamRequest.streamId, .endpoint = endpoint.id, .address = endpoint.address });
    progress.inFlight = m_directory.loads().begin(endpoint.id, prefixHash, m_directory.expectedPrefill(candidates[*decision.candidate], route), m_directory.gatewayCount());
    m_metrics.increment("onyxnotch_attempts_total", { { "service", description.service } });

    EngineStream stream(endpoint.address);
    if (!request.attach(&stream)) {
        // Interrupted before anything was sent, so the credit was not used.
        m_directory.loads().returnGrantedCredit(endpoint.id);
        request.setLocation({});
        return Step::Continue;
    }
    auto incarnationId = fastHash(endpoint.id);
    progress.sentAt = steadyNow();
    m_suspects.use([&](SuspectTracker& tracker) { tracker.onSent(digestOf(description), incarnationId, zoneHash(endpoint.zone)); });
    stream.onHead([&](std::optional<double> limit) { m_directory.loads().onAdvertisedLimit(endpoint.id, limit, progress.sentAt, m_directory.gatewayCount()); });
    auto end = stream.start(streamRequest, [&](const EngineEvent& event) { return receive(request, streamRequest.streamId, event); });
    request.detach();
    if (auto requestedBackoff = stream.requestedBackoff())
        m_directory.loads().onBackoffRequested(endpoint.id, *requestedBackoff);
    return onStreamEnd(request, progress, end);
}

ModelRunner::Step ModelRunner::resumeAttempt(ActiveRequest& request, Progress& progress) const
{
    auto location = request.place();
    auto size = request.answer().size();
    if (size > progress.sizeAtResume)
        progress.resumes = 0;
    progress.sizeAtResume = size;
    if (++progress.resumes > m_options.maximumResumes) {
        onEngineLost(request, progress, "the engine could not be reached again");
        return Step::Continue;
    }
    if (progress.resumes > 1)
        std::this_thread::sleep_for(jittered(m_options.firstBackoff));
    EngineStream stream(location.address);
    if (!request.attach(&stream))
        return Step::Continue;
    m_metrics.increment("onyxnotch_resumes_total", { { "service", request.description().service } });
    auto end = stream.resume(location.attempt, size, [&](const EngineEvent& event) { return receive(request, location.attempt, event); });
    request.detach();
    // The resume was never sent or was refused: the stream may still run at the engine, so another resume is tried.
    if (end == EngineStreamEnd::NotStarted)
        end = EngineStreamEnd::Lost;
    return onStreamEnd(request, progress, end);
}

EventVerdict ModelRunner::receive(ActiveRequest& request, const std::string& attempt, const EngineEvent& event) const
{
    if (event.streamId != attempt) {
        m_metrics.increment("onyxnotch_frames_dropped_total", { { "reason", "other_attempt" } });
        return EventVerdict::Drop;
    }
    if (event.moved || steadyNow() >= request.deadline())
        return EventVerdict::Stop;
    // A final offset other than the size of the answer means that text is missing: stop, and resume to read it first.
    if (event.end)
        return event.offset == request.answer().size() ? EventVerdict::Take : EventVerdict::Stop;
    auto result = request.answer().append(attempt, event.offset, event.text);
    switch (result) {
    case AppendResult::Appended:
        return EventVerdict::Take;
    case AppendResult::Duplicate:
        m_metrics.increment("onyxnotch_frames_dropped_total", { { "reason", "repeated" } });
        return EventVerdict::Drop;
    case AppendResult::NotCurrent:
    case AppendResult::Gap:
    case AppendResult::Finished:
        m_metrics.increment("onyxnotch_frames_dropped_total", { { "reason", result == AppendResult::Gap ? "gap" : "not_live" } });
        return EventVerdict::Stop;
    }
    return EventVerdict::Stop;
}

ModelRunner::Step ModelRunner::onStreamEnd(ActiveRequest& request, Progress& progress, EngineStreamEnd end) const
{
    switch (end) {
    case EngineStreamEnd::Completed: {
        auto incarnationId = fastHash(request.place().endpoint);
        m_suspects.use([&](SuspectTracker& tracker) { tracker.onAnswered(digestOf(request.description()), incarnationId, progress.sentAt, steadyNow()); });
        m_directory.loads().onRequestAccepted(request.place().endpoint);
        return finish(request, RequestOutcome::Completed, "answer whole");
    }
    case EngineStreamEnd::NotStarted: {
        auto endpoint = request.place().endpoint;
        reportAttemptEnded(request);
        m_directory.loads().onRequestRefused(endpoint);
        progress.excluded.insert(endpoint);
        request.setLocation({});
        request.trace(m_options.node, "refused", endpoint + " did not start it");
        std::this_thread::sleep_for(jittered(progress.backoff));
        progress.backoff = std::min(progress.backoff * 2, maximumBackoff);
        return Step::Continue;
    }
    case EngineStreamEnd::Lost:
        request.markMayHaveRun();
        return Step::Continue;
    case EngineStreamEnd::Gone:
        onEngineLost(request, progress, "the engine does not know the stream");
        return Step::Continue;
    case EngineStreamEnd::WrongOffset:
        abandonAttempt(request, progress, "the engine has no such offset");
        return Step::Continue;
    }
    return Step::Continue;
}

// Reports to the suspect tracker that the request no longer runs at its endpoint, for a reason that does not speak against the request.
void ModelRunner::reportAttemptEnded(const ActiveRequest& request) const
{
    auto incarnationId = fastHash(request.place().endpoint);
    m_suspects.use([&](SuspectTracker& tracker) { tracker.onEnded(digestOf(request.description()), incarnationId); });
}

void ModelRunner::onEngineLost(ActiveRequest& request, Progress& progress, const std::string& reason) const
{
    auto location = request.place();
    // The end of a draining engine is expected, so it is not blamed on the request.
    if (!m_directory.isLeaving(location.endpoint))
        m_suspects.use([&](SuspectTracker& tracker) { tracker.onLost(digestOf(request.description()), fastHash(location.endpoint), steadyNow()); });
    abandonAttempt(request, progress, reason);
}

void ModelRunner::abandonAttempt(ActiveRequest& request, Progress& progress, const std::string& reason) const
{
    auto location = request.place();
    reportAttemptEnded(request);
    request.trace(m_options.node, "abandon", location.endpoint + ": " + reason);
    logEvent(LogLevel::Info, "attempt_abandoned", { { "request_id", request.description().id }, { "endpoint", location.endpoint }, { "reason", reason } });
    progress.excluded.insert(location.endpoint);
    request.markMayHaveRun();
    request.setLocation({});
    // Best effort: if the engine still runs the attempt, this frees its slot.
    (void)EngineClient(location.address).cancel(location.attempt);
}

ReclaimDecision ModelRunner::planForDrainingEndpoint(const ActiveRequest& request, double concurrentTransfers) const
{
    auto location = request.place();
    auto untilEnd = m_directory.timeLeft(location.endpoint);
    auto generated = request.answer().tokens();
    const auto& description = request.description();
    auto remaining = description.maximumTokens - std::min(generated, description.maximumTokens);
    // Without a deadline, as for a drain by an operator, the stream can finish where it is.
    if (!untilEnd)
        return { .action = ReclaimAction::Stay, .reason = "no deadline is known" };
    return planReclaim({ .timeLeft = *untilEnd, .contextTokens = description.promptTokens + generated, .remainingTokens = remaining, .concurrentTransfers = concurrentTransfers }, m_options.reclaim);
}

ModelRunner::Step ModelRunner::moveOffEndpoint(ActiveRequest& request, Progress& progress) const
{
    auto decision = planForDrainingEndpoint(request, 0);
    auto location = request.place();
    request.trace(m_options.node, "endpoint_leaving", location.endpoint + ": " + toString(decision.action) + ", " + decision.reason);
    m_metrics.increment("onyxnotch_reclaim_actions_total", { { "action", toString(decision.action) } });
    if (decision.action == ReclaimAction::Stay)
        return resumeAttempt(request, progress);
    if (decision.action == ReclaimAction::TransferCache) {
        const auto& description = request.description();
        auto candidates = m_directory.candidates(description.service, prefixHashOf(description.prompt), progress.excluded);
        auto choice = m_directory.choose(candidates, { .promptTokens = 0, .expectedTokens = description.maximumTokens });
        bool hasCredit = choice.candidate && m_directory.loads().takeCredit(candidates[*choice.candidate].endpoint.id);
        if (hasCredit && transferCache(request, candidates[*choice.candidate].endpoint)) {
            progress.resumes = 0;
            progress.inFlight = m_directory.loads().begin(candidates[*choice.candidate].endpoint.id, prefixHashOf(description.prompt), 0, 1);
            return Step::Continue;
        }
    }
    abandonAttempt(request, progress, "it is leaving");
    return Step::Continue;
}

bool ModelRunner::transferCache(ActiveRequest& request, const Endpoint& target) const
{
    auto location = request.place();
    auto untilEnd = m_directory.timeLeft(location.endpoint).value_or(Milliseconds(0));
    auto imported = EngineClient(target.address).importStream(location.attempt, location.address, std::max(untilEnd, pollInterval));
    if (!imported) {
        request.trace(m_options.node, "transfer_failed", imported.error().message);
        return false;
    }
    reportAttemptEnded(request);
    m_suspects.use([&](SuspectTracker& tracker) { tracker.onSent(digestOf(request.description()), fastHash(target.id), zoneHash(target.zone)); });
    request.setLocation({ .attempt = location.attempt, .endpoint = target.id, .address = target.address });
    request.trace(m_options.node, "transfer_cache", std::to_string(imported.value()) + " tokens to " + target.id);
    m_metrics.increment("onyxnotch_transferred_tokens_total", {}, static_cast<double>(imported.value()));
    return true;
}

ModelRunner::Step ModelRunner::finish(ActiveRequest& request, RequestOutcome outcome, const std::string& reason) const
{
    auto location = request.place();
    if (outcome != RequestOutcome::Completed && !location.empty()) {
        m_suspects.use([&](SuspectTracker& tracker) { tracker.onLeft(digestOf(request.description()), fastHash(location.endpoint), steadyNow()); });
        (void)EngineClient(location.address).cancel(location.attempt);
    }
    request.trace(m_options.node, toString(outcome), reason);
    request.answer().finish(outcome);
    request.markFinished();
    return Step::Stop;
}

} // namespace Onyxnotch
