// Admits requests at a gateway, runs each one at most once per ticket, and hands over running requests to other gateways when this
// one shuts down. Independent of the HTTP API for clients.
#pragma once

#include "core/timer_service.h"
#include "modules/request/handover.h"
#include "modules/request/model_runner.h"
#include "modules/request/plain_call.h"
#include <condition_variable>
#include <shared_mutex>

namespace Onyxnotch {

struct RequestServerOptions {
    std::string node {};
    std::uint64_t incarnation { 0 };
    std::string instance {}; // Cloud id of the instance that this process runs on.
    AdmissionOptions admission {};
    ModelRunnerOptions runner {};
    PlainCallOptions plain {};
    LedgerRegistryOptions ledgers {};
    HandoverOptions handover {};
    double retriesPerRequest { 0.2 }; // Retry budget of this node: allowed retries per admitted request.
    double retryBurst { 10 }; // Largest number of retries that the budget can accumulate.
    // A model request is refused if no engine is idle and its expected time to first token exceeds this fraction of the service's
    // objective; 0 turns the check off. Less than 1, because the estimate is too low for about half of the requests.
    // Teams with a priority above 0 are exempt.
    double timelyPart { 0.5 };
    Milliseconds requestDeadline { 300000 }; // Time limit for each request.
    Milliseconds retention { 60000 }; // How long finished answers are kept for clients that repeat or resume a request.
    Milliseconds defaultRetryAfter { 1000 }; // Retry-After of refusals for which there is no better estimate.
    unsigned maximumActiveWithHandovers { 3600 }; // Limit on running requests, including those that other nodes hand over.
};

// The team that a client's API key belongs to, with the team's limits and permissions.
struct AuthenticatedClient {
    std::string team {};
    double requestsPerSecond { 0 };
    int priority { 0 };
    Selector services {};

    bool operator==(const AuthenticatedClient&) const = default;
};

// How this node handles a client's model request: it runs here, has to be forwarded to another node, or is refused. Exactly one of
// `request`, `forwardTo` and `error` is set.
struct Acceptance {
    std::shared_ptr<ActiveRequest> request {};
    std::optional<Member> forwardTo {};
    std::optional<RequestError> error {};
    std::string requestId {};
};

// Result of a call to a plain service. Exactly one of `answer`, `forwardTo` and `error` is set.
struct PlainAcceptance {
    std::optional<PlainAnswer> answer {};
    std::optional<Member> forwardTo {};
    std::optional<RequestError> error {};
    std::string requestId {};
};

class RequestServer {
public:
    RequestServer(const RequestServerOptions&, const StateReplica&, MembershipServer&, const EndpointDirectory&, TimerService&, Metrics&);
    ~RequestServer();
    RequestServer(const RequestServer&) = delete;
    RequestServer& operator=(const RequestServer&) = delete;

    void start();

    // Admits a model request and starts it on its own thread. `ticket` is empty if the client sent none. `forwarded`: another gateway
    // sent the request here, so it isn't forwarded again.
    Acceptance acceptModel(const AuthenticatedClient&, const struct ChatRequest&, const std::string& ticket, bool forwarded);
    // Runs a call to a plain service; blocks until its outcome is known. `ticket` and `forwarded` as for acceptModel().
    PlainAcceptance runPlain(const AuthenticatedClient&, PlainRequest, const std::string& ticket, bool forwarded);
    // Finds the request with this id, or the node that has it. A request of another team is reported as not found.
    Acceptance find(const AuthenticatedClient&, const std::string& requestId, bool forwarded);
    // Same as find(), but for a request of any team; for operators.
    Acceptance findForOperator(const std::string& requestId, bool forwarded);
    // Issues a ticket with which the client can send a request, and repeat it without running it twice.
    std::string issueTicket(const AuthenticatedClient&);
    // HTTP addresses of up to `count` randomly chosen gateways that accept requests, spread over the availability zones.
    std::vector<std::string> addresses(std::size_t count) const;

    // Handles peer messages about handovers and suspected requests; returns the reply, or nothing for other message types.
    std::optional<Frame> handlePeerFrame(const Frame&);

    // Stops admitting requests, announces the shutdown to the other nodes, and hands over the ledgers before `deadline`. Does nothing
    // if the shutdown has already begun.
    void beginShutdown(SteadyTime deadline);
    // Hands over all running model requests. Calls to plain services can't be moved: they may finish until shortly before `deadline`.
    void handOver(SteadyTime deadline);
    // Waits until no request is running. Returns false if `limit` expires or `interrupted` returns true before that.
    bool waitUntilIdle(Milliseconds limit, const std::function<bool()>& interrupted = {});
    bool isShuttingDown() const { return m_isShuttingDown; }
    // Retry-After for a request to `service` that was not executed: at least until the first endpoint is available, if all of the
    // service's endpoints are in backoff.
    Milliseconds retryAfterFor(const std::string& service) const { return std::max(m_directory.earliestAvailable(service), m_options.defaultRetryAfter); }
    std::size_t runningCount() const { return m_table.runningCount(); }
    std::size_t ledgerEntries() const { return m_ledgers.entryCount(); }
    // HTTP addresses of the node to which a request was handed over; empty if not known.
    std::vector<std::string> newAddressesOf(const std::string& requestId) const;
    // Recorded events of a call to a plain service, for operators.
    std::vector<TraceEntry> plainTrace(const std::string& requestId) const;

private:
    // Which node has the ledger entry of a ticket. If no member is set, that node is unknown or unreachable.
    struct TicketLocation {
        bool isLocal { false };
        bool isHandedOver { false }; // This node's ledger is being handed over, or has been.
        std::optional<Member> forwardTo {}; // The other node that has the ledger entry.
    };

    // How a request with a given ticket is to be handled.
    struct TicketDecision {
        std::string requestId {}; // Set if the request is to be run here; equals the ticket.
        std::optional<LedgerEntry> existing {}; // Set if the request was admitted before: its ledger entry.
        std::optional<Member> forwardTo {};
        std::optional<RequestError> error {};
        bool isHandedOver { false }; // The ledger was handed over: forward to the successor.
        bool runAsNew { false }; // The outcome of the ticket's request is unknown, but the service allows repeats: run under a new ticket.
    };

    TicketLocation locateTicket(const Ticket&, bool forwarded) const;
    TicketDecision decideTicket(const AuthenticatedClient&, const std::string& ticket, bool repeatable, bool forwarded);
    TicketDecision decideLocalTicket(const AuthenticatedClient&, const Ticket&, bool repeatable);
    // Decides about a request that was admitted before: answer from the ledger entry, forward to the node that runs it, or run it again.
    TicketDecision decideByLedgerEntry(const LedgerEntry&, bool repeatable);
    // Issues a ticket and enters it in the ledger. `mayHaveRunElsewhere`: failures are reported as an unknown outcome, not as not run.
    TicketDecision admitUnderNewTicket(const AuthenticatedClient&, bool mayHaveRunElsewhere);
    // Refuses a request that exceeds the team's request rate or this node's limit on running requests.
    std::optional<RequestError> admissionError(const AuthenticatedClient&);
    // Refuses a model request early if it is expected to miss its service's objective for the first token.
    std::optional<RequestError> latenessError(const AuthenticatedClient&, const struct ChatRequest&) const;
    std::optional<RequestError> permissionError(const AuthenticatedClient&, const std::string& service, ServiceType) const;
    // Waits for the successor of a ledger that is being handed over. Must be called without holding the acceptance lock.
    std::optional<Member> waitForSuccessor() const;
    // Sets where to forward the request to, or an error if that isn't known.
    void resolveHandedOverTicket(TicketDecision&, bool forwarded) const;
    Acceptance findOrLocate(const std::string& requestId, bool forwarded);
    PlainAnswer runPlainLocally(PlainRequest, const std::string& requestId);
    // Result of a call that was admitted before, from the ledger. Waits for it if the call is still running.
    PlainAcceptance recordedPlainAnswer(const LedgerEntry&);

    void startThread(const std::shared_ptr<ActiveRequest>&);
    void runRequest(const std::shared_ptr<ActiveRequest>&);
    // Takes over requests from a gateway that shuts down, and continues those that were still running.
    HandoverReplyMessage adoptRequests(const RequestBatchMessage&);
    // Interrupts requests on endpoints that are about to shut down, so that their runners move them to other endpoints.
    void interruptOnDrainingEndpoints();
    // Removes expired tickets and finished requests, cancels requests whose answers no client reads, and updates gauges.
    void expire();
    // Sends this gateway's knowledge about suspected requests (during which endpoints crashed) to a few other gateways, which relay it.
    void sendSuspectUpdate();
    void applySuspectUpdate(const SuspectUpdate&);
    // Refuses a request that is blocked, or suspected and already running, because endpoints crashed while they processed it.
    std::optional<RequestError> suspectedRequestError(const RequestDigest&);
    void abandonPlainCalls();

    RequestServerOptions m_options;
    const StateReplica& m_replica;
    MembershipServer& m_membership;
    const EndpointDirectory& m_directory;
    TimerService& m_timers;
    Metrics& m_metrics;
    AdmissionControl m_admission;
    RetryBudget m_retries;
    SharedSuspects m_suspects;
    SteadyTime m_suspectsSentAt {}; // Accessed only by the timer callback.
    ModelRunner m_runner;
    LedgerRegistry m_ledgers;
    RequestTable m_table;
    Handover m_handover;
    std::atomic<bool> m_isShuttingDown { false };
    // Locked shared from a ticket's admission until its request is in the table. handOver() locks it exclusively once, after the
    // ledgers were marked as handed over, so that it sees every request that was admitted before.
    std::shared_mutex m_acceptanceMutex;
    mutable std::mutex m_mutex;
    std::condition_variable m_idleCondition;
    unsigned m_requestThreads { 0 };
    std::map<std::string, std::shared_ptr<PlainCall>> m_plainCalls {};
    std::map<std::string, std::vector<std::string>> m_newAddresses {};
    std::deque<std::pair<std::string, TraceEntry>> m_plainTraces {};
    std::vector<TimerService::Subscription> m_subscriptions {};
};

} // namespace Onyxnotch
