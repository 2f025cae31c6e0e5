// Collects what clients and endpoints observe during a soak run, and checks the collected data for violations of the guarantees
// ("promises") that entry nodes give to both sides. Thread-safe: clients and endpoints add to the record from threads of their own.
#pragma once

#include "core/clock.h"
#include "core/net/http_status.h"
#include "tests/fakes/fake_platform.h"
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Onyxnotch::Tests {

enum class SoakRequestKind {
    Once, // May be executed at most once.
    Safe, // May be executed up to twice: idempotent, so the node may retry it at a second endpoint.
    Stream, // Answered with a stream of events; may be executed at most once.
    Resumable, // Answered with a stream of events that a second endpoint may resume.
    Crashing, // Crashes each endpoint that executes it.
};

// One request, or the head of one, as an endpoint received it.
struct SoakArrival {
    std::string id {}; // The client's Attempt-Id; the same for all attempts at one request.
    std::string target {}; // Request path.
    SoakRequestKind kind { SoakRequestKind::Once };
    bool wasExecuted { false }; // False if the endpoint refused the request as not executed.
    SteadyTime at {}; // When the endpoint received the request.
    std::string endpoint {}; // Id of the endpoint.
    Milliseconds remainingDeadline { 0 }; // What remains of the client's deadline, from the Deadline-Ms header that the node sent.
    bool hasBody { true }; // False if the endpoint has received only the head, not the body.
    bool advertisesDrain { false }; // The endpoint's answer carries Server-Leaving: it is draining.
    // Requests per second from all nodes together, from the answer's Server-Limit header.
    std::optional<double> advertisedLimitPerSecond {};
    // Retry-After of the refusal: the node must not send requests for this duration. 0 if not refused with one.
    Milliseconds retryAfter { 0 };
};

// The result of one request as its client observed it.
struct SoakOutcome {
    std::string id {};
    SoakRequestKind kind { SoakRequestKind::Once };
    unsigned node { 0 }; // Index of the node to which the client sent the request.
    int status { 0 }; // HTTP status; 0 if the connection ended without an answer.
    bool isComplete { false }; // The client received the entire answer.
    bool bodyMatchesRequest { true }; // The received body is the answer to this request, or the first part of that answer.
    SteadyTime requestSentAt {};
    SteadyTime answeredAt {};
};

// A violated guarantee, as the soak prints it.
struct BrokenPromise {
    std::string promise {}; // The guarantee, in a few words.
    std::string id {}; // The request or other subject that it was violated for; may be empty.
    std::string seen {}; // What was observed instead.
};

class SoakRecord {
public:
    static constexpr Milliseconds clientDeadline { 1500 }; // The deadline that clients send with each request.

    void add(const SoakArrival& arrival)
    {
        std::lock_guard lock(m_mutex);
        m_arrivals.push_back(arrival);
    }

    void add(const SoakOutcome& outcome)
    {
        std::lock_guard lock(m_mutex);
        m_outcomes.push_back(outcome);
    }

    // Records that `node` was stopped, killed, suspended, resumed or started at `at`. From then until `propagationTime` later the checks
    // assume that it lacks what the other nodes know.
    void recordDisturbance(unsigned node, SteadyTime at)
    {
        std::lock_guard lock(m_mutex);
        m_disturbances[node].push_back(at);
    }

    // Records that `endpoint` crashed while it executed a crashing request to `target`. Requests to different paths count as different
    // requests. Each endpoint counts once per path, since it may be executing several copies of the request when it crashes.
    void recordCrash(const std::string& target, const std::string& endpoint, SteadyTime at)
    {
        std::lock_guard lock(m_mutex);
        auto& crashedEndpoints = m_crashes[target];
        if (std::none_of(crashedEndpoints.begin(), crashedEndpoints.end(), [&](const auto& it) { return it.endpoint == endpoint; }))
            crashedEndpoints.push_back({ .endpoint = endpoint, .at = at });
    }

    std::size_t answeredCount() const
    {
        return count([](const auto& it) { return it.status == HttpStatus::ok && it.isComplete; });
    }
    std::size_t refusedCount() const
    {
        return count([](const auto& it) { return it.status == HttpStatus::serviceUnavailable || it.status == HttpStatus::tooManyRequests; });
    }
    std::size_t requestCount() const
    {
        return count([](const auto&) { return true; });
    }
    std::size_t crashedEndpoints() const
    {
        std::lock_guard lock(m_mutex);
        std::size_t sum = 0;
        for (const auto& [target, crashedEndpoints] : m_crashes)
            sum += crashedEndpoints.size();
        return sum;
    }

    std::vector<BrokenPromise> check() const
    {
        std::vector<BrokenPromise> broken;
        checkExecutions(broken);
        checkOutcomes(broken);
        checkCrashingRequests(broken);
        checkNotices(broken);
        checkLimits(broken);
        return broken;
    }

    // Checks the usage reports that nodes sent to the platform: all reports of one window carry the same counts, fencing tokens never
    // decrease, and each fencing token belongs to one holder.
    static std::vector<BrokenPromise> checkUsageReports(const std::vector<Fakes::CloudCall>& calls)
    {
        std::vector<BrokenPromise> broken;
        std::map<std::uint64_t, nlohmann::json> counts;
        std::uint64_t highestFence = 0;
        std::map<std::uint64_t, std::string> holders;
        for (const auto& it : calls) {
            if (it.fence < highestFence)
                broken.push_back({ "one holder of a duty", "fence " + std::to_string(it.fence), it.holder + " called after fence " + std::to_string(highestFence) });
            highestFence = std::max(highestFence, it.fence);
            auto holder = holders.try_emplace(it.fence, it.holder).first->second;
            if (holder != it.holder)
                broken.push_back({ "one holder of a duty", "fence " + std::to_string(it.fence), holder + " and " + it.holder });
            auto window = it.body.value("windowId", std::uint64_t(0));
            auto firstCounts = counts.try_emplace(window, it.body["counts"]).first->second;
            if (firstCounts != it.body["counts"])
                broken.push_back({ "one report of a window", std::to_string(window), firstCounts.dump() + " and " + it.body["counts"].dump() });
        }
        return broken;
    }

private:
    // The first crash of an endpoint under a given request path.
    struct Crash {
        std::string endpoint {};
        SteadyTime at {};
    };

    static constexpr Milliseconds propagationTime { 3000 }; // Time within which an update reaches all undisturbed nodes.
    // After an answer with Server-Leaving, requests may still reach the endpoint for this duration.
    static constexpr Milliseconds drainGraceTime { 2000 };
    // After a refusal with Retry-After, requests may still arrive for this duration.
    static constexpr Milliseconds backoffGraceTime { 500 };
    // Requests that one node may send to the endpoint later than that, before Retry-After expires.
    static constexpr unsigned allowedDuringBackoff = 2;
    // Length of the sliding window over which requests are counted against an advertised limit.
    static constexpr Milliseconds limitWindow { 4000 };
    static constexpr double limitTolerance = 1.5; // Tolerated multiple of the advertised limit in a window,
    static constexpr double limitExtraRequests = 5; // plus this number of requests.
    // Time that a node has to apply a limit after it forwarded the answer that advertised the limit.
    static constexpr Milliseconds limitApplyTime { 500 };
    static constexpr unsigned crashesUntilBlocked = 3; // Crashed endpoints after which nodes must block the request.
    static constexpr unsigned allowedAfterBlocked = 3; // Arrivals tolerated once all nodes should block the request.
    static constexpr unsigned maximumListedRefusals = 6; // Limits how many refused late arrivals a violation's text lists.

    template <typename Predicate>
    std::size_t count(Predicate predicate) const
    {
        std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count_if(m_outcomes.begin(), m_outcomes.end(), predicate));
    }

    // How often endpoints executed each request, by request id.
    std::map<std::string, unsigned> executionCounts() const
    {
        std::map<std::string, unsigned> counts;
        for (const auto& it : m_arrivals)
            counts[it.id] += it.wasExecuted ? 1 : 0;
        return counts;
    }

    // Lists the endpoints that received the request and when, in milliseconds after its first arrival; for the text of a violation.
    std::string describeArrivals(const std::string& id) const
    {
        std::string text;
        SteadyTime first {};
        for (const auto& it : m_arrivals) {
            if (it.id != id)
                continue;
            first = first == SteadyTime {} ? it.at : first;
            text += ", at " + it.endpoint + " after " + std::to_string(toMilliseconds(it.at - first).count()) + " ms" + (it.hasBody ? "" : " (its head alone)") + (it.wasExecuted ? "" : " (turned away)");
        }
        return text;
    }

    void checkExecutions(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, SoakRequestKind> kinds;
        for (const auto& it : m_arrivals)
            kinds[it.id] = it.kind;
        for (const auto& [id, executions] : executionCounts()) {
            bool isOnce = kinds[id] == SoakRequestKind::Once || kinds[id] == SoakRequestKind::Stream;
            unsigned maximumExecutions = isOnce ? 1 : 2;
            if (executions > maximumExecutions)
                broken.push_back({ isOnce ? "at most once" : "no more tries than the route allows", id, "ran " + std::to_string(executions) + " times" + describeArrivals(id) });
        }
    }

    void checkOutcomes(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        auto executionsById = executionCounts();
        for (const auto& it : m_outcomes) {
            bool saysNotExecuted = it.status == HttpStatus::serviceUnavailable || it.status == HttpStatus::tooManyRequests;
            if (saysNotExecuted && executionsById[it.id] > 0)
                broken.push_back({ "not run is true", it.id, "status " + std::to_string(it.status) + ", but it ran" });
            if (!it.bodyMatchesRequest)
                broken.push_back({ "no mixed answers", it.id, "another body" });
            if (it.status == HttpStatus::notFound || it.status == HttpStatus::unauthorized)
                broken.push_back({ "no older configuration", it.id, "status " + std::to_string(it.status) });
        }
    }

    // Checks that a request that crashed `crashesUntilBlocked` endpoints is blocked afterwards. Arrivals from a node that was disturbed
    // within the last `propagationTime` are not counted, as that node may not know yet which requests are blocked.
    void checkCrashingRequests(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, unsigned> nodeByRequest;
        for (const auto& it : m_outcomes)
            nodeByRequest[it.id] = it.node;
        for (const auto& [target, crashedEndpoints] : m_crashes) {
            if (crashedEndpoints.size() >= crashesUntilBlocked)
                checkCrashingRequests(broken, target, crashedEndpoints[crashesUntilBlocked - 1].at + propagationTime, nodeByRequest);
        }
    }

    // For the crashing requests to one path. From `blockedFrom` on, nodes must refuse these requests.
    void checkCrashingRequests(std::vector<BrokenPromise>& broken, const std::string& target, SteadyTime blockedFrom, std::map<std::string, unsigned>& nodeByRequest) const
    {
        unsigned arrivalsAfterBlock = 0;
        std::string details;
        for (const auto& it : m_arrivals) {
            if (it.kind != SoakRequestKind::Crashing || it.target != target || !nodeByRequest.contains(it.id))
                continue;
            auto node = nodeByRequest[it.id];
            bool isLate = it.at > blockedFrom && !isDisturbed(node, it.at - propagationTime + SteadyTime::duration(1), it.at);
            arrivalsAfterBlock += isLate ? 1 : 0;
            if (it.wasExecuted || (isLate && arrivalsAfterBlock <= maximumListedRefusals))
                details += "; at " + std::to_string(toMilliseconds(it.at - blockedFrom).count()) + " ms at " + it.endpoint + " from node " + std::to_string(node) + (it.wasExecuted ? ", ran" : ", turned away") + describeDisturbances(node, it.at);
        }
        if (arrivalsAfterBlock > allowedAfterBlocked)
            broken.push_back({ "a request that ends endpoints is stopped", target, std::to_string(arrivalsAfterBlock) + " more arrivals" + details });
    }

    bool isDisturbed(unsigned node, SteadyTime from, SteadyTime to) const
    {
        auto entry = m_disturbances.find(node);
        return entry != m_disturbances.end() && std::any_of(entry->second.begin(), entry->second.end(), [&](auto at) { return at >= from && at <= to; });
    }

    // Checks drain notices and Retry-After per pair of endpoint and node: a node must comply with those that it received itself, unless it
    // was disturbed since.
    void checkNotices(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, const SoakOutcome*> outcomes;
        for (const auto& it : m_outcomes)
            outcomes[it.id] = &it;
        std::map<std::pair<std::string, unsigned>, std::vector<const SoakArrival*>> arrivals;
        for (const auto& it : m_arrivals) {
            if (outcomes.contains(it.id))
                arrivals[{ it.endpoint, outcomes[it.id]->node }].push_back(&it);
        }
        for (const auto& [key, it] : arrivals) {
            checkDrain(broken, key.second, it, outcomes);
            checkBackoff(broken, key.second, it, outcomes);
        }
    }

    // Checks the limits that endpoints advertise. Counts the requests from all nodes that have forwarded an answer with the limit. The
    // count is checked from 3 s (`propagationTime`) after the endpoint first advertised a limit until it stops advertising one.
    void checkLimits(std::vector<BrokenPromise>& broken) const
    {
        std::lock_guard lock(m_mutex);
        std::map<std::string, const SoakOutcome*> outcomes;
        for (const auto& it : m_outcomes)
            outcomes[it.id] = &it;
        std::map<std::string, std::vector<const SoakArrival*>> arrivals;
        for (const auto& it : m_arrivals) {
            if (it.hasBody && outcomes.contains(it.id))
                arrivals[it.endpoint].push_back(&it);
        }
        for (const auto& [endpoint, it] : arrivals)
            checkLimit(broken, it, outcomes);
    }

    // `arrivals` are those at one endpoint, in order of arrival.
    void checkLimit(std::vector<BrokenPromise>& broken, const std::vector<const SoakArrival*>& arrivals, const std::map<std::string, const SoakOutcome*>& outcomes) const
    {
        std::optional<SteadyTime> limitFirstSeenAt;
        std::map<unsigned, SteadyTime> limitForwardedAt; // By node: when the node forwarded its first answer with the limit.
        std::vector<const SoakArrival*> counted;
        for (const auto* it : arrivals) {
            const auto& outcome = *outcomes.at(it->id);
            if (!it->advertisedLimitPerSecond) {
                limitFirstSeenAt.reset();
                limitForwardedAt.clear();
                counted.clear();
                continue;
            }
            limitFirstSeenAt = limitFirstSeenAt.value_or(it->at);
            auto forwarded = limitForwardedAt.find(outcome.node);
            bool nodeKnowsLimit = forwarded != limitForwardedAt.end() && it->at > forwarded->second + limitApplyTime && !isDisturbed(outcome.node, std::max(forwarded->second, it->at - propagationTime), it->at);
            if (nodeKnowsLimit)
                counted.push_back(it);
            if (outcome.isComplete && outcome.status == HttpStatus::ok)
                limitForwardedAt.try_emplace(outcome.node, outcome.answeredAt);
            std::erase_if(counted, [&](const auto* other) { return it->at - other->at > limitWindow; });
            double perSecond = 0;
            for (const auto* other : counted)
                perSecond = std::max(perSecond, *other->advertisedLimitPerSecond);
            auto allowed = limitTolerance * perSecond * std::chrono::duration<double>(limitWindow).count() + limitExtraRequests;
            if (it->at < *limitFirstSeenAt + propagationTime || static_cast<double>(counted.size()) <= allowed)
                continue;
            broken.push_back({ "an endpoint gets no more than it names", it->id, it->endpoint + " got " + std::to_string(counted.size()) + " in four seconds of " + std::to_string(allowed) });
            return;
        }
    }

    // `arrivals` are those at one endpoint from one node, in order of arrival. Checks that the node stops sending requests `drainGraceTime`
    // after the first answer with Server-Leaving that it forwarded. A disturbance of the node resets the check.
    void checkDrain(std::vector<BrokenPromise>& broken, unsigned node, const std::vector<const SoakArrival*>& arrivals, const std::map<std::string, const SoakOutcome*>& outcomes) const
    {
        const SoakArrival* notice = nullptr;
        for (const auto* it : arrivals) {
            if (notice && isDisturbed(node, notice->at, it->at))
                notice = nullptr;
            if (notice && it->at > outcomes.at(notice->id)->answeredAt + drainGraceTime) {
                broken.push_back({ "nothing new reaches an endpoint that says that it leaves", it->id, it->endpoint + " said so in the answer to " + notice->id });
                return;
            }
            const auto& outcome = *outcomes.at(it->id);
            if (!notice && it->advertisesDrain && outcome.isComplete && outcome.status == HttpStatus::ok)
                notice = it;
        }
    }

    // `arrivals` are those at one endpoint from one node, in order of arrival. Checks that the node waits for the endpoint's Retry-After.
    void checkBackoff(std::vector<BrokenPromise>& broken, unsigned node, const std::vector<const SoakArrival*>& arrivals, const std::map<std::string, const SoakOutcome*>& outcomes) const
    {
        const SoakArrival* notice = nullptr;
        unsigned lateArrivals = 0;
        std::string lateArrivalTimes;
        for (const auto* it : arrivals) {
            if (notice && it->at < notice->at + notice->retryAfter) {
                bool isLate = it->at > notice->at + backoffGraceTime;
                lateArrivals += isLate ? 1 : 0;
                if (isLate)
                    lateArrivalTimes += ", sent after " + std::to_string(toMilliseconds(nodeSentAt(*it, *outcomes.at(it->id)) - notice->at).count()) + " ms and there after " + std::to_string(toMilliseconds(it->at - notice->at).count()) + " ms";
                if (lateArrivals <= allowedDuringBackoff || isDisturbed(node, notice->at, it->at))
                    continue;
                broken.push_back({ "an endpoint that asks for rest gets it", notice->id, notice->endpoint + " got " + std::to_string(lateArrivals) + " from one node" + lateArrivalTimes + describeDisturbances(node, notice->at) });
                return;
            }
            notice = it->retryAfter.count() > 0 ? it : nullptr;
            lateArrivals = 0;
            lateArrivalTimes.clear();
        }
    }

    // Lists the node's disturbances within `propagationTime` before and after `at`; for the text of a violation.
    std::string describeDisturbances(unsigned node, SteadyTime at) const
    {
        std::string text;
        auto entry = m_disturbances.find(node);
        for (auto it : entry == m_disturbances.end() ? std::vector<SteadyTime> {} : entry->second) {
            auto offset = toMilliseconds(it - at);
            if (offset > -propagationTime && offset < propagationTime)
                text += ", node disturbed at " + std::to_string(offset.count()) + " ms";
        }
        return text;
    }

    // When the node sent the request, computed from the remaining deadline that the node wrote into it.
    static SteadyTime nodeSentAt(const SoakArrival& arrival, const SoakOutcome& outcome) { return outcome.requestSentAt + clientDeadline - arrival.remainingDeadline; }

    mutable std::mutex m_mutex {};
    std::vector<SoakArrival> m_arrivals {};
    std::vector<SoakOutcome> m_outcomes {};
    std::map<unsigned, std::vector<SteadyTime>> m_disturbances {}; // By index of the node.
    std::map<std::string, std::vector<Crash>> m_crashes {}; // By request path.
};

} // namespace Onyxnotch::Tests
