// Options and state that all requests of a node share: configuration view, limits, budgets, meters and callbacks to the other nodes.
// Used only on the request thread.
#pragma once

#include "core/log.h"
#include "core/metrics.h"
#include "modules/admission/shared_admission.h"
#include "modules/balance/endpoint_book.h"
#include "modules/forward/demand_meter.h"
#include "modules/forward/response_memory.h"
#include "modules/forward/waiting_requests.h"
#include "modules/forward/wire_names.h"
#include "modules/limits/retry_budget.h"
#include "modules/limits/retry_delays.h"
#include "modules/limits/return_turns.h"
#include "modules/limits/team_limits.h"
#include "modules/limits/usage_ledger.h"
#include "modules/rollout/answer_time_monitor.h"
#include "modules/rollout/version_gate.h"
#include "modules/suspects/suspect_tracker.h"
#include <asio/awaitable.hpp>
#include <functional>
#include <random>

namespace Onyxnotch {

struct ForwardOptions {
    WireNames names {};
    std::string zone {};
    unsigned maximumClients { 3000 }; // Open client connections; must stay below the process's file descriptor limit.
    std::size_t maximumBufferedBodyBytes { 64U << 20U }; // Total size of the request bodies buffered for all clients.
    std::size_t maximumResponseBytes { 64U << 20U }; // Memory of all responses that are being received or passed on.
    // Size of one response body that is buffered until complete before it is passed on.
    std::size_t maximumBufferedResponseBytes { 1U << 20U };
    // To connect to an endpoint: many round trips, and short compared with an objective of one second.
    Milliseconds maximumConnectTimeout { 300 };
    Milliseconds minimumConnectTimeout { 40 };
    double connectObjectiveFraction { 0.25 }; // Connect timeout as a fraction of the route's objective, clamped to the two values above.
    Milliseconds idleReuseMargin { 1000 }; // An idle connection is not reused in the last second before its endpoint closes it.
    Milliseconds defaultIdleTimeout { 4000 }; // How long an idle connection is reused if the endpoint sends no Keep-Alive timeout.
    Milliseconds retryAfter { 300 }; // Retry-After of a refusal, or its minimum where the wait is estimated.
    // At startup, clients wait up to this long for the first configuration and endpoint list: a reachable store answers within about
    // 20 ms, and a refusal would make the client retry later than that.
    Milliseconds startupWait { 100 };
    Milliseconds minimumTimeToSend { 10 }; // A request with less time left is not sent: no endpoint could respond in time.
    // A sixth of the gossip period: a shorter prefill is over before other nodes could receive a notice about it.
    Milliseconds longPrefillThreshold { 40 };
    unsigned usageWindowMilliseconds { 5000 };
    SuspectOptions suspects {};
    bool endpointSpeeds { true }; // Whether endpoints are chosen by their measured speed and failures over all nodes (EndpointSpeeds).
    ReturnTurnsOptions returnTurns {};
    QueueingOptions queueing {};
    bool sharedAdmission { false }; // Whether requests are refused by the level that all nodes share, while their service is short of capacity.
    bool rollouts { false }; // Whether operators run rollouts, so that a new version may be a canary.
};

// Limits the total size of the request bodies that all client sessions of a node buffer.
class BodyMemoryBudget {
public:
    explicit BodyMemoryBudget(std::size_t limit)
        : m_limit(limit)
    {
    }

    // In bytes; existing reservations stay even if they exceed it.
    void setLimit(std::size_t limit) { m_limit = limit; }
    // Bytes reserved by all sessions.
    std::size_t reserved() const { return m_reserved; }

    // The bytes reserved by one client session; released by the destructor.
    class Reservation {
    public:
        explicit Reservation(BodyMemoryBudget& budget)
            : m_budget(budget)
        {
        }
        ~Reservation() { resize(0); }
        Reservation(const Reservation&) = delete;
        Reservation& operator=(const Reservation&) = delete;

        // Changes this reservation to `bytes`. Returns false, without changing it, if it would grow beyond the total limit.
        bool resize(std::size_t bytes)
        {
            auto reservedByOthers = m_budget.m_reserved - m_reservedBytes;
            if (bytes > m_reservedBytes && reservedByOthers + bytes > m_budget.m_limit)
                return false;
            m_budget.m_reserved = reservedByOthers + bytes;
            m_reservedBytes = bytes;
            return true;
        }

    private:
        BodyMemoryBudget& m_budget;
        std::size_t m_reservedBytes { 0 };
    };

private:
    std::size_t m_limit;
    std::size_t m_reserved { 0 };
};

// When a node that stops as planned gives up requests.
struct DrainTimes {
    SteadyTime refusesFrom {}; // From then on, a request is forwarded only if its deadline is not after `endsAt`.
    SteadyTime endsAt {}; // The requests that still run then are ended.

    bool operator==(const DrainTimes&) const = default;
};

struct ForwardContext {
    ForwardContext(asio::io_context& requestContext, TrafficView& trafficView, Metrics& processMetrics, const ForwardOptions& forwardOptions,
        const SharedRetryBudgetOptions& retryOptions)
        : context(requestContext)
        , view(trafficView)
        , metrics(processMetrics)
        , options(forwardOptions)
        , endpoints(options.zone)
        , teams(steadyNow())
        , retries(retryOptions)
        , usage(options.usageWindowMilliseconds)
        , suspects(options.suspects)
        , waiting(requestContext, options.queueing)
        , bodyMemory(options.maximumBufferedBodyBytes)
        , responseMemory(options.maximumResponseBytes)
    {
        endpoints.speeds().setEnabled(options.endpointSpeeds);
    }

    // Converts to the time of day agreed between the nodes, in milliseconds since 1970.
    std::uint64_t fleetTimeMilliseconds(SteadyTime at) const
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(at.time_since_epoch()).count() + clockDifference);
    }
    std::uint64_t fleetTimeMilliseconds() const { return fleetTimeMilliseconds(steadyNow()); }

    bool isStopping() const { return drain.has_value(); }
    // Whether a request with this deadline may be forwarded: unless the node stops, or if the request ends before the node does.
    bool mayForward(SteadyTime deadline, SteadyTime now) const { return !drain || now < drain->refusesFrom || deadline <= drain->endsAt; }

    // Acquires one credit, which allows one request to an endpoint that advertises a limit. Returns false if none is granted.
    asio::awaitable<bool> acquireCredit(EndpointIncarnation life)
    {
        if (!requestCreditFromRelay)
            co_return endpoints.limits().take(life, 1, steadyNow());
        bool isGranted = co_await requestCreditFromRelay(life);
        co_return isGranted;
    }
    // Returns a credit whose request was never sent.
    void returnUnusedCredit(const EndpointIncarnation& life)
    {
        if (returnCredit)
            returnCredit(life);
        else
            endpoints.limits().refundCredit(life, steadyNow());
    }

    // Applies `list` if it differs from the last list applied. Registers new versions with the version gate before any request is sent to
    // them.
    void applyEndpointList(const std::shared_ptr<const EndpointList>& list, const TrafficConfiguration& configuration, SteadyTime now)
    {
        if (!list || list == m_appliedList)
            return;
        m_appliedList = list;
        for (const auto& it : endpoints.update(list, configuration, now))
            suspects.onIncarnationRemoved(hashOf(it), now);
        if (options.rollouts)
            versions.onList(*list, now);
        waiting.wakeNextOfEachService();
    }

    asio::io_context& context;
    TrafficView& view;
    Metrics& metrics;
    ForwardOptions options;
    EndpointBook endpoints;
    TeamLimits teams;
    SharedRetryBudget retries;
    UsageLedger usage;
    SuspectTracker suspects;
    WaitingRequests waiting;
    DemandMeter demand {};
    AdmissionMeter admissionMeter {};
    SharedAdmission admission {};
    VersionGate versions {};
    AnswerTimeMonitor pace {};
    // Log lines per second for successful and for failed requests: a line for every request would cost too much processor time.
    LogRateLimiter succeededRequestLines { 100 };
    LogRateLimiter failedRequestLines { 100 };
    LogRateLimiter teamLimitLines { 20 }; // Log lines per second with the state behind refusals for a team's limit.
    LogRateLimiter noticeLines { 50 }; // Log lines per second for notices that endpoints send about themselves.
    std::int64_t clockDifference { 0 }; // Agreed time of day minus the monotonic clock, in milliseconds.
    BodyMemoryBudget bodyMemory; // Client request bodies.
    ResponseMemory responseMemory;
    std::optional<DrainTimes> drain {}; // Set once the node stops.
    // Called when a prompt is sent whose prefill exceeds `longPrefillThreshold`: other nodes need it to choose endpoints.
    std::function<void(const EndpointIncarnation&, double tokens)> notifyLongPrefill {};
    // Called when the records of suspected requests, under which endpoints fail, have changed: other nodes need the change at once.
    std::function<void()> notifySuspects {};
    // Acquires one credit for an endpoint from the node that grants its credits, and returns an unused one to it. If not set, this node
    // grants the credits itself.
    std::function<asio::awaitable<bool>(EndpointIncarnation)> requestCreditFromRelay {};
    std::function<void(const EndpointIncarnation&)> returnCredit {};
    // Called when an endpoint's limit has changed: other nodes need the change at once.
    std::function<void()> notifyLimits {};
    RetryDelays returnTimes {};
    ReturnTurns returnTurns { options.returnTurns };
    unsigned nodes { 1 }; // Nodes that share the endpoints' connections, including this one.
    std::mt19937_64 random { std::random_device {}() };

private:
    std::shared_ptr<const EndpointList> m_appliedList {};
};

} // namespace Onyxnotch
