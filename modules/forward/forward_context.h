// What all requests of a node share. Belongs to the request thread.
#pragma once

#include "core/log.h"
#include "core/metrics.h"
#include "modules/balance/endpoint_book.h"
#include "modules/forward/demand_meter.h"
#include "modules/forward/wire_names.h"
#include "modules/limits/retry_budget.h"
#include "modules/limits/return_times.h"
#include "modules/limits/team_limits.h"
#include "modules/limits/usage_ledger.h"
#include "modules/rollout/answer_pace.h"
#include "modules/rollout/version_gate.h"
#include "modules/suspects/suspect_book.h"
#include <asio/awaitable.hpp>
#include <functional>
#include <random>

namespace Onyxnotch {

struct ForwardOptions {
    WireNames names {};
    std::string zone {};
    unsigned maximumCallers { 3000 }; // Open connections of callers; below the descriptors that the process may have.
    std::size_t maximumHeldBytes { 64U << 20U }; // Of all callers' bodies together.
    std::size_t maximumAnswerBytes { 1U << 20U }; // Of an answer that is held until it is whole.
    Milliseconds longestConnect { 300 }; // To an endpoint: many round trips, and short against an objective of a second.
    Milliseconds shortestConnect { 40 };
    double connectObjectivePart { 0.25 }; // Of the route's objective, between these two.
    Milliseconds idleMargin { 1000 }; // An idle connection is not used in the last second before its endpoint closes it.
    Milliseconds idleDefault { 4000 }; // Where an endpoint does not say how long it keeps one.
    Milliseconds comeBackAfter { 300 }; // Told with a refusal for want of an endpoint.
    // Callers that come before the configuration and the endpoints are known wait this long at most: a store that answers does so within
    // some 20 ms, and a refusal would send the caller away for longer.
    Milliseconds startWait { 100 };
    Milliseconds leastTimeToSend { 10 }; // A request with less time left is not sent: no endpoint could answer.
    Milliseconds longPrefill { 40 }; // A sixth of the gossip period: what is shorter is over before others could have heard.
    unsigned usageWindowMilliseconds { 5000 };
    SuspectOptions suspects {};
    bool rollouts { false }; // Whether operators order roll-outs, so that a new version may be on trial.
};

// Bytes that all sessions of a node hold, and how many they may.
class HeldBytes {
public:
    explicit HeldBytes(std::size_t most)
        : m_most(most)
    {
    }

    void setMost(std::size_t most) { m_most = most; }
    std::size_t held() const { return m_held; }

    // One session's share; given back when it ends.
    class Share {
    public:
        explicit Share(HeldBytes& all)
            : m_all(all)
        {
        }
        ~Share() { resize(0); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        // False where there is no room for that much; then nothing changes.
        bool resize(std::size_t bytes)
        {
            auto others = m_all.m_held - m_bytes;
            if (bytes > m_bytes && others + bytes > m_all.m_most)
                return false;
            m_all.m_held = others + bytes;
            m_bytes = bytes;
            return true;
        }

    private:
        HeldBytes& m_all;
        std::size_t m_bytes { 0 };
    };

private:
    std::size_t m_most;
    std::size_t m_held { 0 };
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
        , heldBodies(options.maximumHeldBytes)
    {
    }

    // In the time on which the nodes agree.
    std::uint64_t trueMilliseconds(SteadyTime at) const
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(at.time_since_epoch()).count() + clockDifference);
    }
    std::uint64_t trueMilliseconds() const { return trueMilliseconds(steadyNow()); }

    // Whether a request may go to an endpoint that named a limit.
    asio::awaitable<bool> takeCredit(EndpointLife life)
    {
        if (!askCredit)
            co_return endpoints.limits().take(life, 1, steadyNow());
        bool isGiven = co_await askCredit(life);
        co_return isGiven;
    }
    // It was not sent.
    void giveCreditBack(const EndpointLife& life)
    {
        if (returnCredit)
            returnCredit(life);
        else
            endpoints.limits().giveBack(life, steadyNow());
    }

    // Where the list has changed. What may go to versions that are new in it is decided before any request can.
    void takeEndpoints(const std::shared_ptr<const EndpointList>& list, const TrafficConfiguration& configuration, SteadyTime now)
    {
        if (!list || list == m_takenList)
            return;
        m_takenList = list;
        for (const auto& it : endpoints.update(list, configuration, now))
            suspects.onLifeGone(hashOf(it), now);
        if (options.rollouts)
            versions.onList(*list, now);
    }

    asio::io_context& context;
    TrafficView& view;
    Metrics& metrics;
    ForwardOptions options;
    EndpointBook endpoints;
    TeamLimits teams;
    SharedRetryBudget retries;
    UsageLedger usage;
    SuspectBook suspects;
    DemandMeter demand {};
    VersionGate versions {};
    AnswerPace pace {};
    // A line for each request costs processor time: this many of those that went well, and of the others, are written in a second.
    LogBudget answeredLines { 100 };
    LogBudget failedLines { 100 };
    LogBudget noticeLines { 50 }; // What endpoints say of themselves.
    std::int64_t clockDifference { 0 }; // Time of day less the monotonic clock, in milliseconds, as agreed with the other nodes.
    HeldBytes heldBodies; // Of callers.
    bool stopping { false };
    // Another node's choice had better know of a prompt that keeps an endpoint busy for longer than this.
    std::function<void(const EndpointLife&, double tokens)> tellLongPrefill {};
    // Something was found of requests under which endpoints end: the other nodes had better know at once.
    std::function<void()> tellSuspects {};
    // Another node may give the credits.
    std::function<asio::awaitable<bool>(EndpointLife)> askCredit {};
    std::function<void(const EndpointLife&)> returnCredit {};
    // What an endpoint takes has changed: the other nodes had better know at once.
    std::function<void()> tellLimits {};
    ReturnTimes returnTimes {};
    unsigned nodes { 1 }; // That share the endpoints' connections, this one included.
    std::mt19937_64 random { std::random_device {}() };

private:
    std::shared_ptr<const EndpointList> m_takenList {};
};

} // namespace Onyxnotch
