// Handles one client request: finds its route and team, checks limits, chooses an endpoint, forwards the request, relays the response,
// and retries at another endpoint (or resumes a stream there) if that is safe. Runs on the request thread.
#pragma once

#include "modules/forward/attempt_tracker.h"
#include "modules/forward/endpoint_call.h"
#include "modules/forward/endpoint_notice.h"
#include "modules/forward/event_stream.h"
#include "modules/forward/pause_meter.h"
#include "modules/suspects/request_digest.h"

namespace Onyxnotch {

// A complete request as the client sent it.
struct ClientRequest {
    HttpHead head {};
    std::string body {};
    SteadyTime arrivedAt {}; // When its first byte was read.
};

// Whether the client's connection can be used for another request.
enum class ExchangeResult {
    Answered, // A complete response was written.
    Close, // The client disconnected, or its response was truncated and must not look complete.
};

class Exchange {
public:
    Exchange(ForwardContext&, std::shared_ptr<AsyncConnection> client, const ClientRequest&, bool closeAfter);

    // Returns when the client has its response or the request cannot be completed.
    asio::awaitable<ExchangeResult> run();
    // Ends the attempt or the wait in progress because the node stops: the client gets the response that the attempts so far allow.
    void endForStop();

private:
    // A response without a body that this node creates itself. `reason` appears only in logs and metrics.
    struct LocalResponse {
        int status { 503 };
        std::optional<Milliseconds> retryAfter {};
        std::string_view reason {};
    };

    static const LocalResponse deadlineExceeded;
    static const LocalResponse endpointFailed;
    static const LocalResponse endedByStop;

    // The steps before an endpoint is chosen. Each returns a response if the request ends at this step, else nullopt.
    std::optional<LocalResponse> findRoute();
    std::optional<LocalResponse> findTeam();
    std::optional<LocalResponse> checkSuspects();
    std::optional<LocalResponse> admit();
    // Logs what this node knows of the team when it refuses a request for the team's limit.
    void logTeamLimit();
    // Refuses the request if its service is short of capacity, as far as the level that all nodes share requires.
    std::optional<LocalResponse> checkAdmissionLevel();
    // The group whose demand and chance of admission the request belongs to.
    AdmissionGroup admissionGroup();
    // Engine time (streams) or slot time (plain requests) that the request is expected to take.
    double expectedWork() const;
    // Records that a stream has begun or a plain request was answered, for the shared level.
    void recordServed();
    void recordRefusedByEndpoint();
    // Reads prompt parts, token counts, deadline and last event id from the header fields.
    void readRequestFields();

    // Serves the request with the current configuration. Returns nullopt if it has to start over, because the configuration changed while
    // it waited.
    asio::awaitable<std::optional<ExchangeResult>> runWithCurrentConfiguration();
    // Takes back what was recorded for a request that has to start over. It was not executed.
    void startOver();
    // Sends the request to one endpoint after another, until one delivers or no retry is allowed. Returns nullopt like
    // runWithCurrentConfiguration().
    asio::awaitable<std::optional<ExchangeResult>> runAttempts();
    // Chooses the endpoint for the next attempt and acquires a credit if it advertises a limit. Returns nullopt if there is no such
    // endpoint.
    asio::awaitable<std::optional<ChosenEndpoint>> selectEndpoint(EndpointRequest&);
    // Acquires a credit if the endpoint advertises a limit and this attempt has none yet. Returns false if none is granted.
    asio::awaitable<bool> ensureCredit(EndpointIncarnation);
    // Returns the credit of an attempt that sent nothing.
    void releaseCredit(const EndpointIncarnation&);
    asio::awaitable<AttemptOutcome> runAttempt(const ChosenEndpoint&);
    asio::awaitable<AttemptOutcome> callEndpoint(EndpointCall&, const ChosenEndpoint&);
    // What was received of an event stream since the read before.
    struct ReceivedEvents {
        std::string bytes {}; // The complete events.
        bool isBroken { false }; // After these events, the stream is not what an endpoint may send, or broke off within an event.
        bool isLast { false }; // The stream is complete.
    };
    // Takes the complete events from the response. `pending` keeps an incomplete event until the next call.
    ReceivedEvents takeEvents(EndpointCall&, std::string& pending);
    // Passes events on as they arrive. Once a part is passed on, the stream can only be resumed, not repeated.
    asio::awaitable<AttemptOutcome> relayStream(EndpointCall&, const ChosenEndpoint&);
    // Outcome of an attempt whose event stream failed.
    AttemptOutcome streamFailure() const;
    // Reads the complete response before passing it on, so that a failed one can still be retried.
    asio::awaitable<AttemptOutcome> relayBuffered(EndpointCall&, const ChosenEndpoint&);
    void recordChoice(const ChosenEndpoint&);
    void recordFirstEvent(const ChosenEndpoint&);
    // Records `events` further events that were received at `receivedAt`. `isWriteSlow`: the client took long to receive the ones before.
    void recordPause(const ChosenEndpoint&, std::uint64_t events, bool isWriteSlow, SteadyTime receivedAt);
    // Counts how an attempt ended for the measured speed and failures of its endpoint over all nodes.
    void recordSpeedOutcome(const EndpointState&, AttemptOutcome);
    void recordSlotTime(const ChosenEndpoint&);
    void updateHealth(EndpointState&, AttemptOutcome);
    void updateSuspects(const EndpointCall&, const ListedEndpoint&, AttemptOutcome);
    void handleHead(const ListedEndpoint&, const HttpHead&);
    void applyNotice(const EndpointIncarnation&, const EndpointNotice&);
    void applyLimit(const EndpointIncarnation&, double perSecond);
    void countNotice(const EndpointNotice&);
    void writeNoticeLog(const ListedEndpoint&, const EndpointNotice&);
    LocalResponse withheldResponse();
    // Refuses a request that was not executed: it might not end before the process does, and another node can serve it now.
    LocalResponse stoppingResponse() const;
    // Whether the request may be sent to an endpoint although the node stops. One that may have been executed is not refused any more: it is
    // answered when the node ends it at the latest.
    bool mayForward() const;
    LocalResponse noEndpointResponse();
    // The delay until the request's next turn, not before `earliest` has passed; `otherwise` if the service is not short over all nodes.
    Milliseconds delayUntilTurn(Milliseconds earliest, Milliseconds otherwise);
    void checkTurn();
    void writeAttemptLog(const EndpointState&, AttemptOutcome);
    EndpointRequest endpointRequest() const;
    VersionLimits versionLimits() const;
    void recordVersionSent(const ListedEndpoint&);
    void recordVersionOutcome(const ChosenEndpoint&, AttemptOutcome);
    int priority() const;
    bool canMeetObjective(const ChosenEndpoint&) const;
    asio::awaitable<ExchangeResult> refuseForCapacity(const ChosenEndpoint&);

    // Waiting for a place, in exchange_queueing.cpp.
    enum class PlaceState {
        Ready, // The request can be sent.
        Unseen, // The view shows no free place, but requests occupy a place for less time than the view is old, so some are free by now.
        Full, // No endpoint has a free slot (plain requests) or is expected to meet the objective (streams).
        NoEndpoint,
    };
    struct PlaceCheck {
        PlaceState state { PlaceState::NoEndpoint };
        std::optional<ChosenEndpoint> chosen {}; // Set unless `state` is NoEndpoint.
        bool isScarce { false }; // Few places of the plain service are free.
    };
    PlaceCheck checkPlace(EndpointRequest&, bool isFirst);
    PacingInput pacingInput(const EndpointRequest&, const ChosenEndpoint&) const;
    bool mayTakePlace(const EndpointRequest&, const PlaceCheck&);
    double expectedQueueSeconds(const QueueEntry&, const PlaceCheck&, const EndpointRequest&) const;
    Milliseconds allowedWait(const PlaceCheck&) const;
    std::optional<LocalResponse> checkStay(const QueueWaiter&);
    // Whether the current configuration no longer gives the request its route, service or team.
    bool isConfigurationOutdated() const;
    // Waits in the queue if the request cannot be sent now but is expected to get a place in time. Returns a response if it is refused;
    // otherwise `request` selects the endpoints that it may go to. `isFirst`: no attempt was made yet. `wasRefused`: an endpoint has just
    // refused it without executing it.
    asio::awaitable<std::optional<LocalResponse>> waitForPlace(EndpointRequest& request, bool isFirst, bool wasRefused);
    asio::awaitable<std::optional<LocalResponse>> waitInQueue(QueueWaiter&, const QueueEntry&, EndpointRequest&, bool isFirst, const LocalResponse& noPlace, bool retriesSameEndpoints);
    PlaceState tryTakePlace(EndpointRequest&, bool isFirst, bool retriesSameEndpoints);
    bool includeRefusingEndpoints(EndpointRequest&);
    // Removes the request from the queue and records how long it waited.
    void leaveQueue(const QueueWaiter&, SteadyTime enteredAt);
    asio::awaitable<ExchangeResult> refuseWaiting(LocalResponse);
    void updateQueueGauge();
    void takePlace();
    void releasePlace(const EndpointRequest&, const ChosenEndpoint&);
    std::string teamName() const;

    std::string requestHead(const ListedEndpoint&) const;
    std::string responseHead(const HttpHead&, std::optional<std::size_t> length) const;
    asio::awaitable<ExchangeResult> respond(LocalResponse);
    // Ends the request after its last attempt, which did not deliver, with the response that the attempts allow.
    asio::awaitable<ExchangeResult> finishUndelivered(AttemptOutcome);
    // Keeps a 5xx response of an endpoint, in case no later attempt succeeds.
    void keepFailure(EndpointCall&, const ChosenEndpoint&);
    // Passes on the last 5xx response of an endpoint.
    asio::awaitable<ExchangeResult> relayFailure();
    void refundTeam();
    asio::awaitable<bool> writeToClient(std::string_view bytes);
    // Ends the write in progress, if there is one: its client takes so long that the response has to be given up for its memory.
    void endWriteForMemory();
    Milliseconds timeLeft() const;
    double objectiveSecondsLeft() const; // Seconds until the route's objective has passed; 0 if it has.
    // Whether the response is an unencoded event stream from the endpoint itself (it has the receipt field), for a stream route.
    bool isEndpointEventStream(const HttpHead&) const;
    // Adds the request to the team's usage, unless events were already received, i.e. the stream is being resumed.
    void countUsage();
    const RequestDigest& digest();
    void writeLog(int status, std::string_view outcome);

    ForwardContext& m_context;
    std::shared_ptr<AsyncConnection> m_client;
    const ClientRequest& m_request;
    bool m_closeAfter;
    std::string m_requestId {};
    std::string_view m_path {};
    std::shared_ptr<const TrafficConfiguration> m_configuration {};
    const TrafficRoute* m_route { nullptr };
    const TrafficTeam* m_team { nullptr };
    const TrafficService* m_service { nullptr };
    std::vector<PromptPart> m_promptParts {};
    double m_promptTokens { 0 };
    double m_teamCharge { 0 }; // Requests or tokens charged to the team's limit; 0 after a refund.
    long m_requestedTokens { 0 }; // Requests or tokens that the team's limit counts for this request, admitted or not; for the log.
    SteadyTime m_deadline {};
    EndpointCall* m_call { nullptr }; // The running attempt; nullptr between attempts.
    EndpointBook::Flight* m_flight { nullptr };
    SteadyTime m_attemptStartedAt {}; // Taken before connecting.
    bool m_isSent { false }; // Whether this attempt has sent bytes.
    bool m_hasCredit { false }; // Whether this attempt has a credit for its endpoint.
    bool m_responseHasLimit { false }; // Whether the last response head of this attempt had the limit field.
    int m_responseStatus { 0 }; // Status of the last response head of this attempt; 0 if there was none.
    SteadyTime m_firstEventAt {}; // When this attempt received its first event; SteadyTime {} if it has not.
    bool m_isVersionMixed { false }; // Whether the service runs several versions, so that this attempt's outcome counts in comparing them.
    long m_firstEventMilliseconds { -1 }; // From the request's arrival to the first event; -1 if there was none.
    bool m_isClientDisconnected { false };
    bool m_isEndedByStop { false }; // endForStop() was called.
    // Whether the request arrived in its turn (ReturnTurns): it was refused for lack of capacity and returns when it was told, or its first
    // attempt happens to fall into its turn. Set by run() once the request is within its team's limit, constant afterwards. It goes before
    // newcomers of its priority and is not made to yield to more urgent ones.
    bool m_isInTurn { false };
    long m_retryAfterMilliseconds { -1 }; // The delay that the client was told; -1 if none.
    QueueWaiter* m_waiter { nullptr }; // While the request waits in the queue.
    bool m_mustStartOver { false }; // The request left the queue because its configuration is outdated.
    long m_queuedMilliseconds { 0 }; // Time spent in the queue.
    long m_queuePlace { 0 }; // Place in the queue when the request entered it; 0 if it did not.
    double m_admissionWork { 0 }; // Result of expectedWork() at the request's arrival; 0 if the shared level is off.
    bool m_isServed { false }; // Whether recordServed() has counted the request.
    AdmissionDecision m_admission {};
    AttemptTracker m_attemptTracker {};
    std::optional<RequestDigest> m_digest {}; // Computed by the first call of digest().
    std::vector<std::string> m_triedEndpoints {}; // Ids of the endpoints of all attempts.
    SentConnections m_sentConnections {}; // Of all attempts.
    std::size_t m_creditDenials { 0 }; // Endpoints that would have been chosen for this attempt but granted no credit.
    std::string m_lastEndpoint {};
    std::string_view m_choiceReason {};
    // The values behind the last choice of an endpoint, for the log.
    long m_expectedMilliseconds { -1 };
    long m_unqueuedMilliseconds { -1 };
    long m_uncachedTokens { 0 };
    long m_waitingTokens { 0 };
    long m_speedPercent { 100 }; // Expected time to the first event, relative to the service's usual one.
    unsigned long m_endpointsRevision { 0 };
    EventStream m_events {};
    PauseMeter m_pauses {};
    bool m_streamStarted { false };
    // The last complete 5xx response of an endpoint; passed on if no later attempt succeeds.
    std::optional<HttpHead> m_failureHead {};
    std::string m_failureBody {};
    std::optional<ResponseMemory::Reservation> m_failureMemory {}; // Of `m_failureBody`, also while it is written.
    bool m_isWriting { false }; // A write to the client is in progress.
};

} // namespace Onyxnotch
