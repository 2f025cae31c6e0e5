#include "modules/balance/first_event_model.h"

#include <algorithm>

namespace Onyxnotch {

FirstEventModel::FirstEventModel(const FirstEventModelOptions& options)
    : m_options(options)
    , m_secondsPerToken(options.initialSecondsPerToken)
{
    auto fixed = options.initialFixedSeconds;
    add(0, fixed, options.initialWeight / 2);
    add(options.initialTokensDifference, fixed + options.initialTokensDifference * options.initialSecondsPerToken, options.initialWeight / 2);
    fit();
}

void FirstEventModel::observe(double tokens, double seconds)
{
    if (tokens < 0 || seconds <= 0)
        return;
    ++m_observations;
    for (auto* it : { &m_weight, &m_tokens, &m_seconds, &m_tokensSquared, &m_tokensSeconds })
        *it *= m_options.decayPerObservation;
    add(tokens, std::min(seconds, m_options.outlierFactor * this->seconds(tokens)), 1);
    fit();
}

void FirstEventModel::add(double tokens, double seconds, double weight)
{
    m_weight += weight;
    m_tokens += weight * tokens;
    m_seconds += weight * seconds;
    m_tokensSquared += weight * tokens * tokens;
    m_tokensSeconds += weight * tokens * seconds;
}

void FirstEventModel::fit()
{
    auto meanTokens = m_tokens / m_weight;
    auto meanSeconds = m_seconds / m_weight;
    auto variance = m_tokensSquared / m_weight - meanTokens * meanTokens;
    if (variance > m_options.minimumDeviationTokens * m_options.minimumDeviationTokens)
        m_secondsPerToken = std::max(0.0, (m_tokensSeconds / m_weight - meanTokens * meanSeconds) / variance);
    m_fixedSeconds = std::max(0.0, meanSeconds - m_secondsPerToken * meanTokens);
}

} // namespace Onyxnotch
