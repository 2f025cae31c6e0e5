// Decides whether a node takes a request now: limits by team, a limit for the node, and room kept for higher priorities.
#pragma once

#include "core/clock.h"
#include "core/outcome.h"
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Onyxnotch {

// A rate limit that allows bursts of a second's worth. A pure value: the time is passed in.
class TokenBucket {
public:
    TokenBucket(double ratePerSecond, SteadyTime now);

    // Takes one token. Returns the time until there will be one where there is none.
    std::optional<Milliseconds> take(SteadyTime now);
    void setRate(double ratePerSecond);
    double rate() const { return m_rate; }

private:
    double m_rate;
    double m_tokens;
    SteadyTime m_updated {};
};

// Retries that are allowed: a part of the first tries, so that a wave of failures does not multiply the load.
class RetryBudget {
public:
    explicit RetryBudget(double retriesPerRequest = 0.2, double burst = 10);

    void onRequest();
    // Returns false where the budget is used up.
    bool takeRetry();

private:
    std::mutex m_mutex;
    double m_retriesPerRequest;
    double m_burst;
    double m_balance;
};

struct AdmissionOptions {
    unsigned maximumActive { 1800 }; // Requests that run at once on this node.
    unsigned reservedForHigherPriority { 100 }; // Of those, kept for teams with a priority over 0.
    std::size_t maximumTeams { 10000 };
};

struct AdmissionRequest {
    std::string team {};
    double teamRatePerSecond { 0 }; // The team's limit over all nodes; 0 for none.
    unsigned nodes { 1 }; // Over which the limit is divided.
    int priority { 0 };
    unsigned active { 0 }; // Requests that run on this node now.
};

// Why a request is not taken, and when to come back.
struct Refusal {
    std::string reason {};
    Milliseconds retryAfter { 0 };

    bool operator==(const Refusal&) const = default;
};

class AdmissionControl {
public:
    explicit AdmissionControl(const AdmissionOptions&);

    // Empty where the request is taken.
    std::optional<Refusal> admit(const AdmissionRequest&, SteadyTime now);

private:
    AdmissionOptions m_options;
    std::mutex m_mutex;
    std::map<std::string, TokenBucket> m_buckets {};
};

} // namespace Onyxnotch
