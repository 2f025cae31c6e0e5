#include "modules/request/model_runner.h"

#include "core/digest.h"
#include "core/log.h"
#include <random>
#include <sstream>
#include <thread>

namespace Onyxnotch {

namespace {

    constexpr std::size_t prefixBytes = 512;
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

std::uint64_t prefixHashOf(std::string_view prompt) { return fastHash(prompt.substr(0, prefixBytes)); }

// What one run of a request has tried so far.
struct ModelRunner::Progress {
    unsigned attempts { 0 };
    unsigned resumes { 0 };
    std::uint64_t sizeAtResume { 0 };
    std::set<std::string> excluded; // Endpoints that refused or failed.
    Milliseconds backoff { 0 };
    std::optional<SteadyTime> waitingSince; // For an endpoint to appear.
    LoadTracker::InFlight inFlight;
    SteadyTime sentAt {}; // Of the attempt.
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
    auto interruption = request.takeInterruption();
    if (interruption == Interruption::Handover) {
        noteEnded(request);
        return Step::Stop;
    }
    if (interruption == Interruption::Cancelled)
        return finish(request, RequestOutcome::Failed, "cancelled: nobody read the answer");
    if (steadyNow() >= request.deadline())
        return finish(request, request.mayHaveRun() ? RequestOutcome::Failed : RequestOutcome::NotRun, "deadline passed");
    auto place = request.place();
    if (place.empty())
        return startAttempt(request, progress);
    if (interruption == Interruption::EndpointLeaving || m_directory.isLeaving(place.endpoint))
        return leaveEndpoint(request, progress);
    return resumeAttempt(request, progress);
}

bool ModelRunner::mayStart(const ActiveRequest& request) const
{
    auto digest = digestOf(request.description());
    return m_suspects.use([&](SuspectBook& book) { return book.maySend(digest, steadyNow()); });
}

ModelRunner::Step ModelRunner::startAttempt(ActiveRequest& request, Progress& progress) const
{
    const auto& description = request.description();
    if (progress.attempts >= m_options.maximumAttempts)
        return finish(request, request.mayHaveRun() ? RequestOutcome::Failed : RequestOutcome::NotRun, "no endpoint served it after several attempts");
    if (!mayStart(request))
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
        // Endpoints that failed once get another chance before the request is given up on.
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

    EngineStreamRequest start {
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
        auto again = description.promptTokens + generated;
        m_metrics.increment("onyxnotch_recomputed_tokens_total", { { "service", description.service } }, again);
        request.trace(m_options.node, "prefill_again", std::to_string(again) + " tokens");
    }
    request.answer().beginAttempt(start.streamId);
    request.setPlace({ .attempt = start.streamId, .endpoint = endpoint.id, .address = endpoint.address });
    progress.inFlight = m_directory.loads().begin(endpoint.id, prefixHash, m_directory.expectedPrefill(candidates[*decision.candidate], route), m_directory.gatewayCount());
    m_metrics.increment("onyxnotch_attempts_total", { { "service", description.service } });

    EngineStream stream(endpoint.address);
    if (!request.attach(&stream)) {
        // Interrupted before the first byte left.
        m_directory.loads().giveCreditBack(endpoint.id);
        request.setPlace({});
        return Step::Continue;
    }
    auto life = fastHash(endpoint.id);
    progress.sentAt = steadyNow();
    m_suspects.use([&](SuspectBook& book) { book.onSent(digestOf(description), life, zoneHash(endpoint.zone)); });
    stream.onHead([&](std::optional<double> limit) { m_directory.loads().namedLimit(endpoint.id, limit, progress.sentAt, m_directory.gatewayCount()); });
    auto end = stream.start(start, [&](const EngineEvent& event) { return receive(request, start.streamId, event); });
    request.detach();
    if (auto rest = stream.askedRest())
        m_directory.loads().askedRest(endpoint.id, *rest);
    return afterStream(request, progress, end);
}

ModelRunner::Step ModelRunner::resumeAttempt(ActiveRequest& request, Progress& progress) const
{
    auto place = request.place();
    auto size = request.answer().size();
    if (size > progress.sizeAtResume)
        progress.resumes = 0;
    progress.sizeAtResume = size;
    if (++progress.resumes > m_options.maximumResumes) {
        loseEngine(request, progress, "the engine could not be reached again");
        return Step::Continue;
    }
    if (progress.resumes > 1)
        std::this_thread::sleep_for(jittered(m_options.firstBackoff));
    EngineStream stream(place.address);
    if (!request.attach(&stream))
        return Step::Continue;
    m_metrics.increment("onyxnotch_resumes_total", { { "service", request.description().service } });
    auto end = stream.resume(place.attempt, size, [&](const EngineEvent& event) { return receive(request, place.attempt, event); });
    request.detach();
    // A resume that was never sent leaves the stream where it was.
    if (end == EngineStreamEnd::NotStarted)
        end = EngineStreamEnd::Lost;
    return afterStream(request, progress, end);
}

EventVerdict ModelRunner::receive(ActiveRequest& request, const std::string& attempt, const EngineEvent& event) const
{
    if (event.streamId != attempt) {
        m_metrics.increment("onyxnotch_frames_dropped_total", { { "reason", "other_attempt" } });
        return EventVerdict::Drop;
    }
    if (event.moved || steadyNow() >= request.deadline())
        return EventVerdict::Stop;
    // An end at another offset than ours is not the end of what we have: read the rest first.
    if (event.end)
        return event.offset == request.answer().size() ? EventVerdict::Take : EventVerdict::Stop;
    auto result = request.answer().append(attempt, event.offset, event.text);
    switch (result) {
    case AppendResult::Taken:
        return EventVerdict::Take;
    case AppendResult::Repeated:
        m_metrics.increment("onyxnotch_frames_dropped_total", { { "reason", "repeated" } });
        return EventVerdict::Drop;
    case AppendResult::NotLive:
    case AppendResult::Gap:
    case AppendResult::Finished:
        m_metrics.increment("onyxnotch_frames_dropped_total", { { "reason", result == AppendResult::Gap ? "gap" : "not_live" } });
        return EventVerdict::Stop;
    }
    return EventVerdict::Stop;
}

ModelRunner::Step ModelRunner::afterStream(ActiveRequest& request, Progress& progress, EngineStreamEnd end) const
{
    switch (end) {
    case EngineStreamEnd::Completed: {
        auto life = fastHash(request.place().endpoint);
        m_suspects.use([&](SuspectBook& book) { book.onAnswered(digestOf(request.description()), life, progress.sentAt, steadyNow()); });
        m_directory.loads().onTaken(request.place().endpoint);
        return finish(request, RequestOutcome::Completed, "answer whole");
    }
    case EngineStreamEnd::NotStarted: {
        auto endpoint = request.place().endpoint;
        noteEnded(request);
        m_directory.loads().onTurnedAway(endpoint);
        progress.excluded.insert(endpoint);
        request.setPlace({});
        request.trace(m_options.node, "refused", endpoint + " did not start it");
        std::this_thread::sleep_for(jittered(progress.backoff));
        progress.backoff = std::min(progress.backoff * 2, maximumBackoff);
        return Step::Continue;
    }
    case EngineStreamEnd::Lost:
        request.noteMayHaveRun();
        return Step::Continue;
    case EngineStreamEnd::Gone:
        loseEngine(request, progress, "the engine does not know the stream");
        return Step::Continue;
    case EngineStreamEnd::WrongOffset:
        abandonAttempt(request, progress, "the engine has no such offset");
        return Step::Continue;
    }
    return Step::Continue;
}

// It runs no more where it was, for reasons of ours.
void ModelRunner::noteEnded(const ActiveRequest& request) const
{
    auto life = fastHash(request.place().endpoint);
    m_suspects.use([&](SuspectBook& book) { book.onEnded(digestOf(request.description()), life); });
}

void ModelRunner::loseEngine(ActiveRequest& request, Progress& progress, const std::string& reason) const
{
    auto place = request.place();
    // An engine that is leaving ends without anybody's fault.
    if (!m_directory.isLeaving(place.endpoint))
        m_suspects.use([&](SuspectBook& book) { book.onLost(digestOf(request.description()), fastHash(place.endpoint), steadyNow()); });
    abandonAttempt(request, progress, reason);
}

void ModelRunner::abandonAttempt(ActiveRequest& request, Progress& progress, const std::string& reason) const
{
    auto place = request.place();
    noteEnded(request);
    request.trace(m_options.node, "abandon", place.endpoint + ": " + reason);
    logEvent(LogLevel::Info, "attempt_abandoned", { { "request_id", request.description().id }, { "endpoint", place.endpoint }, { "reason", reason } });
    progress.excluded.insert(place.endpoint);
    request.noteMayHaveRun();
    request.setPlace({});
    // Best effort: an engine that still runs it would waste its slots.
    (void)EngineClient(place.address).cancel(place.attempt);
}

ReclaimDecision ModelRunner::planFor(const ActiveRequest& request, double transfersAhead) const
{
    auto place = request.place();
    auto left = m_directory.timeLeft(place.endpoint);
    auto generated = request.answer().tokens();
    const auto& description = request.description();
    auto remaining = description.maximumTokens - std::min(generated, description.maximumTokens);
    // Without a deadline, as on an operator's drain, nothing hurries: the stream ends where it is.
    if (!left)
        return { .action = ReclaimAction::Stay, .reason = "no deadline is known" };
    return planReclaim({ .timeLeft = *left, .contextTokens = description.promptTokens + generated, .remainingTokens = remaining, .transfersAhead = transfersAhead }, m_options.reclaim);
}

ModelRunner::Step ModelRunner::leaveEndpoint(ActiveRequest& request, Progress& progress) const
{
    auto decision = planFor(request, 0);
    auto place = request.place();
    request.trace(m_options.node, "endpoint_leaving", place.endpoint + ": " + toString(decision.action) + ", " + decision.reason);
    m_metrics.increment("onyxnotch_reclaim_actions_total", { { "action", toString(decision.action) } });
    if (decision.action == ReclaimAction::Stay)
        return resumeAttempt(request, progress);
    if (decision.action == ReclaimAction::TransferCache) {
        const auto& description = request.description();
        auto candidates = m_directory.candidates(description.service, prefixHashOf(description.prompt), progress.excluded);
        auto choice = m_directory.choose(candidates, { .promptTokens = 0, .expectedTokens = description.maximumTokens });
        bool mayMove = choice.candidate && m_directory.loads().takeCredit(candidates[*choice.candidate].endpoint.id);
        if (mayMove && transferCache(request, candidates[*choice.candidate].endpoint)) {
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
    auto place = request.place();
    auto left = m_directory.timeLeft(place.endpoint).value_or(Milliseconds(0));
    auto imported = EngineClient(target.address).importStream(place.attempt, place.address, std::max(left, pollInterval));
    if (!imported) {
        request.trace(m_options.node, "transfer_failed", imported.error().message);
        return false;
    }
    noteEnded(request);
    m_suspects.use([&](SuspectBook& book) { book.onSent(digestOf(request.description()), fastHash(target.id), zoneHash(target.zone)); });
    request.setPlace({ .attempt = place.attempt, .endpoint = target.id, .address = target.address });
    request.trace(m_options.node, "transfer_cache", std::to_string(imported.value()) + " tokens to " + target.id);
    m_metrics.increment("onyxnotch_transferred_tokens_total", {}, static_cast<double>(imported.value()));
    return true;
}

ModelRunner::Step ModelRunner::finish(ActiveRequest& request, RequestOutcome outcome, const std::string& reason) const
{
    auto place = request.place();
    if (outcome != RequestOutcome::Completed && !place.empty()) {
        m_suspects.use([&](SuspectBook& book) { book.onLeft(digestOf(request.description()), fastHash(place.endpoint), steadyNow()); });
        (void)EngineClient(place.address).cancel(place.attempt);
    }
    request.trace(m_options.node, toString(outcome), reason);
    request.answer().finish(outcome);
    request.noteFinished();
    return Step::Stop;
}

} // namespace Onyxnotch
