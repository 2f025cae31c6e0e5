// Measures how slow each incarnation of an endpoint is relative to the other endpoints of its service, and how often its requests fail.
// Each node measures its own requests and reports decayed sums; decisions use the sums over all nodes (RelayedSum). Pure state machine with
// the time passed in; used by the request thread only.
#pragma once

#include "core/clock.h"
#include "modules/balance/short_name.h"
#include <array>
#include <cereal/types/map.hpp>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Onyxnotch {

// Measurements of one endpoint, of one node or summed over several. Fixed-point numbers: a fleet's sum lists up to 256 endpoints.
struct EndpointSpeedSums {
    std::uint16_t firstEventWeight { 0 }; // Decayed number of observations, in units of 1 / `unitsPerObservation`.
    std::int16_t firstEventLog { 0 }; // Weighted mean logarithm of measured to expected time, in units of 1 / `unitsPerLog`.
    std::uint16_t pauseWeight { 0 };
    std::int16_t pauseLog { 0 };
    std::uint16_t requests { 0 }; // Requests that ended within the last 2 s.
    std::uint16_t failures { 0 }; // Among `requests`.
    std::uint16_t failingNodes { 0 }; // Nodes that saw any of `failures`.

    static constexpr double unitsPerObservation = 16;
    static constexpr double unitsPerLog = 1000;

    bool operator==(const EndpointSpeedSums&) const = default;
    EndpointSpeedSums& operator+=(const EndpointSpeedSums&);
    bool isSound() const;

    template <class Archive>
    void serialize(Archive& archive) { archive(firstEventWeight, firstEventLog, pauseWeight, pauseLog, requests, failures, failingNodes); }
};

struct EndpointSpeedReport {
    // Limits a message to 4.6 KB, so that a relay node can send it to a hundred nodes twice a second.
    static constexpr std::size_t maximumEndpoints = 256;

    std::map<ShortName, EndpointSpeedSums> endpoints {};

    bool operator==(const EndpointSpeedReport&) const = default;
    // Of more than `maximumEndpoints` endpoints, keeps those with failures, then those with the most weight.
    EndpointSpeedReport& operator+=(const EndpointSpeedReport&);
    bool isSound() const;
    void limitSize();

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoints); }
};

struct EndpointSpeedOptions {
    bool enabled { true };
    double decaySeconds { 10 }; // Time in which the weight of an observation falls by the factor e.
    double priorWeight { 4 }; // Observations with a ratio of 1 that are assumed for each endpoint, so that a few change little.
    double pauseWeight { 0.25 }; // Weight of one pause observation; less than 1, as observations of the same stream are correlated.
    // Bounds of each observation and of the result: a greater difference has causes other than speed.
    double smallestRatio { 0.2 };
    double largestRatio { 5 };
    // Ratios are rounded to powers of this factor. Otherwise, among endpoints that are about equally fast, all nodes would send the requests
    // that do not go to homes to the one measured as fastest, until they see its load after up to 0.8 s.
    double ratioStep { 1.4 };
    // The fast value is an average of this node's last observations, to detect slowdowns of a second or less.
    double fastShare { 0.5 }; // Weight of each new observation in the fast value.
    unsigned fastObservations { 2 }; // Minimum number of observations for the fast value to be used, each within `fastExpiry` of the last.
    double fastThreshold { 1.5 }; // Smaller fast values are ignored: single observations scatter that much.
    Milliseconds fastExpiry { 1000 };
    // An endpoint that fails a larger part of its requests may be ejected. Plain services normally fail up to 14% (EndpointHealthOptions).
    double maximumFailureFraction { 0.3 };
    // An endpoint is an outlier only if it also fails this many times as often as the others of its service together: when all are
    // overloaded and refuse requests, ejecting some would add load to the others.
    double outlierFactor { 2 };
    unsigned minimumRequests { 5 };
    unsigned minimumFailingNodes { 2 }; // One node alone may have lost its connection to the endpoint.
    unsigned ejectableDivisor { 3 }; // At most one in this many endpoints of a service is ejected.
    Milliseconds firstEjection { 1000 };
    Milliseconds longestEjection { 8000 };
    // For this long after an endpoint is taken back, sums may contain failures from before: two report periods of 0.5 s, and the time to
    // relay sums.
    Milliseconds settleTime { 2000 };
    Milliseconds forgetEjectionsAfter { 10000 }; // After this time without ejection, the next one is as short as the first again.
    // A ratio that leaves this range is reported as a change.
    double noticedBelow { 0.8 };
    double noticedAbove { 1.5 };
};

// A change that operators should see.
struct EndpointSpeedChange {
    enum class Kind {
        Ejected,
        TakenBack,
        RatioChanged,
    };

    ShortName endpoint { 0 };
    Kind kind { Kind::Ejected };
    double firstEventRatio { 1 };
    double pauseRatio { 1 };
    unsigned requests { 0 };
    unsigned failures { 0 };
    Milliseconds duration { 0 }; // Of an ejection.
};

std::string_view nameOf(EndpointSpeedChange::Kind);

class EndpointSpeeds {
public:
    using ServiceMembers = std::map<std::string, std::vector<ShortName>>; // Listed endpoint incarnations by service.

    explicit EndpointSpeeds(const EndpointSpeedOptions& options = {});

    void setEnabled(bool enabled) { m_options.enabled = enabled; }
    bool isEnabled() const { return m_options.enabled; }

    // Record a time that only the endpoint's speed explains, and the time expected of an endpoint with ratio 1.
    void observeFirstEvent(ShortName, double seconds, double expectedSeconds, SteadyTime now);
    void observePause(ShortName, double seconds, double expectedSeconds, SteadyTime now);
    // Records that a request was sent. If the endpoint is ejected, this is the request that tries it again.
    void onSent(ShortName, SteadyTime now);
    // Records how a request ended.
    void onEnd(ShortName, bool isFailure, SteadyTime now);
    // Records that a request ended for a reason unrelated to the endpoint.
    void onEndWithoutEvidence(ShortName);

    // This node's sums, to send to other nodes.
    EndpointSpeedReport ownReport(SteadyTime now) const;
    // Evaluates the sums over `nodes` nodes, this one included. Forgets endpoints that are not in `services`. If this node receives much
    // less than before, the last sums stay and lose weight by age.
    void setTotal(const EndpointSpeedReport& total, unsigned nodes, const ServiceMembers& services, SteadyTime now);

    // Factors on the expected time to first event and on the expected time between events. 1 for an endpoint without data.
    double firstEventRatio(ShortName, SteadyTime now) const;
    // firstEventRatio() without the fast value: equal at all nodes that know the same sums.
    double lastingFirstEventRatio(ShortName) const;
    double pauseRatio(ShortName, SteadyTime now) const;
    // False if the endpoint is ejected, unless it is due to be tried again and this node has not sent its request for that yet.
    bool isUsable(ShortName, SteadyTime now) const;
    std::size_t ejected() const;
    std::vector<EndpointSpeedChange> takeChanges();

private:
    struct WeightedLog {
        double weight { 0 };
        double sum { 0 };
        SteadyTime at {};
    };

    struct Bucket {
        std::int64_t number { 0 }; // Time in units of 0.5 s.
        std::uint16_t requests { 0 };
        std::uint16_t failures { 0 };
    };

    struct State {
        WeightedLog firstEvents {};
        WeightedLog pauses {};
        double fastLog { 0 };
        unsigned fastObservations { 0 };
        SteadyTime fastAt {};
        std::array<Bucket, 4> buckets {};
        double firstEventRatio { 1 };
        double pauseRatio { 1 };
        double serviceMeanRatio { 1 }; // Geometric mean of the service's first-event ratios.
        bool isRatioNoticed { false };
        bool isEjected { false };
        bool isTrying { false }; // This node's request that tries the ejected endpoint again is running.
        SteadyTime ejectedUntil {};
        SteadyTime takenBackAt {};
        Milliseconds nextEjection { 0 };
    };

    struct Counts {
        unsigned requests { 0 };
        unsigned failures { 0 };
    };

    void observe(State&, WeightedLog&, double ratioLog, double weight, SteadyTime now) const;
    double weightAt(const WeightedLog&, SteadyTime now) const;
    double ratioOf(double unitsWeight, double meanLog, double priorRatio) const;
    double withFast(const State&, double lasting, SteadyTime now) const;
    static Counts recentCounts(const State&, SteadyTime now);
    void keepLastTotal(const EndpointSpeedReport& total, unsigned nodes, SteadyTime now);
    void updateRatios(const std::vector<ShortName>& members);
    void noticeRatio(ShortName, State&);
    // Whether sums may still contain failures from before the endpoint was taken back.
    bool isSettling(const State&, SteadyTime now) const;
    // Whether the endpoint fails much more often than the others of its service, whose counts include the endpoint's.
    bool isOutlier(const EndpointSpeedSums&, const Counts& service) const;
    void updateEjections(const std::vector<ShortName>& members, const EndpointSpeedReport& total, SteadyTime now);
    void eject(ShortName, State&, const Counts&, SteadyTime now);

    EndpointSpeedOptions m_options;
    std::unordered_map<ShortName, State> m_states {};
    EndpointSpeedReport m_total {}; // The sums that ratios are calculated from.
    // The last sums from at least half as many nodes as the full sums before, the number of nodes, and when they were set.
    EndpointSpeedReport m_fullTotal {};
    unsigned m_fullTotalNodes { 0 };
    SteadyTime m_fullTotalAt {};
    std::vector<EndpointSpeedChange> m_changes {};
};

} // namespace Onyxnotch
