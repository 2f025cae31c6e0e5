// How long a route's answers usually take at the version that callers know, and whether one took several times as long. Pure.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace Onyxnotch {

// One whole answer. Of a stream, the time to its first event is set against what was expected, since prompts differ by a hundredfold.
struct AnswerTimes {
    double firstSeconds { 0 }; // To the first event, or to the whole answer where it is no stream.
    double expectedSeconds { 0 }; // Of that, by the prompt and what waits; 0 where nothing is known.
    double restSeconds { 0 }; // From the first event to the end,
    unsigned restEvents { 0 }; // with so many.
};

class AnswerPace {
public:
    // An answer of a version that is known to be good.
    void observe(const std::string& route, const AnswerTimes& times)
    {
        auto& usual = m_usual[route];
        average(usual.first, firstOf(times), usual.count);
        if (times.restEvents > 0)
            average(usual.rest, restOf(times), usual.count);
        ++usual.count;
    }

    bool isSlow(const std::string& route, const AnswerTimes& times) const
    {
        auto it = m_usual.find(route);
        if (it == m_usual.end() || it->second.count < leastCount)
            return false;
        const auto& usual = it->second;
        bool restIsSlow = times.restEvents >= leastEvents && usual.rest > 0 && restOf(times) > std::max(severalTimes * usual.rest, usual.rest + leastPause);
        auto leastDifference = times.expectedSeconds > 0 ? 0 : leastDelay;
        return restIsSlow || firstOf(times) > std::max(severalTimes * usual.first, usual.first + leastDifference);
    }

private:
    struct Usual {
        double first { 0 };
        double rest { 0 };
        unsigned count { 0 };
    };

    static constexpr double severalTimes { 2.5 }; // Versions that are slow take several times as long; of good answers, one in a hundred does.
    // Seconds. An endpoint that few requests go to needs a new connection more often, and a busy node adds to that.
    static constexpr double leastDelay { 0.02 };
    static constexpr double leastPause { 0.005 }; // The same between events.
    static constexpr unsigned leastCount { 10 }; // Before that, the average says little.
    static constexpr unsigned leastEvents { 4 }; // A pause between two events says little.
    static constexpr double averagedOver { 50 }; // Answers: a minute at one request a second.
    static constexpr double leastExpected { 0.05 }; // Seconds, below which the way there and back counts more than the prompt.

    static double firstOf(const AnswerTimes& times) { return times.expectedSeconds > 0 ? times.firstSeconds / std::max(leastExpected, times.expectedSeconds) : times.firstSeconds; }
    static double restOf(const AnswerTimes& times) { return times.restSeconds / times.restEvents; }

    static void average(double& mean, double value, unsigned count)
    {
        auto part = 1 / std::min(averagedOver, static_cast<double>(count) + 1);
        mean += part * (value - mean);
    }

    std::map<std::string, Usual> m_usual {}; // By route.
};

} // namespace Onyxnotch
