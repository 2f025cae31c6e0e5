// One request from its arrival to its answer: decide, choose an endpoint, send, relay, try again or resume, answer.
#pragma once

#include "modules/forward/answer_notice.h"
#include "modules/forward/endpoint_call.h"
#include "modules/forward/event_stream.h"
#include "modules/forward/request_fate.h"
#include "modules/suspects/request_digest.h"

namespace Onyxnotch {

// A request as a caller sent it.
struct CallerRequest {
    HttpHead head {};
    std::string body {};
    SteadyTime arrivedAt {}; // Its first byte.
};

// What remains of the caller's connection.
enum class ExchangeEnd {
    Answered, // A whole answer was written.
    Close, // The caller left, or its answer was cut and must not look complete.
};

class Exchange {
public:
    Exchange(ForwardContext&, std::shared_ptr<AsyncConnection> caller, const CallerRequest&, bool closeAfter);

    asio::awaitable<ExchangeEnd> run();

private:
    // An answer of our own.
    struct OwnAnswer {
        int status { 503 };
        std::optional<Milliseconds> comeBackAfter {};
        std::string_view reason {};
    };

    static const OwnAnswer outOfTime;
    static const OwnAnswer endpointBroke;

    // The steps before an endpoint is chosen. Each returns an answer where the request ends there.
    std::optional<OwnAnswer> findRoute();
    std::optional<OwnAnswer> findTeam();
    std::optional<OwnAnswer> withhold();
    std::optional<OwnAnswer> admit();
    void readPrompt();

    asio::awaitable<ExchangeEnd> tryEndpoints();
    // The next endpoint that the request may go to, with a credit where that is needed. Empty where there is none.
    asio::awaitable<std::optional<ChosenEndpoint>> nextEndpoint(EndpointRequest&);
    asio::awaitable<bool> holdCredit(EndpointLife);
    // Gives back a credit for which nothing was sent.
    void releaseCredit(const EndpointLife&);
    asio::awaitable<TryEnd> tryEndpoint(const ChosenEndpoint&);
    asio::awaitable<TryEnd> callEndpoint(EndpointCall&, const ChosenEndpoint&);
    asio::awaitable<TryEnd> relayStream(EndpointCall&, const ChosenEndpoint&);
    asio::awaitable<TryEnd> relayWhole(EndpointCall&, const ChosenEndpoint&);
    void noteChoice(const ChosenEndpoint&);
    void noteFirstEvent(const ChosenEndpoint&);
    void noteSlotTime(const ChosenEndpoint&);
    void noteOutcome(EndpointState&, TryEnd);
    void noteLife(const EndpointCall&, const ListedEndpoint&, TryEnd);
    void noteHead(const ListedEndpoint&, const HttpHead&);
    void heedNotice(const EndpointLife&, const AnswerNotice&);
    void heedLimit(const EndpointLife&, double perSecond);
    void countNotice(const AnswerNotice&);
    void writeNoticeLog(const ListedEndpoint&, const AnswerNotice&);
    OwnAnswer withheldAnswer();
    OwnAnswer noEndpointAnswer();
    void writeTryLog(const EndpointState&, TryEnd);
    EndpointRequest endpointRequest() const;
    VersionLimits versionLimits() const;
    void noteVersionSent(const ListedEndpoint&);
    void noteVersionEnd(const ChosenEndpoint&, TryEnd);
    int priority() const;
    bool isOnTime(const ChosenEndpoint&) const;
    asio::awaitable<ExchangeEnd> refuseForWantOfRoom(const ChosenEndpoint&);

    std::string requestHead(const ListedEndpoint&) const;
    std::string answerHead(const HttpHead&, std::optional<std::size_t> length) const;
    asio::awaitable<ExchangeEnd> answer(OwnAnswer);
    asio::awaitable<ExchangeEnd> giveUp(TryEnd);
    asio::awaitable<ExchangeEnd> passFailure();
    void refundTeam();
    asio::awaitable<bool> toCaller(std::string_view bytes);
    Milliseconds timeLeft() const;
    double objectiveLeft() const; // In seconds.
    bool isOurStreamAnswer(const HttpHead&) const;
    void countRun();
    const RequestDigest& digest();
    void writeLog(int status, std::string_view outcome);

    ForwardContext& m_context;
    std::shared_ptr<AsyncConnection> m_caller;
    const CallerRequest& m_request;
    bool m_closeAfter;
    std::string m_requestId {};
    std::string_view m_path {};
    std::shared_ptr<const TrafficConfiguration> m_configuration {};
    const TrafficRoute* m_route { nullptr };
    const TrafficTeam* m_team { nullptr };
    const TrafficService* m_service { nullptr };
    std::vector<PromptPart> m_parts {};
    double m_promptTokens { 0 };
    double m_charged { 0 }; // Against the team's limit.
    long m_wantedTokens { 0 }; // What the team's limit counts, let through or not.
    SteadyTime m_deadline {};
    EndpointCall* m_call { nullptr }; // While a try runs.
    EndpointBook::Flight* m_flight { nullptr };
    SteadyTime m_sentAt {};
    bool m_sent { false }; // In this try.
    bool m_holdsCredit { false }; // For the endpoint of this try.
    bool m_answerNamesLimit { false }; // This try's last head.
    int m_answerStatus { 0 }; // Of this try's last head; 0 where none came.
    SteadyTime m_firstEventAt {}; // Of this try; none where there was none.
    bool m_isTrial { false }; // Versions run side by side, and what this try shows counts.
    long m_firstEventMilliseconds { -1 }; // Since the request arrived; -1 where there was none.
    bool m_callerLeft { false };
    RequestFate m_fate {};
    std::optional<RequestDigest> m_digest {}; // Taken where it is first asked for.
    std::vector<std::string> m_tried {};
    std::size_t m_withoutCredit { 0 }; // Endpoints that would have been chosen for this try, and take no more for now.
    std::string m_lastEndpoint {};
    std::string_view m_choiceReason {};
    // What the last choice was decided by, for the log.
    long m_expectedMilliseconds { -1 };
    long m_unqueuedMilliseconds { -1 };
    long m_uncachedTokens { 0 };
    long m_waitingTokens { 0 };
    unsigned long m_endpointsRevision { 0 };
    EventStream m_events {};
    bool m_streamBegun { false };
    // A whole answer with a failure of the endpoint's own, to be passed on where no other try succeeds.
    std::optional<HttpHead> m_failure {};
    std::string m_failureBody {};
};

} // namespace Onyxnotch
