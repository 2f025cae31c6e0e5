#include "modules/request/plain_call.h"
#include "core/net/http_status.h"
#include "core/net/retry_after.h"
#include "servers/engine/advertised_limit.h"

#include <algorithm>
#include <random>
#include <thread>

namespace Onyxnotch {

namespace {

    // Response header by which an endpoint, with status 503, states that it has not started the call.
    constexpr auto notStartedHeader = "onyxnotch-not-started";

} // namespace

PlainCall::PlainCall(const PlainCallOptions& options, const EndpointDirectory& directory, RetryBudget& retries, SharedSuspects& suspects, Metrics& metrics)
    : m_options(options)
    , m_directory(directory)
    , m_retries(retries)
    , m_suspects(suspects)
    , m_metrics(metrics)
{
}

PlainAnswer PlainCall::run(const PlainRequest& request, SteadyTime deadline)
{
    std::set<std::string> tried;
    auto backoff = m_options.firstBackoff;
    bool mayHaveRun = false;
    std::string reason = "no endpoint of the service takes work";
    for (unsigned attempt = 0; attempt < m_options.maximumAttempts; ++attempt) {
        if (steadyNow() >= deadline) {
            reason = "deadline passed";
            break;
        }
        auto digest = digestOf(request.team, request.service, request.path, request.body);
        if (!m_suspects.use([&](SuspectTracker& tracker) { return tracker.maySend(digest, steadyNow()); })) {
            reason = "endpoints end under this request";
            break;
        }
        auto endpoints = m_directory.plainEndpoints(request.service, tried);
        if (endpoints.empty())
            break;
        if (attempt > 0) {
            if (!m_retries.takeRetry()) {
                reason = "the retry budget of this node is used up";
                break;
            }
            std::this_thread::sleep_for(backoff);
            backoff *= 2;
        }
        auto chosen = chooseWithCredit(std::move(endpoints));
        if (!chosen) {
            reason = "the endpoints take no more for now";
            break;
        }
        tried.insert(chosen->id);
        auto inFlight = m_directory.loads().begin(chosen->id, 0, 0, 1);
        auto answer = tryAndReport(request, *chosen, deadline);
        if (!answer) {
            reason = "no endpoint could be reached";
            continue;
        }
        if (answer->outcome != RequestOutcome::Unknown || !request.repeatable || m_isAbandoned)
            return *answer;
        mayHaveRun = true;
        reason = answer->reason;
    }
    return { .outcome = mayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun, .reason = reason };
}

std::optional<PlainEndpoint> PlainCall::chooseWithCredit(std::vector<PlainEndpoint> endpoints) const
{
    auto load = [this](const PlainEndpoint& it) { return m_directory.loads().load(it.id, 0).ownInFlight; };
    std::stable_sort(endpoints.begin(), endpoints.end(), [&](const auto& left, const auto& right) { return load(left) < load(right); });
    auto it = std::find_if(endpoints.begin(), endpoints.end(), [this](const PlainEndpoint& endpoint) { return m_directory.loads().takeCredit(endpoint.id); });
    return it == endpoints.end() ? std::nullopt : std::optional(*it);
}

// A call with an unknown outcome may have crashed its endpoint, so it is reported as lost. Successful (2xx) answers to the same request
// speak against that.
std::optional<PlainAnswer> PlainCall::tryAndReport(const PlainRequest& request, const PlainEndpoint& endpoint, SteadyTime deadline)
{
    auto digest = digestOf(request.team, request.service, request.path, request.body);
    auto incarnationId = fastHash(endpoint.id);
    auto sentAt = steadyNow();
    m_suspects.use([&](SuspectTracker& tracker) { tracker.onSent(digest, incarnationId, zoneHash(endpoint.zone)); });
    auto answer = tryEndpoint(request, endpoint, deadline);
    bool isGood = answer && answer->outcome == RequestOutcome::Completed && answer->httpStatus / 100 == 2;
    bool isLost = answer && answer->outcome == RequestOutcome::Unknown && !m_isAbandoned && steadyNow() < deadline;
    m_suspects.use([&](SuspectTracker& tracker) {
        if (isGood)
            tracker.onAnswered(digest, incarnationId, sentAt, steadyNow());
        else if (isLost)
            tracker.onLost(digest, incarnationId, steadyNow());
        else
            tracker.onEnded(digest, incarnationId);
    });
    return answer;
}

std::optional<PlainAnswer> PlainCall::tryEndpoint(const PlainRequest& request, const PlainEndpoint& endpoint, SteadyTime deadline)
{
    HttpStream stream(endpoint.address);
    {
        std::lock_guard lock(m_mutex);
        if (m_isAbandoned)
            return std::nullopt;
        m_stream = &stream;
    }
    auto untilDeadline = std::max(Milliseconds(1), toMilliseconds(deadline - steadyNow()));
    HttpCall call {
        .method = request.method,
        .path = request.path,
        .headers = { { "Idempotency-Key", request.id } },
        .body = request.body,
        .contentType = request.contentType,
        .readTimeout = std::min(m_options.silenceLimit, untilDeadline),
    };
    auto sentAt = steadyNow();
    PlainAnswer answer { .outcome = RequestOutcome::Completed };
    bool notStarted = false;
    bool tooLarge = false;
    auto onHeaders = [&](const HttpReply& reply) {
        answer.httpStatus = reply.status;
        answer.contentType = reply.header("content-type");
        if (auto requestedBackoff = HttpStatus::isRefusalStatus(reply.status) ? parseRetryAfter(reply.header("retry-after")) : std::nullopt)
            m_directory.loads().onBackoffRequested(endpoint.id, *requestedBackoff);
        m_directory.loads().onAdvertisedLimit(endpoint.id, advertisedLimit(reply), sentAt, m_directory.gatewayCount());
        notStarted = reply.status == HttpStatus::serviceUnavailable && !reply.header(notStartedHeader).empty();
        return true;
    };
    auto onData = [&](std::string_view data) {
        answer.body.append(data);
        tooLarge = answer.body.size() > m_options.maximumAnswerBytes;
        return !tooLarge;
    };
    auto result = stream.run(call, onHeaders, onData);
    {
        std::lock_guard lock(m_mutex);
        m_stream = nullptr;
    }
    m_metrics.increment("onyxnotch_plain_attempts_total", { { "service", request.service }, { "result", result ? "ok" : "error" } });
    if (notStarted)
        m_directory.loads().onRequestRefused(endpoint.id);
    if (result && !notStarted) {
        m_directory.loads().onRequestAccepted(endpoint.id);
        return answer;
    }
    if (notStarted || (!result && result.error().code == ErrorCode::Unavailable))
        return std::nullopt;
    auto reason = tooLarge ? std::string("the answer is larger than the limit") : result.error().message;
    return PlainAnswer { .outcome = RequestOutcome::Unknown, .reason = reason };
}

void PlainCall::giveUp()
{
    std::lock_guard lock(m_mutex);
    m_isAbandoned = true;
    if (m_stream)
        m_stream->cancel();
}

} // namespace Onyxnotch
