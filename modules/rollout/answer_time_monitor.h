// Tracks how long a route's answers usually take at versions that are known to be good, and detects answers that took several times as
// long. Pure, without I/O.
#pragma once

#include <algorithm>
#include <map>
#include <string>

namespace Onyxnotch {

// Timing of one complete answer. For a stream, the time to the first event is compared with the expected time, since prompt lengths differ
// by a factor of a hundred.
struct AnswerTimes {
    double secondsToFirstEvent { 0 }; // Time to the first event of a stream, or to the end of an answer that is not a stream.
    double expectedSeconds { 0 }; // Expected value of secondsToFirstEvent, from the prompt and the queue at the endpoint; 0 if unknown.
    double streamSeconds { 0 }; // Time from the first event of a stream to its end.
    unsigned streamEventCount { 0 }; // Number of events in that time.
};

class AnswerTimeMonitor {
public:
    // Adds an answer of a version that is known to be good to the route's averages.
    void observe(const std::string& route, const AnswerTimes& times)
    {
        auto& average = m_averages[route];
        updateMean(average.firstRatio, firstRatioOf(times), average.count);
        if (times.streamEventCount > 0)
            updateMean(average.secondsPerEvent, secondsPerEventOf(times), average.count);
        ++average.count;
    }

    // Whether the answer took several times as long as usual for the route. False while too few answers have been observed.
    bool isSlow(const std::string& route, const AnswerTimes& times) const
    {
        auto it = m_averages.find(route);
        if (it == m_averages.end() || it->second.count < minimumAnswers)
            return false;
        const auto& average = it->second;
        bool isStreamSlow = times.streamEventCount >= minimumEvents && average.secondsPerEvent > 0 && secondsPerEventOf(times) > std::max(slowFactor * average.secondsPerEvent, average.secondsPerEvent + minimumExcessPerEvent);
        auto minimumExcess = times.expectedSeconds > 0 ? 0 : minimumExcessSeconds;
        return isStreamSlow || firstRatioOf(times) > std::max(slowFactor * average.firstRatio, average.firstRatio + minimumExcess);
    }

private:
    struct RouteAverage {
        double firstRatio { 0 }; // Mean of firstRatioOf().
        double secondsPerEvent { 0 }; // Mean time between events of a stream.
        unsigned count { 0 };
    };

    // Slow versions take several times as long as usual. One in a hundred good answers does so, too.
    static constexpr double slowFactor { 2.5 };
    // In seconds. An answer counts as slow only if it exceeds the average by more than this: an endpoint with few requests needs a new
    // connection more often, and a busy node adds further delay. Not applied if the expected time is known.
    static constexpr double minimumExcessSeconds { 0.02 };
    static constexpr double minimumExcessPerEvent { 0.005 }; // Same for the average time between events, in seconds.
    static constexpr unsigned minimumAnswers { 10 }; // Fewer answers make an unreliable average.
    static constexpr unsigned minimumEvents { 4 }; // A pause between two events alone is no evidence.
    // Number of answers that the moving average spans: about a minute at one request per second.
    static constexpr double averageSpan { 50 };
    static constexpr double minimumExpectedSeconds { 0.05 }; // In seconds. Below this, the network round trip matters more than the prompt.

    // The time to the first event as a multiple of the expected time, or in seconds if no time is expected.
    static double firstRatioOf(const AnswerTimes& times) { return times.expectedSeconds > 0 ? times.secondsToFirstEvent / std::max(minimumExpectedSeconds, times.expectedSeconds) : times.secondsToFirstEvent; }
    static double secondsPerEventOf(const AnswerTimes& times) { return times.streamSeconds / times.streamEventCount; }

    static void updateMean(double& mean, double value, unsigned count)
    {
        auto weight = 1 / std::min(averageSpan, static_cast<double>(count) + 1);
        mean += weight * (value - mean);
    }

    std::map<std::string, RouteAverage> m_averages {}; // Averages by route.
};

} // namespace Onyxnotch
