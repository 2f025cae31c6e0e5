// Admits or refuses a request at one node: applies the node's limit of concurrent requests, the part of it that is reserved for teams
// with a priority above 0, and the rate limit of the request's team. `AdmissionControl` and `RetryBudget` lock internally and may be used
// by several threads.
#pragma once

#include "core/clock.h"
#include "core/outcome.h"
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Onyxnotch {

// A token bucket that starts full and stores up to one second of its rate, but at least one token. Not thread-safe; the current time is
// passed in.
class TokenBucket {
public:
    TokenBucket(double ratePerSecond, SteadyTime now);

    // Takes one token. Returns nothing on success, or the time until the next token is available.
    std::optional<Milliseconds> take(SteadyTime now);
    void setRate(double ratePerSecond);
    double rate() const { return m_rate; }

private:
    double m_rate;
    double m_tokens;
    SteadyTime m_updatedAt {};
};

// Limits retries to `retriesPerRequest` per request plus an initial `burst`, so that a wave of failures does not multiply the load.
class RetryBudget {
public:
    explicit RetryBudget(double retriesPerRequest = 0.2, double burst = 10);

    void onRequest();
    // Returns false if the budget is exhausted.
    bool takeRetry();

private:
    std::mutex m_mutex;
    double m_retriesPerRequest;
    double m_burst;
    double m_remaining;
};

struct AdmissionOptions {
    unsigned maximumActive { 1800 }; // Maximum number of requests that run concurrently on this node.
    unsigned reservedForHigherPriority { 100 }; // Part of `maximumActive` that only teams with a priority above 0 may use.
    std::size_t maximumTeams { 10000 };
};

struct AdmissionRequest {
    std::string team {};
    double teamRatePerSecond { 0 }; // The team's limit in requests per second over all nodes; 0 for no limit.
    unsigned nodes { 1 }; // Number of nodes that share the team's limit evenly.
    int priority { 0 };
    unsigned active { 0 }; // Number of requests that run on this node now.
};

// Why a request was refused, and after which delay the client may retry.
struct Refusal {
    std::string reason {};
    Milliseconds retryAfter { 0 };

    bool operator==(const Refusal&) const = default;
};

class AdmissionControl {
public:
    explicit AdmissionControl(const AdmissionOptions&);

    // Returns nothing if the request is admitted.
    std::optional<Refusal> admit(const AdmissionRequest&, SteadyTime now);

private:
    AdmissionOptions m_options;
    std::mutex m_mutex;
    std::map<std::string, TokenBucket> m_buckets {};
};

} // namespace Onyxnotch
