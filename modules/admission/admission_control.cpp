#include "modules/admission/admission_control.h"

#include <algorithm>
#include <cmath>

namespace Onyxnotch {

namespace {

    constexpr double millisecondsPerSecond = 1000;
    constexpr Milliseconds overloadRetryDelay { 1000 };

} // namespace

TokenBucket::TokenBucket(double ratePerSecond, SteadyTime now)
    : m_rate(ratePerSecond)
    , m_tokens(std::max(1.0, ratePerSecond))
    , m_updatedAt(now)
{
}

std::optional<Milliseconds> TokenBucket::take(SteadyTime now)
{
    auto elapsed = std::chrono::duration<double>(now - m_updatedAt).count();
    m_updatedAt = now;
    m_tokens = std::min(std::max(1.0, m_rate), m_tokens + std::max(0.0, elapsed) * m_rate);
    if (m_tokens >= 1) {
        m_tokens -= 1;
        return std::nullopt;
    }
    auto seconds = m_rate > 0 ? (1 - m_tokens) / m_rate : 1.0;
    return Milliseconds(static_cast<std::int64_t>(std::ceil(seconds * millisecondsPerSecond)));
}

void TokenBucket::setRate(double ratePerSecond) { m_rate = ratePerSecond; }

RetryBudget::RetryBudget(double retriesPerRequest, double burst)
    : m_retriesPerRequest(retriesPerRequest)
    , m_burst(burst)
    , m_remaining(burst)
{
}

void RetryBudget::onRequest()
{
    std::lock_guard lock(m_mutex);
    m_remaining = std::min(m_burst, m_remaining + m_retriesPerRequest);
}

bool RetryBudget::takeRetry()
{
    std::lock_guard lock(m_mutex);
    if (m_remaining < 1)
        return false;
    m_remaining -= 1;
    return true;
}

AdmissionControl::AdmissionControl(const AdmissionOptions& options)
    : m_options(options)
{
}

std::optional<Refusal> AdmissionControl::admit(const AdmissionRequest& request, SteadyTime now)
{
    auto limit = m_options.maximumActive;
    if (request.priority <= 0)
        limit -= std::min(limit, m_options.reservedForHigherPriority);
    if (request.active >= limit)
        return Refusal { .reason = "this node runs as many requests as it may", .retryAfter = overloadRetryDelay };
    if (request.teamRatePerSecond <= 0)
        return std::nullopt;
    auto share = request.teamRatePerSecond / std::max(1U, request.nodes);
    std::lock_guard lock(m_mutex);
    auto it = m_buckets.find(request.team);
    if (it == m_buckets.end()) {
        if (m_buckets.size() >= m_options.maximumTeams)
            m_buckets.erase(m_buckets.begin());
        it = m_buckets.emplace(request.team, TokenBucket(share, now)).first;
    }
    it->second.setRate(share);
    auto wait = it->second.take(now);
    if (!wait)
        return std::nullopt;
    return Refusal { .reason = "team " + request.team + " is over its rate", .retryAfter = *wait };
}

} // namespace Onyxnotch
