// How long an endpoint that has nothing else waiting takes to a first event: a fixed time, and a time for each prompt token that is not
// cached. Both are learnt apart, by least squares over recent requests.
#pragma once

namespace Onyxnotch {

struct FirstEventModelOptions {
    // Until requests have told: a slow engine, so that the first estimate errs towards more endpoints.
    double initialFixedSeconds { 0.02 };
    double initialSecondsPerToken { 1.0 / 40000 };
    double initialSpreadTokens { 10000 }; // The assumed observations lie this far apart.
    double initialWeight { 4 }; // Observations that the assumption counts for.
    double memoryPerObservation { 0.98 }; // How much an older observation still counts: some fifty are in force.
    unsigned trustedAfter { 20 }; // Observations: by then what was assumed counts for a sixth.
    double longestTimes { 2 }; // A time above this multiple of the expected one counts as this multiple: it was not the prompt that took it.
};

class FirstEventModel {
public:
    explicit FirstEventModel(const FirstEventModelOptions& options = {});

    // A request with so many uncached tokens, which found nothing waiting, had its first event after `seconds`.
    void observe(double tokens, double seconds);

    // It tells what was seen, and not what was assumed.
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
