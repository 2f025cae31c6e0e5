#include "modules/load/trace.h"

#include <cmath>
#include <random>

namespace Onyxnotch {

namespace {

    constexpr std::size_t bytesPerToken = 4;
    constexpr double millisecondsPerSecond = 1000;

    // Deterministic text of `tokens` tokens, at 4 bytes a token, derived from `name`.
    std::string makeText(const std::string& name, unsigned tokens)
    {
        std::string text;
        for (unsigned n = 0; text.size() < tokens * bytesPerToken; ++n)
            text += name + " line " + std::to_string(n) + "; ";
        text.resize(tokens * bytesPerToken);
        return text;
    }

    // Generates the requests of a trace, one after another.
    class TraceGenerator {
    public:
        TraceGenerator(const Workload& workload, std::uint64_t seed)
            : m_workload(workload)
            , m_random(seed)
            , m_teams(workload.teamWeights.begin(), workload.teamWeights.end())
        {
        }

        TraceRequest next()
        {
            // Exponential time between arrivals by inverse transform, so that the arrival times do not depend on a library's distributions.
            m_seconds += -std::log(1 - nextUniform()) / m_workload.requestsPerSecond;
            TraceRequest request { .at = Milliseconds(static_cast<std::int64_t>(m_seconds * millisecondsPerSecond)) };
            request.team = m_teams(m_random);
            auto kindDraw = nextUniform();
            auto prefix = m_random() % m_workload.prefixes;
            auto number = std::to_string(m_requestCount++);
            if (kindDraw < m_workload.planFraction) {
                request.kind = RequestKind::Plan;
                request.maximumTokens = m_workload.planTokens;
                request.prompt = makeText("corridor " + std::to_string(prefix), m_workload.planPrefixTokens) + makeText("plan " + number, m_workload.uniquePromptTokens);
            } else if (kindDraw < m_workload.planFraction + m_workload.releaseFraction) {
                request.kind = RequestKind::Release;
                request.prompt = R"({"pallet":)" + number + "}";
            } else {
                request.maximumTokens = m_workload.confirmationTokens;
                request.prompt = makeText("manifest " + std::to_string(prefix), m_workload.confirmationPrefixTokens) + makeText("slot " + number, m_workload.uniquePromptTokens);
            }
            return request;
        }

    private:
        double nextUniform() { return static_cast<double>(m_random() >> 11U) / static_cast<double>(std::uint64_t(1) << 53U); }

        const Workload& m_workload;
        std::mt19937_64 m_random;
        std::discrete_distribution<unsigned> m_teams;
        double m_seconds { 0 };
        unsigned m_requestCount { 0 };
    };

} // namespace

std::string toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Confirmation:
        return "confirmation";
    case RequestKind::Plan:
        return "plan";
    case RequestKind::Release:
        return "release";
    }
    return "release";
}

Result<Workload> workloadNamed(const std::string& name)
{
    if (name == "cold-yards")
        return Workload { .name = name, .requestsPerSecond = 90, .planFraction = 0.05, .releaseFraction = 0.1 };
    if (name == "despacho-litoral")
        return Workload { .name = name, .requestsPerSecond = 45, .planFraction = 0.4, .releaseFraction = 0.1, .planTokens = 200 };
    return Error { ErrorCode::InvalidArgument, "unknown workload '" + name + "': cold-yards or despacho-litoral" };
}

std::vector<TraceRequest> makeTrace(const Workload& workload, std::uint64_t seed, Milliseconds length)
{
    TraceGenerator generator(workload, seed);
    std::vector<TraceRequest> trace;
    for (auto request = generator.next(); request.at < length; request = generator.next())
        trace.push_back(request);
    return trace;
}

} // namespace Onyxnotch
