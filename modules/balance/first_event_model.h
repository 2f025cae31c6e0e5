// Estimates the time to first event at an endpoint where no other prompt is waiting: a fixed time plus a time per uncached prompt token.
// With pauseModelOptions(), estimates the time between events of a stream: a fixed time plus a time per running stream. Both parts are
// fitted by least squares over recent observations, with older ones weighted down.
#pragma once

namespace Onyxnotch {

struct FirstEventModelOptions {
    // Assumed until requests were observed: a slow engine, so that the first estimate errs towards more endpoints.
    double initialFixedSeconds { 0.02 };
    double initialSecondsPerToken { 1.0 / 40000 };
    // The fit starts from two invented observations that have exactly the assumed times: one of a prompt without uncached tokens and one of
    // a prompt with this number of uncached tokens. Each has half of `initialWeight`.
    double initialTokensDifference { 10000 };
    double initialWeight { 4 }; // Weight of the assumed values, in observations.
    double decayPerObservation { 0.98 }; // Factor on the weight of all earlier observations at each new one: about fifty are effective.
    unsigned trustedAfter { 20 }; // Observations; from then on the assumed values contribute at most a sixth of the weight.
    // If the standard deviation of the observed numbers of tokens is smaller, they give no slope, and the last fitted time per token stays.
    double minimumDeviationTokens { 100 };
    double outlierFactor { 2 }; // Cap of observed times, as a multiple of the estimate; longer ones are not due to the prompt.
};

// For the time between events of a stream, with the number of running streams in place of the number of tokens. Observations are many, and
// those of one stream follow each other, so more of them are effective.
inline FirstEventModelOptions pauseModelOptions()
{
    return { .initialSecondsPerToken = 0.0005, .initialTokensDifference = 10, .decayPerObservation = 0.995, .minimumDeviationTokens = 1 };
}

class FirstEventModel {
public:
    explicit FirstEventModel(const FirstEventModelOptions& options = {});

    // Adds an observation: a request with `tokens` uncached tokens, which found no other prompt waiting, had its first event after
    // `seconds`.
    void observe(double tokens, double seconds);

    // Whether the estimate is based mainly on observations rather than on the assumed initial values.
    bool isTrusted() const { return m_observations >= m_options.trustedAfter; }
    double fixedSeconds() const { return m_fixedSeconds; }
    double secondsPerToken() const { return m_secondsPerToken; }
    double seconds(double tokens) const { return m_fixedSeconds + tokens * m_secondsPerToken; }

private:
    void add(double tokens, double seconds, double weight);
    void fit();

    FirstEventModelOptions m_options;
    unsigned m_observations { 0 };
    double m_weight { 0 };
    double m_tokens { 0 };
    double m_seconds { 0 };
    double m_tokensSquared { 0 };
    double m_tokensSeconds { 0 };
    double m_fixedSeconds { 0 };
    double m_secondsPerToken { 0 };
};

} // namespace Onyxnotch
